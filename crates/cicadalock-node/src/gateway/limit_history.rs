use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of remembered limits; beyond it, the oldest one also stands for the next.
const MAX_PAST_LIMITS: usize = 16;

/// A limit of the configuration, with the longer ones before it that callers may still go by.
#[derive(Debug, Default)]
pub(super) struct LimitHistory {
    current: Option<Duration>,
    /// In order of time, so that each is shorter than the one before it.
    past: VecDeque<PastLimit>,
}

#[derive(Debug, Clone, Copy)]
struct PastLimit {
    limit: Duration,
    /// Callers may go by the limit until then.
    until: Instant,
}

impl LimitHistory {
    /// Sets the limit in force; callers may go by the one before it until `until`.
    pub(super) fn set(&mut self, limit: Duration, until: Instant, now: Instant) {
        let previous = self.current.replace(limit);
        self.past
            .retain(|past| past.limit > limit && past.until + past.limit > now);
        if let Some(previous) = previous.filter(|previous| *previous > limit) {
            self.past.retain(|past| past.limit > previous);
            self.past.push_back(PastLimit {
                limit: previous,
                until,
            });
        }
        if self.past.len() > MAX_PAST_LIMITS
            && let Some(second) = self.past.remove(1)
        {
            self.past[0].until = second.until;
        }
    }

    /// Returns the longest limit that a caller may go by that waits since `since`; `default` before
    /// the first configuration.
    pub(super) fn longest_since(&self, since: Instant, default: Duration) -> Duration {
        let past = self.past.iter().find(|past| past.until >= since);
        past.map_or_else(|| self.current.unwrap_or(default), |past| past.limit)
    }
}
