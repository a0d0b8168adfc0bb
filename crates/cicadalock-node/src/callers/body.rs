use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Reason why the body of a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body exceeds the limit, by its declared or its actual length.
    TooLarge,
    /// The connection failed or the framing was invalid before the end of the body.
    Incomplete,
    /// The body did not arrive within the time limit.
    TimedOut,
}

/// Reads a body of at most `limit` bytes; rejects one whose declared length is larger unread.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    match tokio::time::timeout(time_limit, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}
