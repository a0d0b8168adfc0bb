use std::time::Duration;

use super::{BidBook, CostEstimates, GrantScheduler};
use crate::collect::SortedMap;
use crate::id::{CustomerId, Incarnation, KindId};

/// Default of the greatest lead of one customer over another, in cost units by share.
const DEFAULT_DEBT_CAP: f64 = 1_000_000.0;

/// Default time between two reports of a peer.
const DEFAULT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Collects the settings of a [`GrantScheduler`].
#[derive(Debug, Clone)]
pub struct SchedulerBuilder {
    pub(super) customers: SortedMap<CustomerId, f64>,
    pub(super) kinds: SortedMap<KindId, (f64, f64)>,
    pub(super) incarnation: Incarnation,
    pub(super) debt_cap: f64,
    pub(super) presumes_peers: bool,
    pub(super) exchange_interval: Duration,
}

impl SchedulerBuilder {
    /// Adds a customer that is owed `share` parts of the capacity.
    #[must_use]
    pub fn customer(mut self, customer: CustomerId, share: u32) -> Self {
        self.customers.insert(customer, f64::from(share.max(1)));
        self
    }

    /// Adds a kind with its weight inside a customer's share and its expected cost.
    #[must_use]
    pub fn kind(mut self, kind: KindId, weight: u32, estimate: u32) -> Self {
        self.kinds
            .insert(kind, (f64::from(weight.max(1)), f64::from(estimate)));
        self
    }

    /// Sets the run of this process; reports of older runs count as history.
    #[must_use]
    pub const fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the greatest lead of one customer over another, in cost units by share.
    #[must_use]
    pub fn debt_cap(mut self, cap: u64) -> Self {
        self.debt_cap = cap as f64;
        self
    }

    /// Sets whether peers are presumed to grant between their reports.
    #[must_use]
    pub const fn presume_peers(mut self, presumes: bool) -> Self {
        self.presumes_peers = presumes;
        self
    }

    /// Sets the time between two reports of a peer.
    #[must_use]
    pub const fn exchange_interval(mut self, interval: Duration) -> Self {
        self.exchange_interval = interval;
        self
    }

    /// Builds the scheduler.
    #[must_use]
    pub fn build(self) -> GrantScheduler {
        let mut scheduler = GrantScheduler {
            accounts: SortedMap::new(),
            kinds: SortedMap::new(),
            bids: BidBook::new(),
            estimates: CostEstimates::new(),
            peers: SortedMap::new(),
            incarnation: self.incarnation,
            sequence: 0,
            debt_cap: self.debt_cap,
            is_adopted: false,
            presumes_peers: self.presumes_peers,
            silence_limit: Duration::ZERO,
        };
        scheduler.reconfigure(self);
        scheduler
    }
}

impl Default for SchedulerBuilder {
    fn default() -> Self {
        Self {
            customers: SortedMap::new(),
            kinds: SortedMap::new(),
            incarnation: Incarnation::default(),
            debt_cap: DEFAULT_DEBT_CAP,
            presumes_peers: true,
            exchange_interval: DEFAULT_EXCHANGE_INTERVAL,
        }
    }
}
