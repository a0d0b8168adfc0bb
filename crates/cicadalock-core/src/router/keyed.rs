use std::time::Duration;

use super::action::CallerEvent;
use super::failure::CallerFailure;
use super::machine::{RouterMachine, queue_key};
use super::request::{HeldRequest, RequestPhase};
use crate::id::{LinkId, RequestId};
use crate::member::key_home;
use crate::message::{ClaimKey, ClaimReply, PeerMessage, ReleaseClaim, claim_verdict};
use crate::time::ClockTime;

/// Delay before a claim is sent again after the verdict [`claim_verdict::UNSETTLED`]: the sidecar
/// could not decide, because it is not the key's home or its view is not confirmed.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time without a reply after which a claim is sent again.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

impl RouterMachine {
    /// Sends the claim for a request's key to the home of the key.
    ///
    /// Does nothing while the router has no usable link to the key's home;
    /// [`Self::send_due_claims`] tries again.
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

    /// Sends claims whose delay has ended, and sends claims again that had no reply within
    /// [`CLAIM_TIMEOUT`].
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
    /// If the home holds the claim but the request no longer waits for this reply, tells the home to
    /// release the claim. The claim stays if the request already uses it.
    pub(super) fn claim_reply(&mut self, link: LinkId, reply: ClaimReply, now: ClockTime) {
        let id = RequestId::new(reply.request);
        let is_waiting = |request: &HeldRequest| {
            matches!(
                request.phase,
                RequestPhase::Claiming { link: home_link, .. } if home_link == link
            )
        };
        let is_held = reply.verdict == claim_verdict::HELD;
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| is_waiting(request))
        else {
            if is_held && !self.has_claim_on(id, link) {
                let request = reply.request;
                self.send(link, PeerMessage::Release(ReleaseClaim { request }));
            }
            return;
        };
        let queue_key = queue_key(request);
        match reply.verdict {
            claim_verdict::HELD => {
                request.phase = RequestPhase::Claimed { link };
                self.claim_queue.remove(queue_key, id);
                self.queue.push(queue_key, id);
                self.mark_dirty(queue_key);
            }
            claim_verdict::UNSETTLED => {
                request.phase = RequestPhase::Unclaimed {
                    claim_at: now + CLAIM_RETRY_DELAY,
                };
            }
            claim_verdict::REPLAY => self.replay(id, reply),
            verdict => {
                self.claim_queue.remove(queue_key, id);
                self.finish(id, CallerEvent::Fail(CallerFailure::from_verdict(verdict)));
            }
        }
    }

    /// Returns whether a request uses its claim at the home that `link` connects to: it waits for a
    /// grant of the home or was handed over to it.
    fn has_claim_on(&self, id: RequestId, link: LinkId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            matches!(
                request.phase,
                RequestPhase::Claimed { link: home_link }
                | RequestPhase::HandedOver { link: home_link, .. }
                    if home_link == link
            )
        })
    }

    /// Moves a keyed request back to the claim queue; its claim is sent at `claim_at`.
    pub(super) fn requeue_for_claim(&mut self, id: RequestId, claim_at: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = RequestPhase::Unclaimed { claim_at };
        let queue_key = queue_key(request);
        self.queue.remove(queue_key, id);
        self.claim_queue.remove(queue_key, id);
        self.claim_queue.push(queue_key, id);
        self.mark_dirty(queue_key);
    }

    /// Answers a request with the stored response of an earlier run.
    fn replay(&mut self, id: RequestId, reply: ClaimReply) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let queue_key = queue_key(request);
        self.claim_queue.remove(queue_key, id);
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
    /// Returns `None` if the service has no home, or if the router has no link to the home except
    /// links on which the home is leaving.
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
