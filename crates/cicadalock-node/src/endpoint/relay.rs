use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::message::{AnswerChunk, AnswerEnd, AnswerHead, HeaderField, PeerMessage};
use cicadalock_core::outcome::StoredAnswer;
use tokio::sync::Semaphore;

use super::command::window_units;
use crate::wire::LinkOutbox;

/// Maximum size of the part of a body in one frame, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Maximum time to wait for the caller to read; after that the rest of the answer is not sent.
const WINDOW_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards an answer to the router within the flow-control window, and stores a copy for the
/// ledger if `max_stored_bytes` is not zero.
///
/// Once the caller has stopped reading or the connection to the router has ended, the answer is
/// abandoned: nothing more is sent.
#[derive(Debug)]
pub(super) struct AnswerRelay {
    grant: u64,
    outbox: LinkOutbox,
    window: Arc<Semaphore>,
    offset: u64,
    /// Bytes of the body until its declared end; `None` if the endpoint declared no length.
    declared_left: Option<u64>,
    /// The head of an answer without a body, until [`Self::send_end`].
    held_head: Option<AnswerHead>,
    /// The part that completes a body of declared length, until [`Self::send_end`].
    last_part: Vec<u8>,
    is_abandoned: bool,
    /// Maximum size of the stored copy's body, in bytes; zero stores none.
    max_stored_bytes: usize,
    stored: Option<StoredAnswer>,
}

impl AnswerRelay {
    pub(super) const fn new(
        grant: u64,
        outbox: LinkOutbox,
        window: Arc<Semaphore>,
        max_stored_bytes: usize,
    ) -> Self {
        Self {
            grant,
            outbox,
            window,
            offset: 0,
            declared_left: None,
            held_head: None,
            last_part: Vec::new(),
            is_abandoned: false,
            max_stored_bytes,
            stored: None,
        }
    }

    /// Sends the status and the header fields.
    ///
    /// `length` is the length that the endpoint declared for the body. A caller that has all of an
    /// answer may retry at once, and by then the ledger must know the outcome. What completes the
    /// answer, the head or the last part of the body, is therefore held back until
    /// [`Self::send_end`].
    pub(super) async fn send_head(
        &mut self,
        status: u16,
        headers: Vec<HeaderField>,
        length: Option<u64>,
    ) {
        self.declared_left = length;
        if self.max_stored_bytes > 0 {
            let fields = headers.iter().map(|field| {
                (
                    Arc::from(field.name.as_str()),
                    Arc::from(field.value.as_str()),
                )
            });
            self.stored = Some(StoredAnswer {
                status,
                headers: fields.collect(),
                body: Vec::new(),
            });
        }
        let head = AnswerHead {
            grant: self.grant,
            status: u32::from(status),
            headers,
        };
        if length == Some(0) {
            self.held_head = Some(head);
        } else {
            self.send(PeerMessage::Head(head)).await;
        }
    }

    /// Sends part of the body, or holds it back if it is the last one of a declared length.
    ///
    /// Returns false if the answer is abandoned.
    pub(super) async fn send_body(&mut self, bytes: &[u8]) -> bool {
        self.store_part(bytes);
        if let Some(left) = &mut self.declared_left {
            *left = left.saturating_sub(bytes.len() as u64);
            if *left == 0 {
                self.last_part.extend_from_slice(bytes);
                return !self.is_abandoned;
            }
        }
        self.send_part(bytes).await;
        !self.is_abandoned
    }

    async fn send_part(&mut self, bytes: &[u8]) {
        for part in bytes.chunks(MAX_CHUNK_BYTES) {
            self.send_chunk(part).await;
        }
    }

    /// Returns whether the caller stopped reading or the connection to the router has ended.
    pub(super) const fn is_abandoned(&self) -> bool {
        self.is_abandoned
    }

    /// Sends what was held back and the end of the answer.
    ///
    /// `state` is one of [`end_state`](cicadalock_core::message::end_state).
    pub(super) async fn send_end(&mut self, state: u32) {
        if let Some(head) = self.held_head.take() {
            self.send(PeerMessage::Head(head)).await;
        }
        let last_part = std::mem::take(&mut self.last_part);
        self.send_part(&last_part).await;
        let end = AnswerEnd {
            grant: self.grant,
            state,
            length: self.offset,
        };
        self.send(PeerMessage::End(end)).await;
    }

    /// Takes the stored copy; `None` if none is stored or the answer exceeded `max_stored_bytes`.
    pub(super) const fn take_stored_answer(&mut self) -> Option<StoredAnswer> {
        self.stored.take()
    }

    async fn send_chunk(&mut self, part: &[u8]) {
        if self.is_abandoned {
            return;
        }
        let permits = window_units(part.len());
        let window = Arc::clone(&self.window);
        let permit = tokio::time::timeout(WINDOW_TIMEOUT, window.acquire_many(permits)).await;
        let Ok(Ok(permit)) = permit else {
            self.is_abandoned = true;
            return;
        };
        // `EndpointCommand::Credit` returns the permits when the caller has read the bytes.
        permit.forget();
        let chunk = AnswerChunk {
            grant: self.grant,
            offset: self.offset,
            bytes: part.to_vec(),
        };
        self.offset += part.len() as u64;
        self.send(PeerMessage::Chunk(chunk)).await;
    }

    async fn send(&mut self, message: PeerMessage) {
        if !self.is_abandoned && self.outbox.send(message).await.is_err() {
            self.is_abandoned = true;
        }
    }

    fn store_part(&mut self, bytes: &[u8]) {
        let Some(stored) = &mut self.stored else {
            return;
        };
        if stored.body.len() + bytes.len() > self.max_stored_bytes {
            self.stored = None;
        } else {
            stored.body.extend_from_slice(bytes);
        }
    }
}
