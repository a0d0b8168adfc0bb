use std::cell::RefCell;
use std::time::Duration;

use cicadalock_core::serving::CallerLimits;
use tokio::time::Instant;

use super::limit_history::LimitHistory;

/// Time beyond the bound on a new configuration in which the one before it may be in force.
const OVERLAP_MARGIN: Duration = Duration::from_secs(1);

/// The time limits on callers' connections, as the newest configuration and those before it set them.
#[derive(Debug, Default)]
pub(super) struct CallerTimeLimits {
    idle: RefCell<LimitHistory>,
    head: RefCell<LimitHistory>,
}

impl CallerTimeLimits {
    /// Sets the limits of a configuration that must be in force everywhere after `config_bound`.
    pub(super) fn set(&self, limits: &CallerLimits, config_bound: Duration) {
        let now = Instant::now();
        let until = now + config_bound + OVERLAP_MARGIN;
        self.idle.borrow_mut().set(limits.idle_timeout, until, now);
        self.head.borrow_mut().set(limits.head_timeout, until, now);
    }

    /// Returns how long a connection may be idle that is idle since `since`.
    pub(super) fn idle_since(&self, since: Instant) -> Duration {
        let default = CallerLimits::default().idle_timeout;
        self.idle.borrow().longest_since(since, default)
    }

    /// Returns how long a request may take to send its head that begins at `since`.
    pub(super) fn head_since(&self, since: Instant) -> Duration {
        let default = CallerLimits::default().head_timeout;
        self.head.borrow().longest_since(since, default)
    }
}
