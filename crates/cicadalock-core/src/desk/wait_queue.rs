use std::collections::VecDeque;

use super::endpoint_desk::{DeskAsk, RunKey};
use crate::collect::SortedMap;
use crate::id::CustomerId;
use crate::time::ClockTime;

/// Waiting requests, in one FIFO queue per customer.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    customers: SortedMap<CustomerId, VecDeque<(RunKey, DeskAsk)>>,
}

impl WaitQueue {
    /// Appends a request to its customer's queue.
    pub fn push(&mut self, key: RunKey, ask: DeskAsk) {
        let queue = self
            .customers
            .get_or_insert_with(ask.customer, VecDeque::new);
        queue.push_back((key, ask));
    }

    /// Removes a request; returns `None` if it is not waiting.
    pub fn remove(&mut self, key: RunKey) -> Option<DeskAsk> {
        let mut found = None;
        for queue in self.customers.values_mut() {
            if let Some(index) = queue.iter().position(|(waiting, _)| *waiting == key) {
                found = queue.remove(index).map(|(_, ask)| ask);
                break;
            }
        }
        self.customers.retain(|_, queue| !queue.is_empty());
        found
    }

    /// Removes and returns the next request: the first that fits, of the first customer in `order`
    /// with one that does.
    ///
    /// Within a customer, requests that can still be on time go before those that cannot.
    pub fn take_next(
        &mut self,
        order: &[CustomerId],
        now: ClockTime,
        fits: impl Fn(&DeskAsk) -> bool,
    ) -> Option<(RunKey, DeskAsk)> {
        for customer in order {
            let Some(queue) = self.customers.get_mut(customer) else {
                continue;
            };
            let timely = queue
                .iter()
                .position(|(_, ask)| now <= ask.latest && fits(ask));
            let index = timely.or_else(|| queue.iter().position(|(_, ask)| fits(ask)));
            if let Some(taken) = index.and_then(|index| queue.remove(index)) {
                self.customers.retain(|_, queue| !queue.is_empty());
                return Some(taken);
            }
        }
        None
    }

    /// Returns the first request that can still be on time, by customer in `order`.
    pub fn first(&self, order: &[CustomerId], now: ClockTime) -> Option<&DeskAsk> {
        let mut timely = order.iter().filter_map(|customer| {
            let queue = self.customers.get(customer)?;
            queue
                .iter()
                .map(|(_, ask)| ask)
                .find(|ask| now <= ask.latest)
        });
        timely.next()
    }

    /// Returns the customers with waiting requests, the one with the least usage first.
    #[must_use]
    pub fn order(&self, received: impl Fn(CustomerId) -> f64) -> Vec<CustomerId> {
        let customers = self.customers.keys();
        let mut order: Vec<(f64, CustomerId)> = customers
            .map(|customer| (received(*customer), *customer))
            .collect();
        order.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        order.into_iter().map(|(_, customer)| customer).collect()
    }

    /// Removes and returns the requests for which `is_taken` returns true.
    pub fn take_where(
        &mut self,
        is_taken: impl Fn(&RunKey, &DeskAsk) -> bool,
    ) -> Vec<(RunKey, DeskAsk)> {
        let mut taken = Vec::new();
        for queue in self.customers.values_mut() {
            let (matching, rest): (VecDeque<_>, _) =
                queue.drain(..).partition(|(key, ask)| is_taken(key, ask));
            *queue = rest;
            taken.extend(matching);
        }
        self.customers.retain(|_, queue| !queue.is_empty());
        taken
    }

    /// Iterates over the waiting requests, by customer.
    pub fn iter(&self) -> impl Iterator<Item = &(RunKey, DeskAsk)> {
        self.customers.values().flatten()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.values().map(VecDeque::len).sum()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}
