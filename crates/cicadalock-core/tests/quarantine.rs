//! Tests of what routers conclude from crashes of endpoints about the parts of prompts.

mod support;

use std::time::Duration;

use cicadalock_core::gateway::GatewayCall;
use cicadalock_core::id::{CustomerId, EndpointId, PartId, RequestDigest, ServiceName};
use cicadalock_core::message::EvidenceFrame;
use cicadalock_core::quarantine::{
    CrashGuard, CrashReport, EvidenceBoard, ReportId, SoundAnswer, Suspect, SuspectRequest,
    VerdictTable,
};
use cicadalock_core::serving::PromptShape;
use cicadalock_core::time::{ClockTime, PastTime};
use proptest::prelude::*;
use support::seeded;
use yare::parameterized;

/// Parts of the tests' prompts: one that begins every prompt, a bad one, and others.
const COMMON: u64 = 1;
const BAD: u64 = 0xbad;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

fn past(millis: u64) -> PastTime {
    at(millis).into()
}

fn service() -> ServiceName {
    "model".parse().expect("valid name")
}

fn endpoint(number: u32) -> EndpointId {
    format!("i-{number}").parse().expect("valid name")
}

/// What an endpoint may crash on in a request whose prompt has the given shared parts.
fn prompt(shared: &[u64]) -> Vec<Suspect> {
    let parts = shared.iter().copied().map(PartId::new);
    parts.map(Suspect::from).collect()
}

/// A crash of an endpoint of its own, with the start and the shared parts of each request there.
fn crash(number: u32, crashed: u64, requests: &[(u64, &[u64])]) -> CrashReport {
    let requests = requests.iter().map(|(started, parts)| SuspectRequest {
        started: past(*started),
        suspects: prompt(parts),
    });
    CrashReport {
        id: ReportId {
            reporter: u64::from(number % 3),
            number,
        },
        service: service(),
        endpoint: endpoint(number),
        crashed_at: past(crashed),
        requests: requests.collect(),
    }
}

fn sound(part: u64, begun: u64) -> SoundAnswer {
    SoundAnswer {
        service: service(),
        suspect: PartId::new(part).into(),
        begun: past(begun),
    }
}

fn refused(verdicts: &VerdictTable) -> Vec<u64> {
    let parts = verdicts.keys().filter_map(|(_, suspect)| match suspect {
        Suspect::Part(part) => Some(part.get()),
        Suspect::Request(_) => None,
    });
    parts.collect()
}

fn judge(board: &EvidenceBoard, millis: u64) -> VerdictTable {
    board.judge(at(millis), |_, _| None)
}

/// A board with `count` crashes, each 500 ms after the one before and begun by a request with `parts`.
fn board_in_turn(count: u32, parts: &[u64]) -> EvidenceBoard {
    let mut board = EvidenceBoard::default();
    for number in 0..count {
        let crashed = u64::from(number) * 500;
        board.add_report(crash(number, crashed + 100, &[(crashed, parts)]));
    }
    board
}

/// A guard that has received a board.
fn guard_with(board: &EvidenceBoard, millis: u64) -> CrashGuard {
    let mut guard = CrashGuard::default();
    guard.set_reporter(2);
    for frame in board.to_frames(at(millis)) {
        assert_eq!(guard.receive(frame, at(millis)), 0);
    }
    guard.update(at(millis));
    guard
}

#[parameterized(
    first = { &[BAD, COMMON, 7] },
    in_the_middle = { &[COMMON, BAD, 7] },
    last_of_the_shared = { &[COMMON, 7, BAD] },
)]
fn a_part_is_refused_wherever_it_stands_and_its_neighbors_are_not(parts: &[u64]) {
    let mut board = board_in_turn(3, parts);
    board.add_sound(sound(COMMON, 1_150));
    board.add_sound(sound(7, 1_150));
    assert_eq!(refused(&judge(&board, 2_000)), [BAD]);
    let guard = guard_with(&board, 2_000);
    assert!(guard.refuses(&service(), &prompt(&[COMMON, BAD])));
    assert!(!guard.refuses(&service(), &prompt(&[COMMON, 7])));
    let other = "other".parse().expect("valid name");
    assert!(!guard.refuses(&other, &prompt(&[BAD])), "another service");
}

#[test]
fn the_last_part_of_a_prompt_is_its_own_and_never_refused() {
    let guard = guard_with(&board_in_turn(3, &[0xffff]), 2_000);
    let prompt = PromptShape {
        input: 1_000,
        parts: PromptShape::parse_parts("1:100,ffff:10").expect("valid parts"),
        ..PromptShape::default()
    };
    let call = GatewayCall::builder(service(), CustomerId::new(1), at(0)).prompt(Some(prompt));
    assert!(!guard.refuses(&service(), &call.build().suspects));
}

#[test]
fn two_crashes_are_not_enough() {
    assert!(judge(&board_in_turn(2, &[BAD]), 5_000).is_empty());
}

#[test]
fn long_prompts_that_crash_many_endpoints_in_two_waves_are_enough() {
    let mut board = EvidenceBoard::default();
    for number in 0..6 {
        let wave = u64::from(number / 4) * 2_100;
        let crashed = wave + 2_000 + u64::from(number) * 30;
        board.add_report(crash(number, crashed, &[(wave, &[COMMON, BAD])]));
    }
    board.add_sound(sound(COMMON, 4_000));
    assert_eq!(refused(&judge(&board, 4_600)), [BAD]);
}

#[test]
fn many_endpoints_that_crash_at_once_speak_against_no_part() {
    let mut board = EvidenceBoard::default();
    for number in 0..30 {
        let moment = u64::from(number) * 5;
        board.add_report(crash(
            number,
            1_000 + moment,
            &[(600 + moment, &[COMMON, 7]), (900, &[COMMON, 8])],
        ));
    }
    assert!(judge(&board, 10_000).is_empty());
}

#[test]
fn endpoints_that_crash_one_by_one_speak_against_no_part_that_is_answered_in_between() {
    let mut board = EvidenceBoard::default();
    for number in 0..20 {
        let crashed = u64::from(number) * 1_000;
        board.add_report(crash(number, crashed + 100, &[(crashed, &[COMMON, 7])]));
        let is_late = number > 2;
        assert!(!is_late || refused(&judge(&board, crashed + 200)).is_empty());
        board.add_sound(sound(COMMON, crashed + 300));
        board.add_sound(sound(7, crashed + 300));
    }
}

#[test]
fn an_answer_that_began_before_the_crashes_does_not_clear_a_part() {
    let mut board = board_in_turn(4, &[BAD]);
    board.add_sound(sound(BAD, 0));
    assert_eq!(refused(&judge(&board, 3_000)), [BAD]);
    board.add_sound(sound(BAD, 2_000));
    assert!(judge(&board, 3_000).is_empty());
}

#[test]
fn two_bad_parts_at_once_are_both_refused() {
    let mut board = EvidenceBoard::default();
    for number in 0..8 {
        let crashed = u64::from(number) * 400;
        let bad = BAD + u64::from(number % 2);
        board.add_report(crash(number, crashed + 50, &[(crashed, &[COMMON, bad])]));
    }
    board.add_sound(sound(COMMON, 2_900));
    assert_eq!(refused(&judge(&board, 4_000)), [BAD, BAD + 1]);
}

#[test]
fn a_part_that_only_was_beside_the_bad_one_in_fewer_crashes_is_not_refused() {
    let mut board = EvidenceBoard::default();
    for number in 0..6 {
        let crashed = u64::from(number) * 500;
        let beside: &[u64] = if number < 3 { &[7] } else { &[8] };
        let requests = [(crashed, &[BAD][..]), (crashed, beside)];
        board.add_report(crash(number, crashed + 50, &requests));
    }
    assert_eq!(refused(&judge(&board, 4_000)), [BAD]);
}

#[test]
fn of_two_parts_in_the_same_crashes_the_one_that_was_never_answered_is_refused() {
    let mut board = EvidenceBoard::default();
    for number in 0..3 {
        let crashed = u64::from(number) * 500;
        let requests = [(crashed, &[COMMON, BAD][..]), (crashed, &[COMMON])];
        board.add_report(crash(number, crashed + 50, &requests));
    }
    board.add_sound(SoundAnswer {
        begun: PastTime::from_age(at(0), Duration::from_secs(1)),
        ..sound(COMMON, 0)
    });
    assert_eq!(refused(&judge(&board, 4_000)), [BAD]);
}

#[test]
fn of_parts_that_were_in_the_same_requests_each_time_only_all_together_are_refused() {
    let guard = guard_with(&board_in_turn(4, &[7, BAD]), 4_000);
    assert!(guard.refuses(&service(), &prompt(&[7, BAD])));
    assert!(!guard.refuses(&service(), &prompt(&[7])));
    assert!(!guard.refuses(&service(), &prompt(&[BAD])));
}

#[test]
fn reports_of_several_routers_of_one_crash_count_once() {
    let mut board = EvidenceBoard::default();
    for number in 0..6 {
        let mut report = crash(0, 100 + number, &[(0, &[BAD])]);
        report.id.reporter = number;
        board.add_report(report);
    }
    assert!(judge(&board, 5_000).is_empty());
}

#[test]
fn reports_that_arrive_together_after_a_pause_of_the_host_count_as_one_crash() {
    let mut board = EvidenceBoard::default();
    for number in 0..8 {
        let crashed = 1_000 + u64::from(number) * 2;
        board.add_report(crash(number, crashed, &[(crashed - 1, &[COMMON])]));
    }
    assert!(judge(&board, 5_000).is_empty());
}

#[test]
fn a_router_without_reports_tries_a_part_that_was_sound_before() {
    let mut board = board_in_turn(3, &[BAD]);
    board.add_sound(SoundAnswer {
        begun: PastTime::from_age(at(0), Duration::from_secs(1)),
        ..sound(BAD, 0)
    });
    let mut bystander = guard_with(&board, 2_600);
    bystander.set_reporter(99);
    let bad = prompt(&[BAD]);
    assert!(!bystander.begin_trial(&service(), &bad, at(20_000)));
    assert!(bystander.begin_trial(&service(), &bad, at(22_000)));
}

#[test]
fn crashes_of_one_endpoint_in_the_same_second_count_once() {
    let mut board = EvidenceBoard::default();
    for number in 0..8 {
        let crashed = u64::from(number) * 100 + 50;
        let mut report = crash(number, crashed, &[(crashed - 40, &[BAD])]);
        report.endpoint = endpoint(number % 2);
        board.add_report(report);
    }
    assert!(judge(&board, 5_000).is_empty());
}

#[test]
fn requests_sent_to_an_endpoint_that_has_crashed_speak_against_no_part() {
    let mut guard = CrashGuard::default();
    for number in 0..2 {
        let started = u64::from(number) * 700;
        lose(&mut guard, number, started, false);
        guard.record_crash(&endpoint(number), at(started + 70));
        // A proxy in front of the endpoint takes requests while it is down, and breaks them.
        for late in 0..6 {
            lose(&mut guard, number, started + 100 + late * 80, false);
        }
        guard.update(at(started + 690));
    }
    assert_eq!(guard.board().report_count(), 2);
    guard.update(at(4_000));
    assert!(!guard.refuses(&service(), &prompt(&[BAD])));
}

#[test]
fn an_endpoint_that_answers_again_can_crash_again() {
    let mut guard = CrashGuard::default();
    lose(&mut guard, 1, 0, false);
    guard.record_crash(&endpoint(1), at(70));
    guard.record_answer(&endpoint(1), at(600), at(700));
    assert!(lose(&mut guard, 1, 800, false), "a check is due");
    guard.record_crash(&endpoint(1), at(900));
    assert_eq!(guard.board().report_count(), 2);
}

/// The second answer had begun, which only an endpoint that is back can do.
#[test]
fn an_endpoint_that_is_back_and_crashes_again_before_it_completes_an_answer_is_reported_again() {
    let mut guard = CrashGuard::default();
    lose(&mut guard, 1, 0, false);
    guard.record_crash(&endpoint(1), at(70));
    lose(&mut guard, 1, 700, false);
    guard.record_crash(&endpoint(1), at(770));
    assert_eq!(guard.board().report_count(), 2);
}

#[test]
fn a_part_that_was_sound_before_is_tried_soon_and_then_ever_more_rarely() {
    let mut board = board_in_turn(3, &[BAD]);
    board.add_sound(SoundAnswer {
        begun: PastTime::from_age(at(0), Duration::from_secs(1)),
        ..sound(BAD, 0)
    });
    let bad = prompt(&[BAD]);
    let (mut trials, mut last) = (Vec::new(), 1_100);
    for number in 3..6 {
        let mut guard = guard_with(&board, last + 1_500);
        guard.set_reporter(u64::from(number - 1) % 3);
        let delay = (0..100_000)
            .step_by(500)
            .find(|millis| guard.begin_trial(&service(), &bad, at(last + millis)))
            .expect("a trial begins");
        trials.push(delay);
        last += delay + 100;
        board.add_report(crash(number, last, &[(last - 50, &[BAD])]));
    }
    assert_eq!(trials, [5_000, 20_000, 60_000]);
}

#[test]
fn another_router_tries_if_the_one_that_saw_the_last_crash_is_gone() {
    let board = board_in_turn(3, &[BAD]);
    let bad = prompt(&[BAD]);
    let mut second = guard_with(&board, 2_000);
    second.set_reporter(1);
    assert!(!second.begin_trial(&service(), &bad, at(110_000)));
    assert!(second.begin_trial(&service(), &bad, at(122_000)));
    let mut bystander = guard_with(&board, 2_000);
    bystander.set_reporter(99);
    assert!(!bystander.begin_trial(&service(), &bad, at(170_000)));
}

#[test]
fn after_a_while_the_router_of_the_last_crash_tries_one_request_and_the_others_none() {
    let board = board_in_turn(3, &[BAD]);
    let bad = prompt(&[BAD]);
    let mut guard = guard_with(&board, 2_000);
    assert!(!guard.begin_trial(&service(), &bad, at(50_000)));
    assert!(guard.begin_trial(&service(), &bad, at(62_000)));
    assert!(!guard.begin_trial(&service(), &bad, at(62_100)));
    let mut other = guard_with(&board, 2_000);
    other.set_reporter(1);
    assert!(!other.begin_trial(&service(), &bad, at(62_000)));
}

#[test]
fn a_trial_that_is_answered_ends_the_belief_and_evidence_ends_by_itself() {
    let board = board_in_turn(3, &[BAD]);
    let bad = prompt(&[BAD]);
    let mut guard = guard_with(&board, 2_000);
    guard.record_sound(&service(), &bad, at(62_000), at(63_000));
    guard.update(at(63_000));
    assert!(!guard.refuses(&service(), &bad));
    let change = guard.take_changes().pop().expect("a change");
    assert_eq!(
        (change.suspect, change.verdict),
        (PartId::new(BAD).into(), None)
    );
    let frame = guard
        .take_outgoing(at(63_000))
        .expect("the others hear of it");
    let mut other = guard_with(&board, 2_000);
    assert!(other.refuses(&service(), &bad));
    other.receive(frame, at(63_100));
    other.update(at(63_200));
    assert!(!other.refuses(&service(), &bad));
    let mut silent = guard_with(&board, 2_000);
    silent.update(at(200_000));
    assert!(!silent.refuses(&service(), &bad));
    assert!(silent.board().is_empty());
}

/// Loses a request with the bad part at an endpoint, in the way that `is_whole` tells.
fn lose(guard: &mut CrashGuard, number: u32, started: u64, is_whole: bool) -> bool {
    let times = (at(started), Some(at(started + 40)));
    let (endpoint, now) = (endpoint(number), at(started + 60));
    guard.record_break(&endpoint, &service(), &prompt(&[BAD]), times, is_whole, now)
}

#[test]
fn a_quiet_end_is_part_of_a_crash_that_is_found_later() {
    let mut guard = CrashGuard::default();
    for number in 0..3 {
        let started = u64::from(number) * 600;
        assert!(!lose(&mut guard, number, started, true), "looks whole");
        assert!(guard.record_unreached(&endpoint(number), at(started + 200)));
        guard.record_crash(&endpoint(number), at(started + 250));
        guard.update(at(started + 400));
    }
    guard.update(at(2_500));
    assert!(guard.refuses(&service(), &prompt(&[BAD])));
}

/// Each case: when the request was sent and answered after which the quiet end, at 2,060 ms, is judged.
#[parameterized(
    on_a_connection_from_before = { 1_900, 2_900, false },
    on_a_new_connection_at_once = { 2_070, 2_200, false },
    on_a_new_connection_after_it_may_have_restarted = { 2_500, 2_600, true },
    in_the_same_moment = { 1_900, 2_061, true },
)]
fn a_quiet_end_speaks_for_its_parts_once_its_endpoint_answers_others(
    sent: u64,
    answered: u64,
    is_refused: bool,
) {
    let mut guard = guard_with(&board_in_turn(3, &[BAD]), 1_900);
    assert!(guard.refuses(&service(), &prompt(&[BAD])));
    lose(&mut guard, 9, 2_000, true);
    guard.record_answer(&endpoint(9), at(sent), at(answered));
    guard.update(at(answered + 300));
    assert_eq!(guard.refuses(&service(), &prompt(&[BAD])), is_refused);
}

#[test]
fn requests_broken_by_an_endpoint_that_still_answers_speak_against_no_part() {
    let mut guard = CrashGuard::default();
    for number in 0..6 {
        let started = u64::from(number) * 600;
        assert!(lose(&mut guard, number, started, false), "a check is due");
        guard.record_alive(&endpoint(number));
        guard.update(at(started + 200));
    }
    guard.update(at(9_000));
    assert!(!guard.refuses(&service(), &prompt(&[BAD])));
    assert!(guard.board().is_empty());
}

#[test]
fn an_answer_that_had_gone_on_for_long_did_not_cause_the_crash() {
    let mut guard = CrashGuard::default();
    let times = (at(0), Some(at(100)));
    let must_check = guard.record_break(
        &endpoint(1),
        &service(),
        &prompt(&[7]),
        times,
        false,
        at(1_500),
    );
    assert!(!must_check);
    guard.record_crash(&endpoint(1), at(1_600));
    assert!(guard.board().is_empty());
}

#[test]
fn evidence_older_than_the_receiving_host_keeps_its_order() {
    let board = board_in_turn(4, &[BAD]);
    let mut young = EvidenceBoard::default();
    for frame in board.to_frames(at(4_000)) {
        young.merge(frame, ClockTime::from_millis(5));
    }
    young.merge(
        EvidenceFrame {
            sound: vec![sound(BAD, 300).to_frame(at(4_000))],
            ..EvidenceFrame::default()
        },
        ClockTime::from_millis(5),
    );
    let verdicts = young.judge(ClockTime::from_millis(5), |_, _| None);
    assert_eq!(refused(&verdicts), [BAD]);
}

#[test]
fn many_parts_that_are_seen_once_take_bounded_memory() {
    let mut guard = CrashGuard::default();
    for part in 0..100_000 {
        let now = at(part);
        guard.record_sound(&service(), &prompt(&[COMMON, 0x1_0000 + part]), now, now);
        let board = guard.board();
        assert!(board.report_count() <= 256);
    }
    assert!(guard.memory().len() <= 4_096);
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Every router reaches the same verdicts from the same evidence, in whatever order it arrives
    /// and however often.
    #[test]
    fn the_order_of_evidence_does_not_matter(
        crashes in proptest::collection::vec((0_u64..4_000, 0_u64..800, 0_u64..4, 0_u64..4), 0..20),
        sounds in proptest::collection::vec((0_u64..4, 0_u64..4_000), 0..6),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let reports: Vec<CrashReport> = crashes
            .iter()
            .enumerate()
            .map(|(number, (crashed, took, first, second))| {
                let parts = [*first, *second];
                crash(number as u32, crashed + 1_000, &[(crashed + 1_000 - took, &parts)])
            })
            .collect();
        let mut straight = EvidenceBoard::default();
        for report in &reports {
            straight.add_report(report.clone());
        }
        let mut shuffled = EvidenceBoard::default();
        for index in order {
            if !reports.is_empty() {
                shuffled.add_report(reports[index.index(reports.len())].clone());
            }
        }
        for report in reports.iter().rev() {
            shuffled.add_report(report.clone());
        }
        for (part, begun) in &sounds {
            straight.add_sound(sound(*part, *begun));
        }
        for (part, begun) in sounds.iter().rev() {
            shuffled.add_sound(sound(*part, *begun));
        }
        prop_assert_eq!(judge(&straight, 9_000), judge(&shuffled, 9_000));
    }
}

fn digest(number: u8) -> Suspect {
    RequestDigest::new([number; RequestDigest::BYTES]).into()
}

/// A crash of an endpoint at `crashed`, with the start and the number of each request there.
fn request_crash(number: u32, crashed: u64, requests: &[(u64, u8)]) -> CrashReport {
    let mut report = crash(number, crashed, &[]);
    report.requests = requests
        .iter()
        .map(|(started, request)| SuspectRequest {
            started: past(*started),
            suspects: vec![digest(*request)],
        })
        .collect();
    report
}

fn refused_requests(board: &EvidenceBoard, millis: u64, numbers: &[u8]) -> Vec<u8> {
    let guard = guard_with(board, millis);
    let numbers = numbers.iter().copied();
    numbers
        .filter(|number| guard.refuses(&service(), &[digest(*number)]))
        .collect()
}

#[test]
fn a_request_that_crashed_three_endpoints_in_two_turns_is_refused() {
    let mut board = EvidenceBoard::default();
    for (number, crashed) in [(0, 100), (1, 110), (2, 200)] {
        board.add_report(request_crash(number, crashed, &[(crashed - 60, 1)]));
    }
    assert_eq!(refused_requests(&board, 2_000, &[1, 2]), [1]);
}

#[test]
fn requests_that_an_endpoint_took_along_in_one_crash_are_not_refused() {
    let mut board = EvidenceBoard::default();
    for number in 0..3 {
        let crashed = u64::from(number) * 150 + 100;
        let company = number as u8 + 10;
        let requests = [(crashed - 60, 1), (crashed - 30, company)];
        board.add_report(request_crash(number, crashed, &requests));
    }
    assert_eq!(refused_requests(&board, 2_000, &[1, 10, 11, 12]), [1]);
}

#[test]
fn a_request_that_was_answered_in_between_is_not_refused_for_its_company() {
    let mut board = EvidenceBoard::default();
    for number in 0..3 {
        let crashed = u64::from(number) * 150 + 100;
        let requests = [(crashed - 60, 1), (crashed - 50, 2)];
        board.add_report(request_crash(number, crashed, &requests));
    }
    let answer = SoundAnswer {
        service: service(),
        suspect: digest(2),
        begun: past(300),
    };
    board.add_sound(answer);
    assert_eq!(refused_requests(&board, 2_000, &[1, 2]), [1]);
}

/// Both requests were in each crash, and neither was answered: a trial of each tells them apart.
#[test]
fn a_request_that_cannot_be_told_from_its_company_is_tried_soon() {
    let mut board = EvidenceBoard::default();
    for number in 0..3 {
        let crashed = u64::from(number) * 150 + 100;
        let requests = [(crashed - 60, 1), (crashed - 50, 2)];
        board.add_report(request_crash(number, crashed, &requests));
    }
    let mut guard = guard_with(&board, 2_000);
    let (bad, sound) = ([digest(1)], [digest(2)]);
    assert!(guard.refuses(&service(), &bad) && guard.refuses(&service(), &sound));
    assert!(!guard.begin_trial(&service(), &sound, at(4_000)));
    assert!(guard.begin_trial(&service(), &sound, at(5_500)));
    assert!(
        !guard.begin_trial(&service(), &bad, at(5_600)),
        "one after the other"
    );
    guard.record_sound(&service(), &sound, at(5_510), at(5_540));
    guard.update(at(5_800));
    assert!(!guard.refuses(&service(), &sound));
    assert!(guard.refuses(&service(), &bad));
}

#[test]
fn prompt_parts_and_requests_with_the_same_number_are_told_apart() {
    let part = u64::from_be_bytes([7; 8]);
    let board = board_in_turn(3, &[part]);
    assert!(refused_requests(&board, 2_000, &[7]).is_empty());
}

#[test]
fn the_digest_of_a_request_reaches_other_routers() {
    let report = request_crash(1, 100, &[(40, 9)]);
    let mut board = EvidenceBoard::default();
    board.add_report(report.clone());
    let mut other = EvidenceBoard::default();
    for frame in board.to_frames(at(2_000)) {
        other.merge(frame, at(2_000));
    }
    let received: Vec<_> = other
        .reports()
        .map(|report| report.requests.clone())
        .collect();
    assert_eq!(received, [report.requests]);
}

/// Endpoints cut the answers to request 5, answer others, and crash on request 1 soon after, before they are
/// checked.
#[test]
fn a_request_whose_answers_are_cut_is_not_refused_for_crashes_soon_after() {
    let mut guard = CrashGuard::default();
    let lose = |guard: &mut CrashGuard, number: u32, request: u8, started: u64, ended: u64| {
        let times = (at(started), None);
        let (endpoint, suspects) = (endpoint(number), [digest(request)]);
        guard.record_break(&endpoint, &service(), &suspects, times, false, at(ended))
    };
    for number in 0..3 {
        let start = u64::from(number) * 600;
        lose(&mut guard, number, 5, start, start + 20);
        guard.record_answer(&endpoint(number), at(start + 10), at(start + 130));
        lose(&mut guard, number, 1, start + 140, start + 200);
        guard.record_crash(&endpoint(number), at(start + 210));
    }
    guard.update(at(3_000));
    assert!(!guard.refuses(&service(), &[digest(5)]));
    assert!(guard.refuses(&service(), &[digest(1)]));
}
