use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cicadalock_core::id::Revision;
use cicadalock_core::message::PeerMessage;
use cicadalock_core::revision::DocumentKind;
use snafu::Snafu;
use tokio_util::sync::CancellationToken;

/// Maximum number of messages queued for one connection.
const OUTBOX_CAPACITY: usize = 4_096;

/// The sending side of a connection: a bounded queue of messages and a close signal.
#[derive(Debug, Clone)]
pub struct LinkOutbox {
    messages: flume::Sender<Option<PeerMessage>>,
    closing: CancellationToken,
}

/// A message was not queued because the outbox is full or the connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the outbox is full or its connection has ended"))]
pub struct OutboxError;

impl LinkOutbox {
    /// Creates an outbox and the queue from which the connection's writer reads.
    ///
    /// A `None` in the queue is sent as a frame without a message.
    #[must_use]
    pub fn new() -> (Self, flume::Receiver<Option<PeerMessage>>) {
        let (messages, queue) = flume::bounded(OUTBOX_CAPACITY);
        let closing = CancellationToken::new();
        (Self { messages, closing }, queue)
    }

    /// Signals the connection to close, without sending the messages still queued.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Returns the token that [`close`](Self::close) cancels.
    #[must_use]
    pub fn closing(&self) -> CancellationToken {
        self.closing.clone()
    }

    /// Queues a message without waiting; `None` sends a frame without a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the outbox is full or the connection has ended.
    pub fn try_send(&self, message: Option<PeerMessage>) -> Result<(), OutboxError> {
        self.messages.try_send(message).or(Err(OutboxError))
    }

    /// Queues a message, waiting while the outbox is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub async fn send(&self, message: PeerMessage) -> Result<(), OutboxError> {
        self.messages
            .send_async(Some(message))
            .await
            .or(Err(OutboxError))
    }
}

/// The document revisions in force, shared between threads; every sent frame carries them.
#[derive(Debug, Clone, Default)]
pub struct SharedRevisions {
    revisions: Arc<[AtomicU64; 2]>,
}

impl SharedRevisions {
    /// Sets the revision in force of the document of `kind`.
    pub fn set(&self, kind: DocumentKind, revision: Revision) {
        self.slot(kind).store(revision.get(), Ordering::Relaxed);
    }

    /// Returns the revision in force of the document of `kind`; zero before the first.
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
