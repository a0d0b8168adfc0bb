use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::{CustomerId, HostName, Incarnation};
use crate::time::ClockTime;

/// One customer's entry in a peer's report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TotalEntry {
    /// Customer that the entry is about.
    pub customer: CustomerId,
    /// Cost charged to the customer since the peer's process started, in cost units.
    pub total: i64,
    /// Whether the customer has requests waiting at the peer.
    pub backlogged: bool,
    /// Part of `total` that is estimated cost of running requests, in cost units.
    pub pending: i64,
    /// Lead over the least position at the peer, in cost units divided by share.
    ///
    /// Zero except in full reports.
    pub lead: f64,
}

/// Work of a peer sidecar, as the peer reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReport {
    /// Host on which the peer runs.
    pub host: HostName,
    /// Incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; reports with a lower number are outdated.
    pub sequence: u64,
    /// Customers whose total or backlog changed since the last report, or all in a full report.
    pub entries: Vec<TotalEntry>,
}

/// State of one peer by its reports so far.
#[derive(Debug, Clone)]
pub struct PeerTotals {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) last_report_at: ClockTime,
    pub(super) customers: SortedMap<CustomerId, PeerAccount>,
}

/// State of one customer at one peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerAccount {
    pub(super) total: i64,
    pub(super) pending: i64,
    pub(super) backlogged: bool,
    /// This sidecar's own total of the customer when the peer's last report arrived.
    pub(super) own_total_at_report: i64,
}

impl PeerTotals {
    pub(super) const fn new(incarnation: Incarnation, now: ClockTime) -> Self {
        Self {
            incarnation,
            sequence: 0,
            last_report_at: now,
            customers: SortedMap::new(),
        }
    }

    /// Returns whether the last report arrived more than `limit` ago.
    #[must_use]
    pub fn is_silent(&self, now: ClockTime, limit: Duration) -> bool {
        now.since(self.last_report_at) > limit
    }
}
