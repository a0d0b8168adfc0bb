use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use cicadalock_core::id::Revision;
use cicadalock_core::revision::{Document, DocumentKind};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

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
    /// The platform could not be reached or does not speak HTTP.
    #[snafu(display("{source}"))]
    Http {
        /// Cause.
        source: minreq::Error,
    },
    /// The body could not be read to its end.
    #[snafu(display("{source}"))]
    Body {
        /// Cause.
        source: std::io::Error,
    },
    /// The platform answered with another status.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The body is shorter or longer than declared, has no length, or is too large.
    #[snafu(display("the body has {found} bytes and not the declared length"))]
    Truncated {
        /// Bytes found.
        found: usize,
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
    /// The declared length is checked here, because the library takes a cut body for a whole one.
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
        let answer = minreq::get(url)
            .with_timeout(wait_seconds + EXTRA_SECONDS)
            .send_lazy();
        let mut answer = answer.context(HttpSnafu)?;
        match answer.status_code {
            200 => {}
            304 | 404 => return Ok(None),
            status => return StatusSnafu { status }.fail(),
        }
        let header = |name: &str| {
            let mut fields = answer.headers.iter();
            fields
                .find(|(field, _)| field.eq_ignore_ascii_case(name))
                .map(|(_, value)| value.clone())
        };
        let revision = header("platform-revision").and_then(|text| text.parse().ok());
        let declared: Option<usize> = header("content-length").and_then(|text| text.parse().ok());
        let mut body = Vec::new();
        (&mut answer)
            .take(DOCUMENT_LIMIT)
            .read_to_end(&mut body)
            .context(BodySnafu)?;
        ensure!(
            declared == Some(body.len()),
            TruncatedSnafu { found: body.len() }
        );
        let revision = revision.context(NoRevisionSnafu)?;
        let Ok(text) = String::from_utf8(body) else {
            return NotTextSnafu.fail();
        };
        Ok(Some(Document::new(kind, revision, Arc::from(text))))
    }
}
