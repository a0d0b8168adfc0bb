//! Admission at one endpoint: limits, order and refusals.

mod support;

use std::time::Duration;

use cicadalock_core::desk::{
    CustomerMeter, DeskAction, DeskAsk, DeskMachine, EndpointDesk, GateLimits, RunKey,
};
use cicadalock_core::id::{CustomerId, LinkId, RequestId};
use cicadalock_core::message::{
    ConfigNotice, CustomerTotal, DeskAskFrame, DeskHello, DeskMessage, DeskNotice, DeskRun,
    DeskTotals,
};
use cicadalock_core::time::ClockTime;
use proptest::prelude::*;
use support::seeded;
use yare::parameterized;

const SLOTS: u32 = 8;
const MEMORY: u64 = 100_000;

fn key(number: u64) -> RunKey {
    (LinkId::new(0), RequestId::new(number))
}

fn engine() -> EndpointDesk {
    EndpointDesk::new(GateLimits::engine(SLOTS, MEMORY))
}

/// An ask of `customer` with `units` tokens that may start until `until`, in milliseconds.
fn prompt(customer: u32, units: f64, until: u64) -> DeskAsk {
    DeskAsk::new(CustomerId::new(customer), ClockTime::from_millis(until)).work(
        units,
        units as u64,
        units as u64,
    )
}

#[test]
fn a_long_prompt_waits_for_the_prefill_of_another_to_finish() {
    let (mut desk, mut meter) = (engine(), CustomerMeter::default());
    let now = ClockTime::from_millis(10_000);
    desk.ask(key(1), prompt(1, 40_000.0, 12_000), &meter, now)
        .expect("room");
    desk.ask(key(2), prompt(2, 40_000.0, 12_000), &meter, now)
        .expect("room");
    assert_eq!(desk.admit(&mut meter, now), [key(1)]);
    let later = ClockTime::from_millis(10_600);
    desk.first_event(key(1), later);
    assert_eq!(desk.admit(&mut meter, later), [key(2)]);
}

#[test]
fn a_request_that_exceeds_the_memory_waits_for_another_to_end() {
    let (mut desk, mut meter) = (engine(), CustomerMeter::default());
    let now = ClockTime::from_millis(10_000);
    let mut large = prompt(1, 100.0, 20_000);
    large.memory = 60_000;
    desk.ask(key(1), large, &meter, now).expect("room");
    desk.ask(key(2), large, &meter, now).expect("room");
    assert_eq!(desk.admit(&mut meter, now), [key(1)]);
    desk.first_event(key(1), now);
    assert!(
        desk.admit(&mut meter, ClockTime::from_millis(11_000))
            .is_empty()
    );
    desk.end(key(1));
    assert_eq!(
        desk.admit(&mut meter, ClockTime::from_millis(11_500)),
        [key(2)]
    );
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once_with_a_retry_delay() {
    let (mut desk, mut meter) = (engine(), CustomerMeter::default());
    let now = ClockTime::from_millis(10_000);
    desk.ask(key(1), prompt(1, 80_000.0, 12_000), &meter, now)
        .expect("room");
    desk.admit(&mut meter, now);
    let refusal = desk.ask(key(2), prompt(2, 100.0, 10_500), &meter, now);
    let refusal = refusal.expect_err("the engine is in prefill for a second");
    assert!(refusal.retry_after >= Duration::from_millis(500));
    assert!(refusal.retry_after <= Duration::from_millis(2_000));
}

#[test]
fn a_request_that_waited_too_long_is_refused() {
    let (mut desk, mut meter) = (EndpointDesk::for_application(1), CustomerMeter::default());
    let ask = DeskAsk::new(CustomerId::new(1), ClockTime::from_millis(100));
    desk.ask(key(1), ask, &meter, ClockTime::from_millis(0))
        .expect("room");
    desk.ask(key(2), ask, &meter, ClockTime::from_millis(0))
        .expect("room");
    desk.admit(&mut meter, ClockTime::from_millis(0));
    assert!(desk.refuse_overdue(ClockTime::from_millis(100)).is_empty());
    let refused = desk.refuse_overdue(ClockTime::from_millis(101));
    assert_eq!(
        refused
            .iter()
            .map(|refusal| refusal.key)
            .collect::<Vec<_>>(),
        [key(2)]
    );
    assert_eq!(desk.waiting(), 0);
}

#[test]
fn within_a_customer_requests_still_on_time_go_first() {
    let (mut desk, mut meter) = (EndpointDesk::for_application(1), CustomerMeter::default());
    let at = ClockTime::from_millis;
    let late = DeskAsk::new(CustomerId::new(1), at(500)).latest(at(5));
    let timely = DeskAsk::new(CustomerId::new(1), at(500)).latest(at(400));
    desk.ask(key(1), late, &meter, at(0)).expect("room");
    desk.ask(key(2), timely, &meter, at(0)).expect("room");
    assert_eq!(desk.admit(&mut meter, at(10)), [key(2)]);
}

/// One customer sends many times its usual load while another sends a few requests. Without an
/// order by usage, the first would fill the queue and starve the second.
#[test]
fn a_flooding_customer_does_not_starve_a_small_one() {
    let (mut desk, mut meter) = (engine(), CustomerMeter::default());
    let (mut asked, mut served, mut running) = ([0_u32; 2], [0_u32; 2], Vec::new());
    let mut number = 0;
    for step in 0..600_u64 {
        let now = ClockTime::from_millis(10_000 + step * 10);
        let mut ask =
            |customer: u32, number: u64, desk: &mut EndpointDesk, meter: &CustomerMeter| {
                let until = 10_000 + step * 10 + 640;
                asked[customer as usize] += 1;
                // A refused request counts as not served.
                let _ = desk.ask(key(number), prompt(customer, 6_000.0, until), meter, now);
            };
        // Prompts of 75 ms each: ten every 40 ms from one customer, one every 400 ms from another.
        if step % 4 == 0 {
            for _ in 0..10 {
                number += 1;
                ask(0, number, &mut desk, &meter);
            }
        }
        if step % 40 == 0 {
            number += 1_000_000;
            ask(1, number, &mut desk, &meter);
            number -= 1_000_000;
        }
        for started in desk.admit(&mut meter, now) {
            served[usize::from(started.1.get() > 1_000_000)] += 1;
            running.push((now + Duration::from_millis(75), started));
        }
        running.retain(|(due, started)| {
            let is_due = *due <= now;
            if is_due {
                desk.first_event(*started, now);
                desk.end(*started);
            }
            !is_due
        });
        desk.refuse_overdue(now);
    }
    assert!(
        served[1] * 10 >= asked[1] * 9,
        "small: {} of {}",
        served[1],
        asked[1]
    );
    assert!(served[0] > 40, "flood: {} of {}", served[0], asked[0]);
}

fn hello(runs: Vec<DeskRun>) -> DeskMessage {
    DeskMessage::Hello(DeskHello {
        host: "edge-1".to_owned(),
        slots: 2,
        memory: MEMORY,
        pause_ms: 400,
        runs,
        config_version: None,
    })
}

fn ask_frame(request: u64, customer: u32, received: f32) -> DeskAskFrame {
    DeskAskFrame {
        request,
        customer,
        units: 100.0,
        memory: 100,
        cost: 100,
        latest_ms: 500,
        until_ms: 500,
        received,
    }
}

fn grants(actions: &[DeskAction]) -> Vec<(u64, u64)> {
    let grants = actions.iter().filter_map(|action| match action {
        DeskAction::Send(link, DeskMessage::Grant(notice)) => Some((link.get(), notice.request)),
        _ => None,
    });
    grants.collect()
}

#[test]
fn customers_are_ordered_by_their_usage_through_all_routers() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    for link in [1, 2] {
        desk.receive(LinkId::new(link), hello(Vec::new()), now);
    }
    // Customer 7 has a high usage through router 2, which router 1 has not seen.
    desk.receive(
        LinkId::new(2),
        DeskMessage::Ask(ask_frame(1, 7, 90_000.0)),
        now,
    );
    desk.receive(
        LinkId::new(2),
        DeskMessage::Withdraw(DeskNotice { request: 1 }),
        now,
    );
    desk.receive(LinkId::new(1), DeskMessage::Ask(ask_frame(1, 7, 0.0)), now);
    desk.receive(LinkId::new(1), DeskMessage::Ask(ask_frame(2, 8, 10.0)), now);
    assert_eq!(grants(&desk.take_actions(now)), [(1, 2), (1, 1)]);
}

#[test]
fn a_router_receives_the_usage_of_a_customer_through_all_routers() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    for link in [1, 2] {
        desk.receive(LinkId::new(link), hello(Vec::new()), now);
        let lines = vec![CustomerTotal {
            customer: 7,
            received: 500.0,
        }];
        let wants_sums = link == 2;
        let totals = DeskTotals { lines, wants_sums };
        desk.receive(LinkId::new(link), DeskMessage::Totals(totals), now);
    }
    let actions = desk.take_actions(now);
    let sums = actions.iter().find_map(|action| match action {
        DeskAction::Send(link, DeskMessage::Sums(sums)) => Some((link.get(), sums.lines.clone())),
        _ => None,
    });
    let expected = CustomerTotal {
        customer: 7,
        received: 1_000.0,
    };
    assert_eq!(sums, Some((2, vec![expected])));
}

#[test]
fn runs_reported_by_a_reconnecting_router_occupy_slots() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    let run = |request| DeskRun {
        ask: Some(ask_frame(request, 1, 0.0)),
        is_read: true,
    };
    desk.receive(LinkId::new(1), hello(vec![run(1), run(2)]), now);
    desk.receive(LinkId::new(1), DeskMessage::Ask(ask_frame(3, 1, 0.0)), now);
    assert!(grants(&desk.take_actions(now)).is_empty());
    desk.receive(
        LinkId::new(1),
        DeskMessage::End(DeskNotice { request: 1 }),
        now,
    );
    assert_eq!(grants(&desk.take_actions(now)), [(1, 3)]);
}

#[test]
fn slots_of_a_disconnected_or_silent_router_are_released() {
    for is_silent in [false, true] {
        let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
        for link in [1, 2] {
            desk.receive(LinkId::new(link), hello(Vec::new()), now);
        }
        for request in [1, 2] {
            desk.receive(
                LinkId::new(1),
                DeskMessage::Ask(ask_frame(request, 1, 0.0)),
                now,
            );
        }
        assert_eq!(grants(&desk.take_actions(now)).len(), 2);
        let later = if is_silent {
            let later = now + Duration::from_secs(4);
            desk.receive(
                LinkId::new(2),
                DeskMessage::Totals(Default::default()),
                later,
            );
            let closes = desk
                .take_actions(later)
                .contains(&DeskAction::Close(LinkId::new(1)));
            assert!(closes);
            later
        } else {
            desk.link_down(LinkId::new(1), now);
            now
        };
        desk.receive(
            LinkId::new(2),
            DeskMessage::Ask(ask_frame(9, 2, 0.0)),
            later,
        );
        assert_eq!(grants(&desk.take_actions(later)), [(2, 9)]);
    }
}

#[test]
fn an_idle_desk_wakes_only_to_send_its_state() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    desk.receive(LinkId::new(1), hello(Vec::new()), now);
    desk.take_actions(now);
    let due = desk.next_wake().expect("the state is sent again");
    assert!(due.since(now) >= Duration::from_millis(100));
}

/// Number of states that a desk sends to the router `link` in one second of 10 ms steps.
fn states_in_a_second(desk: &mut DeskMachine, link: u64, start: ClockTime) -> usize {
    let steps = (0..100).map(|step| start + Duration::from_millis(step * 10));
    let actions = steps.flat_map(|now| desk.take_actions(now));
    let to_router = |action: &DeskAction| matches!(action, DeskAction::Send(to, DeskMessage::State(_)) if to.get() == link);
    actions.filter(to_router).count()
}

/// Without the forecast, a router with a few requests at each of many desks would receive ten
/// frames per second from each desk, which takes a third of a small host's capacity.
#[test]
fn a_desk_sends_no_state_that_its_router_can_forecast() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    desk.receive(LinkId::new(1), hello(Vec::new()), now);
    desk.receive(LinkId::new(1), DeskMessage::Ask(ask_frame(1, 1, 0.0)), now);
    assert_eq!(grants(&desk.take_actions(now)), [(1, 1)]);
    let later = now + Duration::from_millis(10);
    assert!(states_in_a_second(&mut desk, 1, later) <= 2);
}

#[test]
fn a_router_receives_the_state_when_another_router_causes_a_wait() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    for link in [1, 2] {
        desk.receive(LinkId::new(link), hello(Vec::new()), now);
    }
    desk.receive(LinkId::new(1), DeskMessage::Ask(ask_frame(1, 1, 0.0)), now);
    desk.take_actions(now);
    let later = now + Duration::from_millis(200);
    desk.take_actions(later);
    let mut long = ask_frame(1, 2, 0.0);
    long.units = 20_000.0;
    desk.receive(LinkId::new(2), DeskMessage::Ask(long), later);
    assert!(states_in_a_second(&mut desk, 1, later) >= 1);
}

#[test]
fn a_router_with_a_waiting_request_receives_states_as_heartbeats() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    desk.receive(LinkId::new(1), hello(Vec::new()), now);
    for request in 1..=4 {
        let mut frame = ask_frame(request, 1, 0.0);
        (frame.until_ms, frame.latest_ms) = (5_000, 5_000);
        desk.receive(LinkId::new(1), DeskMessage::Ask(frame), now);
    }
    assert!(states_in_a_second(&mut desk, 1, now) >= 9);
}

#[derive(Debug, Clone)]
enum Step {
    Ask {
        customer: u32,
        units: u32,
        max_wait_ms: u16,
    },
    FirstEvent(usize),
    End(usize),
    Withdraw(usize),
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u32..4, 0_u32..60_000, 0_u16..2_000)
            .prop_map(|(customer, units, max_wait_ms)| Step::Ask { customer, units, max_wait_ms }),
        2 => (0_usize..16).prop_map(Step::FirstEvent),
        2 => (0_usize..16).prop_map(Step::End),
        1 => (0_usize..16).prop_map(Step::Withdraw),
        3 => (0_u16..500).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(seeded(200))]

    /// In any sequence of events, the running requests stay within slots and memory, no request
    /// starts twice or after its refusal, and none waits beyond its latest start.
    #[test]
    fn a_desk_keeps_its_limits_in_any_sequence_of_events(steps in steps()) {
        let (mut desk, mut meter) = (engine(), CustomerMeter::default());
        let mut now = ClockTime::from_millis(60_000);
        let mut number = 0;
        let mut waiting: Vec<(RunKey, DeskAsk)> = Vec::new();
        let mut running: Vec<(RunKey, DeskAsk)> = Vec::new();
        for step in steps {
            match step {
                Step::Ask { customer, units, max_wait_ms } => {
                    number += 1;
                    let until = now.as_micros() / 1_000 + u64::from(max_wait_ms);
                    let ask = prompt(customer, f64::from(units), until);
                    if desk.ask(key(number), ask, &meter, now).is_ok() {
                        waiting.push((key(number), ask));
                    }
                }
                Step::FirstEvent(index) if index < running.len() => desk.first_event(running[index].0, now),
                Step::End(index) if index < running.len() => {
                    let (ended, _) = running.remove(index);
                    desk.end(ended);
                }
                Step::Withdraw(index) if index < waiting.len() => {
                    let (withdrawn, _) = waiting.remove(index);
                    prop_assert!(desk.withdraw(withdrawn));
                }
                Step::Wait(millis) => now = now + Duration::from_millis(u64::from(millis)),
                _ => {}
            }
            for refusal in desk.refuse_overdue(now) {
                let index = waiting.iter().position(|(key, _)| *key == refusal.key);
                let (_, ask) = waiting.remove(index.expect("it waited"));
                prop_assert!(now > ask.until);
            }
            for started in desk.admit(&mut meter, now) {
                let index = waiting.iter().position(|(key, _)| *key == started);
                running.push(waiting.remove(index.expect("it waited and did not start before")));
            }
            prop_assert!(running.len() <= SLOTS as usize);
            let held: u64 = running.iter().map(|(_, ask)| ask.memory).sum();
            prop_assert!(running.len() == 1 || held <= MEMORY);
            prop_assert_eq!(desk.waiting(), waiting.len());
        }
        // All waiting requests start once the running ones have ended, or are refused as overdue.
        for (ended, _) in running.drain(..) {
            desk.end(ended);
        }
        now = now + Duration::from_secs(1);
        desk.refuse_overdue(now);
        while desk.waiting() > 0 {
            let started = desk.admit(&mut meter, now);
            prop_assert!(!started.is_empty());
            for key in started {
                desk.end(key);
            }
            now = now + Duration::from_millis(400);
            desk.refuse_overdue(now);
        }
    }
}

/// Guards against starvation: short prompts that arrive all the time nearly always fit and would
/// overtake a prompt of 270 ms until it is refused.
#[test]
fn short_prompts_do_not_starve_a_longer_one() {
    let mut desk = EndpointDesk::new(GateLimits::engine(100, MEMORY));
    let mut meter = CustomerMeter::default();
    let (mut running, mut long_started) = (Vec::new(), None);
    for step in 0..80_u64 {
        let now = ClockTime::from_millis(10_000 + step * 10);
        let short = DeskAsk {
            memory: 500,
            ..prompt(1, 2_000.0, 12_000)
        };
        desk.ask(key(100 + step), short, &meter, now).expect("room");
        if step == 10 {
            let long = DeskAsk {
                memory: 500,
                ..prompt(2, 21_600.0, 10_740)
            };
            desk.ask(key(1), long, &meter, now).expect("room");
        }
        for started in desk.admit(&mut meter, now) {
            if started == key(1) {
                long_started = Some(step);
            }
            running.push((now + Duration::from_millis(25), started));
        }
        running.retain(|(due, started)| {
            if *due <= now {
                // The answer outlasts the test.
                desk.first_event(*started, now);
            }
            *due > now
        });
        desk.refuse_overdue(now);
    }
    assert!(
        long_started.is_some(),
        "the long prompt did not start within 640 ms"
    );
}

/// Returns the newest configuration that the state messages to `link` name.
fn newest_config(actions: &[DeskAction], link: LinkId) -> Option<u64> {
    let mut states = actions.iter().filter_map(|action| match action {
        DeskAction::Send(to, DeskMessage::State(state)) if *to == link => Some(state),
        _ => None,
    });
    states.next_back().and_then(|state| state.newest_config)
}

#[test]
fn a_desk_tells_routers_which_configuration_others_have_or_had() {
    let mut desk = DeskMachine::new();
    let (first, second) = (LinkId::new(1), LinkId::new(2));
    desk.receive(first, hello(Vec::new()), ClockTime::from_millis(10_000));
    assert_eq!(
        newest_config(&desk.take_actions(ClockTime::from_millis(10_000)), first),
        None
    );
    desk.receive(
        first,
        DeskMessage::Config(ConfigNotice { version: 7 }),
        ClockTime::from_millis(10_010),
    );
    desk.receive(second, hello(Vec::new()), ClockTime::from_millis(10_020));
    assert_eq!(
        newest_config(&desk.take_actions(ClockTime::from_millis(10_020)), second),
        Some(7)
    );
    desk.link_down(first, ClockTime::from_millis(10_030));
    desk.link_down(second, ClockTime::from_millis(10_030));
    desk.receive(second, hello(Vec::new()), ClockTime::from_millis(15_000));
    assert_eq!(
        newest_config(&desk.take_actions(ClockTime::from_millis(15_000)), second),
        Some(7)
    );
    desk.link_down(second, ClockTime::from_millis(15_000));
    desk.receive(second, hello(Vec::new()), ClockTime::from_millis(80_000));
    assert_eq!(
        newest_config(&desk.take_actions(ClockTime::from_millis(80_000)), second),
        None,
        "nobody has it in force any more"
    );
}

/// Guards against a router that starts and takes its own configuration for what others have.
#[test]
fn a_desk_that_has_started_does_not_tell_a_router_its_own_configuration() {
    let mut desk = DeskMachine::new();
    let link = LinkId::new(1);
    let now = ClockTime::from_millis(10_000);
    let DeskMessage::Hello(greeting) = hello(Vec::new()) else {
        panic!("a hello");
    };
    let greeting = DeskHello {
        config_version: Some(3),
        ..greeting
    };
    desk.receive(link, DeskMessage::Hello(greeting), now);
    assert_eq!(newest_config(&desk.take_actions(now), link), None);
}

#[test]
fn a_configuration_that_no_router_has_is_forgotten_even_if_others_come_and_go() {
    let mut desk = DeskMachine::new();
    let (first, second) = (LinkId::new(1), LinkId::new(2));
    let config = |version| DeskMessage::Config(ConfigNotice { version });
    desk.receive(first, hello(Vec::new()), ClockTime::from_millis(10_000));
    desk.receive(first, config(7), ClockTime::from_millis(10_000));
    desk.link_down(first, ClockTime::from_millis(10_000));
    for start in [50_000, 90_000] {
        desk.receive(second, hello(Vec::new()), ClockTime::from_millis(start));
        desk.receive(second, config(6), ClockTime::from_millis(start));
        desk.link_down(second, ClockTime::from_millis(start));
    }
    desk.receive(second, hello(Vec::new()), ClockTime::from_millis(130_000));
    assert_eq!(
        newest_config(&desk.take_actions(ClockTime::from_millis(130_000)), second),
        Some(6)
    );
}

/// Each case: how a granted run of customer 1 ends, and whether it goes before customer 2, which has received
/// a little.
#[parameterized(
    before_its_first_event = { false, true },
    after_its_first_event = { true, false },
)]
fn a_run_that_ends_before_its_first_event_does_not_count_as_usage(has_begun: bool, is_first: bool) {
    let mut desk = DeskMachine::new();
    let (one, other) = (LinkId::new(1), LinkId::new(2));
    let now = ClockTime::from_millis(10_000);
    for link in [one, other] {
        let hello = DeskHello {
            slots: 1,
            memory: MEMORY,
            pause_ms: 400,
            ..DeskHello::default()
        };
        desk.receive(link, DeskMessage::Hello(hello), now);
    }
    let ask = |request, customer, cost, received| {
        DeskMessage::Ask(DeskAskFrame {
            request,
            customer,
            cost,
            latest_ms: 5_000,
            until_ms: 5_000,
            received,
            ..DeskAskFrame::default()
        })
    };
    let notice = |request| DeskNotice { request };
    desk.receive(one, ask(1, 1, 5_000, 0.0), now);
    assert_eq!(grants(&desk.take_actions(now)), [(1, 1)]);
    if has_begun {
        desk.receive(one, DeskMessage::FirstEvent(notice(1)), now);
    }
    desk.receive(one, DeskMessage::End(notice(1)), now);
    desk.receive(other, ask(2, 3, 1, 0.0), now);
    assert_eq!(grants(&desk.take_actions(now)), [(2, 2)]);
    desk.receive(other, ask(3, 1, 100, 0.0), now);
    desk.receive(other, ask(4, 2, 100, 100.0), now);
    desk.receive(other, DeskMessage::End(notice(2)), now);
    let first = if is_first { 3 } else { 4 };
    assert_eq!(grants(&desk.take_actions(now)), [(2, first)]);
}
