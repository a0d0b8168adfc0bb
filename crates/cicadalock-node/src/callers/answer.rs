use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cicadalock_core::id::RequestId;
use cicadalock_core::router::CallerEvent;
use flume::r#async::RecvStream;
use futures_util::Stream;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;

use super::handler::CallTrace;
use crate::endpoint::window_units;
use crate::hub::{HubInput, RouterInput};
use crate::metrics::{Metric, ProcessMetrics};

/// Window units that the caller reads before the sidecar receives credit for them.
const CREDIT_STEP_UNITS: u32 = 64;

/// Body of a response to a caller.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// A complete body that the router built itself.
    Whole(BoxBody<Bytes, Infallible>),
    /// The body of an endpoint's answer, streamed from the sidecar.
    Stream(Box<AnswerStream>),
}

/// The answer was truncated after its head.
///
/// This error of the body makes `hyper` close the connection without a proper end of the response,
/// so that the caller can tell that it is truncated.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the endpoint's answer was truncated"))]
pub(super) struct BrokenAnswer;

/// The body of an endpoint's answer, streamed from the sidecar.
#[derive(Debug)]
pub(super) struct AnswerStream {
    pub(super) events: RecvStream<'static, CallerEvent>,
    pub(super) guard: RequestGuard,
    pub(super) length: Option<u64>,
    pub(super) trace: CallTrace,
    pub(super) uncredited_units: u32,
    pub(super) sent_bytes: u64,
}

/// Reports to the hub, when dropped, a request whose caller disconnected before its last event.
#[derive(Debug)]
pub(super) struct RequestGuard {
    pub(super) id: RequestId,
    pub(super) hub: flume::Sender<HubInput<RouterInput>>,
    pub(super) metrics: Arc<ProcessMetrics>,
    pub(super) is_finished: bool,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Stream(stream) => stream.poll_next_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(stream) => stream
                .length
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

impl AnswerStream {
    fn poll_next_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        if self.guard.is_finished {
            return Poll::Ready(None);
        }
        loop {
            let Poll::Ready(event) = Pin::new(&mut self.events).poll_next(context) else {
                return Poll::Pending;
            };
            match event {
                Some(CallerEvent::Chunk(bytes)) if bytes.is_empty() => {}
                Some(CallerEvent::Chunk(bytes)) => {
                    self.add_credit(bytes.len());
                    self.sent_bytes += bytes.len() as u64;
                    if self.length == Some(self.sent_bytes) {
                        // `hyper` does not poll the body again once the declared length is sent.
                        self.end(Metric::Complete, "complete");
                    }
                    return Poll::Ready(Some(Ok(Frame::data(Bytes::from(bytes)))));
                }
                Some(CallerEvent::Complete) => {
                    self.end(Metric::Complete, "complete");
                    return Poll::Ready(None);
                }
                Some(CallerEvent::Head { .. } | CallerEvent::HandedOver(_)) => {}
                Some(CallerEvent::Break | CallerEvent::Fail(_)) | None => {
                    self.end(Metric::Broken, "broken");
                    return Poll::Ready(Some(Err(BrokenAnswer)));
                }
            }
        }
    }

    fn end(&mut self, metric: Metric, status: &str) {
        self.guard.is_finished = true;
        self.guard.metrics.add(metric, 1);
        self.trace.finish(status);
    }

    fn add_credit(&mut self, bytes: usize) {
        self.uncredited_units += window_units(bytes);
        if self.uncredited_units >= CREDIT_STEP_UNITS {
            let input = RouterInput::Credit(self.guard.id, self.uncredited_units);
            if self.guard.hub.try_send(HubInput::Role(input)).is_ok() {
                self.uncredited_units = 0;
            }
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            // The hub drains this channel on its own thread, so this send blocks only briefly.
            let _ = self
                .hub
                .send(HubInput::Role(RouterInput::CallerDisconnected(self.id)));
        }
    }
}
