//! HTTP clients of the store, the cloud and the workers, and of hookway's API for users.
//!
//! Every call has a timeout. Errors distinguish a request without response from a rejected one, because a
//! request without response may have been executed, or may be executed later.

mod api;
mod cloud;
mod http;
mod rate_limiter;
mod store;
mod worker;

pub use api::{ApiClient, ApiError};
pub use cloud::{CloudClient, CloudError, ScaleOutOutcome};
pub use http::{HttpClient, HttpError, HttpResponse};
pub use rate_limiter::RateLimiter;
pub use store::{CommitOutcome, Listing, StoreClient, StoreError};
pub use worker::{Delivery, WorkerClient};
