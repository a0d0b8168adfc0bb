use std::fmt;
use std::time::Duration;

use cicadalock_standins::CrashStyle;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::ProxyFault;

/// Ways in which a crash shows. After a quiet end between two events, a stream looks complete.
const CRASH_STYLES: [CrashStyle; 5] = [
    CrashStyle::NoHead,
    CrashStyle::Reset,
    CrashStyle::CutInEvent,
    CrashStyle::EarlyEnd,
    CrashStyle::QuietCutInEvent,
];

/// Time from the start of one fault to the start of the next, in milliseconds. Most faults last
/// longer, so faults overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..700;

/// Duration of a fault, in milliseconds. The upper end exceeds every silence timeout between
/// processes.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..2_600;

/// Time from the start of one named limit or crashing part to the start of the next, in milliseconds.
const NEWS_INTERVAL_MS: std::ops::Range<u64> = 400..2_500;

/// Duration of a named limit, in milliseconds. Most last longer than the contact time.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 1_000..7_000;

/// Named limits, in tenths of a request per second.
const LIMIT_TENTHS: std::ops::Range<u32> = 2..150;

/// Seed offset of what endpoints tell, so that it does not change the other faults of a seed.
const NEWS_SEED: u64 = 0x6e65_7773;

/// Seed offset of the silences of endpoints.
const SILENCE_SEED: u64 = 0x7175_6965;

/// Time from the start of one silence to the start of the next, and duration, in milliseconds.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 400..2_400;
const SILENCE_DURATION_MS: std::ops::Range<u64> = 300..3_000;

/// Seed offset of restores of the store and of the faults beside them.
const RESTORE_SEED: u64 = 0x6f6c_6465;

/// Time from the end of one restore to the start of the next that does not follow it at once, in
/// milliseconds.
const RESTORE_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_500;

/// Time for which the store is away, age of its copy, and time until the operator writes again, in
/// milliseconds.
const RESTORE_DURATION_MS: std::ops::Range<u64> = 100..1_200;
const COPY_AGE_MS: std::ops::Range<u64> = 500..5_000;
const REWRITE_DELAY_MS: std::ops::Range<u64> = 100..2_000;

/// A link that passes through a [`FaultProxy`](crate::proxy::FaultProxy).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakLink {
    /// From callers to the router with this index.
    Callers(usize),
    /// From the router with this index to the configuration store.
    Store(usize),
    /// From routers to the endpoint with this index.
    Endpoint(usize),
    /// From routers to the desk with this index.
    Desk(usize),
}

/// A process of the system under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakProcess {
    /// The router with this index.
    Router(usize),
    /// The desk with this index.
    Desk(usize),
}

/// Endpoints that fall silent at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentGroup {
    /// The endpoint with this index.
    One(usize),
    /// Those with an even index, or with an odd one.
    EveryOther {
        /// Whether the index is odd.
        is_odd: bool,
    },
    /// All endpoints.
    All,
}

impl SilentGroup {
    /// Returns whether the endpoint with this index is one of them.
    #[must_use]
    pub const fn contains(self, index: usize) -> bool {
        match self {
            Self::One(one) => one == index,
            Self::EveryOther { is_odd } => is_odd != index.is_multiple_of(2),
            Self::All => true,
        }
    }
}

/// A fault that a soak injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// Suspends a process for the duration of the fault.
    Freeze(SoakProcess),
    /// Kills a process and starts it again at the end of the fault.
    Kill(SoakProcess),
    /// Asks a process to stop and starts it again as soon as it has exited.
    Stop(SoakProcess),
    /// Asks the router with this index to reload its settings.
    Reload(usize),
    /// Delays or holds back the bytes of a link, or refuses its new connections.
    Impair(SoakLink, ProxyFault),
    /// Closes every open connection of a link.
    Cut(SoakLink),
    /// Makes the store respond with status 503 to every request.
    StoreRefuses,
    /// Makes the store drop its change history up to the current revision.
    StoreForgets,
    /// Publishes a configuration that revokes the current token and adds a new one.
    ChangeTokens,
    /// Removes the entries of all endpoints while the store refuses every request; the endpoints
    /// write them again after its end.
    StoreLapse,
    /// Lists the endpoint with this index as draining, and as started again at the end of the fault.
    Drain(usize),
    /// Removes the entry of the endpoint with this index without notice, and lists it as started
    /// again at the end of the fault.
    Leave(usize),
    /// Makes one part of prompts crash every endpoint that begins to answer a request with it, until
    /// all faults are over.
    CrashPart(CrashStyle),
    /// Makes the endpoint with this index name a limit, in tenths of a request per second.
    NameLimit(usize, u32),
    /// Makes endpoints send nothing for the duration of the fault, and then go on.
    Silence(SilentGroup),
    /// Makes the store refuse every request and come back from a copy.
    StoreRestores {
        /// Age of the copy at the end of the fault.
        age: Duration,
        /// Time from then until the operator writes again what was lost.
        rewrite_delay: Duration,
    },
}

/// Numbers of the processes and stand-ins of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakSize {
    /// Number of routers.
    pub routers: usize,
    /// Number of endpoints. The first of them have desks.
    pub endpoints: usize,
    /// Number of endpoints that have a desk.
    pub desks: usize,
}

/// A fault with its start time and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStep {
    /// Start of the fault, relative to the start of the load.
    pub at: Duration,
    /// Duration of the fault.
    pub span: Duration,
    /// The fault to inject.
    pub fault: SoakFault,
}

/// The faults of one soak, ordered by start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// Faults in the order in which they begin.
    pub steps: Vec<FaultStep>,
}

impl SoakSize {
    /// Returns the size with `scale` times the processes of the smallest soak.
    #[must_use]
    pub const fn scaled(scale: usize) -> Self {
        Self {
            routers: 3 * scale,
            endpoints: 6 * scale,
            desks: 3 * scale,
        }
    }
}

impl FaultPlan {
    /// Draws faults that begin within `length`. The same seed and size give the same plan.
    ///
    /// The number of faults grows with the size.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, size: SoakSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let scale = (size.routers / SoakSize::scaled(1).routers).max(1) as u32;
        let mut steps: Vec<FaultStep> = Vec::new();
        let mut at = Duration::from_millis(300);
        while at < length {
            let span = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            // One fault in four repeats the previous one, so that some come in series.
            let previous = steps.last().map(|step| step.fault);
            let fault = previous
                .filter(|_| rng.random_range(0..4) == 0)
                .unwrap_or_else(|| draw_fault(&mut rng, size));
            steps.push(FaultStep { at, span, fault });
            // One fault in four begins together with the next one.
            if rng.random_range(0..4) > 0 {
                at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS)) / scale;
            }
        }
        steps.extend(draw_news(seed, length, size));
        steps.extend(draw_silences(seed, length, size));
        steps.extend(draw_restores(seed, length, size));
        steps.sort_by_key(|step| step.at);
        Self { steps }
    }
}

/// Draws the limits that endpoints name and the parts that crash them.
fn draw_news(seed: u64, length: Duration, size: SoakSize) -> Vec<FaultStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ NEWS_SEED);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(NEWS_INTERVAL_MS));
    while at < length {
        let fault = if rng.random_range(0..3) == 0 {
            SoakFault::CrashPart(CRASH_STYLES[rng.random_range(0..CRASH_STYLES.len())])
        } else {
            let endpoint = rng.random_range(0..size.endpoints);
            SoakFault::NameLimit(endpoint, rng.random_range(LIMIT_TENTHS))
        };
        let span = Duration::from_millis(rng.random_range(LIMIT_DURATION_MS));
        steps.push(FaultStep { at, span, fault });
        at += Duration::from_millis(rng.random_range(NEWS_INTERVAL_MS));
    }
    steps
}

fn draw_silences(seed: u64, length: Duration, size: SoakSize) -> Vec<FaultStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ SILENCE_SEED);
    let mut steps = Vec::new();
    let mut at = draw_time(&mut rng, SILENCE_INTERVAL_MS);
    while at < length {
        let group = match rng.random_range(0..6) {
            0 => SilentGroup::All,
            1 => SilentGroup::EveryOther {
                is_odd: rng.random_range(0..2) > 0,
            },
            _ => SilentGroup::One(rng.random_range(0..size.endpoints)),
        };
        steps.push(FaultStep {
            at,
            span: draw_time(&mut rng, SILENCE_DURATION_MS),
            fault: SoakFault::Silence(group),
        });
        at += draw_time(&mut rng, SILENCE_INTERVAL_MS);
    }
    steps
}

/// Draws restores of the store, one in three followed by a second one, and faults beside them.
fn draw_restores(seed: u64, length: Duration, size: SoakSize) -> Vec<FaultStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut steps = Vec::new();
    let mut at = draw_time(&mut rng, RESTORE_INTERVAL_MS);
    while at < length {
        let span = draw_time(&mut rng, RESTORE_DURATION_MS);
        let age = draw_time(&mut rng, COPY_AGE_MS);
        let restore = SoakFault::StoreRestores {
            age,
            rewrite_delay: draw_time(&mut rng, REWRITE_DELAY_MS),
        };
        let back_at = at + span;
        let lost_from = back_at.saturating_sub(age);
        steps.push(FaultStep {
            at,
            span,
            fault: restore,
        });
        let lost_at = lost_from + (back_at - lost_from).mul_f64(rng.random_range(0.1..0.9));
        let change_at = match rng.random_range(0..4) {
            0 => None,
            1 => Some(back_at + draw_time(&mut rng, REWRITE_DELAY_MS)),
            _ => Some(lost_at),
        };
        steps.extend(change_at.map(|at| FaultStep {
            at,
            span: Duration::ZERO,
            fault: SoakFault::ChangeTokens,
        }));
        steps.push(FaultStep {
            at: at.saturating_sub(draw_time(&mut rng, RESTORE_DURATION_MS)),
            span: span + draw_time(&mut rng, FAULT_DURATION_MS),
            fault: draw_fault_beside_restore(&mut rng, size),
        });
        if rng.random_range(0..2) == 0 {
            let endpoint = rng.random_range(0..size.endpoints);
            let faults = [SoakFault::Leave(endpoint), SoakFault::Drain(endpoint)];
            steps.push(FaultStep {
                at: lost_at,
                span: draw_time(&mut rng, LIMIT_DURATION_MS),
                fault: faults[rng.random_range(0..faults.len())],
            });
        }
        let pause = if rng.random_range(0..3) == 0 {
            REWRITE_DELAY_MS
        } else {
            RESTORE_INTERVAL_MS
        };
        at = back_at + draw_time(&mut rng, pause);
    }
    steps
}

/// Draws what happens to a router while the store comes back.
fn draw_fault_beside_restore(rng: &mut StdRng, size: SoakSize) -> SoakFault {
    let router = rng.random_range(0..size.routers);
    let process = SoakProcess::Router(router);
    match rng.random_range(0..6) {
        0 => SoakFault::Freeze(process),
        1..3 => SoakFault::Kill(process),
        3 => SoakFault::Stop(process),
        4 => SoakFault::Cut(SoakLink::Store(router)),
        _ => SoakFault::Impair(SoakLink::Store(router), draw_impairment(rng)),
    }
}

fn draw_time(rng: &mut StdRng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}

fn draw_fault(rng: &mut StdRng, size: SoakSize) -> SoakFault {
    let process = if rng.random_range(0..3) > 0 {
        SoakProcess::Router(rng.random_range(0..size.routers))
    } else {
        SoakProcess::Desk(rng.random_range(0..size.desks))
    };
    let link = match rng.random_range(0..4) {
        0 => SoakLink::Callers(rng.random_range(0..size.routers)),
        1 => SoakLink::Store(rng.random_range(0..size.routers)),
        2 => SoakLink::Endpoint(rng.random_range(0..size.endpoints)),
        _ => SoakLink::Desk(rng.random_range(0..size.desks)),
    };
    let endpoint = rng.random_range(0..size.endpoints);
    match rng.random_range(0..18) {
        0 => SoakFault::Freeze(process),
        1 => SoakFault::Kill(process),
        2 => SoakFault::Stop(process),
        3 => SoakFault::Reload(rng.random_range(0..size.routers)),
        4 => SoakFault::Cut(link),
        5 => SoakFault::StoreRefuses,
        6 => SoakFault::StoreForgets,
        7 => SoakFault::ChangeTokens,
        8 => SoakFault::StoreLapse,
        9..11 => SoakFault::Drain(endpoint),
        11..14 => SoakFault::Leave(endpoint),
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
