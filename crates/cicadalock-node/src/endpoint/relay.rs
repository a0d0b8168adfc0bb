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
const CREDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards an answer to the router within the flow-control window, and stores a copy if required.
///
/// Once the caller has stopped reading or the connection to the router has ended, the answer is
/// abandoned: nothing more is sent.
#[derive(Debug)]
pub(super) struct AnswerRelay {
    grant: u64,
    outbox: LinkOutbox,
    window: Arc<Semaphore>,
    offset: u64,
    is_abandoned: bool,
    keep_bytes: usize,
    kept: Option<StoredAnswer>,
}

impl AnswerRelay {
    pub(super) const fn new(
        grant: u64,
        outbox: LinkOutbox,
        window: Arc<Semaphore>,
        keep_bytes: usize,
    ) -> Self {
        Self {
            grant,
            outbox,
            window,
            offset: 0,
            is_abandoned: false,
            keep_bytes,
            kept: None,
        }
    }

    /// Sends the status and the header fields.
    pub(super) async fn send_head(&mut self, status: u16, headers: Vec<HeaderField>) {
        if self.keep_bytes > 0 {
            let kept = headers.iter().map(|field| {
                (
                    Arc::from(field.name.as_str()),
                    Arc::from(field.value.as_str()),
                )
            });
            self.kept = Some(StoredAnswer {
                status,
                headers: kept.collect(),
                body: Vec::new(),
            });
        }
        let head = AnswerHead {
            grant: self.grant,
            status: u32::from(status),
            headers,
        };
        self.send(PeerMessage::Head(head)).await;
    }

    /// Sends part of the body; returns false if the answer is abandoned.
    pub(super) async fn send_body(&mut self, bytes: &[u8]) -> bool {
        self.store_part(bytes);
        for part in bytes.chunks(MAX_CHUNK_BYTES) {
            self.send_chunk(part).await;
        }
        !self.is_abandoned
    }

    /// Returns whether the caller stopped reading or the connection to the router has ended.
    pub(super) const fn is_abandoned(&self) -> bool {
        self.is_abandoned
    }

    /// Sends the end of the answer with a state from `end_state`.
    pub(super) async fn send_end(&mut self, state: u32) {
        let end = AnswerEnd {
            grant: self.grant,
            state,
            length: self.offset,
        };
        self.send(PeerMessage::End(end)).await;
    }

    /// Returns the copy, if one is required and the answer is small enough.
    pub(super) const fn take_stored_answer(&mut self) -> Option<StoredAnswer> {
        self.kept.take()
    }

    async fn send_chunk(&mut self, part: &[u8]) {
        if self.is_abandoned {
            return;
        }
        let units = window_units(part.len());
        let window = Arc::clone(&self.window);
        let permit = tokio::time::timeout(CREDIT_TIMEOUT, window.acquire_many(units)).await;
        let Ok(Ok(permit)) = permit else {
            self.is_abandoned = true;
            return;
        };
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
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.body.len() + bytes.len() > self.keep_bytes {
            self.kept = None;
        } else {
            kept.body.extend_from_slice(bytes);
        }
    }
}
