use std::time::Duration;

use super::action::CallerEvent;
use super::failure::CallerFailure;
use super::machine::{RouterMachine, queue_key};
use super::request::{HeldRequest, RequestPhase};
use crate::id::{LinkId, RequestId};
use crate::member::key_home;
use crate::message::{ClaimKey, ClaimReply, PeerMessage, ReleaseClaim, claim_verdict};
use crate::time::ClockTime;

/// Pause before a home that could not decide is asked again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long a home's answer is awaited before it is asked again.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

impl RouterMachine {
    /// Asks the home of a request's key whether the request may run.
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
        request.phase = RequestPhase::Claiming { link, asked: now };
        let claim = ClaimKey {
            request: id.get(),
            customer: request.call.customer.get(),
            kind: request.call.kind.get(),
            key,
            digest: digest_bytes(request),
        };
        self.send(link, PeerMessage::Claim(claim));
    }

    /// Asks again for every request whose time to ask has come.
    pub(super) fn send_due_claims(&mut self, now: ClockTime) {
        let is_due = |request: &HeldRequest| match request.phase {
            RequestPhase::Unclaimed { claim_at } => now >= claim_at,
            RequestPhase::Claiming { asked, .. } => now.since(asked) >= CLAIM_TIMEOUT,
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

    /// Takes in the word of a key's home.
    pub(super) fn claim_reply(&mut self, link: LinkId, reply: ClaimReply, now: ClockTime) {
        let id = RequestId::new(reply.request);
        let waits = |request: &HeldRequest| matches!(request.phase, RequestPhase::Claiming { link: asked, .. } if asked == link);
        let is_held = reply.verdict == claim_verdict::HELD;
        let Some(request) = self.requests.get_mut(&id).filter(|request| waits(request)) else {
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

    /// Puts a keyed request back to where it needs a claim.
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

    /// Link to the home of a key by the newest host list, if there is one.
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
