//! Guarantees about answers of endpoints that pause, and about configurations that the store has lost.

use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;
use cicadalock_standins::{EndpointRun, HostSettings};

use super::guarantees::{
    DisturbedPart, GuaranteeViolation, NOT_RUN_STATUSES, SoakDisturbance, SoakEvidence,
    TokenPeriod, endpoint_index,
};
use super::soak_callers::{CallKind, CallRecord, router_of};

/// Statuses of refusals for what the configuration does not allow.
const DENIED_STATUSES: [u16; 3] = [401, 403, 404];

/// Time after a request in which its connection may end without an answer if no endpoint runs it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time after a stop in which a request counts until the last part of the grace period.
const STOP_SLACK: Duration = Duration::from_secs(3);

/// Time in which a process that was started may not listen yet.
const START_SLACK: Duration = Duration::from_secs(1);

/// Time after a configuration took effect at a router in which an older one may still do so, and how many
/// times longer it is at a disturbed router.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const DISTURBED_ROLLBACK_FACTOR: u32 = 8;

/// Requests of a router per listed endpoint from which on each endpoint gets one.
const USES_PER_ENDPOINT: usize = 30;

/// Checks that a caller gets a whole answer or a refusal, whether or not endpoints are silent.
///
/// This holds beside planned work, too, but not beside other faults of the router, of the links to the
/// endpoints or of the endpoints.
pub(super) fn check_answer(
    call: &CallRecord,
    runs: &[(&str, &EndpointRun)],
    evidence: &SoakEvidence,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let is_excused = !call.is_answer_owed()
        || call.is_settled()
        || call.has_reached_limit()
        || evidence.is_unread(call, runs)
        || evidence.is_beside_fault(call)
        || evidence.is_at_end_of_grace(call)
        || evidence.is_silent_for_too_long(call, runs);
    if is_excused {
        return;
    }
    let answer = call.answer.as_ref();
    violations.push(GuaranteeViolation {
        guarantee: "a silent endpoint or planned work leaves no caller without a whole answer",
        observed: format!(
            "{} ({:?}): status {:?} and {:?} after {:?}, {:?} after the last part, ran at {:?}",
            call.number,
            call.kind,
            answer.map(|answer| answer.status),
            answer.map_or("", |answer| &answer.body),
            call.ended - call.sent,
            call.ended - call.last_part_at(),
            runs.iter()
                .map(|(endpoint, _)| endpoint)
                .collect::<Vec<_>>(),
        ),
    });
}

/// Checks that a configuration that took effect at a router is not taken back before it starts again, and
/// that a token is accepted once the store has held it for long enough.
pub(super) fn check_lasting_configs(
    evidence: &SoakEvidence,
    calls: &SortedMap<&str, &CallRecord>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let effects = evidence.token_effects(calls);
    for (endpoint, run) in &evidence.runs {
        let call = calls.get(&run.number.as_str());
        let Some((call, start)) = call.and_then(|call| Some((call, evidence.start_of(call)?)))
        else {
            continue;
        };
        let newer = effects
            .iter()
            .find(|((at, token), _)| *at == start && *token > call.token);
        if let Some((_, seen)) = newer.filter(|(_, seen)| evidence.is_bound_by(call, **seen)) {
            violations.push(GuaranteeViolation {
                guarantee: "a router does not go back to an older configuration",
                observed: format!(
                    "{endpoint} ran {} with token {}, sent {:?} after a newer token ran",
                    call.number,
                    call.token,
                    call.sent - *seen
                ),
            });
        }
    }
    for call in calls.values().copied() {
        let status = call.answer.as_ref().map(|answer| answer.status);
        let is_denied = status.is_some_and(|status| DENIED_STATUSES.contains(&status));
        let Some(start) = evidence.start_of(call).filter(|_| is_denied) else {
            continue;
        };
        let is_newer =
            |period: &TokenPeriod| period.token > call.token && period.from <= call.ended;
        let is_valid = !evidence.tokens.iter().any(is_newer);
        let seen = effects.get(&(start, call.token));
        if let Some(seen) = seen.filter(|seen| is_valid && evidence.is_bound_by(call, **seen)) {
            violations.push(GuaranteeViolation {
                guarantee: "a router does not go back to an older configuration",
                observed: format!(
                    "{} was answered {status:?}, sent {:?} after its token {} ran",
                    call.number,
                    call.sent - *seen,
                    call.token
                ),
            });
        }
        if is_valid && evidence.is_config_due(call) {
            violations.push(GuaranteeViolation {
                guarantee: "a configuration is in force within its bound",
                observed: format!(
                    "{} was answered {status:?} though the store held its token {}",
                    call.number, call.token
                ),
            });
        }
    }
}

/// Checks that every router uses every endpoint that is listed while there are no faults, if it sends
/// requests enough.
pub(super) fn check_use(
    evidence: &SoakEvidence,
    calls: &SortedMap<&str, &CallRecord>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let Some(fault_free_from) = evidence.fault_free_from else {
        return;
    };
    // Streams of engines follow their prompts.
    let is_away = |endpoint: &&String| {
        let mut departures = evidence.departures.iter();
        departures.any(|departure| departure.endpoint == **endpoint && departure.back.is_none())
    };
    let without_desk = evidence.endpoints.iter().skip(evidence.desks);
    let listed: Vec<&String> = without_desk.filter(|endpoint| !is_away(endpoint)).collect();
    let mut uses: SortedMap<usize, Vec<&str>> = SortedMap::new();
    for (endpoint, run) in &evidence.runs {
        let call = calls.get(&run.number.as_str());
        let is_counted = call.is_some_and(|call| call.sent > fault_free_from);
        if let Some(router) = router_of(&run.number).filter(|_| is_counted)
            && listed.contains(&endpoint)
        {
            uses.get_or_insert_with(router, Vec::new).push(endpoint);
        }
    }
    for (router, used) in uses.iter() {
        let unused = listed
            .iter()
            .filter(|endpoint| !used.contains(&endpoint.as_str()));
        for endpoint in unused.filter(|_| used.len() >= USES_PER_ENDPOINT * listed.len()) {
            violations.push(GuaranteeViolation {
                guarantee: "an endpoint that is listed is used",
                observed: format!(
                    "router {router} sent none of {} requests to {endpoint}",
                    used.len()
                ),
            });
        }
    }
}

impl CallRecord {
    const fn is_answer_owed(&self) -> bool {
        use CallKind::{Broken, Crashing, CrashingLookup, Leaving, Revoked};
        !matches!(
            self.kind,
            Leaving | Broken | Crashing | CrashingLookup | Revoked
        )
    }

    /// Returns whether the caller got a whole answer of an endpoint or a refusal.
    fn is_settled(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| {
            let is_refusal = NOT_RUN_STATUSES.contains(&answer.status)
                || DENIED_STATUSES.contains(&answer.status);
            is_refusal || (answer.status == 200 && answer.is_body_complete)
        })
    }

    /// Returns whether the deadline, the timeout or the patience of the caller was reached.
    fn has_reached_limit(&self) -> bool {
        let has_waited = self.ended - self.last_part_at() >= self.kind.patience();
        has_waited || self.ended - self.sent >= self.kind.time_limit()
    }

    /// Time at which the last part of an endpoint's answer arrived, or else at which the request was sent.
    fn last_part_at(&self) -> Instant {
        let answer = self.answer.as_ref().filter(|answer| answer.status == 200);
        answer.map_or(self.sent, |answer| answer.last_part_at.min(self.ended))
    }
}

impl SoakEvidence {
    /// Returns whether the connection may have ended before the router had read the request.
    fn is_unread(&self, call: &CallRecord, runs: &[(&str, &EndpointRun)]) -> bool {
        let is_starting = |(router, at): &(usize, Instant)| {
            Some(*router) == router_of(&call.number)
                && *at <= call.ended
                && call.sent < *at + START_SLACK
        };
        let has_crossed =
            call.ended - call.sent <= LOSS_SLACK || self.starts.iter().any(is_starting);
        call.answer.is_none() && runs.is_empty() && has_crossed
    }

    /// Returns whether an unplanned fault disturbed the router, or an endpoint of the service.
    fn is_beside_fault(&self, call: &CallRecord) -> bool {
        let contact = Duration::from_millis(HostSettings::CONTACT_MS);
        let has_engine = call.kind == CallKind::Model;
        let is_of_service = |index: usize| (index < self.desks) == has_engine;
        let disturbs = |fault: &SoakDisturbance| {
            let is_within = fault.from <= call.ended
                && fault.until.is_none_or(|until| call.sent < until + contact);
            let is_part = match fault.part {
                DisturbedPart::Router(router) => router_of(&call.number) == Some(router),
                DisturbedPart::Endpoint(index) => is_of_service(index),
                DisturbedPart::Desk(_) | DisturbedPart::Store => false,
            };
            is_part && is_within && !fault.is_planned
        };
        let crashes = |(endpoint, at): &(String, Instant)| {
            endpoint_index(endpoint).is_some_and(is_of_service)
                && *at <= call.ended
                && call.sent < *at + contact
        };
        self.disturbances.iter().any(disturbs) || self.crashes.iter().any(crashes)
    }

    /// Returns whether an endpoint was still at work when the grace period of the router was nearly over.
    fn is_at_end_of_grace(&self, call: &CallRecord) -> bool {
        let last_part = Duration::from_secs(HostSettings::GRACE_S) * 5 / 6;
        self.stops.iter().any(|(router, at)| {
            router_of(&call.number) == Some(*router)
                && call.sent <= *at + STOP_SLACK
                && call.ended >= *at + last_part
        })
    }

    /// Returns whether an endpoint of the request was silent until after the caller's patience.
    fn is_silent_for_too_long(&self, call: &CallRecord, runs: &[(&str, &EndpointRun)]) -> bool {
        let leaves_at = call.last_part_at() + call.kind.patience();
        self.silences.iter().any(|silence| {
            let has_run = runs
                .iter()
                .any(|(endpoint, _)| *endpoint == silence.endpoint);
            has_run && silence.from <= leaves_at && leaves_at <= silence.until
        })
    }

    /// Returns the router of a request and the number of its starts before the request was sent.
    fn start_of(&self, call: &CallRecord) -> Option<(usize, usize)> {
        let router = router_of(&call.number)?;
        let starts = self.starts.iter();
        let starts = starts.filter(|(started, at)| *started == router && *at <= call.sent);
        Some((router, starts.count()))
    }

    /// Returns when each token was first seen to work after each start of a router.
    fn token_effects(
        &self,
        calls: &SortedMap<&str, &CallRecord>,
    ) -> SortedMap<((usize, usize), u64), Instant> {
        let mut effects = SortedMap::new();
        for (_, run) in &self.runs {
            let call = calls.get(&run.number.as_str());
            if let Some((call, start)) = call.and_then(|call| Some((call, self.start_of(call)?))) {
                let first = effects.get_or_insert_with((start, call.token), || run.started_at);
                *first = run.started_at.min(*first);
            }
        }
        effects
    }

    /// Returns whether a request has to be handled as a configuration says that took effect at `seen`.
    fn is_bound_by(&self, call: &CallRecord, seen: Instant) -> bool {
        let is_disturbed = router_of(&call.number)
            .is_some_and(|router| self.is_disturbed(DisturbedPart::Router(router), call.sent));
        let factor = if is_disturbed {
            DISTURBED_ROLLBACK_FACTOR
        } else {
            1
        };
        call.sent > seen + ROLLBACK_SLACK * factor
    }

    /// Returns whether the router of a request has to know the configuration with its token.
    fn is_config_due(&self, call: &CallRecord) -> bool {
        let bound = Duration::from_millis(HostSettings::CONFIG_MS);
        let is_in_touch = router_of(&call.number).is_some_and(|router| {
            let parts = [DisturbedPart::Router(router), DisturbedPart::Store];
            parts.iter().all(|part| {
                !self.is_disturbed(*part, call.sent) && !self.is_disturbed(*part, call.ended)
            })
        });
        let is_held = self.tokens.iter().any(|period| {
            period.token == call.token
                && call.sent > period.from + bound
                && period.until.is_none_or(|until| call.ended < until)
        });
        is_in_touch && is_held
    }
}
