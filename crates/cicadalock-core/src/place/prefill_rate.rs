use std::time::Duration;

use crate::serving::PromptShape;

/// Rate assumed before the first measurement, in tokens per millisecond.
const DEFAULT_RATE: f64 = 80.0;

/// Lowest and highest plausible rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (2.0, 2_000.0);

/// Weight of a new measurement in the moving average.
const SMOOTHING_WEIGHT: f64 = 0.1;

/// Least work, in tokens without context, from which the rate is measured.
///
/// With less work, generating the first token takes as long as the prefill.
const MIN_MEASURED_WORK: f64 = 1_500.0;

/// Tokens of context at which attention costs as much as the rest of a token's prefill.
///
/// Depends on the model's shape; 40,000 holds within a factor of two for large dense models.
const ATTENTION_CONTEXT: f64 = 40_000.0;

/// Prefill rate of an endpoint, estimated from prompts that were prefilled alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    per_milli: f64,
}

impl PrefillRate {
    /// Creates a rate from tokens per millisecond, clamped to the plausible range.
    ///
    /// A value that is not finite gives the default rate.
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

    /// Returns the rate in tokens per millisecond.
    #[must_use]
    pub const fn tokens_per_milli(&self) -> f64 {
        self.per_milli
    }

    /// Returns the prefill work of a prompt of which `kept` tokens are cached.
    ///
    /// The unit is the work of one token without context.
    #[must_use]
    pub fn work(prompt: &PromptShape, kept: u32) -> f64 {
        let total = f64::from(prompt.tokens());
        let uncached = (total - f64::from(kept)).max(0.0);
        let context = total - uncached / 2.0;
        uncached * (1.0 + context / ATTENTION_CONTEXT)
    }

    /// Returns the expected prefill time of `work`.
    #[must_use]
    pub fn time(&self, work: f64) -> Duration {
        Duration::from_secs_f64(work / self.per_milli / 1_000.0)
    }

    /// Updates the estimate with the prefill time of a prompt that was prefilled alone.
    pub fn observe(&mut self, work: f64, took: Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if work < MIN_MEASURED_WORK || millis <= 0.0 {
            return;
        }
        let measured = (work / millis).clamp(RATE_RANGE.0, RATE_RANGE.1);
        self.per_milli += (measured - self.per_milli) * SMOOTHING_WEIGHT;
    }
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            per_milli: DEFAULT_RATE,
        }
    }
}
