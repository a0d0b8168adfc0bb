use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::gateway_body::GatewayBody;

/// An error that the gateway itself returns to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerRefusal {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<Duration>,
}

impl CallerRefusal {
    /// The request itself is at fault (a 4xx status).
    pub(super) const fn client_error(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The request did not run and will not run; the caller may retry it after `retry_after`.
    pub(super) const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The request may have run, so no retry is suggested.
    pub(super) const fn may_have_run(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    pub(super) fn respond(&self) -> Response<GatewayBody> {
        let text = format!(
            "{{\"type\":\"urn:cicadalock:problem:{}\",\"status\":{}}}",
            self.reason, self.status
        );
        let mut response = Response::new(GatewayBody::Buffered(Full::new(Bytes::from(text))));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
