use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::ProxyFault;

/// Pause before the next fault begins, in milliseconds; most faults last longer, so they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..700;

/// How long a fault lasts, in milliseconds: beyond every silence that processes judge each other by.
const SPAN_MS: std::ops::Range<u64> = 150..2_600;

/// Where bytes pass a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakLink {
    /// Callers to a router.
    Callers(usize),
    /// A router to the store.
    Store(usize),
    /// Routers to an endpoint.
    Endpoint(usize),
    /// Routers to a desk.
    Desk(usize),
}

/// A process of the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakProcess {
    /// A router.
    Router(usize),
    /// A desk.
    Desk(usize),
}

/// One kind of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// A process stands still for the fault's time.
    Freeze(SoakProcess),
    /// A process is killed and starts again after the fault's time.
    Kill(SoakProcess),
    /// A process is told to stop and starts again when it has ended.
    Stop(SoakProcess),
    /// A router is told that its settings changed.
    Reload(usize),
    /// A link delays, holds back or refuses.
    Impair(SoakLink, ProxyFault),
    /// Every open connection of a link is cut.
    Cut(SoakLink),
    /// The store answers 503.
    StoreRefuses,
    /// The store forgets its history.
    StoreForgets,
    /// A new configuration takes a token away and adds another.
    ChangeTokens,
    /// An endpoint leaves and comes back after the fault's time.
    Drain(usize),
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStep {
    /// Since the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What happens.
    pub fault: SoakFault,
}

/// The faults of one soak, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// The steps.
    pub steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Routers of a soak.
    pub const ROUTERS: usize = 3;

    /// Endpoints of a soak: the first half has desks.
    pub const ENDPOINTS: usize = 6;

    /// Endpoints with a desk beside them.
    pub const DESKS: usize = 3;

    /// Draws the faults of `length`.
    #[must_use]
    pub fn draw(seed: u64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(300);
        while at < length {
            let span = Duration::from_millis(rng.random_range(SPAN_MS));
            let fault = draw_fault(&mut rng);
            steps.push(FaultStep { at, span, fault });
            // Some come at the same moment.
            if rng.random_range(0..4) > 0 {
                at += Duration::from_millis(rng.random_range(PAUSE_MS));
            }
        }
        Self { steps }
    }
}

fn draw_fault(rng: &mut StdRng) -> SoakFault {
    let process = if rng.random_range(0..3) > 0 {
        SoakProcess::Router(rng.random_range(0..FaultPlan::ROUTERS))
    } else {
        SoakProcess::Desk(rng.random_range(0..FaultPlan::DESKS))
    };
    let link = match rng.random_range(0..4) {
        0 => SoakLink::Callers(rng.random_range(0..FaultPlan::ROUTERS)),
        1 => SoakLink::Store(rng.random_range(0..FaultPlan::ROUTERS)),
        2 => SoakLink::Endpoint(rng.random_range(0..FaultPlan::ENDPOINTS)),
        _ => SoakLink::Desk(rng.random_range(0..FaultPlan::DESKS)),
    };
    match rng.random_range(0..12) {
        0 => SoakFault::Freeze(process),
        1 => SoakFault::Kill(process),
        2 => SoakFault::Stop(process),
        3 => SoakFault::Reload(rng.random_range(0..FaultPlan::ROUTERS)),
        4 => SoakFault::Cut(link),
        5 => SoakFault::StoreRefuses,
        6 => SoakFault::StoreForgets,
        7 => SoakFault::ChangeTokens,
        8 => SoakFault::Drain(rng.random_range(0..FaultPlan::ENDPOINTS)),
        _ => SoakFault::Impair(link, draw_impairment(rng)),
    }
}

fn draw_impairment(rng: &mut StdRng) -> ProxyFault {
    let mut fault = ProxyFault::default();
    match rng.random_range(0..5) {
        0 => fault.delay = Duration::from_millis(rng.random_range(5..400)),
        1 => fault.holds_forward = true,
        2 => fault.holds_backward = true,
        3 => (fault.holds_forward, fault.holds_backward) = (true, true),
        _ => fault.refuses = true,
    }
    fault
}

impl fmt::Display for FaultStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, span) = (self.at.as_secs_f64(), self.span.as_secs_f64());
        write!(formatter, "{at:.3} s, for {span:.3} s: {:?}", self.fault)
    }
}
