use std::sync::Arc;
use std::time::Duration;

use super::action::{CallerEvent, RouterAction};
use super::bid_planner::BidPlanner;
use super::failure::CallerFailure;
use super::hold_queue::{HoldQueue, QueueKey};
use super::link::SidecarLink;
use super::push::PushScheduler;
use super::request::{CallerRequest, HeldRequest, RequestPhase};
use crate::collect::SortedMap;
use crate::config::{FleetConfig, SharingPolicy};
use crate::id::{CustomerId, GrantId, HostName, KindId, LinkId, RequestId, ServiceName};
use crate::member::{HostList, HostState};
use crate::message::{Decline, GrantOffer, PeerMessage, Ping, ReadCredit, ReleaseClaim};
use crate::retry::RetryBudget;
use crate::time::ClockTime;

/// Interval between checks of request and link deadlines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Queues callers' requests, announces them to sidecars as bids and hands one over for each grant.
#[derive(Debug)]
pub struct RouterMachine {
    pub(super) config: Option<Arc<FleetConfig>>,
    pub(super) hosts: HostList,
    pub(super) links: SortedMap<LinkId, SidecarLink>,
    pub(super) requests: SortedMap<RequestId, HeldRequest>,
    /// Requests that wait for a grant.
    pub(super) queue: HoldQueue,
    /// Keyed requests that wait for a claim from the home of their key.
    pub(super) claim_queue: HoldQueue,
    /// Requests handed over, by the grant that each one uses.
    pub(super) grants: SortedMap<(LinkId, GrantId), RequestId>,
    pub(super) retry_budgets: SortedMap<ServiceName, RetryBudget>,
    pub(super) push: PushScheduler,
    pub(super) planner: BidPlanner,
    /// Queues whose bids have to be checked.
    pub(super) dirty: Vec<QueueKey>,
    pub(super) actions: Vec<RouterAction>,
    /// Total size of the request bodies held.
    pub(super) body_bytes: u64,
    pub(super) last_sweep: ClockTime,
    pub(super) seed: u64,
    /// Number of link selections made; varies the sidecars that first receive a bid.
    pub(super) selection_count: u64,
    pub(super) retries: u64,
}

/// Length of the queue of one customer and kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueReport {
    /// Customer that sent the requests.
    pub customer: CustomerId,
    /// Kind of the requests.
    pub kind: KindId,
    /// Number of waiting requests.
    pub count: usize,
}

/// State of a connection to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkReport {
    /// Host of the sidecar.
    pub host: HostName,
    /// Service of the sidecar's endpoint.
    pub service: ServiceName,
    /// Whether the sidecar may receive new requests.
    pub is_eligible: bool,
    /// Number of requests of this router that the sidecar has.
    pub outstanding: u32,
}

impl RouterMachine {
    /// Creates a machine without a configuration; `seed` varies the selection of sidecars.
    ///
    /// Requests are refused until [`set_config`](Self::set_config) is called.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            config: None,
            hosts: HostList::default(),
            links: SortedMap::new(),
            requests: SortedMap::new(),
            queue: HoldQueue::default(),
            claim_queue: HoldQueue::default(),
            grants: SortedMap::new(),
            retry_budgets: SortedMap::new(),
            push: PushScheduler::default(),
            planner: BidPlanner::default(),
            dirty: Vec::new(),
            actions: Vec::new(),
            body_bytes: 0,
            last_sweep: ClockTime::default(),
            seed,
            selection_count: 0,
            retries: 0,
        }
    }

    /// Applies a configuration. Requests already in the router keep the limits they arrived with.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        self.push.reconfigure(&config);
        self.config = Some(config);
    }

    /// Replaces the host list.
    pub fn set_hosts(&mut self, hosts: HostList) {
        self.hosts = hosts;
        self.mark_all_dirty();
    }

    /// Accepts a caller's request, or refuses it if a limit is reached.
    pub fn submit(&mut self, id: RequestId, call: CallerRequest, now: ClockTime) {
        if let Err(failure) = self.admit(&call) {
            self.answer(id, CallerEvent::Fail(failure));
            return;
        }
        self.body_bytes += call.body.len() as u64;
        let budget = self
            .retry_budgets
            .get_or_insert_with(call.service.clone(), || RetryBudget::builder().build());
        budget.deposit();
        let phase = match call.key {
            Some(_) => RequestPhase::Unclaimed { claim_at: now },
            None => RequestPhase::Waiting,
        };
        let request = HeldRequest {
            call,
            arrived: now,
            phase,
            forwarded_bytes: None,
            is_caller_gone: false,
            may_have_run: false,
        };
        let key = queue_key(&request);
        self.requests.insert(id, request);
        if phase == RequestPhase::Waiting {
            self.queue.push(key, id);
            self.mark_dirty(key);
        } else {
            self.claim_queue.push(key, id);
            self.send_claim(id, now);
        }
    }

    /// Handles the departure of a caller: a waiting request is dropped, a running one cancelled.
    pub fn caller_gone(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_caller_gone = true;
        match request.phase {
            RequestPhase::HandedOver { .. } => self.cancel(id, now),
            _ => self.drop_held(id),
        }
    }

    /// Passes on read credit, in window units, after a caller has consumed part of its response.
    pub fn credit(&mut self, id: RequestId, units: u32) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let RequestPhase::HandedOver { link, grant, .. } = request.phase {
            let grant = grant.get();
            self.send(link, PeerMessage::Credit(ReadCredit { grant, units }));
        }
    }

    /// Registers a connection to the sidecar on `host`; `leaving` means it takes no new work.
    pub fn link_up(
        &mut self,
        link: LinkId,
        host: HostName,
        service: ServiceName,
        leaving: bool,
        now: ClockTime,
    ) {
        self.links
            .insert(link, SidecarLink::new(host, service, leaving, now));
        self.mark_all_dirty();
        self.send_due_claims(now);
    }

    /// Handles a message from a sidecar.
    pub fn receive(&mut self, link: LinkId, message: PeerMessage, now: ClockTime) {
        let Some(sidecar) = self.links.get_mut(&link) else {
            return;
        };
        sidecar.last_heard = now;
        match message {
            PeerMessage::Grant(grant) => self.use_grant(link, &grant, now),
            PeerMessage::Refusal(refusal) => self.refused(link, refusal, now),
            PeerMessage::Head(head) => self.answer_head(link, head),
            PeerMessage::Chunk(chunk) => self.answer_chunk(link, chunk, now),
            PeerMessage::End(end) => self.answer_end(link, end, now),
            PeerMessage::ClaimReply(reply) => self.claim_reply(link, reply, now),
            PeerMessage::Ping(Ping { resync: true }) => {
                sidecar.announced.clear();
                self.mark_all_dirty();
            }
            PeerMessage::Leaving(notice) => {
                sidecar.is_leaving = !notice.is_back;
                self.mark_all_dirty();
            }
            _ => {}
        }
    }

    /// Handles the deadlines that have passed by `now`.
    pub fn tick(&mut self, now: ClockTime) {
        for key in self.planner.due_for_full_fanout(now) {
            self.mark_dirty(key);
        }
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.sweep_requests(now);
        self.sweep_links(now);
        self.send_due_claims(now);
    }

    /// Returns when [`tick`](Self::tick) is next due.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        let sweep = self.last_sweep + SWEEP_INTERVAL;
        self.planner.next_due().map_or(sweep, |due| due.min(sweep))
    }

    /// Updates bids, pushes requests if the policy says so, and returns the pending actions.
    pub fn take_actions(&mut self, now: ClockTime) -> Vec<RouterAction> {
        self.update_bids(now);
        self.push_waiting(now);
        std::mem::take(&mut self.actions)
    }

    /// Number of requests in the router; each counts from its arrival to its last event.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.requests.len()
    }

    /// Number of times a request was queued again after an attempt that may have run.
    #[must_use]
    pub const fn retries(&self) -> u64 {
        self.retries
    }

    /// Lengths of the queues by customer and kind.
    ///
    /// A customer and kind can appear twice: once with requests that wait for a grant, and once with
    /// keyed requests that wait for a claim.
    pub fn queues(&self) -> impl Iterator<Item = QueueReport> {
        self.queue
            .lengths()
            .chain(self.claim_queue.lengths())
            .map(|((customer, kind), count)| QueueReport {
                customer,
                kind,
                count,
            })
    }

    /// State of each connection to a sidecar.
    pub fn links(&self) -> impl Iterator<Item = LinkReport> {
        self.links.values().map(|link| LinkReport {
            host: link.host.clone(),
            service: link.service.clone(),
            is_eligible: self.is_eligible(link),
            outstanding: link.outstanding,
        })
    }

    /// Hands over the first suitable request for a grant, or declines the grant.
    ///
    /// Both replies carry the number of requests left, which replaces the announced bid.
    fn use_grant(&mut self, link: LinkId, offer: &GrantOffer, now: ClockTime) {
        let key = (CustomerId::new(offer.customer), KindId::new(offer.kind));
        let next = self.queue.requests(key).find(|id| {
            self.requests
                .get(id)
                .is_some_and(|request| request.can_run_on(link) && now < request.queue_deadline())
        });
        let Some(id) = next else {
            let left = self.count_for(link, key);
            self.send(
                link,
                PeerMessage::Decline(Decline {
                    grant: offer.grant,
                    left,
                }),
            );
            self.record_announced(link, key, left);
            return;
        };
        self.queue.remove(key, id);
        let left = self.count_for(link, key);
        self.hand_over(id, link, GrantId::new(offer.grant), left, now);
        self.record_announced(link, key, left);
        self.mark_dirty(key);
    }

    pub(super) fn hand_over(
        &mut self,
        id: RequestId,
        link: LinkId,
        grant: GrantId,
        left: u32,
        now: ClockTime,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let message = request.hand_over(grant, id.get(), left, now);
        let cancelled = None;
        request.phase = RequestPhase::HandedOver {
            link,
            grant,
            cancelled,
        };
        self.grants.insert((link, grant), id);
        if let Some(sidecar) = self.links.get_mut(&link) {
            if sidecar.outstanding == 0 {
                sidecar.last_heard = now;
            }
            sidecar.outstanding += 1;
            let event = CallerEvent::HandedOver(sidecar.host.clone());
            self.answer(id, event);
        }
        self.send(link, PeerMessage::HandOver(message));
    }

    fn record_announced(&mut self, link: LinkId, key: QueueKey, count: u32) {
        if let Some(sidecar) = self.links.get_mut(&link) {
            sidecar.set_announced(key, count);
        }
    }

    /// Returns whether a sidecar may receive new requests.
    ///
    /// A sidecar that the host list marks as leaving is not eligible. One that is missing from the
    /// list is eligible only while the list has no live sidecar of its service.
    pub(super) fn is_eligible(&self, link: &SidecarLink) -> bool {
        if link.is_leaving {
            return false;
        }
        match self.hosts.get(&link.host) {
            Some(host) => host.state == HostState::Live,
            None => self.hosts.homes(&link.service).is_empty(),
        }
    }

    /// Removes a request that is not handed over and reports `failure` to its caller.
    pub(super) fn fail_held(&mut self, id: RequestId, failure: CallerFailure) {
        self.drop_queued(id);
        self.fail(id, failure);
    }

    /// Reports `failure` to the caller, or an unknown outcome if an earlier attempt may have run.
    pub(super) fn fail(&mut self, id: RequestId, failure: CallerFailure) {
        let may_have_run = self
            .requests
            .get(&id)
            .is_some_and(|request| request.may_have_run);
        let failure = if may_have_run {
            CallerFailure::timed_out()
        } else {
            failure
        };
        self.finish(id, CallerEvent::Fail(failure));
    }

    /// Removes a request that is not handed over, without an event to its caller.
    fn drop_held(&mut self, id: RequestId) {
        self.drop_queued(id);
        self.remove_request(id);
    }

    /// Removes a request from its queue and releases its claim.
    fn drop_queued(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = queue_key(request);
        if let RequestPhase::Claimed { link } | RequestPhase::Claiming { link, .. } = request.phase
        {
            let request = id.get();
            self.send(link, PeerMessage::Release(ReleaseClaim { request }));
        }
        self.claim_queue.remove(key, id);
        if self.queue.remove(key, id) {
            self.mark_dirty(key);
        }
    }

    /// Passes the last event of a request to its caller and removes the request.
    pub(super) fn finish(&mut self, id: RequestId, event: CallerEvent) {
        let is_caller_gone = self
            .requests
            .get(&id)
            .is_none_or(|request| request.is_caller_gone);
        self.remove_request(id);
        if !is_caller_gone {
            self.answer(id, event);
        }
    }

    fn remove_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.body_bytes -= request.call.body.len() as u64;
        }
    }

    pub(super) fn answer(&mut self, request: RequestId, event: CallerEvent) {
        self.actions.push(RouterAction::Answer { request, event });
    }

    pub(super) fn send(&mut self, link: LinkId, message: PeerMessage) {
        self.actions.push(RouterAction::Send { link, message });
    }

    /// Schedules a check of the bids for a queue.
    pub(super) fn mark_dirty(&mut self, key: QueueKey) {
        self.dirty.push(key);
    }

    pub(super) fn mark_all_dirty(&mut self) {
        let keys: Vec<QueueKey> = self.queue.lengths().map(|(key, _)| key).collect();
        self.dirty.extend(keys);
    }

    pub(super) fn is_push(&self) -> bool {
        self.policy().is_push()
    }

    pub(super) fn policy(&self) -> SharingPolicy {
        self.config
            .as_ref()
            .map_or(SharingPolicy::Fleet, |config| config.limits().policy)
    }
}

/// Returns the key of the queue that a request belongs to.
pub(super) const fn queue_key(request: &HeldRequest) -> QueueKey {
    (request.call.customer, request.call.kind)
}
