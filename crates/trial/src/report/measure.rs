use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use serde::Serialize;
use serde_json::Value;

use super::callers::{count_groups, flood_figures, waits};
use super::control::{control_bytes, control_types};
use super::effects::{double_effects, event_figures, example_trace, false_not_run};
use super::fairness::{fairness, gap_series, service_series, utilisation};
use super::uses::role_uses;
use crate::fleet::RunningFleet;
use crate::load::CallRecord;
use crate::scenario::{ScenarioOptions, ScenarioPlan};
use crate::standin::EffectEntry;

/// What an experiment leaves to be measured.
#[derive(Debug)]
pub struct ReportInput {
    /// Name of the experiment.
    pub name: String,
    /// What the user set.
    pub options: ScenarioOptions,
    /// The plan.
    pub plan: ScenarioPlan,
    /// Start of the load, in milliseconds since 1970.
    pub started_ms: u64,
    /// Length of the load.
    pub length: Duration,
    /// Requests as their callers saw them.
    pub records: Vec<CallRecord>,
    /// Traffic counters at the start, by process.
    pub before: SortedMap<String, Value>,
    /// Traffic counters at the end, by process.
    pub after: SortedMap<String, Value>,
    /// Processor time, in seconds, and memory, in bytes, at the start, by process.
    pub use_before: SortedMap<String, (f64, f64)>,
    /// The same at the end.
    pub use_after: SortedMap<String, (f64, f64)>,
    /// Reads at the platform during the load.
    pub reads: u64,
    /// Events and when they happened.
    pub applied: Vec<(Duration, String)>,
    /// Spans of all processes.
    pub spans: Vec<Value>,
}

/// Measures of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct TrialReport {
    /// Name of the experiment.
    pub scenario: String,
    /// How customers were chosen.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Requests by customer and kind.
    pub groups: Vec<GroupCount>,
    /// Service by customer in the measured service, in cost units.
    pub service: Vec<(String, i64)>,
    /// Greatest gap of service over share between backlogged customers, in cost units, in the
    /// first and in the second half of the load.
    pub gap: Option<(f64, f64)>,
    /// Greatest departure of a backlogged customer from its share in the second half, in percent.
    pub share_error_percent: Option<f64>,
    /// Least service of a backlogged customer over the mean in the second half.
    pub least_over_mean: Option<f64>,
    /// Work done over what the endpoints can do, in percent.
    pub utilisation_percent: f64,
    /// Waits of the small customer.
    pub small_wait: Option<WaitFigures>,
    /// Waits of all whole answers.
    pub wait: WaitFigures,
    /// Requests of customers without a part in the flood that were served in time, in it over
    /// before it, in percent.
    pub kept_in_flood_percent: Option<f64>,
    /// Least of the same over customers.
    pub least_kept_percent: Option<f64>,
    /// Control bytes a second and a node, sent and received: mean and greatest.
    pub control_bytes: (f64, f64),
    /// Control traffic by type of message, summed over nodes.
    pub control: Vec<ControlCount>,
    /// Processor time and memory by role.
    pub uses: Vec<RoleUse>,
    /// Reads at the platform a second.
    pub platform_reads: f64,
    /// Keys whose effect was logged more than once.
    pub double_effects: usize,
    /// Requests told as not run whose effect was logged.
    pub false_not_run: usize,
    /// Whole answers that were not those of the request.
    pub foreign_answers: usize,
    /// Events, and the last failure of a caller after each, in seconds.
    pub events: Vec<(f64, String, Option<f64>)>,
    /// Spans of one request, as an example.
    pub example_trace: Vec<Value>,
    /// Cumulative service by customer at each second.
    pub series: Vec<(String, Vec<f64>)>,
    /// Gap at each second.
    pub gap_series: Vec<f64>,
}

/// Requests of one customer's kind, by what their callers were told.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GroupCount {
    /// Name of the customer.
    pub customer: String,
    /// Name of the kind.
    pub kind: String,
    /// Answered whole.
    pub complete: usize,
    /// Told as not run.
    pub not_run: usize,
    /// Told as unknown.
    pub unknown: usize,
    /// Broken off visibly.
    pub broken: usize,
    /// Without a connection.
    pub unreachable: usize,
}

/// Times of whole answers, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct WaitFigures {
    /// Number of answers.
    pub count: usize,
    /// Median time to the first byte.
    pub first_p50: f64,
    /// 95th percentile of the time to the first byte.
    pub first_p95: f64,
    /// 99th percentile of the time to the first byte.
    pub first_p99: f64,
    /// Median time to the end.
    pub total_p50: f64,
    /// 99th percentile of the time to the end.
    pub total_p99: f64,
}

/// What the processes of one role use.
#[derive(Debug, Clone, Serialize)]
pub struct RoleUse {
    /// Router, or sidecar of a service.
    pub role: String,
    /// Number of processes.
    pub count: usize,
    /// Processor time over time: mean and greatest, in percent of a core.
    pub core_percent: (f64, f64),
    /// Resident memory: mean and greatest, in MiB.
    pub memory_mib: (f64, f64),
}

/// Control traffic of one type of message.
#[derive(Debug, Clone, Serialize)]
pub struct ControlCount {
    /// Type of the message.
    pub name: String,
    /// Messages a second, sent by all nodes.
    pub messages: f64,
    /// Bytes a second, sent by all nodes.
    pub bytes: f64,
}

impl ReportInput {
    /// Traffic counters of every process that answers.
    #[must_use]
    pub fn traffic(fleet: &RunningFleet) -> SortedMap<String, Value> {
        let status_addresses = fleet.status_addresses().into_iter();
        status_addresses
            .filter_map(|(name, admin)| Some((name, fleet.status(admin)?["traffic"].take())))
            .collect()
    }
}

impl TrialReport {
    /// Measures an experiment whose endpoints still run.
    #[must_use]
    pub fn measure(input: &ReportInput, fleet: &RunningFleet) -> Self {
        let usage = fleet.usage(&input.plan.service);
        let effects: Vec<EffectEntry> = input
            .plan
            .fleet
            .service_names()
            .iter()
            .flat_map(|name| fleet.effects(name))
            .collect();
        let series = service_series(input, &usage);
        let gap_series = gap_series(&input.plan.backlogged, &series);
        let (gap, share_error, least) = fairness(input, &series, &gap_series);
        let (kept, least_kept) = flood_figures(input);
        let small = input.plan.small.as_ref().map(|name| {
            waits(
                input
                    .records
                    .iter()
                    .filter(|record| input.plan.groups[record.group].customer == *name),
            )
        });
        Self {
            scenario: input.name.clone(),
            policy: input.options.policy.clone(),
            seed: input.options.seed,
            seconds: input.length.as_secs_f64(),
            groups: count_groups(input),
            service: series
                .iter()
                .map(|(name, line)| (name.clone(), line.last().copied().unwrap_or(0.0) as i64))
                .collect(),
            gap,
            share_error_percent: share_error,
            least_over_mean: least,
            utilisation_percent: utilisation(input, &usage),
            small_wait: small,
            wait: waits(input.records.iter()),
            kept_in_flood_percent: kept,
            least_kept_percent: least_kept,
            control_bytes: control_bytes(input),
            control: control_types(input),
            uses: role_uses(input),
            platform_reads: input.reads as f64 / input.length.as_secs_f64(),
            double_effects: double_effects(&effects),
            false_not_run: false_not_run(input, &effects),
            foreign_answers: input
                .records
                .iter()
                .filter(|record| !record.has_expected_body)
                .count(),
            events: event_figures(input),
            example_trace: example_trace(&input.spans),
            series,
            gap_series,
        }
    }
}
