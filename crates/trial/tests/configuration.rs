//! Tests of configuration updates with real processes, also while the platform fails.

mod support;

use std::time::{Duration, Instant};

use cicadalock_core::config::{ConfigRelease, ConfigText};
use support::{booking, desk_fleet, send, wait_for};
use trial::fleet::RunningFleet;
use trial::load::CallVerdict;

/// Time within which every process applies a published configuration.
const APPLY_LIMIT: Duration = Duration::from_secs(4);

fn release(fleet: &RunningFleet, change: impl Fn(String) -> String) -> String {
    let text = change(fleet.plan().config_text());
    ConfigRelease::new(ConfigText::new("base", &text)).publish_text()
}

fn with_slots(slots: u32) -> impl Fn(String) -> String {
    move |text| text.replace("slots = 4", &format!("slots = {slots}"))
}

fn revisions(fleet: &RunningFleet) -> Vec<u64> {
    let status_addresses = fleet.status_addresses().into_iter();
    status_addresses
        .map(|(_, admin)| {
            let status = fleet.status(admin).unwrap_or_default();
            status["config_revision"].as_u64().unwrap_or(0)
        })
        .collect()
}

fn all_at(fleet: &RunningFleet, revision: u64) -> bool {
    revisions(fleet).iter().all(|found| *found == revision)
}

#[test]
fn a_configuration_applies_everywhere_within_four_seconds_with_few_reads() {
    let fleet = desk_fleet(9, 6).start().expect("the fleet starts");
    let processes = fleet.status_addresses().len() as u64;
    for slots in 5..8 {
        let revision = fleet.publish_config(&release(&fleet, with_slots(slots)));
        let started = Instant::now();
        assert!(wait_for(APPLY_LIMIT, || all_at(&fleet, revision)));
        println!("applied everywhere after {:?}", started.elapsed());
    }
    let before = fleet.platform_reads();
    std::thread::sleep(Duration::from_secs(6));
    let reads = fleet.platform_reads() - before;
    // If every process watched each document itself, each watch would read every two seconds.
    let separate_watch_reads = processes * 2 * 3;
    println!("{reads} reads in 6 s; one watch for each process would be {separate_watch_reads}");
    assert!(reads * 2 < separate_watch_reads, "{reads} reads");
}

#[test]
fn an_invalid_configuration_changes_nothing_and_is_reported_with_its_findings() {
    let fleet = desk_fleet(3, 2).start().expect("the fleet starts");
    let before = revisions(&fleet);
    let bad = release(&fleet, |text| text.replace("share = 1", "share = 0"));
    let rejected = fleet.publish_config(&bad);
    let is_reported = || {
        fleet.status_addresses().iter().any(|(_, admin)| {
            let status = fleet.status(*admin).unwrap_or_default();
            let findings = status["rejected_config"]["findings"]
                .as_array()
                .map_or(0, Vec::len);
            status["rejected_config"]["revision"] == rejected && findings == 2
        })
    };
    assert!(wait_for(APPLY_LIMIT, is_reported));
    assert_eq!(revisions(&fleet), before);
    let answer = send(fleet.routers[0].callers, &booking(None, "still served"));
    assert_eq!(answer.verdict, CallVerdict::Complete);
    let good = fleet.publish_config(&release(&fleet, with_slots(6)));
    assert!(wait_for(APPLY_LIMIT, || all_at(&fleet, good)));
}

#[test]
fn a_restarted_process_learns_the_newest_revision_from_its_peers() {
    for mode in ["down", "stale", "rubbish", "slow"] {
        let mut fleet = desk_fleet(2, 2).start().expect("the fleet starts");
        let revision = fleet.publish_config(&release(&fleet, with_slots(6)));
        assert!(wait_for(APPLY_LIMIT, || all_at(&fleet, revision)));
        fleet.set_platform_mode(mode);
        fleet.routers[0]
            .child
            .as_mut()
            .expect("the router is running")
            .kill();
        fleet.sidecars[0]
            .child
            .as_mut()
            .expect("the sidecar is running")
            .kill();
        fleet.start_router(0).expect("the router starts");
        fleet.start_sidecar(0).expect("the sidecar starts");
        assert!(
            wait_for(APPLY_LIMIT, || all_at(&fleet, revision)),
            "platform {mode}"
        );
        assert!(
            wait_for(APPLY_LIMIT, || fleet.is_ready()),
            "platform {mode}"
        );
        let answer = send(fleet.routers[0].callers, &booking(None, "still served"));
        assert_eq!(answer.verdict, CallVerdict::Complete, "platform {mode}");
        std::thread::sleep(Duration::from_secs(1));
        assert!(
            all_at(&fleet, revision),
            "platform {mode}: the revision went back"
        );
        fleet.set_platform_mode("up");
        let next = fleet.publish_config(&release(&fleet, with_slots(7)));
        assert!(
            wait_for(Duration::from_secs(10), || all_at(&fleet, next)),
            "after {mode}"
        );
    }
}

#[test]
fn concurrent_publishes_leave_the_newest_revision_everywhere() {
    let fleet = desk_fleet(3, 3).start().expect("the fleet starts");
    let texts: Vec<String> = (0..20)
        .map(|number| release(&fleet, with_slots(5 + number)))
        .collect();
    let last = std::thread::scope(|scope| {
        let publish = |part: usize| {
            let (texts, fleet) = (&texts, &fleet);
            scope.spawn(move || {
                let own = texts.iter().skip(part).step_by(2);
                own.map(|text| fleet.publish_config(text))
                    .max()
                    .unwrap_or(0)
            })
        };
        let (left, right) = (publish(0), publish(1));
        left.join()
            .expect("the publishing thread does not panic")
            .max(right.join().expect("the publishing thread does not panic"))
    });
    assert!(wait_for(APPLY_LIMIT, || all_at(&fleet, last)));
}

#[test]
fn a_frozen_process_that_wakes_catches_up() {
    let fleet = desk_fleet(2, 2).start().expect("the fleet starts");
    let frozen = fleet.routers[1]
        .child
        .as_ref()
        .expect("the router is running");
    frozen.freeze();
    let revision = fleet.publish_config(&release(&fleet, with_slots(9)));
    std::thread::sleep(Duration::from_secs(3));
    frozen.wake();
    assert!(wait_for(APPLY_LIMIT, || all_at(&fleet, revision)));
}
