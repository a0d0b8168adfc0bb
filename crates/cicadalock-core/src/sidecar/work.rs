use std::time::Duration;

use super::action::{CallResult, RunOrder, SidecarAction};
use super::grant::{GrantPhase, OpenGrant};
use super::machine::SidecarMachine;
use crate::config::{KindConfig, ServiceProtocol};
use crate::id::{CustomerId, FenceNumber, GrantId, KindId, LinkId, RequestId};
use crate::message::{HandOver, refusal_reason};
use crate::outcome::IdempotencyKey;
use crate::router::PUSH_GRANT_BIT;
use crate::time::{ClockTime, WallTime};

/// Requests that a pushing router may leave here beyond the free slots.
const PUSHED_LIMIT: usize = 10_000;

/// Bits of a pushed grant's number below those that its link changes.
const PUSH_LINK_SHIFT: u32 = 40;

/// Failing answers in a row after which they count even if one customer alone sees them.
const FAILURES_OF_ONE_LIMIT: u32 = 8;

/// HTTP statuses from here on tell of a failing endpoint.
const FIRST_FAILURE_STATUS: u16 = 500;

impl SidecarMachine {
    /// Takes in the request for a grant, or refuses it as not run.
    pub(super) fn take_request(&mut self, link: LinkId, request: HandOver, now: ClockTime) {
        let id = GrantId::new(request.grant);
        if self.policy().is_push() && request.grant & PUSH_GRANT_BIT != 0 {
            self.take_pushed(link, request, now);
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

    fn take_pushed(&mut self, link: LinkId, request: HandOver, now: ClockTime) {
        let id = own_grant(link, request.grant);
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

    /// Until when a staged request may begin, or why it may not.
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
        let order = RunOrder {
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
        self.consume_claim(order.link, RequestId::new(order.request.request));
        self.actions.push(SidecarAction::Start(Box::new(order)));
    }

    /// Refuses a request that is here but was not started.
    pub(super) fn refuse_staged(&mut self, id: GrantId, reason: u32) {
        let Some((link, request, _)) = self.staged_parts(id) else {
            self.staged.retain(|staged| *staged != id);
            return;
        };
        let (request, number) = (RequestId::new(request.request), GrantId::new(request.grant));
        self.staged.retain(|staged| *staged != id);
        self.release_claim(link, request);
        self.void(id);
        self.refuse(link, number, reason);
    }

    /// Settles a grant whose router can no longer be heard.
    pub(super) fn lose_grant(&mut self, id: GrantId) {
        let Some(grant) = self.grants.get(&id) else {
            return;
        };
        match &grant.phase {
            GrantPhase::Offered { .. } => {
                self.void(id);
            }
            GrantPhase::Staged { .. } => {
                self.staged.retain(|staged| *staged != id);
                self.void(id);
            }
            GrantPhase::Running {
                is_abortable: true, ..
            } => {
                self.actions.push(SidecarAction::Abort(id));
            }
            GrantPhase::Running { .. } => {}
        }
    }

    /// Takes in the cost of a running request so far.
    pub fn progress(&mut self, id: GrantId, cost: i64) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let more = cost - grant.charged;
        if more > 0 {
            grant.charged = cost;
            let (customer, kind) = (grant.customer, grant.kind);
            self.scheduler.charge(customer, kind, more);
        }
    }

    /// Takes in the end of a call and its whole cost.
    pub fn ended(&mut self, id: GrantId, result: CallResult, cost: i64, now: ClockTime) {
        let Some(grant) = self.grants.remove(&id) else {
            return;
        };
        self.scheduler.settle(grant.customer, grant.estimate);
        self.scheduler
            .charge(grant.customer, grant.kind, cost - grant.charged);
        let number = own_grant(grant.link, id.get());
        let key = grant.key().cloned();
        if result == CallResult::Broken {
            self.judge_status(grant.customer, FIRST_FAILURE_STATUS, now);
        }
        match result {
            CallResult::NotReached => {
                self.backoff.record_failure(now);
                self.not_run(&grant, key.as_ref(), number, refusal_reason::ENDPOINT_DOWN);
            }
            CallResult::TooLate => {
                self.not_run(&grant, key.as_ref(), number, refusal_reason::LEASE_EXPIRED);
            }
            CallResult::Complete { status, kept } => {
                self.scheduler.observe(grant.customer, grant.kind, cost);
                self.judge_status(grant.customer, status, now);
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
        number: GrantId,
        reason: u32,
    ) {
        if let Some(key) = key {
            self.ledger.release(grant.customer, key);
        }
        self.refuse(grant.link, number, reason);
    }

    /// Counts failing answers.
    ///
    /// Repeated ones of one customer count only when they are many, for they may be its own fault.
    fn judge_status(&mut self, customer: CustomerId, status: u16, now: ClockTime) {
        if status < FIRST_FAILURE_STATUS {
            self.backoff.record_success();
            self.last_failed = None;
            self.failures_in_row = 0;
            return;
        }
        self.failures_in_row += 1;
        if self.last_failed != Some(customer) || self.failures_in_row >= FAILURES_OF_ONE_LIMIT {
            self.last_failed = Some(customer);
            self.backoff.record_failure(now);
        }
    }

    /// Charges plain calls for the time that they have taken beyond their estimate.
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
            self.progress(id, cost);
        }
    }
}

/// The number of a grant in this sidecar, or back at its router.
///
/// Pushing routers count their grants separately, so the link makes those numbers unique.
pub(super) const fn own_grant(link: LinkId, number: u64) -> GrantId {
    match number & PUSH_GRANT_BIT {
        0 => GrantId::new(number),
        _ => GrantId::new(number ^ (link.get() << PUSH_LINK_SHIFT)),
    }
}
