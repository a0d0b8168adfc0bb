use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::caller_limits::CallerTimeLimits;
use super::gateway_body::{GatewayBody, IncompleteBody};

/// Time in which the first request of a new connection arrives.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Time for the rest of a head while the process stops.
const LAST_HEAD_WAIT: Duration = Duration::from_secs(1);

/// Time in which a caller may send on after the last answer. A close before would reset the connection,
/// and the answer could be lost with it.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// What a caller's connection is doing, as seen by its stream and by the service of its requests.
#[derive(Debug)]
pub(super) struct CallerActivity {
    is_running: Cell<bool>,
    /// The accept, the end of the last answer, or the last byte written after it.
    quiet_since: Cell<Instant>,
    /// Whether the connection is beyond the limit, so that its request is refused.
    is_refused: bool,
    has_received: Cell<bool>,
    /// Whether bytes of an answer wait until the caller reads.
    is_write_blocked: Cell<bool>,
    /// Whether the caller may still send the body of a request that is answered.
    expects_more: Cell<bool>,
    /// When the sending side was closed, after the last answer.
    closing_since: Cell<Option<Instant>>,
    /// When the connection was to be closed, as the process stops.
    drain_since: Cell<Option<Instant>>,
    /// When the first byte of the next request arrived.
    head_since: Cell<Option<Instant>>,
    /// Whether the next read asks the kernel itself; the runtime may not know of all received bytes.
    reads_kernel: Cell<bool>,
}

/// The clock that closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseClock {
    /// No request for the idle limit.
    Idle,
    /// A head that was not complete within its limit.
    Head,
    /// No request while the process stops.
    Drain,
    /// The caller still sends after the last answer.
    Linger,
    /// No request on a connection beyond the limit.
    Refused,
}

/// When a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CloseDue {
    pub(super) at: Instant,
    pub(super) clock: CloseClock,
    pub(super) limit: Duration,
}

/// A request that is running; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct RunningRequest {
    activity: Rc<CallerActivity>,
}

/// The body of an answer. Its request runs until it is dropped.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: GatewayBody,
    _running: RunningRequest,
}

impl CallerActivity {
    /// Creates the record of a connection that is accepted now.
    pub(super) fn start() -> Rc<Self> {
        Self::with_refusal(false)
    }

    /// Creates the record of a connection that is accepted now and whose request is refused.
    pub(super) fn start_refused() -> Rc<Self> {
        Self::with_refusal(true)
    }

    fn with_refusal(is_refused: bool) -> Rc<Self> {
        Rc::new(Self {
            is_refused,
            is_running: Cell::new(false),
            quiet_since: Cell::new(Instant::now()),
            has_received: Cell::new(false),
            is_write_blocked: Cell::new(false),
            expects_more: Cell::new(false),
            closing_since: Cell::new(None),
            drain_since: Cell::new(None),
            head_since: Cell::new(None),
            reads_kernel: Cell::new(false),
        })
    }

    pub(super) fn start_request(self: &Rc<Self>) -> RunningRequest {
        self.is_running.set(true);
        self.expects_more.set(false);
        self.head_since.set(None);
        RunningRequest {
            activity: Rc::clone(self),
        }
    }

    pub(super) const fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Sets whether the next reads ask the kernel itself, and returns whether those before did.
    pub(super) fn read_kernel(&self, reads_kernel: bool) -> bool {
        self.reads_kernel.replace(reads_kernel)
    }

    pub(super) fn reads_kernel(&self) -> bool {
        self.reads_kernel.get()
    }

    pub(super) fn record_read(&self, bytes: &[u8]) {
        let is_running = self.is_running.get();
        self.has_received
            .set(self.has_received.get() || !bytes.is_empty());
        // Empty lines may precede a request.
        let is_head = bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        if !is_running && is_head && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    /// Records a write; `is_blocked` if nothing was written as the caller doesn't read.
    pub(super) fn record_write(&self, is_blocked: bool) {
        self.is_write_blocked.set(is_blocked);
        if !is_blocked && !self.is_running.get() {
            self.quiet_since.set(Instant::now());
        }
    }

    /// Notes that the caller may still send the body of a request that is answered.
    pub(super) fn expect_more(&self) {
        self.expects_more.set(true);
    }

    pub(super) fn expects_more(&self) -> bool {
        self.expects_more.get()
    }

    /// Notes that the sending side is closed; what the caller sends on is dropped.
    pub(super) fn start_closing(&self) {
        self.closing_since.set(Some(Instant::now()));
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing_since.get().is_some()
    }

    /// Closes the connection as soon as no request is on it.
    pub(super) fn drain(&self) {
        self.drain_since.set(Some(Instant::now()));
    }

    /// Returns whether a request runs on a connection that is to be closed.
    pub(super) fn runs_last_request(&self) -> bool {
        self.drain_since.get().is_some() && self.is_running.get()
    }

    /// Returns whether bytes of a request that is not complete have arrived.
    pub(super) fn has_begun_head(&self) -> bool {
        self.head_since.get().is_some()
    }

    pub(super) fn idle_time(&self) -> Duration {
        self.quiet_since.get().elapsed()
    }

    /// Returns when the connection is to be closed; `None` while a request runs.
    pub(super) fn close_due(&self, limits: &CallerTimeLimits) -> Option<CloseDue> {
        if let Some(since) = self.closing_since.get() {
            return Some(CloseDue::after(since, LINGER_TIME, CloseClock::Linger));
        }
        if self.is_running.get() {
            return None;
        }
        if let Some(since) = self.head_since.get() {
            let limit = limits.head_since(since);
            let due = CloseDue::after(since, limit, CloseClock::Head);
            let Some(drain_since) = self.drain_since.get() else {
                return Some(due);
            };
            let last_start = since.max(drain_since);
            let drain_due = CloseDue::after(last_start, LAST_HEAD_WAIT, CloseClock::Drain);
            return Some(if drain_due.at < due.at {
                drain_due
            } else {
                due
            });
        }
        let since = self.quiet_since.get();
        if self.drain_since.get().is_some() && !self.is_write_blocked.get() {
            let limit = if self.has_received.get() {
                Duration::ZERO
            } else {
                FIRST_REQUEST_WAIT
            };
            return Some(CloseDue::after(since, limit, CloseClock::Drain));
        }
        if self.is_refused {
            return Some(CloseDue::after(
                since,
                FIRST_REQUEST_WAIT,
                CloseClock::Refused,
            ));
        }
        let limit = limits.idle_since(since);
        Some(CloseDue::after(since, limit, CloseClock::Idle))
    }
}

impl CloseDue {
    fn after(since: Instant, limit: Duration, clock: CloseClock) -> Self {
        Self {
            at: since + limit,
            clock,
            limit,
        }
    }
}

impl CloseClock {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Drain => "drain",
            Self::Linger => "linger",
            Self::Refused => "refused",
        }
    }
}

impl TrackedBody {
    pub(super) const fn new(body: GatewayBody, running: RunningRequest) -> Self {
        Self {
            body,
            _running: running,
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.activity.is_running.set(false);
        self.activity.quiet_since.set(Instant::now());
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
