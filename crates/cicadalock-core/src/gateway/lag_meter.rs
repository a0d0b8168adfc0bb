use std::time::Duration;

use crate::time::ClockTime;

/// Timer lag above which a reading counts towards overload.
///
/// The limit leaves a fifth of the shortest usual objective for the request itself. A CPU quota
/// stops a process for up to 100 ms at a time, which is not an overload.
const OVERLOAD_LAG: Duration = Duration::from_millis(150);

/// Consecutive late readings that indicate an overload; a single one is a process that was stopped.
const OVERLOAD_READINGS: usize = 3;

/// Time after an overload during which new callers are sent to other hosts.
///
/// The load balancer probes once a second and acts after two answers, so it would miss a shorter
/// period.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Detects overload of a router from how late its timers fire.
///
/// Callers are spread over hosts by a hash of the host names, whatever the size of the hosts, so a
/// small host may get more traffic than it can relay. It refuses new requests while it lags, and
/// callers retry at other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagMeter {
    readings: [Duration; OVERLOAD_READINGS],
    /// Time of the last reading that found an overload.
    behind_at: Option<ClockTime>,
}

impl LagMeter {
    /// Records how late a timer fired.
    pub fn record(&mut self, lag: Duration, now: ClockTime) {
        self.readings.rotate_left(1);
        self.readings[OVERLOAD_READINGS - 1] = lag;
        if self.is_behind() {
            self.behind_at = Some(now);
        }
    }

    /// Returns whether the router is overloaded and has to refuse new requests.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.readings.iter().all(|lag| *lag > OVERLOAD_LAG)
    }

    /// Returns whether new callers should go to other hosts: during an overload and shortly after.
    #[must_use]
    pub fn is_recovering(&self, now: ClockTime) -> bool {
        self.behind_at
            .is_some_and(|behind| now.since(behind) < RECOVERY_TIME)
    }
}
