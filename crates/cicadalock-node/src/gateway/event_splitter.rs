use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a `text/event-stream` into complete events.
///
/// An event ends with an empty line. Bytes after the last complete event are buffered until the rest
/// of the event arrives, so that a stream that breaks off can be resumed at another endpoint after
/// its last complete event.
///
/// # Example
///
/// ```
/// use cicadalock_node::gateway::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// let whole = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
/// assert_eq!(splitter.last_id(), Some("1"));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Appends `bytes` and returns the events that are now complete, or `None` if there are none.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The end of an event may straddle the old and the new bytes.
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = search_start + last_event_end(&self.partial[search_start..])?;
        let whole = self.partial.split_to(end).freeze();
        self.record_ids(&whole);
        Some(whole)
    }

    /// Returns the id of the last complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events so far.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Discards an incomplete event whose rest will not arrive.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes after the last complete event.
    #[must_use]
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Returns whether the incomplete event exceeds the size limit of 256 KiB.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    fn record_ids(&mut self, whole: &[u8]) {
        let mut is_begun = false;
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.events += u64::from(is_begun);
                is_begun = false;
                continue;
            }
            is_begun = true;
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id);
                self.last_id = Some(id.trim().to_owned());
            }
        }
    }
}

/// Returns the index after the last empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |end: &[u8]| {
        bytes
            .windows(end.len())
            .rposition(|window| window == end)
            .map(|index| index + end.len())
    };
    ends(b"\n\n").max(ends(b"\n\r\n"))
}
