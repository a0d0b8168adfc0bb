use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

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
