use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::message::{AnswerChunk, AnswerEnd, AnswerHead, HeaderField, PeerMessage};
use cicadalock_core::outcome::StoredAnswer;
use tokio::sync::Semaphore;

use super::order::window_units;
use crate::wire::LinkOutbox;

/// Greatest part of a body in one frame, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// A caller that takes nothing for longer no longer gets its answer.
const CREDIT_LIMIT: Duration = Duration::from_secs(10);

/// Passes an answer on to the router, within its window, and keeps a copy if asked to.
#[derive(Debug)]
pub(super) struct AnswerRelay {
    grant: u64,
    outbox: LinkOutbox,
    window: Arc<Semaphore>,
    offset: u64,
    is_cut: bool,
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
            is_cut: false,
            keep_bytes,
            kept: None,
        }
    }

    /// Passes status and header fields on.
    pub(super) async fn head(&mut self, status: u16, headers: Vec<HeaderField>) {
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

    /// Passes part of the body on; returns false if nobody takes it.
    pub(super) async fn body(&mut self, bytes: &[u8]) -> bool {
        self.keep(bytes);
        for part in bytes.chunks(CHUNK_BYTES) {
            self.chunk(part).await;
        }
        !self.is_cut
    }

    /// Tells whether nobody takes the answer any more.
    pub(super) const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Tells the router how the answer ended.
    pub(super) async fn end(&mut self, state: u32) {
        let end = AnswerEnd {
            grant: self.grant,
            state,
            length: self.offset,
        };
        self.send(PeerMessage::End(end)).await;
    }

    /// The copy, if one was asked for and the answer is small enough.
    pub(super) const fn take_kept(&mut self) -> Option<StoredAnswer> {
        self.kept.take()
    }

    async fn chunk(&mut self, part: &[u8]) {
        if self.is_cut {
            return;
        }
        let units = window_units(part.len());
        let window = Arc::clone(&self.window);
        let permit = tokio::time::timeout(CREDIT_LIMIT, window.acquire_many(units)).await;
        let Ok(Ok(permit)) = permit else {
            self.is_cut = true;
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
        if !self.is_cut && self.outbox.send(message).await.is_err() {
            self.is_cut = true;
        }
    }

    fn keep(&mut self, bytes: &[u8]) {
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
