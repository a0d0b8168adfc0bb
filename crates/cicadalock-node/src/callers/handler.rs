use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cicadalock_core::config::FleetConfig;
use cicadalock_core::id::RequestId;
use cicadalock_core::message::HeaderField;
use cicadalock_core::outcome::RequestOutcome;
use cicadalock_core::router::{CallerEvent, CallerRequest};
use cicadalock_core::time::ClockTime;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{Request, Response};
use tokio::sync::watch;

use super::answer::{AnswerBody, AnswerStream, RequestGuard};
use super::body::{BodyError, read_body};
use super::classify::{RequestClass, classify, endpoint_headers, header};
use super::problem::{OUTCOME_HEADER, RequestProblem, outcome_value, respond_failure};
use crate::clock::ProcessClock;
use crate::hub::{HubInput, RouterInput};
use crate::metrics::{Metric, ProcessMetrics};
use crate::trace::{HopSpan, SpanSender, TraceContext};

/// Capacity of the event channel of one caller. The sidecar's flow-control window is smaller.
const EVENT_CAPACITY: usize = 1_024;

/// Maximum time for a caller to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Header fields of an answer that the router does not forward; sorted for binary search.
const DROPPED_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

/// Handles callers' requests: checks them, submits them to the hub and streams the answers back.
#[derive(Debug)]
pub(super) struct CallHandler {
    pub(super) hub: flume::Sender<HubInput<RouterInput>>,
    pub(super) config: watch::Receiver<Option<Arc<FleetConfig>>>,
    pub(super) metrics: Arc<ProcessMetrics>,
    pub(super) spans: SpanSender,
    pub(super) clock: ProcessClock,
    pub(super) next_request: AtomicU64,
}

/// Trace context of one request at the router, from which its spans are sent.
#[derive(Debug)]
pub(super) struct CallTrace {
    spans: SpanSender,
    clock: ProcessClock,
    parent: Option<u64>,
    context: TraceContext,
    start: ClockTime,
}

impl CallHandler {
    /// Handles one request and returns its response, whose body may still be streaming.
    pub(super) async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        self.metrics.add(Metric::Requests, 1);
        let (parts, body) = request.into_parts();
        let config = self.config.borrow().clone();
        let class = match classify(config, &parts) {
            Ok(class) => class,
            Err(problem) => return Ok(self.reject(problem)),
        };
        let limit = class.config.limits().body as usize;
        let body = match read_body(body, limit, BODY_TIMEOUT).await {
            Ok(body) => body.into(),
            Err(error) => return Ok(self.reject(body_problem(error))),
        };
        let trace = self.begin_trace(header(&parts.headers, "traceparent"));
        let mut headers = endpoint_headers(&parts.headers);
        headers.push(HeaderField {
            name: "traceparent".into(),
            value: trace.context.to_string(),
        });
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let call = build_call(class, parts.method.as_str(), target, headers, body);
        Ok(self.submit(call, trace).await)
    }

    async fn submit(&self, call: CallerRequest, trace: CallTrace) -> Response<AnswerBody> {
        let id = RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (reply, events) = flume::bounded(EVENT_CAPACITY);
        let call = Box::new(call);
        let input = HubInput::Role(RouterInput::Submit { id, call, reply });
        let mut guard = RequestGuard {
            id,
            hub: self.hub.clone(),
            metrics: Arc::clone(&self.metrics),
            is_finished: true,
        };
        if self.hub.send_async(input).await.is_ok() {
            guard.is_finished = false;
        }
        loop {
            match events.recv_async().await {
                Ok(CallerEvent::HandedOver(_)) => {
                    trace.span("router.queue", trace.start, "granted")
                }
                Ok(CallerEvent::Head { status, headers }) => {
                    return stream_answer(status, &headers, events, guard, trace);
                }
                Ok(CallerEvent::Fail(failure)) => {
                    guard.is_finished = true;
                    self.count_failure(failure.outcome);
                    trace.finish(failure.problem);
                    return respond_failure(&failure, failure_detail(failure.outcome));
                }
                Ok(_) => {}
                Err(_) => {
                    guard.is_finished = true;
                    return self.reject(RequestProblem {
                        status: 503,
                        problem: "router-stopping",
                        detail: "the router has stopped",
                    });
                }
            }
        }
    }

    fn begin_trace(&self, header: Option<&str>) -> CallTrace {
        let incoming: Option<TraceContext> = header.and_then(|text| text.parse().ok());
        CallTrace {
            spans: self.spans.clone(),
            clock: self.clock,
            parent: incoming.map(|context| context.span()),
            context: incoming.map_or_else(TraceContext::begin, |context| context.child()),
            start: self.clock.now(),
        }
    }

    fn reject(&self, problem: RequestProblem) -> Response<AnswerBody> {
        self.metrics.add(Metric::Rejected, 1);
        problem.respond()
    }

    fn count_failure(&self, outcome: RequestOutcome) {
        let metric = match outcome {
            RequestOutcome::Complete => Metric::Complete,
            RequestOutcome::NotRun => Metric::NotRun,
            RequestOutcome::Unknown => Metric::Unknown,
        };
        self.metrics.add(metric, 1);
    }
}

impl CallTrace {
    /// Sends the span of the whole request, which ends now.
    pub(super) fn finish(&self, status: &str) {
        self.send(
            "router.request",
            self.context,
            self.parent,
            self.start,
            status,
        );
    }

    /// Sends a child span, which ends now.
    fn span(&self, name: &str, start: ClockTime, status: &str) {
        self.send(
            name,
            self.context.child(),
            Some(self.context.span()),
            start,
            status,
        );
    }

    fn send(
        &self,
        name: &str,
        context: TraceContext,
        parent: Option<u64>,
        start: ClockTime,
        status: &str,
    ) {
        self.spans.send(HopSpan {
            name,
            context,
            parent,
            start: self.clock.wall_at(start),
            duration: self.clock.now().since(start),
            status,
        });
    }
}

fn body_problem(error: BodyError) -> RequestProblem {
    let (status, problem, detail) = match error {
        BodyError::TooLarge => (
            413,
            "body-too-large",
            "the body exceeds the limit of the configuration",
        ),
        BodyError::Incomplete => (400, "bad-body", "the body is not whole"),
        BodyError::TimedOut => (408, "slow-body", "the body did not come in time"),
    };
    RequestProblem {
        status,
        problem,
        detail,
    }
}

fn build_call(
    class: RequestClass,
    method: &str,
    target: &str,
    headers: Vec<HeaderField>,
    body: Vec<u8>,
) -> CallerRequest {
    let mut builder = CallerRequest::builder(&class.customer, &class.kind)
        .method(method)
        .target(target)
        .headers(headers)
        .body(body)
        .key(class.key);
    if let Some(timeout) = class.timeout {
        builder = builder.timeout(timeout);
    }
    builder.build()
}

fn stream_answer(
    status: u16,
    headers: &[HeaderField],
    events: flume::Receiver<CallerEvent>,
    guard: RequestGuard,
    trace: CallTrace,
) -> Response<AnswerBody> {
    let declared = headers
        .iter()
        .find(|field| field.name == CONTENT_LENGTH.as_str());
    let length = declared.and_then(|field| field.value.parse().ok());
    let stream = AnswerStream {
        events: events.into_stream(),
        guard,
        length,
        trace,
        uncredited_units: 0,
        sent_bytes: 0,
    };
    let mut response = Response::new(AnswerBody::Stream(Box::new(stream)));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    for field in headers {
        if DROPPED_HEADERS.binary_search(&field.name.as_str()).is_ok() {
            continue;
        }
        let name = field.name.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, field.value.parse::<HeaderValue>()) {
            response.headers_mut().append(name, value);
        }
    }
    let outcome = outcome_value(RequestOutcome::Complete);
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    response
}

const fn failure_detail(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Complete => "the request ran",
        RequestOutcome::NotRun => "the request did not run and will not run",
        RequestOutcome::Unknown => "the request may have run",
    }
}
