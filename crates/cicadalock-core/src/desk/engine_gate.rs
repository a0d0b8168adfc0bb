use std::time::Duration;

use super::endpoint_desk::RunKey;
use crate::collect::SortedMap;
use crate::id::LinkId;
use crate::time::ClockTime;

/// Fraction of time that an endpoint may spend on prefill while streams run on it.
///
/// Seven engine steps that each prefill a full chunk exceed the usual longest pause between stream
/// events. One step in five without prefill keeps the pauses of running streams below it.
const PREFILL_DUTY: f64 = 0.65;

/// Longest prefill burst, as a fraction of the longest pause of running streams.
const BURST_FRACTION: f64 = 0.7;

/// Longest pause assumed for streams whose route configures none.
pub(crate) const DEFAULT_PAUSE: Duration = Duration::from_millis(400);

/// Fraction of the endpoint's memory that running requests may fill.
const MEMORY_FRACTION: f64 = 0.9;

/// Resources that one request needs at a model endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    /// Expected time to prefill the part of the prompt that the endpoint has not cached.
    pub prefill: Duration,
    /// Tokens in the endpoint's memory once the answer is complete.
    pub memory: u64,
}

/// Capacity of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateLimits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of its memory in tokens; `None` for endpoints without prefill.
    pub memory: Option<u64>,
    /// Longest pause between events of a stream that is still on time.
    pub pause: Duration,
}

/// Tracks one endpoint's running requests and prefill backlog, and decides whether one more may
/// start.
#[derive(Debug, Clone)]
pub struct EngineGate {
    limits: GateLimits,
    runs: SortedMap<RunKey, GateRun>,
    /// Expected end of the prefill that was started.
    prefill_until: ClockTime,
    /// Token bucket, in seconds of prefill; refilled at [`PREFILL_DUTY`].
    allowance: f64,
    refilled: ClockTime,
    /// Requests at the endpoint that were not started through this gate.
    foreign: u32,
}

#[derive(Debug, Clone, Copy)]
struct GateRun {
    work: PrefillWork,
    is_prefilling: bool,
    started: ClockTime,
    /// Prefill work to measure the rate with; `None` if another request's prefill may overlap.
    solo_units: Option<f64>,
}

impl GateLimits {
    /// Returns the limits of an application endpoint, which has no prefill.
    #[must_use]
    pub const fn application(slots: u32) -> Self {
        Self {
            slots,
            memory: None,
            pause: DEFAULT_PAUSE,
        }
    }

    /// Returns the limits of a model endpoint with a memory of `memory` tokens.
    #[must_use]
    pub const fn engine(slots: u32, memory: u64) -> Self {
        Self {
            slots,
            memory: Some(memory),
            pause: DEFAULT_PAUSE,
        }
    }

    /// Returns the longest prefill that may be started in one burst.
    #[must_use]
    pub fn burst(&self) -> Duration {
        self.pause.mul_f64(BURST_FRACTION)
    }
}

impl EngineGate {
    /// Creates a gate without running requests.
    #[must_use]
    pub const fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            runs: SortedMap::new(),
            prefill_until: ClockTime::from_micros(0),
            allowance: 0.0,
            refilled: ClockTime::from_micros(0),
            foreign: 0,
        }
    }

    /// Returns the endpoint's limits.
    #[must_use]
    pub const fn limits(&self) -> &GateLimits {
        &self.limits
    }

    /// Replaces the endpoint's limits.
    pub fn set_limits(&mut self, limits: GateLimits) {
        self.limits = limits;
    }

    /// Sets the number of requests at the endpoint that were not started through this gate.
    pub fn set_foreign(&mut self, count: u32) {
        self.foreign = count;
    }

    /// Returns the time until the prefill that was started is expected to be done.
    #[must_use]
    pub fn backlog(&self, now: ClockTime) -> Duration {
        self.prefill_until.since(now)
    }

    /// Returns the number of running requests, including foreign ones.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.runs.len() + self.foreign as usize
    }

    /// Returns whether a request may start now.
    #[must_use]
    pub fn admits(&self, work: &PrefillWork, now: ClockTime) -> bool {
        self.has_capacity(work) && self.prefill_fits(work, now)
    }

    /// Returns whether there are a free slot and enough memory for a request.
    #[must_use]
    pub fn has_capacity(&self, work: &PrefillWork) -> bool {
        if self.running() >= self.limits.slots as usize {
            return false;
        }
        let Some(memory) = self.limits.memory else {
            return true;
        };
        let held: u64 = self.runs.values().map(|run| run.work.memory).sum();
        self.runs.is_empty() || (held + work.memory) as f64 <= memory as f64 * MEMORY_FRACTION
    }

    /// Returns whether a request's prefill may start now without long pauses in running streams.
    fn prefill_fits(&self, work: &PrefillWork, now: ClockTime) -> bool {
        if self.limits.memory.is_none() || self.running() == 0 {
            return true;
        }
        let burst = self.limits.burst();
        let backlog = self.backlog(now);
        if backlog.is_zero() && !self.is_prefilling() && work.prefill > burst {
            // A prefill that is longer than a burst may start only while no other is in progress.
            return self.allowance_at(now) >= burst.as_secs_f64() / 2.0;
        }
        backlog + work.prefill <= burst.max(work.prefill / 2)
            && self.allowance_at(now) >= work.prefill.as_secs_f64().min(burst.as_secs_f64()) / 2.0
    }

    /// Records the start of a request with `units` tokens of prefill work.
    pub fn start(&mut self, key: RunKey, work: PrefillWork, units: f64, now: ClockTime) {
        let solo_units = (!self.is_prefilling() && units > 0.0).then_some(units);
        for run in self.runs.values_mut() {
            run.solo_units = None;
        }
        self.allowance = self.allowance_at(now) - work.prefill.as_secs_f64();
        self.refilled = now;
        self.prefill_until = self.prefill_until.max(now) + work.prefill;
        self.runs.insert(
            key,
            GateRun {
                work,
                is_prefilling: true,
                started: now,
                solo_units,
            },
        );
    }

    /// Records that a request's prefill is done.
    ///
    /// Returns its work in tokens and its duration if no other prefill overlapped with it.
    pub fn first_event(&mut self, key: RunKey, now: ClockTime) -> Option<(f64, Duration)> {
        let run = self.runs.get_mut(&key)?;
        run.is_prefilling = false;
        let units = run.solo_units.take();
        let took = now.since(run.started);
        self.clamp_backlog(now);
        units.map(|units| (units, took))
    }

    /// Records that a request is no longer at the endpoint.
    pub fn end(&mut self, key: RunKey, now: ClockTime) {
        self.runs.remove(&key);
        self.clamp_backlog(now);
    }

    /// Removes all requests of a router.
    pub fn drop_link(&mut self, link: LinkId, now: ClockTime) {
        self.runs.retain(|(owner, _), _| *owner != link);
        self.clamp_backlog(now);
    }

    /// Returns whether any request is in prefill.
    #[must_use]
    pub fn is_prefilling(&self) -> bool {
        self.runs.values().any(|run| run.is_prefilling)
    }

    /// Limits the backlog to the prefill of the requests that have not finished theirs.
    fn clamp_backlog(&mut self, now: ClockTime) {
        let pending = self.runs.values().filter(|run| run.is_prefilling);
        let pending: Duration = pending.map(|run| run.work.prefill).sum();
        self.prefill_until = self.prefill_until.min(now + pending);
    }

    /// Seconds of prefill that the duty allows; accumulates at most one burst.
    fn allowance_at(&self, now: ClockTime) -> f64 {
        let refill = now.since(self.refilled).as_secs_f64() * PREFILL_DUTY;
        (self.allowance + refill).min(self.limits.burst().as_secs_f64())
    }
}
