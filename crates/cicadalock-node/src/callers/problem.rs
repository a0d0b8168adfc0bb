use bytes::Bytes;
use cicadalock_core::outcome::RequestOutcome;
use cicadalock_core::router::CallerFailure;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::json;

use super::answer::AnswerBody;

/// Response header with the outcome of the request.
pub(super) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cicadalock-outcome");

/// Reason to reject a request that was not admitted; such a request did not run.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestProblem {
    pub(super) status: u16,
    pub(super) problem: &'static str,
    pub(super) detail: &'static str,
}

impl RequestProblem {
    pub(super) fn respond(self) -> Response<AnswerBody> {
        let failure = CallerFailure {
            status: self.status,
            outcome: RequestOutcome::NotRun,
            problem: self.problem,
            retry_after: None,
        };
        respond_failure(&failure, self.detail)
    }
}

/// Returns problem details (RFC 9457) for a request without an answer of its endpoint.
pub(super) fn respond_failure(failure: &CallerFailure, detail: &str) -> Response<AnswerBody> {
    let body = json!({
        "type": format!("urn:cicadalock:problem:{}", failure.problem),
        "title": failure.problem.replace('-', " "),
        "status": failure.status,
        "detail": detail,
        "outcome": failure.outcome.to_string(),
    });
    let body = Full::new(Bytes::from(body.to_string())).map_err(|never| match never {});
    let mut response = Response::new(AnswerBody::Whole(body.boxed()));
    let status = hyper::StatusCode::from_u16(failure.status);
    *response.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let problem_json = HeaderValue::from_static("application/problem+json");
    headers.insert(hyper::header::CONTENT_TYPE, problem_json);
    headers.insert(OUTCOME_HEADER, outcome_value(failure.outcome));
    if let Some(pause) = failure.retry_after {
        headers.insert(
            hyper::header::RETRY_AFTER,
            HeaderValue::from(pause.as_secs().max(1)),
        );
    }
    if failure.status == 401 {
        let bearer = HeaderValue::from_static("Bearer");
        headers.insert(hyper::header::WWW_AUTHENTICATE, bearer);
    }
    response
}

pub(super) fn outcome_value(outcome: RequestOutcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        RequestOutcome::Complete => "complete",
        RequestOutcome::NotRun => "not-run",
        RequestOutcome::Unknown => "unknown",
    })
}
