use std::time::Duration;

/// Recent usage of a customer, as far as it is known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CustomerUsage {
    /// Exponentially decayed cost through all routers, in cost units.
    pub received: f64,
    /// Time since the router that contributes most reported its part.
    pub age: Duration,
}

/// Usage of a refused customer beside that of the customer served most.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsageComparison {
    /// Usage of the refused customer.
    pub own: CustomerUsage,
    /// Usage of the customer served most.
    pub best: CustomerUsage,
}
