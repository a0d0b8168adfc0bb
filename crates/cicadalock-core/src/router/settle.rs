use std::time::Duration;

use super::action::CallerEvent;
use super::failure::CallerFailure;
use super::machine::{RouterMachine, queue_key};
use super::request::RequestPhase;
use crate::id::{GrantId, LinkId, RequestId, ServiceName};
use crate::message::{
    AnswerChunk, AnswerEnd, AnswerHead, CancelWork, PeerMessage, Refusal, end_state, refusal_reason,
};
use crate::retry::RetryBudget;
use crate::time::ClockTime;

/// Delay before a refused keyed request sends its claim again.
const RECLAIM_DELAY: Duration = Duration::from_millis(50);

impl RouterMachine {
    /// Handles the loss of a connection.
    ///
    /// Requests handed over on it are retried, or fail with an unknown outcome.
    pub fn link_down(&mut self, link: LinkId, now: ClockTime) {
        if self.links.remove(&link).is_none() {
            return;
        }
        let affected: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.link() == Some(link))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            self.handle_lost_link(id, now);
        }
        self.mark_all_dirty();
    }

    /// Retries, fails or requeues a request whose link is lost.
    fn handle_lost_link(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.phase {
            RequestPhase::HandedOver { link, grant, .. } => {
                self.close_grant(link, grant);
                self.retry_or_fail(id, now);
            }
            RequestPhase::Claiming { .. } | RequestPhase::Claimed { .. } => {
                self.requeue_for_claim(id, now)
            }
            RequestPhase::Waiting | RequestPhase::Unclaimed { .. } => {}
        }
    }

    /// Sends a cancellation to the sidecar that has the request.
    pub(super) fn cancel(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let RequestPhase::HandedOver {
            link,
            grant,
            cancelled,
        } = &mut request.phase
        else {
            return;
        };
        cancelled.get_or_insert(now);
        let (link, grant) = (*link, grant.get());
        self.send(link, PeerMessage::Cancel(CancelWork { grant }));
    }

    /// Handles a refusal: the sidecar did not run the request and will not.
    pub(super) fn refused(&mut self, link: LinkId, refusal: Refusal, now: ClockTime) {
        let Some(id) = self.close_grant(link, GrantId::new(refusal.grant)) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let was_cancelled = matches!(
            request.phase,
            RequestPhase::HandedOver {
                cancelled: Some(_),
                ..
            }
        );
        let is_final = was_cancelled || request.is_caller_gone || now >= request.queue_deadline();
        if is_final || refusal.reason == refusal_reason::OUT_OF_TIME {
            self.fail(id, CallerFailure::no_capacity());
        } else if request.call.key.is_some() {
            self.requeue_for_claim(id, now + RECLAIM_DELAY);
        } else {
            self.requeue(id);
        }
    }

    /// Passes on the head of a response; a second head is ignored.
    pub(super) fn answer_head(&mut self, link: LinkId, head: AnswerHead) {
        let Some(id) = self.request_for_grant(link, head.grant) else {
            return;
        };
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| request.forwarded_bytes.is_none())
        else {
            return;
        };
        request.forwarded_bytes = Some(0);
        if !request.is_caller_gone {
            let (status, headers) = (head.status as u16, head.headers);
            self.answer(id, CallerEvent::Head { status, headers });
        }
    }

    /// Passes on a part of a response; a gap or overlap in its offsets ends the request.
    pub(super) fn answer_chunk(&mut self, link: LinkId, chunk: AnswerChunk, now: ClockTime) {
        let Some(id) = self.request_for_grant(link, chunk.grant) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.forwarded_bytes != Some(chunk.offset) {
            self.cancel(id, now);
            self.close_grant(link, GrantId::new(chunk.grant));
            self.finish_unknown(id, CallerFailure::broken());
            return;
        }
        request.forwarded_bytes = Some(chunk.offset + chunk.bytes.len() as u64);
        if !request.is_caller_gone {
            self.answer(id, CallerEvent::Chunk(chunk.bytes));
        }
    }

    /// Ends a request whose response was passed on completely; otherwise retries or fails it.
    pub(super) fn answer_end(&mut self, link: LinkId, end: AnswerEnd, now: ClockTime) {
        let Some(id) = self.close_grant(link, GrantId::new(end.grant)) else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_complete =
            end.state == end_state::COMPLETE && request.forwarded_bytes == Some(end.length);
        if is_complete {
            self.finish(id, CallerEvent::Complete);
        } else {
            self.retry_or_fail(id, now);
        }
    }

    /// Queues an idempotent request again if no part of its response was passed on, else fails it.
    ///
    /// A retry also needs retry budget and time before the queue deadline.
    fn retry_or_fail(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let was_cancelled = matches!(
            request.phase,
            RequestPhase::HandedOver {
                cancelled: Some(_),
                ..
            }
        );
        let may_retry = request.call.idempotent
            && request.forwarded_bytes.is_none()
            && !request.is_caller_gone
            && !was_cancelled
            && now < request.queue_deadline();
        let service = request.call.service.clone();
        if may_retry && self.spend_retry(&service) {
            self.retries += 1;
            self.mark_may_have_run(id);
            self.requeue(id);
        } else if was_cancelled {
            self.finish_unknown(id, CallerFailure::timed_out());
        } else {
            self.finish_unknown(id, CallerFailure::broken());
        }
    }

    /// Ends a request that may have run.
    ///
    /// A response that has started is cut short, so that the caller sees it as incomplete.
    pub(super) fn finish_unknown(&mut self, id: RequestId, failure: CallerFailure) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let event = match request.forwarded_bytes {
            Some(_) => CallerEvent::Break,
            None => CallerEvent::Fail(failure),
        };
        if let RequestPhase::HandedOver { link, grant, .. } = request.phase {
            self.close_grant(link, grant);
        }
        self.finish(id, event);
    }

    fn spend_retry(&mut self, service: &ServiceName) -> bool {
        self.retry_budgets
            .get_mut(service)
            .is_some_and(RetryBudget::try_spend)
    }

    fn mark_may_have_run(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.may_have_run = true;
        }
    }

    /// Returns a request to the front of the queue, to wait for any sidecar.
    fn requeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = RequestPhase::Waiting;
        let key = queue_key(request);
        self.queue.push_front(key, id);
        self.mark_dirty(key);
    }

    fn request_for_grant(&self, link: LinkId, grant: u64) -> Option<RequestId> {
        self.grants.get(&(link, GrantId::new(grant))).copied()
    }

    /// Removes a grant, so that later messages for it are ignored.
    fn close_grant(&mut self, link: LinkId, grant: GrantId) -> Option<RequestId> {
        let id = self.grants.remove(&(link, grant))?;
        if let Some(sidecar) = self.links.get_mut(&link) {
            sidecar.outstanding = sidecar.outstanding.saturating_sub(1);
        }
        Some(id)
    }
}
