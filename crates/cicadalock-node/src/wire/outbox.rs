use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cicadalock_core::id::Revision;
use cicadalock_core::message::PeerMessage;
use cicadalock_core::revision::DocumentKind;
use snafu::Snafu;
use tokio_util::sync::CancellationToken;

/// Messages that may wait for one connection.
const OUTBOX_CAPACITY: usize = 4_096;

/// The sending side of a connection.
#[derive(Debug, Clone)]
pub struct LinkOutbox {
    messages: flume::Sender<Option<PeerMessage>>,
    closing: CancellationToken,
}

/// The ring of a connection is full, or the connection is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the outgoing ring is full or closed"))]
pub struct OutboxFull;

impl LinkOutbox {
    /// Creates an outbox and the ring that its connection's writer empties.
    #[must_use]
    pub fn new() -> (Self, flume::Receiver<Option<PeerMessage>>) {
        let (messages, ring) = flume::bounded(OUTBOX_CAPACITY);
        let closing = CancellationToken::new();
        (Self { messages, closing }, ring)
    }

    /// Asks for the end of the connection.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// The signal by which the end of the connection is asked for.
    #[must_use]
    pub fn closing(&self) -> CancellationToken {
        self.closing.clone()
    }

    /// Puts a message into the ring without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the ring is full or the connection is gone.
    pub fn try_send(&self, message: Option<PeerMessage>) -> Result<(), OutboxFull> {
        self.messages.try_send(message).or(Err(OutboxFull))
    }

    /// Puts a message into the ring, waiting for room.
    ///
    /// # Errors
    ///
    /// Fails if the connection is gone.
    pub async fn send(&self, message: PeerMessage) -> Result<(), OutboxFull> {
        self.messages
            .send_async(Some(message))
            .await
            .or(Err(OutboxFull))
    }
}

/// The document revisions in force, which every frame carries.
#[derive(Debug, Clone, Default)]
pub struct RevisionGauge {
    revisions: Arc<[AtomicU64; 2]>,
}

impl RevisionGauge {
    /// Sets the revision in force.
    pub fn set(&self, kind: DocumentKind, revision: Revision) {
        self.slot(kind).store(revision.get(), Ordering::Relaxed);
    }

    /// The revision in force.
    #[must_use]
    pub fn get(&self, kind: DocumentKind) -> u64 {
        self.slot(kind).load(Ordering::Relaxed)
    }

    fn slot(&self, kind: DocumentKind) -> &AtomicU64 {
        match kind {
            DocumentKind::Config => &self.revisions[0],
            DocumentKind::Hosts => &self.revisions[1],
        }
    }
}
