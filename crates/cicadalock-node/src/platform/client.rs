use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::id::Revision;
use cicadalock_core::revision::{Document, DocumentKind};
use snafu::{OptionExt, Snafu};

use crate::fetch::{FetchError, fetch};

/// Maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Time added to the wait at the platform for the timeout of the request, in seconds.
const TIMEOUT_MARGIN_SECONDS: u64 = 2;

/// HTTP client that reads the platform's documents.
#[derive(Debug, Clone, Copy)]
pub struct PlatformClient {
    address: SocketAddr,
}

/// Why a document could not be read from the platform.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// No complete response was received.
    #[snafu(context(false), display("{source}"))]
    Fetch {
        /// Cause.
        source: FetchError,
    },
    /// The status of the response is neither success, "not modified" nor "not found".
    #[snafu(display("unexpected status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The revision header is missing or not a number.
    #[snafu(display("the platform-revision header is missing or invalid"))]
    NoRevision,
    /// The body is not valid UTF-8.
    #[snafu(display("the body is not valid UTF-8"))]
    NotText,
}

/// Returns the URL path of a document at the platform.
#[must_use]
pub const fn document_path(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Config => "/v1/keys/cicadalock",
        DocumentKind::Hosts => "/v1/hosts",
    }
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Waits up to `wait_seconds` for a document newer than `after`.
    ///
    /// Returns `None` if there is no newer document or none has been published.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response is incomplete or invalid.
    pub fn watch(
        &self,
        kind: DocumentKind,
        after: Revision,
        wait_seconds: u64,
    ) -> Result<Option<Document>, ReadError> {
        let wait_ms = wait_seconds * 1_000;
        let path = document_path(kind);
        let url = format!(
            "http://{}{path}?after={after}&wait_ms={wait_ms}",
            self.address
        );
        let timeout = Duration::from_secs(wait_seconds + TIMEOUT_MARGIN_SECONDS);
        let answer = fetch(url, timeout, MAX_DOCUMENT_BYTES)?;
        match answer.status {
            200 => {}
            304 | 404 => return Ok(None),
            status => return StatusSnafu { status }.fail(),
        }
        let revision = answer.header("platform-revision");
        let revision = revision.and_then(|text| text.parse().ok());
        let revision = revision.context(NoRevisionSnafu)?;
        let Ok(text) = String::from_utf8(answer.bytes) else {
            return NotTextSnafu.fail();
        };
        Ok(Some(Document::new(kind, revision, Arc::from(text))))
    }
}
