use std::fmt;
use std::path::Path;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::PartId;
use cicadalock_core::time::ClockTime;
use plotters::prelude::*;

use super::load_draw::DrawnCall;
use super::load_file::{EngineSettings, LoadFile};
use super::share_check::{ShareBreach, compare_shares};
use crate::report::percentile;

/// Length of the windows over which credit is summed.
const CREDIT_WINDOW: Duration = Duration::from_secs(2);

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// How one request went, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// Time at which the caller first sent the request.
    pub sent: ClockTime,
    /// Time at which an engine began to answer, as seen by its router.
    pub begun_at: Option<ClockTime>,
    /// Time of the first event, if any arrived.
    pub first_event_at: Option<ClockTime>,
    last_event_at: Option<ClockTime>,
    /// Longest gap between two events so far.
    pub longest_gap: Duration,
    /// Whether the last event arrived.
    pub is_complete: bool,
    /// Whether the caller cancelled the request at its deadline.
    pub is_expired: bool,
    /// Whether the request was refused and the caller does not retry.
    pub is_refused: bool,
    /// Number of refusals.
    pub refusals: u32,
    /// Times of the refusals.
    pub refused_at: Vec<ClockTime>,
    /// Time at which the caller had the last event, gave up or was refused for good.
    pub ended_at: Option<ClockTime>,
}

/// Counts and credit of the requests of one kind, customer or window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeRow {
    /// Number of requests.
    pub asked: usize,
    /// Number of complete answers within all limits for full credit.
    pub timely: usize,
    /// Number of complete answers that missed a limit for full credit.
    pub late: usize,
    /// Number of requests that were refused and not retried.
    pub refused: usize,
    /// Credit available and earned.
    pub credit: (f64, f64),
}

/// Results of an emulated load.
#[derive(Debug, Clone, PartialEq)]
pub struct OutcomeTable {
    /// Name and results of each kind, in the order of the load file.
    pub kinds: Vec<(String, OutcomeRow)>,
    /// Results by number of the customer; customers without requests are absent.
    pub customers: SortedMap<usize, OutcomeRow>,
    /// Results by window of arrival, counted from 0; windows without requests are absent.
    pub windows: SortedMap<u64, OutcomeRow>,
    /// Median and 99th percentile of the time to the first event, in the order of `kinds`.
    pub first_event_times: Vec<(Duration, Duration)>,
    /// Prompt tokens prefilled, and taken from prefix caches.
    pub prefilled_and_cached: (u64, u64),
    /// Upper bound of the ratio of earned to available credit, for any scheduling decisions.
    pub ceiling: f64,
    /// Customers that got less than their share, by window.
    pub share_breaches: Vec<ShareBreach>,
    /// Least ratio of what a backlogged customer got in six seconds to what it asked or the best served one
    /// got, whichever is less.
    pub least_share: f64,
}

impl CallOutcome {
    pub(super) const fn new(sent: ClockTime) -> Self {
        Self {
            sent,
            begun_at: None,
            first_event_at: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            is_complete: false,
            is_expired: false,
            is_refused: false,
            refusals: 0,
            refused_at: Vec::new(),
            ended_at: None,
        }
    }

    pub(super) const fn is_ended(&self) -> bool {
        self.is_complete || self.is_expired || self.is_refused
    }

    pub(super) fn record_event(&mut self, now: ClockTime, is_last: bool) {
        if let Some(last) = self.last_event_at {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
        self.is_complete = is_last;
        if is_last {
            self.ended_at = Some(now);
        }
    }
}

impl OutcomeRow {
    /// Returns the ratio of earned to available credit, 0 if none was available.
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
        start: ClockTime,
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
            let first = outcome
                .first_event_at
                .map(|first| first.since(outcome.sent));
            first_times[call.kind].extend(first);
        }
        let shares = compare_shares(load, calls, &outcomes, start);
        Self {
            kinds,
            customers,
            windows,
            first_event_times: first_times.into_iter().map(percentiles).collect(),
            prefilled_and_cached,
            ceiling: ceiling(load, calls),
            share_breaches: shares.breaches,
            least_share: shares.least_share,
        }
    }

    /// Returns the ratio of earned to available credit of all requests.
    #[must_use]
    pub fn credit_ratio(&self) -> f64 {
        let mut all = OutcomeRow::default();
        for (_, row) in &self.kinds {
            all.add(row);
        }
        all.credit_ratio()
    }

    /// Returns the lowest ratio of earned to available credit among customers.
    #[must_use]
    pub fn worst_customer(&self) -> f64 {
        let ratios = self.customers.values().map(OutcomeRow::credit_ratio);
        ratios.fold(1.0, f64::min)
    }
}

fn outcome_row(load: &LoadFile, call: &DrawnCall, outcome: &CallOutcome) -> OutcomeRow {
    let kind = &load.kinds[call.kind];
    let first = outcome
        .first_event_at
        .map(|first| first.since(outcome.sent));
    let is_timely = outcome.is_complete
        && outcome.longest_gap <= kind.pause()
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

/// Returns an upper bound of the credit ratio that the engines' time allows.
///
/// Serves the requests with the most credit per engine time first, and assumes that each shared
/// text is prefilled once, that batches are always full, and that no engine is idle or does work in
/// vain. No scheduling can earn more. Most of the gap to the earned credit comes from the arrival
/// times and objectives of requests, which the bound ignores.
fn ceiling(load: &LoadFile, calls: &[DrawnCall]) -> f64 {
    let mut seen: SortedMap<PartId, ()> = SortedMap::new();
    let mut candidates: Vec<(f64, f64)> = Vec::new();
    for call in calls {
        let shared = call.prompt.shared().first();
        let is_new = shared.is_some_and(|part| seen.insert(part.id, ()).is_none());
        let credit = load.kinds[call.kind].worth * call.size;
        candidates.push((credit, min_engine_time(&load.engine, call, is_new)));
    }
    candidates.sort_by(|left, right| (right.0 / right.1).total_cmp(&(left.0 / left.1)));
    let available: f64 = candidates.iter().map(|(credit, _)| credit).sum();
    let span = calls.last().map_or(Duration::ZERO, |call| call.at);
    let mut time_left = span.as_secs_f64() * 1e6 * load.fleet.engines as f64;
    let mut earned = 0.0;
    for (credit, micros) in candidates {
        let served = (time_left / micros).clamp(0.0, 1.0);
        earned += credit * served;
        time_left -= micros * served;
    }
    earned / available.max(f64::MIN_POSITIVE)
}

/// Returns the least engine time that a request takes in a full batch, in microseconds.
fn min_engine_time(engine: &EngineSettings, call: &DrawnCall, prefills_shared: bool) -> f64 {
    let total = f64::from(call.prompt.tokens());
    let own = f64::from(call.prompt.own_tokens());
    let prefilled = if prefills_shared { total } else { own };
    let attention_pairs = prefilled * (total - prefilled / 2.0);
    let token_time = engine.step_us / f64::from(engine.slots)
        + engine.step_us_per_request
        + engine.step_us_per_context_k * total / 1e3;
    prefilled / engine.read_per_ms * 1e3
        + engine.read_us_per_pair_m * attention_pairs / 1e6
        + f64::from(call.output) * token_time
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
            "credit {:.3} of a ceiling of {:.3}; worst customer {:.3}, worst window {:.3}, least share {:.2}",
            self.credit_ratio(),
            self.ceiling,
            self.worst_customer(),
            worst_window,
            self.least_share
        )?;
        for breach in &self.share_breaches {
            writeln!(formatter, "share missed: {breach}")?;
        }
        let (prefilled, cached) = self.prefilled_and_cached;
        write!(
            formatter,
            "{prefilled} prompt tokens prefilled, {cached} taken from prefix caches"
        )
    }
}

/// Plots the credit ratio of each window in an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
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
        .y_desc("earned / available credit")
        .draw()?;
    let points = table
        .windows
        .iter()
        .map(|(window, row)| (*window as f64 * step, row.credit_ratio()));
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}
