use std::time::Duration;

use super::crash_report::SuspectRequest;
use super::suspect::Suspect;
use crate::collect::SortedMap;
use crate::id::{EndpointId, ServiceName};
use crate::time::{ClockTime, PastTime};

/// Time after a lost request within which its endpoint is found to have crashed, if it has.
const RESOLVE_TIME: Duration = Duration::from_secs(2);

/// Time after the end of an answer within which a crash breaks the other connections.
const CRASH_TIME: Duration = Duration::from_millis(20);

/// Time after a lost request within which answers that the endpoint sent before it crashed may still
/// arrive.
const ANSWER_TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Shortest time in which an endpoint that crashed is back.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Time for which an endpoint that crashed counts as down unless it answers.
const DOWN_TIME: Duration = Duration::from_secs(10);

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
    /// Endpoints that have crashed and not answered since, with the time of the crash.
    crashes: SortedMap<EndpointId, PastTime>,
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

    /// Returns when the endpoint crashed, if it has not answered since.
    pub(super) fn crash_time(&self, endpoint: &EndpointId) -> Option<PastTime> {
        self.crashes.get(endpoint).copied()
    }

    /// Records an answer to a request that was sent at `started`.
    pub(super) fn record_answer(&mut self, endpoint: &EndpointId, started: PastTime) {
        if self
            .crash_time(endpoint)
            .is_some_and(|crashed| crashed < started)
        {
            self.crashes.remove(endpoint);
        }
    }

    /// Records that the endpoint broke a request that was sent to it after its crash; returns whether that
    /// shows that it was back.
    ///
    /// It was if it began an answer, or held the request for as long as one that crashes it. A proxy in
    /// front of an endpoint that is down ends the connection sooner.
    pub(super) fn record_held(
        &mut self,
        endpoint: &EndpointId,
        started: ClockTime,
        has_begun: bool,
        now: ClockTime,
    ) -> bool {
        let restarted = self
            .crash_time(endpoint)
            .is_some_and(|crashed| crashed.age(started) >= RESTART_TIME);
        let is_back = has_begun || (restarted && now.since(started) >= CRASH_TIME);
        if is_back {
            self.crashes.remove(endpoint);
        }
        is_back
    }

    /// Records that the endpoint has crashed; removes and returns the attempts that may have caused it.
    ///
    /// It crashed when the first incomplete answer ended, or else the last of those that look whole.
    /// Attempts that were sent later found it down.
    pub(super) fn take_crashed(&mut self, endpoint: &EndpointId) -> Vec<BrokenAttempt> {
        let mut attempts = self.attempts.remove(endpoint).unwrap_or_default();
        let incomplete = attempts.iter().filter(|attempt| attempt.begun.is_none());
        let first = incomplete.map(|attempt| attempt.ended).min();
        let last = attempts.iter().map(|attempt| attempt.ended).max();
        let Some(crashed) = first.or(last) else {
            return Vec::new();
        };
        attempts.retain(|attempt| attempt.request.started < crashed);
        self.crashes.insert(endpoint.clone(), crashed);
        attempts
    }

    /// Records that the endpoint runs: it broke its attempts for another reason, or is back.
    pub(super) fn forget(&mut self, endpoint: &EndpointId) {
        self.crashes.remove(endpoint);
        self.attempts.remove(endpoint);
    }

    /// Removes the attempts that the endpoint has survived, as it sends an answer now to a request sent at
    /// `started`; returns those whose answers look whole.
    pub(super) fn take_survived(
        &mut self,
        endpoint: &EndpointId,
        started: PastTime,
        now: ClockTime,
    ) -> Vec<BrokenAttempt> {
        let Some(attempts) = self.attempts.get_mut(endpoint) else {
            return Vec::new();
        };
        // Either on a connection from before the end, or before it can have started again.
        let survived = |attempt: &BrokenAttempt| {
            let age = attempt.ended.age(now);
            let transit = if attempt.begun.is_some() {
                CRASH_TIME
            } else {
                ANSWER_TRANSIT_TIME
            };
            age > transit && (started < attempt.ended || age < RESTART_TIME)
        };
        let (mut taken, kept): (Vec<_>, Vec<_>) =
            std::mem::take(attempts).into_iter().partition(survived);
        *attempts = kept;
        taken.retain(|attempt| attempt.begun.is_some());
        taken
    }

    pub(super) fn expire(&mut self, now: ClockTime) {
        self.attempts.retain(|_, attempts| {
            attempts.retain(|attempt| attempt.ended.age(now) < RESOLVE_TIME);
            !attempts.is_empty()
        });
        self.crashes
            .retain(|_, crashed| crashed.age(now) < DOWN_TIME);
        self.checks
            .retain(|_, checked| now.since(*checked) < RESOLVE_TIME);
    }
}

impl BrokenAttempt {
    pub(super) fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.request.suspects.iter().copied()
    }
}
