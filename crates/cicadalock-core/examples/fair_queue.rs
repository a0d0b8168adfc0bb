//! Shares one worker fairly between two customers with the scheduler alone, without a fleet.
//!
//! Run with `cargo run -p cicadalock-core --example fair_queue`.

use cicadalock_core::fair::GrantScheduler;
use cicadalock_core::id::{CustomerId, KindId, LinkId};
use cicadalock_core::time::ClockTime;

/// Number of requests that the worker runs.
const RUNS: usize = 60;

fn main() {
    let kind = KindId::new(1);
    let (choir, school) = (CustomerId::new(1), CustomerId::new(2));
    let mut scheduler = GrantScheduler::builder()
        .customer(choir, 1)
        .customer(school, 2)
        .kind(kind, 1, 10)
        .build();
    let mut now = ClockTime::default();
    // The choir sends far more requests than the worker can run; the school sends few and has
    // twice the share.
    scheduler.set_bid(LinkId::new(1), choir, kind, 10_000, now);
    scheduler.set_bid(LinkId::new(2), school, kind, 40, now);
    let mut runs = [0, 0];
    for _ in 0..RUNS {
        let Some(pick) = scheduler.pick(now) else {
            break;
        };
        // `pick` has charged the estimate; the difference to the true cost is charged at the end.
        let cost = 12;
        scheduler.charge(pick.customer, pick.kind, cost - pick.estimate);
        scheduler.observe(pick.customer, pick.kind, cost);
        scheduler.settle(pick.customer, pick.estimate);
        runs[usize::from(pick.customer == school)] += 1;
        now = now + std::time::Duration::from_millis(5);
    }
    println!("choir: {} runs, school: {} runs", runs[0], runs[1]);
}
