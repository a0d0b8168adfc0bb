use std::time::Duration;

use super::endpoint_desk::RunKey;
use crate::collect::SortedMap;
use crate::id::LinkId;
use crate::time::ClockTime;

/// Part of time that an endpoint may spend with reading while streams run on it.
///
/// Seven steps that each read a full chunk outlast the usual longest pause; one step in five
/// without reading keeps the pauses of running streams below it.
const PREFILL_DUTY: f64 = 0.65;

/// Reading that may be started in one go, as part of the longest pause of running streams.
const BURST_FRACTION: f64 = 0.7;

/// Longest pause assumed of streams whose route tells none.
pub(crate) const DEFAULT_PAUSE: Duration = Duration::from_millis(400);

/// Part of the endpoint's memory that may be filled with running requests.
const MEMORY_FRACTION: f64 = 0.9;

/// What one request asks of an endpoint that reads prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    /// Time to read what the endpoint does not keep.
    pub prefill: Duration,
    /// Tokens in memory when the answer is whole.
    pub memory: u64,
}

/// What an endpoint can hold at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of its memory; none for endpoints that read no prompts.
    pub memory: Option<u64>,
    /// Longest pause between events of streams that are on time.
    pub pause: Duration,
}

/// Predicts one endpoint's reading and tells whether one more request may start.
#[derive(Debug, Clone)]
pub struct EngineGate {
    limits: GateLimits,
    runs: SortedMap<RunKey, GateRun>,
    /// When the reading that was started is expected to be done.
    prefill_until: ClockTime,
    /// Reading that the duty still allows, refilled with time.
    allowance: f64,
    refilled: ClockTime,
    /// Requests that others have at the endpoint.
    foreign: u32,
}

#[derive(Debug, Clone, Copy)]
struct GateRun {
    work: PrefillWork,
    is_prefilling: bool,
    started: ClockTime,
    /// Reading to learn from, if no other prompt was being read at its start.
    solo_units: Option<f64>,
}

impl GateLimits {
    /// Limits of an endpoint with `slots` that reads no prompts.
    #[must_use]
    pub const fn application(slots: u32) -> Self {
        Self {
            slots,
            memory: None,
            pause: DEFAULT_PAUSE,
        }
    }

    /// Limits of an endpoint that reads prompts into a memory of so many tokens.
    #[must_use]
    pub const fn engine(slots: u32, memory: u64) -> Self {
        Self {
            slots,
            memory: Some(memory),
            pause: DEFAULT_PAUSE,
        }
    }

    /// Reading that is started in one go at most.
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

    /// What the endpoint can hold.
    #[must_use]
    pub const fn limits(&self) -> &GateLimits {
        &self.limits
    }

    /// Takes in what the endpoint can hold.
    pub fn set_limits(&mut self, limits: GateLimits) {
        self.limits = limits;
    }

    /// Takes in how many requests others have at the endpoint.
    pub fn set_foreign(&mut self, count: u32) {
        self.foreign = count;
    }

    /// Time until the reading that was started is done.
    #[must_use]
    pub fn backlog(&self, now: ClockTime) -> Duration {
        self.prefill_until.since(now)
    }

    /// Requests that run, of this desk and of others.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.runs.len() + self.foreign as usize
    }

    /// Tells whether a request may start now.
    #[must_use]
    pub fn admits(&self, work: &PrefillWork, now: ClockTime) -> bool {
        self.has_capacity(work) && self.prefill_fits(work, now)
    }

    /// Tells whether there is a slot and memory for a request.
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

    /// Tells whether a request's prompt may be read now without long pauses of running streams.
    fn prefill_fits(&self, work: &PrefillWork, now: ClockTime) -> bool {
        if self.limits.memory.is_none() || self.running() == 0 {
            return true;
        }
        let burst = self.limits.burst();
        let backlog = self.backlog(now);
        if backlog.is_zero() && !self.is_prefilling() && work.prefill > burst {
            // A prompt that is longer than any burst starts when nothing else is read.
            return self.allowance_at(now) >= burst.as_secs_f64() / 2.0;
        }
        backlog + work.prefill <= burst.max(work.prefill / 2)
            && self.allowance_at(now) >= work.prefill.as_secs_f64().min(burst.as_secs_f64()) / 2.0
    }

    /// Notes the start of a request that reads `units` tokens.
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

    /// Notes that a request's prompt is read; returns its size and time if it was read alone.
    pub fn first_event(&mut self, key: RunKey, now: ClockTime) -> Option<(f64, Duration)> {
        let run = self.runs.get_mut(&key)?;
        run.is_prefilling = false;
        let units = run.solo_units.take();
        let took = now.since(run.started);
        self.clamp_backlog(now);
        units.map(|units| (units, took))
    }

    /// Notes that a request is no longer at the endpoint.
    pub fn end(&mut self, key: RunKey, now: ClockTime) {
        self.runs.remove(&key);
        self.clamp_backlog(now);
    }

    /// Forgets every request of a router.
    pub fn drop_link(&mut self, link: LinkId, now: ClockTime) {
        self.runs.retain(|(owner, _), _| *owner != link);
        self.clamp_backlog(now);
    }

    /// Tells whether a prompt is being read.
    #[must_use]
    pub fn is_prefilling(&self) -> bool {
        self.runs.values().any(|run| run.is_prefilling)
    }

    /// The backlog is never longer than what is still to be read.
    fn clamp_backlog(&mut self, now: ClockTime) {
        let unread = self.runs.values().filter(|run| run.is_prefilling);
        let unread: Duration = unread.map(|run| run.work.prefill).sum();
        self.prefill_until = self.prefill_until.min(now + unread);
    }

    /// Seconds of reading that the duty allows; no more than one burst is saved up.
    fn allowance_at(&self, now: ClockTime) -> f64 {
        let refill = now.since(self.refilled).as_secs_f64() * PREFILL_DUTY;
        (self.allowance + refill).min(self.limits.burst().as_secs_f64())
    }
}
