use std::sync::Arc;

use super::machine::SidecarMachine;
use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation, LinkId};
use crate::message::{HandedKey, HeaderField, LedgerHandOff, PeerMessage};
use crate::outcome::{BodyDigest, LedgerRecord, StoredAnswer};
use crate::time::{ClockTime, WallTime};

/// The memory of keys that passes from a stopped sidecar to its successor, by way of the peers.
///
/// A stopping sidecar that has ended every run sends its ledger to each peer. A peer gives it to the
/// next process of that host and forgets it. The successor relies on it only if every other home
/// has given it the same, for a peer that knows of a process in between has it no more.
#[derive(Debug, Default)]
pub(super) struct HandOffState {
    /// What peers left here when they stopped.
    kept: SortedMap<HostName, LedgerHandOff>,
    /// What peers gave back of this host's predecessor.
    received: SortedMap<HostName, LedgerHandOff>,
    /// Time after which this process's ledger is complete, as of its stop.
    complete_since: Option<WallTime>,
    is_sent: bool,
    is_adopted: bool,
}

impl SidecarMachine {
    /// Notes, when a planned stop begins, from when on the ledger is complete.
    pub(super) fn prepare_hand_off(&mut self) {
        let settled = self.lease.settled_since();
        self.hand_off_state.complete_since =
            settled.map(|since| since.max(self.ledger.complete_since()));
    }

    /// Sends the ledger to every peer once nothing runs any more.
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

    /// Tells whether a stopping sidecar has nothing more to send.
    pub(super) const fn is_handed_off(&self) -> bool {
        !self.is_stopping || self.hand_off_state.is_sent
    }

    /// Gives a new process of a host what its predecessor left here.
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

    /// Forgets what peers left here, because this process may have missed a successor of theirs.
    pub(super) fn drop_hand_offs(&mut self) {
        self.hand_off_state.kept.clear();
    }

    /// Keeps a peer's ledger, or takes back that of this host.
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

    /// Relies on the predecessor's ledger once every other home has given the same.
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

    /// The predecessor's ledger, if every other home has given the same.
    fn unanimous_hand_off(&self) -> Option<LedgerHandOff> {
        let mut given = self
            .lease
            .present_peers()
            .map(|peer| self.hand_off_state.received.get(peer));
        let first = given.next()??;
        let is_same = |other: &LedgerHandOff| other.incarnation == first.incarnation;
        given
            .all(|other| other.is_some_and(is_same))
            .then(|| first.clone())
    }
}

fn message_from_key(record: LedgerRecord) -> HandedKey {
    let answer = record.answer;
    let headers = answer
        .iter()
        .flat_map(|answer| &answer.headers)
        .map(|(name, value)| HeaderField {
            name: name.to_string(),
            value: value.to_string(),
        });
    HandedKey {
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

fn key_from_message(message: &HandedKey) -> Option<LedgerRecord> {
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
