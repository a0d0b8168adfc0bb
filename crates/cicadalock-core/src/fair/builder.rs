use std::time::Duration;

use super::{BidBook, CostEstimates, GrantScheduler};
use crate::collect::SortedMap;
use crate::id::{CustomerId, Incarnation, KindId};

/// Default cap of one customer's lead over another, in cost units divided by share.
const DEFAULT_DEBT_CAP: f64 = 1_000_000.0;

/// Default interval between two reports of a peer.
const DEFAULT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Builder of a [`GrantScheduler`].
#[derive(Debug, Clone)]
pub struct SchedulerBuilder {
    pub(super) customers: SortedMap<CustomerId, f64>,
    pub(super) kinds: SortedMap<KindId, (f64, f64)>,
    pub(super) incarnation: Incarnation,
    pub(super) debt_cap: f64,
    pub(super) extrapolates_peers: bool,
    pub(super) exchange_interval: Duration,
}

impl SchedulerBuilder {
    /// Adds a customer whose part of the capacity is proportional to `share`; zero counts as one.
    #[must_use]
    pub fn customer(mut self, customer: CustomerId, share: u32) -> Self {
        self.customers.insert(customer, f64::from(share.max(1)));
        self
    }

    /// Adds a kind with its weight within a customer's share and its expected cost in cost units.
    #[must_use]
    pub fn kind(mut self, kind: KindId, weight: u32, estimate: u32) -> Self {
        self.kinds
            .insert(kind, (f64::from(weight.max(1)), f64::from(estimate)));
        self
    }

    /// Sets the incarnation of this process.
    ///
    /// It tells whether the totals of a peer date from before the start of this process.
    #[must_use]
    pub const fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the cap of one customer's lead over another, in cost units divided by share.
    #[must_use]
    pub fn debt_cap(mut self, cap: u64) -> Self {
        self.debt_cap = cap as f64;
        self
    }

    /// Sets whether the work of peers is extrapolated between their reports.
    #[must_use]
    pub const fn extrapolate_peers(mut self, extrapolates: bool) -> Self {
        self.extrapolates_peers = extrapolates;
        self
    }

    /// Sets the interval between two reports of a peer.
    ///
    /// A peer that misses several reports in a row is no longer extrapolated.
    #[must_use]
    pub const fn exchange_interval(mut self, interval: Duration) -> Self {
        self.exchange_interval = interval;
        self
    }

    /// Builds the scheduler, without bids and known peers.
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
            has_adopted_leads: false,
            extrapolates_peers: self.extrapolates_peers,
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
            extrapolates_peers: true,
            exchange_interval: DEFAULT_EXCHANGE_INTERVAL,
        }
    }
}
