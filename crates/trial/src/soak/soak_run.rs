use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;

use super::fault_plan::{FaultPlan, FaultStep};
use super::soak_bed::{ProcessSlot, SoakBed};
use super::soak_callers::{CallRecord, CallerDesk, start_callers};
use super::soak_judge::{Broken, LEAVE_TIME, SoakEvidence, judge};
use crate::shared_state::lock;

/// Time after the last fault in which everything recovers: the longest patience of a caller, and
/// what a router needs to read the store and to find desks again.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time in which nothing disturbs and every request is to be served.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Longest wait for processes that were told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two looks at faults and processes.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// What one soak is to do.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of faults and requests.
    pub seed: u64,
    /// For how long faults come.
    pub length: Duration,
    /// Program that holds the product's code.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// What one soak has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of faults and requests.
    pub seed: u64,
    /// The faults.
    pub plan: FaultPlan,
    /// Requests by status; zero stands for none.
    pub statuses: SortedMap<u16, usize>,
    /// Requests that endpoints ran.
    pub runs: usize,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
}

/// Runs one soak.
///
/// # Errors
///
/// Fails if a process, an address or a file cannot be had.
pub fn run_soak(options: &SoakOptions) -> io::Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)?;
    let plan = FaultPlan::draw(options.seed, options.length);
    let mut bed = SoakBed::start(&options.program, &options.folder)?;
    let desk = Arc::new(CallerDesk {
        records: Mutex::default(),
        token: AtomicU64::new(bed.token()),
        is_over: AtomicBool::new(false),
    });
    let callers = start_callers(&desk, &bed.callers(), options.seed);
    let result = disturb(&mut bed, &plan, options.length, &desk)
        .and_then(|()| recover(&mut bed))
        .and_then(|()| observe_calm(&mut bed));
    desk.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked leaves its records.
        let _ = caller.join();
    }
    let (calm_from, drained) = result?;
    std::thread::sleep(LEAVE_TIME);
    let evidence = collect(&bed, &desk, calm_from, drained);
    let mut statuses = SortedMap::new();
    for call in &evidence.calls {
        *statuses.get_or_insert_with(status(call), || 0) += 1;
    }
    Ok(SoakReport {
        seed: options.seed,
        plan,
        statuses,
        runs: evidence.runs.len(),
        broken: judge(&evidence),
    })
}

/// Plays the faults of a plan.
fn disturb(
    bed: &mut SoakBed,
    plan: &FaultPlan,
    length: Duration,
    desk: &CallerDesk,
) -> io::Result<()> {
    let start = Instant::now();
    let mut waiting: Vec<FaultStep> = plan.steps.iter().rev().copied().collect();
    let mut open: Vec<FaultStep> = Vec::new();
    while !(waiting.is_empty() && open.is_empty()) || start.elapsed() < length {
        let now = start.elapsed();
        while waiting.last().is_some_and(|step| step.at <= now) {
            if let Some(step) = waiting.pop() {
                bed.begin(&step);
                desk.token.store(bed.token(), Ordering::SeqCst);
                open.push(step);
            }
        }
        let (over, rest): (Vec<_>, Vec<_>) = open
            .into_iter()
            .partition(|step| step.at + step.span <= now);
        open = rest;
        for step in over {
            bed.end(&step)?;
        }
        bed.look_after()?;
        std::thread::sleep(LOOK_PAUSE);
    }
    Ok(())
}

/// Waits until what was stopped is back.
fn recover(bed: &mut SoakBed) -> io::Result<()> {
    let until = Instant::now() + STOP_LIMIT;
    while bed.is_stopping() && Instant::now() < until {
        bed.look_after()?;
        std::thread::sleep(LOOK_PAUSE);
    }
    let settled = Instant::now() + SETTLE_TIME;
    while Instant::now() < settled || !bed.routers.iter().all(ProcessSlot::is_ready) {
        bed.look_after()?;
        if Instant::now() > settled + STOP_LIMIT {
            return Err(io::Error::other("a router does not become ready again"));
        }
        std::thread::sleep(LOOK_PAUSE);
    }
    Ok(())
}

/// Time from which nothing disturbed, and the endpoint that left since.
type CalmTime = (Instant, (String, Instant));

/// Lets callers go on while nothing disturbs; one endpoint leaves.
fn observe_calm(bed: &mut SoakBed) -> io::Result<CalmTime> {
    let calm = Instant::now();
    let leaving = FaultPlan::ENDPOINTS - 1;
    bed.list_endpoint(leaving, "draining");
    let drained = (bed.endpoints[leaving].id.clone(), Instant::now());
    while calm.elapsed() < CALM_TIME {
        bed.look_after()?;
        std::thread::sleep(LOOK_PAUSE);
    }
    Ok((calm, drained))
}

fn collect(
    bed: &SoakBed,
    desk: &CallerDesk,
    calm_from: Instant,
    drained: (String, Instant),
) -> SoakEvidence {
    let runs = bed.endpoints.iter().flat_map(|endpoint| {
        let runs = endpoint.run_records().into_iter();
        runs.map(|run| (endpoint.id.clone(), run))
    });
    SoakEvidence {
        calls: std::mem::take(&mut lock(&desk.records)),
        runs: runs.collect(),
        left: bed
            .endpoints
            .iter()
            .flat_map(|endpoint| endpoint.abandoned_requests())
            .collect(),
        revoked: bed.revoked.clone(),
        calm_from: Some(calm_from),
        drained: Some(drained),
        ended: bed.ended.clone(),
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
                "every promise kept".to_owned()
            } else {
                format!("{} times broken", self.broken.len())
            }
        )?;
        for broken in &self.broken {
            write!(formatter, "\n  {broken}")?;
        }
        Ok(())
    }
}
