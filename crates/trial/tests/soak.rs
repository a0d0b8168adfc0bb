//! The soak: its judge finds what it is for, and a short seeded run keeps every promise.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use cicadalock_standins::{Answer, EndpointRun};
use trial::soak::{CallKind, CallRecord, FaultPlan, SoakEvidence, SoakOptions, judge, run_soak};
use yare::parameterized;

fn call(kind: CallKind, status: u16, body: &str, is_whole: bool) -> CallRecord {
    let now = Instant::now();
    CallRecord {
        number: "a-1".to_owned(),
        kind,
        token: 0,
        sent: now,
        ended: now,
        answer: Some(Answer::signed(status, "a-1", "i-1", body, is_whole)),
    }
}

fn run(number: &str, token: Option<&str>) -> (String, EndpointRun) {
    ("i-1".to_owned(), EndpointRun::now(number, "school", token))
}

fn promises(evidence: &SoakEvidence) -> Vec<&'static str> {
    judge(evidence)
        .iter()
        .map(|broken| broken.promise)
        .collect()
}

const WHOLE: &str = "every caller gets its own whole answer or a visible break";
const ONCE: &str = "what may run once runs once";
const TRUE: &str = "a refusal that says not run is true";
const EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n";

#[parameterized(
    a_booking_run_once = { call(CallKind::Booking, 200, "ok", true), 1, &[] },
    a_booking_run_twice = { call(CallKind::Booking, 200, "ok", true), 2, &[ONCE] },
    a_lookup_run_twice = { call(CallKind::Lookup, 200, "ok", true), 2, &[] },
    a_refusal_that_ran = { call(CallKind::Booking, 503, "", true), 1, &[TRUE] },
    a_refusal_that_did_not = { call(CallKind::Booking, 503, "", true), 0, &[] },
    an_answer_that_nobody_gave = { call(CallKind::Lookup, 200, "ok", true), 0, &[WHOLE] },
    another_body = { call(CallKind::Lookup, 200, "no", true), 1, &[WHOLE] },
    a_visible_break = { call(CallKind::Lookup, 200, "o", false), 1, &[] },
    a_whole_stream = { call(CallKind::Plan, 200, EVENTS, true), 2, &[] },
    a_stream_that_looks_whole = { call(CallKind::Plan, 200, "id: 1\n\n", true), 1, &[WHOLE] },
    a_stream_with_a_gap = { call(CallKind::Plan, 200, "id: 1\n\nid: 3\n\n", false), 1, &[WHOLE] },
)]
fn the_judge_tells_kept_from_broken(record: CallRecord, runs: usize, expected: &[&str]) {
    let evidence = SoakEvidence {
        calls: vec![record],
        runs: (0..runs).map(|_| run("a-1", None)).collect(),
        ..SoakEvidence::default()
    };
    assert_eq!(promises(&evidence), expected);
}

#[test]
fn the_judge_finds_runs_of_nobody_and_tokens_that_were_passed_on() {
    let evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 200, "ok", true)],
        runs: vec![run("a-1", Some("t")), run("b-9", None)],
        ..SoakEvidence::default()
    };
    let expected = [
        "endpoints see the customer and not the token",
        "only callers' requests run",
    ];
    assert_eq!(promises(&evidence), expected);
}

#[test]
fn the_judge_finds_tokens_that_work_too_long() {
    let mut evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 200, "ok", true)],
        runs: vec![run("a-1", None)],
        ..SoakEvidence::default()
    };
    let sent = evidence.calls[0].sent;
    for (age, is_kept) in [(1_900, true), (2_100, false)] {
        let revoked = sent - Duration::from_millis(age);
        evidence.revoked.insert(0, revoked);
        assert_eq!(judge(&evidence).is_empty(), is_kept, "{age} ms");
    }
}

#[test]
fn the_judge_finds_what_is_not_served_once_faults_are_over() {
    let mut evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 503, "", true)],
        ..SoakEvidence::default()
    };
    assert!(judge(&evidence).is_empty());
    evidence.calm_from = Some(evidence.calls[0].sent - Duration::from_secs(1));
    let expected = ["once faults are over, requests are served"];
    assert_eq!(promises(&evidence), expected);
}

#[test]
fn a_seed_gives_the_same_faults_and_others_give_others() {
    let length = Duration::from_secs(20);
    assert_eq!(FaultPlan::draw(3, length), FaultPlan::draw(3, length));
    assert_ne!(FaultPlan::draw(3, length), FaultPlan::draw(4, length));
    let plan = FaultPlan::draw(3, length);
    let overlaps = plan
        .steps
        .windows(2)
        .filter(|pair| pair[1].at < pair[0].at + pair[0].span);
    assert!(overlaps.count() > plan.steps.len() / 2, "faults overlap");
}

/// Seeds that are played with each change: one that is fresh to nobody, and each that ever failed.
#[parameterized(seed_1 = { 1 })]
fn a_short_soak_keeps_every_promise(seed: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(5),
        program: PathBuf::from(env!("CARGO_BIN_EXE_trial")),
        folder: folder.path().to_owned(),
    };
    let report = run_soak(&options).expect("the soak runs");
    assert!(report.broken.is_empty(), "{report}");
}
