//! Documents of a store and a clock for tests that follow one.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cicadalock_core::id::EndpointId;
use cicadalock_core::serving::{EndpointList, ListedEndpoint, ListingState, ServingConfig};
use cicadalock_core::time::ClockTime;
use cicadalock_node::gateway::{FollowerTimes, StoreChange, StoreDocument};

pub const WAIT: Duration = Duration::from_millis(500);

pub const TIMES: FollowerTimes = FollowerTimes {
    wait: WAIT,
    drain: Duration::from_millis(2_000),
    lease: Duration::from_millis(3_000),
    token_age: Duration::from_millis(3_500),
};

pub fn id(name: &str) -> EndpointId {
    name.parse().expect("a valid name")
}

pub fn endpoint(name: &str, is_draining: bool) -> StoreDocument {
    written_by(name, is_draining, 0, 1)
}

/// Returns the entry that a heartbeat of the process started at `started` wrote.
pub fn written_by(name: &str, is_draining: bool, started: u64, heartbeat: u64) -> StoreDocument {
    let listed = ListedEndpoint {
        service: "model".parse().expect("a valid name"),
        address: "127.0.0.1:9000".parse().expect("a valid address"),
        zone: "z1".parse().expect("a valid name"),
        slots: 8,
        state: if is_draining {
            ListingState::Draining
        } else {
            ListingState::Ready
        },
        cold_remaining: Duration::ZERO,
        started,
        heartbeat,
    };
    StoreDocument::Endpoint(id(name), Ok(listed))
}

pub fn config(version: u64) -> StoreDocument {
    let config = ServingConfig::builder(version).build();
    StoreDocument::Config(Box::new(config))
}

pub fn written(document: StoreDocument) -> StoreChange {
    StoreChange::Written(document)
}

/// Returns a clock that reads the time set in the returned cell.
pub fn clock() -> (Rc<Cell<u64>>, impl Fn() -> ClockTime) {
    let millis = Rc::new(Cell::new(100_000));
    let read = Rc::clone(&millis);
    (millis, move || ClockTime::from_millis(read.get()))
}

/// Returns the time from which each missing endpoint counts as gone.
pub fn expiries(list: &EndpointList) -> Vec<(&str, Option<ClockTime>)> {
    let missing = list.iter().filter_map(|(id, listed)| match listed.state {
        ListingState::Missing { until } => Some((id.as_str(), until)),
        ListingState::Ready | ListingState::Draining => None,
    });
    missing.collect()
}

pub fn names(list: &EndpointList) -> Vec<&str> {
    list.keys().map(EndpointId::as_str).collect()
}
