use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use cicadalock_core::gateway::{AttemptEnd, GatewayCall, RetryDenial};
use cicadalock_core::id::EndpointId;
use cicadalock_core::serving::RouteConfig;
use cicadalock_core::time::ClockTime;
use hyper::header::HeaderValue;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::JoinSet;

use super::attempt::{AttemptFailure, AttemptProgress, CallerRequest};
use super::dialect::GatewayDialect;
use super::event_splitter::EventSplitter;
use super::gateway_body::{GatewayBody, StreamChunk};
use super::gateway_metrics::EndLabels;
use super::request_guard::RequestGuard;
use super::shared::{CATCH_UP_TIME, GatewayShared};
use super::stream_part::{PartFrame, ResumeEnd, StreamPart};

/// Number of chunks that are buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// Limits of a stream's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SilenceLimits {
    /// Silence after which another endpoint is tried as well; `None` if the stream may not be resumed.
    pub(super) standby: Option<Duration>,
    /// Silence after which the stream is ended.
    pub(super) end: Duration,
}

/// Forwards an event stream to a caller, and resumes it at another endpoint if that is allowed.
///
/// A silent endpoint may be sound and go on. Another one is tried beside it, and the one that sends
/// the next event is followed; the other attempt is cancelled.
#[derive(Debug)]
pub(super) struct StreamRelay {
    shared: Rc<GatewayShared>,
    request: Rc<CallerRequest>,
    limits: SilenceLimits,
    arrived: ClockTime,
    /// Id of the event after which the caller asked to resume the stream.
    resume_after: Option<String>,
    /// Version of the configuration that the request belongs to.
    config_version: u64,
    splitter: EventSplitter,
    /// When the last event was forwarded, or the first response head arrived.
    last_event_at: ClockTime,
    /// When another endpoint is tried beside a silent one; `None` while that is done or not allowed.
    standby_due: Option<ClockTime>,
    /// When a limit was first found to have passed while bytes were waiting.
    overdue_since: Option<ClockTime>,
    /// Content type of the answer that began the stream; all parts have the same.
    content_type: Option<HeaderValue>,
    /// The part whose events are forwarded; `None` once it has failed.
    current: Option<StreamPart>,
    /// A later part that has begun while the current one is silent.
    standby: Option<StandbyPart>,
    /// The attempt to resume the stream, until its response head arrives.
    resuming: JoinSet<ResumeEnd>,
    /// The part that has failed while another endpoint was asked, in case none takes the stream.
    broken: Option<BrokenPart>,
    /// Endpoint of the last attempt, for the log.
    endpoint: EndpointId,
}

/// A part that has failed, and what is needed to resume the stream elsewhere.
#[derive(Debug)]
struct BrokenPart {
    guard: RequestGuard,
    call: GatewayCall,
    progress: AttemptProgress,
    failure: AttemptFailure,
}

/// A part that goes on with the stream unless the silent one does so first.
#[derive(Debug)]
struct StandbyPart {
    part: StreamPart,
    splitter: EventSplitter,
}

/// What a relay waits for.
#[derive(Debug)]
enum RelayEvent {
    Current(PartFrame),
    Standby(PartFrame),
    Resumed(Box<ResumeEnd>),
    CallerLeft,
    TimerDue,
}

impl SilenceLimits {
    /// Returns the limits of a route's streams.
    pub(super) fn of(route: &RouteConfig) -> Self {
        Self {
            standby: route.may_retry().then(|| route.standby_delay()),
            end: route.silence_limit(),
        }
    }
}

impl StreamRelay {
    /// Creates a relay of a stream that begins with `part`.
    pub(super) fn new(
        shared: &Rc<GatewayShared>,
        request: CallerRequest,
        limits: SilenceLimits,
        part: StreamPart,
    ) -> Self {
        let now = shared.now();
        Self {
            shared: Rc::clone(shared),
            request: Rc::new(request),
            limits,
            arrived: now,
            resume_after: None,
            config_version: 0,
            splitter: EventSplitter::default(),
            last_event_at: now,
            standby_due: limits.standby.map(|delay| now + delay),
            overdue_since: None,
            endpoint: part.progress.endpoint.clone(),
            content_type: part.content_type().cloned(),
            current: Some(part),
            standby: None,
            resuming: JoinSet::new(),
            broken: None,
        }
    }

    /// Sets when the request arrived.
    #[must_use]
    pub(super) const fn arrived(mut self, arrived: ClockTime) -> Self {
        self.arrived = arrived;
        self
    }

    /// Sets the id of the event after which the caller asked to resume the stream.
    #[must_use]
    pub(super) fn resume_after(mut self, id: Option<String>) -> Self {
        self.resume_after = id;
        self
    }

    /// Sets the version of the configuration that the request belongs to.
    #[must_use]
    pub(super) const fn config_version(mut self, version: u64) -> Self {
        self.config_version = version;
        self
    }

    /// Spawns a task that forwards the stream, and returns the body for the caller.
    pub(super) fn start<D: GatewayDialect>(self) -> GatewayBody {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        tokio::task::spawn_local(self.run::<D>(sender));
        GatewayBody::Stream(receiver)
    }

    async fn run<D: GatewayDialect>(mut self, caller: mpsc::Sender<StreamChunk>) {
        loop {
            let flow = match self.next_event(&caller).await {
                RelayEvent::Current(PartFrame::Data(bytes)) => {
                    self.forward::<D>(&bytes, &caller).await
                }
                RelayEvent::Current(PartFrame::End) => self.end_current::<D>(&caller).await,
                RelayEvent::Current(PartFrame::Broken(detail)) => self.replace_broken::<D>(detail),
                RelayEvent::Standby(frame) => self.receive_standby::<D>(frame, &caller).await,
                RelayEvent::Resumed(end) => self.receive_resumed::<D>(*end),
                RelayEvent::CallerLeft => self.abandon("caller-left"),
                RelayEvent::TimerDue => self.check_limits::<D>(),
            };
            if flow.is_break() {
                return;
            }
        }
    }

    async fn next_event(&mut self, caller: &mpsc::Sender<StreamChunk>) -> RelayEvent {
        let now = self.shared.now();
        let wait = self.next_due().since(now);
        // Bytes without end that complete no event must not put a limit off.
        if !wait.is_zero() {
            self.overdue_since = None;
        } else if now.since(*self.overdue_since.get_or_insert(now)) >= CATCH_UP_TIME {
            return RelayEvent::TimerDue;
        }
        let standby = self.standby.as_mut().map(|standby| &mut standby.part);
        tokio::select! {
            // What has arrived goes before the limits.
            biased;
            frame = frame_of(self.current.as_mut()) => RelayEvent::Current(frame),
            frame = frame_of(standby) => RelayEvent::Standby(frame),
            Some(Ok(end)) = self.resuming.join_next() => RelayEvent::Resumed(Box::new(end)),
            () = caller.closed() => RelayEvent::CallerLeft,
            () = self.shared.wait_for_silence(wait) => RelayEvent::TimerDue,
        }
    }

    fn next_due(&self) -> ClockTime {
        let due = self.request.deadline.min(self.end_due());
        self.standby_due
            .map_or(due, |standby_due| standby_due.min(due))
    }

    fn end_due(&self) -> ClockTime {
        self.last_event_at + self.limits.end
    }

    /// Forwards the events that the bytes of the current part complete.
    async fn forward<D: GatewayDialect>(
        &mut self,
        bytes: &[u8],
        caller: &mpsc::Sender<StreamChunk>,
    ) -> ControlFlow<()> {
        let has_started = self.splitter.events() > 0;
        let Some(events) = self.splitter.feed(bytes) else {
            if self.splitter.is_oversized() {
                return self.replace_broken::<D>("event exceeds the size limit".to_owned());
            }
            return ControlFlow::Continue(());
        };
        self.cancel_standby();
        if !has_started {
            let waited = self.shared.now().since(self.arrived);
            self.shared.metrics.first.observe(waited.as_secs_f64());
        }
        self.last_event_at = self.shared.now();
        if let Some(part) = &mut self.current {
            part.record_event(self.last_event_at);
        }
        match caller.try_send(StreamChunk::Bytes(events)) {
            Ok(()) => {}
            Err(TrySendError::Closed(_)) => return self.abandon("caller-left"),
            Err(TrySendError::Full(chunk)) => {
                if caller.send(chunk).await.is_err() {
                    return self.abandon("caller-left");
                }
                // Time for which the caller did not read is no silence of the endpoint.
                self.last_event_at = self.shared.now();
            }
        }
        self.standby_due = self.limits.standby.map(|delay| self.last_event_at + delay);
        ControlFlow::Continue(())
    }

    /// Ends the stream if the current part has ended between two events.
    async fn end_current<D: GatewayDialect>(
        &mut self,
        caller: &mpsc::Sender<StreamChunk>,
    ) -> ControlFlow<()> {
        if !self.splitter.partial().is_empty() {
            return self.replace_broken::<D>("the stream ended inside an event".to_owned());
        }
        // Without a frame around it, a crash looks like an end without events.
        if self.current.as_ref().is_some_and(StreamPart::is_bare) {
            let detail = "the stream ended without a frame and without an event".to_owned();
            return self.replace_broken::<D>(detail);
        }
        self.cancel_standby();
        if let Some(part) = self.current.take() {
            part.finish(&self.shared);
        }
        let whole = self.shared.now().since(self.arrived);
        self.shared.metrics.whole.observe(whole.as_secs_f64());
        self.log_end("complete");
        // Fails only if the caller has disconnected.
        let _ = caller.send(StreamChunk::End).await;
        ControlFlow::Break(())
    }

    /// Goes on without the current part, which has failed: with the standby, or with a new attempt.
    fn replace_broken<D: GatewayDialect>(&mut self, detail: String) -> ControlFlow<()> {
        let Some(part) = self.current.take() else {
            return ControlFlow::Continue(());
        };
        self.splitter.discard_partial();
        let failure = AttemptFailure::new(AttemptEnd::Broken, detail);
        let progress = part.progress.clone();
        let (guard, call) = part.close(failure.end);
        let Some(call) = call else {
            return ControlFlow::Break(());
        };
        let broken = BrokenPart {
            guard,
            call,
            progress,
            failure,
        };
        if let Some(standby) = self.standby.take() {
            self.log_failure(&broken, "standby");
            self.follow(standby.part);
            // A complete event would have ended the wait for one.
            let _ = self.splitter.feed(standby.splitter.partial());
            return ControlFlow::Continue(());
        }
        if self.resuming.is_empty() {
            return self.retry::<D>(broken);
        }
        self.broken = Some(broken);
        ControlFlow::Continue(())
    }

    /// Queues a further attempt in place of one that has failed, or ends the stream.
    fn retry<D: GatewayDialect>(&mut self, mut broken: BrokenPart) -> ControlFlow<()> {
        let call = broken.call.clone();
        let denial = broken.guard.retry(call, broken.failure.end).err();
        let next = denial.map_or("repeated", RetryDenial::name);
        self.log_failure(&broken, next);
        if denial.is_some() {
            self.log_end(next);
            return ControlFlow::Break(());
        }
        self.standby_due = None;
        self.spawn_resume::<D>(broken.guard);
        ControlFlow::Continue(())
    }

    fn log_failure(&self, broken: &BrokenPart, next: &str) {
        broken
            .failure
            .log(&self.shared, &self.request, &broken.progress, next);
    }

    fn spawn_resume<D: GatewayDialect>(&mut self, guard: RequestGuard) {
        let after = self.splitter.last_id().or(self.resume_after.as_deref());
        self.resuming.spawn_local(StreamPart::resume::<D>(
            Rc::clone(&self.shared),
            Rc::clone(&self.request),
            guard,
            after.map(str::to_owned),
            self.content_type.clone(),
        ));
    }

    /// Handles the outcome of an attempt to resume the stream.
    fn receive_resumed<D: GatewayDialect>(&mut self, end: ResumeEnd) -> ControlFlow<()> {
        match end {
            ResumeEnd::Begun(part) if self.current.is_none() => self.follow(*part),
            ResumeEnd::Begun(part) => {
                self.standby = Some(StandbyPart {
                    part: *part,
                    splitter: EventSplitter::default(),
                });
            }
            ResumeEnd::Refused(reason) if self.current.is_none() => {
                self.record_silence(reason);
                if let Some(broken) = self.broken.take() {
                    return self.retry::<D>(broken);
                }
                self.log_end(reason);
                return ControlFlow::Break(());
            }
            ResumeEnd::Refused(reason) => self.record_silence(reason),
            ResumeEnd::Failed(mut guard, progress, failure) => {
                self.endpoint = progress.endpoint.clone();
                let Some(call) = guard.finish_attempt(failure.end) else {
                    return ControlFlow::Break(());
                };
                let failed = BrokenPart {
                    guard,
                    call,
                    progress,
                    failure,
                };
                if self.current.is_none() {
                    if let Some(broken) = self.broken.take() {
                        self.log_failure(&broken, "standby");
                    }
                    return self.retry::<D>(failed);
                }
                self.log_failure(&failed, "silent-attempt");
                self.standby_due = Some(self.shared.now());
            }
        }
        ControlFlow::Continue(())
    }

    /// Follows the standby once it has sent an event.
    async fn receive_standby<D: GatewayDialect>(
        &mut self,
        frame: PartFrame,
        caller: &mpsc::Sender<StreamChunk>,
    ) -> ControlFlow<()> {
        let Some(mut standby) = self.standby.take() else {
            return ControlFlow::Continue(());
        };
        match frame {
            PartFrame::Data(bytes) => {
                let Some(events) = standby.splitter.feed(&bytes) else {
                    if standby.splitter.is_oversized() {
                        let detail = "event exceeds the size limit".to_owned();
                        return self.drop_standby(standby.part, detail);
                    }
                    self.standby = Some(standby);
                    return ControlFlow::Continue(());
                };
                self.hand_over(standby.part);
                let flow = self.forward::<D>(&events, caller).await;
                // What follows the last complete event completes none.
                let _ = self.splitter.feed(standby.splitter.partial());
                flow
            }
            // Without a frame around it, a crash looks like an end without events.
            PartFrame::End if standby.splitter.partial().is_empty() && standby.part.is_framed() => {
                self.hand_over(standby.part);
                self.end_current::<D>(caller).await
            }
            PartFrame::End => {
                let detail = "the stream ended without a complete event".to_owned();
                self.drop_standby(standby.part, detail)
            }
            PartFrame::Broken(detail) => self.drop_standby(standby.part, detail),
        }
    }

    fn drop_standby(&mut self, part: StreamPart, detail: String) -> ControlFlow<()> {
        let failure = AttemptFailure::new(AttemptEnd::Broken, detail);
        failure.log(
            &self.shared,
            &self.request,
            &part.progress,
            "silent-attempt",
        );
        part.close(failure.end);
        self.standby_due = Some(self.shared.now());
        ControlFlow::Continue(())
    }

    /// Ends the silent part and follows `part` instead.
    fn hand_over(&mut self, part: StreamPart) {
        if let Some(silent) = self.current.take() {
            let failure = AttemptFailure::new(
                AttemptEnd::Broken,
                "another endpoint went on during the silence",
            );
            failure.log(&self.shared, &self.request, &silent.progress, "replaced");
            silent.close(failure.end);
            self.record_silence("replaced");
        }
        self.splitter.discard_partial();
        self.follow(part);
    }

    fn follow(&mut self, part: StreamPart) {
        self.endpoint = part.progress.endpoint.clone();
        self.log_resumed();
        self.current = Some(part);
        self.standby_due = self.limits.standby.map(|delay| self.shared.now() + delay);
    }

    /// Cancels the attempt beside a silent part that goes on.
    fn cancel_standby(&mut self) {
        if self.standby.take().is_some() || !self.resuming.is_empty() {
            self.resuming = JoinSet::new();
            self.record_silence("went-on");
        }
    }

    /// Handles the limits that have passed.
    fn check_limits<D: GatewayDialect>(&mut self) -> ControlFlow<()> {
        let now = self.shared.now();
        if now >= self.request.deadline {
            return self.abandon("route-timeout");
        }
        if now >= self.end_due() {
            return self.end_silent();
        }
        if self.standby_due.is_some_and(|due| now >= due)
            && let Some(part) = &self.current
        {
            self.standby_due = None;
            let result = part.guard().begin_standby();
            let next = result
                .as_ref()
                .err()
                .map_or("standby", |denial| denial.name());
            self.log_silence(next);
            match result {
                Ok(guard) => self.spawn_resume::<D>(guard),
                Err(denial) => self.record_silence(denial.name()),
            }
        }
        ControlFlow::Continue(())
    }

    /// Ends the stream of an endpoint that is silent for so long that its caller is about to leave.
    fn end_silent(&mut self) -> ControlFlow<()> {
        self.log_silence("end");
        if let Some(part) = self.current.take() {
            let failure =
                AttemptFailure::new(AttemptEnd::Broken, "no event within the silence limit");
            failure.log(&self.shared, &self.request, &part.progress, "end");
            part.close(failure.end);
        }
        self.log_end("silent");
        ControlFlow::Break(())
    }

    /// Ends the stream without a fault of the endpoint.
    fn abandon(&mut self, end: &str) -> ControlFlow<()> {
        self.log_end(end);
        if let Some(part) = self.current.take() {
            part.close(AttemptEnd::Abandoned);
        }
        ControlFlow::Break(())
    }

    /// Counts what followed the silence of an endpoint.
    fn record_silence(&self, outcome: &str) {
        let labels = EndLabels::new(outcome);
        self.shared.metrics.silences.get_or_create(&labels).inc();
    }

    fn log_silence(&self, next: &str) {
        self.shared.log.write(
            "stream-silent",
            json!({
                "request": self.request.number,
                "endpoint": self.endpoint.as_str(),
                "silent_ms": self.silent_millis(),
                "standby_ms": self.limits.standby.map(|limit| limit.as_millis() as u64),
                "limit_ms": self.limits.end.as_millis() as u64,
                "config": self.config_version,
                "next": next,
            }),
        );
    }

    fn log_end(&self, end: &str) {
        self.shared.log.write(
            "stream-end",
            json!({
                "request": self.request.number,
                "end": end,
                "endpoint": self.endpoint.as_str(),
                "events": self.splitter.events(),
                "last_event": self.splitter.last_id(),
                "silent_ms": self.silent_millis(),
                "config": self.config_version,
                "ms": self.shared.now().since(self.arrived).as_millis() as u64,
            }),
        );
    }

    fn log_resumed(&self) {
        let after = self.splitter.last_id().or(self.resume_after.as_deref());
        self.shared.log.write(
            "stream-resumed",
            json!({
                "request": self.request.number,
                "endpoint": self.endpoint.as_str(),
                "after_event": after,
                "silent_ms": self.silent_millis(),
            }),
        );
    }

    fn silent_millis(&self) -> u64 {
        self.shared.now().since(self.last_event_at).as_millis() as u64
    }
}

/// Waits for the next bytes of a part; forever without one.
async fn frame_of(part: Option<&mut StreamPart>) -> PartFrame {
    match part {
        Some(part) => part.frame().await,
        None => std::future::pending().await,
    }
}
