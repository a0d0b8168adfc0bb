use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

use crate::id::PartId;

/// Maximum number of parts of a prompt; longer lists are rejected.
const MAX_PARTS: usize = 64;

/// A segment of a prompt's prefix that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Token counts of a prompt and of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Number of tokens in the prompt.
    pub input: u32,
    /// Maximum number of tokens in the answer.
    pub output_limit: u32,
    /// The caller's estimate of the number of tokens in the answer.
    pub output_hint: Option<u32>,
    /// Parts in order; the last one belongs to this request or session only.
    pub parts: Vec<PromptPart>,
}

/// Error of parsing the parts of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ShapeError {
    /// A part is not `ID:TOKENS` with a hexadecimal id.
    #[snafu(display("`{text}` is not a hexadecimal id and a number of tokens"))]
    BadPart {
        /// Text of the part.
        text: String,
    },
    /// The list has more parts than allowed.
    #[snafu(display("more than {MAX_PARTS} parts"))]
    TooMany,
}

impl PromptShape {
    /// Number of tokens to prefill if none of the parts is cached.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        let parts = self.parts.iter().map(|part| part.tokens);
        self.input.max(parts.fold(0, u32::saturating_add))
    }

    /// Expected number of tokens in the answer: the caller's estimate, capped at the limit, or the
    /// limit without an estimate.
    #[must_use]
    pub fn expected_output(&self) -> u32 {
        let limit = self.output_limit;
        self.output_hint
            .map_or(limit, |hint| hint.min(limit.max(1)))
    }

    /// Returns the parts that other requests may share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// Number of tokens beyond the shared parts.
    #[must_use]
    pub fn own_tokens(&self) -> u32 {
        let shared = self.shared().iter().map(|part| part.tokens);
        self.tokens()
            .saturating_sub(shared.fold(0, u32::saturating_add))
    }

    /// Cost of the request, in cost units: a prompt token counts once, a generated token twice.
    #[must_use]
    pub fn cost(&self) -> u64 {
        u64::from(self.tokens()) + 2 * u64::from(self.expected_output())
    }
}

impl FromStr for PromptPart {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, tokens) = text.trim().split_once(':').context(BadPartSnafu { text })?;
        let id = id.parse().ok();
        let tokens = tokens.parse().ok();
        Ok(Self {
            id: id.context(BadPartSnafu { text })?,
            tokens: tokens.context(BadPartSnafu { text })?,
        })
    }
}

impl PromptShape {
    /// Parses a comma-separated list of parts.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is not `ID:TOKENS` or there are too many parts.
    pub fn parse_parts(text: &str) -> Result<Vec<PromptPart>, ShapeError> {
        let parts: Vec<PromptPart> = text.split(',').map(str::parse).collect::<Result<_, _>>()?;
        ensure!(parts.len() <= MAX_PARTS, TooManySnafu);
        Ok(parts)
    }
}
