use crate::collect::SortedMap;
use crate::id::{CustomerId, KindId};

/// Weight of the newest observation in the exponential moving average.
const LEARNING_RATE: f64 = 0.1;

/// Expected costs of requests, learned from finished requests of the same customer and kind.
///
/// ```
/// use cicadalock_core::fair::CostEstimates;
/// use cicadalock_core::id::{CustomerId, KindId};
///
/// let (customer, kind) = (CustomerId::new(1), KindId::new(1));
/// let mut estimates = CostEstimates::new();
/// estimates.set_prior(kind, 100.0);
/// assert_eq!(estimates.expect(customer, kind), 100.0);
/// for _ in 0..100 {
///     estimates.observe(customer, kind, 10.0);
/// }
/// assert!(estimates.expect(customer, kind) < 11.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CostEstimates {
    priors: SortedMap<KindId, f64>,
    learned: SortedMap<(CustomerId, KindId), f64>,
}

impl CostEstimates {
    /// Creates estimates without priors; every request is expected to cost one unit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the expected cost of `kind` for customers of which no request has finished yet.
    pub fn set_prior(&mut self, kind: KindId, cost: f64) {
        self.priors.insert(kind, cost);
    }

    /// Removes the learned costs of customers and kinds for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(CustomerId, KindId) -> bool) {
        self.learned
            .retain(|(customer, kind), _| keep(*customer, *kind));
    }

    /// Expected cost of the next request in cost units, at least one.
    #[must_use]
    pub fn expect(&self, customer: CustomerId, kind: KindId) -> f64 {
        let learned = self.learned.get(&(customer, kind));
        let prior = self.priors.get(&kind);
        learned.or(prior).copied().unwrap_or(1.0).max(1.0)
    }

    /// Updates the estimate with the cost of a finished request.
    pub fn observe(&mut self, customer: CustomerId, kind: KindId, cost: f64) {
        let expected = self.expect(customer, kind);
        let updated = expected + LEARNING_RATE * (cost - expected);
        self.learned.insert((customer, kind), updated);
    }
}
