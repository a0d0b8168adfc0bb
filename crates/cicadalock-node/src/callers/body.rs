use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is larger than allowed, as declared or as found.
    TooLarge,
    /// It broke off.
    NotWhole,
    /// It did not come in time.
    TooSlow,
}

/// Reads a body of `limit` bytes at most; one that declares more is not read at all.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyFault::TooLarge);
    }
    match tokio::time::timeout(time, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Ok(Err(_)) => Err(BodyFault::NotWhole),
        Err(_) => Err(BodyFault::TooSlow),
    }
}
