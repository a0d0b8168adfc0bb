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

use super::engine::header;
use super::http::{StandinBody, respond, serve_forever};
use super::ledger::EffectLog;

/// Header that sets how long a call takes, in milliseconds.
const TIME_HEADER: &str = "x-standin-ms";

/// Header by which a test asks for a fault.
const FAULT_HEADER: &str = "x-standin-fault";

/// How a stand-in service behaves.
#[derive(Debug, Clone, Copy)]
pub struct ServiceOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long a call takes without a header that says otherwise.
    pub busy: Duration,
    /// Whether calls with an old fence number are refused.
    pub checks_fence: bool,
}

#[derive(Debug)]
struct ServiceState {
    options: ServiceOptions,
    log: EffectLog,
    greatest_fence: AtomicU64,
}

/// Runs a stand-in plain service until the process ends.
///
/// # Errors
///
/// Fails if it cannot listen.
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
    state.log.note(
        header("cicadalock-customer"),
        header("idempotency-key"),
        &text,
        fence,
    );
    let asked = header(TIME_HEADER).parse().map(Duration::from_millis);
    let busy = asked.unwrap_or(state.options.busy);
    state.log.change_active(1);
    tokio::time::sleep(busy).await;
    state.log.change_active(-1);
    let (customer, kind) = (header("cicadalock-customer"), header("cicadalock-kind"));
    state.log.spend(customer, kind, busy.as_millis() as i64);
    let whole = json!({ "done": text }).to_string();
    match header(FAULT_HEADER) {
        "status-500" => respond(500, whole),
        "short-length" => cut_answer(&whole, true),
        "no-end" => cut_answer(&whole, false),
        _ => respond(200, whole),
    }
}

/// An answer whose second half does not come.
fn cut_answer(whole: &str, is_declared: bool) -> Response<StandinBody> {
    let half = Bytes::copy_from_slice(&whole.as_bytes()[..whole.len() / 2]);
    let frames = stream::iter([Ok(Frame::data(half)), Err(std::io::Error::other("cut"))]);
    let mut response = Response::new(StreamBody::new(frames).boxed());
    if is_declared {
        response
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(whole.len()));
    }
    response
}
