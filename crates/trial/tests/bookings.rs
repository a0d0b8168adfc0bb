//! What may not run twice, with real processes: the endpoints' own logs are counted.

mod support;

use std::time::Duration;

use support::{
    booking, desk_fleet, effects_of, new_key, send, send_aside, settle, wait_for, with_header,
};
use trial::load::CallVerdict;
use trial::proxy::ProxyFault;

const HOLD: ProxyFault = ProxyFault {
    delay: Duration::ZERO,
    holds_forward: true,
    holds_backward: true,
    refuses: true,
};

#[test]
fn a_retry_at_another_router_gets_the_first_answer() {
    let fleet = desk_fleet(3, 2).start().expect("a fleet");
    settle(&fleet);
    for number in 0..6 {
        let key = new_key();
        let plan = booking(Some(&key), &format!("recorder {number}"));
        let first = send(fleet.routers[0].callers, &plan);
        let second = send(fleet.routers[1].callers, &plan);
        assert_eq!(first.verdict, CallVerdict::Complete);
        assert_eq!(second.verdict, CallVerdict::Complete);
        assert_eq!(first.body, second.body);
        assert_eq!(effects_of(&fleet, "udlaan", &plan.body), 1);
    }
}

#[test]
fn a_retry_while_the_first_runs_is_told_so_and_another_body_is_refused() {
    let fleet = desk_fleet(3, 2).start().expect("a fleet");
    settle(&fleet);
    let key = new_key();
    let plan = with_header(booking(Some(&key), "ukulele"), "x-standin-ms", "800");
    let first = send_aside(fleet.routers[0].callers, plan.clone());
    assert!(wait_for(Duration::from_secs(3), || effects_of(
        &fleet, "udlaan", "ukulele"
    ) == 1));
    let during = send(fleet.routers[1].callers, &plan);
    assert_eq!((during.status, during.outcome.as_str()), (409, "unknown"));
    let other = send(fleet.routers[1].callers, &booking(Some(&key), "drum"));
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(
        first.join().expect("the first caller").verdict,
        CallVerdict::Complete
    );
    assert_eq!(effects_of(&fleet, "udlaan", "ukulele"), 1);
    assert_eq!(effects_of(&fleet, "udlaan", "drum"), 0);
}

#[test]
fn keys_without_a_time_or_from_another_time_are_not_run() {
    let fleet = desk_fleet(1, 1).start().expect("a fleet");
    settle(&fleet);
    let router = fleet.routers[0].callers;
    let cases = [
        ("plain-text", 400, "not-run"),
        ("550e8400-e29b-41d4-a716-446655440000", 400, "not-run"),
        // Minted in 2015: it may have been run and forgotten.
        ("014a0000-0000-7000-8000-000000000001", 409, "unknown"),
        // Minted in 2100.
        ("03bb2cc3-d800-7000-8000-000000000001", 400, "not-run"),
    ];
    for (key, status, outcome) in cases {
        let answer = send(router, &booking(Some(key), key));
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (status, outcome),
            "{key}"
        );
        assert_eq!(effects_of(&fleet, "udlaan", key), 0);
    }
}

#[test]
fn a_retry_after_every_sidecar_restarted_is_unknown_and_not_run_again() {
    let mut fleet = desk_fleet(3, 2).start().expect("a fleet");
    settle(&fleet);
    let key = new_key();
    let plan = booking(Some(&key), "recorder");
    assert_eq!(
        send(fleet.routers[0].callers, &plan).verdict,
        CallVerdict::Complete
    );
    for index in 0..3 {
        fleet.sidecars[index]
            .child
            .as_mut()
            .expect("a sidecar")
            .kill();
        fleet.start_sidecar(index).expect("a sidecar");
    }
    settle(&fleet);
    let retry = send(fleet.routers[1].callers, &plan);
    assert_eq!((retry.status, retry.outcome.as_str()), (409, "unknown"));
    assert_eq!(effects_of(&fleet, "udlaan", "recorder"), 1);
    let fresh = send(
        fleet.routers[1].callers,
        &booking(Some(&new_key()), "another"),
    );
    assert_eq!(fresh.verdict, CallVerdict::Complete);
}

#[test]
fn a_sidecar_killed_while_a_booking_runs_leaves_one_effect_and_an_unknown_outcome() {
    let mut fleet = desk_fleet(1, 2).start().expect("a fleet");
    settle(&fleet);
    for has_key in [false, true] {
        // A key minted before the sidecar's restart would rightly be unknown.
        let key = has_key.then(new_key);
        let body = format!("booking {}", key.is_some());
        let plan = with_header(booking(key.as_deref(), &body), "x-standin-ms", "1500");
        let caller = send_aside(fleet.routers[0].callers, plan.clone());
        assert!(wait_for(Duration::from_secs(3), || effects_of(
            &fleet, "udlaan", &body
        ) == 1));
        fleet.sidecars[0].child.as_mut().expect("a sidecar").kill();
        fleet.start_sidecar(0).expect("a sidecar");
        let answer = caller.join().expect("the caller");
        assert_eq!(answer.verdict, CallVerdict::Unknown);
        if key.is_some() {
            let retry = send(fleet.routers[1].callers, &plan);
            assert_eq!(retry.verdict, CallVerdict::Unknown);
        }
        assert_eq!(effects_of(&fleet, "udlaan", &body), 1);
        settle(&fleet);
    }
}

#[test]
fn a_router_killed_while_a_booking_runs_leaves_its_answer_for_the_retry() {
    let mut fleet = desk_fleet(2, 2).start().expect("a fleet");
    settle(&fleet);
    let plan = with_header(booking(Some(&new_key()), "ukulele"), "x-standin-ms", "700");
    let caller = send_aside(fleet.routers[0].callers, plan.clone());
    assert!(wait_for(Duration::from_secs(3), || effects_of(
        &fleet, "udlaan", "ukulele"
    ) == 1));
    fleet.routers[0].child.as_mut().expect("a router").kill();
    assert_eq!(
        caller.join().expect("the caller").verdict,
        CallVerdict::Unreachable
    );
    std::thread::sleep(Duration::from_millis(900));
    let retry = send(fleet.routers[1].callers, &plan);
    assert_eq!(retry.verdict, CallVerdict::Complete);
    assert_eq!(effects_of(&fleet, "udlaan", "ukulele"), 1);
}

#[test]
fn a_sidecar_frozen_past_its_leases_runs_nothing_when_it_wakes() {
    let mut fleet = desk_fleet(2, 2).start().expect("a fleet");
    settle(&fleet);
    let mut callers = Vec::new();
    let mut plans = Vec::new();
    let child = fleet.sidecars[0].child.as_ref().expect("a sidecar");
    child.freeze();
    // Requests reach the frozen sidecar's socket and are retried at the other router.
    for number in 0..10 {
        let plan = booking(Some(&new_key()), &format!("frozen {number}"));
        callers.push(send_aside(fleet.routers[0].callers, plan.clone()));
        callers.push(send_aside(fleet.routers[1].callers, plan.clone()));
        plans.push(plan);
    }
    std::thread::sleep(Duration::from_secs(7));
    child.wake();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    for (plan, pair) in plans.iter().zip(answers.chunks(2)) {
        let count = effects_of(&fleet, "udlaan", &plan.body);
        assert!(count <= 1, "{count} effects of {}", plan.body);
        let told_not_run = pair
            .iter()
            .any(|answer| answer.verdict == CallVerdict::NotRun);
        assert!(
            !told_not_run || count == 0,
            "told not run, but ran: {}",
            plan.body
        );
        let is_complete = pair
            .iter()
            .any(|answer| answer.verdict == CallVerdict::Complete);
        assert!(!is_complete || count == 1);
    }
    fleet.sidecars.clear();
}

#[test]
fn a_network_cut_in_either_direction_leaves_at_most_one_effect_and_true_outcomes() {
    let fleet = desk_fleet(2, 2).proxies().start().expect("a fleet");
    settle(&fleet);
    let faults = [
        ProxyFault {
            holds_forward: true,
            ..ProxyFault::default()
        },
        ProxyFault {
            holds_backward: true,
            ..ProxyFault::default()
        },
        HOLD,
    ];
    for (round, fault) in faults.into_iter().enumerate() {
        let mut callers = Vec::new();
        for number in 0..8 {
            let key = (number % 2 == 0).then(new_key);
            let plan = booking(key.as_deref(), &format!("cut {round}-{number}"));
            let plan = with_header(plan, "x-standin-ms", "300");
            callers.push((
                plan.clone(),
                send_aside(fleet.routers[number % 2].callers, plan),
            ));
            std::thread::sleep(Duration::from_millis(15));
        }
        let proxy = fleet.sidecars[0].proxy.as_ref().expect("a proxy");
        proxy.set_fault(fault);
        std::thread::sleep(Duration::from_millis(5_000));
        proxy.set_fault(ProxyFault::default());
        proxy.cut();
        for (plan, caller) in callers {
            let answer = caller.join().expect("a caller");
            let count = effects_of(&fleet, "udlaan", &plan.body);
            assert!(count <= 1, "{count} effects of {}", plan.body);
            assert!(
                answer.verdict != CallVerdict::NotRun || count == 0,
                "{} ran",
                plan.body
            );
            assert!(answer.verdict != CallVerdict::Complete || count == 1);
            if !plan.headers[0].0.starts_with('x') {
                let retry = send(fleet.routers[0].callers, &plan);
                let count = effects_of(&fleet, "udlaan", &plan.body);
                assert!(count <= 1, "{count} effects of {} after a retry", plan.body);
                assert!(retry.verdict != CallVerdict::NotRun || count == 0);
            }
        }
        settle(&fleet);
    }
}

#[test]
fn a_home_that_moves_runs_no_key_of_the_old_home_again() {
    let mut fleet = desk_fleet(3, 2).start().expect("a fleet");
    settle(&fleet);
    let plans: Vec<_> = (0..12)
        .map(|number| booking(Some(&new_key()), &format!("moved {number}")))
        .collect();
    for plan in &plans {
        assert_eq!(
            send(fleet.routers[0].callers, plan).verdict,
            CallVerdict::Complete
        );
    }
    // The host leaves the list although its process lives on.
    fleet.sidecars[0].state = "gone";
    fleet.publish_hosts();
    std::thread::sleep(Duration::from_secs(2));
    for plan in &plans {
        let retry = send(fleet.routers[1].callers, plan);
        assert!(matches!(
            retry.verdict,
            CallVerdict::Complete | CallVerdict::Unknown
        ));
        assert_eq!(effects_of(&fleet, "udlaan", &plan.body), 1);
    }
    std::thread::sleep(Duration::from_secs(4));
    let fresh = send(
        fleet.routers[1].callers,
        &booking(Some(&new_key()), "fresh"),
    );
    assert_eq!(fresh.verdict, CallVerdict::Complete);
}

#[test]
fn keys_of_other_homes_run_on_while_one_sidecar_is_dead() {
    let mut fleet = desk_fleet(3, 1).start().expect("a fleet");
    settle(&fleet);
    fleet.sidecars[0].child.as_mut().expect("a sidecar").kill();
    // The dead sidecar's last word has run out.
    std::thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let plan = booking(Some(&new_key()), &format!("dead home {number}"));
            send_aside(fleet.routers[0].callers, plan)
        })
        .collect();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"))
        .collect();
    let complete = answers
        .iter()
        .filter(|answer| answer.verdict == CallVerdict::Complete)
        .count();
    let unknown = answers
        .iter()
        .filter(|answer| answer.verdict == CallVerdict::Unknown)
        .count();
    assert_eq!(complete + unknown, 12);
    assert!(complete >= 3, "{complete} of 12 complete");
    assert_eq!(fleet.effects("udlaan").len(), complete);
}

#[test]
fn the_fence_number_grows_and_endpoints_that_check_it_refuse_an_old_sidecar() {
    let mut fleet = desk_fleet(1, 1).check_fences().start().expect("a fleet");
    let router = fleet.routers[0].callers;
    assert_eq!(
        send(router, &booking(None, "first")).verdict,
        CallVerdict::Complete
    );
    fleet.sidecars[0].child.as_mut().expect("a sidecar").kill();
    fleet.start_sidecar(0).expect("a sidecar");
    assert!(wait_for(Duration::from_secs(5), || fleet.is_ready()));
    assert_eq!(
        send(router, &booking(None, "second")).verdict,
        CallVerdict::Complete
    );
    let effects = fleet.effects("udlaan");
    assert!(effects[0].fence < effects[1].fence, "{effects:?}");
    // The old sidecar wakes and calls the endpoint.
    let late = with_header(
        booking(None, "late"),
        "cicadalock-fence",
        &effects[0].fence.to_string(),
    );
    assert_eq!(send(fleet.endpoints[0].address, &late).status, 412);
    assert_eq!(effects_of(&fleet, "udlaan", "late"), 0);
}
