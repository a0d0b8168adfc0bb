use std::str::FromStr;
use std::time::Duration;

use snafu::Snafu;

use super::machine::GatewayMachine;
use crate::id::{EndpointId, ServiceName};
use crate::time::ClockTime;

/// Longest pause that an endpoint may ask for; a longer one is taken as a mistake.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Pause of an endpoint whose request for one is no time.
const FALLBACK_PAUSE: Duration = Duration::from_secs(1);

/// Largest number of endpoints of which it is remembered, after they left the list, that they leave.
const MAX_REMEMBERED: usize = 64;

/// Time for which an endpoint asks to get no requests from this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointPause(Duration);

/// Why a text is not a pause.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PauseError {
    /// The text is not a number of seconds that is zero or more.
    #[snafu(display("`{text}` is not a number of seconds"))]
    NotSeconds {
        /// The text.
        text: String,
    },
    /// The pause is longer than any endpoint asks for.
    #[snafu(display("a pause of `{text}` s is longer than {} s", MAX_PAUSE.as_secs()))]
    TooLong {
        /// The text.
        text: String,
    },
}

impl EndpointPause {
    /// Returns the length of the pause.
    #[must_use]
    pub const fn length(self) -> Duration {
        self.0
    }

    /// Returns the pause in place of one that is not valid.
    #[must_use]
    pub const fn fallback(error: &PauseError) -> Self {
        match error {
            PauseError::NotSeconds { .. } => Self(FALLBACK_PAUSE),
            PauseError::TooLong { .. } => Self(MAX_PAUSE),
        }
    }
}

impl FromStr for EndpointPause {
    type Err = PauseError;

    fn from_str(text: &str) -> Result<Self, PauseError> {
        let text = text.trim();
        let quote = || text.chars().take(32).collect::<String>();
        let seconds: f64 = text
            .parse()
            .ok()
            .filter(|seconds: &f64| *seconds >= 0.0)
            .ok_or_else(|| PauseError::NotSeconds { text: quote() })?;
        let length = Duration::try_from_secs_f64(seconds).ok();
        let length = length.filter(|length| *length <= MAX_PAUSE);
        length
            .map(Self)
            .ok_or_else(|| PauseError::TooLong { text: quote() })
    }
}

impl GatewayMachine {
    /// Records that an endpoint said that it leaves, in the answer to a request sent at `sent`; returns
    /// whether that is new.
    ///
    /// Holds for this incarnation, whatever the list says.
    pub fn record_leaving(
        &mut self,
        endpoint: &EndpointId,
        sent: ClockTime,
        now: ClockTime,
    ) -> bool {
        let state = self.endpoints.get_mut(endpoint);
        let Some(state) = state.filter(|state| state.known_since <= sent) else {
            return false;
        };
        if std::mem::replace(&mut state.is_leaving, true) {
            return false;
        }
        self.reassign_stranded(now);
        true
    }

    /// Records that an endpoint asked for a pause, in the answer to a request sent at `sent`; returns
    /// whether it was not paused before.
    pub fn record_pause(
        &mut self,
        endpoint: &EndpointId,
        pause: EndpointPause,
        sent: ClockTime,
        now: ClockTime,
    ) -> bool {
        let state = self.endpoints.get_mut(endpoint);
        let Some(state) = state.filter(|state| state.known_since <= sent) else {
            return false;
        };
        let is_new = state.paused_until <= now;
        state.paused_until = state.paused_until.max(now + pause.length());
        if is_new {
            self.reassign_stranded(now);
        }
        is_new
    }

    /// Returns the shortest time for which an endpoint of the service is still paused that could be used
    /// otherwise; `None` if there is no such endpoint.
    pub(super) fn shortest_pause(&self, service: &ServiceName, now: ClockTime) -> Option<Duration> {
        let states = self.endpoints.values();
        let paused = states.filter(|state| {
            state.listed.service == *service && state.is_paused(now) && state.takes_requests(now)
        });
        paused.map(|state| state.paused_until.since(now)).min()
    }

    /// Remembers the endpoints that leave the list and said that they leave: they may be listed again.
    pub(super) fn remember_leaving(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        for (id, state) in self.endpoints.iter() {
            if state.is_leaving && !is_listed(id) {
                self.left.push_back((id.clone(), state.listed.started));
            }
        }
        while self.left.len() > MAX_REMEMBERED {
            self.left.pop_front();
        }
    }

    pub(super) fn has_left(&self, endpoint: &EndpointId, started: u64) -> bool {
        let mut left = self.left.iter();
        left.any(|(id, at)| id == endpoint && *at == started)
    }
}
