use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::id::Revision;
use cicadalock_core::revision::{Document, DocumentKind};
use snafu::{OptionExt, Snafu};

use crate::fetch::{FetchError, fetch};

/// Greatest document that is read, in bytes.
const DOCUMENT_LIMIT: u64 = 8 * 1024 * 1024;

/// Time allowed beyond the time for which the platform was asked to wait, in seconds.
const EXTRA_SECONDS: u64 = 2;

/// Reads documents of the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformClient {
    address: SocketAddr,
}

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// There is no whole answer.
    #[snafu(context(false), display("{source}"))]
    Fetch {
        /// Cause.
        source: FetchError,
    },
    /// The platform answered with another status.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The revision is missing.
    #[snafu(display("there is no revision"))]
    NoRevision,
    /// The body is not text.
    #[snafu(display("the body is not text"))]
    NotText,
}

/// Path of a document at the platform.
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

    /// Waits up to `wait_seconds` for a document newer than `after`; none if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no whole answer.
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
        let timeout = Duration::from_secs(wait_seconds + EXTRA_SECONDS);
        let answer = fetch(url, timeout, DOCUMENT_LIMIT)?;
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
