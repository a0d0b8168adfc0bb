use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::catalogue::ScenarioEntry;
use super::plan::ScenarioOptions;
use crate::load::LoadRun;
use crate::report::{ReportInput, TraceCollector, TrialReport};

/// Longest wait for requests in progress when the load ends.
const FINISH_LIMIT: Duration = Duration::from_secs(30);

/// Time for keyed requests to become possible after the start of a fleet.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);

/// Runs one experiment and returns its measures.
///
/// # Errors
///
/// Fails if a process cannot be started or the fleet is not ready in time.
pub fn run_scenario(
    entry: &ScenarioEntry,
    options: &ScenarioOptions,
) -> std::io::Result<TrialReport> {
    let mut plan = entry.plan(options);
    let traces = TraceCollector::start()?;
    let mut fleet = plan.fleet.clone().traces(traces.address()).start()?;
    if plan.groups.iter().any(|group| group.has_key) {
        fleet.wait_for_words(SETTLE_TIME);
        std::thread::sleep(SETTLE_TIME);
    }
    let routers = fleet.routers.iter().map(|router| router.callers).collect();
    let before = ReportInput::traffic(&fleet);
    let reads_before = fleet.platform_reads();
    let load = LoadRun::start(plan.groups.clone(), routers, options.seed)?;
    let started_ms = unix_millis();
    plan.events.sort_by_key(|(at, _)| *at);
    let mut applied = Vec::new();
    for (at, event) in &plan.events {
        std::thread::sleep(at.saturating_sub(load.elapsed()));
        applied.push((load.elapsed(), format!("{event:?}")));
        event.apply(&mut fleet, &load)?;
    }
    std::thread::sleep(options.length.saturating_sub(load.elapsed()));
    let after = ReportInput::traffic(&fleet);
    let reads = fleet.platform_reads().saturating_sub(reads_before);
    let length = load.elapsed();
    let records = load.finish(FINISH_LIMIT);
    let input = ReportInput {
        name: entry.name.to_owned(),
        options: options.clone(),
        plan,
        started_ms,
        length,
        records,
        before,
        after,
        reads,
        applied,
        spans: traces.finish(),
    };
    Ok(TrialReport::measure(&input, &fleet))
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
