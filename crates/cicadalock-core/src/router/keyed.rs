use std::time::Duration;

use super::action::CallerEvent;
use super::failure::CallerFailure;
use super::machine::{RouterMachine, queue_key};
use super::request::{HeldRequest, RequestPhase};
use crate::id::{LinkId, RequestId};
use crate::member::key_home;
use crate::message::{ClaimKey, ClaimReply, PeerMessage, ReleaseClaim, claim_verdict};
use crate::time::ClockTime;

/// Delay before a claim is sent again to a home that could not decide.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time without a reply after which a claim is sent again.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

impl RouterMachine {
    /// Sends the claim for a request's key to the home of the key.
    ///
    /// Does nothing while no home is connected; the next sweep tries again.
    pub(super) fn send_claim(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = request.call.key.as_ref().map(ToString::to_string) else {
            return;
        };
        let link = self.home_link(request, &key);
        let (Some(link), Some(request)) = (link, self.requests.get_mut(&id)) else {
            return;
        };
        request.phase = RequestPhase::Claiming { link, sent_at: now };
        let claim = ClaimKey {
            request: id.get(),
            customer: request.call.customer.get(),
            kind: request.call.kind.get(),
            key,
            digest: digest_bytes(request),
        };
        self.send(link, PeerMessage::Claim(claim));
    }

    /// Sends the claims that are due: delayed ones, and those whose reply is overdue.
    pub(super) fn send_due_claims(&mut self, now: ClockTime) {
        let is_due = |request: &HeldRequest| match request.phase {
            RequestPhase::Unclaimed { claim_at } => now >= claim_at,
            RequestPhase::Claiming { sent_at, .. } => now.since(sent_at) >= CLAIM_TIMEOUT,
            _ => false,
        };
        let due: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| is_due(request))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_claim(id, now);
        }
    }

    /// Handles the reply of a key's home to a claim.
    ///
    /// A claim that is held for a request which no longer waits for it is released.
    pub(super) fn claim_reply(&mut self, link: LinkId, reply: ClaimReply, now: ClockTime) {
        let id = RequestId::new(reply.request);
        let is_waiting = |request: &HeldRequest| matches!(request.phase, RequestPhase::Claiming { link: home, .. } if home == link);
        let is_held = reply.verdict == claim_verdict::HELD;
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| is_waiting(request))
        else {
            if is_held && !self.is_claimed_by(id, link) {
                let request = reply.request;
                self.send(link, PeerMessage::Release(ReleaseClaim { request }));
            }
            return;
        };
        let key = queue_key(request);
        match reply.verdict {
            claim_verdict::HELD => {
                request.phase = RequestPhase::Claimed { link };
                self.claim_queue.remove(key, id);
                self.queue.push(key, id);
                self.mark_dirty(key);
            }
            claim_verdict::UNSETTLED => {
                request.phase = RequestPhase::Unclaimed {
                    claim_at: now + CLAIM_RETRY_DELAY,
                };
            }
            claim_verdict::REPLAY => self.replay(id, reply),
            verdict => {
                self.claim_queue.remove(key, id);
                self.finish(id, CallerEvent::Fail(CallerFailure::from_verdict(verdict)));
            }
        }
    }

    fn is_claimed_by(&self, id: RequestId, link: LinkId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            matches!(
                request.phase,
                RequestPhase::Claimed { link: home } | RequestPhase::HandedOver { link: home, .. }
                    if home == link
            )
        })
    }

    /// Moves a keyed request back to the claim queue; its claim is sent at `claim_at`.
    pub(super) fn requeue_for_claim(&mut self, id: RequestId, claim_at: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = RequestPhase::Unclaimed { claim_at };
        let key = queue_key(request);
        self.queue.remove(key, id);
        self.claim_queue.remove(key, id);
        self.claim_queue.push(key, id);
        self.mark_dirty(key);
    }

    /// Answers a request with the stored response of an earlier run.
    fn replay(&mut self, id: RequestId, reply: ClaimReply) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = queue_key(request);
        self.claim_queue.remove(key, id);
        if !request.is_caller_gone {
            let status = reply.status as u16;
            let headers = reply.headers;
            self.answer(id, CallerEvent::Head { status, headers });
            self.answer(id, CallerEvent::Chunk(reply.body));
        }
        self.finish(id, CallerEvent::Complete);
    }

    /// Returns the newest link to the home of a key according to the current host list.
    ///
    /// Absent if the service has no home, or the home is not connected or is leaving.
    fn home_link(&self, request: &HeldRequest, key: &str) -> Option<LinkId> {
        let homes = self.hosts.homes(&request.call.service);
        let home = key_home(&homes, key)?;
        self.links
            .iter()
            .rev()
            .find(|(_, link)| link.host == *home && !link.is_leaving)
            .map(|(id, _)| *id)
    }
}

fn digest_bytes(request: &HeldRequest) -> Vec<u8> {
    request.call.digest().as_bytes().to_vec()
}
