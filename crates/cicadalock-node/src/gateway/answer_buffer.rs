use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Greatest body of a response that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Size up to which a body is always buffered; the rest comes out of [`SHARED_BYTES`].
const OWN_BYTES: usize = 64 * 1024;

/// Memory for all bodies that are being read, beyond [`OWN_BYTES`] each.
const SHARED_BYTES: usize = 32 * 1024 * 1024;

/// Memory that the bodies being read share.
#[derive(Debug, Clone, Default)]
pub(super) struct AnswerBuffers {
    used: Rc<Cell<usize>>,
}

/// Part of the shared memory that one body takes until it is dropped.
#[derive(Debug)]
struct BufferShare {
    buffers: AnswerBuffers,
    size: usize,
    taken: usize,
}

impl AnswerBuffers {
    /// Reads a body to its end.
    ///
    /// The error tells that the body broke off or exceeds a size limit.
    pub(super) async fn read<B>(&self, mut body: B) -> Result<Bytes, String>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let mut share = BufferShare {
            buffers: self.clone(),
            size: 0,
            taken: 0,
        };
        let mut chunks: Vec<Bytes> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            if let Ok(chunk) = frame.into_data() {
                share.grow(chunk.len())?;
                chunks.push(chunk);
            }
        }
        if chunks.len() == 1 {
            return Ok(chunks.remove(0));
        }
        Ok(chunks.concat().into())
    }
}

impl BufferShare {
    fn grow(&mut self, count: usize) -> Result<(), String> {
        self.size += count;
        if self.size > MAX_ANSWER_BYTES {
            return Err(format!("the body exceeds {MAX_ANSWER_BYTES} bytes"));
        }
        let needed = self.size.saturating_sub(OWN_BYTES) - self.taken;
        let used = self.buffers.used.get() + needed;
        if used > SHARED_BYTES {
            return Err(format!(
                "bodies being read exceed {SHARED_BYTES} bytes together"
            ));
        }
        self.buffers.used.set(used);
        self.taken += needed;
        Ok(())
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.buffers.used.set(self.buffers.used.get() - self.taken);
    }
}
