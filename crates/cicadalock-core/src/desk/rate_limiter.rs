use std::time::Duration;

use super::request_rate::RequestRate;
use crate::time::ClockTime;

/// Time whose requests may start at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Least rate at which requests start: only an answer can tell that the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Keeps the starts of requests to a rate, with short bursts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimiter {
    rate: RequestRate,
    /// Requests that may start at `updated_at`; negative if more have started than allowed.
    allowance: f64,
    updated_at: ClockTime,
}

impl RateLimiter {
    /// Creates a limiter that allows its first request after the time of one request.
    #[must_use]
    pub fn new(rate: RequestRate, now: ClockTime) -> Self {
        Self {
            rate: effective_rate(rate),
            allowance: 0.0,
            updated_at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: RequestRate, now: ClockTime) {
        self.allowance = self.allowance_at(now);
        self.updated_at = now;
        self.rate = effective_rate(rate);
        self.allowance = self.allowance.min(self.burst());
    }

    /// Returns whether a request may start now.
    #[must_use]
    pub fn admits(&self, now: ClockTime) -> bool {
        self.allowance_at(now) >= 1.0
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: ClockTime) {
        self.allowance = (self.allowance_at(now) - 1.0).max(-self.burst());
        self.updated_at = now;
    }

    /// Returns the time until `count` more requests may have started.
    #[must_use]
    pub fn wait(&self, count: usize, now: ClockTime) -> Duration {
        self.rate.time_of(count as f64 - self.allowance_at(now))
    }

    /// Returns the time that one request takes at the rate.
    #[must_use]
    pub fn spacing(&self) -> Duration {
        self.rate.time_of(1.0)
    }

    fn allowance_at(&self, now: ClockTime) -> f64 {
        let refill = now.since(self.updated_at).as_secs_f64() * self.rate.get();
        (self.allowance + refill).min(self.burst())
    }

    fn burst(&self) -> f64 {
        (self.rate.get() * BURST_TIME.as_secs_f64()).max(1.0)
    }
}

fn effective_rate(rate: RequestRate) -> RequestRate {
    RequestRate::per_second(rate.get().max(MIN_RATE))
}
