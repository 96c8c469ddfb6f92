//! Clients of everything that a controller talks to over HTTP: the state service, the cloud and,
//! for users, the API itself. Every call has a time limit, and an answer that did not come is told
//! apart from a refusal, because the request may still be carried out.

mod api;
mod budget;
mod cloud;
mod http;
mod store;
mod worker;

pub use api::{ApiClient, ApiError};
pub use budget::Budget;
pub use cloud::{CloudClient, CloudError, ScaleOutOutcome};
pub use http::{HttpClient, HttpError};
pub use store::{CommitOutcome, StoreClient, StoreError};
pub use worker::{Delivery, WorkerClient};
