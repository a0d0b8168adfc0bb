use std::time::Duration;

use super::action::RouterAction;
use super::failure::CallerFailure;
use super::machine::RouterMachine;
use super::request::RequestPhase;
use crate::id::{LinkId, RequestId};
use crate::time::ClockTime;

/// A sidecar with work of this router that says nothing for longer is given up.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long the word of a sidecar is awaited after a request was cancelled.
const CANCEL_GRACE: Duration = Duration::from_millis(500);

impl RouterMachine {
    pub(super) fn sweep_requests(&mut self, now: ClockTime) {
        let mut late = Vec::new();
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
                late.push(*id);
            }
        }
        for id in late {
            self.expire(id, now);
        }
    }

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
