use std::time::Duration;

use super::catalogue::ScenarioEntry;
use super::plan::{ScenarioOptions, ScenarioPlan};
use crate::load::{CallerGroup, LoadRun, LoadStyle};
use crate::report::{ReportInput, TraceCollector, TrialReport, process_usage};
use crate::wall_clock::unix_millis;

/// Time that requests in progress have to finish after the load ends.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Policy that calls the endpoints without routers, to measure their own throughput.
pub const DIRECT_POLICY: &str = "direct";

/// Time after the start of a fleet until its sidecars accept requests with idempotency keys.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);

/// Runs one scenario and returns its measurements.
///
/// # Errors
///
/// Returns an error if a process cannot be started or the fleet is not ready in time.
pub fn run_scenario(
    entry: &ScenarioEntry,
    options: &ScenarioOptions,
) -> std::io::Result<TrialReport> {
    let mut plan = entry.plan(options);
    let is_direct = options.policy == DIRECT_POLICY;
    let traces = TraceCollector::start()?;
    let mut fleet = plan.fleet.clone().traces(traces.address()).start()?;
    if plan.groups.iter().any(|group| group.has_key) {
        fleet.wait_for_confirmed_views(SETTLE_TIME);
        std::thread::sleep(SETTLE_TIME);
    }
    let routers = if is_direct {
        let endpoints = fleet.endpoints.iter();
        plan.groups = direct_groups(&plan, endpoints.clone().count());
        endpoints.map(|endpoint| endpoint.address).collect()
    } else {
        fleet.routers.iter().map(|router| router.callers).collect()
    };
    let before = ReportInput::traffic(&fleet);
    let usage_before = process_usage(&fleet);
    let reads_before = fleet.platform_reads();
    let load = LoadRun::start(plan.groups.clone(), routers, options.seed)?;
    let started_ms = unix_millis();
    plan.events.sort_by_key(|(at, _)| *at);
    let mut applied_events = Vec::new();
    for (at, event) in &plan.events {
        std::thread::sleep(at.saturating_sub(load.elapsed()));
        applied_events.push((load.elapsed(), format!("{event:?}")));
        event.apply(&mut fleet, &load)?;
    }
    std::thread::sleep(options.length.saturating_sub(load.elapsed()));
    let after = ReportInput::traffic(&fleet);
    let usage_after = process_usage(&fleet);
    let reads = fleet.platform_reads().saturating_sub(reads_before);
    let length = load.elapsed();
    let records = load.finish(FINISH_TIMEOUT);
    let input = ReportInput {
        name: entry.name.to_owned(),
        options: options.clone(),
        plan,
        started_ms,
        length,
        records,
        before,
        after,
        usage_before,
        usage_after,
        reads,
        applied_events,
        spans: traces.finish(),
    };
    Ok(TrialReport::measure(&input, &fleet))
}

/// Returns one closed-loop caller for each slot of each endpoint, so that every slot stays busy.
fn direct_groups(plan: &ScenarioPlan, endpoints: usize) -> Vec<CallerGroup> {
    let slots = plan
        .fleet
        .find_service(&plan.service)
        .map_or(1, |service| service.slots);
    let count = plan.groups.len();
    let pick = |index: usize| plan.groups[index % count].clone();
    (0..endpoints * slots as usize)
        .map(|index| CallerGroup {
            style: LoadStyle::Closed(1),
            pinned: Some(index % endpoints),
            ..pick(index)
        })
        .collect()
}
