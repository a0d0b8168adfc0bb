/// Default share of retries in first attempts, in percent.
const DEFAULT_RATIO_PERCENT: u32 = 10;

/// Default number of retries allowed before any first attempt.
const DEFAULT_RESERVE: u32 = 10;

/// A retry costs as much as this many units; a first attempt earns the ratio in percent.
const UNITS_PER_RETRY: u64 = 100;

/// Keeps retries a small part of first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    units: u64,
    limit: u64,
    ratio_percent: u32,
}

impl RetryBudget {
    /// Starts the construction of a budget.
    #[must_use]
    pub fn builder() -> BudgetBuilder {
        BudgetBuilder::default()
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.units = (self.units + u64::from(self.ratio_percent)).min(self.limit);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if self.units < UNITS_PER_RETRY {
            return false;
        }
        self.units -= UNITS_PER_RETRY;
        true
    }
}

/// Collects the settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy)]
pub struct BudgetBuilder {
    ratio_percent: u32,
    reserve: u32,
}

impl BudgetBuilder {
    /// Sets the share of retries in first attempts, in percent.
    #[must_use]
    pub const fn ratio_percent(mut self, percent: u32) -> Self {
        self.ratio_percent = percent;
        self
    }

    /// Sets how many retries may be saved up.
    #[must_use]
    pub const fn reserve(mut self, retries: u32) -> Self {
        self.reserve = retries;
        self
    }

    /// Builds the budget with a full reserve.
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
