use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::peers::PeerLine;
use super::{BidBook, CostEstimates, PeerReport, PeerTotals, TotalEntry};
use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation, KindId, LinkId};
use crate::time::ClockTime;

/// A customer without bids for longer than this counts as idle.
const IDLE_GRACE: Duration = Duration::from_millis(1_000);

/// A peer that misses so many reports in a row is no longer presumed to grant.
const MISSED_REPORTS_LIMIT: u32 = 4;

/// Default time between two reports of a peer.
const DEFAULT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Default of the greatest lead of one customer over another, in cost units by share.
const DEFAULT_DEBT_CAP: f64 = 1_000_000.0;

/// Fair choice between customers beside one endpoint.
///
/// Every customer has a position: cost received over share, summed over the sidecars of the
/// service. The backlogged customer with the least position is picked. Between two reports of a
/// peer, the scheduler presumes that the peer serves each customer it has a backlog of as much as
/// this sidecar does; the presumption is dropped when the peer's report arrives.
#[derive(Debug)]
pub struct GrantScheduler {
    accounts: SortedMap<CustomerId, CustomerAccount>,
    kinds: SortedMap<KindId, f64>,
    bids: BidBook,
    estimates: CostEstimates,
    peers: SortedMap<HostName, PeerTotals>,
    incarnation: Incarnation,
    sequence: u64,
    debt_cap: f64,
    is_adopted: bool,
    presumes_peers: bool,
    /// A peer that is silent for longer is no longer presumed to grant.
    silence_limit: Duration,
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
struct CustomerAccount {
    share: f64,
    /// Cost over share of all known sidecars, adjusted on return from idle.
    position: f64,
    /// Cost charged by this sidecar since its start.
    own_total: i64,
    /// Own total in the last report sent.
    reported_total: i64,
    reported_backlog: bool,
    /// Peers with a backlog of this customer, and the sum of their marks.
    peer_backlogs: i64,
    peer_marks: f64,
    last_bid: Option<ClockTime>,
    /// The last adjustment on return from idle, and when it was made.
    lift: Option<(ClockTime, f64)>,
    kinds: SortedMap<KindId, KindAccount>,
}

#[derive(Debug, Clone, Copy, Default)]
struct KindAccount {
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

    /// Adds a peer's report. Old and repeated reports are ignored; returns whether it was new.
    pub fn merge(&mut self, report: &PeerReport, now: ClockTime) -> bool {
        let known = self
            .peers
            .get(&report.host)
            .map(|peer| (peer.incarnation, peer.sequence));
        if known.is_some_and(|seen| seen >= (report.incarnation, report.sequence)) {
            return false;
        }
        let was_silent = self
            .peers
            .get(&report.host)
            .is_some_and(|peer| peer.is_silent(now, self.silence_limit));
        let is_first = known.is_none_or(|(incarnation, _)| incarnation != report.incarnation);
        let is_older = report.incarnation < self.incarnation;
        if is_first {
            self.forget_peer(&report.host);
            self.peers.insert(
                report.host.clone(),
                PeerTotals::new(report.incarnation, now),
            );
        }
        let adopts = is_first && is_older && !self.is_adopted;
        for entry in &report.entries {
            self.merge_entry(&report.host, entry, is_first && is_older, adopts);
            if was_silent && entry.backlogged {
                self.withdraw_lift(entry.customer, now);
            }
        }
        if adopts {
            self.is_adopted = true;
        }
        self.mark_heard(&report.host, report.sequence, now);
        true
    }

    /// Stops presuming that silent peers grant, and keeps leads within the cap.
    pub fn tick(&mut self, now: ClockTime) {
        let mut silent = false;
        for peer in self.peers.values_mut() {
            if peer.is_silent(now, self.silence_limit) {
                for line in peer.lines.values_mut() {
                    silent |= line.backlogged;
                    line.backlogged = false;
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
            .map(|(_, account)| self.effective_position(account))
            .min_by(f64::total_cmp)
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

    fn merge_entry(
        &mut self,
        host: &HostName,
        entry: &TotalEntry,
        is_baseline: bool,
        adopts: bool,
    ) {
        let Some(account) = self.accounts.get_mut(&entry.customer) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let line = peer
            .lines
            .get_or_insert_with(entry.customer, PeerLine::default);
        if adopts && entry.lead.is_finite() {
            account.position += entry.lead;
        }
        if !is_baseline {
            account.position += entry.total.saturating_sub(line.total) as f64 / account.share;
        }
        line.total = entry.total;
        if line.backlogged == entry.backlogged {
            return;
        }
        line.backlogged = entry.backlogged;
        if entry.backlogged {
            line.own_mark = account.own_total;
            account.peer_backlogs += 1;
            account.peer_marks += line.own_mark as f64;
        } else {
            account.peer_backlogs -= 1;
            account.peer_marks -= line.own_mark as f64;
        }
    }

    /// Takes back a customer's recent adjustment: it was not idle, only out of sight.
    fn withdraw_lift(&mut self, customer: CustomerId, now: ClockTime) {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        if let Some((at, lag)) = account.lift.take()
            && now.since(at) <= self.silence_limit
        {
            account.position -= lag;
        }
    }

    /// Moves the marks of every line of a peer to the own totals of now.
    fn mark_heard(&mut self, host: &HostName, sequence: u64, now: ClockTime) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        peer.sequence = sequence;
        peer.heard = now;
        for (customer, line) in peer.lines.iter_mut().filter(|(_, line)| line.backlogged) {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.peer_marks += (account.own_total - line.own_mark) as f64;
                line.own_mark = account.own_total;
            }
        }
    }

    fn forget_peer(&mut self, host: &HostName) {
        if self.peers.remove(host).is_some() {
            self.recount_peers();
        }
    }

    /// Recomputes each account's sums over peers with a backlog.
    fn recount_peers(&mut self) {
        for account in self.accounts.values_mut() {
            account.peer_backlogs = 0;
            account.peer_marks = 0.0;
        }
        for peer in self.peers.values() {
            for (customer, line) in peer.lines.iter().filter(|(_, line)| line.backlogged) {
                if let Some(account) = self.accounts.get_mut(customer) {
                    account.peer_backlogs += 1;
                    account.peer_marks += line.own_mark as f64;
                }
            }
        }
    }
}

impl CustomerAccount {
    const fn new(share: f64, position: f64) -> Self {
        Self {
            share,
            position,
            own_total: 0,
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
            backlogged,
            lead,
        }
    }
}

/// Collects the settings of a [`GrantScheduler`].
#[derive(Debug, Clone)]
pub struct SchedulerBuilder {
    customers: SortedMap<CustomerId, f64>,
    kinds: SortedMap<KindId, (f64, f64)>,
    incarnation: Incarnation,
    debt_cap: f64,
    presumes_peers: bool,
    exchange_interval: Duration,
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
