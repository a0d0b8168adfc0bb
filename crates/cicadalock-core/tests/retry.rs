//! Tests of the retry budget and the endpoint back-off.

mod support;

use std::time::Duration;

use cicadalock_core::retry::{EndpointBackoff, RetryBudget};
use cicadalock_core::time::ClockTime;
use proptest::prelude::*;
use support::seeded;
use yare::parameterized;

#[parameterized(
    ten_percent = { 10, 5, 1_000 },
    twenty_percent = { 20, 10, 500 },
    nothing_saved = { 10, 0, 100 },
)]
fn retries_stay_a_small_part_of_first_attempts(percent: u32, reserve: u32, attempts: u32) {
    let mut budget = RetryBudget::builder()
        .ratio_percent(percent)
        .reserve(reserve)
        .build();
    let mut retries = 0;
    for _ in 0..attempts {
        budget.deposit();
        retries += u32::from(budget.try_spend());
    }
    assert!(retries <= reserve + attempts * percent / 100);
}

#[test]
fn a_failing_endpoint_gets_one_request_after_a_growing_delay() {
    let mut backoff = EndpointBackoff::new();
    let mut now = ClockTime::from_millis(0);
    backoff.record_failure(now);
    assert_eq!(backoff.slot_limit(8, now), 8);
    backoff.record_failure(now);
    assert_eq!(backoff.slot_limit(8, now), 0);
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        let until = backoff.blocked_until(now).expect("calls are paused");
        assert!(until.since(now) >= last);
        last = until.since(now);
        now = until;
        assert_eq!(backoff.slot_limit(8, now), 1);
        backoff.record_failure(now);
    }
    backoff.record_success();
    assert_eq!(backoff.slot_limit(8, now), 8);
}

proptest! {
    #![proptest_config(seeded(500))]

    #[test]
    fn a_back_off_delay_never_exceeds_two_seconds(failures in 1..200_u32) {
        let mut backoff = EndpointBackoff::new();
        let now = ClockTime::from_millis(1_000);
        for _ in 0..failures {
            backoff.record_failure(now);
        }
        let delay = backoff.blocked_until(now).map_or(Duration::ZERO, |until| until.since(now));
        prop_assert!(delay <= Duration::from_secs(2));
    }
}
