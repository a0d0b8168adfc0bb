use std::io::Read;
use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedBody {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub bytes: Vec<u8>,
}

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The other side could not be reached or does not speak HTTP.
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
    /// The body is shorter or longer than declared, has no length, or is too large.
    #[snafu(display("the body has {found} bytes and not the declared length"))]
    Truncated {
        /// Bytes found.
        found: usize,
    },
}

impl FetchedBody {
    /// Value of a header field; the case of its name does not count.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }
}

/// Reads `url`, with a body of `limit` bytes at most.
///
/// The declared length is checked here, because the library takes a cut body for a whole one.
///
/// # Errors
///
/// Fails if there is no whole answer in time, which is rounded up to whole seconds.
pub fn fetch(url: String, timeout: Duration, limit: u64) -> Result<FetchedBody, FetchError> {
    let seconds = timeout.as_millis().div_ceil(1_000) as u64;
    let answer = minreq::get(url).with_timeout(seconds.max(1)).send_lazy();
    let mut answer = answer.context(HttpSnafu)?;
    let status = answer.status_code;
    let headers: Vec<(String, String)> = answer
        .headers
        .iter()
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let mut fetched = FetchedBody {
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
