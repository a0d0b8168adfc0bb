use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::CustomerId;
use crate::time::ClockTime;

/// Time in which what a customer received loses half of its weight.
///
/// Half of the four seconds over which customers' shares are reckoned.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Remembered cost below this is forgotten.
const NEGLIGIBLE_COST: f64 = 1.0;

/// What each customer received lately, in cost units that fade.
#[derive(Debug, Clone, Default)]
pub struct CustomerMeter {
    costs: SortedMap<CustomerId, f64>,
    faded: ClockTime,
}

impl CustomerMeter {
    /// Charges a customer.
    pub fn charge(&mut self, customer: CustomerId, cost: f64, now: ClockTime) {
        self.fade(now);
        *self.costs.get_or_insert_with(customer, || 0.0) += cost;
    }

    /// What a customer received lately.
    #[must_use]
    pub fn received(&self, customer: CustomerId) -> f64 {
        self.costs.get(&customer).copied().unwrap_or(0.0)
    }

    fn fade(&mut self, now: ClockTime) {
        let passed = now.since(self.faded);
        self.faded = self.faded.max(now);
        let factor = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.costs.retain(|_, cost| {
            *cost *= factor;
            *cost >= NEGLIGIBLE_COST
        });
    }
}
