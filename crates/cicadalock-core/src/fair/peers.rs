use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation};
use crate::time::ClockTime;

/// One customer's line in a peer's report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TotalEntry {
    /// The customer.
    pub customer: CustomerId,
    /// Cost that the peer has charged the customer since the peer's start, in cost units.
    pub total: i64,
    /// Whether the customer has requests waiting at the peer.
    pub backlogged: bool,
    /// Part of the total that is estimates of requests in work, in cost units.
    pub pending: i64,
    /// Customer's position over the least of the peer's positions, in cost units by share.
    pub lead: f64,
}

/// What a peer sidecar tells of its own work.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReport {
    /// Host of the peer.
    pub host: HostName,
    /// Run of the peer's process.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// A line for each customer whose total or backlog changed since the last report.
    pub entries: Vec<TotalEntry>,
}

/// What a sidecar knows of one peer's work.
#[derive(Debug, Clone)]
pub struct PeerTotals {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) heard: ClockTime,
    pub(super) lines: SortedMap<CustomerId, PeerLine>,
}

/// One customer at one peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerLine {
    pub(super) total: i64,
    pub(super) pending: i64,
    pub(super) backlogged: bool,
    /// Own total of the customer when the peer's last report arrived.
    pub(super) own_mark: i64,
}

impl PeerTotals {
    pub(super) const fn new(incarnation: Incarnation, now: ClockTime) -> Self {
        Self {
            incarnation,
            sequence: 0,
            heard: now,
            lines: SortedMap::new(),
        }
    }

    /// Tells whether nothing was heard for `limit`.
    #[must_use]
    pub fn is_silent(&self, now: ClockTime, limit: Duration) -> bool {
        now.since(self.heard) > limit
    }
}
