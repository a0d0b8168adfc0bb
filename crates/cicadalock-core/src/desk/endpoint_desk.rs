use std::time::Duration;

use super::customer_meter::CustomerMeter;
use super::engine_gate::{EngineGate, GateLimits, ReadWork};
use super::wait_line::WaitLine;
use crate::id::{CustomerId, RequestId};
use crate::time::ClockTime;

/// A request that wants to start at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeskAsk {
    /// Customer that is charged.
    pub customer: CustomerId,
    /// What it asks of the endpoint.
    pub work: ReadWork,
    /// What the customer is charged, in cost units.
    pub cost: u64,
    /// Latest start at which the answer can be on time.
    pub latest: ClockTime,
}

/// Decides who starts next at one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointDesk {
    gate: EngineGate,
    line: WaitLine,
    meter: CustomerMeter,
}

impl DeskAsk {
    /// Creates an ask without a prompt, charged as one unit.
    #[must_use]
    pub const fn new(customer: CustomerId, latest: ClockTime) -> Self {
        Self {
            customer,
            work: ReadWork {
                read: Duration::ZERO,
                memory: 0,
            },
            cost: 1,
            latest,
        }
    }

    /// Sets what is asked of an endpoint that reads prompts, and the customer's charge.
    #[must_use]
    pub const fn work(mut self, work: ReadWork, cost: u64) -> Self {
        self.work = work;
        self.cost = cost;
        self
    }
}

impl EndpointDesk {
    /// Creates the desk of an endpoint within `limits`.
    #[must_use]
    pub fn new(limits: GateLimits) -> Self {
        Self {
            gate: EngineGate::new(limits),
            line: WaitLine::default(),
            meter: CustomerMeter::default(),
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

    /// Takes in a request that waits.
    pub fn ask(&mut self, id: RequestId, ask: DeskAsk) {
        self.line.push(id, ask);
    }

    /// Removes a request that waits; returns whether it did.
    pub fn withdraw(&mut self, id: RequestId) -> bool {
        self.line.remove(id)
    }

    /// Lets those start that may, in order.
    pub fn admit(&mut self, now: ClockTime) -> Vec<RequestId> {
        let mut admitted = Vec::new();
        if self.line.is_empty() {
            return admitted;
        }
        let (gate, meter) = (&mut self.gate, &mut self.meter);
        while let Some((id, ask)) = self
            .line
            .take_next(meter, now, |ask| gate.admits(&ask.work, now))
        {
            gate.start(id, ask.work, now);
            meter.charge(ask.customer, ask.cost as f64, now);
            admitted.push(id);
        }
        admitted
    }

    /// Time until a request that asks now is expected to start.
    #[must_use]
    pub fn expected_wait(&self, now: ClockTime) -> Duration {
        let waiting: Duration = self.line.iter().map(|(_, ask)| ask.work.read).sum();
        self.gate.backlog(now) + waiting
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Notes that a request's prompt is read.
    pub fn first_event(&mut self, id: RequestId, now: ClockTime) {
        self.gate.first_event(id, now);
    }

    /// Notes that a request is no longer at the endpoint.
    pub fn end(&mut self, id: RequestId, now: ClockTime) {
        self.gate.end(id, now);
    }
}
