//! Tests which requests a stopping router passes on.

use std::time::Duration;

use cicadalock_core::gateway::StopWindow;
use cicadalock_core::time::ClockTime;
use yare::parameterized;

const GRACE: Duration = Duration::from_millis(7_300);

#[parameterized(
    early_stream = { None, 2_900, true },
    late_stream = { None, 3_100, false },
    early_booking = { Some(300), 2_900, true },
    booking_with_time_left = { Some(300), 6_000, true },
    booking_without_time_left = { Some(300), 6_200, false },
    slow_booking = { Some(1_500), 3_100, false },
    after_the_end = { Some(0), 7_301, true },
    booking_after_the_end = { Some(1), 7_301, false },
)]
fn a_stopping_router_passes_on_what_can_end_within_its_grace_period(
    objective_ms: Option<u64>,
    after_ms: u64,
    expected: bool,
) {
    let window = StopWindow::new(ClockTime::from_millis(100_000), GRACE);
    let now = ClockTime::from_millis(100_000 + after_ms);
    let objective = objective_ms.map(Duration::from_millis);
    assert_eq!(window.takes(objective, now), expected);
}
