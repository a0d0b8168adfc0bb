use std::fmt::Write;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::PartSlopes;
use super::shared_knowledge::add_knowledge_rows;

/// Sizes, rates and protocol parameters of the fleet for which the table is computed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetSize {
    /// Number of routers.
    pub routers: f64,
    /// Number of sidecars of all services.
    pub sidecars: f64,
    /// Number of models; sidecars and customers are spread evenly among them.
    pub models: f64,
    /// Number of availability zones.
    pub zones: f64,
    /// Number of customers.
    pub customers: f64,
    /// Fraction of the customers that are backlogged.
    pub backlogged_part: f64,
    /// Requests a second in the whole fleet.
    pub requests: f64,
    /// Configuration changes a day.
    pub config_changes: f64,
    /// Host failures, restarts and replacements a day.
    pub host_changes: f64,
    /// Number of sidecars of one service to which a router keeps connections.
    pub subset: f64,
    /// Number of children of each node in the tree that aggregates totals.
    pub fanout: f64,
    /// Interval between reports in that tree, in seconds.
    pub tree_interval: f64,
    /// Interval between reports if each sidecar reports to every peer, in seconds.
    pub exchange_interval: f64,
}

impl FleetSize {
    /// Returns the fleet size that the users state for two years from now, with the protocol
    /// parameters that `docs/CAPACITY.md` names.
    #[must_use]
    pub const fn two_year_target() -> Self {
        Self {
            routers: 2_800.0,
            sidecars: 10_000.0,
            models: 16.0,
            zones: 13.0,
            customers: 7_200.0,
            backlogged_part: 0.1,
            requests: 59_000.0,
            config_changes: 42_000.0,
            host_changes: 3_610.0,
            subset: 20.0,
            fanout: 5.0,
            tree_interval: 4.0,
            exchange_interval: 0.5,
        }
    }
}

/// Measured cost of one role's processes in one run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessSlopes {
    /// Name of the run in the list of commands of `docs/CAPACITY.md`.
    pub run: String,
    /// `router` or `sidecar`.
    pub role: String,
    /// Requests a second per process.
    pub requests: f64,
    /// Connections per process.
    pub links: f64,
    /// Processor time, in percent of a core: mean and maximum over the processes.
    pub core_percent: [f64; 2],
    /// Memory, in MiB: mean and maximum over the processes.
    pub memory_mib: [f64; 2],
    /// Control bytes a second, sent and received: mean over the processes.
    pub control_bytes: f64,
}

/// All measured slopes: the contents of `docs/slopes.json`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Slopes {
    /// Measurements of parts of the core.
    pub parts: Vec<PartSlopes>,
    /// Measurements of processes.
    pub processes: Vec<ProcessSlopes>,
}

/// The users' limits on the cost of control at one node.
pub(super) const CORE_LIMIT_PERCENT: f64 = 1.2;
pub(super) const MEMORY_LIMIT_MIB: f64 = 128.0;
pub(super) const BYTES_LIMIT_PER_S: f64 = 3_000.0;
const READS_LIMIT_PER_S: f64 = 2_000.0;

pub(super) const MIB: f64 = 1024.0 * 1024.0;
pub(super) const DAY_SECONDS: f64 = 86_400.0;

/// Time for which a watch waits, and interval between reads of a process that does not watch, in
/// seconds.
const WATCH_SECONDS: f64 = 2.0;
const IDLE_READ_SECONDS: f64 = 120.0;

/// Number of processes in each zone that watch documents, and number of documents that each process
/// reads.
const READERS_PER_ZONE: f64 = 2.0;
const DOCUMENT_COUNT: f64 = 2.0;

/// Bytes of one entry in the host list, and of one configuration change.
const HOST_BYTES: f64 = 130.0;
const CHANGE_BYTES: f64 = 200.0;

impl Slopes {
    /// Returns the median of a part's measurement at a size, or NaN if it is absent.
    pub(super) fn part(&self, name: &str, size: &[u64]) -> f64 {
        let found = self
            .parts
            .iter()
            .find(|part| part.part == name && part.size == size);
        found.map_or(f64::NAN, |part| part.value[1])
    }

    /// Returns the change of a figure per unit of a quantity, between the runs of a role with the
    /// least and the most of that quantity. Runs without the quantity are ignored; NaN if none are
    /// left.
    fn slope(
        &self,
        role: &str,
        quantity: fn(&ProcessSlopes) -> f64,
        figure: fn(&ProcessSlopes) -> f64,
    ) -> f64 {
        let mut runs: Vec<&ProcessSlopes> = self
            .processes
            .iter()
            .filter(|run| run.role == role && quantity(run) > 0.0)
            .collect();
        runs.sort_by(|left, right| quantity(left).total_cmp(&quantity(right)));
        let (Some(first), Some(last)) = (runs.first(), runs.last()) else {
            return f64::NAN;
        };
        (figure(last) - figure(first)) / (quantity(last) - quantity(first))
    }

    /// Returns the minimum of a figure over the runs of a role.
    fn base(&self, role: &str, figure: fn(&ProcessSlopes) -> f64) -> f64 {
        let runs = self.processes.iter().filter(|run| run.role == role);
        runs.map(figure).fold(f64::INFINITY, f64::min)
    }
}

/// Returns the table of `docs/CAPACITY.md`, computed from measured slopes.
#[must_use]
pub fn capacity_table(slopes: &Slopes, size: &FleetSize) -> String {
    let mut table = TableWriter::new();
    add_router_rows(slopes, size, &mut table);
    add_sidecar_rows(slopes, size, &mut table);
    add_document_rows(slopes, size, &mut table);
    add_knowledge_rows(slopes, size, &mut table);
    table.text
}

/// Reads slopes from a JSON file and prints the capacity table.
///
/// # Errors
///
/// Returns an error if the file cannot be read or parsed.
pub fn print_capacity(path: &Path) -> std::io::Result<()> {
    let slopes: Slopes =
        serde_json::from_str(&std::fs::read_to_string(path)?).map_err(std::io::Error::other)?;
    print!("{}", capacity_table(&slopes, &FleetSize::two_year_target()));
    Ok(())
}

/// Builds the Markdown text of the table.
pub(super) struct TableWriter {
    text: String,
}

impl TableWriter {
    fn new() -> Self {
        let heading = "| role | quantity | worked out as | value | limit | fits |";
        Self {
            text: format!(
                "{heading}
|---|---|---|---|---|---|
"
            ),
        }
    }

    pub(super) fn row(
        &mut self,
        role: &str,
        quantity: &str,
        formula: &str,
        value: f64,
        unit: &str,
        limit: f64,
    ) {
        let (limit, fits) = if limit.is_finite() {
            (
                format!("{} {unit}", format_value(limit)),
                if value <= limit { "yes" } else { "**no**" },
            )
        } else {
            ("—".into(), "—")
        };
        let value = format_value(value);
        let _ = writeln!(
            self.text,
            "| {role} | {quantity} | {formula} | {value} {unit} | {limit} | {fits} |"
        );
    }
}

pub(super) const NO_LIMIT: f64 = f64::INFINITY;

fn add_router_rows(slopes: &Slopes, size: &FleetSize, table: &mut TableWriter) {
    let requests = size.requests / size.routers;
    let cpu = slopes.slope("router", |run| run.requests, |run| run.core_percent[0]);
    let base_cpu = slopes.base("router", |run| run.core_percent[0]);
    let memory = slopes
        .slope("router", |run| run.links, |run| run.memory_mib[0])
        .max(0.0);
    let base_memory = slopes.base("router", |run| run.memory_mib[0]);
    let control = slopes.slope("router", |run| run.requests, |run| run.control_bytes);
    let config = slopes.part("configuration memory", &[7_200]) / MIB;
    let links = size.models * size.subset;
    table.row(
        "router",
        "requests",
        "requests / routers",
        requests,
        "a second",
        NO_LIMIT,
    );
    table.row(
        "router",
        "processor, whole path",
        "base + slope · requests",
        base_cpu + cpu * requests,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "router",
        "control bytes",
        "slope · requests",
        control * requests,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "router",
        "connections, to every sidecar",
        "sidecars",
        size.sidecars,
        "",
        NO_LIMIT,
    );
    table.row(
        "router",
        "memory, connected to every sidecar",
        "base + config + slope · sidecars",
        base_memory + config + memory * size.sidecars,
        "MiB",
        MEMORY_LIMIT_MIB,
    );
    table.row(
        "router",
        "connections, subset",
        "models · subset",
        links,
        "",
        NO_LIMIT,
    );
    table.row(
        "router",
        "memory, subset",
        "base + config + slope · models · subset",
        base_memory + config + memory * links,
        "MiB",
        MEMORY_LIMIT_MIB,
    );
}

fn add_sidecar_rows(slopes: &Slopes, size: &FleetSize, table: &mut TableWriter) {
    let requests = size.requests / size.sidecars;
    let peers = size.sidecars / size.models;
    let waiting = size.customers * size.backlogged_part / size.models;
    let cpu = slopes.slope("sidecar", |run| run.requests, |run| run.core_percent[0]);
    let base_cpu = slopes.base("sidecar", |run| run.core_percent[0]);
    let memory = slopes
        .slope("sidecar", |run| run.links, |run| run.memory_mib[0])
        .max(0.0);
    let base_memory = slopes.base("sidecar", |run| run.memory_mib[0]);
    let control = slopes.slope("sidecar", |run| run.requests, |run| run.control_bytes);
    let frame = slopes.part("totals frame", &[45]) * waiting / 45.0;
    let merge = slopes.part("merge of one report", &[45, 625]);
    let grant = slopes.part("grant", &[720, 100]);
    let full = 2.0 * peers * frame / size.exchange_interval;
    let tree = (2.0 * size.fanout + 2.0) * frame / size.tree_interval;
    let depth = (peers.ln() / size.fanout.ln()).ceil();
    let links = size.routers * size.subset / peers;
    let config = slopes.part("configuration memory", &[7_200]) / MIB;
    table.row(
        "sidecar",
        "requests",
        "requests / sidecars",
        requests,
        "a second",
        NO_LIMIT,
    );
    table.row(
        "sidecar",
        "processor, whole path",
        "base + slope · requests",
        base_cpu + cpu * requests,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "sidecar",
        "processor for grants, 720 customers waiting",
        "grant · requests",
        grant * requests / 1e7,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "sidecar",
        "customers waiting at one model",
        "customers · backlogged / models",
        waiting,
        "",
        NO_LIMIT,
    );
    table.row(
        "sidecar",
        "control bytes for requests",
        "slope · requests",
        control * requests,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "sidecar",
        "totals, to every peer",
        "2 · peers · frame / interval",
        full,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "sidecar",
        "processor for merging them",
        "peers / interval · merge",
        merge * peers / size.exchange_interval / 1e7,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "sidecar",
        "totals, tree",
        "(2 · fanout + 2) · frame / tree interval",
        tree,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "sidecar",
        "totals, tree, with control of requests",
        "sum of both",
        tree + control * requests,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "sidecar",
        "age of totals, tree",
        "depth · tree interval",
        depth * size.tree_interval,
        "s",
        NO_LIMIT,
    );
    table.row(
        "sidecar",
        "connections, subset",
        "routers · subset / peers",
        links,
        "",
        NO_LIMIT,
    );
    table.row(
        "sidecar",
        "memory",
        "base + config + slope · (connections + fanout + 1)",
        base_memory + config + memory * (links + size.fanout + 1.0),
        "MiB",
        MEMORY_LIMIT_MIB,
    );
}

fn add_document_rows(slopes: &Slopes, size: &FleetSize, table: &mut TableWriter) {
    let processes = size.routers + size.sidecars;
    let changes = size.config_changes / DAY_SECONDS;
    let text = slopes.part("configuration length", &[7_200]);
    let check = slopes.part("configuration check", &[7_200]);
    let watches = size.zones * READERS_PER_ZONE * DOCUMENT_COUNT / WATCH_SECONDS;
    let idle = processes * DOCUMENT_COUNT / IDLE_READ_SECONDS;
    let zone = processes / size.zones;
    table.row(
        "all",
        "reads at the platform",
        "zones · 2 readers · 2 documents / 2 s + processes · 2 / 120 s",
        watches + idle,
        "a second",
        READS_LIMIT_PER_S,
    );
    table.row(
        "all",
        "the same with a watch for every process",
        "processes · changes a second + processes · 2 / 2 s",
        processes * changes + processes,
        "a second",
        READS_LIMIT_PER_S,
    );
    table.row(
        "all",
        "reads when a zone comes back within 10 s",
        "processes / zones · 2 documents · 2 tries / 10 s",
        zone * DOCUMENT_COUNT * 2.0 / 10.0,
        "a second",
        READS_LIMIT_PER_S,
    );
    table.row(
        "all",
        "configuration, whole text for each change",
        "length · changes a second",
        text * changes,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "all",
        "processor for checking it",
        "check · changes a second",
        check * changes / 1e7,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "all",
        "configuration, changed entries only, sent to two",
        "3 · 200 B · changes a second",
        3.0 * CHANGE_BYTES * changes,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "all",
        "host list, whole text for each change",
        "130 B · processes · changes a second",
        HOST_BYTES * processes * size.host_changes / DAY_SECONDS,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "all",
        "host list, changed entries only, sent to two",
        "3 · 130 B · changes a second",
        3.0 * HOST_BYTES * size.host_changes / DAY_SECONDS,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
}

/// Formats a value with no decimals from 100, one from 1, and three below.
fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else if value.abs() >= 1.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
