use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::config::{CustomerConfig, FleetConfig, KindConfig};
use cicadalock_core::message::HeaderField;
use cicadalock_core::outcome::IdempotencyKey;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;

use super::problem::RequestProblem;

/// Request header with which a caller shortens the time limit of its request, in milliseconds.
const TIMEOUT_HEADER: &str = "cicadalock-timeout-ms";

const KEY_HEADER: &str = "idempotency-key";

/// Request header fields that the router does not forward; sorted for binary search.
const DROPPED_HEADERS: [&str; 13] = [
    "authorization",
    "cicadalock-customer",
    "cicadalock-fence",
    "cicadalock-kind",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "traceparent",
    "transfer-encoding",
    "upgrade",
];

/// Properties of a request that its head determines.
#[derive(Debug)]
pub(super) struct RequestClass {
    pub(super) config: Arc<FleetConfig>,
    pub(super) customer: CustomerConfig,
    pub(super) kind: KindConfig,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) timeout: Option<Duration>,
}

/// Returns the token of an `Authorization` header value, or `None` if its scheme is not `Bearer`.
#[must_use]
pub fn parse_bearer(header: &str) -> Option<&str> {
    let (scheme, token) = header.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Determines the customer, kind, idempotency key and time limit of a request.
///
/// Fails with the problem to report to the caller.
pub(super) fn classify(
    config: Option<Arc<FleetConfig>>,
    parts: &Parts,
) -> Result<RequestClass, RequestProblem> {
    let config = config.ok_or(RequestProblem {
        status: 503,
        problem: "no-configuration",
        detail: "no configuration is in force yet",
    })?;
    let customer = header(&parts.headers, AUTHORIZATION.as_str())
        .and_then(parse_bearer)
        .and_then(|token| config.customer_by_token(token))
        .cloned()
        .ok_or(RequestProblem {
            status: 401,
            problem: "unknown-token",
            detail: "the request names no customer: send Authorization: Bearer TOKEN",
        })?;
    let kind = config
        .kind_by_path(parts.uri.path())
        .cloned()
        .ok_or(RequestProblem {
            status: 404,
            problem: "no-rule",
            detail: "no kind of work has this path",
        })?;
    let key = read_key(&parts.headers, &kind)?;
    let timeout =
        match header(&parts.headers, TIMEOUT_HEADER) {
            Some(text) => Some(text.parse().map(Duration::from_millis).or(Err(
                RequestProblem {
                    status: 400,
                    problem: "bad-timeout",
                    detail: "Cicadalock-Timeout-Ms must be a number of milliseconds",
                },
            ))?),
            None => None,
        };
    Ok(RequestClass {
        config,
        customer,
        kind,
        key,
        timeout,
    })
}

/// Returns the header fields to forward to the endpoint.
///
/// Fields whose values are not visible ASCII are left out.
pub(super) fn endpoint_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| DROPPED_HEADERS.binary_search(&name.as_str()).is_err())
        .filter_map(|(name, value)| {
            Some(HeaderField {
                name: name.as_str().to_owned(),
                value: value.to_str().ok()?.to_owned(),
            })
        })
        .collect()
}

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_key(
    headers: &HeaderMap,
    kind: &KindConfig,
) -> Result<Option<IdempotencyKey>, RequestProblem> {
    if kind.idempotent || !headers.contains_key(KEY_HEADER) {
        return Ok(None);
    }
    let parsed = header(headers, KEY_HEADER).and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(RequestProblem {
        status: 400,
        problem: "bad-key",
        detail: "Idempotency-Key must be a UUID of version 7 (RFC 9562)",
    })
}
