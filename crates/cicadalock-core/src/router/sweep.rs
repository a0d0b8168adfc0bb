use std::time::Duration;

use super::action::RouterAction;
use super::failure::CallerFailure;
use super::machine::RouterMachine;
use super::request::RequestPhase;
use crate::id::{LinkId, RequestId};
use crate::time::ClockTime;

/// A link with outstanding requests is closed after this long without a message.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long the sidecar may take to confirm a cancellation before the request fails as unknown.
const CANCEL_GRACE: Duration = Duration::from_millis(500);

impl RouterMachine {
    /// Handles the requests whose current deadline has passed.
    pub(super) fn sweep_requests(&mut self, now: ClockTime) {
        let mut expired = Vec::new();
        for (id, request) in self.requests.iter() {
            let deadline = match request.phase {
                RequestPhase::HandedOver {
                    cancelled: Some(at),
                    ..
                } => at + CANCEL_GRACE,
                RequestPhase::HandedOver { .. } => request.deadline(),
                _ => request.queue_deadline(),
            };
            if now >= deadline {
                expired.push(*id);
            }
        }
        for id in expired {
            self.expire(id, now);
        }
    }

    /// Cancels a request at a sidecar, or ends it if it waits or was cancelled before.
    pub(super) fn expire(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.phase {
            RequestPhase::HandedOver {
                cancelled: None, ..
            } => self.cancel(id, now),
            RequestPhase::HandedOver { .. } => self.finish_unknown(id, CallerFailure::timed_out()),
            RequestPhase::Unclaimed { .. } | RequestPhase::Claiming { .. } => {
                self.fail_held(id, CallerFailure::home_silent());
            }
            RequestPhase::Waiting | RequestPhase::Claimed { .. } => {
                self.fail_held(id, CallerFailure::no_capacity());
            }
        }
    }

    /// Closes the links whose sidecar has outstanding requests and is silent.
    pub(super) fn sweep_links(&mut self, now: ClockTime) {
        let silent: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                link.outstanding > 0 && now.since(link.last_heard) > SILENCE_TIMEOUT
            })
            .map(|(id, _)| *id)
            .collect();
        for link in silent {
            self.actions.push(RouterAction::Close(link));
            self.link_down(link, now);
        }
    }
}
