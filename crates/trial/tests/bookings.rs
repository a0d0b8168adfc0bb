//! Tests with real processes that a non-idempotent request has at most one effect, counted in the
//! endpoints' logs.

mod support;

use std::time::Duration;

use support::{
    booking, count_effects, desk_fleet, new_key, send, send_in_background, wait_for,
    wait_until_keys_fresh, with_header,
};
use trial::load::CallVerdict;
use trial::proxy::ProxyFault;

/// Holds back both directions and refuses new connections.
const PARTITION: ProxyFault = ProxyFault {
    delay: Duration::ZERO,
    holds_forward: true,
    holds_backward: true,
    refuses: true,
};

#[test]
fn a_booking_retried_at_another_router_gets_the_first_answer() {
    let fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    for number in 0..6 {
        let key = new_key();
        let plan = booking(Some(&key), &format!("recorder {number}"));
        let first = send(fleet.routers[0].callers, &plan);
        let second = send(fleet.routers[1].callers, &plan);
        assert_eq!(first.verdict, CallVerdict::Complete);
        assert_eq!(second.verdict, CallVerdict::Complete);
        assert_eq!(first.body, second.body);
        assert_eq!(count_effects(&fleet, "udlaan", &plan.body), 1);
    }
}

#[test]
fn a_booking_with_an_empty_answer_is_complete_when_it_is_retried_at_once() {
    let fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    for number in 0..6 {
        let plan = booking(Some(&new_key()), &format!("empty {number}"));
        let plan = with_header(plan, "x-standin-fault", "empty-body");
        for router in &fleet.routers {
            let answer = send(router.callers, &plan);
            assert_eq!(answer.verdict, CallVerdict::Complete);
            assert!(answer.body.is_empty());
        }
        assert_eq!(count_effects(&fleet, "udlaan", &plan.body), 1);
    }
}

#[test]
fn a_retry_of_a_running_request_is_unknown_and_another_body_is_refused() {
    let fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let key = new_key();
    let plan = with_header(booking(Some(&key), "ukulele"), "x-standin-ms", "800");
    let first = send_in_background(fleet.routers[0].callers, plan.clone());
    assert!(wait_for(Duration::from_secs(3), || count_effects(
        &fleet, "udlaan", "ukulele"
    ) == 1));
    let during = send(fleet.routers[1].callers, &plan);
    assert_eq!((during.status, during.outcome.as_str()), (409, "unknown"));
    let other = send(fleet.routers[1].callers, &booking(Some(&key), "drum"));
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(
        first
            .join()
            .expect("the caller thread does not panic")
            .verdict,
        CallVerdict::Complete
    );
    assert_eq!(count_effects(&fleet, "udlaan", "ukulele"), 1);
    assert_eq!(count_effects(&fleet, "udlaan", "drum"), 0);
}

#[test]
fn keys_without_a_timestamp_or_outside_the_key_window_are_not_run() {
    let fleet = desk_fleet(1, 1).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let router = fleet.routers[0].callers;
    let cases = [
        ("plain-text", 400, "not-run"),
        ("550e8400-e29b-41d4-a716-446655440000", 400, "not-run"),
        // Minted in 2015: the request may have run, and its outcome may have left the ledger.
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
        assert_eq!(count_effects(&fleet, "udlaan", key), 0);
    }
}

#[test]
fn a_retry_after_every_sidecar_restarted_is_unknown_and_not_run_again() {
    let mut fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
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
            .expect("the sidecar is running")
            .kill();
        fleet.start_sidecar(index).expect("the sidecar starts");
    }
    wait_until_keys_fresh(&fleet);
    let retry = send(fleet.routers[1].callers, &plan);
    assert_eq!((retry.status, retry.outcome.as_str()), (409, "unknown"));
    assert_eq!(count_effects(&fleet, "udlaan", "recorder"), 1);
    let fresh = send(
        fleet.routers[1].callers,
        &booking(Some(&new_key()), "another"),
    );
    assert_eq!(fresh.verdict, CallVerdict::Complete);
}

#[test]
fn a_sidecar_killed_while_a_booking_runs_leaves_one_effect_and_an_unknown_outcome() {
    let mut fleet = desk_fleet(1, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    for has_key in [false, true] {
        // Minted here, since a key minted before the restart of the sidecar has an unknown outcome.
        let key = has_key.then(new_key);
        let body = format!("booking {}", key.is_some());
        let plan = with_header(booking(key.as_deref(), &body), "x-standin-ms", "1500");
        let caller = send_in_background(fleet.routers[0].callers, plan.clone());
        assert!(wait_for(Duration::from_secs(3), || count_effects(
            &fleet, "udlaan", &body
        ) == 1));
        fleet.sidecars[0]
            .child
            .as_mut()
            .expect("the sidecar is running")
            .kill();
        fleet.start_sidecar(0).expect("the sidecar starts");
        let answer = caller.join().expect("the caller thread does not panic");
        assert_eq!(answer.verdict, CallVerdict::Unknown);
        if key.is_some() {
            let retry = send(fleet.routers[1].callers, &plan);
            assert_eq!(retry.verdict, CallVerdict::Unknown);
        }
        assert_eq!(count_effects(&fleet, "udlaan", &body), 1);
        wait_until_keys_fresh(&fleet);
    }
}

#[test]
fn a_router_killed_while_a_booking_runs_leaves_its_answer_for_the_retry() {
    let mut fleet = desk_fleet(2, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let plan = with_header(booking(Some(&new_key()), "ukulele"), "x-standin-ms", "700");
    let caller = send_in_background(fleet.routers[0].callers, plan.clone());
    assert!(wait_for(Duration::from_secs(3), || count_effects(
        &fleet, "udlaan", "ukulele"
    ) == 1));
    fleet.routers[0]
        .child
        .as_mut()
        .expect("the router is running")
        .kill();
    assert_eq!(
        caller
            .join()
            .expect("the caller thread does not panic")
            .verdict,
        CallVerdict::Unreachable
    );
    std::thread::sleep(Duration::from_millis(900));
    let retry = send(fleet.routers[1].callers, &plan);
    assert_eq!(retry.verdict, CallVerdict::Complete);
    assert_eq!(count_effects(&fleet, "udlaan", "ukulele"), 1);
}

#[test]
fn a_sidecar_frozen_past_its_leases_runs_nothing_when_it_wakes() {
    let mut fleet = desk_fleet(2, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let mut callers = Vec::new();
    let mut plans = Vec::new();
    let child = fleet.sidecars[0]
        .child
        .as_ref()
        .expect("the sidecar is running");
    child.freeze();
    // Each request reaches the frozen sidecar's socket and is retried at the other router.
    for number in 0..10 {
        let plan = booking(Some(&new_key()), &format!("frozen {number}"));
        callers.push(send_in_background(fleet.routers[0].callers, plan.clone()));
        callers.push(send_in_background(fleet.routers[1].callers, plan.clone()));
        plans.push(plan);
    }
    std::thread::sleep(Duration::from_secs(7));
    child.wake();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller thread does not panic"))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    for (plan, pair) in plans.iter().zip(answers.chunks(2)) {
        let count = count_effects(&fleet, "udlaan", &plan.body);
        assert!(count <= 1, "{count} effects of {}", plan.body);
        let is_reported_not_run = pair
            .iter()
            .any(|answer| answer.verdict == CallVerdict::NotRun);
        assert!(
            !is_reported_not_run || count == 0,
            "reported as not run, but ran: {}",
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
fn a_network_partition_in_either_direction_leaves_at_most_one_effect_and_correct_outcomes() {
    let fleet = desk_fleet(2, 2)
        .proxies()
        .start()
        .expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let faults = [
        ProxyFault {
            holds_forward: true,
            ..ProxyFault::default()
        },
        ProxyFault {
            holds_backward: true,
            ..ProxyFault::default()
        },
        PARTITION,
    ];
    for (round, fault) in faults.into_iter().enumerate() {
        let mut callers = Vec::new();
        for number in 0..8 {
            let key = (number % 2 == 0).then(new_key);
            let plan = booking(key.as_deref(), &format!("cut {round}-{number}"));
            let plan = with_header(plan, "x-standin-ms", "300");
            callers.push((
                plan.clone(),
                send_in_background(fleet.routers[number % 2].callers, plan),
            ));
            std::thread::sleep(Duration::from_millis(15));
        }
        let proxy = fleet.sidecars[0]
            .proxy
            .as_ref()
            .expect("the sidecar has a proxy");
        proxy.set_fault(fault);
        std::thread::sleep(Duration::from_millis(5_000));
        proxy.set_fault(ProxyFault::default());
        proxy.cut();
        for (plan, caller) in callers {
            let answer = caller.join().expect("the caller thread does not panic");
            let count = count_effects(&fleet, "udlaan", &plan.body);
            assert!(count <= 1, "{count} effects of {}", plan.body);
            assert!(
                answer.verdict != CallVerdict::NotRun || count == 0,
                "reported as not run, but ran: {}",
                plan.body
            );
            assert!(answer.verdict != CallVerdict::Complete || count == 1);
            if !plan.headers[0].0.starts_with('x') {
                let retry = send(fleet.routers[0].callers, &plan);
                let count = count_effects(&fleet, "udlaan", &plan.body);
                assert!(count <= 1, "{count} effects of {} after a retry", plan.body);
                assert!(retry.verdict != CallVerdict::NotRun || count == 0);
            }
        }
        wait_until_keys_fresh(&fleet);
    }
}

#[test]
fn a_new_home_does_not_rerun_keys_of_the_old_home() {
    let mut fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let plans: Vec<_> = (0..12)
        .map(|number| booking(Some(&new_key()), &format!("moved {number}")))
        .collect();
    for plan in &plans {
        assert_eq!(
            send(fleet.routers[0].callers, plan).verdict,
            CallVerdict::Complete
        );
    }
    // The host list marks the host as gone while its process keeps running.
    fleet.sidecars[0].state = "gone";
    fleet.publish_hosts();
    std::thread::sleep(Duration::from_secs(2));
    for plan in &plans {
        let retry = send(fleet.routers[1].callers, plan);
        assert!(matches!(
            retry.verdict,
            CallVerdict::Complete | CallVerdict::Unknown
        ));
        assert_eq!(count_effects(&fleet, "udlaan", &plan.body), 1);
    }
    std::thread::sleep(Duration::from_secs(4));
    let fresh = send(
        fleet.routers[1].callers,
        &booking(Some(&new_key()), "fresh"),
    );
    assert_eq!(fresh.verdict, CallVerdict::Complete);
}

#[test]
fn keys_of_other_homes_still_run_while_one_sidecar_is_dead() {
    let mut fleet = desk_fleet(3, 1).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    fleet.sidecars[0]
        .child
        .as_mut()
        .expect("the sidecar is running")
        .kill();
    // Wait until the dead sidecar's last confirmation of the view has expired.
    std::thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let plan = booking(Some(&new_key()), &format!("dead home {number}"));
            send_in_background(fleet.routers[0].callers, plan)
        })
        .collect();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller thread does not panic"))
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
    assert!(complete >= 3, "only {complete} of 12 complete");
    assert_eq!(fleet.effects("udlaan").len(), complete);
}

#[test]
fn the_fence_number_grows_and_endpoints_that_check_it_refuse_an_old_sidecar() {
    let mut fleet = desk_fleet(1, 1)
        .check_fences()
        .start()
        .expect("the fleet starts");
    let router = fleet.routers[0].callers;
    assert_eq!(
        send(router, &booking(None, "first")).verdict,
        CallVerdict::Complete
    );
    fleet.sidecars[0]
        .child
        .as_mut()
        .expect("the sidecar is running")
        .kill();
    fleet.start_sidecar(0).expect("the sidecar starts");
    assert!(wait_for(Duration::from_secs(5), || fleet.is_ready()));
    assert_eq!(
        send(router, &booking(None, "second")).verdict,
        CallVerdict::Complete
    );
    let effects = fleet.effects("udlaan");
    assert!(effects[0].fence < effects[1].fence, "{effects:?}");
    // Simulates a late call from the old sidecar.
    let late = with_header(
        booking(None, "late"),
        "cicadalock-fence",
        &effects[0].fence.to_string(),
    );
    assert_eq!(send(fleet.endpoints[0].address, &late).status, 412);
    assert_eq!(count_effects(&fleet, "udlaan", "late"), 0);
}
