use std::collections::VecDeque;
use std::time::Duration;

use crate::time::ClockTime;

/// Fraction of the allowed ratio that is used.
///
/// Leaves a margin because windows slide and arrivals are counted elsewhere.
const USED_FRACTION: f64 = 0.8;

/// Sliding-window budget that keeps a service's retries below a ratio of its requests.
///
/// Routers need no coordination: each applies the ratio to its own requests, so the sum keeps it
/// however unevenly callers are spread over routers.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    ratio: f64,
    window: Duration,
    requests: VecDeque<ClockTime>,
    repeats: VecDeque<ClockTime>,
}

impl RetryWindow {
    /// Creates a budget of `ratio` retries per request within each `window`.
    #[must_use]
    pub const fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Records a request, which raises the number of allowed retries.
    pub fn record_request(&mut self, now: ClockTime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self, now: ClockTime) -> bool {
        self.expire(now);
        let allowed = self.requests.len() as f64 * self.ratio * USED_FRACTION;
        let is_allowed = ((self.repeats.len() + 1) as f64) <= allowed;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }

    fn expire(&mut self, now: ClockTime) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
