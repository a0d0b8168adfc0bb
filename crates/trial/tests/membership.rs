//! Tests with real processes of host states, planned stops, restarts and invalid peers.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use support::{
    booking, booking_group, completion, count_effects, desk_fleet, model_fleet, new_key, send,
    wait_for, wait_until_keys_fresh,
};
use trial::fleet::RunningFleet;
use trial::load::{CallRecord, CallVerdict, CallerGroup, LoadRun};
use trial::scenario::FleetEvent;

/// Time within which routers stop using an endpoint that is leaving, or use one again that returned.
const STATE_CHANGE_LIMIT: Duration = Duration::from_secs(3);

fn count_served(fleet: &RunningFleet, index: usize) -> usize {
    let address = fleet.endpoints[index].address;
    let effects: Option<Vec<serde_json::Value>> = trial::fleet::get_json(address, "/log");
    effects.map_or(0, |effects| effects.len())
}

fn send_bookings(fleet: &RunningFleet, count: usize) {
    for number in 0..count {
        let answer = send(
            fleet.routers[0].callers,
            &booking(None, &format!("many {number}")),
        );
        assert_eq!(answer.verdict, CallVerdict::Complete);
    }
}

/// Stops and starts every process in turn under load; asserts that every request is completely
/// answered.
fn restart_all_under_load(
    fleet: &mut RunningFleet,
    groups: Vec<CallerGroup>,
    seed: u64,
) -> Vec<CallRecord> {
    let routers = fleet.routers.iter().map(|router| router.callers).collect();
    let load = LoadRun::start(groups, routers, seed).expect("the load starts");
    FleetEvent::RollAll
        .apply(fleet, &load)
        .expect("the rolling restart succeeds");
    std::thread::sleep(Duration::from_millis(500));
    let records = load.finish(Duration::from_secs(15));
    let failed: Vec<_> = records
        .iter()
        .filter(|record| record.verdict != CallVerdict::Complete)
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {} failed: {:?}",
        failed.len(),
        records.len(),
        failed.first()
    );
    records
}

#[test]
fn an_endpoint_that_is_listed_as_leaving_gets_no_new_work() {
    let mut fleet = desk_fleet(2, 1).start().expect("the fleet starts");
    send_bookings(&fleet, 10);
    fleet.sidecars[0].state = "leaving";
    fleet.publish_hosts();
    std::thread::sleep(STATE_CHANGE_LIMIT);
    let before = count_served(&fleet, 0);
    send_bookings(&fleet, 30);
    assert_eq!(count_served(&fleet, 0), before);
    fleet.sidecars[0].state = "live";
    fleet.publish_hosts();
    std::thread::sleep(STATE_CHANGE_LIMIT);
    send_bookings(&fleet, 40);
    assert!(
        count_served(&fleet, 0) > before,
        "the returned endpoint is not used again"
    );
}

#[test]
fn a_stopping_sidecar_gets_no_new_work_while_the_platform_is_down() {
    let mut fleet = model_fleet(2, Duration::from_millis(50))
        .start()
        .expect("the fleet starts");
    fleet.set_platform_mode("down");
    let router = fleet.routers[0].callers;
    let streams: Vec<_> = (0..4)
        .map(|_| support::send_in_background(router, completion(80)))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    fleet.sidecars[0]
        .child
        .as_ref()
        .expect("the sidecar is running")
        .terminate();
    std::thread::sleep(Duration::from_millis(500));
    let before = count_served(&fleet, 0);
    for _ in 0..4 {
        assert_eq!(send(router, &completion(3)).verdict, CallVerdict::Complete);
    }
    assert_eq!(count_served(&fleet, 0), before);
    for stream in streams {
        assert_eq!(
            stream
                .join()
                .expect("the caller thread does not panic")
                .verdict,
            CallVerdict::Complete
        );
    }
    let child = fleet.sidecars[0]
        .child
        .as_mut()
        .expect("the sidecar is running");
    let status = child
        .wait(Duration::from_secs(10))
        .expect("the sidecar exits");
    assert!(status.success());
}

#[test]
fn a_router_and_a_sidecar_that_stop_during_a_stream_let_it_finish() {
    let mut fleet = model_fleet(1, Duration::from_millis(40))
        .start()
        .expect("the fleet starts");
    let stream = support::send_in_background(fleet.routers[0].callers, completion(70));
    std::thread::sleep(Duration::from_millis(500));
    fleet.routers[0]
        .child
        .as_ref()
        .expect("the router is running")
        .terminate();
    fleet.sidecars[0]
        .child
        .as_ref()
        .expect("the sidecar is running")
        .terminate();
    assert_eq!(
        stream
            .join()
            .expect("the caller thread does not panic")
            .verdict,
        CallVerdict::Complete
    );
    let limit = Duration::from_secs(10);
    let router = fleet.routers[0]
        .child
        .as_mut()
        .expect("the router is running")
        .wait(limit);
    assert!(router.expect("the router exits").success());
    let sidecar = fleet.sidecars[0]
        .child
        .as_mut()
        .expect("the sidecar is running")
        .wait(limit);
    assert!(sidecar.expect("the sidecar exits").success());
}

#[test]
fn a_dead_endpoint_fails_no_request_and_is_used_again_when_it_returns() {
    let mut fleet = desk_fleet(2, 1).start().expect("the fleet starts");
    fleet.endpoints[0]
        .child
        .as_mut()
        .expect("the endpoint is running")
        .kill();
    send_bookings(&fleet, 30);
    fleet.start_endpoint(0).expect("the endpoint starts");
    std::thread::sleep(STATE_CHANGE_LIMIT);
    send_bookings(&fleet, 40);
    assert!(count_served(&fleet, 0) > 0);
}

#[test]
fn an_empty_or_invalid_host_list_keeps_the_current_hosts() {
    let fleet = desk_fleet(2, 1).start().expect("the fleet starts");
    for text in ["{\"hosts\": []}", "{\"hosts\": 3}", "rubbish"] {
        let _ = trial::fleet::put_text(fleet.platform, "/v1/hosts", text);
        std::thread::sleep(Duration::from_millis(1_500));
        let answer = send(fleet.routers[0].callers, &booking(None, text));
        assert_eq!(answer.verdict, CallVerdict::Complete, "{text}");
    }
}

#[test]
fn invalid_peers_on_the_internal_port_are_rejected_and_affect_no_request() {
    let fleet = desk_fleet(1, 1).start().expect("the fleet starts");
    let listen = fleet.sidecars[0].listen;
    let rubbish: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0, 0, 0, 4, 1, 2, 3, 4],
        &[0x7f, 0xff, 0xff, 0xff, 0],
    ];
    let invalid_peers: Vec<TcpStream> = rubbish
        .iter()
        .cycle()
        .take(40)
        .map(|bytes| {
            let mut stream = TcpStream::connect(listen).expect("the connection is accepted");
            let _ = stream.write_all(bytes);
            stream
        })
        .collect();
    send_bookings(&fleet, 5);
    let admin = fleet.sidecars[0].admin;
    let are_rejected = || {
        let status = fleet.status(admin).unwrap_or_default();
        status["counters"]["links.peers_rejected"].as_u64() >= Some(40)
    };
    assert!(wait_for(Duration::from_secs(6), are_rejected));
    drop(invalid_peers);
    send_bookings(&fleet, 5);
}

#[test]
fn a_rolling_restart_under_load_completes_every_request_with_its_own_answer() {
    let mut fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let groups = ["skole", "kor"].map(|customer| booking_group(customer, 15.0, false));
    let records = restart_all_under_load(&mut fleet, groups.to_vec(), 7);
    assert!(records.iter().all(|record| record.has_expected_body));
}

#[test]
fn a_keyed_booking_survives_the_planned_stop_of_its_home() {
    let mut fleet = desk_fleet(3, 1).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    for index in 0..2 {
        fleet.sidecars[index]
            .child
            .as_ref()
            .expect("the sidecar is running")
            .terminate();
        fleet.sidecars[index].state = "leaving";
        fleet.publish_hosts();
        std::thread::sleep(Duration::from_secs(6));
        let body = format!("after stop {index}");
        let answer = send(fleet.routers[0].callers, &booking(Some(&new_key()), &body));
        assert_eq!(answer.verdict, CallVerdict::Complete, "{}", answer.status);
        assert_eq!(count_effects(&fleet, "udlaan", &body), 1);
    }
}

#[test]
fn keyed_bookings_and_their_retries_survive_a_rolling_restart() {
    let mut fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    wait_until_keys_fresh(&fleet);
    let plans: Vec<_> = (0..9)
        .map(|number| booking(Some(&new_key()), &format!("before {number}")))
        .collect();
    for plan in &plans {
        assert_eq!(
            send(fleet.routers[0].callers, plan).verdict,
            CallVerdict::Complete
        );
    }
    let group = booking_group("skole", 20.0, true);
    restart_all_under_load(&mut fleet, vec![group], 11);
    for plan in &plans {
        let retry = send(fleet.routers[1].callers, plan);
        assert_eq!(retry.verdict, CallVerdict::Complete, "{}", plan.body);
        assert_eq!(count_effects(&fleet, "udlaan", &plan.body), 1);
    }
}

#[test]
fn a_router_that_stops_during_a_stream_lets_it_finish_and_closes_its_port() {
    let mut fleet = model_fleet(2, Duration::from_millis(40))
        .start()
        .expect("the fleet starts");
    let router = fleet.routers[0].callers;
    let stream = support::send_in_background(router, completion(70));
    std::thread::sleep(Duration::from_millis(500));
    fleet.routers[0]
        .child
        .as_ref()
        .expect("the router is running")
        .terminate();
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(
        TcpStream::connect(router).is_err(),
        "the port is still open"
    );
    assert_eq!(
        stream
            .join()
            .expect("the caller thread does not panic")
            .verdict,
        CallVerdict::Complete
    );
    let status = fleet.routers[0]
        .child
        .as_mut()
        .expect("the router is running")
        .wait(Duration::from_secs(10));
    assert!(status.expect("the router exits").success());
}
