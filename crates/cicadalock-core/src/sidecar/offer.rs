use super::grant::{GrantPhase, OpenGrant};
use super::machine::SidecarMachine;
use crate::id::{CustomerId, GrantId, KindId, LinkId};
use crate::message::{BidUpdate, GrantOffer, PeerMessage, Ping};
use crate::time::ClockTime;

impl SidecarMachine {
    pub(super) fn receive_bids(&mut self, link: LinkId, update: &BidUpdate, now: ClockTime) {
        for line in &update.lines {
            let (customer, kind) = (CustomerId::new(line.customer), KindId::new(line.kind));
            self.scheduler
                .set_bid(link, customer, kind, line.count, now);
        }
    }

    pub(super) fn receive_decline(&mut self, link: LinkId, id: GrantId, left: u32, now: ClockTime) {
        let is_offered = self.grants.get(&id).is_some_and(|grant| {
            grant.link == link && matches!(grant.phase, GrantPhase::Offered { .. })
        });
        if !is_offered {
            return;
        }
        if let Some(grant) = self.revoke(id) {
            self.scheduler
                .set_bid(link, grant.customer, grant.kind, left, now);
        }
    }

    /// Offers grants for free slots, plus the configured number ahead while all slots may be used.
    pub(super) fn offer_grants(&mut self, now: ClockTime) {
        let Some(service) = self.service_config() else {
            return;
        };
        if self.is_leaving() || self.policy().is_push() {
            return;
        }
        let slots = service.slots as usize;
        let limit = match self.backoff.slot_limit(slots, now) {
            limit if limit == slots => slots + service.ahead as usize,
            limit => limit,
        };
        while self.grants.len() < limit {
            let Some(pick) = self.scheduler.pick(now) else {
                return;
            };
            self.next_grant += 1;
            let id = GrantId::new(self.next_grant);
            self.grants.insert(
                id,
                OpenGrant {
                    link: pick.link,
                    customer: pick.customer,
                    kind: pick.kind,
                    charged: pick.estimate,
                    estimate: pick.estimate,
                    phase: GrantPhase::Offered { at: now },
                },
            );
            self.send(
                pick.link,
                PeerMessage::Grant(GrantOffer {
                    grant: id.get(),
                    customer: pick.customer.get(),
                    kind: pick.kind.get(),
                }),
            );
        }
    }

    /// Revokes expired offers, and drops the bids of their routers until they send a message.
    pub(super) fn revoke_expired(&mut self, now: ClockTime) {
        let lease = self.grant_lease();
        let expired: Vec<GrantId> = self
            .grants
            .iter()
            .filter(|(_, grant)| {
                matches!(grant.phase, GrantPhase::Offered { at } if now.since(at) > lease)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let Some(grant) = self.revoke(id) else {
                continue;
            };
            self.scheduler.drop_link(grant.link, now);
            if let Some(router) = self.routers.get_mut(&grant.link) {
                router.needs_resync = true;
            }
        }
    }

    pub(super) fn request_resync(&mut self, link: LinkId) {
        let muted = self
            .routers
            .get_mut(&link)
            .filter(|router| router.needs_resync);
        if let Some(router) = muted {
            router.needs_resync = false;
            self.send(link, PeerMessage::Ping(Ping { resync: true }));
        }
    }

    /// Removes a grant that was not used and refunds its charge.
    pub(super) fn revoke(&mut self, id: GrantId) -> Option<OpenGrant> {
        let grant = self.grants.remove(&id)?;
        self.scheduler.settle(grant.customer, grant.estimate);
        self.scheduler
            .charge(grant.customer, grant.kind, -grant.charged);
        Some(grant)
    }
}
