/// Default ratio of retries to first attempts, in percent.
const DEFAULT_RATIO_PERCENT: u32 = 10;

/// Default number of retries that may be saved up, all available at the start.
const DEFAULT_RESERVE: u32 = 10;

/// Units that a retry costs; a first attempt earns as many units as the ratio has percent.
const UNITS_PER_RETRY: u64 = 100;

/// Token bucket that limits retries to a ratio of first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    units: u64,
    limit: u64,
    ratio_percent: u32,
}

impl RetryBudget {
    /// Returns a builder with a ratio of 10 percent and a reserve of 10 retries.
    #[must_use]
    pub fn builder() -> BudgetBuilder {
        BudgetBuilder::default()
    }

    /// Records a first attempt, which earns part of a retry.
    pub fn deposit(&mut self) {
        self.units = (self.units + u64::from(self.ratio_percent)).min(self.limit);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.units < UNITS_PER_RETRY {
            return false;
        }
        self.units -= UNITS_PER_RETRY;
        true
    }
}

/// Builder of a [`RetryBudget`].
#[derive(Debug, Clone, Copy)]
pub struct BudgetBuilder {
    ratio_percent: u32,
    reserve: u32,
}

impl BudgetBuilder {
    /// Sets the ratio of retries to first attempts, in percent.
    #[must_use]
    pub const fn ratio_percent(mut self, percent: u32) -> Self {
        self.ratio_percent = percent;
        self
    }

    /// Sets how many retries may be saved up; the budget starts with all of them.
    #[must_use]
    pub const fn reserve(mut self, retries: u32) -> Self {
        self.reserve = retries;
        self
    }

    /// Returns the budget with a full reserve.
    #[must_use]
    pub fn build(self) -> RetryBudget {
        let limit = u64::from(self.reserve) * UNITS_PER_RETRY;
        RetryBudget {
            units: limit,
            limit,
            ratio_percent: self.ratio_percent,
        }
    }
}

impl Default for BudgetBuilder {
    fn default() -> Self {
        Self {
            ratio_percent: DEFAULT_RATIO_PERCENT,
            reserve: DEFAULT_RESERVE,
        }
    }
}
