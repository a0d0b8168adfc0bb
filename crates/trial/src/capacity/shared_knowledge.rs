use std::hint::black_box;
use std::time::{Duration, Instant};

use cicadalock_core::id::PartId;
use cicadalock_core::message::{DemandFrame, DeskEnvelope, DeskMessage, EvidenceFrame, ShareFrame};
use cicadalock_core::quarantine::{
    CrashGuard, CrashReport, EvidenceBoard, ReportId, SoundAnswer, Suspect, SuspectRequest,
};
use cicadalock_core::time::{ClockTime, PastTime};
use prost::Message;

use super::slopes::{PartSlopes, repeated, resident_bytes, single_value};
use super::table::{
    BYTES_LIMIT_PER_S, CORE_LIMIT_PERCENT, DAY_SECONDS, FleetSize, MEMORY_LIMIT_MIB, MIB, NO_LIMIT,
    Slopes, TableWriter,
};

/// Suspects in a report, and shared parts of a prompt.
const SUSPECTS: u64 = 8;
const PARTS: u64 = 3;

/// Reports on a full board, and parts in a full memory of sound answers.
const REPORTS: u32 = 256;
const SOUND_PARTS: u64 = 4_096;

/// Copies of a report that a router sends to desks.
const COPIES: f64 = 9.0;

/// Endpoints that crash on an ordinary day: one for each host that fails.
const CRASHES_PER_DAY: f64 = 110.0;

/// Limited endpoints without a desk at one router.
const LIMITED_ENDPOINTS: f64 = 20.0;

/// Measures what routers tell each other of crashes and limits.
pub(super) fn measure_shared_knowledge(slopes: &mut Vec<PartSlopes>) {
    let now = ClockTime::from_millis(1_000_000);
    let before = resident_bytes();
    let boards: Vec<EvidenceBoard> = (0..8).map(|_| full_board()).collect();
    let bytes = (resident_bytes() - before).max(0.0) / boards.len() as f64;
    let size = [u64::from(REPORTS), SUSPECTS];
    slopes.push(single_value("board memory", &size, bytes, "bytes"));
    slopes.push(repeated("verdicts", &size, "ns", || {
        let started = Instant::now();
        black_box(boards[0].judge(now, |_, _| None));
        started.elapsed().as_nanos() as f64
    }));
    let before = resident_bytes();
    let mut guard = CrashGuard::default();
    fill_memory(&mut guard, now);
    let bytes = (resident_bytes() - before).max(0.0);
    let size = [SOUND_PARTS];
    slopes.push(single_value("sound memory", &size, bytes, "bytes"));
    measure_request(guard, now, slopes);
    measure_lengths(now, slopes);
}

/// Measures the time that the guard adds to a request, with a full memory and a refused part.
fn measure_request(mut guard: CrashGuard, now: ClockTime, slopes: &mut Vec<PartSlopes>) {
    const ROUNDS: u64 = 20_000;
    let Ok(service) = "model".parse() else {
        return;
    };
    for frame in full_board().to_frames(now) {
        guard.receive(frame, now);
    }
    guard.update(now);
    let prompt = prompt(7);
    slopes.push(repeated(
        "check and record of a request",
        &[PARTS],
        "ns",
        || {
            let started = Instant::now();
            for _ in 0..ROUNDS {
                black_box(guard.refuses(&service, &prompt));
                guard.record_sound(&service, &prompt, now, now);
            }
            started.elapsed().as_nanos() as f64 / ROUNDS as f64
        },
    ));
}

fn measure_lengths(now: ClockTime, slopes: &mut Vec<PartSlopes>) {
    let encoded = |message| DeskEnvelope::from(message).encoded_len() as f64 + FRAME_HEAD_BYTES;
    let Some(report) = report(1) else {
        return;
    };
    let evidence = DeskMessage::Evidence(EvidenceFrame {
        crashes: vec![report.to_frame(now)],
        ..EvidenceFrame::default()
    });
    slopes.push(single_value(
        "crash report",
        &[SUSPECTS, PARTS],
        encoded(evidence),
        "bytes",
    ));
    let sound = SoundAnswer {
        service: report.service.clone(),
        suspect: PartId::new(u64::MAX).into(),
        begun: PastTime::from(now),
    };
    let evidence = DeskMessage::Evidence(EvidenceFrame {
        sound: vec![sound.to_frame(now)],
        ..EvidenceFrame::default()
    });
    slopes.push(single_value("sound part", &[1], encoded(evidence), "bytes"));
    let endpoint = report.endpoint.to_string();
    let demand = DeskMessage::Demand(DemandFrame {
        endpoint: endpoint.clone(),
        limit: Some(10.9),
        age_ms: 900,
        demand: 21.0,
    });
    let share = DeskMessage::Share(ShareFrame {
        endpoint,
        limit: Some(10.9),
        share: 2.2,
        phase: 0.4,
    });
    let bytes = encoded(demand) + encoded(share);
    slopes.push(single_value("demand and share", &[1], bytes, "bytes"));
}

/// Length of the head of a frame between routers and desks.
const FRAME_HEAD_BYTES: f64 = 4.0;

fn full_board() -> EvidenceBoard {
    let mut board = EvidenceBoard::default();
    for number in 0..REPORTS {
        if let Some(report) = report(number) {
            board.add_report(report);
        }
    }
    board
}

/// A report of a crash a quarter of a second after the one before, with one part that is in all of them.
fn report(number: u32) -> Option<CrashReport> {
    let crashed = 860_000 + u64::from(number) * 250;
    let requests = (0..SUSPECTS).map(|index| SuspectRequest {
        started: PastTime::from_millis(crashed - 200),
        suspects: (0..PARTS)
            .map(|part| PartId::new(part * 1_000_000 + index * part * u64::from(number)).into())
            .collect(),
    });
    let id = ReportId {
        reporter: u64::MAX - u64::from(number % 25),
        number,
    };
    Some(CrashReport::new(
        id,
        "model".parse().ok()?,
        format!("i-{number:010x}").parse().ok()?,
        PastTime::from_millis(crashed),
        requests.collect(),
    ))
}

fn fill_memory(guard: &mut CrashGuard, now: ClockTime) {
    if let Ok(service) = "model".parse() {
        for subject in 0..SOUND_PARTS {
            guard.record_sound(&service, &prompt(subject * 16), now, now);
        }
    }
}

fn prompt(subject: u64) -> Vec<Suspect> {
    let parts = [0xa1, subject + 1, subject + 2];
    parts.map(|part| PartId::new(part).into()).to_vec()
}

/// Adds the rows on crashing parts and on limits.
pub(super) fn add_knowledge_rows(slopes: &Slopes, size: &FleetSize, table: &mut TableWriter) {
    let requests = size.requests / size.routers;
    let check = slopes.part("check and record of a request", &[PARTS]);
    let verdicts = slopes.part("verdicts", &[REPORTS.into(), SUSPECTS]);
    let board = slopes.part("board memory", &[REPORTS.into(), SUSPECTS]);
    let memory = slopes.part("sound memory", &[SOUND_PARTS]);
    let frame = slopes.part("crash report", &[SUSPECTS, PARTS]);
    let limits = slopes.part("demand and share", &[1]);
    let links = size.routers * size.subset * size.models / size.sidecars;
    // Each request in flight at the endpoint comes from a router of its own at most.
    let reports = size.requests / size.sidecars;
    let copies = reports * COPIES * (1.0 + links);
    let calm = CRASHES_PER_DAY / DAY_SECONDS;
    table.row(
        "router",
        "processor, parts of prompts",
        "(check + record) · requests",
        check * requests / 1e7,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "router",
        "processor, verdicts while endpoints crash, full board",
        "verdicts · 4 a second",
        verdicts * 4.0 / 1e7,
        "% of a core",
        CORE_LIMIT_PERCENT,
    );
    table.row(
        "router",
        "memory, crashes and parts",
        "board + sound parts",
        (board + memory) / MIB,
        "MiB",
        MEMORY_LIMIT_MIB,
    );
    table.row(
        "router",
        "reports of crashes, an ordinary day",
        "crashes a second · reports · 9 desks · (1 + connections) · frame / routers",
        calm * copies * frame / size.routers,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "router",
        "the same while an endpoint crashes each second",
        "reports · 9 desks · (1 + connections) · frame / routers",
        copies * frame / size.routers,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
    table.row(
        "router",
        "routers that do not hear of a crash",
        "1 - 9 desks · connections / routers",
        (1.0 - COPIES * links / size.routers).max(0.0) * 100.0,
        "%",
        0.0,
    );
    table.row(
        "all",
        "time until the routers of these desks know a part",
        "check + two hops + verdict's interval, after the third crash",
        CHECK_TIME.as_secs_f64() + 2.0 * HOP_TIME.as_secs_f64() + JUDGE_TIME.as_secs_f64(),
        "s",
        NO_LIMIT,
    );
    table.row(
        "router",
        "limits of 20 endpoints without a desk",
        "20 · (demand + share) a second",
        LIMITED_ENDPOINTS * limits,
        "B/s",
        BYTES_LIMIT_PER_S,
    );
}

/// Parts of the time until a part is known: the check of a crashed endpoint that still accepts
/// connections, a hop between regions, and the interval of verdicts.
const CHECK_TIME: Duration = Duration::from_millis(50);
const HOP_TIME: Duration = Duration::from_millis(50);
const JUDGE_TIME: Duration = Duration::from_millis(250);
