use std::collections::VecDeque;

use super::customer_meter::CustomerMeter;
use super::endpoint_desk::DeskAsk;
use crate::collect::SortedMap;
use crate::id::{CustomerId, RequestId};
use crate::time::ClockTime;

/// Waiting requests, by customer in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct WaitLine {
    customers: SortedMap<CustomerId, VecDeque<(RequestId, DeskAsk)>>,
}

impl WaitLine {
    /// Appends a request.
    pub fn push(&mut self, id: RequestId, ask: DeskAsk) {
        let line = self
            .customers
            .get_or_insert_with(ask.customer, VecDeque::new);
        line.push_back((id, ask));
    }

    /// Removes a request; returns whether it waited.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let mut is_found = false;
        for line in self.customers.values_mut() {
            if let Some(index) = line.iter().position(|(waiting, _)| *waiting == id) {
                line.remove(index);
                is_found = true;
                break;
            }
        }
        self.customers.retain(|_, line| !line.is_empty());
        is_found
    }

    /// Takes the request that goes next: of the customer that received least, the first that fits.
    ///
    /// Within a customer, requests that can still be on time go before those that cannot.
    pub fn take_next(
        &mut self,
        meter: &CustomerMeter,
        now: ClockTime,
        fits: impl Fn(&DeskAsk) -> bool,
    ) -> Option<(RequestId, DeskAsk)> {
        let mut order: Vec<(f64, CustomerId)> = self
            .customers
            .keys()
            .map(|customer| (meter.received(*customer), *customer))
            .collect();
        order.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        for (_, customer) in order {
            let Some(line) = self.customers.get_mut(&customer) else {
                continue;
            };
            let timely = line
                .iter()
                .position(|(_, ask)| now <= ask.latest && fits(ask));
            let index = timely.or_else(|| line.iter().position(|(_, ask)| fits(ask)));
            if let Some(taken) = index.and_then(|index| line.remove(index)) {
                self.customers.retain(|_, line| !line.is_empty());
                return Some(taken);
            }
        }
        None
    }

    /// The waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &(RequestId, DeskAsk)> {
        self.customers.values().flatten()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.values().map(VecDeque::len).sum()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}
