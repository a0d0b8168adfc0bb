use std::time::Duration;

use super::crash_report::SuspectRequest;
use crate::collect::SortedMap;
use crate::id::{EndpointId, PartId, ServiceName};
use crate::time::{ClockTime, PastTime};

/// Time after a lost request within which its endpoint is found to have crashed, if it has.
const RESOLVE_TIME: Duration = Duration::from_secs(2);

/// Shortest time between two checks of an endpoint.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// An attempt that ended in a way in which a crash ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BrokenAttempt {
    pub(super) service: ServiceName,
    pub(super) request: SuspectRequest,
    pub(super) ended: PastTime,
    /// When an answer that looks whole began; `None` if the answer is incomplete.
    pub(super) begun: Option<PastTime>,
}

/// Attempts whose endpoints may have crashed, and the endpoints that have.
#[derive(Debug, Clone, Default)]
pub(super) struct BrokenAttempts {
    attempts: SortedMap<EndpointId, Vec<BrokenAttempt>>,
    checks: SortedMap<EndpointId, ClockTime>,
    crashes: SortedMap<EndpointId, ClockTime>,
}

impl BrokenAttempts {
    pub(super) fn push(&mut self, endpoint: &EndpointId, attempt: BrokenAttempt) {
        let attempts = self.attempts.get_or_insert_with(endpoint.clone(), Vec::new);
        attempts.push(attempt);
    }

    pub(super) fn has_any(&self, endpoint: &EndpointId) -> bool {
        self.attempts.contains_key(endpoint)
    }

    /// Returns whether the endpoint is to be checked now, and records the check.
    pub(super) fn begin_check(&mut self, endpoint: &EndpointId, now: ClockTime) -> bool {
        let last = self.checks.get(endpoint);
        if last.is_some_and(|last| now.since(*last) < CHECK_INTERVAL) {
            return false;
        }
        self.checks.insert(endpoint.clone(), now);
        true
    }

    /// Returns whether the endpoint was found to have crashed shortly before.
    pub(super) fn has_crashed(&self, endpoint: &EndpointId) -> bool {
        self.crashes.contains_key(endpoint)
    }

    /// Records that the endpoint has crashed and removes its attempts.
    pub(super) fn take_crashed(
        &mut self,
        endpoint: &EndpointId,
        now: ClockTime,
    ) -> Vec<BrokenAttempt> {
        self.crashes.insert(endpoint.clone(), now);
        self.attempts.remove(endpoint).unwrap_or_default()
    }

    /// Records that the endpoint answers; removes and returns its answers that look whole.
    pub(super) fn take_answered(&mut self, endpoint: &EndpointId) -> Vec<BrokenAttempt> {
        self.crashes.remove(endpoint);
        let mut attempts = self.attempts.remove(endpoint).unwrap_or_default();
        attempts.retain(|attempt| attempt.begun.is_some());
        attempts
    }

    /// Returns the parts of an endpoint's answers that look whole and ended before `started`.
    pub(super) fn take_survived(
        &mut self,
        endpoint: &EndpointId,
        started: PastTime,
    ) -> Vec<BrokenAttempt> {
        let Some(attempts) = self.attempts.get_mut(endpoint) else {
            return Vec::new();
        };
        let survived = |attempt: &BrokenAttempt| attempt.begun.is_some() && attempt.ended < started;
        let (taken, kept) = std::mem::take(attempts).into_iter().partition(survived);
        *attempts = kept;
        taken
    }

    pub(super) fn expire(&mut self, now: ClockTime) {
        self.attempts.retain(|_, attempts| {
            attempts.retain(|attempt| attempt.ended.age(now) < RESOLVE_TIME);
            !attempts.is_empty()
        });
        self.crashes
            .retain(|_, crashed| now.since(*crashed) < RESOLVE_TIME);
        self.checks
            .retain(|_, checked| now.since(*checked) < RESOLVE_TIME);
    }
}

impl BrokenAttempt {
    pub(super) fn parts(&self) -> impl Iterator<Item = PartId> {
        self.request.parts.iter().copied()
    }
}
