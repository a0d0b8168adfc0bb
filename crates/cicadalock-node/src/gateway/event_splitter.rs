use bytes::{Bytes, BytesMut};

/// Greatest event that is held back for its end, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a `text/event-stream` into whole events.
///
/// An event ends with an empty line; what comes after the last whole event is kept until its end
/// has come, so that a stream that breaks off can go on elsewhere after its last whole event.
///
/// # Example
///
/// ```
/// use cicadalock_node::gateway::EventCutter;
///
/// let mut cutter = EventCutter::default();
/// let whole = cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
/// assert_eq!(cutter.last_id(), Some("1"));
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are now whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = searched + last_event_end(&self.partial[searched..])?;
        let whole = self.partial.split_to(end).freeze();
        self.record_ids(&whole);
        Some(whole)
    }

    /// Number of the last whole event, if events have numbers.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Events that were whole.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Forgets the beginning of an event whose end will not come.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes what came after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Tells whether an event has grown beyond what is held back.
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

/// Index after the last empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |end: &[u8]| {
        bytes
            .windows(end.len())
            .rposition(|window| window == end)
            .map(|index| index + end.len())
    };
    ends(b"\n\n").max(ends(b"\n\r\n"))
}
