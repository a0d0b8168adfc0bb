use crate::collect::SortedMap;
use crate::id::CustomerId;

/// Largest number of customers in one report, those that asked for most first.
const REPORT_CUSTOMERS: usize = 24;

/// Where a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalStage {
    /// At the router, which could not keep up, before any endpoint was chosen.
    Host,
    /// At the router, before any desk was asked.
    Router,
    /// At the desk, on arrival: the line before it is too long.
    Arrival,
    /// At the desk, in line: its latest useful start passed.
    Line,
}

/// What the requests of one customer asked for at a router in one period, in cost units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CustomerShare {
    /// Cost of the requests that arrived.
    pub asked: u64,
    /// Cost of the attempts that were started.
    pub started: u64,
    /// Cost of the refused requests, by [`RefusalStage`] in the order of its variants.
    pub refused: [u64; 4],
}

/// Counts what the customers of a router asked for, got and were refused.
#[derive(Debug, Clone, Default)]
pub(super) struct CustomerTally {
    shares: SortedMap<CustomerId, CustomerShare>,
    has_refusals: bool,
}

impl RefusalStage {
    /// Returns the stage of a refusal by a desk.
    pub(super) const fn at_desk(is_overdue: bool) -> Self {
        if is_overdue {
            Self::Line
        } else {
            Self::Arrival
        }
    }

    /// Returns a stable short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Router => "router",
            Self::Arrival => "arrival",
            Self::Line => "line",
        }
    }
}

impl CustomerTally {
    pub(super) fn record_asked(&mut self, customer: CustomerId, cost: u64) {
        self.share(customer).asked += cost;
    }

    pub(super) fn record_started(&mut self, customer: CustomerId, cost: u64) {
        self.share(customer).started += cost;
    }

    pub(super) fn record_refused(&mut self, customer: CustomerId, cost: u64, stage: RefusalStage) {
        self.has_refusals = true;
        self.share(customer).refused[stage as usize] += cost;
    }

    /// Begins a new period; returns what the customers got in the last one if any request was refused.
    pub(super) fn take(&mut self) -> Vec<(CustomerId, CustomerShare)> {
        let shares = std::mem::take(&mut self.shares);
        if !std::mem::take(&mut self.has_refusals) {
            return Vec::new();
        }
        let mut shares: Vec<_> = shares.iter().map(|(id, share)| (*id, *share)).collect();
        shares.sort_by_key(|(_, share)| std::cmp::Reverse(share.asked));
        shares.truncate(REPORT_CUSTOMERS);
        shares
    }

    fn share(&mut self, customer: CustomerId) -> &mut CustomerShare {
        self.shares
            .get_or_insert_with(customer, CustomerShare::default)
    }
}
