//! Admission at one endpoint: bounds, order and refusals.

mod support;

use std::time::Duration;

use cicadalock_core::desk::{
    CustomerMeter, DeskAction, DeskAsk, DeskMachine, EndpointDesk, GateLimits, RunKey,
};
use cicadalock_core::id::{CustomerId, LinkId, RequestId};
use cicadalock_core::message::{
    CustomerTotal, DeskAskFrame, DeskHello, DeskMessage, DeskNotice, DeskRun, DeskTotals,
};
use cicadalock_core::time::ClockTime;
use proptest::prelude::*;
use support::seeded;

const SLOTS: u32 = 8;
const MEMORY: u64 = 100_000;

fn key(number: u64) -> RunKey {
    (LinkId::new(0), RequestId::new(number))
}

fn engine() -> EndpointDesk {
    EndpointDesk::new(GateLimits::engine(SLOTS, MEMORY))
}

/// A prompt of `units` tokens of customer `customer` that may wait until `until`.
fn prompt(customer: u32, units: f64, until: u64) -> DeskAsk {
    DeskAsk::new(CustomerId::new(customer), ClockTime::from_millis(until)).work(
        units,
        units as u64,
        units as u64,
    )
}

#[test]
fn a_long_prompt_does_not_start_beside_another_that_is_read() {
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
fn what_exceeds_the_memory_waits_for_the_end_of_another() {
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
    desk.end(key(1), ClockTime::from_millis(11_500));
    assert_eq!(
        desk.admit(&mut meter, ClockTime::from_millis(11_500)),
        [key(2)]
    );
}

#[test]
fn what_cannot_start_in_time_is_refused_at_once_with_a_time_to_come_back() {
    let (mut desk, mut meter) = (engine(), CustomerMeter::default());
    let now = ClockTime::from_millis(10_000);
    desk.ask(key(1), prompt(1, 80_000.0, 12_000), &meter, now)
        .expect("room");
    desk.admit(&mut meter, now);
    let refusal = desk.ask(key(2), prompt(2, 100.0, 10_500), &meter, now);
    let refusal = refusal.expect_err("the engine reads for a second");
    assert!(refusal.retry_after >= Duration::from_millis(500));
    assert!(refusal.retry_after <= Duration::from_millis(2_000));
}

#[test]
fn what_waited_too_long_is_refused() {
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
fn within_a_customer_those_still_on_time_go_first() {
    let (mut desk, mut meter) = (EndpointDesk::for_application(1), CustomerMeter::default());
    let at = ClockTime::from_millis;
    let late = DeskAsk::new(CustomerId::new(1), at(500)).latest(at(5));
    let timely = DeskAsk::new(CustomerId::new(1), at(500)).latest(at(400));
    desk.ask(key(1), late, &meter, at(0)).expect("room");
    desk.ask(key(2), timely, &meter, at(0)).expect("room");
    assert_eq!(desk.admit(&mut meter, at(10)), [key(2)]);
}

/// A flood of one customer beside a trickle of another, as on days with a customer that sends many
/// times its usual.
#[test]
fn a_flood_does_not_keep_a_small_customer_from_being_served() {
    let (mut desk, mut meter) = (engine(), CustomerMeter::default());
    let (mut asked, mut served, mut running) = ([0_u32; 2], [0_u32; 2], Vec::new());
    let mut number = 0;
    for step in 0..600_u64 {
        let now = ClockTime::from_millis(10_000 + step * 10);
        let mut ask =
            |customer: u32, number: u64, desk: &mut EndpointDesk, meter: &CustomerMeter| {
                let until = 10_000 + step * 10 + 640;
                asked[customer as usize] += 1;
                // A refusal is counted as not served.
                let _ = desk.ask(key(number), prompt(customer, 6_000.0, until), meter, now);
            };
        // Ten prompts of 75 ms each in 40 ms, and one in 400 ms.
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
                desk.end(*started, now);
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
fn a_customer_is_weighed_by_what_all_routers_gave_it() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    for link in [1, 2] {
        desk.receive(LinkId::new(link), hello(Vec::new()), now);
    }
    // Customer 7 received much through router 2; router 1 knows nothing of that.
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
fn a_router_learns_what_all_routers_gave_a_customer() {
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
fn runs_that_a_router_tells_of_on_its_return_take_their_slots() {
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
fn a_router_that_is_gone_or_silent_gives_its_slots_back() {
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
fn an_idle_desk_has_nothing_due_before_it_must_tell_its_state() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    desk.receive(LinkId::new(1), hello(Vec::new()), now);
    desk.take_actions(now);
    let due = desk.next_wake().expect("the state is told again");
    assert!(due.since(now) >= Duration::from_millis(100));
}

/// States that a desk tells the router `link`, in the 10 ms steps of a second.
fn states_in_a_second(desk: &mut DeskMachine, link: u64, start: ClockTime) -> usize {
    let steps = (0..100).map(|step| start + Duration::from_millis(step * 10));
    let actions = steps.flat_map(|now| desk.take_actions(now));
    let to_router = |action: &DeskAction| matches!(action, DeskAction::Send(to, DeskMessage::State(_)) if to.get() == link);
    actions.filter(to_router).count()
}

/// A router with a few requests at each of many desks would otherwise read ten frames a second of
/// each, a third of what a small host can do.
#[test]
fn a_desk_says_nothing_that_its_router_can_work_out() {
    let (mut desk, now) = (DeskMachine::new(), ClockTime::from_millis(10_000));
    desk.receive(LinkId::new(1), hello(Vec::new()), now);
    desk.receive(LinkId::new(1), DeskMessage::Ask(ask_frame(1, 1, 0.0)), now);
    assert_eq!(grants(&desk.take_actions(now)), [(1, 1)]);
    let later = now + Duration::from_millis(10);
    assert!(states_in_a_second(&mut desk, 1, later) <= 2);
}

#[test]
fn a_router_hears_of_a_wait_that_another_one_causes() {
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
fn a_router_whose_request_waits_hears_that_the_desk_lives() {
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
        patience: u16,
    },
    First(usize),
    End(usize),
    Withdraw(usize),
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u32..4, 0_u32..60_000, 0_u16..2_000)
            .prop_map(|(customer, units, patience)| Step::Ask { customer, units, patience }),
        2 => (0_usize..16).prop_map(Step::First),
        2 => (0_usize..16).prop_map(Step::End),
        1 => (0_usize..16).prop_map(Step::Withdraw),
        3 => (0_u16..500).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(seeded(200))]

    /// Over any history, no more run than there are slots, memory is kept, nothing starts twice or
    /// after it was refused, and nothing waits beyond its time.
    #[test]
    fn a_desk_keeps_its_bounds_over_any_history(steps in steps()) {
        let (mut desk, mut meter) = (engine(), CustomerMeter::default());
        let mut now = ClockTime::from_millis(60_000);
        let mut number = 0;
        let mut waiting: Vec<(RunKey, DeskAsk)> = Vec::new();
        let mut running: Vec<(RunKey, DeskAsk)> = Vec::new();
        for step in steps {
            match step {
                Step::Ask { customer, units, patience } => {
                    number += 1;
                    let until = now.as_micros() / 1_000 + u64::from(patience);
                    let ask = prompt(customer, f64::from(units), until);
                    if desk.ask(key(number), ask, &meter, now).is_ok() {
                        waiting.push((key(number), ask));
                    }
                }
                Step::First(index) if index < running.len() => desk.first_event(running[index].0, now),
                Step::End(index) if index < running.len() => {
                    let (ended, _) = running.remove(index);
                    desk.end(ended, now);
                }
                Step::Withdraw(index) if index < waiting.len() => {
                    let (left, _) = waiting.remove(index);
                    prop_assert!(desk.withdraw(left));
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
        // Whatever waits starts once everything else has ended, unless its time is over.
        for (ended, _) in running.drain(..) {
            desk.end(ended, now);
        }
        now = now + Duration::from_secs(1);
        desk.refuse_overdue(now);
        while desk.waiting() > 0 {
            let started = desk.admit(&mut meter, now);
            prop_assert!(!started.is_empty());
            for key in started {
                desk.end(key, now);
            }
            now = now + Duration::from_millis(400);
            desk.refuse_overdue(now);
        }
    }
}

/// Short prompts that come all the time beside one of 270 ms, as on days with many short notes.
#[test]
fn short_prompts_do_not_keep_a_held_up_one_waiting_until_it_is_refused() {
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
                // Its answer goes on for longer than the test.
                desk.first_event(*started, now);
            }
            *due > now
        });
        desk.refuse_overdue(now);
    }
    assert!(long_started.is_some(), "640 ms were enough for everybody");
}
