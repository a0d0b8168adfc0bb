use std::time::Duration;

use crate::time::ClockTime;

/// Time in which desks tell a router that has started which configuration other routers have in force.
const DESK_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a router that has started waits until the store shows the configuration that
/// others have in force.
///
/// Operators write a configuration that the store has lost again within seconds.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Decides whether the tokens of the configuration that a router has read since its start are valid.
///
/// A store that came back from an older copy shows an older configuration. Routers that go on keep theirs,
/// but one that has started knows nothing else, and tokens in it may have been revoked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct StartCheck {
    /// When the first configuration was read.
    read_at: Option<ClockTime>,
    /// Newest version that a desk has heard of from other routers.
    newest_heard: Option<u64>,
    is_passed: bool,
}

impl StartCheck {
    /// Records that the configuration `version` is in force; `has_desks` if there are desks to ask.
    pub(super) fn record_config(&mut self, version: u64, has_desks: bool, now: ClockTime) {
        self.read_at.get_or_insert(now);
        self.is_passed |= match self.newest_heard {
            Some(newest) => version >= newest,
            None => !has_desks,
        };
    }

    /// Records that a desk has heard of `newest`, while `version` is in force here.
    pub(super) fn hear(&mut self, newest: u64, version: u64) {
        if self.is_passed {
            return;
        }
        self.newest_heard = self.newest_heard.max(Some(newest));
        self.is_passed = self.read_at.is_some() && self.newest_heard <= Some(version);
    }

    /// Returns whether the configuration in force is as new as what others are known to have.
    pub(super) fn is_passed(&self, now: ClockTime) -> bool {
        let limit = match self.newest_heard {
            Some(_) => MAX_WAIT,
            None => DESK_ANSWER_TIME,
        };
        let waited = self.read_at.map(|read_at| now.since(read_at));
        self.is_passed || waited.is_some_and(|waited| waited >= limit)
    }

    /// Returns the newest version that others are known to have; `None` before a desk has told.
    pub(super) const fn newest_heard(&self) -> Option<u64> {
        self.newest_heard
    }
}
