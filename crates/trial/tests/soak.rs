//! Tests that the soak detects violated guarantees, and that a short seeded soak finds none.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use cicadalock_standins::{Answer, EndpointRun};
use trial::soak::{
    CallKind, CallRecord, DisturbedPart, EndpointDeparture, EndpointSilence, FaultPlan, NamedLimit,
    SilentGroup, SoakDisturbance, SoakEvidence, SoakFault, SoakOptions, SoakSize, TokenPeriod,
    find_violations, run_soak,
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
const WHOLE: &str = "a silent endpoint or planned work leaves no caller without a whole answer";
const EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n";

#[parameterized(
    a_booking_run_once = { call(CallKind::Booking, 200, "ok", true), 1, &[] },
    a_booking_run_twice = { call(CallKind::Booking, 200, "ok", true), 2, &[AT_MOST_ONCE] },
    a_lookup_run_twice = { call(CallKind::Lookup, 200, "ok", true), 2, &[] },
    a_refused_request_that_ran = { call(CallKind::Booking, 503, "", true), 1, &[NOT_RUN] },
    a_refused_request_that_did_not_run = { call(CallKind::Booking, 503, "", true), 0, &[] },
    an_answer_that_no_endpoint_sent = { call(CallKind::Lookup, 200, "ok", true), 0, &[COMPLETE_OR_BROKEN] },
    an_unexpected_body = { call(CallKind::Lookup, 200, "no", true), 1, &[COMPLETE_OR_BROKEN] },
    an_answer_that_breaks_off = { call(CallKind::Lookup, 200, "o", false), 1, &[WHOLE] },
    a_complete_stream = { call(CallKind::Plan, 200, EVENTS, true), 2, &[] },
    a_truncated_stream_that_ends_normally = { call(CallKind::Plan, 200, "id: 1\n\n", true), 1, &[COMPLETE_OR_BROKEN] },
    a_stream_with_a_gap = { call(CallKind::Plan, 200, "id: 1\n\nid: 3\n\n", false), 1, &[COMPLETE_OR_BROKEN, WHOLE] },
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
            is_planned: false,
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
        let mut record = call(CallKind::Leaving, 200, "ok", true);
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
        is_planned: false,
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
            is_planned: false,
        }));
    assert_eq!(violated_guarantees(&evidence), expected);
}

/// Each case: the number of crashes, 100 ms apart, by one lookup, and of lookups after the contact time.
#[parameterized(
    a_few_late_requests = { 3, 3, &[] },
    more_late_requests = { 3, 4, &["a request that crashes endpoints is kept from them"] },
    too_few_crashes = { 2, 4, &[] },
)]
fn finds_a_crashing_request_that_still_reaches_endpoints(
    crashes: u64,
    late: u64,
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
        let mut record = call(CallKind::CrashingLookup, 200, "", false);
        record.number = format!("a-{index:x}");
        record.answer = None;
        let (endpoint, mut run) = run(&record.number, None);
        run.head = run.head.replacen("GET /", "GET /look/bad1/ok", 1);
        run.started_at = start + Duration::from_millis(millis);
        if (index as u64) < crashes {
            evidence.crashes.push((endpoint.clone(), run.started_at));
        }
        evidence.calls.push(record);
        evidence.runs.push((endpoint, run));
    }
    assert_eq!(violated_guarantees(&evidence), expected);
}

/// A journey of router 2 that ran at `i-4`, answered after `ended_ms`.
fn journey(status: u16, body: &str, is_whole: bool, ended_ms: u64) -> SoakEvidence {
    let mut record = call(CallKind::Journey, status, body, is_whole);
    let (_, run) = run("a-1", None);
    record.ended = record.sent + Duration::from_millis(ended_ms);
    if let Some(answer) = &mut record.answer {
        // A failure arrives as a whole when it ends.
        answer.last_part_at = if status == 200 {
            record.sent
        } else {
            record.ended
        };
    }
    SoakEvidence {
        calls: vec![record],
        runs: vec![("i-1".to_owned(), run)],
        ..SoakEvidence::default()
    }
}

#[parameterized(
    a_whole_answer = { 200, EVENTS, true, 1_500, &[] },
    a_refusal_that_ran = { 503, "", true, 1_500, &[NOT_RUN] },
    a_broken_stream = { 200, "id: 1\n\n", false, 1_500, &[WHOLE] },
    a_failure_of_the_router = { 502, "", true, 1_500, &[WHOLE] },
    a_failure_after_the_patience_of_the_caller = { 504, "", true, 4_100, &[] },
    after_the_patience_of_the_caller = { 200, "id: 1\n\n", false, 4_100, &[] },
)]
fn finds_callers_without_a_whole_answer(
    status: u16,
    body: &str,
    is_whole: bool,
    ended_ms: u64,
    expected: &[&str],
) {
    let evidence = journey(status, body, is_whole, ended_ms);
    assert_eq!(violated_guarantees(&evidence), expected);
}

/// Each case: what was disturbed at the start of the request, whether that was planned, and the rest of the
/// endpoint's silence when the answer ended, in milliseconds.
#[parameterized(
    of_its_router = { Some(DisturbedPart::Router(10 / 4)), false, None, &[] },
    of_another_router = { Some(DisturbedPart::Router(0)), false, None, &[WHOLE] },
    of_its_endpoint = { Some(DisturbedPart::Endpoint(1)), false, None, &[] },
    of_the_store = { Some(DisturbedPart::Store), false, None, &[WHOLE] },
    by_planned_work = { Some(DisturbedPart::Router(10 / 4)), true, None, &[WHOLE] },
    by_a_silence_that_the_caller_bears = { None, false, Some(500), &[WHOLE] },
    by_a_silence_that_the_caller_does_not_bear = { None, false, Some(3_000), &[] },
)]
fn finds_callers_without_a_whole_answer_beside_a_disturbance(
    part: Option<DisturbedPart>,
    is_planned: bool,
    silence_ms: Option<u64>,
    expected: &[&str],
) {
    let mut evidence = journey(200, "id: 1\n\n", false, 1_500);
    let (from, ended) = (evidence.calls[0].sent, evidence.calls[0].ended);
    evidence
        .disturbances
        .extend(part.map(|part| SoakDisturbance {
            part,
            from,
            until: Some(from),
            is_planned,
        }));
    evidence
        .silences
        .extend(silence_ms.map(|millis| EndpointSilence {
            endpoint: "i-1".to_owned(),
            from,
            until: ended + Duration::from_millis(millis),
        }));
    assert_eq!(violated_guarantees(&evidence), expected);
}

/// Each case: the time after a stop at which the request was sent and how long it took, in milliseconds.
#[parameterized(
    long_before_the_end_of_the_grace_period = { 1_000, 2_500, &[WHOLE] },
    when_the_grace_period_is_nearly_over = { 2_000, 2_500, &[] },
)]
fn finds_callers_without_a_whole_answer_beside_a_stop(
    sent_ms: u64,
    took_ms: u64,
    expected: &[&str],
) {
    let mut evidence = journey(200, "id: 1\n\n", false, took_ms);
    let stopped = evidence.calls[0].sent - Duration::from_millis(sent_ms);
    evidence.stops.push((10 / 4, stopped));
    assert_eq!(violated_guarantees(&evidence), expected);
}

const GONE_BACK: &str = "a router does not go back to an older configuration";
const IN_FORCE: &str = "a configuration is in force within its bound";

/// Each case: the token and the time of a second request, in milliseconds after the first one ran with token
/// 2, its status, and the time of a start of the router.
#[parameterized(
    with_an_older_token = { 1, 300, 200, None, &[GONE_BACK] },
    with_an_older_token_in_time = { 1, 200, 200, None, &[] },
    with_the_same_token = { 2, 300, 200, None, &[] },
    denied = { 2, 300, 401, None, &[GONE_BACK] },
    denied_after_a_start = { 2, 300, 401, Some(250), &[] },
    with_an_older_token_after_a_start = { 1, 300, 200, Some(250), &[] },
)]
fn finds_routers_that_go_back_to_an_older_configuration(
    token: u64,
    sent_ms: u64,
    status: u16,
    start_ms: Option<u64>,
    expected: &[&str],
) {
    let mut first = call(CallKind::Lookup, 200, "ok", true);
    first.token = 2;
    let (endpoint, ran) = run("a-1", None);
    let after = |millis| ran.started_at + Duration::from_millis(millis);
    let mut second = first.clone();
    second.number = "a-2".to_owned();
    second.token = token;
    (second.sent, second.ended) = (after(sent_ms), after(sent_ms + 10));
    second.answer = Some(Answer::signed(status, "a-2", "i-1", "ok", true));
    let mut evidence = SoakEvidence {
        calls: vec![first, second],
        runs: vec![(endpoint, ran.clone())],
        starts: start_ms
            .map(|millis| (10 / 4, after(millis)))
            .into_iter()
            .collect(),
        ..SoakEvidence::default()
    };
    if status == 200 {
        let (endpoint, mut second) = run("a-2", None);
        second.started_at = after(sent_ms);
        evidence.runs.push((endpoint, second));
    }
    assert_eq!(violated_guarantees(&evidence), expected);
}

/// Each case: the time for which the store had held the token when a request was denied, in milliseconds, the
/// time after that at which it lost the token, and what was disturbed.
#[parameterized(
    within_the_bound = { 700, None, None, &[] },
    after_the_bound = { 900, None, None, &[IN_FORCE] },
    lost_meanwhile = { 900, Some(0), None, &[] },
    lost_later = { 900, Some(100), None, &[IN_FORCE] },
    beside_a_disturbance_of_the_router = { 900, None, Some(DisturbedPart::Router(10 / 4)), &[] },
    beside_a_disturbance_of_the_store = { 900, None, Some(DisturbedPart::Store), &[] },
)]
fn finds_tokens_that_are_denied_though_the_store_holds_them(
    held_ms: u64,
    lost_ms: Option<u64>,
    part: Option<DisturbedPart>,
    expected: &[&str],
) {
    let record = call(CallKind::Lookup, 401, "", true);
    let (from, ended) = (record.sent - Duration::from_millis(held_ms), record.ended);
    let period = TokenPeriod {
        token: 0,
        from,
        until: lost_ms.map(|millis| ended + Duration::from_millis(millis)),
    };
    let disturbance = part.map(|part| SoakDisturbance {
        part,
        from,
        until: Some(from),
        is_planned: false,
    });
    let evidence = SoakEvidence {
        calls: vec![record],
        tokens: vec![period],
        disturbances: disturbance.into_iter().collect(),
        ..SoakEvidence::default()
    };
    assert_eq!(violated_guarantees(&evidence), expected);
}

/// Each case: the number of requests of a router without faults, and whether a second listed endpoint left.
#[parameterized(
    with_many_requests = { 60, false, &["an endpoint that is listed is used"] },
    with_few_requests = { 59, false, &[] },
    that_has_left = { 60, true, &[] },
)]
fn finds_listed_endpoints_that_a_router_does_not_use(
    requests: u64,
    has_left: bool,
    expected: &[&str],
) {
    let start = Instant::now();
    let mut evidence = SoakEvidence {
        endpoints: vec!["i-1".to_owned(), "i-2".to_owned()],
        fault_free_from: Some(start),
        departures: Vec::from_iter(has_left.then(|| EndpointDeparture {
            endpoint: "i-2".to_owned(),
            left: start,
            back: None,
        })),
        ..SoakEvidence::default()
    };
    for index in 0..requests {
        let number = format!("a-{index:x}");
        let mut record = call(CallKind::Lookup, 200, "ok", true);
        record.sent = start + Duration::from_millis(1);
        record.answer = Some(Answer::signed(200, &number, "i-1", "ok", true));
        evidence.runs.push(run(&number, None));
        evidence.calls.push(CallRecord { number, ..record });
    }
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

#[test]
fn plans_hold_silences_of_all_kinds_and_restores_in_series() {
    let plan = FaultPlan::draw(1, Duration::from_secs(60), SoakSize::scaled(1));
    let is_silence = |group: fn(&SilentGroup) -> bool| {
        let mut steps = plan.steps.iter();
        steps.any(|step| matches!(step.fault, SoakFault::Silence(silent) if group(&silent)))
    };
    assert!(is_silence(|group| matches!(group, SilentGroup::One(_))));
    assert!(is_silence(|group| matches!(
        group,
        SilentGroup::EveryOther { .. }
    )));
    assert!(is_silence(|group| *group == SilentGroup::All));
    let steps = plan.steps.iter();
    let restores: Vec<_> = steps
        .filter(|step| matches!(step.fault, SoakFault::StoreRestores { .. }))
        .collect();
    let in_series = restores
        .windows(2)
        .filter(|pair| pair[1].at < pair[0].at + pair[0].span + Duration::from_secs(2));
    assert!(
        in_series.count() > 0,
        "no restore follows another one within two seconds"
    );
}

/// Runs a short soak for a fixed seed and for every seed that has ever failed.
#[parameterized(
    seed_1 = { 1 },
    requests_sent_to_a_crashed_endpoint_counted_as_crashes = { 62_005 },
    reports_read_together_counted_as_crashes_in_turn = { 72_006 },
    a_sound_part_refused_beside_a_crashing_one = { 81_008 },
    streams_and_lookups_failed_beside_silent_endpoints = { 401 },
    a_store_that_comes_back_older_beside_killed_routers = { 202 },
    a_store_that_comes_back_older_beside_changed_tokens = { 403 },
    a_router_that_starts_before_the_operator_writes_again = { 505 },
)]
fn a_short_soak_violates_no_guarantee(seed: u64) {
    run_short_soak(seed, false);
}

#[parameterized(
    seed_28 = { 28 },
)]
fn a_short_soak_with_lookups_that_crash_applications_violates_no_guarantee(seed: u64) {
    run_short_soak(seed, true);
}

fn run_short_soak(seed: u64, has_crashing_lookups: bool) {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let options = SoakOptions {
        seed,
        length: Duration::from_secs(5),
        size: SoakSize::scaled(1),
        has_crashing_lookups,
        program: PathBuf::from(env!("CARGO_BIN_EXE_trial")),
        folder: folder.path().to_owned(),
    };
    let report = run_soak(&options).expect("run the soak");
    assert!(report.broken.is_empty(), "{report}");
}
