use std::time::Duration;

use crate::id::EndpointId;
use crate::time::ClockTime;

/// Time in which desks tell which configuration other routers have in force.
///
/// Routers are back at a desk that has started within about half a second.
const DESK_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Longest time for which a router waits until the store shows the configuration that others have in
/// force.
///
/// Operators write a configuration that the store has lost again within seconds.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Decides whether the tokens of the configuration in force are valid, after the router has started and
/// after the store came back from an older copy.
///
/// Such a copy shows an older configuration. A router that has read the newer one keeps it, but any other
/// knows nothing else, and tokens in it may have been revoked.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfigCheck {
    /// When the check began: the first configuration was read, or the store came back.
    begun_at: Option<ClockTime>,
    /// Version of the configuration in force.
    version: u64,
    /// Number of desks to ask.
    desks: usize,
    /// Desks that have told what they know.
    answered: Vec<EndpointId>,
    /// Newest version that a desk has heard of from other routers.
    newest_heard: Option<u64>,
    is_passed: bool,
}

impl ConfigCheck {
    /// Records that the configuration `version` is in force while there are `desks` to ask.
    pub(super) fn record_config(&mut self, version: u64, desks: usize, now: ClockTime) {
        self.begun_at.get_or_insert(now);
        self.version = version;
        self.desks = desks;
        self.is_passed = self.is_passed(now);
    }

    /// Records what a desk has heard of; `is_answer` if it would know of all routers.
    pub(super) fn hear(
        &mut self,
        desk: &EndpointId,
        newest: Option<u64>,
        is_answer: bool,
        now: ClockTime,
    ) {
        self.is_passed = self.is_passed(now);
        self.newest_heard = self.newest_heard.max(newest);
        if is_answer && !self.is_passed && !self.answered.contains(desk) {
            self.answered.push(desk.clone());
        }
        self.is_passed = self.is_passed(now);
    }

    /// Begins the check anew, as the store came back from an older copy.
    pub(super) const fn restart(&mut self, now: ClockTime) {
        self.begun_at = Some(now);
        self.is_passed = false;
    }

    /// Returns whether the configuration in force is as new as what others are known to have.
    pub(super) fn is_passed(&self, now: ClockTime) -> bool {
        let Some(begun_at) = self.begun_at else {
            return false;
        };
        let waited = now.since(begun_at);
        let is_older = self.newest_heard > Some(self.version);
        self.is_passed
            || (is_older && waited >= MAX_WAIT)
            || (!is_older && (self.answered.len() >= self.desks || waited >= DESK_ANSWER_TIME))
    }

    /// Returns the newest version that others are known to have; `None` before a desk has told.
    pub(super) const fn newest_heard(&self) -> Option<u64> {
        self.newest_heard
    }
}
