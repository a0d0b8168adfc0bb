use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::effect_log::EffectLog;
use super::http::{StandinBody, respond, serve_forever};

/// Request header that selects a fault to inject.
const FAULT_HEADER: &str = "x-standin-fault";

/// Settings of a stand-in model engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of concurrent requests above which each additional request slows all of them down.
    pub batch: u32,
    /// Time to generate one token of a request while the batch is not overfull.
    pub token: Duration,
}

#[derive(Debug)]
struct EngineState {
    options: EngineOptions,
    log: Arc<EffectLog>,
}

/// Runs a stand-in model engine until the process exits.
///
/// # Errors
///
/// Fails if the runtime cannot be created or the address cannot be bound.
pub fn run_engine(options: EngineOptions) -> std::io::Result<()> {
    let log = Arc::new(EffectLog::default());
    serve_forever(
        options.listen,
        Arc::new(EngineState { options, log }),
        answer,
    )
}

async fn answer(state: Arc<EngineState>, request: Request<Incoming>) -> Response<StandinBody> {
    if let Some(text) = state.log.answer(request.uri().path()) {
        return respond(200, text);
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return respond(400, "{}");
    };
    let body = body.to_bytes();
    let parameters: Value = serde_json::from_slice(&body).unwrap_or_default();
    let header = |name| header(&parts.headers, name);
    let text = String::from_utf8_lossy(&body);
    let fence = header("cicadalock-fence").parse().unwrap_or(0);
    state.log.record_effect(
        header("cicadalock-customer"),
        header("idempotency-key"),
        &text,
        fence,
    );
    let tokens = parameters["max_tokens"].as_u64().unwrap_or(16);
    if header(FAULT_HEADER) == "status-500" {
        return respond(500, "{}");
    }
    let completion = RunningCompletion::begin(&state, &parts.headers, tokens);
    if parameters["stream"].as_bool() == Some(true) {
        stream_tokens(completion)
    } else {
        buffered_answer(completion).await
    }
}

/// A completion that is being generated; logs a cancellation if dropped before its last token.
struct RunningCompletion {
    log: Arc<EffectLog>,
    customer: String,
    kind: String,
    fault: String,
    token: Duration,
    batch: u32,
    total: u64,
    generated: u64,
    /// When the next token is due.
    next: Instant,
    is_finished: bool,
}

impl RunningCompletion {
    fn begin(state: &EngineState, headers: &HeaderMap, total: u64) -> Self {
        state.log.add_active(1);
        Self {
            log: Arc::clone(&state.log),
            customer: header(headers, "cicadalock-customer").to_owned(),
            kind: header(headers, "cicadalock-kind").to_owned(),
            fault: header(headers, FAULT_HEADER).to_owned(),
            token: state.options.token,
            batch: state.options.batch,
            total,
            generated: 0,
            next: Instant::now(),
            is_finished: false,
        }
    }

    /// Waits until the next token is due and records its cost.
    ///
    /// The time per token grows in proportion to the active requests once they exceed the batch size.
    async fn generate_token(&mut self) {
        let active = self.log.add_active(0).max(1) as f64;
        let load = (active / f64::from(self.batch)).max(1.0);
        self.next += self.token.mul_f64(load);
        tokio::time::sleep_until(self.next).await;
        self.generated += 1;
        self.log.record_usage(&self.customer, &self.kind, 1);
    }

    fn usage(&self) -> Value {
        json!({ "total_tokens": self.generated, "completion_tokens": self.generated })
    }

    async fn next_event(mut self) -> Option<(Result<Frame<Bytes>, std::io::Error>, Self)> {
        if self.is_finished {
            return None;
        }
        let is_half_done = self.generated * 2 >= self.total;
        match self.fault.as_str() {
            "close" if is_half_done => {
                self.is_finished = true;
                return Some((
                    Err(std::io::Error::other("connection cut by an injected fault")),
                    self,
                ));
            }
            "stall" if is_half_done => std::future::pending::<()>().await,
            "no-done" if is_half_done => return None,
            _ => {}
        }
        let text = if self.generated < self.total {
            self.generate_token().await;
            let event =
                json!({ "choices": [{ "text": format!("t{} ", self.generated), "index": 0 }] });
            format!("data: {event}\n\n")
        } else {
            self.is_finished = true;
            let event = json!({ "choices": [], "usage": self.usage() });
            format!("data: {event}\n\ndata: [DONE]\n\n")
        };
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }
}

impl Drop for RunningCompletion {
    fn drop(&mut self) {
        self.log.add_active(-1);
        if self.generated < self.total {
            self.log.record_cancelled();
        }
    }
}

fn stream_tokens(completion: RunningCompletion) -> Response<StandinBody> {
    let events = stream::unfold(completion, RunningCompletion::next_event);
    let mut response = Response::new(stream_body(events));
    let content = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}

fn stream_body(
    events: impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send + Sync + 'static,
) -> StandinBody {
    StreamBody::new(events).boxed()
}

async fn buffered_answer(mut completion: RunningCompletion) -> Response<StandinBody> {
    while completion.generated < completion.total {
        completion.generate_token().await;
    }
    let text: String = (1..=completion.generated)
        .map(|token| format!("t{token} "))
        .collect();
    let answer = json!({ "choices": [{ "text": text }], "usage": completion.usage() });
    let mut response = respond(200, answer.to_string());
    let content = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}

/// Returns a header value, or an empty string if it is absent or not printable ASCII.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
