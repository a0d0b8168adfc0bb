use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// Trace and span IDs of a hop, as carried in a `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    trace: u128,
    span: u64,
    flags: u8,
}

/// Error of parsing a malformed `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("malformed traceparent header"))]
pub struct ContextError;

impl TraceContext {
    /// Returns the root span of a new trace with random IDs and the sampled flag set.
    #[must_use]
    pub fn begin() -> Self {
        Self {
            trace: rand::random::<u128>().max(1),
            span: rand::random::<u64>().max(1),
            flags: 1,
        }
    }

    /// Returns a child span of this one with a random ID.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            span: rand::random::<u64>().max(1),
            ..*self
        }
    }

    /// Returns the trace ID, which is never zero.
    #[must_use]
    pub const fn trace(&self) -> u128 {
        self.trace
    }

    /// Returns the span ID, which is never zero.
    #[must_use]
    pub const fn span(&self) -> u64 {
        self.span
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace, self.span, self.flags
        )
    }
}

impl FromStr for TraceContext {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.trim().split('-');
        let mut next = |length: usize| {
            parts
                .next()
                .filter(|part| part.len() == length && part.is_ascii())
                .ok_or(ContextError)
        };
        let (version, trace, span, flags) = (next(2)?, next(32)?, next(16)?, next(2)?);
        let hex = |text: &str| u128::from_str_radix(text, 16).or(Err(ContextError));
        let (trace, span) = (hex(trace)?, hex(span)? as u64);
        if version == "ff" || trace == 0 || span == 0 {
            return Err(ContextError);
        }
        let flags = hex(flags)? as u8;
        Ok(Self { trace, span, flags })
    }
}
