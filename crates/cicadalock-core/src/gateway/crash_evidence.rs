use std::time::Duration;

use super::action::{GatewayAction, RefusalReason};
use super::call::{AttemptEnd, GatewayCall};
use super::machine::{GatewayMachine, GatewayPhase, GatewayRequest};
use crate::id::{EndpointId, RequestId, ServiceName};
use crate::message::{DeskMessage, EvidenceFrame};
use crate::quarantine::{CrashGuard, SURVIVAL_TIME, Suspect};
use crate::time::ClockTime;

/// Number of desks that pass on each piece of evidence; the next ones follow a second later.
const EVIDENCE_DESKS: usize = 3;

/// Age up to which another router's report of a crash says that the endpoint does not answer now.
const CRASH_NEWS_AGE: Duration = Duration::from_millis(500);

impl GatewayMachine {
    /// Sets the random number under which this process reports crashes to other routers.
    pub const fn set_reporter(&mut self, reporter: u64) {
        self.guard.set_reporter(reporter);
    }

    /// Returns what is known of parts of prompts that crash endpoints.
    #[must_use]
    pub const fn guard(&self) -> &CrashGuard {
        &self.guard
    }

    /// Returns whether a request must not be sent because it, or a part of its prompt, crashes endpoints.
    #[must_use]
    pub fn is_refused(&self, request: RequestId) -> bool {
        let request = self.requests.get(&request);
        request.is_some_and(|request| self.crash_refusal(&request.call).is_some())
    }

    /// Records that the answer of a request goes on: after a while it speaks for the parts of its
    /// prompt.
    pub fn record_progress(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let GatewayPhase::Running {
            started,
            begun: Some(begun),
        } = request.phase
            && now.since(begun) >= SURVIVAL_TIME
        {
            let suspects = &request.call.suspects;
            self.guard
                .record_answer(&request.plan.endpoint, started, now);
            self.guard
                .record_sound(&request.call.service, suspects, begun, now);
        }
    }

    /// Records whether an endpoint that broke requests accepts connections.
    pub fn record_check(&mut self, endpoint: &EndpointId, is_alive: bool, now: ClockTime) {
        if is_alive {
            self.guard.record_alive(endpoint);
            return;
        }
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health.mark_suspect(now);
        }
        self.guard.record_crash(endpoint, now);
        self.share_news(now);
    }

    /// Returns why the request is refused because of what crashes endpoints, unless it may try again.
    pub(super) fn find_crash_refusal(
        &mut self,
        call: &mut GatewayCall,
        now: ClockTime,
    ) -> Option<RefusalReason> {
        let suspect = self.guard.refused_suspect(&call.service, &call.suspects)?;
        call.is_trial =
            call.tried.is_empty() && self.guard.begin_trial(&call.service, &call.suspects, now);
        (!call.is_trial).then(|| refusal_reason(suspect))
    }

    fn crash_refusal(&self, call: &GatewayCall) -> Option<RefusalReason> {
        let suspect = self.guard.refused_suspect(&call.service, &call.suspects);
        suspect.filter(|_| !call.is_trial).map(refusal_reason)
    }

    /// Records what the end of an attempt tells about the parts of its prompt.
    pub(super) fn record_evidence(
        &mut self,
        request: &GatewayRequest,
        end: AttemptEnd,
        now: ClockTime,
    ) {
        let GatewayPhase::Running { started, begun } = request.phase else {
            return;
        };
        let endpoint = &request.plan.endpoint;
        if end == AttemptEnd::NotReached {
            if self.guard.record_unreached(endpoint, now) {
                self.check(endpoint);
            }
            return;
        }
        let (service, suspects) = (&request.call.service, &request.call.suspects);
        match end {
            AttemptEnd::Complete => {
                let begun = begun.unwrap_or(started);
                self.guard.record_answer(endpoint, started, now);
                self.guard.record_sound(service, suspects, begun, now);
            }
            AttemptEnd::CompleteUnframed | AttemptEnd::Broken => {
                let is_whole = end == AttemptEnd::CompleteUnframed;
                self.record_break(endpoint, service, suspects, (started, begun), is_whole, now);
            }
            _ => {}
        }
    }

    fn record_break(
        &mut self,
        endpoint: &EndpointId,
        service: &ServiceName,
        suspects: &[Suspect],
        times: (ClockTime, Option<ClockTime>),
        is_whole: bool,
        now: ClockTime,
    ) {
        let must_check = self
            .guard
            .record_break(endpoint, service, suspects, times, is_whole, now);
        if must_check {
            self.check(endpoint);
        }
        self.share_news(now);
    }

    fn check(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get(endpoint) {
            self.actions.push(GatewayAction::CheckEndpoint {
                endpoint: endpoint.clone(),
                address: state.listed.address,
            });
        }
    }

    /// Evaluates the evidence, and refuses the waiting requests with parts that are refused from now
    /// on.
    pub(super) fn update_guard(&mut self, now: ClockTime) {
        self.guard.update(now);
        let changes = self.guard.take_changes();
        if changes.iter().any(|change| change.verdict.is_some()) {
            self.refuse_waiting(now);
        }
        let reports = changes.into_iter().map(GatewayAction::ReportSuspect);
        self.actions.extend(reports);
        self.share_news(now);
    }

    fn refuse_waiting(&mut self, now: ClockTime) {
        let waiting = self.requests.iter().filter_map(|(id, request)| {
            let is_waiting = !matches!(request.phase, GatewayPhase::Running { .. });
            is_waiting
                .then(|| self.crash_refusal(&request.call))
                .flatten()
                .map(|reason| (*id, reason))
        });
        let waiting: Vec<(RequestId, RefusalReason)> = waiting.collect();
        for (id, reason) in waiting {
            let call = self.requests.get(&id).map(|request| request.call.clone());
            self.withdraw(id, now);
            if let Some(call) = call {
                self.refuse_here(id, &call, reason, Duration::ZERO);
            }
        }
    }

    pub(super) fn receive_evidence(&mut self, frame: EvidenceFrame, now: ClockTime) {
        for crash in &frame.crashes {
            let age = Duration::from_millis(crash.crashed_age_ms.into());
            let Ok(endpoint) = crash.endpoint.parse::<EndpointId>() else {
                continue;
            };
            if let Some(state) = self.endpoints.get_mut(&endpoint)
                && age < CRASH_NEWS_AGE
            {
                state.health.mark_suspect(now);
                if self.guard.record_unreached(&endpoint, now) {
                    self.check(&endpoint);
                }
            }
        }
        let invalid = self.guard.receive(frame, now);
        if invalid > 0 {
            self.actions.push(GatewayAction::ReportInvalid(invalid));
        }
    }

    /// Sends a desk that has just been connected everything that is known.
    pub(super) fn send_board(&mut self, endpoint: &EndpointId, now: ClockTime) {
        for frame in self.guard.board().to_frames(now) {
            self.send_to_desk(endpoint, DeskMessage::Evidence(frame));
        }
    }

    /// Sends own evidence at once if some of it is new.
    fn share_news(&mut self, now: ClockTime) {
        if self.guard.has_unsent() {
            self.send_evidence(now);
        }
    }

    /// Sends own evidence to some desks, other ones each time.
    pub(super) fn send_evidence(&mut self, now: ClockTime) {
        let desks = self.connected_desks();
        if desks.is_empty() {
            return;
        }
        let Some(frame) = self.guard.take_outgoing(now) else {
            return;
        };
        let first = self.evidence_sent;
        self.evidence_sent = self.evidence_sent.wrapping_add(EVIDENCE_DESKS);
        for offset in 0..EVIDENCE_DESKS.min(desks.len()) {
            let endpoint = &desks[(first + offset) % desks.len()];
            self.send_to_desk(endpoint, DeskMessage::Evidence(frame.clone()));
        }
    }
}

const fn refusal_reason(suspect: Suspect) -> RefusalReason {
    match suspect {
        Suspect::Part(_) => RefusalReason::CrashingPart,
        Suspect::Request(_) => RefusalReason::CrashingRequest,
    }
}
