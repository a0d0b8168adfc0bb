use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Request, Response};
use serde_json::json;

use super::effect_log::EffectLog;
use super::engine::header;
use super::http::{StandinBody, respond, serve_forever};

/// Request header that sets the processing time, in milliseconds.
const TIME_HEADER: &str = "x-standin-ms";

/// Request header that selects a fault to inject.
const FAULT_HEADER: &str = "x-standin-fault";

/// Settings of a stand-in plain service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Processing time of a request that does not set one with the header `x-standin-ms`.
    pub busy: Duration,
    /// Whether requests with a fence number below the greatest received one are refused with 412.
    pub checks_fence: bool,
}

#[derive(Debug)]
struct ServiceState {
    options: ServiceOptions,
    log: EffectLog,
    greatest_fence: AtomicU64,
}

/// Runs a stand-in plain service until the process exits.
///
/// # Errors
///
/// Fails if the runtime cannot be created or the address cannot be bound.
pub fn run_service(options: ServiceOptions) -> std::io::Result<()> {
    let state = ServiceState {
        options,
        log: EffectLog::default(),
        greatest_fence: AtomicU64::new(0),
    };
    serve_forever(options.listen, Arc::new(state), answer)
}

async fn answer(state: Arc<ServiceState>, request: Request<Incoming>) -> Response<StandinBody> {
    if let Some(text) = state.log.answer(request.uri().path()) {
        return respond(200, text);
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return respond(400, "{}");
    };
    let header = |name| header(&parts.headers, name);
    let fence: u64 = header("cicadalock-fence").parse().unwrap_or(0);
    let greatest = state.greatest_fence.fetch_max(fence, Ordering::Relaxed);
    if state.options.checks_fence && fence < greatest {
        return respond(412, "{\"error\":\"old fence\"}");
    }
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    state.log.record_effect(
        header("cicadalock-customer"),
        header("idempotency-key"),
        &text,
        fence,
    );
    let requested = header(TIME_HEADER).parse().map(Duration::from_millis);
    let busy = requested.unwrap_or(state.options.busy);
    state.log.add_active(1);
    tokio::time::sleep(busy).await;
    state.log.add_active(-1);
    let (customer, kind) = (header("cicadalock-customer"), header("cicadalock-kind"));
    state
        .log
        .record_usage(customer, kind, busy.as_millis() as i64);
    let full_body = json!({ "done": text }).to_string();
    match header(FAULT_HEADER) {
        "empty-body" => respond(200, ""),
        "status-500" => respond(500, full_body),
        "short-length" => truncated_answer(&full_body, true),
        "no-end" => truncated_answer(&full_body, false),
        _ => respond(200, full_body),
    }
}

/// Returns an answer that sends the first half of `full_body` and then closes the connection.
fn truncated_answer(full_body: &str, has_content_length: bool) -> Response<StandinBody> {
    let half = Bytes::copy_from_slice(&full_body.as_bytes()[..full_body.len() / 2]);
    let frames = stream::iter([
        Ok(Frame::data(half)),
        Err(std::io::Error::other("connection cut by an injected fault")),
    ]);
    let mut response = Response::new(StreamBody::new(frames).boxed());
    if has_content_length {
        response
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(full_body.len()));
    }
    response
}
