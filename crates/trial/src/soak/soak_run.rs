use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;

use super::fault_plan::{FaultPlan, FaultStep, SoakSize};
use super::guarantees::{CANCEL_GRACE, GuaranteeViolation, SoakEvidence, find_violations};
use super::soak_callers::{CallRecord, CallerShared, start_callers};
use super::soak_testbed::{ManagedProcess, SoakTestbed};
use crate::shared_state::lock;

/// Time allowed for recovery after the last fault: the longest read timeout of a caller, plus the
/// time that a router needs to read the store and to find desks again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Duration of the period without faults in which every request must be served.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Timeout for stopped processes to exit and for routers to become ready again.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which faults and processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Violations of one guarantee that a report shows; it counts the others.
const SHOWN_VIOLATIONS: usize = 8;

/// Options of one soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Period in which faults begin.
    pub length: Duration,
    /// Numbers of processes and stand-ins.
    pub size: SoakSize,
    /// Whether parts that crash engines come with lookups that crash applications.
    pub has_crashing_lookups: bool,
    /// Trial binary, which starts the routers and desks with its `cicadalock` subcommand.
    pub program: PathBuf,
    /// Folder for the settings and logs of the processes; created if missing.
    pub folder: PathBuf,
}

/// Result of one soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// The faults that were injected.
    pub plan: FaultPlan,
    /// Number of requests by HTTP status; status 0 counts requests without a response.
    pub statuses: SortedMap<u16, usize>,
    /// Number of runs at all endpoints.
    pub runs: usize,
    /// Violations of the guarantees.
    pub broken: Vec<GuaranteeViolation>,
}

/// Runs one soak and checks the guarantees.
///
/// # Errors
///
/// Fails if a process cannot be started, an address cannot be bound or a file cannot be written, or
/// if the routers do not become ready in time.
pub fn run_soak(options: &SoakOptions) -> io::Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)?;
    let plan = FaultPlan::draw(options.seed, options.length, options.size);
    let mut testbed = SoakTestbed::start(&options.program, &options.folder, options.size)?;
    testbed.has_crashing_lookups = options.has_crashing_lookups;
    let shared = Arc::new(CallerShared {
        records: Mutex::default(),
        token: AtomicU64::new(testbed.token()),
        crash_part: AtomicU64::new(0),
        has_crashing_lookups: options.has_crashing_lookups,
        should_stop: AtomicBool::new(false),
    });
    let callers = start_callers(&shared, &testbed.callers(), options.seed);
    let result = inject_faults(&mut testbed, &plan, options.length, &shared)
        .and_then(|()| wait_for_recovery(&mut testbed))
        .and_then(|()| observe_fault_free(&mut testbed));
    shared.should_stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // The records of a caller that panicked are kept.
        let _ = caller.join();
    }
    let fault_free_from = result?;
    std::thread::sleep(CANCEL_GRACE);
    let evidence = collect_evidence(&testbed, &shared, fault_free_from);
    let mut statuses = SortedMap::new();
    for call in &evidence.calls {
        *statuses.get_or_insert_with(status(call), || 0) += 1;
    }
    Ok(SoakReport {
        seed: options.seed,
        plan,
        statuses,
        runs: evidence.runs.len(),
        broken: find_violations(&evidence),
    })
}

/// Injects the faults of a plan at their times and ends them again.
fn inject_faults(
    testbed: &mut SoakTestbed,
    plan: &FaultPlan,
    length: Duration,
    shared: &CallerShared,
) -> io::Result<()> {
    let start = Instant::now();
    let mut pending: Vec<FaultStep> = plan.steps.iter().rev().copied().collect();
    let mut active: Vec<FaultStep> = Vec::new();
    while !(pending.is_empty() && active.is_empty()) || start.elapsed() < length {
        let now = start.elapsed();
        while pending.last().is_some_and(|step| step.at <= now) {
            if let Some(step) = pending.pop() {
                testbed.begin(&step);
                let crash_part = testbed.crash_part();
                shared.crash_part.store(crash_part, Ordering::SeqCst);
                active.push(step);
            }
        }
        let (expired, rest): (Vec<_>, Vec<_>) = active
            .into_iter()
            .partition(|step| step.at + step.span <= now);
        active = rest;
        for step in expired {
            testbed.end(&step)?;
        }
        // A change of the token may have waited for the store.
        shared.token.store(testbed.token(), Ordering::SeqCst);
        testbed.poll()?;
        std::thread::sleep(POLL_INTERVAL);
    }
    shared.crash_part.store(0, Ordering::SeqCst);
    testbed.end_news();
    Ok(())
}

/// Waits until stopped processes run again and routers are ready.
fn wait_for_recovery(testbed: &mut SoakTestbed) -> io::Result<()> {
    let until = Instant::now() + STOP_TIMEOUT;
    while testbed.is_stopping() && Instant::now() < until {
        testbed.poll()?;
        std::thread::sleep(POLL_INTERVAL);
    }
    let recovered_at = Instant::now() + RECOVERY_TIME;
    while Instant::now() < recovered_at || !testbed.routers.iter().all(ManagedProcess::is_ready) {
        testbed.poll()?;
        if Instant::now() > recovered_at + STOP_TIMEOUT {
            return Err(io::Error::other(
                "a router did not become ready again after the faults",
            ));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Lets callers continue for [`FAULT_FREE_TIME`] without faults, with one endpoint draining.
///
/// Returns the start of that period.
fn observe_fault_free(testbed: &mut SoakTestbed) -> io::Result<Instant> {
    let start = Instant::now();
    testbed.begin_departure(testbed.endpoints.len() - 1, Some("draining"));
    while start.elapsed() < FAULT_FREE_TIME {
        testbed.poll()?;
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(start)
}

fn collect_evidence(
    testbed: &SoakTestbed,
    shared: &CallerShared,
    fault_free_from: Instant,
) -> SoakEvidence {
    let runs = testbed.endpoints.iter().flat_map(|endpoint| {
        let runs = endpoint.run_records().into_iter();
        runs.map(|run| (endpoint.id.clone(), run))
    });
    let crashes = testbed.endpoints.iter().flat_map(|endpoint| {
        let crashes = endpoint.crashes().into_iter();
        crashes.map(|at| (endpoint.id.clone(), at))
    });
    SoakEvidence {
        calls: std::mem::take(&mut lock(&shared.records)),
        runs: runs.collect(),
        cancelled: testbed
            .endpoints
            .iter()
            .flat_map(|endpoint| endpoint.abandoned_requests())
            .collect(),
        revoked: testbed.revoked.clone(),
        fault_free_from: Some(fault_free_from),
        departures: testbed.departures.clone(),
        disturbances: testbed.disturbances.clone(),
        unexpected_exits: testbed.unexpected_exits.clone(),
        desks: testbed.desk_count(),
        endpoints: testbed
            .endpoints
            .iter()
            .map(|endpoint| endpoint.id.clone())
            .collect(),
        limits: testbed.limits.clone(),
        crashes: crashes.collect(),
        tokens: testbed.tokens.clone(),
        silences: testbed.silences.clone(),
        starts: testbed.starts.clone(),
        stops: testbed.stops.clone(),
    }
}

fn status(call: &CallRecord) -> u16 {
    call.answer.as_ref().map_or(0, |answer| answer.status)
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let statuses = self.statuses.iter();
        let statuses: Vec<String> = statuses
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        write!(
            formatter,
            "seed {}: {} faults, {} runs; answers {}; {}",
            self.seed,
            self.plan.steps.len(),
            self.runs,
            statuses.join(", "),
            if self.broken.is_empty() {
                "every guarantee held".to_owned()
            } else {
                format!("guarantees broken {} times", self.broken.len())
            }
        )?;
        let mut counts = SortedMap::new();
        for violation in &self.broken {
            let count = counts.get_or_insert_with(violation.guarantee, || 0);
            *count += 1;
            if *count <= SHOWN_VIOLATIONS {
                write!(formatter, "\n  {violation}")?;
            }
        }
        for (guarantee, count) in counts
            .iter()
            .filter(|(_, count)| **count > SHOWN_VIOLATIONS)
        {
            write!(formatter, "\n  {guarantee}: broken {count} times")?;
        }
        Ok(())
    }
}
