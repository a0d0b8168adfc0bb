//! Tests that the soak detects violated guarantees, and that a short seeded soak finds none.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use cicadalock_standins::{Answer, EndpointRun};
use trial::soak::{
    CallKind, CallRecord, DisturbedPart, EndpointDeparture, FaultPlan, NamedLimit, SoakDisturbance,
    SoakEvidence, SoakOptions, SoakSize, find_violations, run_soak,
};
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

fn violated_guarantees(evidence: &SoakEvidence) -> Vec<&'static str> {
    find_violations(evidence)
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

const COMPLETE_OR_BROKEN: &str = "every caller gets its own answer, complete or visibly truncated";
const AT_MOST_ONCE: &str = "a request that must not be retried runs at most once";
const NOT_RUN: &str = "a request reported as not run has not run";
const EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n";

#[parameterized(
    a_booking_run_once = { call(CallKind::Booking, 200, "ok", true), 1, &[] },
    a_booking_run_twice = { call(CallKind::Booking, 200, "ok", true), 2, &[AT_MOST_ONCE] },
    a_lookup_run_twice = { call(CallKind::Lookup, 200, "ok", true), 2, &[] },
    a_refused_request_that_ran = { call(CallKind::Booking, 503, "", true), 1, &[NOT_RUN] },
    a_refused_request_that_did_not_run = { call(CallKind::Booking, 503, "", true), 0, &[] },
    an_answer_that_no_endpoint_sent = { call(CallKind::Lookup, 200, "ok", true), 0, &[COMPLETE_OR_BROKEN] },
    an_unexpected_body = { call(CallKind::Lookup, 200, "no", true), 1, &[COMPLETE_OR_BROKEN] },
    an_answer_that_breaks_off = { call(CallKind::Lookup, 200, "o", false), 1, &[] },
    a_complete_stream = { call(CallKind::Plan, 200, EVENTS, true), 2, &[] },
    a_truncated_stream_that_ends_normally = { call(CallKind::Plan, 200, "id: 1\n\n", true), 1, &[COMPLETE_OR_BROKEN] },
    a_stream_with_a_gap = { call(CallKind::Plan, 200, "id: 1\n\nid: 3\n\n", false), 1, &[COMPLETE_OR_BROKEN] },
)]
fn finds_exactly_the_violated_guarantees(record: CallRecord, runs: usize, expected: &[&str]) {
    let evidence = SoakEvidence {
        calls: vec![record],
        runs: (0..runs).map(|_| run("a-1", None)).collect(),
        ..SoakEvidence::default()
    };
    assert_eq!(violated_guarantees(&evidence), expected);
}

#[test]
fn finds_runs_that_no_caller_sent_and_forwarded_tokens() {
    let evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 200, "ok", true)],
        runs: vec![run("a-1", Some("t")), run("b-9", None)],
        ..SoakEvidence::default()
    };
    let expected = [
        "endpoints receive the customer's name but not the token",
        "endpoints run only requests that callers sent",
    ];
    assert_eq!(violated_guarantees(&evidence), expected);
}

#[test]
fn finds_revoked_tokens_that_still_work_after_the_bound() {
    let mut evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 200, "ok", true)],
        runs: vec![run("a-1", None)],
        ..SoakEvidence::default()
    };
    let sent = evidence.calls[0].sent;
    for (age, is_kept) in [(1_900, true), (2_100, false)] {
        let revoked = sent - Duration::from_millis(age);
        evidence.revoked.insert(0, revoked);
        assert_eq!(find_violations(&evidence).is_empty(), is_kept, "{age} ms");
    }
}

const LEFT_ALONE: &str = "an endpoint that left gets no more requests";

/// Each case: the run's start and the end of a disturbance, in milliseconds after the departure.
#[parameterized(
    within_the_drain_time = { 700, None, &[] },
    after_the_drain_time = { 900, None, &[LEFT_ALONE] },
    after_a_disturbance_of_the_router = { 1_500, Some((DisturbedPart::Router(10 / 4), 400)), &[] },
    long_after_a_disturbance_of_the_router = { 1_700, Some((DisturbedPart::Router(10 / 4), 400)), &[LEFT_ALONE] },
    after_a_disturbance_of_another_router = { 1_500, Some((DisturbedPart::Router(0), 400)), &[LEFT_ALONE] },
    after_a_disturbance_of_its_link = { 1_500, Some((DisturbedPart::Endpoint(1), 400)), &[] },
    left_while_the_store_was_disturbed = { 1_500, Some((DisturbedPart::Store, 0)), &[] },
    after_it_was_back = { 5_100, None, &[] },
)]
fn finds_requests_to_endpoints_that_left(
    started_ms: u64,
    disturbance: Option<(DisturbedPart, u64)>,
    expected: &[&str],
) {
    let mut evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 200, "ok", true)],
        runs: vec![run("a-1", None)],
        ..SoakEvidence::default()
    };
    let left = evidence.runs[0].1.started_at - Duration::from_millis(started_ms);
    evidence.departures.push(EndpointDeparture {
        endpoint: "i-1".to_owned(),
        left,
        back: Some(left + Duration::from_secs(5)),
    });
    evidence
        .disturbances
        .extend(disturbance.map(|(part, end_ms)| SoakDisturbance {
            part,
            from: left - Duration::from_secs(1),
            until: Some(left + Duration::from_millis(end_ms)),
        }));
    assert_eq!(violated_guarantees(&evidence), expected);
}

const ABOVE_LIMIT: &str = "an endpoint gets no more than its limit from all routers together";

/// Each case: the number of requests, 10 ms apart from a time after the limit was named, in milliseconds,
/// and the end of a disturbance of their router. A limit of two a second allows 17 in four seconds.
#[parameterized(
    as_many_as_allowed = { 17, 1_300, None, &[] },
    more_than_allowed = { 18, 1_300, None, &[ABOVE_LIMIT] },
    before_all_have_to_know = { 18, 900, None, &[] },
    from_a_router_that_was_disturbed = { 18, 1_300, Some(500), &[] },
    after_the_limit_has_ended = { 18, 9_000, None, &[] },
)]
fn finds_requests_above_a_named_limit(
    count: u64,
    first_ms: u64,
    disturbed_ms: Option<u64>,
    expected: &[&str],
) {
    let named = Instant::now();
    let after = |millis| named + Duration::from_millis(millis);
    let mut evidence = SoakEvidence {
        limits: vec![NamedLimit {
            endpoint: "i-1".to_owned(),
            tenths: 20,
            from: named,
            until: Some(after(8_000)),
        }],
        ..SoakEvidence::default()
    };
    for index in 0..count {
        let mut record = call(CallKind::Lookup, 200, "ok", true);
        record.number = format!("a-{index:x}");
        record.answer = None;
        let (endpoint, mut run) = run(&record.number, None);
        run.started_at = after(first_ms + index * 10);
        evidence.calls.push(record);
        evidence.runs.push((endpoint, run));
    }
    let disturbance = disturbed_ms.map(|until_ms| SoakDisturbance {
        part: DisturbedPart::Router(10 / 4),
        from: named,
        until: Some(after(until_ms)),
    });
    evidence.disturbances.extend(disturbance);
    assert_eq!(violated_guarantees(&evidence), expected);
}

const KEPT_FROM: &str = "a part that crashes endpoints is kept from them";

/// Each case: the number of crashes, 100 ms apart, of requests after the contact time, and what was
/// disturbed all the while.
#[parameterized(
    a_few_late_requests = { 5, 3, None, &[] },
    more_late_requests = { 5, 4, None, &[KEPT_FROM] },
    too_few_crashes = { 4, 4, None, &[] },
    while_their_router_was_disturbed = { 5, 4, Some(DisturbedPart::Router(10 / 4)), &[] },
    behind_a_disturbed_link = { 5, 4, Some(DisturbedPart::Endpoint(1)), &[] },
    while_the_only_desk_was_disturbed = { 5, 4, Some(DisturbedPart::Desk(0)), &[] },
)]
fn finds_a_crashing_part_that_still_reaches_endpoints(
    crashes: u64,
    late: u64,
    disturbed: Option<DisturbedPart>,
    expected: &[&str],
) {
    let start = Instant::now();
    let mut evidence = SoakEvidence {
        desks: 1,
        ..SoakEvidence::default()
    };
    let from_crashes = (0..crashes).map(|index| index * 100);
    let times = from_crashes.chain((0..late).map(|index| 2_500 + index * 100));
    for (index, millis) in times.enumerate() {
        let mut record = call(CallKind::Crashing, 200, "", false);
        record.number = format!("a-{index:x}");
        record.answer = None;
        let (endpoint, mut run) = run(&record.number, None);
        run = run.with_parts("c0:9,bad1:9,5:9");
        run.started_at = start + Duration::from_millis(millis);
        if (index as u64) < crashes {
            evidence.crashes.push((endpoint.clone(), run.started_at));
        }
        evidence.calls.push(record);
        evidence.runs.push((endpoint, run));
    }
    evidence
        .disturbances
        .extend(disturbed.map(|part| SoakDisturbance {
            part,
            from: start,
            until: None,
        }));
    assert_eq!(violated_guarantees(&evidence), expected);
}

#[test]
fn finds_requests_that_are_not_served_once_faults_are_over() {
    let mut evidence = SoakEvidence {
        calls: vec![call(CallKind::Lookup, 503, "", true)],
        ..SoakEvidence::default()
    };
    assert!(find_violations(&evidence).is_empty());
    evidence.fault_free_from = Some(evidence.calls[0].sent - Duration::from_secs(1));
    let expected = ["once faults are over, requests are served"];
    assert_eq!(violated_guarantees(&evidence), expected);
}

#[test]
fn equal_seeds_give_equal_plans_and_different_seeds_different_plans() {
    let length = Duration::from_secs(20);
    let draw = |seed| FaultPlan::draw(seed, length, SoakSize::scaled(1));
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    let plan = draw(3);
    let overlaps = plan
        .steps
        .windows(2)
        .filter(|pair| pair[1].at < pair[0].at + pair[0].span);
    assert!(
        overlaps.count() > plan.steps.len() / 2,
        "fewer than half of the faults overlap with the next one"
    );
}

/// Runs a short soak for a fixed seed and for every seed that has ever failed.
#[parameterized(
    seed_1 = { 1 },
    requests_sent_to_a_crashed_endpoint_counted_as_crashes = { 62_005 },
    reports_read_together_counted_as_crashes_in_turn = { 72_006 },
    a_sound_part_refused_beside_a_crashing_one = { 81_008 },
)]
fn a_short_soak_violates_no_guarantee(seed: u64) {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(5),
        size: SoakSize::scaled(1),
        program: PathBuf::from(env!("CARGO_BIN_EXE_trial")),
        folder: folder.path().to_owned(),
    };
    let report = run_soak(&options).expect("run the soak");
    assert!(report.broken.is_empty(), "{report}");
}
