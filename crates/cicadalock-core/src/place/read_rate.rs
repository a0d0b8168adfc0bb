use std::time::Duration;

use crate::serving::PromptShape;

/// Rate assumed before anything is measured, in tokens a millisecond.
const DEFAULT_RATE: f64 = 80.0;

/// Bounds on what is learnt, in tokens a millisecond.
const RATE_RANGE: (f64, f64) = (2.0, 2_000.0);

/// Weight of a new measurement.
const SMOOTHING_WEIGHT: f64 = 0.1;

/// Prompts with less to read say nothing of the rate: the first token costs as much.
const MIN_MEASURED_WORK: f64 = 1_500.0;

/// Tokens of context at which attention costs as much as everything else of a token's reading.
///
/// A property of the model's shape; 40,000 holds within a factor of two for large dense models.
const ATTENTION_CONTEXT: f64 = 40_000.0;

/// How fast a service's endpoints read prompts, learnt from prompts that met no other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadRate {
    per_milli: f64,
}

impl ReadRate {
    /// A rate of so many tokens a millisecond, kept within what is plausible.
    #[must_use]
    pub fn from_tokens_per_milli(per_milli: f64) -> Self {
        let per_milli = if per_milli.is_finite() {
            per_milli
        } else {
            DEFAULT_RATE
        };
        Self {
            per_milli: per_milli.clamp(RATE_RANGE.0, RATE_RANGE.1),
        }
    }

    /// Tokens a millisecond.
    #[must_use]
    pub const fn tokens_per_milli(&self) -> f64 {
        self.per_milli
    }

    /// Work to read a prompt of which `kept` tokens need not be read, in tokens without context.
    #[must_use]
    pub fn work(prompt: &PromptShape, kept: u32) -> f64 {
        let total = f64::from(prompt.tokens());
        let unread = (total - f64::from(kept)).max(0.0);
        let context = total - unread / 2.0;
        unread * (1.0 + context / ATTENTION_CONTEXT)
    }

    /// Expected time for `work`.
    #[must_use]
    pub fn time(&self, work: f64) -> Duration {
        Duration::from_secs_f64(work / self.per_milli / 1_000.0)
    }

    /// Takes in how long a prompt took that was read alone.
    pub fn observe(&mut self, work: f64, took: Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if work < MIN_MEASURED_WORK || millis <= 0.0 {
            return;
        }
        let seen = (work / millis).clamp(RATE_RANGE.0, RATE_RANGE.1);
        self.per_milli += (seen - self.per_milli) * SMOOTHING_WEIGHT;
    }
}

impl Default for ReadRate {
    fn default() -> Self {
        Self {
            per_milli: DEFAULT_RATE,
        }
    }
}
