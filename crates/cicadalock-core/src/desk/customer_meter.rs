use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::{CustomerId, LinkId};
use crate::message::CustomerTotal;
use crate::time::ClockTime;

/// Time in which what a customer received loses half of its weight.
///
/// Half of the four seconds over which customers' shares are reckoned.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// What each customer received lately through each router, in cost units that fade.
///
/// A router counts what it saw start. A desk takes the counts of all routers and adds what it
/// granted since, so that a customer is weighed by what the whole fleet gave it.
#[derive(Debug, Clone, Default)]
pub struct CustomerMeter {
    customers: SortedMap<CustomerId, SortedMap<LinkId, DecayingCost>>,
}

#[derive(Debug, Clone, Copy)]
struct DecayingCost {
    cost: f64,
    at: ClockTime,
}

impl DecayingCost {
    fn at(self, now: ClockTime) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.cost * 0.5_f64.powf(halves)
    }
}

impl CustomerMeter {
    /// Charges a customer for a request of `link`.
    pub fn charge(&mut self, customer: CustomerId, link: LinkId, cost: f64, now: ClockTime) {
        let entry = self.entry(customer, link, now);
        *entry = DecayingCost {
            cost: entry.at(now) + cost,
            at: now,
        };
    }

    /// Replaces what a customer received through `link`.
    pub fn set(&mut self, customer: CustomerId, link: LinkId, cost: f64, now: ClockTime) {
        *self.entry(customer, link, now) = DecayingCost { cost, at: now };
    }

    /// What a customer received lately.
    #[must_use]
    pub fn received(&self, customer: CustomerId, now: ClockTime) -> f64 {
        let links = self.customers.get(&customer);
        links.map_or(0.0, |links| links.values().map(|cost| cost.at(now)).sum())
    }

    /// What a customer received lately through `link`.
    #[must_use]
    pub fn received_through(&self, customer: CustomerId, link: LinkId, now: ClockTime) -> f64 {
        let links = self.customers.get(&customer);
        let cost = links.and_then(|links| links.get(&link));
        cost.map_or(0.0, |cost| cost.at(now))
    }

    /// Customers that received at least one cost unit lately, by all links or by one.
    pub fn totals(&self, link: Option<LinkId>, now: ClockTime) -> Vec<CustomerTotal> {
        let total = |customer: &CustomerId| {
            let received = match link {
                Some(link) => self.received_through(*customer, link, now),
                None => self.received(*customer, now),
            };
            CustomerTotal {
                customer: customer.get(),
                received: received as f32,
            }
        };
        let totals = self.customers.keys().map(total);
        totals.filter(|total| total.received >= 1.0).collect()
    }

    /// Forgets what a router told.
    pub fn drop_link(&mut self, link: LinkId) {
        for links in self.customers.values_mut() {
            links.remove(&link);
        }
        self.customers.retain(|_, links| !links.is_empty());
    }

    fn entry(&mut self, customer: CustomerId, link: LinkId, now: ClockTime) -> &mut DecayingCost {
        let links = self.customers.get_or_insert_with(customer, SortedMap::new);
        links.get_or_insert_with(link, || DecayingCost { cost: 0.0, at: now })
    }
}
