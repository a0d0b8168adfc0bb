use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

/// Parts of a prompt that are read; longer lists are refused.
const MAX_PARTS: usize = 64;

/// A part of a prompt that other prompts may begin with too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Number of the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Size of a prompt and of the answer that it may have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub input: u32,
    /// Greatest number of tokens of the answer.
    pub output_limit: u32,
    /// The caller's estimate of the answer's tokens.
    pub output_hint: Option<u32>,
    /// Parts in order; the last one is the request's or session's own.
    pub parts: Vec<PromptPart>,
}

/// Why the parts of a prompt cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ShapeError {
    /// Not `ID:TOKENS` with a hexadecimal number.
    #[snafu(display("`{text}` is not a hexadecimal id and a number of tokens"))]
    BadPart {
        /// The part.
        text: String,
    },
    /// More parts than are read.
    #[snafu(display("more than {MAX_PARTS} parts"))]
    TooMany,
}

impl PromptShape {
    /// Tokens that a reader without any kept part reads.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        let parts = self.parts.iter().map(|part| part.tokens);
        self.input.max(parts.fold(0, u32::saturating_add))
    }

    /// Tokens of the answer that are to be expected.
    #[must_use]
    pub fn expected_output(&self) -> u32 {
        let limit = self.output_limit;
        self.output_hint
            .map_or(limit, |hint| hint.min(limit.max(1)))
    }

    /// The parts that other requests share.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// Tokens beyond the shared parts.
    #[must_use]
    pub fn own_tokens(&self) -> u32 {
        let shared = self.shared().iter().map(|part| part.tokens);
        self.tokens()
            .saturating_sub(shared.fold(0, u32::saturating_add))
    }

    /// Cost in the fleet's unit: a token read counts once, a token generated twice.
    #[must_use]
    pub fn cost(&self) -> u64 {
        u64::from(self.tokens()) + 2 * u64::from(self.expected_output())
    }
}

impl FromStr for PromptPart {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, tokens) = text.trim().split_once(':').context(BadPartSnafu { text })?;
        let id = u64::from_str_radix(id, 16).ok();
        let tokens = tokens.parse().ok();
        Ok(Self {
            id: id.context(BadPartSnafu { text })?,
            tokens: tokens.context(BadPartSnafu { text })?,
        })
    }
}

impl PromptShape {
    /// Reads a comma-separated list of parts.
    ///
    /// # Errors
    ///
    /// Fails if a part is not `ID:TOKENS` or there are too many.
    pub fn parse_parts(text: &str) -> Result<Vec<PromptPart>, ShapeError> {
        let parts: Vec<PromptPart> = text.split(',').map(str::parse).collect::<Result<_, _>>()?;
        ensure!(parts.len() <= MAX_PARTS, TooManySnafu);
        Ok(parts)
    }
}
