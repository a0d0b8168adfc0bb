use std::rc::Rc;

use cicadalock_core::gateway::{AttemptEnd, GatewayCall, RetryDenial};
use cicadalock_core::id::RequestId;
use tokio::sync::oneshot;

use super::gateway_metrics::EndLabels;
use super::shared::{GatewayShared, StartVerdict};

/// A request that the [`GatewayMachine`](cicadalock_core::gateway::GatewayMachine) holds.
///
/// On drop, a waiting request is withdrawn and a running one ends as abandoned.
#[derive(Debug)]
pub(super) struct RequestGuard {
    shared: Rc<GatewayShared>,
    id: RequestId,
    phase: GuardPhase,
}

#[derive(Debug)]
enum GuardPhase {
    Waiting(oneshot::Receiver<StartVerdict>),
    Running,
    Finished,
}

impl RequestGuard {
    /// Submits a request to the machine.
    pub(super) fn submit(shared: &Rc<GatewayShared>, call: GatewayCall) -> Self {
        let id = shared.next_id();
        let verdict = shared.register_waiter(id);
        let now = shared.now();
        shared.machine.borrow_mut().submit(id, call, now);
        shared.metrics.held.inc();
        shared.drive();
        Self {
            shared: Rc::clone(shared),
            id,
            phase: GuardPhase::Waiting(verdict),
        }
    }

    /// Queues a second attempt of this request, whose running attempt is silent and goes on.
    ///
    /// # Errors
    ///
    /// Returns why no second attempt is made.
    pub(super) fn begin_standby(&self) -> Result<Self, RetryDenial> {
        let id = self.shared.next_id();
        let verdict = self.shared.register_waiter(id);
        let now = self.shared.now();
        let mut machine = self.shared.machine.borrow_mut();
        if let Err(denial) = machine.begin_standby(self.id, id, now) {
            self.shared.remove_waiter(id);
            return Err(denial);
        }
        drop(machine);
        self.shared.metrics.repeats.inc();
        self.shared.metrics.held.inc();
        self.shared.drive();
        Ok(Self {
            shared: Rc::clone(&self.shared),
            id,
            phase: GuardPhase::Waiting(verdict),
        })
    }

    /// Moves the request to a new guard; dropping this one no longer affects it.
    pub(super) fn take(&mut self) -> Self {
        self.shared.metrics.held.inc();
        Self {
            shared: Rc::clone(&self.shared),
            id: self.id,
            phase: std::mem::replace(&mut self.phase, GuardPhase::Finished),
        }
    }

    /// Returns the request id, which is unique within this process.
    pub(super) const fn number(&self) -> u64 {
        self.id.get()
    }

    /// Waits for the machine to start or refuse the request.
    ///
    /// Returns `None` if the request is not waiting or its waiter was removed.
    pub(super) async fn verdict(&mut self) -> Option<StartVerdict> {
        let GuardPhase::Waiting(receiver) = &mut self.phase else {
            return None;
        };
        let verdict = receiver.await.ok();
        self.phase = match verdict {
            Some(StartVerdict::Start(_)) => GuardPhase::Running,
            Some(StartVerdict::Refuse { .. }) | None => GuardPhase::Finished,
        };
        verdict
    }

    /// Records the first event or the complete response.
    pub(super) fn record_first_event(&self) {
        let now = self.shared.now();
        self.shared.machine.borrow_mut().first_event(self.id, now);
        self.shared.drive();
    }

    /// Records that the answer went on for long enough to speak for the parts of the prompt.
    pub(super) fn record_survival(&self) {
        let now = self.shared.now();
        let mut machine = self.shared.machine.borrow_mut();
        machine.record_progress(self.id, now);
    }

    /// Records the end of the attempt and returns its call; `None` if no attempt is running.
    pub(super) fn finish_attempt(&mut self, end: AttemptEnd) -> Option<GatewayCall> {
        let phase = std::mem::replace(&mut self.phase, GuardPhase::Finished);
        if !matches!(phase, GuardPhase::Running) {
            return None;
        }
        let labels = EndLabels::new(end.name());
        self.shared.metrics.attempts.get_or_create(&labels).inc();
        let now = self.shared.now();
        let call = self.shared.machine.borrow_mut().end(self.id, end, now);
        self.shared.drive();
        call
    }

    /// Queues the request for another attempt after one that ended with `end`, or returns why it must
    /// not be retried.
    pub(super) fn retry(&mut self, call: GatewayCall, end: AttemptEnd) -> Result<(), RetryDenial> {
        let verdict = self.shared.register_waiter(self.id);
        let now = self.shared.now();
        let result = self
            .shared
            .machine
            .borrow_mut()
            .retry(self.id, call, end, now);
        if result.is_ok() {
            self.shared.metrics.repeats.inc();
            self.phase = GuardPhase::Waiting(verdict);
            self.shared.drive();
        } else {
            self.shared.remove_waiter(self.id);
        }
        result
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.metrics.held.dec();
        match self.phase {
            GuardPhase::Waiting(_) => {
                self.shared.remove_waiter(self.id);
                let now = self.shared.now();
                self.shared.machine.borrow_mut().withdraw(self.id, now);
                self.shared.drive();
            }
            GuardPhase::Running => {
                self.finish_attempt(AttemptEnd::Abandoned);
            }
            GuardPhase::Finished => {}
        }
    }
}
