use std::time::Duration;

use super::lag_meter::LagMeter;
use crate::collect::SortedMap;
use crate::id::CustomerId;
use crate::time::ClockTime;

/// Factors by which the admitted fraction of requests shrinks with each reading during an overload: at first,
/// and below [`SLOW_FRACTION`].
const DECREASES: (f64, f64) = (0.6, 0.95);

/// Fraction of requests below which it shrinks slowly, as work that was admitted before keeps the host busy for
/// a second or two.
const SLOW_FRACTION: f64 = 0.4;

/// Fraction of requests by which the admitted part grows with each reading after it.
const INCREASE: f64 = 0.1;

/// Least fraction of requests that is admitted.
const MIN_FRACTION: f64 = 0.05;

/// Timer lag below which an overload is over; a CPU quota stops a process for about as long.
const RELAXED_LAG: Duration = Duration::from_millis(100);

/// Half-life of the requests that a customer's demand is computed from.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);

/// Demand below which a customer is forgotten, in requests.
const MIN_DEMAND: f64 = 0.1;

/// Decides which requests a router admits while its host cannot keep up.
///
/// Refusing all requests would leave the customers whose callers reach this host without any service until it
/// has caught up. The host admits what it can serve instead, and every customer up to the same rate: the
/// ones that ask for most are refused first.
#[derive(Debug, Clone)]
pub struct HostAdmission {
    meter: LagMeter,
    /// Fraction of the arriving requests that is admitted.
    fraction: f64,
    /// Largest demand that is admitted in full; applies while `fraction` is below one.
    level: f64,
    demands: SortedMap<CustomerId, CustomerDemand>,
}

/// Recent requests of one customer at this router.
#[derive(Debug, Clone, Copy)]
struct CustomerDemand {
    /// Number of requests as of `at`, decayed with [`DEMAND_HALF_LIFE`].
    requests: f64,
    at: ClockTime,
    /// Part of a request that is admitted but not used yet.
    credit: f64,
}

impl Default for HostAdmission {
    fn default() -> Self {
        Self {
            meter: LagMeter::default(),
            fraction: 1.0,
            level: 0.0,
            demands: SortedMap::new(),
        }
    }
}

impl CustomerDemand {
    fn requests_at(&self, now: ClockTime) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.requests * 0.5_f64.powf(half_lives)
    }
}

impl HostAdmission {
    /// Records how late a timer fired.
    pub fn record(&mut self, lag: Duration, now: ClockTime) {
        self.meter.record(lag, now);
        if self.meter.is_behind() {
            let decrease = if self.fraction > SLOW_FRACTION {
                DECREASES.0
            } else {
                DECREASES.1
            };
            self.fraction = (self.fraction * decrease).max(MIN_FRACTION);
        } else if lag < RELAXED_LAG {
            self.fraction = (self.fraction + INCREASE).min(1.0);
        }
        self.demands
            .retain(|_, demand| demand.requests_at(now) >= MIN_DEMAND);
        if self.is_limited() {
            let demands = self.demands.values();
            let demands = demands.map(|demand| demand.requests_at(now));
            self.level = fill_level(demands.collect(), self.fraction);
        }
    }

    /// Counts a request that arrives, and returns whether it is admitted.
    pub fn admits(&mut self, customer: CustomerId, now: ClockTime) -> bool {
        let entry = self
            .demands
            .get_or_insert_with(customer, || CustomerDemand {
                requests: 0.0,
                at: now,
                credit: 0.0,
            });
        entry.requests = entry.requests_at(now) + 1.0;
        entry.at = now;
        if self.fraction >= 1.0 {
            return true;
        }
        entry.credit += (self.level / entry.requests).min(1.0);
        let is_admitted = entry.credit >= 1.0;
        if is_admitted {
            entry.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns whether some requests are refused as the host cannot keep up.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.fraction < 1.0
    }

    /// Returns the fraction of the arriving requests that is admitted.
    #[must_use]
    pub const fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Returns whether new callers should go to other hosts: during an overload and shortly after.
    #[must_use]
    pub fn is_recovering(&self, now: ClockTime) -> bool {
        self.meter.is_recovering(now)
    }
}

/// Returns the demand up to which each customer is served if `fraction` of all demand is.
fn fill_level(mut demands: Vec<f64>, fraction: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let total: f64 = demands.iter().sum();
    let mut left = total * fraction;
    let mut customers = demands.len();
    for demand in demands {
        let even = left / customers as f64;
        if demand >= even {
            return even;
        }
        left -= demand;
        customers -= 1;
    }
    f64::MAX
}
