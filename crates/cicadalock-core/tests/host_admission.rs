//! Which requests a router admits while its host cannot keep up.

use std::time::Duration;

use cicadalock_core::gateway::HostAdmission;
use cicadalock_core::id::CustomerId;
use cicadalock_core::time::ClockTime;

const HOT: CustomerId = CustomerId::new(1);
const SMALL: CustomerId = CustomerId::new(2);

/// Time that the host takes for a request, and to refuse one.
const REQUEST_TIME: Duration = Duration::from_millis(7);
const REFUSAL_TIME: Duration = Duration::from_millis(1);

/// Longest lag of a timer, which fires between the events of a backlog.
const MAX_LAG: Duration = Duration::from_millis(200);

/// Requests of one customer in one second.
#[derive(Debug, Clone, Copy, Default)]
struct SecondCount {
    asked: u32,
    admitted: u32,
}

/// Plays a host that one customer asks for twice of what it can do, and another one for little.
fn play(seconds: usize) -> Vec<[SecondCount; 2]> {
    let mut admission = HostAdmission::default();
    let mut counts = vec![[SecondCount::default(); 2]; seconds];
    let start = ClockTime::from_millis(10_000);
    let (mut busy_until, mut reading_due) = (start, start + Duration::from_millis(100));
    for millis in 0..seconds as u64 * 1_000 {
        let now = start + Duration::from_millis(millis);
        if now >= reading_due {
            let lag = busy_until.since(now).min(MAX_LAG);
            admission.record(lag, now);
            reading_due = now + lag + Duration::from_millis(100);
        }
        let arrivals = [(HOT, millis % 4 == 0), (SMALL, millis % 100 == 50)];
        for (index, (customer, arrives)) in arrivals.into_iter().enumerate() {
            if !arrives {
                continue;
            }
            let count = &mut counts[millis as usize / 1_000][index];
            count.asked += 1;
            let is_admitted = admission.admits(customer, now);
            count.admitted += u32::from(is_admitted);
            let work = if is_admitted {
                REQUEST_TIME
            } else {
                REFUSAL_TIME
            };
            busy_until = busy_until.max(now) + work;
        }
    }
    counts
}

#[test]
fn an_overloaded_host_serves_what_it_can_in_every_second() {
    let capacity = 1_000 / REQUEST_TIME.as_millis() as u32;
    for (second, [hot, _]) in play(20).into_iter().enumerate() {
        assert!(hot.admitted >= capacity / 3, "second {second}: {hot:?}");
    }
}

#[test]
fn an_overloaded_host_refuses_the_customer_that_asks_for_most_first() {
    let counts = play(20);
    let sum = |index: usize| {
        let columns = counts.iter().map(|second| second[index]);
        columns.fold((0, 0), |sum, count| {
            (sum.0 + count.asked, sum.1 + count.admitted)
        })
    };
    let ((hot_asked, hot_admitted), (small_asked, small_admitted)) = (sum(0), sum(1));
    assert!(
        hot_admitted < hot_asked * 2 / 3,
        "{hot_admitted} of {hot_asked}"
    );
    assert_eq!(small_admitted, small_asked);
}

#[test]
fn a_host_that_keeps_up_refuses_nothing() {
    let mut admission = HostAdmission::default();
    for millis in 0..5_000 {
        let now = ClockTime::from_millis(10_000 + millis);
        if millis % 100 == 0 {
            // A CPU quota stops the process now and then.
            let lag = if millis % 300 == 0 { 160 } else { 20 };
            admission.record(Duration::from_millis(lag), now);
        }
        assert!(admission.admits(HOT, now));
    }
}
