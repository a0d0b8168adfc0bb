use std::time::Duration;

use super::customer_meter::CustomerMeter;
use super::engine_gate::{EngineGate, GateLimits, PrefillWork};
use super::wait_queue::WaitQueue;
use crate::id::{CustomerId, LinkId, RequestId};
use crate::place::ReadRate;
use crate::time::ClockTime;

/// Shortest and longest advice on when to come back.
///
/// Callers heed up to a third of the time that they have left.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));

/// Time for which shorter prompts may overtake the next request in order.
const OVERTAKING_TIME: Duration = Duration::from_millis(20);

/// Reading that overtakes even then: below a tenth of what a burst allows, it delays nothing.
const OVERTAKING_PREFILL: Duration = Duration::from_millis(20);

/// A request at a desk: the router that has it, and its number there.
pub type RunKey = (LinkId, RequestId);

/// A request that wants to start at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeskAsk {
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Reading, in tokens without context.
    pub units: f64,
    /// Tokens in the endpoint's memory when the answer is whole.
    pub memory: u64,
    /// What the customer is charged, in cost units.
    pub cost: u64,
    /// When it began to wait at the desk.
    pub asked: ClockTime,
    /// Latest start at which the answer can be on time.
    pub latest: ClockTime,
    /// Latest start that is of use; later the request is refused.
    pub until: ClockTime,
}

/// A waiting request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeskRefusal {
    /// The request.
    pub key: RunKey,
    /// When there is likely to be room.
    pub retry_after: Duration,
}

/// What a desk tells routers of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeskState {
    /// Time until a request that asks now is expected to start.
    pub wait: Duration,
    /// How fast the endpoint reads.
    pub rate: ReadRate,
    /// Requests that run.
    pub running: u32,
}

/// Decides who starts next at one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointDesk {
    gate: EngineGate,
    queue: WaitQueue,
    rate: ReadRate,
}

impl DeskAsk {
    /// Creates an ask without a prompt, charged as one unit.
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

    /// Sets what is asked of an endpoint that reads prompts, and the customer's charge.
    #[must_use]
    pub const fn work(mut self, units: f64, memory: u64, cost: u64) -> Self {
        self.units = units;
        self.memory = memory;
        self.cost = cost;
        self
    }

    /// Sets the latest start at which the answer can be on time.
    #[must_use]
    pub const fn latest(mut self, latest: ClockTime) -> Self {
        self.latest = latest;
        self
    }
}

impl EndpointDesk {
    /// Creates the desk of an endpoint within `limits`.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            gate: EngineGate::new(limits),
            queue: WaitQueue::default(),
            rate: ReadRate::default(),
        }
    }

    /// Creates the desk of an endpoint that reads no prompts.
    #[must_use]
    pub fn for_application(slots: u32) -> Self {
        Self::new(GateLimits::application(slots))
    }

    /// The endpoint's gate.
    #[must_use]
    pub const fn gate(&self) -> &EngineGate {
        &self.gate
    }

    /// The endpoint's gate, for what is learnt of the endpoint.
    pub const fn gate_mut(&mut self) -> &mut EngineGate {
        &mut self.gate
    }

    /// How fast the endpoint reads.
    #[must_use]
    pub const fn rate(&self) -> ReadRate {
        self.rate
    }

    /// Takes in a rate that was learnt elsewhere.
    pub const fn set_rate(&mut self, rate: ReadRate) {
        self.rate = rate;
    }

    /// Takes in a request, unless it cannot start while that is of use.
    ///
    /// # Errors
    ///
    /// Fails with advice on when there is likely to be room.
    pub fn ask(
        &mut self,
        key: RunKey,
        ask: DeskAsk,
        meter: &CustomerMeter,
        now: ClockTime,
    ) -> Result<(), DeskRefusal> {
        let wait = self.expected_wait(&ask, meter, now);
        let patience = ask.until.since(now);
        if wait > patience {
            let retry_after = wait.saturating_sub(patience / 2);
            return Err(DeskRefusal {
                key,
                retry_after: retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
            });
        }
        self.queue.push(key, DeskAsk { asked: now, ..ask });
        Ok(())
    }

    /// Removes a request that waits; returns whether it did.
    pub fn withdraw(&mut self, key: RunKey) -> bool {
        self.queue.remove(key).is_some()
    }

    /// Tells whether a request of a router waits.
    #[must_use]
    pub fn has_waiting(&self, link: LinkId) -> bool {
        self.queue.iter().any(|((owner, _), _)| *owner == link)
    }

    /// Takes every waiting request of a router.
    pub fn remove_waiting(&mut self, link: LinkId) -> Vec<RequestId> {
        let taken = self.queue.take_where(|(owner, _), _| *owner == link);
        taken.into_iter().map(|((_, id), _)| id).collect()
    }

    /// Longest reading that may start while the next request in order waits for its pace.
    ///
    /// Short prompts always fit somewhere; without the limit they would keep the next long one
    /// waiting until it is refused.
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

    /// Lets those start that may, in order, and charges them.
    pub fn admit(&mut self, meter: &mut CustomerMeter, now: ClockTime) -> Vec<RunKey> {
        let mut admitted = Vec::new();
        while !self.queue.is_empty() {
            let (gate, rate) = (&self.gate, self.rate);
            let order = self.queue.order(|customer| meter.received(customer, now));
            let limit = self.overtaking_limit(&order, now);
            let next = self.queue.take_next(&order, now, |ask| {
                let work = prefill_work(ask, rate);
                work.prefill <= limit && gate.admits(&work, now)
            });
            let Some((key, ask)) = next else {
                break;
            };
            self.gate
                .start(key, prefill_work(&ask, rate), ask.units, now);
            meter.charge(ask.customer, key.0, ask.cost as f64, now);
            admitted.push(key);
        }
        admitted
    }

    /// Takes the requests that waited until a start was of no more use.
    pub fn refuse_overdue(&mut self, now: ClockTime) -> Vec<DeskRefusal> {
        let overdue = self.queue.take_where(|_, ask| now > ask.until);
        let retry_after = self
            .gate
            .backlog(now)
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        overdue
            .into_iter()
            .map(|(key, _)| DeskRefusal { key, retry_after })
            .collect()
    }

    /// What routers are told.
    #[must_use]
    pub fn state(&self, now: ClockTime) -> DeskState {
        let waiting: f64 = self.queue.iter().map(|(_, ask)| ask.units).sum();
        DeskState {
            wait: self.gate.backlog(now) + self.rate.time(waiting),
            rate: self.rate,
            running: self.gate.running() as u32,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a request that runs already.
    pub fn adopt(&mut self, key: RunKey, ask: &DeskAsk, is_read: bool, now: ClockTime) {
        self.gate.start(key, prefill_work(ask, self.rate), 0.0, now);
        if is_read {
            self.gate.first_event(key, now);
        }
    }

    /// Notes that a request's prompt is read.
    pub fn first_event(&mut self, key: RunKey, now: ClockTime) {
        if let Some((units, took)) = self.gate.first_event(key, now) {
            self.rate.observe(units, took);
        }
    }

    /// Notes that a request is no longer at the endpoint.
    pub fn end(&mut self, key: RunKey, now: ClockTime) {
        self.gate.end(key, now);
    }

    /// Expected wait of a request: what is being read, and what goes before it.
    fn expected_wait(&self, ask: &DeskAsk, meter: &CustomerMeter, now: ClockTime) -> Duration {
        let own = meter.received(ask.customer, now);
        let ahead = self.queue.iter().filter(|(_, other)| {
            other.customer == ask.customer || meter.received(other.customer, now) < own
        });
        let units: f64 = ahead.map(|(_, other)| other.units).sum();
        self.gate.backlog(now) + self.rate.time(units)
    }
}

fn prefill_work(ask: &DeskAsk, rate: ReadRate) -> PrefillWork {
    PrefillWork {
        prefill: rate.time(ask.units),
        memory: ask.memory,
    }
}
