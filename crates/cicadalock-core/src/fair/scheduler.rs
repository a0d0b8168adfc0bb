use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BidBook, CostEstimates, PeerReport, PeerTotals, SchedulerBuilder, TotalEntry};
use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation, KindId, LinkId};
use crate::time::ClockTime;

/// Time without bids after which a customer or kind counts as idle.
const IDLE_GRACE: Duration = Duration::from_millis(1_000);

/// Number of report intervals without a report after which a peer is no longer extrapolated.
const MISSED_REPORTS_LIMIT: u32 = 4;

/// Weighted fair scheduler of the requests to one endpoint.
///
/// Every customer has a position: the cost charged to it divided by its share, summed over the
/// sidecars of the service. The backlogged customer with the least position is picked. Between two
/// reports of a peer, the scheduler extrapolates: it assumes that the peer serves each customer
/// that is backlogged there as much as this sidecar does. The peer's next report replaces the
/// extrapolated work by the reported work.
#[derive(Debug)]
pub struct GrantScheduler {
    pub(super) accounts: SortedMap<CustomerId, CustomerAccount>,
    pub(super) kinds: SortedMap<KindId, f64>,
    pub(super) bids: BidBook,
    pub(super) estimates: CostEstimates,
    pub(super) peers: SortedMap<HostName, PeerTotals>,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) debt_cap: f64,
    pub(super) has_adopted_leads: bool,
    pub(super) extrapolates_peers: bool,
    /// Time without a report after which a peer is no longer extrapolated.
    pub(super) silence_limit: Duration,
}

/// The request to run next; its estimated cost is already charged to the customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerPick {
    /// Link to the router that has the request.
    pub link: LinkId,
    /// Customer whose request runs and who is charged.
    pub customer: CustomerId,
    /// Kind of the request.
    pub kind: KindId,
    /// Cost charged in advance, in cost units.
    pub estimate: i64,
}

#[derive(Debug, Clone)]
pub(super) struct CustomerAccount {
    pub(super) share: f64,
    /// Cost divided by share over all known sidecars, with the adjustments on return from idle.
    pub(super) position: f64,
    /// Cost charged by this sidecar since its start, in cost units.
    pub(super) own_total: i64,
    /// Estimates charged for requests of this sidecar that have not ended.
    pub(super) pending: i64,
    /// Sum of the peers' pending estimates.
    pub(super) peer_pending: i64,
    /// Value of `own_total` in the last report sent.
    pub(super) reported_total: i64,
    pub(super) reported_backlog: bool,
    /// Number of peers at which the customer is backlogged.
    pub(super) peer_backlogs: i64,
    /// Sum, over these peers, of `own_total` when the peer's last report arrived.
    pub(super) own_totals_at_reports: f64,
    pub(super) last_bid: Option<ClockTime>,
    /// Time and amount of the last adjustment on return from idle.
    pub(super) idle_adjustment: Option<(ClockTime, f64)>,
    pub(super) kinds: SortedMap<KindId, KindAccount>,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KindAccount {
    position: f64,
    last_bid: Option<ClockTime>,
}

impl GrantScheduler {
    /// Returns a builder without customers and kinds.
    #[must_use]
    pub fn builder() -> SchedulerBuilder {
        SchedulerBuilder::default()
    }

    /// Replaces the customers, kinds and limits by those of `builder`.
    ///
    /// Customers that remain keep their accounts; new ones start at the least position. Bids and
    /// learned costs of removed customers and kinds are dropped.
    pub fn reconfigure(&mut self, builder: SchedulerBuilder) {
        let floor = self.least_position().unwrap_or(0.0);
        let accounts = std::mem::take(&mut self.accounts);
        for (customer, share) in builder.customers.iter() {
            let mut account = accounts
                .get(customer)
                .cloned()
                .unwrap_or_else(|| CustomerAccount::new(*share, floor));
            account.share = *share;
            account
                .kinds
                .retain(|kind, _| builder.kinds.contains_key(kind));
            self.accounts.insert(*customer, account);
        }
        for (kind, (_, estimate)) in builder.kinds.iter() {
            self.estimates.set_prior(*kind, *estimate);
        }
        let (accounts, kinds) = (&self.accounts, &builder.kinds);
        let is_known =
            |customer, kind| accounts.contains_key(&customer) && kinds.contains_key(&kind);
        self.estimates.retain(is_known);
        self.bids.retain(is_known);
        self.kinds = builder
            .kinds
            .iter()
            .map(|(kind, (weight, _))| (*kind, *weight))
            .collect();
        self.debt_cap = builder.debt_cap;
        self.extrapolates_peers = builder.extrapolates_peers;
        self.silence_limit = builder.exchange_interval * MISSED_REPORTS_LIMIT;
        self.recompute_peer_sums();
    }

    /// Sets the number of requests of a customer and kind that wait at a router.
    ///
    /// Bids of unknown customers or kinds are ignored. A customer or kind that returns from idle
    /// is raised to the least position of the active ones, so that idle time earns no credit.
    pub fn set_bid(
        &mut self,
        link: LinkId,
        customer: CustomerId,
        kind: KindId,
        count: u32,
        now: ClockTime,
    ) {
        if !self.accounts.contains_key(&customer) || !self.kinds.contains_key(&kind) {
            return;
        }
        if count > 0 {
            self.raise_idle_customer(customer, now);
            self.raise_idle_kind(customer, kind, now);
        }
        let had_bid = self.bids.has_bid(customer);
        self.bids.set(link, customer, kind, count, now);
        if had_bid || count > 0 {
            self.update_last_bid(customer, kind, now);
        }
    }

    /// Removes every bid of a router.
    pub fn drop_link(&mut self, link: LinkId, now: ClockTime) {
        let waiting: Vec<_> = self.bids.waiting().keys().copied().collect();
        self.bids.drop_link(link);
        for (customer, kind) in waiting {
            self.update_last_bid(customer, kind, now);
        }
    }

    /// Picks the request that runs next and charges its estimate.
    ///
    /// Returns `None` if no router has a bid.
    pub fn pick(&mut self, now: ClockTime) -> Option<SchedulerPick> {
        let customer = self.least_customer()?;
        let kind = self.least_kind(customer)?;
        let link = self.bids.take_oldest(customer, kind, now)?;
        self.update_last_bid(customer, kind, now);
        let estimate = self.estimates.expect(customer, kind).round() as i64;
        self.charge(customer, kind, estimate);
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.pending += estimate;
        }
        Some(SchedulerPick {
            link,
            customer,
            kind,
            estimate,
        })
    }

    /// Charges `cost` in cost units to a customer; a negative cost is a refund.
    pub fn charge(&mut self, customer: CustomerId, kind: KindId, cost: i64) {
        let weight = self.kinds.get(&kind).copied().unwrap_or(1.0);
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        account.own_total = account.own_total.saturating_add(cost);
        account.position += cost as f64 / account.share;
        let kind = account.kinds.get_or_insert_with(kind, KindAccount::default);
        kind.position += cost as f64 / weight;
    }

    /// Removes the estimate of an ended request from the pending cost.
    ///
    /// The caller has charged the difference between the true cost and the estimate.
    pub fn settle(&mut self, customer: CustomerId, estimate: i64) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.pending = (account.pending - estimate).max(0);
        }
    }

    /// Updates the cost estimates with the final cost of a finished request.
    pub fn observe(&mut self, customer: CustomerId, kind: KindId, cost: i64) {
        self.estimates.observe(customer, kind, cost as f64);
    }

    /// Builds a report of the customers that changed since the last call.
    pub fn delta_report(&mut self, host: &HostName) -> PeerReport {
        let mut entries = Vec::new();
        for (customer, account) in self.accounts.iter_mut() {
            let backlogged = self.bids.has_bid(*customer);
            let changed = account.own_total != account.reported_total
                || backlogged != account.reported_backlog;
            if changed {
                account.reported_total = account.own_total;
                account.reported_backlog = backlogged;
                entries.push(account.entry(*customer, backlogged, 0.0));
            }
        }
        self.build_report(host, entries)
    }

    /// Builds a report of every customer, for a peer that may have missed delta reports.
    pub fn full_report(&mut self, host: &HostName) -> PeerReport {
        let floor = self.least_position().unwrap_or(0.0);
        let entries = self
            .accounts
            .iter()
            .map(|(customer, account)| {
                let lead = account.position - floor;
                account.entry(*customer, self.bids.has_bid(*customer), lead)
            })
            .collect();
        self.build_report(host, entries)
    }

    fn build_report(&mut self, host: &HostName, entries: Vec<TotalEntry>) -> PeerReport {
        self.sequence += 1;
        PeerReport {
            host: host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            entries,
        }
    }

    /// Ends the extrapolation of silent peers and limits leads to the cap.
    pub fn tick(&mut self, now: ClockTime) {
        let mut silent = false;
        for peer in self.peers.values_mut() {
            if peer.is_silent(now, self.silence_limit) {
                for account in peer.customers.values_mut() {
                    silent |= account.backlogged || account.pending != 0;
                    account.backlogged = false;
                    account.pending = 0;
                }
            }
        }
        if silent {
            self.recompute_peer_sums();
        }
        self.cap_leads(now);
    }

    /// Cost charged by this sidecar since its start in cost units, by customer.
    pub fn own_totals(&self) -> impl Iterator<Item = (CustomerId, i64)> {
        self.accounts
            .iter()
            .map(|(customer, account)| (*customer, account.own_total))
    }

    /// Position of a customer, including the extrapolated work of peers.
    ///
    /// In cost units divided by share; `None` if the customer is unknown.
    #[must_use]
    pub fn position(&self, customer: CustomerId) -> Option<f64> {
        let account = self.accounts.get(&customer)?;
        Some(self.effective_position(account))
    }

    /// Bids of all routers.
    #[must_use]
    pub const fn bids(&self) -> &BidBook {
        &self.bids
    }

    /// Number of peers that have sent a report.
    #[must_use]
    pub const fn peer_count(&self) -> usize {
        self.peers.len()
    }

    fn effective_position(&self, account: &CustomerAccount) -> f64 {
        if !self.extrapolates_peers {
            return account.position;
        }
        let extrapolated =
            account.peer_backlogs as f64 * account.own_total as f64 - account.own_totals_at_reports;
        account.position + extrapolated / account.share
    }

    fn is_active(&self, customer: CustomerId, account: &CustomerAccount, now: ClockTime) -> bool {
        account.peer_backlogs > 0
            || self.bids.has_bid(customer)
            || account
                .last_bid
                .is_some_and(|last| now.since(last) <= IDLE_GRACE)
    }

    /// Least position of the active customers.
    fn active_floor(&self, now: ClockTime) -> Option<f64> {
        self.accounts
            .iter()
            .filter(|(customer, account)| self.is_active(**customer, account, now))
            .map(|(_, account)| self.settled_position(account))
            .min_by(f64::total_cmp)
    }

    /// Position without the estimates of running requests, which may prove too high.
    fn settled_position(&self, account: &CustomerAccount) -> f64 {
        let pending = account.pending.saturating_add(account.peer_pending);
        self.effective_position(account) - pending as f64 / account.share
    }

    fn raise_idle_customer(&mut self, customer: CustomerId, now: ClockTime) {
        let Some(account) = self.accounts.get(&customer) else {
            return;
        };
        if self.is_active(customer, account, now) {
            return;
        }
        let lag = self
            .active_floor(now)
            .map_or(0.0, |floor| floor - self.effective_position(account));
        if lag > 0.0
            && let Some(account) = self.accounts.get_mut(&customer)
        {
            account.position += lag;
            account.idle_adjustment = Some((now, lag));
        }
    }

    fn raise_idle_kind(&mut self, customer: CustomerId, kind: KindId, now: ClockTime) {
        let waiting: Vec<KindId> = self.bids.kinds(customer).collect();
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        let is_active = |id: KindId, kind: &KindAccount| {
            waiting.binary_search(&id).is_ok()
                || kind
                    .last_bid
                    .is_some_and(|last| now.since(last) <= IDLE_GRACE)
        };
        let floor = account
            .kinds
            .iter()
            .filter(|(id, kind)| is_active(**id, kind))
            .map(|(_, kind)| kind.position)
            .min_by(f64::total_cmp);
        let entry = account.kinds.get_or_insert_with(kind, KindAccount::default);
        if let Some(floor) = floor
            && !is_active(kind, entry)
        {
            entry.position = entry.position.max(floor);
        }
    }

    /// Records `now` as the last time at which the customer and kind had a bid.
    fn update_last_bid(&mut self, customer: CustomerId, kind: KindId, now: ClockTime) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.last_bid = Some(now);
            account
                .kinds
                .get_or_insert_with(kind, KindAccount::default)
                .last_bid = Some(now);
        }
    }

    /// Reduces the leads of waiting customers to the cap, so that they are not starved.
    fn cap_leads(&mut self, now: ClockTime) {
        let Some(floor) = self.active_floor(now) else {
            return;
        };
        let limit = floor + self.debt_cap;
        let waiting: Vec<CustomerId> = self.bids.customers().collect();
        for customer in waiting {
            let excess = self
                .position(customer)
                .map_or(0.0, |position| position - limit);
            if excess > 0.0
                && let Some(account) = self.accounts.get_mut(&customer)
            {
                account.position -= excess;
            }
        }
    }

    fn least_customer(&self) -> Option<CustomerId> {
        self.bids
            .customers()
            .filter_map(|customer| Some((customer, self.position(customer)?)))
            .min_by(|left, right| {
                let order = left.1.total_cmp(&right.1);
                order.then_with(|| self.tie_rank(left.0).cmp(&self.tie_rank(right.0)))
            })
            .map(|(customer, _)| customer)
    }

    /// Rank of a customer among those at equal positions.
    ///
    /// Differs between sidecars; otherwise every sidecar would serve the same customers first.
    fn tie_rank(&self, customer: CustomerId) -> u64 {
        xxh3_64_with_seed(&customer.get().to_le_bytes(), self.incarnation.get())
    }

    fn least_kind(&self, customer: CustomerId) -> Option<KindId> {
        let account = self.accounts.get(&customer)?;
        let position = |kind: &KindId| account.kinds.get(kind).map_or(0.0, |kind| kind.position);
        self.bids
            .kinds(customer)
            .min_by(|left, right| position(left).total_cmp(&position(right)))
    }

    fn least_position(&self) -> Option<f64> {
        self.accounts
            .values()
            .map(|account| self.effective_position(account))
            .min_by(f64::total_cmp)
    }
}

impl CustomerAccount {
    const fn new(share: f64, position: f64) -> Self {
        Self {
            share,
            position,
            own_total: 0,
            pending: 0,
            peer_pending: 0,
            reported_total: 0,
            reported_backlog: false,
            peer_backlogs: 0,
            own_totals_at_reports: 0.0,
            last_bid: None,
            idle_adjustment: None,
            kinds: SortedMap::new(),
        }
    }

    const fn entry(&self, customer: CustomerId, backlogged: bool, lead: f64) -> TotalEntry {
        TotalEntry {
            customer,
            total: self.own_total,
            pending: self.pending,
            backlogged,
            lead,
        }
    }
}
