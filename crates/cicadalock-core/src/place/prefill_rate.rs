use std::time::Duration;

use crate::serving::PromptShape;

/// Rate assumed before the first measurement, in tokens per millisecond.
const DEFAULT_RATE: f64 = 80.0;

/// Lowest and highest plausible rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (2.0, 2_000.0);

/// Number of measurements from which the rate is estimated.
const MEASUREMENTS: usize = 16;

/// Quantile of the measured rates that is taken.
///
/// A prompt part that was assumed to be cached and is not, or a request that reaches its endpoint late, makes an
/// endpoint look slow. The opposite, a part that only other routers know to be cached, is rarer.
const RATE_QUANTILE: f64 = 0.7;

/// Least work, in tokens without context, from which the rate of an idle endpoint is measured.
///
/// With less work, generating the first token takes as long as the prefill.
const MIN_MEASURED_WORK: f64 = 1_500.0;

/// Least work from which the rate of a saturated endpoint is measured.
///
/// Requests whose prefill ends in the same step of the engine seem to take no time; a step usually
/// prefills less than half of this.
const MIN_SATURATED_WORK: f64 = 12_000.0;

/// Tokens of context at which attention costs as much as the rest of a token's prefill.
///
/// Depends on the model's shape; 40,000 holds within a factor of two for large dense models.
const ATTENTION_CONTEXT: f64 = 40_000.0;

/// Prefill work of one request, and the time that the endpoint took for it after the one before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillMeasure {
    /// Prefill work, in tokens without context.
    pub tokens: f64,
    /// Time that it took.
    pub took: Duration,
    /// Whether the request was waiting when the one before was done.
    pub is_saturated: bool,
}

/// Prefill rate of an endpoint, estimated from the times at which prefills end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    per_milli: f64,
    /// The last measured rates in tokens per millisecond, a ring, and the number of measurements.
    measured: [f64; MEASUREMENTS],
    count: usize,
    /// Work and time of a saturated endpoint since the last measurement.
    saturated: (f64, Duration),
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
            measured: [0.0; MEASUREMENTS],
            count: 0,
            saturated: (0.0, Duration::ZERO),
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
        Duration::from_secs_f64(work / self.tokens_per_milli() / 1_000.0)
    }

    /// Updates the estimate.
    pub fn observe(&mut self, measure: &PrefillMeasure) {
        if !measure.is_saturated {
            if measure.tokens >= MIN_MEASURED_WORK {
                self.record(measure.tokens, measure.took);
            }
            return;
        }
        self.saturated.0 += measure.tokens;
        self.saturated.1 += measure.took;
        if self.saturated.0 >= MIN_SATURATED_WORK {
            let (tokens, took) = std::mem::take(&mut self.saturated);
            self.record(tokens, took);
        }
    }

    fn record(&mut self, tokens: f64, took: Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if millis <= 0.0 {
            return;
        }
        self.measured[self.count % MEASUREMENTS] =
            (tokens / millis).clamp(RATE_RANGE.0, RATE_RANGE.1);
        self.count += 1;
        let mut rates = self.measured;
        let rates = &mut rates[..self.count.min(MEASUREMENTS)];
        rates.sort_by(f64::total_cmp);
        self.per_milli = rates[((rates.len() - 1) as f64 * RATE_QUANTILE).round() as usize];
    }
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self::from_tokens_per_milli(DEFAULT_RATE)
    }
}
