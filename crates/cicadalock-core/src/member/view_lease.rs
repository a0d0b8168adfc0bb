use std::time::Duration;

use super::{host_set_hash, key_home};
use crate::collect::SortedMap;
use crate::id::{HostName, Revision};
use crate::message::ViewMessage;
use crate::time::{ClockTime, WallTime};

/// Validity of another home's confirmation.
///
/// It is counted from this process's own stamp that the other home echoed, so that a delayed
/// message does not extend the lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);

/// Number of previous sets of homes that are kept to tell whether the home of a key has moved.
const HISTORY_LIMIT: usize = 32;

/// Decides whether this sidecar may run a keyed request as the key's only home.
///
/// The sidecars of a service exchange [`ViewMessage`] messages. A sidecar runs a key only while every
/// other home in its view has confirmed the same view within [`LEASE_DURATION`]. A key that may
/// have had another home in an earlier view runs only if it was minted after the leases of that
/// view expired.
#[derive(Debug)]
pub struct ViewLease {
    host: HostName,
    homes: Vec<HostName>,
    epoch: Revision,
    list_revision: Revision,
    peers: SortedMap<HostName, PeerState>,
    /// Time at which all homes had first confirmed the current view.
    established: Option<WallTime>,
    history: Vec<PastView>,
}

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Newest stamp received from the peer, which is echoed to it; zero if none.
    stamp: u64,
    /// Own clock when the newest stamp was sent that the peer has echoed with the current view.
    confirmed: Option<ClockTime>,
    /// Whether the peer runs no more keys.
    departed: bool,
}

#[derive(Debug, Clone)]
struct PastView {
    homes: Vec<HostName>,
    /// Time at which the following view was established.
    replaced: Option<WallTime>,
}

impl ViewLease {
    /// Creates the lease of the sidecar on `host`, without a host list.
    #[must_use]
    pub const fn new(host: HostName) -> Self {
        Self {
            host,
            homes: Vec::new(),
            epoch: Revision::new(0),
            list_revision: Revision::new(0),
            peers: SortedMap::new(),
            established: None,
            history: Vec::new(),
        }
    }

    /// Sets the homes of the service from a host list, with the revision of the list and the one
    /// that it replaces.
    ///
    /// `homes` must be sorted. Returns whether the homes have changed, or may have changed in a
    /// list that this process has not received.
    pub fn set_homes(
        &mut self,
        homes: Vec<HostName>,
        revision: Revision,
        previous: Revision,
    ) -> bool {
        let skipped = previous != self.list_revision;
        self.list_revision = revision;
        if homes == self.homes && !skipped {
            return false;
        }
        if skipped {
            self.history.clear();
        }
        if homes == self.homes {
            self.begin_view(revision, None);
        } else {
            let past = std::mem::replace(&mut self.homes, homes);
            self.begin_view(revision, (!skipped).then_some(past));
        }
        true
    }

    /// Handles a message of a peer: stores its stamp, and its confirmation if the views are equal.
    pub fn receive(&mut self, peer: &HostName, message: &ViewMessage, now: ClockTime) {
        let is_same_set = message.set_hash == host_set_hash(&self.homes);
        let is_known_epoch = message.epoch <= self.list_revision.get();
        if is_same_set && is_known_epoch && message.epoch > self.epoch.get() {
            // This process has received every list up to that epoch, and the set did not change.
            self.epoch = Revision::new(message.epoch);
        }
        let confirms = is_same_set && message.epoch == self.epoch.get();
        let entry = self
            .peers
            .get_or_insert_with(peer.clone(), PeerState::default);
        entry.stamp = message.stamp;
        entry.departed = false;
        let echoed = ClockTime::from_micros(message.echo);
        if !confirms || message.echo == 0 || echoed > now {
            entry.confirmed = None;
        } else {
            entry.confirmed = Some(echoed);
        }
    }

    /// Records that a peer runs no more keys, so that its confirmation is not needed.
    ///
    /// The next message of the peer ends this state.
    pub fn mark_departed(&mut self, peer: &HostName) {
        self.peers
            .get_or_insert_with(peer.clone(), PeerState::default)
            .departed = true;
    }

    /// Discards every confirmation, so that all homes must confirm the view again.
    pub fn invalidate(&mut self) {
        self.begin_view(self.epoch, None);
    }

    /// Discards the stamp of a peer whose connection or process has ended.
    pub fn reset_peer(&mut self, peer: &HostName) {
        if let Some(entry) = self.peers.get_mut(peer) {
            entry.stamp = 0;
        }
    }

    /// Returns the message to send to `peer`.
    #[must_use]
    pub fn message_for(&self, peer: &HostName, now: ClockTime) -> ViewMessage {
        ViewMessage {
            set_hash: host_set_hash(&self.homes),
            epoch: self.epoch.get(),
            stamp: now.as_micros(),
            echo: self.peers.get(peer).map_or(0, |entry| entry.stamp),
        }
    }

    /// Returns whether every other home has confirmed the view and no confirmation has expired.
    ///
    /// The first time that it holds, `wall` is recorded as the time at which the view was
    /// established.
    pub fn is_held(&mut self, now: ClockTime, wall: WallTime) -> bool {
        let held = self.held_until().is_some_and(|until| now < until);
        if held && self.established.is_none() {
            self.establish(wall);
        }
        held
    }

    /// Time at which the first confirmation expires, [`ClockTime::MAX`] if none is needed.
    ///
    /// `None` if a confirmation is missing or this host is not a home.
    #[must_use]
    pub fn held_until(&self) -> Option<ClockTime> {
        if self.homes.binary_search(&self.host).is_err() {
            return None;
        }
        let mut until = ClockTime::MAX;
        for home in self.homes.iter().filter(|home| **home != self.host) {
            let entry = self.peers.get(home)?;
            if !entry.departed {
                until = until.min(entry.confirmed? + LEASE_DURATION);
            }
        }
        Some(until)
    }

    /// Returns whether this sidecar is the home of `key` in the current view.
    #[must_use]
    pub fn is_home(&self, key: &str) -> bool {
        key_home(&self.homes, key) == Some(&self.host)
    }

    /// Time after which `key` must have been minted so that no other home can have run it.
    ///
    /// `None` until the current view is established.
    #[must_use]
    pub fn key_fresh_after(&self, key: &str) -> Option<WallTime> {
        let established = self.established?;
        let lease_ms = LEASE_DURATION.as_millis() as u64;
        for past in self.history.iter().rev() {
            if key_home(&past.homes, key) != Some(&self.host) {
                let replaced = past.replaced.unwrap_or(established);
                return Some(replaced.plus_millis(lease_ms));
            }
        }
        Some(WallTime::default())
    }

    /// Time after which a key must have been minted so that no other home can have run it, whatever
    /// the key.
    ///
    /// `None` until the current view is established.
    #[must_use]
    pub fn all_keys_fresh_after(&self) -> Option<WallTime> {
        let established = self.established?;
        let lease_ms = LEASE_DURATION.as_millis() as u64;
        let last = self.history.last();
        Some(last.map_or(WallTime::default(), |past| {
            past.replaced.unwrap_or(established).plus_millis(lease_ms)
        }))
    }

    /// Discards the earlier views, because the predecessor's ledger has been adopted.
    ///
    /// The predecessor knew every earlier home and allowed for those views in the time from which
    /// its ledger is complete.
    pub fn trust_predecessor(&mut self) {
        self.history.clear();
    }

    /// Other homes that still run keys.
    pub fn present_peers(&self) -> impl Iterator<Item = &HostName> {
        self.homes.iter().filter(|home| {
            let has_departed = self.peers.get(home).is_some_and(|entry| entry.departed);
            **home != self.host && !has_departed
        })
    }

    /// Other homes whose confirmation is missing or has expired.
    pub fn unconfirmed_peers(&self, now: ClockTime) -> impl Iterator<Item = &HostName> {
        self.homes.iter().filter(move |home| {
            let is_confirmed = self.peers.get(home).is_some_and(|entry| {
                entry.departed
                    || entry
                        .confirmed
                        .is_some_and(|time| now < time + LEASE_DURATION)
            });
            **home != self.host && !is_confirmed
        })
    }

    /// Begins a view; `past` is the set before it, or `None` if sets in between may be unknown.
    fn begin_view(&mut self, epoch: Revision, past: Option<Vec<HostName>>) {
        self.epoch = self.epoch.max(epoch);
        match past {
            Some(homes) => self.history.push(PastView {
                homes,
                replaced: None,
            }),
            None => {
                self.history.clear();
                self.history.push(PastView {
                    homes: Vec::new(),
                    replaced: None,
                });
            }
        }
        if self.history.len() > HISTORY_LIMIT {
            self.history[1] = PastView {
                homes: Vec::new(),
                replaced: None,
            };
            self.history.remove(0);
        }
        self.established = None;
        for entry in self.peers.values_mut() {
            entry.confirmed = None;
        }
    }

    fn establish(&mut self, wall: WallTime) {
        self.established = Some(wall);
        for past in &mut self.history {
            past.replaced.get_or_insert(wall);
        }
    }
}
