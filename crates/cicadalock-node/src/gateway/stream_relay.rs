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

use super::attempt::{AttemptFailure, CallerRequest, EndpointAnswer, attempt};
use super::connection_pool::EndpointConnection;
use super::dialect::GatewayDialect;
use super::event_splitter::EventSplitter;
use super::request_guard::RequestGuard;
use super::shared::{GatewayShared, StartVerdict};

/// Pieces of a stream that may wait for its caller.
const PIECE_CAPACITY: usize = 64;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(super) enum GatewayBody {
    /// It is here.
    Whole(Full<Bytes>),
    /// It comes in pieces; a sender that is dropped without an end marks a break.
    Stream(mpsc::Receiver<StreamPiece>),
}

/// A piece of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamPiece {
    Bytes(Bytes),
    End,
}

/// The answer broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct BodyBreak;

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = BodyBreak;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBreak>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            Self::Stream(pieces) => pieces.poll_recv(context).map(|piece| match piece {
                Some(StreamPiece::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPiece::End) => None,
                None => Some(Err(BodyBreak)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Passes a stream on event by event, and goes on elsewhere where that is allowed.
#[derive(Debug)]
pub(super) struct StreamRelay {
    pub(super) shared: Rc<GatewayShared>,
    pub(super) guard: RequestGuard,
    pub(super) request: CallerRequest,
    pub(super) is_resumable: bool,
    /// Silence after which the stream is given up, or goes on elsewhere after half of it.
    pub(super) silence: Duration,
    pub(super) arrived: ClockTime,
    /// Event after which the caller itself goes on.
    pub(super) resume_after: Option<String>,
}

/// How one run's part of a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PartEnd {
    Whole,
    CallerLeft,
    TimedOut,
    Broken(String),
}

impl StreamRelay {
    /// Starts to pass `answer` on; returns the body for the caller.
    pub(super) fn start<D: GatewayDialect>(self, answer: EndpointAnswer) -> GatewayBody {
        let (sender, receiver) = mpsc::channel(PIECE_CAPACITY);
        tokio::task::spawn_local(self.run::<D>(answer, sender));
        GatewayBody::Stream(receiver)
    }

    async fn run<D: GatewayDialect>(
        mut self,
        mut answer: EndpointAnswer,
        caller: mpsc::Sender<StreamPiece>,
    ) {
        let mut cutter = EventSplitter::default();
        loop {
            let EndpointAnswer {
                endpoint,
                response,
                connection,
                ..
            } = answer;
            let (parts, body) = response.into_parts();
            let end = self.pass(body, &mut cutter, &caller).await;
            match end {
                PartEnd::Whole => {
                    self.finish(&endpoint, connection, &parts.headers, &cutter);
                    // A caller that left needs no end.
                    let _ = caller.send(StreamPiece::End).await;
                    return;
                }
                PartEnd::CallerLeft => {
                    self.log_end("caller-left", &endpoint, &cutter);
                    self.guard.end(AttemptEnd::Abandoned);
                    return;
                }
                PartEnd::TimedOut => {
                    self.log_end("route-timeout", &endpoint, &cutter);
                    self.guard.end(AttemptEnd::Abandoned);
                    return;
                }
                PartEnd::Broken(detail) => {
                    drop(connection);
                    let failure = AttemptFailure::new(AttemptEnd::Broken, detail);
                    match self
                        .resume::<D>(failure, &endpoint, &mut cutter, &caller)
                        .await
                    {
                        Some(next) => answer = next,
                        None => return,
                    }
                }
            }
        }
    }

    /// Passes one run's events on.
    async fn pass(
        &mut self,
        mut body: Incoming,
        cutter: &mut EventSplitter,
        caller: &mpsc::Sender<StreamPiece>,
    ) -> PartEnd {
        let silence = if self.is_resumable {
            self.silence / 2
        } else {
            self.silence
        };
        loop {
            let left = self.request.deadline.since(self.shared.now());
            let is_begun = cutter.events() > 0;
            let limit = silence.min(left);
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller.closed() => return PartEnd::CallerLeft,
                () = tokio::time::sleep(limit) => {
                    if self.shared.now() >= self.request.deadline {
                        return PartEnd::TimedOut;
                    }
                    return PartEnd::Broken("no event in time".to_owned());
                }
            };
            let bytes = match frame {
                None => {
                    let rest = cutter.take_partial();
                    if !rest.is_empty() && caller.send(StreamPiece::Bytes(rest)).await.is_err() {
                        return PartEnd::CallerLeft;
                    }
                    return PartEnd::Whole;
                }
                Some(Err(error)) => return PartEnd::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let Some(events) = cutter.feed(&bytes) else {
                if cutter.is_oversized() {
                    return PartEnd::Broken("an event without an end".to_owned());
                }
                continue;
            };
            if !is_begun {
                self.note_first();
            }
            if caller.send(StreamPiece::Bytes(events)).await.is_err() {
                return PartEnd::CallerLeft;
            }
        }
    }

    /// Goes on at another endpoint after the last whole event, if that is allowed.
    async fn resume<D: GatewayDialect>(
        &mut self,
        mut failure: AttemptFailure,
        endpoint: &EndpointId,
        cutter: &mut EventSplitter,
        caller: &mpsc::Sender<StreamPiece>,
    ) -> Option<EndpointAnswer> {
        cutter.discard_partial();
        let mut endpoint = endpoint.clone();
        loop {
            let call = self.guard.end(failure.end)?;
            let denial = self.guard.repeat(call, failure.end).err();
            let next = denial.map_or("repeated", RetryDenial::name);
            failure.log(&self.shared, &self.request.number, &endpoint, next);
            if denial.is_some() {
                self.log_end(next, &endpoint, cutter);
                return None;
            }
            let left = self.request.deadline.since(self.shared.now());
            let verdict = tokio::select! {
                verdict = self.guard.verdict() => verdict,
                () = caller.closed() => None,
                () = tokio::time::sleep(left) => None,
            };
            let Some(StartVerdict::Start(order)) = verdict else {
                self.log_end("not-resumed", &endpoint, cutter);
                return None;
            };
            endpoint = order.endpoint.clone();
            let after = cutter
                .last_id()
                .or(self.resume_after.as_deref())
                .map(str::to_owned);
            let left = self.request.deadline.since(self.shared.now());
            let trial = attempt::<D>(&self.shared, &self.request, &order, after.as_deref(), left);
            let result = tokio::select! {
                result = trial => result,
                () = caller.closed() => return None,
            };
            match result {
                Ok(next) if next.response.status().is_success() => {
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

    fn note_first(&self) {
        self.guard.first_event();
        let waited = self.shared.now().since(self.arrived);
        self.shared.metrics.first.observe(waited.as_secs_f64());
    }

    fn finish(
        &mut self,
        endpoint: &EndpointId,
        connection: EndpointConnection,
        headers: &HeaderMap,
        cutter: &EventSplitter,
    ) {
        let now = self.shared.now();
        self.shared.pool.put(endpoint, connection, headers, now);
        self.guard.end(AttemptEnd::Complete);
        let whole = now.since(self.arrived);
        self.shared.metrics.whole.observe(whole.as_secs_f64());
        self.log_end("complete", endpoint, cutter);
    }

    fn log_end(&self, end: &str, endpoint: &EndpointId, cutter: &EventSplitter) {
        self.shared.log.write(
            "stream-end",
            json!({
                "request": self.request.number,
                "end": end,
                "endpoint": endpoint.as_str(),
                "events": cutter.events(),
                "last_event": cutter.last_id(),
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
