//! Fetches documents of other systems over HTTP.

mod document_fetch;

pub use document_fetch::{FetchError, FetchedResponse, fetch};
