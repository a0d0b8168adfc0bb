use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::gateway::{AttemptEnd, RetryDenial};
use cicadalock_core::id::EndpointId;
use cicadalock_core::time::ClockTime;
use http_body_util::{BodyExt, Full};
use hyper::HeaderMap;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde_json::json;
use snafu::Snafu;
use tokio::sync::mpsc;

use super::attempt::{
    AttemptFailure, AttemptProgress, CallerRequest, EndpointAnswer, attempt, complete_end,
};
use super::connection_pool::EndpointConnection;
use super::dialect::GatewayDialect;
use super::event_splitter::EventSplitter;
use super::request_guard::RequestGuard;
use super::shared::{GatewayShared, StartVerdict};

/// Number of chunks that are buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// Body of a response to a caller.
#[derive(Debug)]
pub(super) enum GatewayBody {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is received in chunks. If the sender is dropped before [`StreamChunk::End`], the
    /// body fails with [`IncompleteBody`].
    Stream(mpsc::Receiver<StreamChunk>),
}

/// A part of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamChunk {
    Bytes(Bytes),
    End,
}

/// The stream failed before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("response stream failed before its end"))]
pub(super) struct IncompleteBody;

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            Self::Stream(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(StreamChunk::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamChunk::End) => None,
                None => Some(Err(IncompleteBody)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Forwards an event stream to a caller, and resumes it at another endpoint if that is allowed.
#[derive(Debug)]
pub(super) struct StreamRelay {
    pub(super) shared: Rc<GatewayShared>,
    pub(super) guard: RequestGuard,
    pub(super) request: CallerRequest,
    pub(super) is_resumable: bool,
    /// Time without data after which the stream fails; a resumable stream is resumed at another
    /// endpoint after half of it.
    pub(super) silence_limit: Duration,
    pub(super) arrived: ClockTime,
    /// Id of the event after which the caller asked to resume the stream.
    pub(super) resume_after: Option<String>,
    /// The attempt whose events are forwarded.
    pub(super) progress: AttemptProgress,
    /// Version of the configuration that the request belongs to.
    pub(super) config_version: u64,
    /// When the endpoint last sent something, or the time of its response head.
    pub(super) last_received: ClockTime,
}

/// How one endpoint's part of a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PartEnd {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(String),
}

impl StreamRelay {
    /// Spawns a task that forwards `answer`, and returns the body for the caller.
    pub(super) fn start<D: GatewayDialect>(self, answer: EndpointAnswer) -> GatewayBody {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        tokio::task::spawn_local(self.run::<D>(answer, sender));
        GatewayBody::Stream(receiver)
    }

    async fn run<D: GatewayDialect>(
        mut self,
        mut answer: EndpointAnswer,
        caller: mpsc::Sender<StreamChunk>,
    ) {
        let mut splitter = EventSplitter::default();
        loop {
            let EndpointAnswer {
                endpoint,
                response,
                connection,
                ..
            } = answer;
            let (parts, body) = response.into_parts();
            let end = self.forward_events(body, &mut splitter, &caller).await;
            match end {
                PartEnd::Complete => {
                    self.finish(&endpoint, connection, &parts.headers, &splitter);
                    // Fails only if the caller has disconnected.
                    let _ = caller.send(StreamChunk::End).await;
                    return;
                }
                PartEnd::CallerLeft => {
                    self.log_end("caller-left", &endpoint, &splitter);
                    self.guard.finish_attempt(AttemptEnd::Abandoned);
                    return;
                }
                PartEnd::TimedOut => {
                    self.log_end("route-timeout", &endpoint, &splitter);
                    self.guard.finish_attempt(AttemptEnd::Abandoned);
                    return;
                }
                PartEnd::Broken(detail) => {
                    drop(connection);
                    let failure = AttemptFailure::new(AttemptEnd::Broken, detail);
                    match self
                        .resume::<D>(failure, &endpoint, &mut splitter, &caller)
                        .await
                    {
                        Some(next) => answer = next,
                        None => return,
                    }
                }
            }
        }
    }

    /// Forwards the events of one endpoint's response until it ends or fails.
    async fn forward_events(
        &mut self,
        mut body: Incoming,
        splitter: &mut EventSplitter,
        caller: &mpsc::Sender<StreamChunk>,
    ) -> PartEnd {
        let silence_limit = if self.is_resumable {
            self.silence_limit / 2
        } else {
            self.silence_limit
        };
        loop {
            let time_left = self.request.deadline.since(self.shared.now());
            let has_started = splitter.events() > 0;
            let limit = silence_limit.min(time_left);
            let waiting_since = self.shared.now();
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller.closed() => return PartEnd::CallerLeft,
                () = tokio::time::sleep(limit) => {
                    let now = self.shared.now();
                    if now >= self.request.deadline {
                        return PartEnd::TimedOut;
                    }
                    self.log_silence(limit, now.since(waiting_since));
                    return PartEnd::Broken("no event within the silence limit".to_owned());
                }
            };
            self.last_received = self.shared.now();
            let bytes = match frame {
                None if !splitter.partial().is_empty() => {
                    return PartEnd::Broken("the stream ended inside an event".to_owned());
                }
                None => return PartEnd::Complete,
                Some(Err(error)) => return PartEnd::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let Some(events) = splitter.feed(&bytes) else {
                if splitter.is_oversized() {
                    return PartEnd::Broken("event exceeds the size limit".to_owned());
                }
                continue;
            };
            if !has_started {
                self.record_first_event();
            }
            if self.progress.record_event(self.shared.now()) {
                self.guard.record_survival();
            }
            if caller.send(StreamChunk::Bytes(events)).await.is_err() {
                return PartEnd::CallerLeft;
            }
        }
    }

    /// Resumes the stream at another endpoint after the last complete event.
    ///
    /// Returns `None` if the request must not be retried, no endpoint takes it in time, or the
    /// caller has disconnected.
    async fn resume<D: GatewayDialect>(
        &mut self,
        mut failure: AttemptFailure,
        endpoint: &EndpointId,
        splitter: &mut EventSplitter,
        caller: &mpsc::Sender<StreamChunk>,
    ) -> Option<EndpointAnswer> {
        splitter.discard_partial();
        let mut endpoint = endpoint.clone();
        loop {
            let call = self.guard.finish_attempt(failure.end)?;
            let denial = self.guard.retry(call, failure.end).err();
            let next = denial.map_or("repeated", RetryDenial::name);
            failure.log(&self.shared, &self.request, &self.progress, next);
            if denial.is_some() {
                self.log_end(next, &endpoint, splitter);
                return None;
            }
            let time_left = self.request.deadline.since(self.shared.now());
            let verdict = tokio::select! {
                verdict = self.guard.verdict() => verdict,
                () = caller.closed() => None,
                () = tokio::time::sleep(time_left) => None,
            };
            let assignment = match verdict {
                Some(StartVerdict::Start(assignment)) => assignment,
                Some(StartVerdict::Refuse { reason, .. }) => {
                    self.log_end(reason.name(), &endpoint, splitter);
                    return None;
                }
                None => {
                    self.log_end("not-resumed", &endpoint, splitter);
                    return None;
                }
            };
            endpoint = assignment.endpoint.clone();
            self.progress = AttemptProgress::new(&assignment);
            let after = splitter
                .last_id()
                .or(self.resume_after.as_deref())
                .map(str::to_owned);
            let time_left = self.request.deadline.since(self.shared.now());
            let next_attempt = attempt::<D>(
                &self.shared,
                &self.request,
                &assignment,
                after.as_deref(),
                time_left,
            );
            let result = tokio::select! {
                result = next_attempt => result,
                () = caller.closed() => return None,
            };
            match result {
                Ok(next) if next.response.status().is_success() => {
                    self.last_received = self.shared.now();
                    self.log_resumed(&endpoint, after.as_deref());
                    return Some(next);
                }
                Ok(next) => {
                    let detail = format!("status {}", next.response.status().as_u16());
                    failure = AttemptFailure::new(AttemptEnd::Failed, detail);
                }
                Err(error) => failure = error,
            }
        }
    }

    fn record_first_event(&self) {
        self.guard.record_first_event();
        let waited = self.shared.now().since(self.arrived);
        self.shared.metrics.first.observe(waited.as_secs_f64());
    }

    fn finish(
        &mut self,
        endpoint: &EndpointId,
        connection: EndpointConnection,
        headers: &HeaderMap,
        splitter: &EventSplitter,
    ) {
        let now = self.shared.now();
        self.shared.pool.put(endpoint, connection, headers, now);
        self.guard.finish_attempt(complete_end(headers));
        let whole = now.since(self.arrived);
        self.shared.metrics.whole.observe(whole.as_secs_f64());
        self.log_end("complete", endpoint, splitter);
    }

    /// Logs that the endpoint sent nothing for `limit`; `waited` is longer if the router was late.
    fn log_silence(&self, limit: Duration, waited: Duration) {
        self.shared.log.write(
            "stream-silent",
            json!({
                "request": self.request.number,
                "endpoint": self.progress.endpoint.as_str(),
                "limit_ms": limit.as_millis() as u64,
                "waited_ms": waited.as_millis() as u64,
                "received_ms": self.shared.now().since(self.last_received).as_millis() as u64,
                "config": self.config_version,
            }),
        );
    }

    fn log_end(&self, end: &str, endpoint: &EndpointId, splitter: &EventSplitter) {
        self.shared.log.write(
            "stream-end",
            json!({
                "request": self.request.number,
                "end": end,
                "endpoint": endpoint.as_str(),
                "events": splitter.events(),
                "last_event": splitter.last_id(),
                "received_ms": self.shared.now().since(self.last_received).as_millis() as u64,
                "config": self.config_version,
                "ms": self.shared.now().since(self.arrived).as_millis() as u64,
            }),
        );
    }

    fn log_resumed(&self, endpoint: &EndpointId, after: Option<&str>) {
        self.shared.log.write(
            "stream-resumed",
            json!({
                "request": self.request.number,
                "endpoint": endpoint.as_str(),
                "after_event": after,
            }),
        );
    }
}
