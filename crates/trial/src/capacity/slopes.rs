use std::hint::black_box;
use std::time::Instant;

use cicadalock_core::config::{ConfigText, FleetConfig, TokenDigest};
use cicadalock_core::fair::{GrantScheduler, PeerReport, TotalEntry};
use cicadalock_core::id::{CustomerId, Incarnation, KindId, LinkId};
use cicadalock_core::message::{
    BidLine, BidUpdate, Envelope, PeerMessage, TotalLine, TotalsReport,
};
use cicadalock_core::outcome::{BodyDigest, OutcomeLedger, StoredAnswer};
use cicadalock_core::time::{ClockTime, WallTime};
use prost::Message;
use serde::{Deserialize, Serialize};

use super::shared_knowledge::measure_shared_knowledge;

/// Number of repetitions of a measurement; the minimum, median and maximum are reported.
const REPEATS: usize = 7;

/// Measured cost of a part of the core at one size.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PartSlopes {
    /// Name of the measurement; [`capacity_table`](super::capacity_table) finds it by this name.
    pub part: String,
    /// Size parameters of the measurement, such as numbers of customers, routers or peers.
    pub size: Vec<u64>,
    /// Minimum, median and maximum; all are equal if the measurement is not repeated.
    pub value: [f64; 3],
    /// Unit of the values: `bytes` or `ns`.
    pub unit: String,
}

/// Measures the core's parts and prints them as JSON.
pub fn print_slopes() {
    let mut slopes = Vec::new();
    // Memory is measured first: an allocation that reuses freed memory would not show in the
    // resident size.
    measure_shared_knowledge(&mut slopes);
    measure_ledger(&mut slopes);
    for customers in [7_200, 720, 15] {
        measure_config(customers, &mut slopes);
    }
    for customers in [15, 720, 7_200] {
        for routers in [10, 100, 2_800] {
            if customers * routers <= 7_200 * 100 {
                measure_grant(customers, routers, &mut slopes);
            }
        }
    }
    for (customers, peers) in [(15, 20), (45, 100), (45, 625), (720, 20), (720, 100)] {
        measure_merge(customers, peers, &mut slopes);
    }
    for lines in [1, 15, 45] {
        measure_frames(lines, &mut slopes);
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&slopes).unwrap_or_default()
    );
}

fn scheduler(customers: u64, extrapolates: bool) -> GrantScheduler {
    let mut builder = GrantScheduler::builder()
        .incarnation(Incarnation::from_start(1_000, 1))
        .extrapolate_peers(extrapolates)
        .kind(KindId::new(1), 1, 100);
    for customer in 0..customers {
        builder = builder.customer(CustomerId::new(customer as u32 + 1), 1);
    }
    builder.build()
}

/// Measures the time of a grant while every customer is waiting at every router, and the memory of
/// the bids.
fn measure_grant(customers: u64, routers: u64, slopes: &mut Vec<PartSlopes>) {
    let now = ClockTime::from_millis(1_000);
    let before = resident_bytes();
    let mut scheduler = scheduler(customers, true);
    for customer in 0..customers {
        for router in 0..routers {
            let id = CustomerId::new(customer as u32 + 1);
            scheduler.set_bid(LinkId::new(router), id, KindId::new(1), 1_000_000, now);
        }
    }
    let bytes = (resident_bytes() - before).max(0.0);
    let size = vec![customers, routers];
    slopes.push(single_value("bids memory", &size, bytes, "bytes"));
    let grants = 2_000_000 / customers.max(200);
    slopes.push(repeated("grant", &size, "ns", || {
        let started = Instant::now();
        for _ in 0..grants {
            black_box(scheduler.pick(now));
        }
        started.elapsed().as_nanos() as f64 / grants as f64
    }));
}

/// Measures the time to merge a peer's report that lists all customers.
fn measure_merge(customers: u64, peers: u64, slopes: &mut Vec<PartSlopes>) {
    let mut scheduler = scheduler(customers, true);
    let now = ClockTime::from_millis(1_000);
    let mut sequence = 0;
    let mut merge_all = |scheduler: &mut GrantScheduler| {
        sequence += 1;
        for peer in 0..peers {
            let entries = (0..customers).map(|customer| TotalEntry {
                customer: CustomerId::new(customer as u32 + 1),
                total: sequence as i64 * 100,
                pending: 100,
                backlogged: true,
                lead: 0.0,
            });
            let Ok(host) = format!("peer-{peer}").parse() else {
                return;
            };
            let report = PeerReport {
                host,
                incarnation: Incarnation::from_start(2_000, 1),
                sequence,
                entries: entries.collect(),
            };
            scheduler.merge_report(&report, now);
        }
    };
    merge_all(&mut scheduler);
    let size = [customers, peers];
    slopes.push(repeated("merge of one report", &size, "ns", || {
        let started = Instant::now();
        merge_all(&mut scheduler);
        started.elapsed().as_nanos() as f64 / peers as f64
    }));
}

/// Measures the memory and length of a configuration, and the time to parse and check it.
fn measure_config(customers: u64, slopes: &mut Vec<PartSlopes>) {
    let mut text = String::from(
        "[[services]]\nname = \"s\"\nprotocol = \"plain\"\nslots = 4\n\
         [[kinds]]\nname = \"k\"\nservice = \"s\"\npath = \"/k\"\nidempotent = true\n",
    );
    for customer in 0..customers {
        let digest = TokenDigest::of(&customer.to_string());
        text.push_str(&format!(
            "[[customers]]\nname = \"customer-{customer}\"\nshare = 1\ntoken_sha256 = \"{digest}\"\n"
        ));
    }
    let before = resident_bytes();
    let configs: Vec<_> = (0..8)
        .map(|_| FleetConfig::read(&ConfigText::new("base", &text), None))
        .collect();
    let bytes = (resident_bytes() - before).max(0.0) / configs.len() as f64;
    let size = [customers];
    slopes.push(single_value("configuration memory", &size, bytes, "bytes"));
    slopes.push(single_value(
        "configuration length",
        &size,
        text.len() as f64,
        "bytes",
    ));
    let text = ConfigText::new("base", &text);
    slopes.push(repeated("configuration check", &size, "ns", || {
        let started = Instant::now();
        let _ = black_box(FleetConfig::read(&text, None));
        started.elapsed().as_nanos() as f64
    }));
}

/// Measures the length of the frames that list customers.
fn measure_frames(lines: u64, slopes: &mut Vec<PartSlopes>) {
    let encoded_len = |message| {
        let envelope = Envelope {
            config_revision: 42_000,
            hosts_revision: 42_000,
            message: Some(message),
        };
        envelope.encode_to_vec().len() as f64
    };
    let totals = (0..lines).map(|line| TotalLine {
        customer: u32::MAX - line as u32,
        total: 5_000_000,
        pending: 800,
        backlogged: true,
        lead: 0.0,
    });
    let totals = TotalsReport {
        sequence: 10_000,
        lines: totals.collect(),
    };
    slopes.push(single_value(
        "totals frame",
        &[lines],
        encoded_len(PeerMessage::Totals(totals)),
        "bytes",
    ));
    let bids = (0..lines).map(|line| BidLine {
        customer: u32::MAX - line as u32,
        kind: u32::MAX,
        count: 100,
    });
    let bids = BidUpdate {
        lines: bids.collect(),
    };
    slopes.push(single_value(
        "bid frame",
        &[lines],
        encoded_len(PeerMessage::Bid(bids)),
        "bytes",
    ));
}

/// Measures the memory of a finished idempotency key in the ledger, and the time to claim and
/// finish it.
fn measure_ledger(slopes: &mut Vec<PartSlopes>) {
    const KEYS: u64 = 50_000;
    let start = 1_700_000_000_000_u64;
    let mut ledger = OutcomeLedger::builder(WallTime::from_unix_millis(start)).build();
    let before = resident_bytes();
    let started = Instant::now();
    for number in 0..KEYS {
        let minted = start + 10_000 + number;
        let text = format!(
            "{:08x}-{:04x}-7000-8000-{number:012x}",
            minted >> 16,
            minted & 0xffff
        );
        let Ok(key) = text.parse() else {
            return;
        };
        let now = WallTime::from_unix_millis(minted);
        let start = WallTime::from_unix_millis(start);
        let customer = CustomerId::new(1);
        ledger.claim(customer, &key, BodyDigest::of(b"body"), start, now);
        let answer = StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; 256],
        };
        ledger.finish(customer, &key, Some(answer));
    }
    let nanos = started.elapsed().as_nanos() as f64 / KEYS as f64;
    let bytes = (resident_bytes() - before) / KEYS as f64;
    slopes.push(single_value(
        "key, with an answer of 256 bytes",
        &[KEYS],
        bytes,
        "bytes",
    ));
    slopes.push(single_value(
        "claim and finish of a key",
        &[KEYS],
        nanos,
        "ns",
    ));
}

pub(super) fn repeated(
    part: &str,
    size: &[u64],
    unit: &str,
    mut measure: impl FnMut() -> f64,
) -> PartSlopes {
    let mut values: Vec<f64> = (0..REPEATS).map(|_| measure()).collect();
    values.sort_by(f64::total_cmp);
    PartSlopes {
        part: part.into(),
        size: size.to_vec(),
        value: [values[0], values[REPEATS / 2], values[REPEATS - 1]],
        unit: unit.into(),
    }
}

pub(super) fn single_value(part: &str, size: &[u64], value: f64, unit: &str) -> PartSlopes {
    PartSlopes {
        part: part.into(),
        size: size.to_vec(),
        value: [value; 3],
        unit: unit.into(),
    }
}

/// Returns the resident memory of this process, in bytes, or 0 if it cannot be read.
pub(super) fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0);
    pages * 4_096.0
}
