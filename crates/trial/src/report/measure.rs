use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use serde::Serialize;
use serde_json::Value;

use super::callers::{count_groups, flood_ratios, latency_stats};
use super::control::{control_bytes, control_types};
use super::effects::{double_effects, event_failures, example_trace, false_not_run};
use super::fairness::{fairness, gap_series, service_series, utilisation};
use super::uses::role_usage;
use crate::fleet::RunningFleet;
use crate::load::CallRecord;
use crate::scenario::{ScenarioOptions, ScenarioPlan};
use crate::standin::EffectEntry;

/// Raw data of a scenario run, from which a [`TrialReport`] is computed.
#[derive(Debug)]
pub struct ReportInput {
    /// Name of the scenario.
    pub name: String,
    /// Settings from the command line.
    pub options: ScenarioOptions,
    /// Fleet, load and events of the scenario.
    pub plan: ScenarioPlan,
    /// Start of the load, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Duration of the load.
    pub length: Duration,
    /// Requests with their results as callers saw them.
    pub records: Vec<CallRecord>,
    /// Traffic counters by process at the start of the load.
    pub before: SortedMap<String, Value>,
    /// Traffic counters by process at the end of the load.
    pub after: SortedMap<String, Value>,
    /// CPU time, in seconds, and resident memory, in bytes, by process at the start of the load.
    pub usage_before: SortedMap<String, (f64, f64)>,
    /// CPU time, in seconds, and resident memory, in bytes, by process at the end of the load.
    pub usage_after: SortedMap<String, (f64, f64)>,
    /// Number of reads from the platform during the load.
    pub reads: u64,
    /// Events, with the time since the start of the load at which they were applied.
    pub applied_events: Vec<(Duration, String)>,
    /// Trace spans of all processes.
    pub spans: Vec<Value>,
}

/// Measurements of a scenario run.
#[derive(Debug, Clone, Serialize)]
pub struct TrialReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Scheduling policy.
    pub policy: String,
    /// Seed of the load.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Counts of requests by customer, kind and result.
    pub groups: Vec<GroupCount>,
    /// Work done for each customer by the measured service, in cost units.
    pub service: Vec<(String, i64)>,
    /// Greatest gap of service over share between backlogged customers, in cost units, in the
    /// first and in the second half of the load; absent without backlogged customers.
    pub gap: Option<(f64, f64)>,
    /// Greatest deviation of a backlogged customer's service from its share in the second half, in
    /// percent.
    pub share_error_percent: Option<f64>,
    /// Least service of a backlogged customer in the second half, divided by the mean.
    pub least_over_mean: Option<f64>,
    /// Work done by the measured service over the capacity of its endpoints, in percent.
    pub utilisation_percent: f64,
    /// Latency of the customer with little load, if the scenario has one.
    pub small_wait: Option<LatencyStats>,
    /// Latency of all complete responses.
    pub wait: LatencyStats,
    /// Ratio of requests served in time during the flood to that before it, for customers that do
    /// not cause it, in percent: mean over customers. Absent without a flood.
    pub kept_in_flood_percent: Option<f64>,
    /// The same ratio for the customer with the least.
    pub least_kept_percent: Option<f64>,
    /// Control bytes per second and node, sent and received: mean and greatest over nodes.
    pub control_bytes: (f64, f64),
    /// Traffic by message type, summed over nodes.
    pub control: Vec<ControlCount>,
    /// CPU time and memory by role.
    pub uses: Vec<RoleUsage>,
    /// Reads from the platform per second.
    pub platform_reads: f64,
    /// Number of idempotency keys whose effect was logged more than once.
    pub double_effects: usize,
    /// Number of requests that were reported as not run although their effect was logged.
    pub false_not_run: usize,
    /// Number of responses that ended normally but are partial or belong to another request.
    pub foreign_answers: usize,
    /// Time of each event in seconds since the start of the load, its name, and the seconds from it
    /// to the last failed request.
    pub events: Vec<(f64, String, Option<f64>)>,
    /// Trace spans of one request.
    pub example_trace: Vec<Value>,
    /// Cumulative service by customer at the end of each second, in cost units.
    pub series: Vec<(String, Vec<f64>)>,
    /// Gap between backlogged customers at the end of each second, in cost units.
    pub gap_series: Vec<f64>,
}

/// Number of requests of one customer and kind, by result.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GroupCount {
    /// Name of the customer.
    pub customer: String,
    /// Name of the kind.
    pub kind: String,
    /// Requests with a complete response.
    pub complete: usize,
    /// Requests that were reported as not run.
    pub not_run: usize,
    /// Requests that were reported as possibly run.
    pub unknown: usize,
    /// Requests whose response broke off.
    pub broken: usize,
    /// Requests whose connection failed before a response.
    pub unreachable: usize,
}

/// Latency of complete responses, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LatencyStats {
    /// Number of responses.
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

/// Resource usage of the processes of one role.
#[derive(Debug, Clone, Serialize)]
pub struct RoleUsage {
    /// `router`, or the name of the service that the sidecars call.
    pub role: String,
    /// Number of processes.
    pub count: usize,
    /// CPU usage in percent of a core: mean and greatest over processes.
    pub core_percent: (f64, f64),
    /// Resident memory in MiB: mean and greatest over processes.
    pub memory_mib: (f64, f64),
}

/// Traffic of one message type.
#[derive(Debug, Clone, Serialize)]
pub struct ControlCount {
    /// Name of the message type.
    pub name: String,
    /// Messages per second, sent by all nodes.
    pub messages: f64,
    /// Bytes per second, sent by all nodes.
    pub bytes: f64,
}

impl ReportInput {
    /// Reads the traffic counters of every process whose admin address responds.
    #[must_use]
    pub fn traffic(fleet: &RunningFleet) -> SortedMap<String, Value> {
        let status_addresses = fleet.status_addresses().into_iter();
        status_addresses
            .filter_map(|(name, admin)| Some((name, fleet.status(admin)?["traffic"].take())))
            .collect()
    }
}

impl TrialReport {
    /// Computes the report; the fleet's endpoints must still run, as their logs are read.
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
        let (kept, least_kept) = flood_ratios(input);
        let small = input.plan.small_customer.as_ref().map(|name| {
            latency_stats(
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
                .map(|(name, samples)| {
                    (name.clone(), samples.last().copied().unwrap_or(0.0) as i64)
                })
                .collect(),
            gap,
            share_error_percent: share_error,
            least_over_mean: least,
            utilisation_percent: utilisation(input, &usage),
            small_wait: small,
            wait: latency_stats(input.records.iter()),
            kept_in_flood_percent: kept,
            least_kept_percent: least_kept,
            control_bytes: control_bytes(input),
            control: control_types(input),
            uses: role_usage(input),
            platform_reads: input.reads as f64 / input.length.as_secs_f64(),
            double_effects: double_effects(&effects),
            false_not_run: false_not_run(input, &effects),
            foreign_answers: input
                .records
                .iter()
                .filter(|record| !record.has_expected_body)
                .count(),
            events: event_failures(input),
            example_trace: example_trace(&input.spans),
            series,
            gap_series,
        }
    }
}
