use std::sync::Arc;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::LinkId;
use cicadalock_core::message::PeerMessage;

use crate::metrics::{Metric, ProcessMetrics};
use crate::wire::LinkOutbox;

/// The outboxes of all open connections to other processes.
#[derive(Debug)]
pub struct LinkTable {
    outboxes: SortedMap<LinkId, LinkOutbox>,
    metrics: Arc<ProcessMetrics>,
}

impl LinkTable {
    /// Creates an empty table; `metrics` counts the connections that are closed on a full outbox.
    #[must_use]
    pub const fn new(metrics: Arc<ProcessMetrics>) -> Self {
        Self {
            outboxes: SortedMap::new(),
            metrics,
        }
    }

    /// Adds a connection.
    pub fn insert(&mut self, link: LinkId, outbox: LinkOutbox) {
        self.outboxes.insert(link, outbox);
    }

    /// Removes a connection and closes it.
    pub fn close(&mut self, link: LinkId) {
        if let Some(outbox) = self.outboxes.remove(&link) {
            outbox.close();
        }
    }

    /// Returns the outbox of a connection; `None` if the connection is closed.
    #[must_use]
    pub fn get(&self, link: LinkId) -> Option<&LinkOutbox> {
        self.outboxes.get(&link)
    }

    /// Sends a message without waiting; closes the connection if its outbox is full.
    pub fn send(&self, link: LinkId, message: PeerMessage) {
        self.send_or_close(link, Some(message));
    }

    /// Sends every peer a frame without a message, which carries the revisions in force.
    pub fn announce_revisions(&self) {
        for link in self.outboxes.keys() {
            self.send_or_close(*link, None);
        }
    }

    fn send_or_close(&self, link: LinkId, message: Option<PeerMessage>) {
        let Some(outbox) = self.outboxes.get(&link) else {
            return;
        };
        if outbox.try_send(message).is_err() {
            self.metrics.add(Metric::LinksOverrun, 1);
            outbox.close();
        }
    }
}
