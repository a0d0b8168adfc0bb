use std::time::Duration;

use super::customer_usage::CustomerUsage;
use crate::collect::SortedMap;
use crate::id::{CustomerId, LinkId};
use crate::message::CustomerTotal;
use crate::time::ClockTime;

/// Half-life of the cost charged to a customer.
///
/// Half of the four-second window over which customers' shares are computed.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Recent usage of each customer through each router, in exponentially decaying cost units.
///
/// A router counts the requests that it saw start. A desk takes the counts of all routers and adds
/// what it has granted since, so that customers are ordered by their usage across the whole fleet.
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
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.cost * 0.5_f64.powf(half_lives)
    }
}

impl CustomerMeter {
    /// Adds the cost of a request from `link` to a customer's usage.
    pub fn charge(&mut self, customer: CustomerId, link: LinkId, cost: f64, now: ClockTime) {
        let entry = self.entry(customer, link, now);
        *entry = DecayingCost {
            cost: entry.at(now) + cost,
            at: now,
        };
    }

    /// Takes back a cost that was charged at `charged_at`, as the request did not run.
    pub fn refund(
        &mut self,
        customer: CustomerId,
        link: LinkId,
        (cost, charged_at): (f64, ClockTime),
        now: ClockTime,
    ) {
        let charged = DecayingCost {
            cost,
            at: charged_at,
        };
        let links = self.customers.get_mut(&customer);
        if let Some(entry) = links.and_then(|links| links.get_mut(&link)) {
            *entry = DecayingCost {
                cost: (entry.at(now) - charged.at(now)).max(0.0),
                at: now,
            };
        }
    }

    /// Replaces a customer's usage through `link`.
    pub fn set(&mut self, customer: CustomerId, link: LinkId, cost: f64, now: ClockTime) {
        *self.entry(customer, link, now) = DecayingCost { cost, at: now };
    }

    /// Returns a customer's recent usage through all routers, in cost units.
    #[must_use]
    pub fn received(&self, customer: CustomerId, now: ClockTime) -> f64 {
        let links = self.customers.get(&customer);
        links.map_or(0.0, |links| links.values().map(|cost| cost.at(now)).sum())
    }

    /// Returns a customer's recent usage and how old the report is that most of it comes from.
    #[must_use]
    pub fn usage(&self, customer: CustomerId, now: ClockTime) -> CustomerUsage {
        let links = self.customers.get(&customer);
        let parts = links.into_iter().flat_map(SortedMap::values);
        let largest = parts.max_by(|left, right| left.at(now).total_cmp(&right.at(now)));
        CustomerUsage {
            received: self.received(customer, now),
            age: largest.map_or(Duration::ZERO, |part| now.since(part.at)),
        }
    }

    /// Returns the usage of the customer that received most.
    #[must_use]
    pub fn best_usage(&self, now: ClockTime) -> CustomerUsage {
        let customers = self.customers.keys();
        let best = customers.max_by(|left, right| {
            self.received(**left, now)
                .total_cmp(&self.received(**right, now))
        });
        best.map_or_else(CustomerUsage::default, |best| self.usage(*best, now))
    }

    /// Returns a customer's recent usage through `link`, in cost units.
    #[must_use]
    pub fn received_through(&self, customer: CustomerId, link: LinkId, now: ClockTime) -> f64 {
        let links = self.customers.get(&customer);
        let cost = links.and_then(|links| links.get(&link));
        cost.map_or(0.0, |cost| cost.at(now))
    }

    /// Returns the customers with a recent usage of at least one cost unit.
    ///
    /// Sums over all links, or counts only `link` if it is given.
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

    /// Removes the usage reported by a router.
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
