use cicadalock_core::collect::SortedMap;

use super::extremes::max_or_zero;
use super::measure::{ReportInput, RoleUsage};
use crate::fleet::RunningFleet;

/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the CPU time, in seconds, and resident memory, in bytes, of every running router and
/// sidecar, by process name.
#[must_use]
pub fn process_usage(fleet: &RunningFleet) -> SortedMap<String, (f64, f64)> {
    let routers = fleet
        .routers
        .iter()
        .map(|router| (&router.name, &router.child));
    let sidecars = fleet
        .sidecars
        .iter()
        .map(|sidecar| (&sidecar.name, &sidecar.child));
    routers
        .chain(sidecars)
        .filter_map(|(name, child)| Some((name.clone(), read_process_usage(child.as_ref()?.id())?)))
        .collect()
}

fn read_process_usage(id: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The fields after the command name, which may hold spaces and parentheses: user time and
    // system time in ticks, and resident pages.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: f64 = fields.get(21)?.parse().ok()?;
    Some((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES))
}

pub(super) fn role_usage(input: &ReportInput) -> Vec<RoleUsage> {
    let mut roles: SortedMap<String, Vec<(f64, f64)>> = SortedMap::new();
    for (name, (cpu, memory)) in input.usage_after.iter() {
        let role = name
            .rsplit_once('-')
            .map_or(name.as_str(), |(role, _)| role);
        let before = input.usage_before.get(name).map_or(0.0, |(cpu, _)| *cpu);
        let percent = (cpu - before).max(0.0) / input.length.as_secs_f64() * 100.0;
        let entry = roles.get_or_insert_with(role.to_owned(), Vec::new);
        entry.push((percent, memory / (1024.0 * 1024.0)));
    }
    roles
        .iter()
        .map(|(role, uses)| {
            let cpu: Vec<f64> = uses.iter().map(|(cpu, _)| *cpu).collect();
            let memory: Vec<f64> = uses.iter().map(|(_, memory)| *memory).collect();
            let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
            RoleUsage {
                role: role.clone(),
                count: uses.len(),
                core_percent: (mean(&cpu), max_or_zero(&cpu)),
                memory_mib: (mean(&memory), max_or_zero(&memory)),
            }
        })
        .collect()
}
