use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read from an endpoint before the head of its answer is complete.
///
/// Informational heads before it count as well.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Limit on the bytes that are read from a connection until the head of the answer is complete.
#[derive(Debug)]
pub(super) struct HeadGate {
    /// Bytes that may still be read; `None` without a limit.
    remaining: Cell<Option<usize>>,
    waker: RefCell<Option<Waker>>,
    /// `TCP_USER_TIMEOUT` to set before the next bytes are written.
    user_timeout: Cell<Option<Duration>>,
}

/// A stream whose reads stop once the limit of its [`HeadGate`] is reached.
#[derive(Debug)]
pub(super) struct GatedStream {
    stream: TcpStream,
    gate: Rc<HeadGate>,
}

impl HeadGate {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            remaining: Cell::new(None),
            waker: RefCell::new(None),
            user_timeout: Cell::new(None),
        })
    }

    /// Limits the reads from now on, as a request is sent.
    pub(super) fn expect_head(&self) {
        self.remaining.set(Some(MAX_HEAD_BYTES));
    }

    /// Sets how long the bytes that are written next may stay unacknowledged.
    pub(super) fn set_user_timeout(&self, timeout: Duration) {
        self.user_timeout.set(Some(timeout));
    }

    /// Lifts the limit, as the head is complete.
    pub(super) fn lift(&self) {
        self.remaining.set(None);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl GatedStream {
    pub(super) const fn new(stream: TcpStream, gate: Rc<HeadGate>) -> Self {
        Self { stream, gate }
    }

    fn apply_user_timeout(&self) {
        if let Some(timeout) = self.gate.user_timeout.take() {
            // Without the option, the loss of the connection is detected later or earlier.
            let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let stream = Pin::new(&mut this.stream);
        let Some(remaining) = this.gate.remaining.get() else {
            return stream.poll_read(context, buffer);
        };
        if remaining == 0 {
            this.gate.waker.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        let limit = remaining.min(buffer.remaining());
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(stream.poll_read(context, &mut limited))?;
        let count = limited.filled().len();
        buffer.advance(count);
        this.gate.remaining.set(Some(remaining - count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_user_timeout();
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_user_timeout();
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
