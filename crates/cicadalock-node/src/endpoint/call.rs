use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::config::ServiceProtocol;
use cicadalock_core::id::GrantId;
use cicadalock_core::message::{HandOver, HeaderField, end_state};
use cicadalock_core::sidecar::CallResult;
use cicadalock_core::time::ClockTime;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::command::CallCommand;
use super::meter::TokenMeter;
use super::relay::AnswerRelay;
use crate::clock::ProcessClock;
use crate::hub::{HubInput, SidecarInput};
use crate::metrics::{Metric, ProcessMetrics};
use crate::trace::{HopSpan, SpanSender, TraceContext};

/// Maximum time to connect to the endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time between two parts of a completion; a longer silence counts as a broken answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that a call that cannot be aborted may run beyond its deadline.
const MAX_OVERRUN: Duration = Duration::from_secs(60);

/// Tokens after which the cost of a running call is reported to the hub again.
const PROGRESS_STEP_TOKENS: i64 = 16;

/// State that all calls of a sidecar share.
#[derive(Debug)]
pub(super) struct CallContext {
    pub(super) endpoint: SocketAddr,
    pub(super) hub: flume::Sender<HubInput<SidecarInput>>,
    pub(super) metrics: Arc<ProcessMetrics>,
    pub(super) spans: SpanSender,
    pub(super) clock: ProcessClock,
}

/// One call in progress.
#[derive(Debug)]
pub(super) struct EndpointCall {
    pub(super) context: Arc<CallContext>,
    pub(super) call: CallCommand,
    pub(super) abort: CancellationToken,
    pub(super) window: Arc<Semaphore>,
}

/// Connection to the endpoint; dropping it aborts the task that drives its I/O.
struct EndpointConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointCall {
    /// Makes the call and reports its result to the hub, then to the router; returns its grant.
    pub(super) async fn run(self) -> GrantId {
        let context = Arc::clone(&self.context);
        let grant = self.call.command.grant;
        let (offered, received) = (self.call.command.offered, self.call.command.received);
        let started_at = context.clock.now();
        let request = &self.call.command.request;
        let trace = traceparent(request);
        let keep = self.call.command.keep_bytes;
        let outbox = self.call.outbox.clone();
        let mut relay = AnswerRelay::new(request.grant, outbox, Arc::clone(&self.window), keep);
        let call_trace = trace.map(|trace| trace.child());
        context.metrics.add(Metric::Calls, 1);
        let (result, cost) = self.attempt(&mut relay, call_trace).await;
        let status = result_name(&result);
        if let (Some(trace), Some(call_trace)) = (trace, call_trace) {
            context.span(
                "sidecar.grant",
                trace,
                trace.child(),
                offered,
                received,
                "used",
            );
            context.span(
                "sidecar.stage",
                trace,
                trace.child(),
                received,
                started_at,
                "started",
            );
            context.span(
                "endpoint.call",
                trace,
                call_trace,
                started_at,
                context.clock.now(),
                status,
            );
        }
        let state = match &result {
            CallResult::Complete { .. } => Some(end_state::COMPLETE),
            CallResult::Broken | CallResult::Abandoned => Some(end_state::BROKEN),
            // The hub reports to the router that the request did not run.
            CallResult::NotReached | CallResult::TooLate => None,
        };
        context.count(&result);
        // The ledger records the outcome before the caller can have the whole answer.
        let input = HubInput::Role(SidecarInput::Ended(grant, result, cost));
        let _ = context.hub.send_async(input).await;
        if let Some(state) = state {
            relay.send_end(state).await;
        }
        grant
    }

    async fn attempt(
        &self,
        relay: &mut AnswerRelay,
        trace: Option<TraceContext>,
    ) -> (CallResult, i64) {
        let Some(mut connection) = self.connect().await else {
            return (CallResult::NotReached, 0);
        };
        let started_at = self.context.clock.now();
        // The clock includes time spent suspended, so a process that was suspended until after the
        // end of its lease does not call.
        if started_at >= self.call.command.start_by || self.abort.is_cancelled() {
            return (CallResult::TooLate, 0);
        }
        let mut meter = None;
        let request = self.build_request(trace);
        let exchange = self.exchange(&mut connection, request, relay, &mut meter);
        let limit = self.time_limit(started_at);
        let status = tokio::select! {
            status = exchange => status,
            () = self.abort.cancelled() => None,
            () = tokio::time::sleep(limit) => None,
        };
        let is_abandoned = self.abort.is_cancelled() || relay.is_abandoned();
        let cost = match (self.call.protocol, &meter) {
            (ServiceProtocol::Completions, Some(meter)) => meter.tokens(),
            (ServiceProtocol::Completions, None) => 0,
            (ServiceProtocol::Plain, _) => elapsed_millis(started_at, self.context.clock.now()),
        };
        match status {
            Some(status) => (
                CallResult::Complete {
                    status,
                    kept: relay.take_stored_answer(),
                },
                cost,
            ),
            None if is_abandoned => (CallResult::Abandoned, cost),
            None => (CallResult::Broken, cost),
        }
    }

    /// Sends the request and forwards the answer; returns its status, or `None` if incomplete.
    async fn exchange(
        &self,
        connection: &mut EndpointConnection,
        request: Request<Full<Bytes>>,
        relay: &mut AnswerRelay,
        meter: &mut Option<TokenMeter>,
    ) -> Option<u16> {
        let response = connection.sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let is_framed = has_verifiable_end(&response);
        let is_stream = is_event_stream(response.headers());
        if self.call.protocol == ServiceProtocol::Completions {
            let new_meter = if is_stream {
                TokenMeter::for_stream()
            } else {
                TokenMeter::for_buffered()
            };
            *meter = Some(new_meter);
        }
        let length = response.body().size_hint().exact();
        relay
            .send_head(status, answer_headers(response.headers()), length)
            .await;
        self.forward_body(response.into_body(), relay, meter)
            .await?;
        let is_complete = meter.as_mut().is_none_or(|meter| {
            meter.finish();
            meter.is_complete()
        });
        let has_end_marker = meter.is_some() && is_stream;
        (is_complete && (is_framed || has_end_marker)).then_some(status)
    }

    async fn forward_body(
        &self,
        mut body: Incoming,
        relay: &mut AnswerRelay,
        meter: &mut Option<TokenMeter>,
    ) -> Option<()> {
        let mut reported = 0;
        loop {
            let frame = match meter {
                Some(_) => tokio::time::timeout(STALL_TIMEOUT, body.frame())
                    .await
                    .ok()?,
                None => body.frame().await,
            };
            let Some(frame) = frame else {
                return Some(());
            };
            let Ok(bytes) = frame.ok()?.into_data() else {
                continue;
            };
            if let Some(meter) = meter {
                meter.feed(&bytes);
                if meter.tokens() >= reported + PROGRESS_STEP_TOKENS {
                    reported = meter.tokens();
                    self.report_progress(reported).await;
                }
            }
            let is_delivered = relay.send_body(&bytes).await;
            if !is_delivered && self.call.command.is_abortable {
                return None;
            }
        }
    }

    async fn report_progress(&self, cost: i64) {
        let input = SidecarInput::Progress(self.call.command.grant, cost);
        let _ = self.context.hub.send_async(HubInput::Role(input)).await;
    }

    async fn connect(&self) -> Option<EndpointConnection> {
        let connecting = TcpStream::connect(self.context.endpoint);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(EndpointConnection { sender, driver })
    }

    fn build_request(&self, trace: Option<TraceContext>) -> Request<Full<Bytes>> {
        let command = &self.call.command;
        let body = Full::new(Bytes::from(command.request.body.clone()));
        let mut request = Request::new(body);
        *request.method_mut() = command
            .request
            .method
            .parse()
            .unwrap_or(hyper::Method::POST);
        *request.uri_mut() = command.request.target.parse().unwrap_or_default();
        let headers = request.headers_mut();
        for field in &command.request.headers {
            append_header(headers, &field.name, &field.value);
        }
        headers.remove("traceparent");
        if let Some(trace) = trace {
            append_header(headers, "traceparent", &trace.to_string());
        }
        append_header(headers, HOST.as_str(), &self.context.endpoint.to_string());
        append_header(headers, "cicadalock-customer", self.call.customer.as_str());
        append_header(headers, "cicadalock-kind", self.call.kind.as_str());
        append_header(headers, "cicadalock-fence", &command.fence.to_string());
        request
    }

    fn time_limit(&self, now: ClockTime) -> Duration {
        let remaining = self.call.command.deadline.since(now);
        if self.call.command.is_abortable {
            remaining
        } else {
            remaining + MAX_OVERRUN
        }
    }
}

impl CallContext {
    fn count(&self, result: &CallResult) {
        match result {
            CallResult::NotReached => self.metrics.add(Metric::CallsNotReached, 1),
            CallResult::Broken => self.metrics.add(Metric::CallsBroken, 1),
            CallResult::TooLate | CallResult::Complete { .. } | CallResult::Abandoned => {}
        }
    }

    fn span(
        &self,
        name: &str,
        parent: TraceContext,
        span_context: TraceContext,
        start: ClockTime,
        end: ClockTime,
        status: &str,
    ) {
        self.spans.send(HopSpan {
            name,
            context: span_context,
            parent: Some(parent.span()),
            start: self.clock.wall_at(start),
            duration: end.since(start),
            status,
        });
    }
}

fn traceparent(request: &HandOver) -> Option<TraceContext> {
    let field = request
        .headers
        .iter()
        .find(|field| field.name == "traceparent")?;
    field.value.parse().ok()
}

const fn result_name(result: &CallResult) -> &'static str {
    match result {
        CallResult::NotReached => "not reached",
        CallResult::TooLate => "too late",
        CallResult::Complete { .. } => "complete",
        CallResult::Broken => "broken",
        CallResult::Abandoned => "abandoned",
    }
}

fn elapsed_millis(started_at: ClockTime, now: ClockTime) -> i64 {
    i64::try_from(now.since(started_at).as_millis()).unwrap_or(i64::MAX)
}

/// Returns whether a truncated body would be detected: its length is declared or it is chunked.
fn has_verifiable_end(response: &Response<Incoming>) -> bool {
    let is_chunked = response
        .headers()
        .contains_key(hyper::header::TRANSFER_ENCODING);
    is_chunked || response.body().size_hint().exact().is_some()
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

fn answer_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let fields = headers.iter().filter_map(|(name, value)| {
        Some(HeaderField {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    });
    fields.collect()
}

fn append_header(headers: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse::<HeaderValue>()) {
        headers.append(name, value);
    }
}
