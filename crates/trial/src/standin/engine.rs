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

use super::http::{StandinBody, respond, serve_forever};
use super::ledger::EffectLog;

/// Header by which a test asks for a fault.
const FAULT_HEADER: &str = "x-standin-fault";

/// How a stand-in engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct EngineOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests in one batch; more of them slow each other down.
    pub batch: u32,
    /// Time between two tokens of a request in a batch that is not full.
    pub token: Duration,
}

#[derive(Debug)]
struct EngineState {
    options: EngineOptions,
    log: Arc<EffectLog>,
}

/// Runs a stand-in model engine until the process ends.
///
/// # Errors
///
/// Fails if it cannot listen.
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
    let asked: Value = serde_json::from_slice(&body).unwrap_or_default();
    let header = |name| header(&parts.headers, name);
    let text = String::from_utf8_lossy(&body);
    let fence = header("cicadalock-fence").parse().unwrap_or(0);
    state.log.note(
        header("cicadalock-customer"),
        header("idempotency-key"),
        &text,
        fence,
    );
    let tokens = asked["max_tokens"].as_u64().unwrap_or(16);
    if header(FAULT_HEADER) == "status-500" {
        return respond(500, "{}");
    }
    let run = TokenRun::begin(&state, &parts.headers, tokens);
    if asked["stream"].as_bool() == Some(true) {
        stream_tokens(run)
    } else {
        whole_answer(run).await
    }
}

/// One completion in work.
struct TokenRun {
    log: Arc<EffectLog>,
    customer: String,
    kind: String,
    fault: String,
    token: Duration,
    batch: u32,
    total: u64,
    made: u64,
    next: Instant,
    is_over: bool,
}

impl TokenRun {
    fn begin(state: &EngineState, headers: &HeaderMap, total: u64) -> Self {
        state.log.change_active(1);
        Self {
            log: Arc::clone(&state.log),
            customer: header(headers, "cicadalock-customer").to_owned(),
            kind: header(headers, "cicadalock-kind").to_owned(),
            fault: header(headers, FAULT_HEADER).to_owned(),
            token: state.options.token,
            batch: state.options.batch,
            total,
            made: 0,
            next: Instant::now(),
            is_over: false,
        }
    }

    /// Waits for the next token; a batch that is more than full slows every token down.
    async fn make_token(&mut self) {
        let active = self.log.change_active(0).max(1) as f64;
        let load = (active / f64::from(self.batch)).max(1.0);
        self.next += self.token.mul_f64(load);
        tokio::time::sleep_until(self.next).await;
        self.made += 1;
        self.log.spend(&self.customer, &self.kind, 1);
    }

    fn usage(&self) -> Value {
        json!({ "total_tokens": self.made, "completion_tokens": self.made })
    }

    async fn next_event(mut self) -> Option<(Result<Frame<Bytes>, std::io::Error>, Self)> {
        if self.is_over {
            return None;
        }
        let is_midway = self.made * 2 >= self.total;
        match self.fault.as_str() {
            "close" if is_midway => {
                self.is_over = true;
                return Some((Err(std::io::Error::other("cut")), self));
            }
            "stall" if is_midway => std::future::pending::<()>().await,
            "no-done" if is_midway => return None,
            _ => {}
        }
        let text = if self.made < self.total {
            self.make_token().await;
            let event = json!({ "choices": [{ "text": format!("t{} ", self.made), "index": 0 }] });
            format!("data: {event}\n\n")
        } else {
            self.is_over = true;
            let event = json!({ "choices": [], "usage": self.usage() });
            format!("data: {event}\n\ndata: [DONE]\n\n")
        };
        Some((Ok(Frame::data(Bytes::from(text))), self))
    }
}

impl Drop for TokenRun {
    fn drop(&mut self) {
        self.log.change_active(-1);
        if self.made < self.total {
            self.log.note_cancelled();
        }
    }
}

fn stream_tokens(run: TokenRun) -> Response<StandinBody> {
    let events = stream::unfold(run, TokenRun::next_event);
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

async fn whole_answer(mut run: TokenRun) -> Response<StandinBody> {
    while run.made < run.total {
        run.make_token().await;
    }
    let text: String = (1..=run.made).map(|token| format!("t{token} ")).collect();
    let answer = json!({ "choices": [{ "text": text }], "usage": run.usage() });
    let mut response = respond(200, answer.to_string());
    let content = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
