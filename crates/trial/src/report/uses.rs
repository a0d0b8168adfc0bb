use cicadalock_core::collect::SortedMap;

use super::extremes::greatest;
use super::measure::{ReportInput, RoleUse};
use crate::fleet::RunningFleet;

/// Ticks of the kernel's accounting in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;

/// Processor time, in seconds, and resident memory, in bytes, of every router and sidecar.
#[must_use]
pub fn process_uses(fleet: &RunningFleet) -> SortedMap<String, (f64, f64)> {
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
        .filter_map(|(name, child)| Some((name.clone(), process_use(child.as_ref()?.id())?)))
        .collect()
}

fn process_use(id: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: f64 = fields.get(21)?.parse().ok()?;
    Some((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES))
}

pub(super) fn role_uses(input: &ReportInput) -> Vec<RoleUse> {
    let mut roles: SortedMap<String, Vec<(f64, f64)>> = SortedMap::new();
    for (name, (cpu, memory)) in input.use_after.iter() {
        let role = name
            .rsplit_once('-')
            .map_or(name.as_str(), |(role, _)| role);
        let before = input.use_before.get(name).map_or(0.0, |(cpu, _)| *cpu);
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
            RoleUse {
                role: role.clone(),
                count: uses.len(),
                core_percent: (mean(&cpu), greatest(&cpu)),
                memory_mib: (mean(&memory), greatest(&memory)),
            }
        })
        .collect()
}
