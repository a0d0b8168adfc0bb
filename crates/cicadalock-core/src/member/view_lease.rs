use std::time::Duration;

use super::{key_home, set_hash};
use crate::collect::SortedMap;
use crate::id::{HostName, Revision};
use crate::message::ViewMessage;
use crate::time::{ClockTime, WallTime};

/// For how long another home's word is relied on, counted from this process's own stamp.
pub const LEASE_SPAN: Duration = Duration::from_millis(1_500);

/// Previous sets of homes that are kept to tell whether a key's home has moved.
const HISTORY_LIMIT: usize = 32;

/// Decides whether this sidecar may run a keyed request as the key's only home.
///
/// The sidecars of a service exchange [`ViewMessage`]s. A sidecar runs a key only while every other
/// home in its view has confirmed the same view within [`LEASE_SPAN`]. A key that may have had
/// another home in an earlier view is run only if it was minted after that view's leases ran out.
#[derive(Debug)]
pub struct ViewLease {
    host: HostName,
    homes: Vec<HostName>,
    epoch: Revision,
    list_revision: Revision,
    peers: SortedMap<HostName, PeerWord>,
    /// When the present view was first confirmed by all.
    established: Option<WallTime>,
    history: Vec<PastView>,
}

#[derive(Debug, Clone, Copy, Default)]
struct PeerWord {
    /// Newest stamp received from the peer, to be echoed.
    stamp: u64,
    /// Own clock at the sending of the newest stamp that the peer echoed with the present view.
    confirmed: Option<ClockTime>,
    /// The peer has said that it runs no more keys.
    departed: bool,
}

#[derive(Debug, Clone)]
struct PastView {
    homes: Vec<HostName>,
    /// When the view that followed was established.
    replaced: Option<WallTime>,
}

impl ViewLease {
    /// Creates the lease of the sidecar on `host`, which knows no host list yet.
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

    /// Takes in a host list: the homes of the service, and the revision that the list replaced.
    ///
    /// Returns whether homes have changed, or may have changed in a list that was missed.
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
            self.restart(revision, None);
        } else {
            let past = std::mem::replace(&mut self.homes, homes);
            self.restart(revision, (!skipped).then_some(past));
        }
        true
    }

    /// Takes in a peer's word.
    pub fn hear(&mut self, peer: &HostName, word: &ViewMessage, now: ClockTime) {
        let is_same_set = word.set_hash == set_hash(&self.homes);
        let is_known_epoch = word.epoch <= self.list_revision.get();
        if is_same_set && is_known_epoch && word.epoch > self.epoch.get() {
            // This process has seen every list up to that epoch and the set did not change.
            self.epoch = Revision::new(word.epoch);
        }
        let confirms = is_same_set && word.epoch == self.epoch.get();
        let entry = self
            .peers
            .get_or_insert_with(peer.clone(), PeerWord::default);
        entry.stamp = word.stamp;
        entry.departed = false;
        let echoed = ClockTime::from_micros(word.echo);
        if !confirms || word.echo == 0 || echoed > now {
            entry.confirmed = None;
        } else {
            entry.confirmed = Some(echoed);
        }
    }

    /// Notes that a peer runs no more keys; it counts again as soon as it speaks.
    pub fn depart(&mut self, peer: &HostName) {
        self.peers
            .get_or_insert_with(peer.clone(), PeerWord::default)
            .departed = true;
    }

    /// Gives up every confirmation, so that the view must be confirmed anew.
    pub fn suspend(&mut self) {
        self.restart(self.epoch, None);
    }

    /// Forgets the stamps of a peer whose connection or process has gone.
    pub fn reset_peer(&mut self, peer: &HostName) {
        if let Some(entry) = self.peers.get_mut(peer) {
            entry.stamp = 0;
        }
    }

    /// The word to send to `peer`.
    #[must_use]
    pub fn word_for(&self, peer: &HostName, now: ClockTime) -> ViewMessage {
        ViewMessage {
            set_hash: set_hash(&self.homes),
            epoch: self.epoch.get(),
            stamp: now.as_micros(),
            echo: self.peers.get(peer).map_or(0, |entry| entry.stamp),
        }
    }

    /// Tells whether every other home has confirmed the view, noting the first time that it has.
    pub fn is_held(&mut self, now: ClockTime, wall: WallTime) -> bool {
        let held = self.held_until().is_some_and(|until| now < until);
        if held && self.established.is_none() {
            self.establish(wall);
        }
        held
    }

    /// Until when the confirmations last; none if one is missing.
    #[must_use]
    pub fn held_until(&self) -> Option<ClockTime> {
        if self.homes.binary_search(&self.host).is_err() {
            return None;
        }
        let mut until = ClockTime::MAX;
        for home in self.homes.iter().filter(|home| **home != self.host) {
            let entry = self.peers.get(home)?;
            if !entry.departed {
                until = until.min(entry.confirmed? + LEASE_SPAN);
            }
        }
        Some(until)
    }

    /// Tells whether this sidecar is the home of `key` in the present view.
    #[must_use]
    pub fn is_home(&self, key: &str) -> bool {
        key_home(&self.homes, key) == Some(&self.host)
    }

    /// The time after which `key` must have been minted to be certain that no other home ran it.
    ///
    /// None while the present view was never established.
    #[must_use]
    pub fn minted_after(&self, key: &str) -> Option<WallTime> {
        let established = self.established?;
        let grace = LEASE_SPAN.as_millis() as u64;
        for past in self.history.iter().rev() {
            if key_home(&past.homes, key) != Some(&self.host) {
                let replaced = past.replaced.unwrap_or(established);
                return Some(replaced.plus_millis(grace));
            }
        }
        Some(WallTime::default())
    }

    /// The time after which any key must have been minted to have had no other home.
    ///
    /// None while the present view was never established.
    #[must_use]
    pub fn settled_since(&self) -> Option<WallTime> {
        let established = self.established?;
        let grace = LEASE_SPAN.as_millis() as u64;
        let last = self.history.last();
        Some(last.map_or(WallTime::default(), |past| {
            past.replaced.unwrap_or(established).plus_millis(grace)
        }))
    }

    /// Relies on the word of this process's predecessor that it knew of every earlier home.
    pub fn trust_predecessor(&mut self) {
        self.history.clear();
    }

    /// The other homes that have not departed.
    pub fn present_peers(&self) -> impl Iterator<Item = &HostName> {
        self.homes.iter().filter(|home| {
            let has_departed = self.peers.get(home).is_some_and(|entry| entry.departed);
            **home != self.host && !has_departed
        })
    }

    /// Peers whose word is missing or too old.
    pub fn missing(&self, now: ClockTime) -> impl Iterator<Item = &HostName> {
        self.homes.iter().filter(move |home| {
            let is_confirmed = self.peers.get(home).is_some_and(|entry| {
                entry.departed || entry.confirmed.is_some_and(|time| now < time + LEASE_SPAN)
            });
            **home != self.host && !is_confirmed
        })
    }

    /// Begins a view; `past` is the set before it, or none if sets in between may be unknown.
    fn restart(&mut self, epoch: Revision, past: Option<Vec<HostName>>) {
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
