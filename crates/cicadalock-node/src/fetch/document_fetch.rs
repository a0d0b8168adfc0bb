use std::io::Read;
use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedResponse {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the header fields.
    pub headers: Vec<(String, String)>,
    /// Content of the body.
    pub bytes: Vec<u8>,
}

/// Why no complete response was received.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The server could not be reached or did not send a valid HTTP response.
    #[snafu(display("{source}"))]
    Http {
        /// Cause.
        source: minreq::Error,
    },
    /// Reading the body failed.
    #[snafu(display("{source}"))]
    Body {
        /// Cause.
        source: std::io::Error,
    },
    /// The length of the body differs from `Content-Length`, which may be missing, or exceeds the
    /// size limit.
    #[snafu(display("received a body of {found} bytes, which does not match its content-length"))]
    Truncated {
        /// Number of bytes received.
        found: usize,
    },
}

impl FetchedResponse {
    /// Returns the value of a header field by its case-insensitive name; `None` if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }
}

/// Sends a GET request for `url` and reads a body of at most `limit` bytes.
///
/// Compares the length of the body with `Content-Length`, because `minreq` accepts a truncated body
/// as complete.
///
/// # Errors
///
/// Returns an error if no complete response arrives within `timeout`, rounded up to whole seconds.
pub fn fetch(url: String, timeout: Duration, limit: u64) -> Result<FetchedResponse, FetchError> {
    let seconds = timeout.as_millis().div_ceil(1_000) as u64;
    let answer = minreq::get(url).with_timeout(seconds.max(1)).send_lazy();
    let mut answer = answer.context(HttpSnafu)?;
    let status = answer.status_code;
    let headers: Vec<(String, String)> = answer
        .headers
        .iter()
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let mut fetched = FetchedResponse {
        status,
        headers,
        bytes: Vec::new(),
    };
    let declared = fetched
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    (&mut answer)
        .take(limit)
        .read_to_end(&mut fetched.bytes)
        .context(BodySnafu)?;
    let found = fetched.bytes.len();
    ensure!(declared == Some(found), TruncatedSnafu { found });
    Ok(fetched)
}
