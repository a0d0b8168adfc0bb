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

/// Window units after which the sidecar hears that the caller has taken them.
const CREDIT_STEP: u32 = 64;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// A body that is here already.
    Whole(BoxBody<Bytes, Infallible>),
    /// A body that comes from the sidecar.
    Stream(Box<AnswerStream>),
}

/// The answer broke off; the connection is closed without an orderly end.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct BrokenAnswer;

/// A body that comes from the sidecar.
#[derive(Debug)]
pub(super) struct AnswerStream {
    pub(super) events: RecvStream<'static, CallerEvent>,
    pub(super) watch: RequestWatch,
    pub(super) length: Option<u64>,
    pub(super) trace: CallTrace,
    pub(super) taken: u32,
    pub(super) passed: u64,
}

/// Tells the hub when the caller goes away before the last event.
#[derive(Debug)]
pub(super) struct RequestWatch {
    pub(super) id: RequestId,
    pub(super) hub: flume::Sender<HubInput<RouterInput>>,
    pub(super) metrics: Arc<ProcessMetrics>,
    pub(super) is_over: bool,
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
        if self.watch.is_over {
            return Poll::Ready(None);
        }
        loop {
            let Poll::Ready(event) = Pin::new(&mut self.events).poll_next(context) else {
                return Poll::Pending;
            };
            match event {
                Some(CallerEvent::Chunk(bytes)) if bytes.is_empty() => {}
                Some(CallerEvent::Chunk(bytes)) => {
                    self.take_credit(bytes.len());
                    self.passed += bytes.len() as u64;
                    if self.length == Some(self.passed) {
                        // The server asks for nothing beyond the declared length.
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
        self.watch.is_over = true;
        self.watch.metrics.add(metric, 1);
        self.trace.finish(status);
    }

    fn take_credit(&mut self, bytes: usize) {
        self.taken += window_units(bytes);
        if self.taken >= CREDIT_STEP {
            let input = RouterInput::Credit(self.watch.id, self.taken);
            if self.watch.hub.try_send(HubInput::Role(input)).is_ok() {
                self.taken = 0;
            }
        }
    }
}

impl Drop for RequestWatch {
    fn drop(&mut self) {
        if !self.is_over {
            // The ring is emptied by a thread of its own, so this wait is short.
            let _ = self.hub.send(HubInput::Role(RouterInput::Gone(self.id)));
        }
    }
}
