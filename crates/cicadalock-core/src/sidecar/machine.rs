use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::action::SidecarAction;
use super::builder::SidecarBuilder;
use super::grant::{GrantPhase, OpenGrant};
use super::hand_off::HandOffState;
use super::keyed::ClaimedKey;
use super::work::map_grant_id;
use crate::collect::SortedMap;
use crate::config::{FleetConfig, ServiceConfig, SharingPolicy};
use crate::fair::GrantScheduler;
use crate::id::{
    CustomerId, GrantId, HostName, Incarnation, KindId, LinkId, RequestId, Revision, ServiceName,
};
use crate::member::{HostList, HostState, ViewLease};
use crate::message::{CancelWork, LeavingNotice, PeerMessage, Ping, Refusal, refusal_reason};
use crate::outcome::OutcomeLedger;
use crate::retry::EndpointBackoff;
use crate::time::{ClockTime, WallTime};

/// Interval between checks of leases, costs of running requests and pings that are due.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between pings to routers with open grants.
///
/// Such a router receives a message at least this often.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// State machine of a sidecar: grants requests at one endpoint and records their outcomes.
#[derive(Debug)]
pub struct SidecarMachine {
    pub(super) host: HostName,
    pub(super) service: ServiceName,
    pub(super) incarnation: Incarnation,
    pub(super) config: Option<Arc<FleetConfig>>,
    pub(super) scheduler: GrantScheduler,
    pub(super) ledger: OutcomeLedger,
    pub(super) lease: ViewLease,
    pub(super) backoff: EndpointBackoff,
    pub(super) routers: SortedMap<LinkId, RouterLink>,
    pub(super) peers: SortedMap<LinkId, PeerLink>,
    pub(super) grants: SortedMap<GrantId, OpenGrant>,
    /// Grants whose request has arrived and waits for a free slot, in order of arrival.
    pub(super) staged: VecDeque<GrantId>,
    pub(super) claims: SortedMap<(LinkId, RequestId), ClaimedKey>,
    pub(super) hand_off_state: HandOffState,
    pub(super) actions: Vec<SidecarAction>,
    /// Customer whose failure last counted towards the back-off, since the last success.
    pub(super) last_failed_customer: Option<CustomerId>,
    /// Failing answers of the endpoint since its last successful one.
    pub(super) consecutive_failures: u32,
    pub(super) is_stopping: bool,
    pub(super) is_listed_leaving: bool,
    pub(super) totals_sent: ClockTime,
    pub(super) view_sent: ClockTime,
    pub(super) next_grant: u64,
    pub(super) last_sweep: ClockTime,
    pub(super) last_ping: ClockTime,
}

/// A connection to a router.
#[derive(Debug, Clone)]
pub(super) struct RouterLink {
    pub(super) host: HostName,
    /// Whether an offer to the router has expired since its last message.
    ///
    /// Its bids were dropped then and are requested again when it next sends a message.
    pub(super) needs_resync: bool,
}

/// A connection to another sidecar of the service.
#[derive(Debug, Clone)]
pub(super) struct PeerLink {
    pub(super) host: HostName,
    pub(super) incarnation: Incarnation,
    /// Whether this process opened the connection, and therefore sends reports on it.
    pub(super) is_dialled: bool,
    pub(super) needs_full_report: bool,
}

/// Snapshot of a sidecar's state.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarReport {
    /// Number of calls in progress at the endpoint.
    pub running: usize,
    /// Number of requests that have arrived and wait for a free slot.
    pub staged: usize,
    /// Number of grants whose request has not arrived.
    pub offered: usize,
    /// Number of waiting requests by customer and kind, as announced in the routers' bids.
    pub waiting: Vec<(CustomerId, KindId, u32)>,
    /// Cost charged since the start of this process, by customer.
    pub totals: Vec<(CustomerId, i64)>,
    /// Whether the sidecar takes no new work.
    pub is_leaving: bool,
    /// Whether work is held back because the endpoint's most recent calls failed.
    pub is_failing: bool,
    /// Number of idempotency keys in the ledger.
    pub keys: usize,
    /// Homes of idempotency keys whose confirmation of the view is missing or too old.
    pub missing_words: Vec<HostName>,
    /// Keys minted after this time run here if they are new; `None` while the view is unconfirmed.
    pub keys_fresh_after: Option<WallTime>,
}

impl SidecarMachine {
    /// Returns a builder for the machine of the sidecar on `host`.
    #[must_use]
    pub const fn builder(host: HostName, service: ServiceName) -> SidecarBuilder {
        SidecarBuilder::new(host, service)
    }

    pub(super) fn assemble(
        builder: SidecarBuilder,
        scheduler: GrantScheduler,
        ledger: OutcomeLedger,
        lease: ViewLease,
        backoff: EndpointBackoff,
    ) -> Self {
        Self {
            host: builder.host,
            service: builder.service,
            incarnation: builder.incarnation,
            config: None,
            scheduler,
            ledger,
            lease,
            backoff,
            routers: SortedMap::new(),
            peers: SortedMap::new(),
            grants: SortedMap::new(),
            staged: VecDeque::new(),
            claims: SortedMap::new(),
            hand_off_state: HandOffState::default(),
            actions: Vec::new(),
            last_failed_customer: None,
            consecutive_failures: 0,
            is_stopping: false,
            is_listed_leaving: false,
            totals_sent: ClockTime::default(),
            view_sent: ClockTime::default(),
            next_grant: 0,
            last_sweep: ClockTime::default(),
            last_ping: ClockTime::default(),
        }
    }

    /// Applies a configuration and asks all routers to send their bids again.
    pub fn set_config(&mut self, config: Arc<FleetConfig>, wall: WallTime) {
        if let Some(service) = config.service(&self.service) {
            let builder = config.scheduler(service).incarnation(self.incarnation);
            self.scheduler.reconfigure(builder);
        }
        let limits = config.limits();
        self.ledger
            .set_limits(limits.key_window, limits.clock_skew, wall);
        self.config = Some(config);
        for link in self.routers.keys() {
            let message = PeerMessage::Ping(Ping { resync: true });
            self.actions.push(SidecarAction::Send {
                link: *link,
                message,
            });
        }
    }

    /// Returns the configuration in force; `None` before the first.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// Returns when [`tick`](Self::tick) is next due.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        self.last_sweep + SWEEP_INTERVAL
    }

    /// Applies the host list of `revision`.
    pub fn set_hosts(&mut self, hosts: &HostList, revision: Revision) {
        let homes = hosts.homes(&self.service);
        if self.lease.set_homes(homes, revision, hosts.previous()) {
            self.drop_hand_offs();
        }
        let own = hosts.get(&self.host);
        let was_leaving = self.is_leaving();
        self.is_listed_leaving = own.is_some_and(|host| host.state == HostState::Leaving);
        if self.is_leaving() != was_leaving {
            self.announce_leaving();
        }
    }

    /// Begins a planned stop: the sidecar takes no new work.
    pub fn stop(&mut self) {
        self.prepare_hand_off();
        if !self.is_leaving() {
            self.is_stopping = true;
            self.announce_leaving();
        }
        self.is_stopping = true;
    }

    /// Registers a connection of the router on `host` and closes any older one of that router.
    pub fn router_connected(&mut self, link: LinkId, host: HostName, now: ClockTime) {
        let older: Vec<LinkId> = self
            .routers
            .iter()
            .filter(|(_, router)| router.host == host)
            .map(|(id, _)| *id)
            .collect();
        for old in older {
            self.link_down(old, now);
            self.actions.push(SidecarAction::Close(old));
        }
        self.routers.insert(
            link,
            RouterLink {
                host,
                needs_resync: false,
            },
        );
    }

    /// Registers a connection to the sidecar on `host`; `dialled` if this process opened it.
    pub fn peer_connected(
        &mut self,
        link: LinkId,
        host: HostName,
        incarnation: Incarnation,
        dialled: bool,
    ) {
        self.lease.reset_peer(&host);
        self.return_hand_off(link, &host, incarnation);
        self.peers.insert(
            link,
            PeerLink {
                host,
                incarnation,
                is_dialled: dialled,
                needs_full_report: true,
            },
        );
    }

    /// Records that a peer's address refused a connection, so its process has ended.
    ///
    /// A process that is suspended or partitioned does not refuse connections. A refusal is ignored
    /// while the peer is connected, because its process is alive then.
    pub fn peer_refused(&mut self, host: &HostName) {
        if !self.peers.values().any(|peer| peer.host == *host) {
            self.lease.mark_departed(host);
        }
    }

    /// Handles a message from a router or a peer; messages of an unknown connection are ignored.
    pub fn receive(&mut self, link: LinkId, message: PeerMessage, now: ClockTime, wall: WallTime) {
        if self.peers.contains_key(&link) {
            self.receive_from_peer(link, message, now, wall);
        } else if self.routers.contains_key(&link) {
            self.request_resync(link);
            self.receive_from_router(link, message, now, wall);
        }
    }

    /// Removes a lost connection.
    ///
    /// A router's bids, claims and grants go with it, except for calls that may not be aborted.
    pub fn link_down(&mut self, link: LinkId, now: ClockTime) {
        self.peers.remove(&link);
        if self.routers.remove(&link).is_none() {
            return;
        }
        self.scheduler.drop_link(link, now);
        let lost: Vec<GrantId> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.link == link)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.abandon_grant(id);
        }
        self.release_claims(link);
    }

    /// Expires leases and performs the periodic work that is due.
    pub fn tick(&mut self, now: ClockTime, wall: WallTime) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.scheduler.tick(now);
        self.revoke_expired(now);
        self.charge_running(now);
        self.exchange(now);
        if !self.lease.is_held(now, wall) {
            self.drop_hand_offs();
        }
        self.adopt_predecessor(now, wall);
        if now.since(self.last_ping) >= PING_INTERVAL {
            self.last_ping = now;
            self.ping_routers();
        }
    }

    /// Starts staged requests, offers grants for free slots, and returns the pending actions.
    pub fn take_actions(&mut self, now: ClockTime, wall: WallTime) -> Vec<SidecarAction> {
        self.start_staged(now, wall);
        self.offer_grants(now);
        self.send_hand_off();
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the sidecar takes no new work.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_stopping || self.is_listed_leaving
    }

    /// Returns whether no grant is open and no ledger hand-off is left to send.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.is_handed_off()
    }

    /// Returns a snapshot of the sidecar's state at `now`.
    #[must_use]
    pub fn report(&self, now: ClockTime) -> SidecarReport {
        let running = self.running();
        let waiting = self.scheduler.bids().waiting();
        SidecarReport {
            running,
            staged: self.staged.len(),
            offered: self.grants.len() - running - self.staged.len(),
            waiting: waiting
                .iter()
                .map(|((owner, kind), count)| (*owner, *kind, *count))
                .collect(),
            totals: self.scheduler.own_totals().collect(),
            is_leaving: self.is_leaving(),
            is_failing: self.backoff.is_failing(),
            keys: self.ledger.len(),
            missing_words: self.lease.unconfirmed_peers(now).cloned().collect(),
            keys_fresh_after: self.keys_fresh_after(now),
        }
    }

    fn receive_from_router(
        &mut self,
        link: LinkId,
        message: PeerMessage,
        now: ClockTime,
        wall: WallTime,
    ) {
        match message {
            PeerMessage::Bid(update) => self.receive_bids(link, &update, now),
            PeerMessage::HandOver(request) => self.receive_request(link, request, now),
            PeerMessage::Decline(decline) => {
                self.receive_decline(link, GrantId::new(decline.grant), decline.left, now);
            }
            PeerMessage::Cancel(cancel) => self.receive_cancel(link, &cancel),
            PeerMessage::Claim(claim) => self.claim(link, &claim, now, wall),
            PeerMessage::Release(release) => {
                self.release_claim(link, RequestId::new(release.request));
            }
            PeerMessage::Credit(credit) => self.actions.push(SidecarAction::Credit {
                grant: map_grant_id(link, credit.grant),
                units: credit.units,
            }),
            _ => {}
        }
    }

    fn receive_cancel(&mut self, link: LinkId, cancel: &CancelWork) {
        let id = map_grant_id(link, cancel.grant);
        let Some(grant) = self.grants.get(&id).filter(|grant| grant.link == link) else {
            return;
        };
        match &grant.phase {
            GrantPhase::Staged { .. } => self.refuse_staged(id, refusal_reason::CANCELLED),
            GrantPhase::Running {
                is_abortable: true, ..
            } => {
                self.actions.push(SidecarAction::Abort(id));
            }
            GrantPhase::Running { .. } | GrantPhase::Offered { .. } => {}
        }
    }

    fn ping_routers(&mut self) {
        let mut links: Vec<LinkId> = self.grants.values().map(|grant| grant.link).collect();
        links.sort_unstable();
        links.dedup();
        for link in links {
            self.send(link, PeerMessage::Ping(Ping { resync: false }));
        }
    }

    /// Invalidates the view lease and notifies routers and peers whether the sidecar takes new work.
    fn announce_leaving(&mut self) {
        self.lease.invalidate();
        self.drop_hand_offs();
        let is_back = !self.is_leaving();
        let links: Vec<LinkId> = self
            .routers
            .keys()
            .chain(self.peers.keys())
            .copied()
            .collect();
        for link in links {
            self.send(link, PeerMessage::Leaving(LeavingNotice { is_back }));
        }
    }

    pub(super) fn refuse(&mut self, link: LinkId, grant: GrantId, reason: u32) {
        let grant = grant.get();
        self.send(link, PeerMessage::Refusal(Refusal { grant, reason }));
    }

    pub(super) fn running(&self) -> usize {
        self.grants
            .values()
            .filter(|grant| grant.is_running())
            .count()
    }

    pub(super) fn send(&mut self, link: LinkId, message: PeerMessage) {
        self.actions.push(SidecarAction::Send { link, message });
    }

    pub(super) fn service_config(&self) -> Option<&ServiceConfig> {
        self.config.as_ref()?.service(&self.service)
    }

    pub(super) fn policy(&self) -> SharingPolicy {
        self.config
            .as_ref()
            .map_or(SharingPolicy::Fleet, |config| config.limits().policy)
    }

    pub(super) fn grant_lease(&self) -> Duration {
        self.config
            .as_ref()
            .map_or(Duration::ZERO, |config| config.limits().grant_lease)
    }
}
