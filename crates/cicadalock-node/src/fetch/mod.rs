//! Reads of other systems' documents over HTTP.

mod document_fetch;

pub use document_fetch::{FetchError, FetchedBody, fetch};
