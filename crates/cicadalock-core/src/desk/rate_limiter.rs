use std::time::Duration;

use super::request_rate::RequestRate;
use crate::time::ClockTime;

/// Time whose requests may start at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time after which a router's share of a limit lapses if no request uses it.
///
/// Otherwise each of many routers could save up one request, and all could start them together.
const SHARE_LIFETIME: Duration = Duration::from_millis(500);

/// Least rate at which requests of all routers together start: only an answer can tell that a limit has
/// ended.
const MIN_RATE: f64 = 0.25;

/// Least rate of a limiter.
const MIN_SHARE: f64 = 0.001;

/// Keeps the starts of requests to a rate, with short bursts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimiter {
    rate: RequestRate,
    /// Requests that may start at `updated_at`; negative if more have started than allowed.
    allowance: f64,
    updated_at: ClockTime,
    /// Whether other routers have shares of the same limit.
    is_share: bool,
}

/// Returns the rate at which requests of all routers start at an endpoint that names `limit`.
#[must_use]
pub fn fleet_rate(limit: RequestRate) -> RequestRate {
    RequestRate::per_second(limit.get().max(MIN_RATE))
}

impl RateLimiter {
    /// Creates the limiter of all requests to an endpoint. It admits its first request after the time of
    /// one request.
    #[must_use]
    pub fn new(rate: RequestRate, now: ClockTime) -> Self {
        Self {
            rate: RequestRate::per_second(rate.get().max(MIN_SHARE)),
            allowance: 0.0,
            updated_at: now,
            is_share: false,
        }
    }

    /// Creates the limiter of a router's share of a limit.
    ///
    /// `phase`, from 0 to 1, differs between routers, so that small shares do not come at the same time.
    #[must_use]
    pub fn of_share(rate: RequestRate, phase: f64, now: ClockTime) -> Self {
        let limiter = Self::new(rate, now);
        let period = 1.0 + SHARE_LIFETIME.as_secs_f64() * limiter.rate.get();
        let is_small = limiter.burst() <= 1.0;
        Self {
            allowance: if is_small { 1.0 - phase * period } else { 0.0 },
            is_share: true,
            ..limiter
        }
    }

    /// Changes the rate from now on.
    #[must_use]
    pub fn with_rate(self, rate: RequestRate, now: ClockTime) -> Self {
        let mut changed = Self {
            is_share: self.is_share,
            ..Self::new(rate, now)
        };
        changed.allowance = self.allowance_at(now).min(changed.burst());
        changed
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
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let refilled = self.allowance + elapsed * self.rate.get();
        let is_small = self.burst() <= 1.0;
        if refilled < 1.0 || !(self.is_share && is_small) {
            return refilled.min(self.burst());
        }
        // A small share comes and lapses by turns.
        let spacing = 1.0 / self.rate.get();
        let lifetime = SHARE_LIFETIME.as_secs_f64();
        let since_full = elapsed - (1.0 - self.allowance) / self.rate.get();
        let turn = since_full % (lifetime + spacing);
        if turn < lifetime {
            1.0
        } else {
            (turn - lifetime) / spacing
        }
    }

    fn burst(&self) -> f64 {
        (self.rate.get() * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
