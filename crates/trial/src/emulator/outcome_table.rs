use std::fmt;
use std::path::Path;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::time::ClockTime;
use plotters::prelude::*;

use super::load_draw::DrawnCall;
use super::load_file::{EngineSettings, LoadFile};
use crate::report::percentile;

/// Length of the windows in which credit is reckoned.
const CREDIT_WINDOW: Duration = Duration::from_secs(2);

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// When its caller first sent it.
    pub sent: ClockTime,
    /// When its first event came.
    pub first: Option<ClockTime>,
    last: Option<ClockTime>,
    /// Longest pause between two events.
    pub pause: Duration,
    /// All events came.
    pub is_complete: bool,
    /// Its caller left when its time was over.
    pub left: bool,
    /// Its caller was told to come back, and did not.
    pub is_refused: bool,
    /// Times that it was refused.
    pub refusals: u32,
}

/// How requests of one kind, customer or window ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeRow {
    /// Requests.
    pub asked: usize,
    /// Whole answers on time.
    pub timely: usize,
    /// Whole answers that were late.
    pub late: usize,
    /// Refused requests.
    pub refused: usize,
    /// Credit owed and earned.
    pub credit: (f64, f64),
}

/// What the callers of a load got.
#[derive(Debug, Clone, PartialEq)]
pub struct OutcomeTable {
    /// By kind, in the order of the load.
    pub kinds: Vec<(String, OutcomeRow)>,
    /// By customer.
    pub customers: SortedMap<usize, OutcomeRow>,
    /// By window.
    pub windows: SortedMap<u64, OutcomeRow>,
    /// Median and 99th percentile of the time to the first event, by kind.
    pub first_event_times: Vec<(Duration, Duration)>,
    /// Prompt tokens read, and found kept.
    pub prefilled_and_cached: (u64, u64),
    /// Greatest part of the credit that the engines' time allows, whoever decides.
    pub ceiling: f64,
}

impl CallOutcome {
    pub(super) const fn new(sent: ClockTime) -> Self {
        Self {
            sent,
            first: None,
            last: None,
            pause: Duration::ZERO,
            is_complete: false,
            left: false,
            is_refused: false,
            refusals: 0,
        }
    }

    pub(super) const fn is_ended(&self) -> bool {
        self.is_complete || self.left || self.is_refused
    }

    pub(super) fn record_event(&mut self, now: ClockTime, is_last: bool) {
        if let Some(last) = self.last {
            self.pause = self.pause.max(now.since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.is_complete = is_last;
    }
}

impl OutcomeRow {
    /// Part of the credit that was earned.
    #[must_use]
    pub fn credit_ratio(&self) -> f64 {
        self.credit.1 / self.credit.0.max(f64::MIN_POSITIVE)
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.timely += other.timely;
        self.late += other.late;
        self.refused += other.refused;
        self.credit.0 += other.credit.0;
        self.credit.1 += other.credit.1;
    }
}

impl OutcomeTable {
    pub(super) fn new(
        load: &LoadFile,
        calls: &[DrawnCall],
        outcomes: Vec<CallOutcome>,
        prefilled_and_cached: (u64, u64),
    ) -> Self {
        let names = load.kinds.iter().map(|kind| kind.name.clone());
        let mut kinds: Vec<(String, OutcomeRow)> =
            names.map(|name| (name, OutcomeRow::default())).collect();
        let (mut customers, mut windows) = (SortedMap::new(), SortedMap::new());
        let mut first_times: Vec<Vec<Duration>> = vec![Vec::new(); kinds.len()];
        for (call, outcome) in calls.iter().zip(&outcomes) {
            let row = outcome_row(load, call, outcome);
            kinds[call.kind].1.add(&row);
            let customer = customers.get_or_insert_with(call.customer, OutcomeRow::default);
            customer.add(&row);
            let window = (call.at.as_millis() / CREDIT_WINDOW.as_millis()) as u64;
            windows
                .get_or_insert_with(window, OutcomeRow::default)
                .add(&row);
            let first = outcome.first.map(|first| first.since(outcome.sent));
            first_times[call.kind].extend(first);
        }
        Self {
            kinds,
            customers,
            windows,
            first_event_times: first_times.into_iter().map(percentiles).collect(),
            prefilled_and_cached,
            ceiling: ceiling(load, calls),
        }
    }

    /// Part of all credit that was earned.
    #[must_use]
    pub fn credit_ratio(&self) -> f64 {
        let mut all = OutcomeRow::default();
        for (_, row) in &self.kinds {
            all.add(row);
        }
        all.credit_ratio()
    }

    /// The worst customer's part.
    #[must_use]
    pub fn worst_customer(&self) -> f64 {
        let parts = self.customers.values().map(OutcomeRow::credit_ratio);
        parts.fold(1.0, f64::min)
    }
}

fn outcome_row(load: &LoadFile, call: &DrawnCall, outcome: &CallOutcome) -> OutcomeRow {
    let kind = &load.kinds[call.kind];
    let first = outcome.first.map(|first| first.since(outcome.sent));
    let is_timely = outcome.is_complete
        && outcome.pause <= kind.pause()
        && first.is_some_and(|first| first <= kind.objective());
    let is_late = outcome.is_complete && !is_timely;
    let earned = match (is_timely, is_late) {
        (true, _) => kind.worth,
        (_, true) => kind.late_worth,
        _ => 0.0,
    };
    OutcomeRow {
        asked: 1,
        timely: usize::from(is_timely),
        late: usize::from(is_late),
        refused: usize::from(outcome.is_refused),
        credit: (kind.worth * call.size, earned * call.size),
    }
}

fn percentiles(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (percentile(&times, 0.5), percentile(&times, 0.99))
}

/// Part of the credit that fits the engines' time: the requests with the greatest credit for it
/// first, each shared text read once, batches always full, nothing ever waiting or wasted.
///
/// No decision can earn more; most of the difference to what is earned is that requests come when
/// they come and that each has an objective.
fn ceiling(load: &LoadFile, calls: &[DrawnCall]) -> f64 {
    let mut seen: SortedMap<u64, ()> = SortedMap::new();
    let mut candidates: Vec<(f64, f64)> = Vec::new();
    for call in calls {
        let shared = call.prompt.shared().first();
        let is_new = shared.is_some_and(|part| seen.insert(part.id, ()).is_none());
        let credit = load.kinds[call.kind].worth * call.size;
        candidates.push((credit, min_engine_time(&load.engine, call, is_new)));
    }
    candidates.sort_by(|left, right| (right.0 / right.1).total_cmp(&(left.0 / left.1)));
    let owed: f64 = candidates.iter().map(|(credit, _)| credit).sum();
    let span = calls.last().map_or(Duration::ZERO, |call| call.at);
    let mut left = span.as_secs_f64() * 1e6 * load.fleet.engines as f64;
    let mut earned = 0.0;
    for (credit, micros) in candidates {
        let part = (left / micros).clamp(0.0, 1.0);
        earned += credit * part;
        left -= micros * part;
    }
    earned / owed.max(f64::MIN_POSITIVE)
}

/// Least engine time of a request in a full batch, in microseconds.
fn min_engine_time(engine: &EngineSettings, call: &DrawnCall, prefills_shared: bool) -> f64 {
    let total = f64::from(call.prompt.tokens());
    let own = f64::from(call.prompt.own_tokens());
    let read = if prefills_shared { total } else { own };
    let pairs = read * (total - read / 2.0);
    let token = engine.step_us / f64::from(engine.slots)
        + engine.step_us_per_request
        + engine.step_us_per_context_k * total / 1e3;
    read / engine.read_per_ms * 1e3
        + engine.read_us_per_pair_m * pairs / 1e6
        + f64::from(call.output) * token
}

impl fmt::Display for OutcomeTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<12} {:>7} {:>7} {:>7} {:>8} {:>7} {:>9} {:>9}",
            "kind", "asked", "timely", "late", "refused", "credit", "first p50", "first p99"
        )?;
        for ((name, row), (median, slow)) in self.kinds.iter().zip(&self.first_event_times) {
            writeln!(
                formatter,
                "{name:<12} {:>7} {:>7} {:>7} {:>8} {:>7.3} {:>6} ms {:>6} ms",
                row.asked,
                row.timely,
                row.late,
                row.refused,
                row.credit_ratio(),
                median.as_millis(),
                slow.as_millis()
            )?;
        }
        let worst_window = self
            .windows
            .values()
            .map(OutcomeRow::credit_ratio)
            .fold(1.0, f64::min);
        writeln!(
            formatter,
            "credit {:.3} of a ceiling of {:.3}; worst customer {:.3}, worst window {:.3}",
            self.credit_ratio(),
            self.ceiling,
            self.worst_customer(),
            worst_window
        )?;
        let (read, kept) = self.prefilled_and_cached;
        write!(formatter, "{read} prompt tokens read, {kept} found kept")
    }
}

/// Draws the credit of each window into an SVG file.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot_outcomes(table: &OutcomeTable, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let step = CREDIT_WINDOW.as_secs_f64();
    let last = table.windows.keys().last().map_or(1, |window| window + 1);
    let mut chart = ChartBuilder::on(&area)
        .caption("credit earned by time of arrival", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..last as f64 * step, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("part of the credit owed")
        .draw()?;
    let points = table
        .windows
        .iter()
        .map(|(window, row)| (*window as f64 * step, row.credit_ratio()));
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}
