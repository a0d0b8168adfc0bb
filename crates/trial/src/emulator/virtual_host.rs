use std::time::Duration;

use cicadalock_core::gateway::HostAdmission;
use cicadalock_core::id::CustomerId;
use cicadalock_core::time::ClockTime;

use super::load_file::HostSettings;

/// Interval at which a router measures how late its timers are.
pub(super) const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Longest lag of a timer, which fires between the events of a backlog.
const MAX_TIMER_LAG: Duration = Duration::from_millis(200);

/// Delay after which a refused caller tries again.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which the load balancer follows a router's readiness: two checks, a second apart.
const ROTATION_DELAY: Duration = Duration::from_millis(1_500);

/// The host of one router: does one thing after the other, as fast as its part of a core allows.
#[derive(Debug)]
pub(super) struct VirtualHost {
    cores: f64,
    settings: HostSettings,
    busy_until: ClockTime,
    admission: HostAdmission,
    /// When the router's readiness last changed, and whether it is ready.
    readiness: (ClockTime, bool),
}

impl VirtualHost {
    pub(super) fn new(settings: &HostSettings, index: usize) -> Self {
        Self {
            cores: settings.cores[index % settings.cores.len()],
            settings: settings.clone(),
            busy_until: ClockTime::default(),
            admission: HostAdmission::default(),
            readiness: (ClockTime::default(), true),
        }
    }

    /// Returns when a request that arrives now has been read, and whether it is admitted.
    pub(super) fn take_request(
        &mut self,
        customer: CustomerId,
        now: ClockTime,
    ) -> (ClockTime, bool) {
        let is_admitted = self.admission.admits(customer, now);
        let micros = if is_admitted {
            self.settings.request_us
        } else {
            self.settings.refusal_us
        };
        (self.work(micros, now), is_admitted)
    }

    /// Returns when an event that arrives now has been passed on.
    pub(super) fn take_event(&mut self, now: ClockTime) -> ClockTime {
        self.work(self.settings.event_us, now)
    }

    /// Measures the lag of a timer that was due now, and returns when the next one is due.
    pub(super) fn measure(&mut self, now: ClockTime) -> ClockTime {
        let lag = self.busy_until.since(now).min(MAX_TIMER_LAG);
        let now = now + lag;
        self.admission.record(lag, now);
        let is_ready = !self.admission.is_recovering(now);
        if self.readiness.1 != is_ready {
            self.readiness = (now, is_ready);
        }
        now + LAG_INTERVAL
    }

    /// Returns whether the load balancer sends new callers here.
    pub(super) fn is_in_rotation(&self, now: ClockTime) -> bool {
        let (changed, is_ready) = self.readiness;
        is_ready == (now.since(changed) >= ROTATION_DELAY)
    }

    fn work(&mut self, micros: f64, now: ClockTime) -> ClockTime {
        let span = Duration::from_secs_f64(micros / 1e6 / self.cores);
        self.busy_until = self.busy_until.max(now) + span;
        self.busy_until
    }
}
