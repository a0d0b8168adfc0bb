use std::time::Duration;

use super::action::{CallResult, RunCommand, SidecarAction};
use super::grant::{GrantPhase, OpenGrant};
use super::machine::SidecarMachine;
use crate::config::{KindConfig, ServiceProtocol};
use crate::id::{CustomerId, FenceNumber, GrantId, KindId, LinkId, RequestId};
use crate::message::{HandOver, refusal_reason};
use crate::outcome::IdempotencyKey;
use crate::router::PUSH_GRANT_BIT;
use crate::time::{ClockTime, WallTime};

/// Number of staged requests at which further pushed requests are refused.
const PUSHED_LIMIT: usize = 10_000;

/// Number of low bits of a pushed grant's number that the link does not change.
const PUSH_LINK_SHIFT: u32 = 40;

/// Number of consecutive failures from which each counts, even if one customer has caused all.
const SINGLE_CUSTOMER_FAILURE_LIMIT: u32 = 8;

/// Lowest HTTP status that counts as a failure of the endpoint.
const MIN_FAILURE_STATUS: u16 = 500;

impl SidecarMachine {
    /// Stages the request for a grant, or refuses it as not run if the grant has expired.
    pub(super) fn receive_request(&mut self, link: LinkId, request: HandOver, now: ClockTime) {
        let id = GrantId::new(request.grant);
        if self.policy().is_push() && request.grant & PUSH_GRANT_BIT != 0 {
            self.receive_pushed(link, request, now);
            return;
        }
        let lease = self.grant_lease();
        let is_usable = self.grants.get(&id).is_some_and(|grant| {
            grant.link == link
                && matches!(grant.phase, GrantPhase::Offered { at } if now.since(at) <= lease)
        });
        let left = request.left;
        let (customer, kind) = (CustomerId::new(request.customer), KindId::new(request.kind));
        self.scheduler.set_bid(link, customer, kind, left, now);
        if !is_usable {
            self.refuse(link, id, refusal_reason::LEASE_EXPIRED);
            return;
        }
        let deadline = now + Duration::from_millis(request.remaining_ms);
        if let Some(grant) = self.grants.get_mut(&id)
            && let GrantPhase::Offered { at: offered } = grant.phase
        {
            grant.phase = GrantPhase::Staged {
                offered,
                request: Box::new(request),
                received: now,
                deadline,
            };
            self.staged.push_back(id);
        }
    }

    fn receive_pushed(&mut self, link: LinkId, request: HandOver, now: ClockTime) {
        let id = map_grant_id(link, request.grant);
        if self.is_leaving() || self.staged.len() >= PUSHED_LIMIT {
            self.refuse(link, GrantId::new(request.grant), refusal_reason::LEAVING);
            return;
        }
        let grant = OpenGrant {
            link,
            customer: CustomerId::new(request.customer),
            kind: KindId::new(request.kind),
            charged: 0,
            estimate: 0,
            phase: GrantPhase::Staged {
                offered: now,
                received: now,
                deadline: now + Duration::from_millis(request.remaining_ms),
                request: Box::new(request),
            },
        };
        self.grants.insert(id, grant);
        self.staged.push_back(id);
    }

    /// Starts staged requests while the endpoint has free slots.
    pub(super) fn start_staged(&mut self, now: ClockTime, wall: WallTime) {
        let Some(slots) = self.service_config().map(|service| service.slots as usize) else {
            return;
        };
        let limit = self.backoff.slot_limit(slots, now);
        let mut running = self.running();
        while running < limit {
            let Some(id) = self.staged.front().copied() else {
                return;
            };
            match self.check_start(id, now, wall) {
                Ok(start_by) => {
                    self.staged.pop_front();
                    self.start(id, start_by, now);
                    running += 1;
                }
                Err(reason) => self.refuse_staged(id, reason),
            }
        }
    }

    /// Returns the time until which a staged request may start, or the reason for its refusal.
    fn check_start(
        &mut self,
        id: GrantId,
        now: ClockTime,
        wall: WallTime,
    ) -> Result<ClockTime, u32> {
        let Some((link, request, deadline)) = self.staged_parts(id) else {
            return Err(refusal_reason::CLAIM_LOST);
        };
        if now >= deadline {
            return Err(refusal_reason::OUT_OF_TIME);
        }
        if request.key.is_empty() {
            return Ok(deadline);
        }
        let request = RequestId::new(request.request);
        let held_until = self.check_claim(link, request, now, wall);
        held_until
            .map(|until| until.min(deadline))
            .ok_or(refusal_reason::CLAIM_LOST)
    }

    fn staged_parts(&self, id: GrantId) -> Option<(LinkId, &HandOver, ClockTime)> {
        let grant = self.grants.get(&id)?;
        match &grant.phase {
            GrantPhase::Staged {
                request, deadline, ..
            } => Some((grant.link, request, *deadline)),
            _ => None,
        }
    }

    fn start(&mut self, id: GrantId, start_by: ClockTime, now: ClockTime) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let is_abortable = config
            .kind(grant.kind)
            .is_none_or(|kind: &KindConfig| kind.idempotent);
        let GrantPhase::Staged {
            request,
            offered,
            received,
            deadline,
        } = grant.phase.clone()
        else {
            return;
        };
        let key: Option<IdempotencyKey> = request.key.parse().ok();
        let keep_bytes = if key.is_some() {
            config.limits().kept_answer as usize
        } else {
            0
        };
        let command = RunCommand {
            grant: id,
            link: grant.link,
            customer: grant.customer,
            kind: grant.kind,
            request: *request,
            offered,
            received,
            start_by,
            deadline,
            is_abortable,
            keep_bytes,
            fence: FenceNumber::new(self.incarnation.get()),
        };
        grant.phase = GrantPhase::Running {
            since: now,
            key,
            is_abortable,
        };
        self.consume_claim(command.link, RequestId::new(command.request.request));
        self.actions.push(SidecarAction::Start(Box::new(command)));
    }

    /// Refuses a request that has arrived but not started.
    pub(super) fn refuse_staged(&mut self, id: GrantId, reason: u32) {
        let Some((link, request, _)) = self.staged_parts(id) else {
            self.staged.retain(|staged| *staged != id);
            return;
        };
        let (request, router_grant) =
            (RequestId::new(request.request), GrantId::new(request.grant));
        self.staged.retain(|staged| *staged != id);
        self.release_claim(link, request);
        self.revoke(id);
        self.refuse(link, router_grant, reason);
    }

    /// Ends a grant whose router connection is lost; a running call is aborted if that is allowed.
    pub(super) fn abandon_grant(&mut self, id: GrantId) {
        let Some(grant) = self.grants.get(&id) else {
            return;
        };
        match &grant.phase {
            GrantPhase::Offered { .. } => {
                self.revoke(id);
            }
            GrantPhase::Staged { .. } => {
                self.staged.retain(|staged| *staged != id);
                self.revoke(id);
            }
            GrantPhase::Running {
                is_abortable: true, ..
            } => {
                self.actions.push(SidecarAction::Abort(id));
            }
            GrantPhase::Running { .. } => {}
        }
    }

    /// Raises the charge of a running request to `cost`, its cost so far.
    pub fn update_cost(&mut self, id: GrantId, cost: i64) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let increase = cost - grant.charged;
        if increase > 0 {
            grant.charged = cost;
            let (customer, kind) = (grant.customer, grant.kind);
            self.scheduler.charge(customer, kind, increase);
        }
    }

    /// Records the result of a call and charges its total cost.
    pub fn finish_call(&mut self, id: GrantId, result: CallResult, cost: i64, now: ClockTime) {
        let Some(grant) = self.grants.remove(&id) else {
            return;
        };
        self.scheduler.settle(grant.customer, grant.estimate);
        self.scheduler
            .charge(grant.customer, grant.kind, cost - grant.charged);
        let router_grant = map_grant_id(grant.link, id.get());
        let key = grant.key().cloned();
        if result == CallResult::Broken {
            self.record_status(grant.customer, MIN_FAILURE_STATUS, now);
        }
        match result {
            CallResult::NotReached => {
                self.backoff.record_failure(now);
                self.not_run(
                    &grant,
                    key.as_ref(),
                    router_grant,
                    refusal_reason::ENDPOINT_DOWN,
                );
            }
            CallResult::TooLate => {
                self.not_run(
                    &grant,
                    key.as_ref(),
                    router_grant,
                    refusal_reason::LEASE_EXPIRED,
                );
            }
            CallResult::Complete { status, kept } => {
                self.scheduler.observe(grant.customer, grant.kind, cost);
                self.record_status(grant.customer, status, now);
                if let Some(key) = key {
                    self.ledger.finish(grant.customer, &key, kept);
                }
            }
            CallResult::Broken | CallResult::Abandoned => {
                if let Some(key) = key {
                    self.ledger.finish(grant.customer, &key, None);
                }
            }
        }
    }

    fn not_run(
        &mut self,
        grant: &OpenGrant,
        key: Option<&IdempotencyKey>,
        router_grant: GrantId,
        reason: u32,
    ) {
        if let Some(key) = key {
            self.ledger.release(grant.customer, key);
        }
        self.refuse(grant.link, router_grant, reason);
    }

    /// Records the status of an answer as a success or a failure of the endpoint.
    ///
    /// Repeated failures of one customer count only from [`SINGLE_CUSTOMER_FAILURE_LIMIT`] on,
    /// because that customer's requests may cause them.
    fn record_status(&mut self, customer: CustomerId, status: u16, now: ClockTime) {
        if status < MIN_FAILURE_STATUS {
            self.backoff.record_success();
            self.last_failed_customer = None;
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.last_failed_customer != Some(customer)
            || self.consecutive_failures >= SINGLE_CUSTOMER_FAILURE_LIMIT
        {
            self.last_failed_customer = Some(customer);
            self.backoff.record_failure(now);
        }
    }

    /// Charges calls of a plain service by elapsed milliseconds where that exceeds the estimate.
    pub(super) fn charge_running(&mut self, now: ClockTime) {
        let protocol = self.service_config().map(|service| service.protocol);
        if protocol != Some(ServiceProtocol::Plain) {
            return;
        }
        let mut costs = Vec::new();
        for (id, grant) in self.grants.iter() {
            if let GrantPhase::Running { since, .. } = grant.phase {
                costs.push((*id, now.since(since).as_millis() as i64));
            }
        }
        for (id, cost) in costs {
            self.update_cost(id, cost);
        }
    }
}

/// Maps a router's grant number to this sidecar's, or back.
///
/// Only pushed grants change: each pushing router numbers them itself, so the number of the link is
/// combined with theirs to make them unique.
pub(super) const fn map_grant_id(link: LinkId, number: u64) -> GrantId {
    match number & PUSH_GRANT_BIT {
        0 => GrantId::new(number),
        _ => GrantId::new(number ^ (link.get() << PUSH_LINK_SHIFT)),
    }
}
