use std::sync::Arc;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::LinkId;
use cicadalock_core::message::PeerMessage;

use crate::metrics::{Metric, ProcessMetrics};
use crate::wire::LinkOutbox;

/// The sending sides of all connections.
#[derive(Debug)]
pub struct LinkTable {
    outboxes: SortedMap<LinkId, LinkOutbox>,
    metrics: Arc<ProcessMetrics>,
}

impl LinkTable {
    /// Creates an empty table.
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

    /// Removes a connection and asks for its end.
    pub fn close(&mut self, link: LinkId) {
        if let Some(outbox) = self.outboxes.remove(&link) {
            outbox.close();
        }
    }

    /// The sending side of a connection.
    #[must_use]
    pub fn get(&self, link: LinkId) -> Option<&LinkOutbox> {
        self.outboxes.get(&link)
    }

    /// Sends a message; a connection that cannot take it is closed.
    pub fn send(&self, link: LinkId, message: PeerMessage) {
        self.put(link, Some(message));
    }

    /// Sends every peer a frame without a message, which tells the revisions in force.
    pub fn announce(&self) {
        for link in self.outboxes.keys() {
            self.put(*link, None);
        }
    }

    fn put(&self, link: LinkId, message: Option<PeerMessage>) {
        let Some(outbox) = self.outboxes.get(&link) else {
            return;
        };
        if outbox.try_send(message).is_err() {
            self.metrics.add(Metric::LinksOverrun, 1);
            outbox.close();
        }
    }
}
