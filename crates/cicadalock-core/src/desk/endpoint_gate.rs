use std::time::Duration;

use super::endpoint_desk::RunKey;
use super::rate_limiter::RateLimiter;
use super::request_rate::RequestRate;
use crate::collect::SortedMap;
use crate::id::LinkId;
use crate::place::PrefillMeasure;
use crate::time::ClockTime;

/// Fraction of time that an endpoint may spend on prefill while streams run on it.
///
/// Seven consecutive engine steps that each prefill a full chunk take longer than the usual limit
/// on the pause between two stream events. The pauses stay below that limit if at least one step in
/// five has no prefill; a duty of 0.65 leaves more time than that free of prefill.
const PREFILL_DUTY: f64 = 0.65;

/// Longest prefill burst, as a fraction of [`GateLimits::pause`].
const BURST_FRACTION: f64 = 0.7;

/// Maximum pause between two events of a stream whose route configures none.
pub(crate) const DEFAULT_PAUSE: Duration = Duration::from_millis(400);

/// Largest fraction of a request's prefill that is assumed to be done before its first event shows it.
const MAX_UNSEEN_PROGRESS: f64 = 0.8;

/// Time without progress after which a request counts as lost on its way to the endpoint: this time and a
/// multiple of its prefill time.
const LOST_REQUEST_TIME: Duration = Duration::from_millis(500);
const LOST_REQUEST_FACTOR: u32 = 4;

/// Fraction of the endpoint's memory that running requests may fill.
const MEMORY_FRACTION: f64 = 0.9;

/// Prefill time and memory that one request needs at a model endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestDemand {
    /// Expected time to prefill the part of the prompt that the endpoint has not cached.
    pub prefill_time: Duration,
    /// Tokens that the request occupies in the endpoint's memory when its answer is complete.
    pub memory_tokens: u64,
}

/// Capacity of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateLimits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of its memory in tokens; `None` for application endpoints, which have no prefill.
    pub memory: Option<u64>,
    /// Maximum pause between two events of a stream; longer pauses count as late.
    pub pause: Duration,
}

/// Tracks one endpoint's running requests and prefill backlog, and decides whether one more may
/// start.
#[derive(Debug, Clone)]
pub struct EndpointGate {
    limits: GateLimits,
    runs: SortedMap<RunKey, GateRun>,
    /// When the endpoint last finished a prefill.
    progress_at: ClockTime,
    /// Number of requests started so far.
    started_count: u64,
    /// Prefill time that may still be started, in seconds, as of `allowance_updated_at`.
    ///
    /// Grows at [`PREFILL_DUTY`] and is negative after a prefill that exceeds it.
    allowance: f64,
    allowance_updated_at: ClockTime,
    /// Requests at the endpoint that were not started through this gate.
    foreign: u32,
    /// Keeps to the rate of requests that the endpoint takes; `None` without a limit.
    limiter: Option<RateLimiter>,
}

#[derive(Debug, Clone, Copy)]
struct GateRun {
    demand: RequestDemand,
    is_prefilling: bool,
    started: ClockTime,
    /// Position in the order of starts.
    number: u64,
    /// Prefill work in tokens.
    prefill_tokens: f64,
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

    /// Returns the limits of a model endpoint whose engine has a memory of `memory` tokens.
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

impl EndpointGate {
    /// Creates a gate without running requests.
    #[must_use]
    pub const fn new(limits: GateLimits) -> Self {
        Self {
            limits,
            runs: SortedMap::new(),
            progress_at: ClockTime::from_micros(0),
            started_count: 0,
            allowance: 0.0,
            allowance_updated_at: ClockTime::from_micros(0),
            foreign: 0,
            limiter: None,
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

    /// Returns the expected time until all started prefill is done.
    ///
    /// An endpoint prefills requests in the order in which they reach it. Until the first event of a request
    /// arrives, the prefill of those after it has not begun, however long it takes.
    #[must_use]
    pub fn backlog(&self, now: ClockTime) -> Duration {
        let mut pending: Vec<&GateRun> =
            self.runs.values().filter(|run| run.is_prefilling).collect();
        pending.sort_by_key(|run| run.number);
        let lost = pending
            .iter()
            .take_while(|run| self.is_lost(run, now))
            .count();
        let left = &pending[lost..];
        let Some(first) = left.first() else {
            return Duration::ZERO;
        };
        let total: Duration = left.iter().map(|run| run.demand.prefill_time).sum();
        let done = first.demand.prefill_time.mul_f64(MAX_UNSEEN_PROGRESS);
        total.saturating_sub(self.time_on(first, now).min(done))
    }

    /// Returns the time that the endpoint has spent on a request since it finished the one before.
    fn time_on(&self, run: &GateRun, now: ClockTime) -> Duration {
        now.since(run.started.max(self.progress_at))
    }

    /// Returns whether a request most likely never reached the endpoint: its router froze or was cut off.
    fn is_lost(&self, run: &GateRun, now: ClockTime) -> bool {
        self.time_on(run, now) > LOST_REQUEST_TIME + run.demand.prefill_time * LOST_REQUEST_FACTOR
    }

    /// Returns the number of running requests, including those not started through this gate.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.runs.len() + self.foreign as usize
    }

    /// Returns whether a request may start now.
    #[must_use]
    pub fn admits(&self, demand: &RequestDemand, now: ClockTime) -> bool {
        self.has_allowance(now) && self.has_capacity(demand) && self.prefill_fits(demand, now)
    }

    /// Sets the rate of requests that the endpoint takes; `None` ends the limit.
    pub fn set_rate_limit(&mut self, rate: Option<RequestRate>, now: ClockTime) {
        let limiter = self.limiter;
        self.limiter = rate.map(|rate| match limiter {
            Some(limiter) => limiter.with_rate(rate, now),
            None => RateLimiter::new(rate, now),
        });
    }

    /// Like [`Self::set_rate_limit`], with this router's share of the rate and its phase, from 0 to 1.
    pub fn set_rate_share(&mut self, share: Option<RequestRate>, phase: f64, now: ClockTime) {
        let limiter = self.limiter;
        self.limiter = share.map(|share| match limiter {
            Some(limiter) => limiter.with_rate(share, now),
            None => RateLimiter::of_share(share, phase, now),
        });
    }

    /// Returns the time until `count` more requests may have started at the endpoint's rate.
    #[must_use]
    pub fn limit_wait(&self, count: usize, now: ClockTime) -> Duration {
        let limiter = self.limiter.as_ref();
        limiter.map_or(Duration::ZERO, |limiter| limiter.wait(count, now))
    }

    /// Returns the time that one request takes at the endpoint's rate; zero without a limit.
    #[must_use]
    pub fn limit_spacing(&self) -> Duration {
        let limiter = self.limiter.as_ref();
        limiter.map_or(Duration::ZERO, RateLimiter::spacing)
    }

    fn has_allowance(&self, now: ClockTime) -> bool {
        self.limiter.is_none_or(|limiter| limiter.admits(now))
    }

    /// Returns whether there are a free slot and enough memory for a request.
    #[must_use]
    pub fn has_capacity(&self, demand: &RequestDemand) -> bool {
        if self.running() >= self.limits.slots as usize {
            return false;
        }
        let Some(memory) = self.limits.memory else {
            return true;
        };
        // While no other request of this gate runs, any request may start, even one that exceeds
        // the limit on its own.
        let held: u64 = self.runs.values().map(|run| run.demand.memory_tokens).sum();
        self.runs.is_empty()
            || (held + demand.memory_tokens) as f64 <= memory as f64 * MEMORY_FRACTION
    }

    /// Returns whether a request's prefill may start now without long pauses in running streams.
    fn prefill_fits(&self, demand: &RequestDemand, now: ClockTime) -> bool {
        if self.limits.memory.is_none() || self.running() == 0 {
            return true;
        }
        let burst = self.limits.burst();
        let backlog = self.backlog(now);
        if backlog.is_zero() && !self.is_prefilling() && demand.prefill_time > burst {
            // A prefill longer than a burst starts only while no other is in progress and at least
            // half a burst is available.
            return self.allowance_at(now) >= burst.as_secs_f64() / 2.0;
        }
        backlog + demand.prefill_time <= burst.max(demand.prefill_time / 2)
            && self.allowance_at(now)
                >= demand.prefill_time.as_secs_f64().min(burst.as_secs_f64()) / 2.0
    }

    /// Records the start of a request.
    ///
    /// `prefill_tokens` is the prefill work in tokens. With zero, the prefill rate is not measured
    /// from this request.
    pub fn start(
        &mut self,
        key: RunKey,
        demand: RequestDemand,
        prefill_tokens: f64,
        now: ClockTime,
    ) {
        if let Some(limiter) = &mut self.limiter {
            limiter.record_start(now);
        }
        self.allowance = self.allowance_at(now) - demand.prefill_time.as_secs_f64();
        self.allowance_updated_at = now;
        self.started_count += 1;
        self.runs.insert(
            key,
            GateRun {
                demand,
                is_prefilling: true,
                started: now,
                number: self.started_count,
                prefill_tokens,
            },
        );
    }

    /// Records that a request's prefill is done, and returns what it tells about the prefill rate.
    pub fn finish_prefill(&mut self, key: RunKey, now: ClockTime) -> Option<PrefillMeasure> {
        let run = *self.runs.get(&key)?;
        if !run.is_prefilling {
            return None;
        }
        let took = self.time_on(&run, now);
        let is_saturated = run.started <= self.progress_at;
        for other in self.runs.values_mut() {
            // A request that was overtaken is not in the endpoint's line.
            other.is_prefilling &= other.number > run.number;
        }
        self.progress_at = now;
        (run.prefill_tokens > 0.0).then_some(PrefillMeasure {
            tokens: run.prefill_tokens,
            took,
            is_saturated,
        })
    }

    /// Records that a request is no longer at the endpoint.
    pub fn end(&mut self, key: RunKey) {
        self.runs.remove(&key);
    }

    /// Removes all requests that a router started over `link`.
    pub fn drop_link(&mut self, link: LinkId) {
        self.runs.retain(|(run_link, _), _| *run_link != link);
    }

    /// Returns whether any request is in prefill.
    #[must_use]
    pub fn is_prefilling(&self) -> bool {
        self.runs.values().any(|run| run.is_prefilling)
    }

    /// Returns the prefill time that may be started at `now`, in seconds; at most one burst.
    fn allowance_at(&self, now: ClockTime) -> f64 {
        let refill = now.since(self.allowance_updated_at).as_secs_f64() * PREFILL_DUTY;
        (self.allowance + refill).min(self.limits.burst().as_secs_f64())
    }
}
