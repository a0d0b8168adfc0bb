use std::io::{self, ErrorKind, IoSlice, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_activity::CallerActivity;

/// Maximum number of bytes that are received and dropped after the last answer.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Size of the buffer for the bytes that are dropped.
const LINGER_BUFFER_BYTES: usize = 4 * 1024;

/// A caller's connection, which records what is read and written.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    activity: Rc<CallerActivity>,
    /// Bytes received and dropped after the last answer.
    dropped_bytes: usize,
}

impl CallerStream {
    pub(super) const fn new(stream: TcpStream, activity: Rc<CallerActivity>) -> Self {
        Self {
            stream,
            activity,
            dropped_bytes: 0,
        }
    }

    /// Reads bytes that the kernel has received and of which the runtime doesn't know yet.
    fn read_kernel(&self, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(buffer.initialize_unfilled()) {
            Ok(count) => {
                buffer.advance(count);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }

    /// Drops what the caller still sends, until it closes its side or more has come than the limit.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; LINGER_BUFFER_BYTES];
        while self.dropped_bytes < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut space);
            let mut result = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            if result.is_pending() && !self.activity.expects_more() && self.dropped_bytes == 0 {
                result = self.read_kernel(&mut buffer);
                if result.is_pending() {
                    return Poll::Ready(());
                }
            }
            match ready!(result) {
                Ok(()) if !buffer.filled().is_empty() => {
                    self.dropped_bytes += buffer.filled().len();
                }
                // The caller has closed its side, or the connection is gone.
                _ => return Poll::Ready(()),
            }
        }
        Poll::Ready(())
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.activity.record_write(written.is_pending());
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() && self.activity.reads_kernel() {
            result = self.read_kernel(buffer);
        }
        self.activity.record_read(&buffer.filled()[before..]);
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.activity.is_closing() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.activity.start_closing();
        }
        self.poll_linger(context).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
