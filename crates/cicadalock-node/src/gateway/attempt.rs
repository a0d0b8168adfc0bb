use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::gateway::AttemptEnd;
use cicadalock_core::id::{CustomerName, EndpointId, PartId, RequestDigest};
use cicadalock_core::quarantine::SURVIVAL_TIME;
use cicadalock_core::time::ClockTime;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use serde_json::json;

use super::connection_pool::{EndpointConnection, connect};
use super::dialect::{AnswerFields, ForwardContext, GatewayDialect};
use super::event_splitter::EventSplitter;
use super::shared::{EndpointAssignment, GatewayShared};
use super::stream_part::{PartFrame, read_frame};

/// Header fields that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A caller's request, buffered in full so that it can be retried.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Request id that the caller chose for this attempt, an opaque text; empty if it gave none.
    ///
    /// An answer is accepted only if the endpoint echoes this id.
    pub(super) number: String,
    pub(super) customer: Option<CustomerName>,
    /// Time after which the caller no longer waits for the answer.
    pub(super) deadline: ClockTime,
    /// Whether the request may run more than once.
    pub(super) may_retry: bool,
    /// Ids of the prompt's parts that other requests may share, in order.
    pub(super) shared_parts: Vec<PartId>,
    /// Digest by which the request is known if its caller sends it again.
    pub(super) digest: RequestDigest,
}

/// Where and when an attempt was sent, and when its answer began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AttemptProgress {
    pub(super) endpoint: EndpointId,
    pub(super) started_at: ClockTime,
    /// Time of the first event that was received; `None` before it.
    pub(super) begun_at: Option<ClockTime>,
    /// Whether the answer has gone on long enough to speak for the parts of the prompt.
    pub(super) has_survived: bool,
}

/// An endpoint's answer whose head was received and whose body is still to be read.
#[derive(Debug)]
pub(super) struct EndpointAnswer {
    pub(super) endpoint: EndpointId,
    pub(super) response: Response<Incoming>,
    /// What was read of the body already.
    pub(super) read_ahead: Vec<Bytes>,
    pub(super) connection: EndpointConnection,
}

/// A failed attempt: how it ended, and a description for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AttemptFailure {
    pub(super) end: AttemptEnd,
    pub(super) detail: String,
}

impl AttemptProgress {
    /// Creates the progress of an attempt that starts now.
    pub(super) fn new(assignment: &EndpointAssignment) -> Self {
        Self {
            endpoint: assignment.endpoint.clone(),
            started_at: assignment.started_at,
            begun_at: None,
            has_survived: false,
        }
    }

    /// Records that an event was received; returns whether the answer has gone on long enough to
    /// speak for the parts of the prompt, once.
    pub(super) fn record_event(&mut self, now: ClockTime) -> bool {
        let begun = *self.begun_at.get_or_insert(now);
        let is_new = !self.has_survived && now.since(begun) >= SURVIVAL_TIME;
        self.has_survived |= is_new;
        is_new
    }
}

impl EndpointAnswer {
    /// Reads a stream until its first event is complete, and keeps what was read.
    ///
    /// # Errors
    ///
    /// Returns why the stream ended without an event.
    pub(super) async fn read_first_event(&mut self) -> Result<(), String> {
        let mut splitter = EventSplitter::default();
        loop {
            let bytes = match read_frame(self.response.body_mut()).await {
                PartFrame::Data(bytes) => bytes,
                PartFrame::End => {
                    return Err("the stream ended without a complete event".to_owned());
                }
                PartFrame::Broken(detail) => return Err(detail),
            };
            let has_event = splitter.feed(&bytes).is_some();
            self.read_ahead.push(bytes);
            if has_event {
                return Ok(());
            }
            if splitter.is_oversized() {
                return Err("event exceeds the size limit".to_owned());
            }
        }
    }
}

impl AttemptFailure {
    pub(super) fn new(end: AttemptEnd, detail: impl Into<String>) -> Self {
        Self {
            end,
            detail: detail.into(),
        }
    }

    /// Logs the failure.
    ///
    /// `next` says what follows: `repeated` if the request is retried, otherwise the name of the
    /// reason why it is not.
    pub(super) fn log(
        &self,
        shared: &GatewayShared,
        request: &CallerRequest,
        progress: &AttemptProgress,
        next: &str,
    ) {
        let now = shared.now();
        let parts: Vec<String> = request.shared_parts.iter().map(PartId::to_string).collect();
        shared.log.write(
            "attempt-failed",
            json!({
                "request": request.number,
                "end": self.end.name(),
                "detail": self.detail,
                "endpoint": progress.endpoint.as_str(),
                "next": next,
                "sent_ms": now.since(progress.started_at).as_millis() as u64,
                "answered_ms": progress.begun_at.map(|begun| now.since(begun).as_millis() as u64),
                "parts": parts,
                "digest": request.digest.to_string(),
            }),
        );
    }
}

/// Sends a request to an endpoint and waits up to `head_timeout` for the head of the answer.
///
/// `last_event_id` is the id of the last event that the caller has, if a stream is resumed.
pub(super) async fn attempt<D: GatewayDialect>(
    shared: &Rc<GatewayShared>,
    request: &CallerRequest,
    assignment: &EndpointAssignment,
    last_event_id: Option<&str>,
    head_timeout: Duration,
) -> Result<EndpointAnswer, AttemptFailure> {
    let exchange = exchange::<D>(shared, request, assignment, last_event_id);
    tokio::select! {
        biased;
        result = exchange => result,
        () = shared.wait_for_silence(head_timeout) => Err(AttemptFailure::new(
            AttemptEnd::Broken,
            "no response head before the timeout",
        )),
    }
}

async fn exchange<D: GatewayDialect>(
    shared: &Rc<GatewayShared>,
    request: &CallerRequest,
    assignment: &EndpointAssignment,
    last_event_id: Option<&str>,
) -> Result<EndpointAnswer, AttemptFailure> {
    let now = shared.now();
    // A request that must not run twice cannot be retried if it is lost on an idle connection that the
    // endpoint has dropped. The pool gives it only a connection that was idle for a short time.
    let mut connection = match shared
        .pool
        .take(&assignment.endpoint, request.may_retry, now)
    {
        Some(connection) => connection,
        None => open_connection(shared, assignment).await?,
    };
    let mut message = build_request::<D>(shared, request, assignment, last_event_id);
    let response = loop {
        shared.wait_for_current_copy().await;
        ensure_usable(shared, assignment)?;
        let time_left = request.deadline.since(shared.now());
        match connection.send(message, time_left).await {
            Ok(response) => break response,
            Err(mut error) => match error.take_message() {
                // The endpoint closed the idle connection before any of the request was sent.
                Some(unsent) if connection.is_reused => {
                    connection = open_connection(shared, assignment).await?;
                    message = unsent;
                }
                Some(_) => {
                    let detail = error.error().to_string();
                    return Err(AttemptFailure::new(AttemptEnd::NotReached, detail));
                }
                None => {
                    let detail = error.error().to_string();
                    return Err(AttemptFailure::new(AttemptEnd::Broken, detail));
                }
            },
        }
    };
    let fields = D::decode_answer_fields(response.status().as_u16(), response.headers());
    check_answer(request, &response, &fields, connection.is_reused)?;
    if !fields.is_misdirected {
        shared.record_limit(assignment, &fields);
        shared.record_notices(assignment, &fields);
    }
    if let Some((running, waiting)) = fields.load {
        let mut machine = shared.machine.borrow_mut();
        machine.update_load(&assignment.endpoint, running, waiting);
    }
    if fields.is_misdirected {
        let detail = "another incarnation listens at the address";
        return Err(AttemptFailure::new(AttemptEnd::Misdirected, detail));
    }
    if fields.is_not_run {
        let detail = format!("refused with status {}", response.status().as_u16());
        // The body is not needed; if it is short, reading it keeps the connection usable.
        discard_body(shared, &assignment.endpoint, response, connection);
        return Err(AttemptFailure::new(AttemptEnd::Full, detail));
    }
    Ok(EndpointAnswer {
        endpoint: assignment.endpoint.clone(),
        response,
        read_ahead: Vec::new(),
        connection,
    })
}

/// Fails if the request is no longer to be sent to the endpoint that it was assigned to.
///
/// Opening a connection takes time, and a busy process starts its tasks late.
fn ensure_usable(
    shared: &GatewayShared,
    assignment: &EndpointAssignment,
) -> Result<(), AttemptFailure> {
    let machine = shared.machine.borrow();
    let detail = if machine.is_refused(assignment.request) {
        "what crashes endpoints was found in this request before it was sent"
    } else if !machine.is_usable(&assignment.endpoint, shared.now()) {
        "the endpoint stopped taking requests before this one was sent"
    } else {
        return Ok(());
    };
    Err(AttemptFailure::new(AttemptEnd::EndpointLeft, detail))
}

/// Opens a new connection to the endpoint and counts it.
async fn open_connection(
    shared: &Rc<GatewayShared>,
    assignment: &EndpointAssignment,
) -> Result<EndpointConnection, AttemptFailure> {
    shared.metrics.connects.inc();
    let opened = connect(assignment.address).await;
    opened.map_err(|detail| AttemptFailure::new(AttemptEnd::NotReached, detail))
}

/// Checks that an answer belongs to the request; any other answer must not reach the caller.
///
/// The answer must echo the request id. The id may be missing if the endpoint states that it did not
/// run the request, or if another incarnation answers; but not on a connection that had other answers
/// before, where it may be one of those again. A success status must come with the endpoint's signature.
fn check_answer(
    request: &CallerRequest,
    response: &Response<Incoming>,
    fields: &AnswerFields,
    is_reused: bool,
) -> Result<(), AttemptFailure> {
    let broken = |detail: String| Err(AttemptFailure::new(AttemptEnd::Broken, detail));
    match &fields.request {
        Some(number) if *number == request.number => {}
        Some(number) => return broken(format!("the answer is for request `{number}`")),
        None if !is_reused && (fields.is_not_run || fields.is_misdirected) => {}
        None => return broken("the answer has no request id".to_owned()),
    }
    if response.status().is_success() && !fields.is_signed {
        return broken("success status without the endpoint's signature".to_owned());
    }
    Ok(())
}

fn build_request<D: GatewayDialect>(
    shared: &Rc<GatewayShared>,
    request: &CallerRequest,
    assignment: &EndpointAssignment,
    last_event_id: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    remove_hop_by_hop_headers(headers);
    let context = ForwardContext {
        endpoint: &assignment.endpoint,
        time_left: request.deadline.since(shared.now()),
        customer: request.customer.as_ref(),
        resume_after: last_event_id,
    };
    D::endpoint_headers(headers, &context);
    message
}

/// Returns how an attempt ended whose answer was read to its end.
///
/// An answer with neither a length nor chunks ends with its connection, also if the endpoint crashed.
pub(super) fn complete_end(headers: &HeaderMap) -> AttemptEnd {
    if headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
        AttemptEnd::Complete
    } else {
        AttemptEnd::CompleteUnframed
    }
}

/// Removes the hop-by-hop header fields, including those that the `Connection` field names.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name);
    }
}

/// Reads and discards the rest of an answer in the background, so that its connection can be reused.
///
/// Closes the connection if the body is too long or does not end in time.
fn discard_body(
    shared: &Rc<GatewayShared>,
    endpoint: &EndpointId,
    response: Response<Incoming>,
    connection: EndpointConnection,
) {
    use http_body_util::{BodyExt, Limited};
    const MAX_DISCARDED_BYTES: usize = 4 * 1024;
    const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
    let (shared, endpoint) = (Rc::clone(shared), endpoint.clone());
    tokio::task::spawn_local(async move {
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, MAX_DISCARDED_BYTES).collect();
        if matches!(
            tokio::time::timeout(DISCARD_TIMEOUT, collected).await,
            Ok(Ok(_))
        ) {
            let now = shared.now();
            shared.pool.put(&endpoint, connection, &parts.headers, now);
        }
    });
}
