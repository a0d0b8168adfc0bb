use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{BidBook, CostEstimates, PeerReport, PeerTotals, SchedulerBuilder, TotalEntry};
use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation, KindId, LinkId};
use crate::time::ClockTime;

/// A customer without bids for longer than this counts as idle.
const IDLE_GRACE: Duration = Duration::from_millis(1_000);

/// A peer that misses so many reports in a row is no longer presumed to grant.
const MISSED_REPORTS_LIMIT: u32 = 4;

/// Fair choice between customers beside one endpoint.
///
/// Every customer has a position: cost received over share, summed over the sidecars of the
/// service. The backlogged customer with the least position is picked. Between two reports of a
/// peer, the scheduler presumes that the peer serves each customer it has a backlog of as much as
/// this sidecar does; the presumption is dropped when the peer's report arrives.
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
    pub(super) is_adopted: bool,
    pub(super) presumes_peers: bool,
    /// A peer that is silent for longer is no longer presumed to grant.
    pub(super) silence_limit: Duration,
}

/// What was picked, already charged with its estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerPick {
    /// Router whose request runs next.
    pub link: LinkId,
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Kind of the request.
    pub kind: KindId,
    /// Cost charged in advance, in cost units.
    pub estimate: i64,
}

#[derive(Debug, Clone)]
pub(super) struct CustomerAccount {
    pub(super) share: f64,
    /// Cost over share of all known sidecars, adjusted on return from idle.
    pub(super) position: f64,
    /// Cost charged by this sidecar since its start.
    pub(super) own_total: i64,
    /// Estimates charged for requests that have not ended, here and at the peers.
    pub(super) pending: i64,
    pub(super) peer_pending: i64,
    /// Own total in the last report sent.
    pub(super) reported_total: i64,
    pub(super) reported_backlog: bool,
    /// Peers with a backlog of this customer, and the sum of their marks.
    pub(super) peer_backlogs: i64,
    pub(super) peer_marks: f64,
    pub(super) last_bid: Option<ClockTime>,
    /// The last adjustment on return from idle, and when it was made.
    pub(super) lift: Option<(ClockTime, f64)>,
    pub(super) kinds: SortedMap<KindId, KindAccount>,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KindAccount {
    position: f64,
    last_bid: Option<ClockTime>,
}

impl GrantScheduler {
    /// Starts the construction of a scheduler.
    #[must_use]
    pub fn builder() -> SchedulerBuilder {
        SchedulerBuilder::default()
    }

    /// Replaces customers and kinds; accounts of customers that stay are kept.
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
        self.presumes_peers = builder.presumes_peers;
        self.silence_limit = builder.exchange_interval * MISSED_REPORTS_LIMIT;
        self.recount_peers();
    }

    /// Takes in how many requests of a customer and kind wait at a router.
    ///
    /// Bids of unknown customers or kinds are ignored. A customer or kind that returns from idle
    /// starts level with the least of the active ones.
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
            self.lift_customer(customer, now);
            self.lift_kind(customer, kind, now);
        }
        let had_bid = self.bids.has(customer);
        self.bids.set(link, customer, kind, count, now);
        if had_bid || count > 0 {
            self.touch(customer, kind, now);
        }
    }

    /// Forgets every bid of a router.
    pub fn drop_link(&mut self, link: LinkId, now: ClockTime) {
        let waiting: Vec<_> = self.bids.waiting().keys().copied().collect();
        self.bids.drop_link(link);
        for (customer, kind) in waiting {
            self.touch(customer, kind, now);
        }
    }

    /// Picks the request that runs next and charges its estimate.
    pub fn pick(&mut self, now: ClockTime) -> Option<SchedulerPick> {
        let customer = self.least_customer()?;
        let kind = self.least_kind(customer)?;
        let link = self.bids.take_oldest(customer, kind, now)?;
        self.touch(customer, kind, now);
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

    /// Charges `cost` to a customer; a negative cost gives back.
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

    /// Notes that a picked request has ended and its estimate was replaced by its true cost.
    pub fn settle(&mut self, customer: CustomerId, estimate: i64) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.pending = (account.pending - estimate).max(0);
        }
    }

    /// Takes in the final cost of a finished request, for later estimates.
    pub fn observe(&mut self, customer: CustomerId, kind: KindId, cost: i64) {
        self.estimates.observe(customer, kind, cost as f64);
    }

    /// Builds a report of the customers that changed since the last such report.
    pub fn report(&mut self, host: &HostName) -> PeerReport {
        let mut entries = Vec::new();
        for (customer, account) in self.accounts.iter_mut() {
            let backlogged = self.bids.has(*customer);
            let changed = account.own_total != account.reported_total
                || backlogged != account.reported_backlog;
            if changed {
                account.reported_total = account.own_total;
                account.reported_backlog = backlogged;
                entries.push(account.entry(*customer, backlogged, 0.0));
            }
        }
        self.wrap_report(host, entries)
    }

    /// Builds a report of every customer, for a peer that may have missed reports.
    pub fn full_report(&mut self, host: &HostName) -> PeerReport {
        let floor = self.least_position().unwrap_or(0.0);
        let entries = self
            .accounts
            .iter()
            .map(|(customer, account)| {
                let lead = account.position - floor;
                account.entry(*customer, self.bids.has(*customer), lead)
            })
            .collect();
        self.wrap_report(host, entries)
    }

    fn wrap_report(&mut self, host: &HostName, entries: Vec<TotalEntry>) -> PeerReport {
        self.sequence += 1;
        PeerReport {
            host: host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            entries,
        }
    }

    /// Stops presuming that silent peers grant, and keeps leads within the cap.
    pub fn tick(&mut self, now: ClockTime) {
        let mut silent = false;
        for peer in self.peers.values_mut() {
            if peer.is_silent(now, self.silence_limit) {
                for line in peer.lines.values_mut() {
                    silent |= line.backlogged || line.pending != 0;
                    line.backlogged = false;
                    line.pending = 0;
                }
            }
        }
        if silent {
            self.recount_peers();
        }
        self.cap_leads(now);
    }

    /// Cost charged by this sidecar since its start, by customer.
    pub fn own_totals(&self) -> impl Iterator<Item = (CustomerId, i64)> {
        self.accounts
            .iter()
            .map(|(customer, account)| (*customer, account.own_total))
    }

    /// Position of a customer, with what peers are presumed to have served since their reports.
    #[must_use]
    pub fn position(&self, customer: CustomerId) -> Option<f64> {
        let account = self.accounts.get(&customer)?;
        Some(self.effective_position(account))
    }

    /// Waiting requests by customer and kind.
    #[must_use]
    pub const fn bids(&self) -> &BidBook {
        &self.bids
    }

    /// Number of peers heard of.
    #[must_use]
    pub const fn peer_count(&self) -> usize {
        self.peers.len()
    }

    fn effective_position(&self, account: &CustomerAccount) -> f64 {
        if !self.presumes_peers {
            return account.position;
        }
        let presumed = account.peer_backlogs as f64 * account.own_total as f64 - account.peer_marks;
        account.position + presumed / account.share
    }

    fn is_active(&self, customer: CustomerId, account: &CustomerAccount, now: ClockTime) -> bool {
        account.peer_backlogs > 0
            || self.bids.has(customer)
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

    /// Position without estimates of requests in work, which may prove too high.
    fn settled_position(&self, account: &CustomerAccount) -> f64 {
        let pending = account.pending.saturating_add(account.peer_pending);
        self.effective_position(account) - pending as f64 / account.share
    }

    fn lift_customer(&mut self, customer: CustomerId, now: ClockTime) {
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
            account.lift = Some((now, lag));
        }
    }

    fn lift_kind(&mut self, customer: CustomerId, kind: KindId, now: ClockTime) {
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

    /// Notes that a customer and kind had a bid until now.
    fn touch(&mut self, customer: CustomerId, kind: KindId, now: ClockTime) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.last_bid = Some(now);
            account
                .kinds
                .get_or_insert_with(kind, KindAccount::default)
                .last_bid = Some(now);
        }
    }

    /// Forgives the part of a waiting customer's lead that exceeds the cap.
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

    /// Order of customers at equal positions, which differs between sidecars.
    ///
    /// Without it every sidecar of a service would serve the same customers first.
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
            peer_marks: 0.0,
            last_bid: None,
            lift: None,
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
