//! Tests of the start of a fleet of real processes.

mod support;

use support::{desk_fleet, program};

#[test]
fn a_fleet_that_does_not_start_names_its_processes_and_the_end_of_their_logs() {
    // The trial binary has no `sidecar` and no `router` subcommand, so these processes end.
    let fleet = desk_fleet(1, 1).binary(Some(program()));
    let error = fleet.start().expect_err("the fleet does not start");
    let error = error.to_string();
    for process in ["sidecar udlaan-0", "router router-0"] {
        assert!(error.contains(process), "{error}");
    }
    assert!(error.contains("ended with exit status"), "{error}");
    assert!(error.contains("unexpected argument"), "{error}");
}
