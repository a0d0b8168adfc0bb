//! Tests of how a sidecar reacts to failures of its endpoint and to a missing host list.

mod support;

use std::sync::Arc;

use cicadalock_core::config::FleetConfig;
use cicadalock_core::id::{HostName, Incarnation, LinkId};
use cicadalock_core::message::{BidLine, BidUpdate, HandOver, PeerMessage};
use cicadalock_core::sidecar::{CallResult, RunCommand, SidecarAction, SidecarMachine};
use cicadalock_core::time::{ClockTime, WallTime};
use support::test_config;
use yare::parameterized;

const ROUTER: LinkId = LinkId::new(1);
const NOW: ClockTime = ClockTime::from_millis(1_000);
const WALL: WallTime = WallTime::from_unix_millis(1_000);

fn machine(config: &Arc<FleetConfig>) -> SidecarMachine {
    let host: HostName = "s0".parse().expect("valid host name");
    let mut machine = SidecarMachine::builder(host, "udlaan".parse().expect("valid service name"))
        .incarnation(Incarnation::new(1))
        .build();
    machine.set_config(Arc::clone(config), WALL);
    machine.router_connected(ROUTER, "r0".parse().expect("valid host name"), NOW);
    machine
}

/// Sends the bid and the hand-over of one request, and returns the sidecar's command to call the
/// endpoint.
fn start_one(
    machine: &mut SidecarMachine,
    config: &FleetConfig,
    customer_index: usize,
) -> RunCommand {
    let customer = config.customers()[customer_index].id.get();
    let kind = config.kinds()[0].id.get();
    let lines = vec![BidLine {
        customer,
        kind,
        count: 1,
    }];
    machine.receive(ROUTER, PeerMessage::Bid(BidUpdate { lines }), NOW, WALL);
    let grant = machine
        .take_actions(NOW, WALL)
        .into_iter()
        .find_map(|action| match action {
            SidecarAction::Send {
                message: PeerMessage::Grant(grant),
                ..
            } => Some(grant.grant),
            _ => None,
        });
    let request = HandOver {
        grant: grant.expect("the sidecar offers a grant"),
        customer,
        kind,
        remaining_ms: 5_000,
        ..HandOver::default()
    };
    machine.receive(ROUTER, PeerMessage::HandOver(request), NOW, WALL);
    let command = machine
        .take_actions(NOW, WALL)
        .into_iter()
        .find_map(|action| match action {
            SidecarAction::Start(command) => Some(*command),
            _ => None,
        });
    command.expect("the sidecar starts the request")
}

/// Makes `calls` calls that end with `result`, and returns whether the endpoint was ever reported
/// as failing.
///
/// The calls cycle through the customers and cost one unit each.
fn becomes_failing(customers: usize, calls: usize, result: &CallResult) -> bool {
    let config = test_config(customers);
    let mut machine = machine(&config);
    for call in 0..calls {
        if machine.report(NOW).is_failing {
            return true;
        }
        let command = start_one(&mut machine, &config, call % customers);
        machine.finish_call(command.grant, result.clone(), 1, NOW);
    }
    machine.report(NOW).is_failing
}

/// A single customer's errors may be caused by its requests: of consecutive ones, only the first
/// counts and those from `SINGLE_CUSTOMER_FAILURE_LIMIT` on. Errors of two customers in turn all
/// count.
#[parameterized(
    not_reached = { 1, 2, CallResult::NotReached, true },
    errors_of_two_customers = { 2, 2, CallResult::Complete { status: 500, kept: None }, true },
    a_few_errors_of_one_customer = { 1, 4, CallResult::Complete { status: 500, kept: None }, false },
    many_errors_of_the_only_customer = { 1, 20, CallResult::Complete { status: 500, kept: None }, true },
    errors_of_the_request = { 2, 20, CallResult::Complete { status: 404, kept: None }, false },
    answers_broken_by_the_endpoint = { 2, 2, CallResult::Broken, true },
    callers_that_leave = { 2, 20, CallResult::Abandoned, false },
)]
fn an_endpoint_is_failing_for_its_own_failures_only(
    customers: usize,
    calls: usize,
    result: CallResult,
    expected: bool,
) {
    assert_eq!(becomes_failing(customers, calls, &result), expected);
}

#[test]
fn without_a_host_list_no_idempotency_key_counts_as_new() {
    let config = test_config(1);
    let mut machine = machine(&config);
    machine.tick(NOW, WALL);
    let report = machine.report(NOW);
    // Without a host list, the sidecar knows no homes whose confirmation could be missing.
    assert!(report.missing_words.is_empty());
    assert_eq!(report.keys_fresh_after, None);
}
