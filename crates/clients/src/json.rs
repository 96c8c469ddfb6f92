//! What the clients of the state service and of the cloud share: JSON bodies, and lists in pages.

use crate::HttpResponse;
use crate::http::quoted_body;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why a request could not be encoded, or its response is not of use. Each client converts it to its own
/// error, which has the text for users.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JsonError {
    /// The request could not be encoded, so it was not sent.
    #[error("the request can't be encoded: {0}")]
    Encoding(serde_json::Error),
    /// The status of the response is not one of those that the request may have.
    #[error("unexpected status {status}: {quoted_body}")]
    Status {
        /// Status of the response.
        status: StatusCode,
        /// The start of the body.
        quoted_body: String,
    },
    /// The body of the response can't be decoded.
    #[error("unexpected body (status {status}): {error}: {quoted_body}")]
    Body {
        /// Status of the response.
        status: StatusCode,
        /// What is wrong with the body.
        error: serde_json::Error,
        /// The start of the body.
        quoted_body: String,
    },
}

/// The body of a request.
pub(crate) fn encode<T: Serialize>(request: &T) -> Result<Vec<u8>, JsonError> {
    serde_json::to_vec(request).map_err(JsonError::Encoding)
}

/// Decodes the body of a response, whatever its status is.
pub(crate) fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, JsonError> {
    serde_json::from_slice(&response.body).map_err(|error| JsonError::Body {
        status: response.status,
        error,
        quoted_body: quoted_body(&response.body),
    })
}

/// Decodes the body of a response that must have the status 200.
pub(crate) fn decode_ok<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, JsonError> {
    if response.status == StatusCode::OK { decode(response) } else { Err(unexpected(response)) }
}

/// The error for a response whose status is not one of those that the request may have.
pub(crate) fn unexpected(response: &HttpResponse) -> JsonError {
    JsonError::Status { status: response.status, quoted_body: quoted_body(&response.body) }
}

/// A page of a list.
pub(crate) trait Page {
    /// What is listed.
    type Item;

    /// The items of this page.
    fn items(&mut self) -> &mut Vec<Self::Item>;

    /// Whether the server has a next page.
    fn has_next(&self) -> bool;

    /// The id of an item; the next page begins after that of the last one.
    fn id(item: &Self::Item) -> &str;
}

/// Reads a list page by page, and returns the first page with the items of all of them. `read_page` reads
/// the page after an id; the first one if `None`. An empty page is the last one, whatever it says.
pub(crate) async fn read_pages<P: Page, E, F: Future<Output = Result<P, E>>>(
    read_page: impl Fn(Option<String>) -> F,
) -> Result<P, E> {
    let mut all = read_page(None).await?;
    let mut has_next = all.has_next();
    while has_next && let Some(last) = all.items().last() {
        let last_id = P::id(last).to_owned();
        let mut page = read_page(Some(last_id)).await?;
        has_next = page.has_next() && !page.items().is_empty();
        all.items().append(page.items());
    }
    Ok(all)
}
