use bytes::BytesMut;
use serde_json::Value;
use tokio_util::codec::{Decoder, LinesCodec};

/// Longest line of an event stream that is looked at, in bytes.
const LINE_LIMIT: usize = 256 * 1024;

/// Longest answer in one piece whose usage is looked at, in bytes.
const WHOLE_LIMIT: usize = 1024 * 1024;

/// Greatest usage that is believed, in tokens.
const USAGE_LIMIT: i64 = 1_000_000_000;

/// Counts the tokens of a completion and notes whether its stream ended as it should.
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
    is_done: bool,
    streamed: i64,
    usage: Option<i64>,
}

impl TokenMeter {
    /// Creates a meter for a stream of server-sent events.
    #[must_use]
    pub fn for_stream() -> Self {
        Self::new(true)
    }

    /// Creates a meter for an answer in one piece.
    #[must_use]
    pub fn for_whole() -> Self {
        Self::new(false)
    }

    /// Takes in bytes of the answer.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.is_stream && self.pending.len() + bytes.len() > WHOLE_LIMIT {
            return;
        }
        self.pending.extend_from_slice(bytes);
        while self.is_stream {
            match self.lines.decode(&mut self.pending) {
                Ok(Some(line)) => self.take_line(&line),
                Ok(None) => return,
                // An overlong line is skipped; it counts as one event.
                Err(_) => self.streamed += 1,
            }
        }
    }

    /// Notes the end of the answer.
    pub fn finish(&mut self) {
        if !self.is_stream {
            self.usage = usage_of(&self.pending);
        }
    }

    /// Cost so far: the usage figure of the engine, else the events counted.
    #[must_use]
    pub fn tokens(&self) -> i64 {
        self.usage.unwrap_or(self.streamed)
    }

    /// Tells whether the answer has its own mark of the end.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        !self.is_stream || self.is_done
    }

    fn new(is_stream: bool) -> Self {
        Self {
            lines: LinesCodec::new_with_max_length(LINE_LIMIT),
            pending: BytesMut::new(),
            is_stream,
            is_done: false,
            streamed: 0,
            usage: None,
        }
    }

    fn take_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data:") else {
            return;
        };
        let data = data.trim();
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        match usage_of(data.as_bytes()) {
            Some(usage) => self.usage = Some(usage),
            None => self.streamed += 1,
        }
    }
}

/// The whole usage told by an engine, in tokens.
fn usage_of(bytes: &[u8]) -> Option<i64> {
    // Most events carry no usage, so the text is looked at before it is read as JSON.
    let has_usage = bytes.windows(7).any(|window| window == b"\"usage\"");
    if !has_usage {
        return None;
    }
    let value: Value = serde_json::from_slice(bytes).ok()?;
    value["usage"]["total_tokens"]
        .as_i64()
        .filter(|tokens| (0..=USAGE_LIMIT).contains(tokens))
}
