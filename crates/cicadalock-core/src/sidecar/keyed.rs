use super::machine::SidecarMachine;
use crate::id::{CustomerId, LinkId, RequestId};
use crate::message::{ClaimKey, ClaimReply, HeaderField, PeerMessage, claim_verdict};
use crate::outcome::{BodyDigest, IdempotencyKey, LedgerVerdict, StoredAnswer};
use crate::time::{ClockTime, WallTime};

/// An idempotency key that is claimed for a request that has not started.
#[derive(Debug, Clone)]
pub(super) struct ClaimedKey {
    pub(super) customer: CustomerId,
    pub(super) key: IdempotencyKey,
    pub(super) body: BodyDigest,
}

impl SidecarMachine {
    /// Decides whether a keyed request may run here, and replies to its router.
    pub(super) fn claim(
        &mut self,
        link: LinkId,
        message: &ClaimKey,
        now: ClockTime,
        wall: WallTime,
    ) {
        self.adopt_predecessor(now, wall);
        let request = RequestId::new(message.request);
        let (Ok(key), Some(body)) = (
            message.key.parse::<IdempotencyKey>(),
            BodyDigest::from_bytes(&message.digest),
        ) else {
            self.reply(link, request, claim_verdict::UNKNOWN);
            return;
        };
        let customer = CustomerId::new(message.customer);
        let claimed = ClaimedKey {
            customer,
            key,
            body,
        };
        if self.holds_claim(link, request, &claimed) {
            self.reply(link, request, claim_verdict::HELD);
            return;
        }
        match self.decide_claim(&claimed, now, wall) {
            Some(LedgerVerdict::Run) => {
                self.claims.insert((link, request), claimed);
                self.reply(link, request, claim_verdict::HELD);
            }
            Some(LedgerVerdict::Replay(answer)) => self.reply_answer(link, request, &answer),
            Some(verdict) => self.reply(link, request, verdict_code(&verdict)),
            None => self.reply(link, request, claim_verdict::UNSETTLED),
        }
    }

    /// Returns the time after which a new key must be minted to run here, whichever key it is.
    ///
    /// `None` while the view is not confirmed.
    pub(super) fn keys_fresh_after(&self, now: ClockTime) -> Option<WallTime> {
        let is_held = self.lease.held_until().is_some_and(|until| now < until);
        let settled = self.lease.all_keys_fresh_after().filter(|_| is_held)?;
        Some(self.ledger.fresh_from(settled))
    }

    /// Returns the time until which a claimed request may start; `None` if it may not start.
    pub(super) fn check_claim(
        &mut self,
        link: LinkId,
        request: RequestId,
        now: ClockTime,
        wall: WallTime,
    ) -> Option<ClockTime> {
        let claimed = self.claims.get(&(link, request))?.clone();
        let is_fresh = self
            .required_mint_time(&claimed.key, now, wall)
            .is_some_and(|after| self.ledger.is_fresh(&claimed.key, after, wall));
        if is_fresh {
            self.lease.held_until()
        } else {
            None
        }
    }

    /// Removes the claim of a request that has started; the ledger keeps its key.
    pub(super) fn consume_claim(&mut self, link: LinkId, request: RequestId) {
        self.claims.remove(&(link, request));
    }

    /// Releases a claim whose request did not run.
    pub(super) fn release_claim(&mut self, link: LinkId, request: RequestId) {
        if let Some(claimed) = self.claims.remove(&(link, request)) {
            self.ledger.release(claimed.customer, &claimed.key);
        }
    }

    /// Releases every claim of a connection.
    pub(super) fn release_claims(&mut self, link: LinkId) {
        let requests: Vec<RequestId> = self
            .claims
            .keys()
            .filter(|(owner, _)| *owner == link)
            .map(|(_, request)| *request)
            .collect();
        for request in requests {
            self.release_claim(link, request);
        }
    }

    fn holds_claim(&self, link: LinkId, request: RequestId, asked: &ClaimedKey) -> bool {
        self.claims.get(&(link, request)).is_some_and(|claimed| {
            claimed.key == asked.key
                && claimed.customer == asked.customer
                && claimed.body == asked.body
        })
    }

    /// Returns the decision on a claim; `None` unless this sidecar is confirmed as the key's home.
    ///
    /// A key that is in the ledger is decided without that confirmation.
    fn decide_claim(
        &mut self,
        asked: &ClaimedKey,
        now: ClockTime,
        wall: WallTime,
    ) -> Option<LedgerVerdict> {
        let stored = self
            .ledger
            .stored_verdict(asked.customer, &asked.key, asked.body);
        if stored.is_some() {
            return stored;
        }
        let fresh_after = self.required_mint_time(&asked.key, now, wall)?;
        Some(
            self.ledger
                .claim(asked.customer, &asked.key, asked.body, fresh_after, wall),
        )
    }

    /// Returns the time after which a key must have been minted to have had no other home.
    ///
    /// `None` unless this sidecar is confirmed as the key's home.
    fn required_mint_time(
        &mut self,
        key: &IdempotencyKey,
        now: ClockTime,
        wall: WallTime,
    ) -> Option<WallTime> {
        if self.is_leaving() || !self.lease.is_held(now, wall) || !self.lease.is_home(key.as_str())
        {
            return None;
        }
        self.lease.key_fresh_after(key.as_str())
    }

    fn reply(&mut self, link: LinkId, request: RequestId, verdict: u32) {
        self.send(
            link,
            PeerMessage::ClaimReply(ClaimReply {
                request: request.get(),
                verdict,
                ..ClaimReply::default()
            }),
        );
    }

    fn reply_answer(&mut self, link: LinkId, request: RequestId, answer: &StoredAnswer) {
        let headers = answer.headers.iter().map(|(name, value)| HeaderField {
            name: name.to_string(),
            value: value.to_string(),
        });
        self.send(
            link,
            PeerMessage::ClaimReply(ClaimReply {
                request: request.get(),
                verdict: claim_verdict::REPLAY,
                status: u32::from(answer.status),
                headers: headers.collect(),
                body: answer.body.clone(),
            }),
        );
    }
}

const fn verdict_code(verdict: &LedgerVerdict) -> u32 {
    match verdict {
        LedgerVerdict::Run => claim_verdict::HELD,
        LedgerVerdict::InProgress => claim_verdict::IN_PROGRESS,
        LedgerVerdict::Replay(_) => claim_verdict::REPLAY,
        LedgerVerdict::Unknown => claim_verdict::UNKNOWN,
        LedgerVerdict::Conflict => claim_verdict::CONFLICT,
        LedgerVerdict::FromFuture => claim_verdict::FROM_FUTURE,
        LedgerVerdict::Full => claim_verdict::FULL,
    }
}
