use std::fmt;

use serde_json::Value;

use super::measure::{LatencyStats, TrialReport};

impl fmt::Display for TrialReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "scenario {}  policy {}  seed {}  {:.1} s",
            self.scenario, self.policy, self.seed, self.seconds
        )?;
        self.write_groups(formatter)?;
        if let (Some(gap), Some(error)) = (self.gap, self.share_error_percent) {
            writeln!(
                formatter,
                "fairness gap: {:.0} in the first half, {:.0} in the second (cost units over share)",
                gap.0, gap.1
            )?;
            writeln!(
                formatter,
                "greatest deviation from the share in the second half: {error:.1} %"
            )?;
        }
        writeln!(formatter, "utilisation: {:.1} %", self.utilisation_percent)?;
        write_waits(formatter, "all callers", &self.wait)?;
        if let Some(wait) = &self.small_wait {
            write_waits(formatter, "small customer", wait)?;
        }
        if let (Some(mean), Some(least)) = (self.kept_in_flood_percent, self.least_kept_percent) {
            writeln!(
                formatter,
                "served in time during the flood, over before it: mean {mean:.1} %, least {least:.1} %"
            )?;
        }
        let (mean, greatest) = self.control_bytes;
        writeln!(
            formatter,
            "control bytes per second and node: mean {mean:.0}, greatest {greatest:.0}"
        )?;
        for count in self.control.iter().filter(|count| count.messages > 0.0) {
            let (messages, bytes) = (count.messages, count.bytes);
            writeln!(
                formatter,
                "  {:<12} {messages:>9.1} msg/s {bytes:>11.0} B/s",
                count.name
            )?;
        }
        for role in &self.uses {
            let (cpu, memory) = (role.core_percent, role.memory_mib);
            writeln!(
                formatter,
                "{} x {}: core mean {:.2} % greatest {:.2} %, memory mean {:.1} greatest {:.1} MiB",
                role.count, role.role, cpu.0, cpu.1, memory.0, memory.1
            )?;
        }
        writeln!(
            formatter,
            "platform reads per second: {:.1}",
            self.platform_reads
        )?;
        writeln!(
            formatter,
            "duplicate effects: {}  reported not-run but ran: {}  foreign or partial responses: {}",
            self.double_effects, self.false_not_run, self.foreign_answers
        )?;
        for (at, name, last) in &self.events {
            let last = last.map_or("none".to_owned(), |last| format!("{last:.2} s after"));
            writeln!(
                formatter,
                "event at {at:.1} s: {name}; last failed request: {last}"
            )?;
        }
        write_trace(formatter, &self.example_trace)
    }
}

impl TrialReport {
    fn write_groups(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<12} {:<8} {:>9} {:>8} {:>8} {:>7} {:>12}",
            "customer", "kind", "complete", "not-run", "unknown", "broken", "unreachable"
        )?;
        for group in &self.groups {
            writeln!(
                formatter,
                "{:<12} {:<8} {:>9} {:>8} {:>8} {:>7} {:>12}",
                group.customer,
                group.kind,
                group.complete,
                group.not_run,
                group.unknown,
                group.broken,
                group.unreachable
            )?;
        }
        Ok(())
    }
}

fn write_waits(formatter: &mut fmt::Formatter<'_>, who: &str, wait: &LatencyStats) -> fmt::Result {
    writeln!(
        formatter,
        "{who}: {} complete responses, first byte p50 {:.1} p95 {:.1} p99 {:.1} ms, end p50 {:.1} p99 {:.1} ms",
        wait.count, wait.first_p50, wait.first_p95, wait.first_p99, wait.total_p50, wait.total_p99
    )
}

fn write_trace(formatter: &mut fmt::Formatter<'_>, spans: &[Value]) -> fmt::Result {
    if spans.is_empty() {
        return Ok(());
    }
    writeln!(formatter, "spans of one request:")?;
    let mut spans: Vec<&Value> = spans.iter().collect();
    spans.sort_by_key(|span| (span["start_ms"].as_u64(), span["name"].as_str()));
    for span in spans {
        let text = |name: &str| span[name].as_str().unwrap_or("-").to_owned();
        let micros = span["duration_us"].as_u64().unwrap_or(0);
        writeln!(
            formatter,
            "  {:<16} on {:<14} {:>9} us  {}",
            text("name"),
            text("host"),
            micros,
            text("status")
        )?;
    }
    Ok(())
}
