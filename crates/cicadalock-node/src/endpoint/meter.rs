use bytes::BytesMut;
use serde_json::Value;
use tokio_util::codec::{Decoder, LinesCodec};

/// Maximum length of a line of an event stream to inspect, in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Maximum size of a non-streamed answer to read the usage from, in bytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Maximum plausible usage of one request, in tokens; larger figures are ignored.
const MAX_USAGE_TOKENS: i64 = 1_000_000_000;

/// Counts the tokens of a completion and detects whether its stream ended with `[DONE]`.
///
/// ```
/// use cicadalock_node::endpoint::TokenMeter;
///
/// let mut meter = TokenMeter::for_stream();
/// meter.feed(b"data: {\"choices\": []}\n\ndata: {\"choi");
/// meter.feed(b"ces\": []}\n\ndata: [DONE]\n\n");
/// assert_eq!(meter.tokens(), 2);
/// assert!(meter.is_complete());
/// ```
#[derive(Debug)]
pub struct TokenMeter {
    lines: LinesCodec,
    pending: BytesMut,
    is_stream: bool,
    has_end_marker: bool,
    event_count: i64,
    usage: Option<i64>,
}

impl TokenMeter {
    /// Creates a meter for a stream of server-sent events.
    #[must_use]
    pub fn for_stream() -> Self {
        Self::new(true)
    }

    /// Creates a meter for an answer that is not streamed: one JSON document.
    #[must_use]
    pub fn for_buffered() -> Self {
        Self::new(false)
    }

    /// Processes the next bytes of the answer; they may end in the middle of a line.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.is_stream && self.pending.len() + bytes.len() > MAX_BUFFERED_BYTES {
            return;
        }
        self.pending.extend_from_slice(bytes);
        while self.is_stream {
            match self.lines.decode(&mut self.pending) {
                Ok(Some(line)) => self.process_line(&line),
                Ok(None) => return,
                // A line that exceeds the limit is skipped and counts as one event.
                Err(_) => self.event_count += 1,
            }
        }
    }

    /// Processes the end of the answer; the usage of a non-streamed answer is known from then on.
    pub fn finish(&mut self) {
        if !self.is_stream {
            self.usage = parse_usage(&self.pending);
        }
    }

    /// Returns the cost so far, in tokens: the usage that the engine reported, or else the number
    /// of events.
    #[must_use]
    pub fn tokens(&self) -> i64 {
        self.usage.unwrap_or(self.event_count)
    }

    /// Returns whether the stream ended with `[DONE]`; always true for a non-streamed answer.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        !self.is_stream || self.has_end_marker
    }

    fn new(is_stream: bool) -> Self {
        Self {
            lines: LinesCodec::new_with_max_length(MAX_LINE_BYTES),
            pending: BytesMut::new(),
            is_stream,
            has_end_marker: false,
            event_count: 0,
            usage: None,
        }
    }

    fn process_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data:") else {
            return;
        };
        let data = data.trim();
        if data == "[DONE]" {
            self.has_end_marker = true;
            return;
        }
        match parse_usage(data.as_bytes()) {
            Some(usage) => self.usage = Some(usage),
            None => self.event_count += 1,
        }
    }
}

/// Returns the total usage that an engine reports in a JSON document, in tokens.
///
/// Returns `None` if the usage is absent or implausible.
fn parse_usage(bytes: &[u8]) -> Option<i64> {
    // Most events carry no usage, so a search of the text avoids parsing them as JSON.
    let has_usage = bytes.windows(7).any(|window| window == b"\"usage\"");
    if !has_usage {
        return None;
    }
    let value: Value = serde_json::from_slice(bytes).ok()?;
    value["usage"]["total_tokens"]
        .as_i64()
        .filter(|tokens| (0..=MAX_USAGE_TOKENS).contains(tokens))
}
