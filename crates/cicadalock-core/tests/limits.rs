//! Tests of limits that endpoints name: their rate, and their shares among routers.

mod support;

use std::time::Duration;

use cicadalock_core::desk::{LimitBroker, RateLimiter, RequestRate, fleet_rate};
use cicadalock_core::id::LinkId;
use cicadalock_core::message::{DemandFrame, ShareFrame};
use cicadalock_core::time::ClockTime;
use proptest::prelude::*;
use support::seeded;
use yare::parameterized;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(500_000 + millis)
}

fn rate(value: f64) -> RequestRate {
    RequestRate::per_second(value)
}

fn link(number: u64) -> LinkId {
    LinkId::new(number)
}

fn demand(limit: Option<f64>, age_ms: u32, demand: f32) -> DemandFrame {
    DemandFrame {
        endpoint: "a-1".to_owned(),
        limit,
        age_ms,
        demand,
    }
}

fn share_of(frames: &[(LinkId, ShareFrame)], number: u64) -> Option<f64> {
    let mut frames = frames.iter().filter(|(router, _)| *router == link(number));
    frames.next().map(|(_, frame)| frame.share)
}

/// Starts as many requests as the limiter admits in each millisecond; returns when they started.
fn start_all(limiter: &mut RateLimiter, from: u64, to: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    for millis in from..to {
        while limiter.admits(at(millis)) {
            limiter.record_start(at(millis));
            starts.push(millis);
        }
    }
    starts
}

#[parameterized(
    large = { 50.0 },
    middle = { 10.9 },
    one = { 1.0 },
    below_one = { 0.5 },
)]
fn a_backlog_starts_at_the_rate(limit: f64) {
    let mut limiter = RateLimiter::new(rate(limit), at(0));
    let starts = start_all(&mut limiter, 0, 20_000);
    let expected = limit * 20.0;
    assert!((starts.len() as f64 - expected).abs() <= 1.0 + limit * 0.01);
}

#[test]
fn a_limit_of_zero_still_lets_a_request_tell_that_it_has_ended() {
    let mut limiter = RateLimiter::new(fleet_rate(rate(0.0)), at(0));
    let starts = start_all(&mut limiter, 0, 20_000);
    assert_eq!(starts.len(), 4, "one in four seconds");
    assert!(limiter.wait(1, at(20_000)) <= Duration::from_secs(4));
}

#[parameterized(
    negative = { -3.0 },
    not_a_number = { f64::NAN },
)]
fn a_rate_is_never_negative_and_always_a_number(value: f64) {
    assert_eq!(rate(value).get(), 0.0);
    assert!(rate(value).time_of(1.0) <= Duration::from_secs(86_400));
}

#[test]
fn a_huge_rate_holds_nothing_back() {
    let mut limiter = RateLimiter::new(rate(f64::MAX), at(0));
    assert_eq!(limiter.wait(1_000, at(1)), Duration::ZERO);
    limiter.record_start(at(1));
    assert!(limiter.admits(at(1)));
}

#[test]
fn routers_share_a_limit_by_their_demand() {
    let mut broker = LimitBroker::default();
    let all = [link(1), link(2), link(3)];
    broker.report(link(1), &demand(Some(10.0), 0, 8.0), &all, at(0));
    broker.report(link(2), &demand(Some(10.0), 0, 2.0), &all, at(10));
    let frames = broker.report(link(1), &demand(Some(10.0), 0, 8.0), &all, at(1_000));
    let share = share_of(&frames, 1).expect("the reporting router gets an answer");
    assert!((7.0..8.1).contains(&share), "share {share}");
    let frames = broker.report(link(3), &demand(Some(10.0), 0, 30.0), &all, at(1_100));
    let share = share_of(&frames, 3).expect("the reporting router gets an answer");
    assert!((7.0..7.6).contains(&share), "share {share}");
    assert!(share_of(&frames, 1).expect("its share has changed") < 2.1);
}

#[test]
fn all_routers_hear_of_a_limit_from_the_first_that_reports_it() {
    let mut broker = LimitBroker::default();
    let all = [link(1), link(2), link(3)];
    let frames = broker.report(link(2), &demand(Some(6.0), 0, 5.0), &all, at(0));
    assert_eq!(frames.len(), 3);
    assert!(frames.iter().all(|(_, frame)| frame.limit == Some(6.0)));
    let frames = broker.report(link(1), &demand(None, 0, 5.0), &all, at(2_000));
    assert_eq!(frames.len(), 3);
    assert!(frames.iter().all(|(_, frame)| frame.limit.is_none()));
}

#[test]
fn an_older_word_on_a_limit_does_not_replace_a_newer_one() {
    let mut broker = LimitBroker::default();
    let all = [link(1), link(2)];
    broker.report(link(1), &demand(Some(6.0), 0, 5.0), &all, at(5_000));
    let frames = broker.report(link(2), &demand(Some(90.0), 3_000, 5.0), &all, at(5_100));
    assert!(frames.iter().all(|(_, frame)| frame.limit == Some(6.0)));
}

#[test]
fn a_router_that_left_or_went_silent_leaves_its_share_to_the_others() {
    let mut broker = LimitBroker::default();
    let all = [link(1), link(2), link(3)];
    for router in all {
        broker.report(router, &demand(Some(9.0), 0, 3.0), &all, at(0));
    }
    broker.drop_link(link(3));
    let frames = broker.report(link(1), &demand(Some(9.0), 0, 3.0), &all[..2], at(1_000));
    assert_eq!(share_of(&frames, 1), Some(4.5));
    for second in 2..6 {
        let frame = demand(Some(9.0), 0, 3.0);
        let frames = broker.report(link(1), &frame, &all[..2], at(second * 1_000));
        let is_alone = second >= 4;
        assert_eq!(share_of(&frames, 1), Some(if is_alone { 9.0 } else { 4.5 }));
    }
}

#[test]
fn an_endpoint_whose_id_is_no_name_is_ignored() {
    let mut broker = LimitBroker::default();
    let frame = DemandFrame {
        endpoint: "not a name".to_owned(),
        ..demand(Some(1.0), 0, 1.0)
    };
    assert!(broker.report(link(1), &frame, &[link(1)], at(0)).is_empty());
}

proptest! {
    #![proptest_config(seeded(300))]

    /// However rates change and requests come, no window of four seconds starts more than the bound.
    #[test]
    fn no_window_starts_more_than_one_and_a_half_times_the_limit_and_five(
        limit in 0.3_f64..60.0,
        gaps in proptest::collection::vec(0_u64..900, 1..400),
    ) {
        let mut limiter = RateLimiter::new(rate(limit), at(0));
        let (mut now, mut starts) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            for _ in 0..20 {
                if limiter.admits(at(now)) {
                    limiter.record_start(at(now));
                    starts.push(now);
                }
            }
        }
        for first in &starts {
            let within = |start: &&u64| (*first..*first + 4_000).contains(*start);
            let count = starts.iter().filter(within).count();
            prop_assert!(count as f64 <= 1.5 * limit * 4.0 + 5.0);
        }
    }

    /// Many routers that each start a request now and then keep to the bound together.
    #[test]
    fn many_routers_with_small_shares_keep_the_bound_together(
        limit in 0.0_f64..20.0,
        routers in 2_usize..40,
        requests in proptest::collection::vec((any::<prop::sample::Index>(), 0_u64..40), 50..600),
    ) {
        let share = rate(fleet_rate(rate(limit)).get() / routers as f64);
        let phase = |index: usize| index as f64 / routers as f64;
        let of_router = |index| RateLimiter::of_share(share, phase(index), at(0));
        let mut limiters: Vec<RateLimiter> = (0..routers).map(of_router).collect();
        // All have been idle for long, and then get their requests close together.
        let (mut now, mut starts) = (60_000, Vec::new());
        for (index, gap) in requests {
            now += gap;
            let limiter = &mut limiters[index.index(routers)];
            if limiter.admits(at(now)) {
                limiter.record_start(at(now));
                starts.push(now);
            }
        }
        for first in &starts {
            let within = |start: &&u64| (*first..*first + 4_000).contains(*start);
            let count = starts.iter().filter(within).count();
            prop_assert!(count as f64 <= 1.5 * limit * 4.0 + 5.0, "{} at {}", count, limit);
        }
    }

    /// The shares of all routers add up to the limit, whatever they demand.
    #[test]
    fn shares_add_up_to_the_limit(
        demands in proptest::collection::vec(0_f32..1e6, 1..40),
        limit in 1_f64..1e4,
    ) {
        let mut broker = LimitBroker::default();
        let all: Vec<LinkId> = (0..demands.len() as u64).map(link).collect();
        let mut last = vec![0.0; demands.len()];
        for round in 0..2 {
            for (index, router) in all.iter().enumerate() {
                let frame = demand(Some(limit), 0, demands[index]);
                for (router, share) in broker.report(*router, &frame, &all, at(round * 1_000)) {
                    last[router.get() as usize] = share.share;
                }
            }
        }
        let sum: f64 = last.iter().sum();
        // A share is sent again only after a change by a tenth.
        prop_assert!(sum <= limit * 1.12 && sum >= limit * 0.88, "sum {} of {}", sum, limit);
    }
}
