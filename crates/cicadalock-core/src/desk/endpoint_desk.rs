use std::time::Duration;

use super::customer_meter::CustomerMeter;
use super::endpoint_gate::{EndpointGate, GateLimits, RequestDemand};
use super::wait_queue::WaitQueue;
use crate::collect::SortedMap;
use crate::id::{CustomerId, LinkId, RequestId};
use crate::place::PrefillRate;
use crate::time::ClockTime;

/// Shortest and longest retry delay that a refusal advises.
///
/// Callers honor a delay of up to a third of their remaining time.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));

/// Time for which any shorter prompt may overtake the next request in order.
const OVERTAKING_TIME: Duration = Duration::from_millis(20);

/// Longest prefill that may still overtake after [`OVERTAKING_TIME`].
///
/// It is below a tenth of a burst and therefore delays no other request.
const OVERTAKING_PREFILL: Duration = Duration::from_millis(20);

/// Identifies a request at a desk: the link to its router and the request's number there.
pub type RunKey = (LinkId, RequestId);

/// A request for admission at a desk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeskAsk {
    /// Customer to charge.
    pub customer: CustomerId,
    /// Prefill work, in tokens; attention over the context counts as additional tokens.
    pub units: f64,
    /// Tokens in the endpoint's memory once the answer is complete.
    pub memory: u64,
    /// Charge to the customer, in cost units.
    pub cost: u64,
    /// Time at which the request started to wait; set by [`EndpointDesk::ask`].
    pub asked: ClockTime,
    /// Latest start at which the answer can still meet its objective.
    pub latest: ClockTime,
    /// Latest useful start; the request is refused afterwards.
    pub until: ClockTime,
}

/// Refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeskRefusal {
    /// The refused request.
    pub key: RunKey,
    /// Delay after which a retry is likely to be admitted.
    pub retry_after: Duration,
    /// Whether the rate of requests that the endpoint takes is the reason.
    pub is_limited: bool,
    /// Whether the request waited in line until its latest useful start passed.
    pub is_overdue: bool,
    /// Customer of the request.
    pub customer: CustomerId,
}

/// Endpoint state that a desk reports to routers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeskState {
    /// Expected wait of a request that asks now.
    pub wait: Duration,
    /// Prefill rate of the endpoint.
    pub rate: PrefillRate,
    /// Number of running requests.
    pub running: u32,
}

/// Admission controller of one endpoint: queues requests and decides which starts next.
#[derive(Debug, Clone)]
pub struct EndpointDesk {
    gate: EndpointGate,
    queue: WaitQueue,
    rate: PrefillRate,
    /// What was charged for the requests that have started but not begun to answer.
    charges: SortedMap<RunKey, RunCharge>,
}

/// Charge to a customer for a request that was started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunCharge {
    /// Customer that was charged.
    pub customer: CustomerId,
    /// The charge, in cost units.
    pub cost: u64,
    /// When it was charged.
    pub charged_at: ClockTime,
}

impl DeskAsk {
    /// Creates an ask without a prompt and with a cost of one unit.
    #[must_use]
    pub const fn new(customer: CustomerId, until: ClockTime) -> Self {
        Self {
            customer,
            units: 0.0,
            memory: 0,
            cost: 1,
            asked: ClockTime::from_micros(0),
            latest: until,
            until,
        }
    }

    /// Sets the prefill work and memory needed at a model endpoint, and the customer's charge.
    #[must_use]
    pub const fn work(mut self, units: f64, memory: u64, cost: u64) -> Self {
        self.units = units;
        self.memory = memory;
        self.cost = cost;
        self
    }

    /// Sets the latest start at which the answer can still meet its objective.
    #[must_use]
    pub const fn latest(mut self, latest: ClockTime) -> Self {
        self.latest = latest;
        self
    }
}

impl EndpointDesk {
    /// Creates the desk of an endpoint with the given limits.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            gate: EndpointGate::new(limits),
            queue: WaitQueue::default(),
            rate: PrefillRate::default(),
            charges: SortedMap::new(),
        }
    }

    /// Creates the desk of an application endpoint, which has no prefill.
    #[must_use]
    pub fn for_application(slots: u32) -> Self {
        Self::new(GateLimits::application(slots))
    }

    /// Returns the gate that tracks the endpoint's load.
    #[must_use]
    pub const fn gate(&self) -> &EndpointGate {
        &self.gate
    }

    /// Returns the gate for updates of the endpoint's limits and load.
    pub const fn gate_mut(&mut self) -> &mut EndpointGate {
        &mut self.gate
    }

    /// Returns the prefill rate of the endpoint.
    #[must_use]
    pub const fn rate(&self) -> PrefillRate {
        self.rate
    }

    /// Replaces the prefill rate with one measured elsewhere.
    pub const fn set_rate(&mut self, rate: PrefillRate) {
        self.rate = rate;
    }

    /// Enqueues a request unless its expected wait exceeds its latest useful start.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the advised retry delay if the request cannot start in time.
    pub fn ask(
        &mut self,
        key: RunKey,
        ask: DeskAsk,
        meter: &CustomerMeter,
        now: ClockTime,
    ) -> Result<(), DeskRefusal> {
        let wait = self.expected_wait(&ask, meter, now);
        let time_left = ask.until.since(now);
        if wait > time_left {
            let retry_after = wait.saturating_sub(time_left / 2);
            return Err(DeskRefusal {
                key,
                retry_after: retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
                is_limited: self.gate.limit_wait(1, now) > time_left,
                is_overdue: false,
                customer: ask.customer,
            });
        }
        self.queue.push(key, DeskAsk { asked: now, ..ask });
        Ok(())
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn withdraw(&mut self, key: RunKey) -> bool {
        self.queue.remove(key).is_some()
    }

    /// Returns whether any request of a router is waiting.
    #[must_use]
    pub fn has_waiting(&self, link: LinkId) -> bool {
        self.queue.iter().any(|((owner, _), _)| *owner == link)
    }

    /// Removes and returns all waiting requests of a router.
    pub fn remove_waiting(&mut self, link: LinkId) -> Vec<RequestId> {
        let taken = self.queue.take_where(|(owner, _), _| *owner == link);
        taken.into_iter().map(|((_, id), _)| id).collect()
    }

    /// Longest prefill that may start while the next request in order is held back by its prefill.
    ///
    /// Short prompts nearly always fit. Without this limit they would starve the next long prompt
    /// until it is refused.
    fn overtaking_limit(&self, order: &[CustomerId], now: ClockTime) -> Duration {
        let Some(first) = self.queue.first(order, now) else {
            return Duration::MAX;
        };
        let work = prefill_work(first, self.rate);
        let is_held_up = self.gate.has_capacity(&work) && !self.gate.admits(&work, now);
        if is_held_up && now.since(first.asked) > OVERTAKING_TIME {
            OVERTAKING_PREFILL
        } else {
            Duration::MAX
        }
    }

    /// Starts all requests that may start now, in order, and charges their customers.
    pub fn admit(&mut self, meter: &mut CustomerMeter, now: ClockTime) -> Vec<RunKey> {
        let mut admitted = Vec::new();
        while !self.queue.is_empty() {
            let (gate, rate) = (&self.gate, self.rate);
            let order = self.queue.order(|customer| meter.received(customer, now));
            let limit = self.overtaking_limit(&order, now);
            let next = self.queue.take_next(&order, now, |ask| {
                let work = prefill_work(ask, rate);
                work.prefill_time <= limit && gate.admits(&work, now)
            });
            let Some((key, ask)) = next else {
                break;
            };
            self.gate
                .start(key, prefill_work(&ask, rate), ask.units, now);
            meter.charge(ask.customer, key.0, ask.cost as f64, now);
            self.charges.insert(
                key,
                RunCharge {
                    customer: ask.customer,
                    cost: ask.cost,
                    charged_at: now,
                },
            );
            admitted.push(key);
        }
        admitted
    }

    /// Removes the requests whose latest useful start has passed and returns their refusals.
    pub fn refuse_overdue(&mut self, now: ClockTime) -> Vec<DeskRefusal> {
        let overdue = self.queue.take_where(|_, ask| now > ask.until);
        let limit_wait = self.gate.limit_wait(1, now);
        let retry_after = self
            .gate
            .backlog(now)
            .max(limit_wait)
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        let refusals = overdue.into_iter().map(|(key, ask)| DeskRefusal {
            key,
            retry_after,
            is_limited: !limit_wait.is_zero(),
            is_overdue: true,
            customer: ask.customer,
        });
        refusals.collect()
    }

    /// Returns the state to report to routers.
    #[must_use]
    pub fn state(&self, now: ClockTime) -> DeskState {
        let waiting: f64 = self.queue.iter().map(|(_, ask)| ask.units).sum();
        DeskState {
            wait: (self.gate.backlog(now) + self.rate.time(waiting))
                .max(self.gate.limit_wait(self.queue.len() + 1, now)),
            rate: self.rate,
            running: self.gate.running() as u32,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Registers a request that is already running at the endpoint.
    ///
    /// `is_read` tells whether its prefill is done.
    pub fn adopt(&mut self, key: RunKey, ask: &DeskAsk, is_read: bool, now: ClockTime) {
        self.gate.start(key, prefill_work(ask, self.rate), 0.0, now);
        if is_read {
            self.gate.finish_prefill(key, now);
        }
    }

    /// Records that a request's prefill is done and updates the prefill rate from it.
    pub fn first_event(&mut self, key: RunKey, now: ClockTime) {
        self.charges.remove(&key);
        if let Some(measure) = self.gate.finish_prefill(key, now) {
            self.rate.observe(&measure);
        }
    }

    /// Records that a request is no longer at the endpoint.
    ///
    /// Returns what was charged for it here if it ended before its first event: it did not get what its
    /// customer was charged for.
    pub fn end(&mut self, key: RunKey) -> Option<RunCharge> {
        self.gate.end(key);
        self.charges.remove(&key)
    }

    /// Records that a router is gone, with its waiting and running requests.
    pub fn drop_link(&mut self, link: LinkId) {
        self.remove_waiting(link);
        self.charges.retain(|(owner, _), _| *owner != link);
        self.gate.drop_link(link);
    }

    /// Expected wait of a request: the prefill in progress, and the requests queued before it, or the
    /// time until the endpoint's rate allows it.
    fn expected_wait(&self, ask: &DeskAsk, meter: &CustomerMeter, now: ClockTime) -> Duration {
        let own = meter.received(ask.customer, now);
        let ahead = self.queue.iter().filter(|(_, other)| {
            other.customer == ask.customer || meter.received(other.customer, now) < own
        });
        let (count, units) = ahead.fold((0, 0.0), |(count, units), (_, other)| {
            (count + 1, units + other.units)
        });
        let prefill = self.gate.backlog(now) + self.rate.time(units);
        prefill.max(self.gate.limit_wait(count + 1, now))
    }
}

fn prefill_work(ask: &DeskAsk, rate: PrefillRate) -> RequestDemand {
    RequestDemand {
        prefill_time: rate.time(ask.units),
        memory_tokens: ask.memory,
    }
}
