use std::sync::Arc;

use super::machine::SidecarMachine;
use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation, LinkId};
use crate::message::{HandOffKey, HeaderField, LedgerHandOff, PeerMessage};
use crate::outcome::{BodyDigest, LedgerRecord, StoredAnswer};
use crate::time::{ClockTime, WallTime};

/// State of ledger hand-offs, which pass a stopped sidecar's keys to its successor via the peers.
///
/// Once a stopping sidecar has no request left, it sends its ledger to each peer. A peer returns
/// the ledger to the next process of that host and drops its copy. The successor uses the ledger
/// only if every other home has returned it, in the version of the same incarnation: a peer that
/// has connected to a process in between no longer holds it.
#[derive(Debug, Default)]
pub(super) struct HandOffState {
    /// Ledgers that peers left here when they stopped.
    kept: SortedMap<HostName, LedgerHandOff>,
    /// Ledgers of this host's predecessor, by the peer that returned them.
    received: SortedMap<HostName, LedgerHandOff>,
    /// Time after which this process's ledger is complete, determined when its stop begins.
    ///
    /// `None` if its view was not established then; the ledger is not handed off in that case.
    complete_since: Option<WallTime>,
    is_sent: bool,
    is_adopted: bool,
}

impl SidecarMachine {
    /// Determines, at the beginning of a planned stop, the time after which the ledger is complete.
    pub(super) fn prepare_hand_off(&mut self) {
        let settled = self.lease.all_keys_fresh_after();
        self.hand_off_state.complete_since =
            settled.map(|since| since.max(self.ledger.complete_since()));
    }

    /// Sends the ledger to every peer once a stopping sidecar has no open grants.
    pub(super) fn send_hand_off(&mut self) {
        if !self.is_stopping || self.hand_off_state.is_sent || !self.grants.is_empty() {
            return;
        }
        self.hand_off_state.is_sent = true;
        let (Some(since), Some(keys)) =
            (self.hand_off_state.complete_since, self.ledger.hand_off())
        else {
            return;
        };
        let message = LedgerHandOff {
            host: self.host.to_string(),
            incarnation: self.incarnation.get(),
            complete_since: since.as_unix_millis(),
            keys: keys.into_iter().map(message_from_key).collect(),
        };
        for link in self.dialled_links() {
            self.send(link, PeerMessage::HandOff(message.clone()));
        }
    }

    /// Returns whether no hand-off is left to send; always true unless a planned stop has begun.
    pub(super) const fn is_handed_off(&self) -> bool {
        !self.is_stopping || self.hand_off_state.is_sent
    }

    /// Returns the ledger of a stopped sidecar to the next process of its host.
    pub(super) fn return_hand_off(
        &mut self,
        link: LinkId,
        host: &HostName,
        incarnation: Incarnation,
    ) {
        let kept = self
            .hand_off_state
            .kept
            .get(host)
            .map(|kept| kept.incarnation);
        if kept.is_none_or(|kept| kept >= incarnation.get()) {
            return;
        }
        if let Some(message) = self.hand_off_state.kept.remove(host) {
            self.send(link, PeerMessage::HandOff(message));
        }
    }

    /// Drops the ledgers kept for peers, because this process may have missed a peer's successor.
    pub(super) fn drop_hand_offs(&mut self) {
        self.hand_off_state.kept.clear();
    }

    /// Stores the ledger of a stopping peer, or receives that of this host's predecessor.
    pub(super) fn receive_hand_off(
        &mut self,
        peer: &HostName,
        message: LedgerHandOff,
        now: ClockTime,
        wall: WallTime,
    ) {
        if message.host != self.host.as_str() {
            if message.host == peer.as_str() && !self.is_leaving() {
                self.hand_off_state.kept.insert(peer.clone(), message);
            }
            return;
        }
        if message.incarnation < self.incarnation.get() {
            self.hand_off_state.received.insert(peer.clone(), message);
            self.adopt_predecessor(now, wall);
        }
    }

    /// Adds the predecessor's ledger to this one once every other home has returned it.
    pub(super) fn adopt_predecessor(&mut self, now: ClockTime, wall: WallTime) {
        if self.hand_off_state.is_adopted || !self.lease.is_held(now, wall) {
            return;
        }
        let Some(first) = self.unanimous_hand_off() else {
            return;
        };
        let since = WallTime::from_unix_millis(first.complete_since);
        let keys = first.keys.iter().filter_map(key_from_message).collect();
        self.ledger.adopt(since, keys, wall);
        self.lease.trust_predecessor();
        self.hand_off_state.is_adopted = true;
        self.hand_off_state.received.clear();
    }

    /// Returns the predecessor's ledger, if every other home has returned the same incarnation's.
    fn unanimous_hand_off(&self) -> Option<LedgerHandOff> {
        let mut returned = self
            .lease
            .present_peers()
            .map(|peer| self.hand_off_state.received.get(peer));
        let first = returned.next()??;
        let is_same = |other: &LedgerHandOff| other.incarnation == first.incarnation;
        returned
            .all(|other| other.is_some_and(is_same))
            .then(|| first.clone())
    }
}

fn message_from_key(record: LedgerRecord) -> HandOffKey {
    let answer = record.answer;
    let headers = answer
        .iter()
        .flat_map(|answer| &answer.headers)
        .map(|(name, value)| HeaderField {
            name: name.to_string(),
            value: value.to_string(),
        });
    HandOffKey {
        customer: record.customer.get(),
        key: record.key.to_string(),
        digest: record.body.as_bytes().to_vec(),
        status: answer.as_ref().map_or(0, |answer| u32::from(answer.status)),
        headers: headers.collect(),
        body: answer
            .as_ref()
            .map(|answer| answer.body.clone())
            .unwrap_or_default(),
    }
}

fn key_from_message(message: &HandOffKey) -> Option<LedgerRecord> {
    let headers = message.headers.iter().map(|field| {
        (
            Arc::from(field.name.as_str()),
            Arc::from(field.value.as_str()),
        )
    });
    let answer = (message.status != 0).then(|| {
        Arc::new(StoredAnswer {
            status: message.status as u16,
            headers: headers.collect(),
            body: message.body.clone(),
        })
    });
    Some(LedgerRecord {
        customer: CustomerId::new(message.customer),
        key: message.key.parse().ok()?,
        body: BodyDigest::from_bytes(&message.digest)?,
        answer,
    })
}
