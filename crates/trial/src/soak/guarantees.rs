use std::fmt;
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;
use cicadalock_standins::{Answer, EndpointRun, HostSettings, StandInEndpoint, shared_parts};

use super::lasting_guarantees::{check_answer, check_lasting_configs, check_use};
use super::soak_callers::{CallKind, CallRecord, router_of};

/// Statuses that tell the caller that the request did not run and will not run.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Window in which the requests of a limited endpoint are counted, and the number of requests in it above
/// one and a half times what the limit allows.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_EXTRA: f64 = 5.0;

/// Crashes by one part, and by one repeated request, after which it has to be known, and the requests with it
/// that may come later.
const CRASH_LIMIT: usize = 5;
const REQUEST_CRASH_LIMIT: usize = 3;
const LATE_CRASH_LIMIT: usize = 3;

/// Time within which an endpoint crashes after it began to run a request that crashes it.
const CRASH_TIME: Duration = Duration::from_millis(200);

/// Time within which an endpoint must see the request end after its caller disconnected.
pub(super) const CANCEL_GRACE: Duration = Duration::from_millis(500);

/// What callers and endpoints observed during one soak.
#[derive(Debug, Default)]
pub struct SoakEvidence {
    /// Requests as observed by their callers.
    pub calls: Vec<CallRecord>,
    /// Runs at all endpoints, with the id of the endpoint.
    pub runs: Vec<(String, EndpointRun)>,
    /// Numbers of requests that an endpoint saw end because the caller disconnected.
    pub cancelled: Vec<String>,
    /// Numbers of revoked tokens, and when the store acknowledged each revocation.
    pub revoked: SortedMap<u64, Instant>,
    /// Start of the period without faults, after the processes had time to recover; `None` skips
    /// the checks of that period.
    pub fault_free_from: Option<Instant>,
    /// Departures of endpoints, also those during faults.
    pub departures: Vec<EndpointDeparture>,
    /// Faults that suspend bounds.
    pub disturbances: Vec<SoakDisturbance>,
    /// Names of processes that exited without being asked to.
    pub unexpected_exits: Vec<String>,
    /// Number of desks.
    pub desks: usize,
    /// Ids of the endpoints.
    pub endpoints: Vec<String>,
    /// Limits that endpoints named.
    pub limits: Vec<NamedLimit>,
    /// Crashes of endpoints, each with the id of the endpoint.
    pub crashes: Vec<(String, Instant)>,
    /// Times in which the store held each token.
    pub tokens: Vec<TokenPeriod>,
    /// Silences of endpoints.
    pub silences: Vec<EndpointSilence>,
    /// Index of each router that was started again, and when.
    pub starts: Vec<(usize, Instant)>,
    /// Index of each router that was asked to stop, and when.
    pub stops: Vec<(usize, Instant)>,
}

/// A time in which the store held a configuration with a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenPeriod {
    /// Number of the token.
    pub token: u64,
    /// Time at which the store acknowledged the configuration.
    pub from: Instant,
    /// Time at which it was replaced or lost; `None` if it never was.
    pub until: Option<Instant>,
}

/// A time in which an endpoint sent nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSilence {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Start of the silence.
    pub from: Instant,
    /// End of the silence.
    pub until: Instant,
}

/// A time in which an endpoint named a limit in each answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedLimit {
    /// Id of the endpoint.
    pub endpoint: String,
    /// The limit, in tenths of a request per second.
    pub tenths: u32,
    /// Time of the first answer that could name it.
    pub from: Instant,
    /// Time from which answers no longer named it; `None` if it never ended.
    pub until: Option<Instant>,
}

impl NamedLimit {
    /// Returns the limit in requests per second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        f64::from(self.tenths) / 10.0
    }
}

/// A time in which the store listed an endpoint as draining or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointDeparture {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time at which the store acknowledged the change.
    pub left: Instant,
    /// Time at which the endpoint was about to be listed as ready again; `None` if it never was.
    pub back: Option<Instant>,
}

/// What a fault disturbs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbedPart {
    /// The process or a link of the router with this index.
    Router(usize),
    /// The link to the endpoint with this index.
    Endpoint(usize),
    /// The process or the link of the desk with this index.
    Desk(usize),
    /// The store.
    Store,
}

/// A fault that suspends bounds while it lasts and for the contact time after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakDisturbance {
    /// What the fault disturbs.
    pub part: DisturbedPart,
    /// Start of the fault.
    pub from: Instant,
    /// End of the fault; `None` if it never ended.
    pub until: Option<Instant>,
    /// Whether it is planned work: a process is asked to stop.
    pub is_planned: bool,
}

impl SoakDisturbance {
    /// Returns whether the fault lasted at some time in the contact time before `at`.
    fn suspends_bounds(&self, at: Instant) -> bool {
        let contact = Duration::from_millis(HostSettings::CONTACT_MS);
        self.from <= at && self.until.is_none_or(|until| at < until + contact)
    }
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteeViolation {
    /// The guarantee in words.
    pub guarantee: &'static str,
    /// What was observed instead.
    pub observed: String,
}

impl fmt::Display for GuaranteeViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.guarantee, self.observed)
    }
}

/// Returns every violation of a guarantee that the evidence shows.
#[must_use]
pub fn find_violations(evidence: &SoakEvidence) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    let mut calls: SortedMap<&str, &CallRecord> = SortedMap::new();
    for call in &evidence.calls {
        calls.insert(&call.number, call);
    }
    let mut runs: SortedMap<&str, Vec<(&str, &EndpointRun)>> = SortedMap::new();
    for (endpoint, run) in &evidence.runs {
        let list = runs.get_or_insert_with(run.number.as_str(), Vec::new);
        list.push((endpoint, run));
        check_run(&calls, endpoint, run, evidence, &mut violations);
    }
    for call in &evidence.calls {
        let ran = runs.get(&call.number.as_str());
        let ran = ran.map_or(&[][..], Vec::as_slice);
        check_call(call, ran, &mut violations);
        check_answer(call, ran, evidence, &mut violations);
    }
    check_lasting_configs(evidence, &calls, &mut violations);
    check_use(evidence, &calls, &mut violations);
    check_fault_free(evidence, &runs, &mut violations);
    for departure in &evidence.departures {
        check_departure(departure, evidence, &mut violations);
    }
    for limit in &evidence.limits {
        check_limit(limit, evidence, &mut violations);
    }
    check_crash_parts(evidence, &mut violations);
    for process in &evidence.unexpected_exits {
        violations.push(GuaranteeViolation {
            guarantee: "processes run until they are asked to stop",
            observed: process.clone(),
        });
    }
    violations
}

fn check_run(
    calls: &SortedMap<&str, &CallRecord>,
    endpoint: &str,
    run: &EndpointRun,
    evidence: &SoakEvidence,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let number = &run.number;
    let Some(call) = calls.get(&number.as_str()) else {
        violations.push(GuaranteeViolation {
            guarantee: "endpoints run only requests that callers sent",
            observed: format!("{endpoint} ran {number}, which no caller sent"),
        });
        return;
    };
    // The configuration of the stand-ins has only this customer.
    if run.customer() != Some("school") || run.has_token() {
        violations.push(GuaranteeViolation {
            guarantee: "endpoints receive the customer's name but not the token",
            observed: format!("{endpoint} received {:?}", run.head),
        });
    }
    if let Some(revoked) = evidence.revoked.get(&call.token) {
        let limit = *revoked + Duration::from_millis(HostSettings::REVOKE_MS);
        if call.sent > limit {
            let late = call.sent - limit;
            violations.push(GuaranteeViolation {
                guarantee: "a revoked token stops working within the revocation bound",
                observed: format!(
                    "{number} ran although it was sent {late:?} after the revocation deadline"
                ),
            });
        }
    }
}

fn check_call(
    call: &CallRecord,
    runs: &[(&str, &EndpointRun)],
    violations: &mut Vec<GuaranteeViolation>,
) {
    let number = &call.number;
    if !call.kind.is_retryable() && runs.len() > 1 {
        violations.push(GuaranteeViolation {
            guarantee: "a request that must not be retried runs at most once",
            observed: format!("{number} ({:?}) ran {} times", call.kind, runs.len()),
        });
    }
    let Some(answer) = &call.answer else {
        return;
    };
    if NOT_RUN_STATUSES.contains(&answer.status) && !runs.is_empty() {
        violations.push(GuaranteeViolation {
            guarantee: "a request reported as not run has not run",
            observed: format!(
                "{number} ({:?}) was answered with status {} but ran",
                call.kind, answer.status
            ),
        });
    }
    if answer.status == 200 {
        check_success(call, answer, runs, violations);
    }
}

fn check_success(
    call: &CallRecord,
    answer: &Answer,
    runs: &[(&str, &EndpointRun)],
    violations: &mut Vec<GuaranteeViolation>,
) {
    let number = &call.number;
    let is_for_call = answer.number() == Some(number);
    let answering_endpoint = answer.signer();
    let ran_there = runs
        .iter()
        .any(|(endpoint, _)| Some(*endpoint) == answering_endpoint);
    let is_valid_body = if call.kind.is_stream() {
        let events = event_ids(&answer.body);
        let is_ordered = events.iter().copied().eq(1..=events.len() as u32);
        let is_complete = events.len() as u32 == StandInEndpoint::EVENTS;
        is_ordered && (is_complete || !answer.is_body_complete)
    } else {
        answer.body == "ok" || !answer.is_body_complete
    };
    if !(is_for_call && ran_there && is_valid_body) {
        violations.push(GuaranteeViolation {
            guarantee: "every caller gets its own answer, complete or visibly truncated",
            observed: format!(
                "{number} ({:?}): {:?} {:?}",
                call.kind, answer.head, answer.body
            ),
        });
    }
}

fn event_ids(body: &str) -> Vec<u32> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

/// Checks the guarantees that hold only while there are no faults.
fn check_fault_free(
    evidence: &SoakEvidence,
    runs: &SortedMap<&str, Vec<(&str, &EndpointRun)>>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let Some(fault_free_from) = evidence.fault_free_from else {
        return;
    };
    for call in evidence
        .calls
        .iter()
        .filter(|call| call.sent > fault_free_from)
    {
        let status = call.answer.as_ref().map(|answer| answer.status);
        let number = &call.number;
        let is_served = match call.kind {
            CallKind::Leaving
            | CallKind::Crashing
            | CallKind::CrashingLookup
            | CallKind::Revoked => true,
            // Every endpoint breaks off its response, which the router reports as 502.
            CallKind::Broken => status == Some(502),
            _ => status == Some(200),
        };
        if !is_served {
            violations.push(GuaranteeViolation {
                guarantee: "once faults are over, requests are served",
                observed: format!(
                    "{number} ({:?}) was answered with status {status:?}",
                    call.kind
                ),
            });
        }
        let has_run = runs.contains_key(&number.as_str());
        if call.kind == CallKind::Leaving && has_run && !evidence.cancelled.contains(number) {
            violations.push(GuaranteeViolation {
                guarantee: "a request is cancelled when its caller disconnects",
                observed: format!("{number} was not cancelled within {CANCEL_GRACE:?}"),
            });
        }
    }
}

/// Checks that undisturbed routers send an endpoint nothing once its departure is due.
fn check_departure(
    departure: &EndpointDeparture,
    evidence: &SoakEvidence,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let is_disturbed = |part, at| evidence.is_disturbed(part, at);
    if is_disturbed(DisturbedPart::Store, departure.left) {
        return;
    }
    let due = departure.left + Duration::from_millis(HostSettings::DRAIN_MS);
    for (endpoint, run) in &evidence.runs {
        let is_late = *endpoint == departure.endpoint
            && run.started_at > due
            && departure.back.is_none_or(|back| run.started_at < back);
        let Some(router) = router_of(&run.number).filter(|_| is_late) else {
            continue;
        };
        let link = endpoint_index(endpoint).map(DisturbedPart::Endpoint);
        let is_excused = is_disturbed(DisturbedPart::Store, run.started_at)
            || is_disturbed(DisturbedPart::Router(router), run.started_at)
            || link.is_some_and(|link| is_disturbed(link, run.started_at));
        if !is_excused {
            violations.push(GuaranteeViolation {
                guarantee: "an endpoint that left gets no more requests",
                observed: format!(
                    "{endpoint} started {} from router {router} {:?} after it had left",
                    run.number,
                    run.started_at - departure.left
                ),
            });
        }
    }
}

/// Checks that undisturbed routers together keep to a limit from the contact time after it was named.
fn check_limit(
    limit: &NamedLimit,
    evidence: &SoakEvidence,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let due = limit.from + Duration::from_millis(HostSettings::CONTACT_MS);
    let counted = evidence.runs.iter().filter(|(endpoint, run)| {
        *endpoint == limit.endpoint
            && run.started_at >= due
            && limit.until.is_none_or(|until| run.started_at < until)
            && evidence.is_router_in_touch(run)
    });
    let mut starts: Vec<Instant> = counted.map(|(_, run)| run.started_at).collect();
    starts.sort();
    let allowed = 1.5 * limit.per_second() * LIMIT_WINDOW.as_secs_f64() + LIMIT_EXTRA;
    let in_window = |first: &Instant| {
        let within = |start: &&Instant| **start >= *first && **start < *first + LIMIT_WINDOW;
        starts.iter().filter(within).count()
    };
    let most = starts.iter().map(in_window).max().unwrap_or_default();
    if most as f64 > allowed {
        violations.push(GuaranteeViolation {
            guarantee: "an endpoint gets no more than its limit from all routers together",
            observed: format!(
                "{} got {most} requests in {LIMIT_WINDOW:?} at a limit of {} a second",
                limit.endpoint,
                limit.per_second()
            ),
        });
    }
}

/// Checks that undisturbed routers send endpoints nearly nothing that crashes them, from the contact
/// time after the fifth crash.
///
/// Knowledge of a crash travels over the desks, so crashes while every desk is disturbed are not counted,
/// nor are those behind a disturbed link.
fn check_crash_parts(evidence: &SoakEvidence, violations: &mut Vec<GuaranteeViolation>) {
    let mut parts: SortedMap<&str, Vec<(&str, &EndpointRun)>> = SortedMap::new();
    for (endpoint, run) in &evidence.runs {
        for part in shared_parts(&run.head).filter(|part| part.starts_with("bad")) {
            let runs = parts.get_or_insert_with(part, Vec::new);
            runs.push((endpoint, run));
        }
    }
    for (part, runs) in parts.iter() {
        let guarantee = "a part that crashes endpoints is kept from them";
        let violation = find_late_crash_runs(evidence, guarantee, part, runs, CRASH_LIMIT);
        violations.extend(violation);
    }
    let mut requests: SortedMap<&str, Vec<(&str, &EndpointRun)>> = SortedMap::new();
    for (endpoint, run) in &evidence.runs {
        let path = run.head.split(' ').nth(1).unwrap_or_default();
        if path.starts_with("/look/bad") {
            let runs = requests.get_or_insert_with(path, Vec::new);
            runs.push((endpoint, run));
        }
    }
    for (path, runs) in requests.iter() {
        let guarantee = "a request that crashes endpoints is kept from them";
        let violation = find_late_crash_runs(evidence, guarantee, path, runs, REQUEST_CRASH_LIMIT);
        violations.extend(violation);
    }
}

/// Returns the violation if more than a few of `runs`, which crash endpoints, came late.
fn find_late_crash_runs(
    evidence: &SoakEvidence,
    guarantee: &'static str,
    cause: &str,
    runs: &[(&str, &EndpointRun)],
    limit: usize,
) -> Option<GuaranteeViolation> {
    let mut crashes: Vec<Instant> = runs
        .iter()
        .filter(|(endpoint, run)| evidence.is_crash_visible(endpoint, run))
        .map(|(_, run)| run.started_at)
        .collect();
    crashes.sort();
    let due = *crashes.get(limit - 1)? + Duration::from_millis(HostSettings::CONTACT_MS);
    let late = runs
        .iter()
        .filter(|(_, run)| run.started_at > due && evidence.is_router_in_touch(run));
    let late = late.count();
    (late > LATE_CRASH_LIMIT).then(|| GuaranteeViolation {
        guarantee,
        observed: format!(
            "{late} requests with {cause} reached endpoints late, {} in all",
            runs.len()
        ),
    })
}

impl SoakEvidence {
    pub(super) fn is_disturbed(&self, part: DisturbedPart, at: Instant) -> bool {
        let mut faults = self.disturbances.iter().filter(|fault| fault.part == part);
        faults.any(|fault| fault.suspends_bounds(at))
    }

    /// Returns whether no fault disturbed the router that sent a request.
    fn is_router_in_touch(&self, run: &EndpointRun) -> bool {
        let router = router_of(&run.number).map(DisturbedPart::Router);
        router.is_none_or(|router| !self.is_disturbed(router, run.started_at))
    }

    /// Returns whether a run ended with a crash that routers can see and tell each other.
    fn is_crash_visible(&self, endpoint: &str, run: &EndpointRun) -> bool {
        let link = endpoint_index(endpoint).map(DisturbedPart::Endpoint);
        let is_behind_fault = link.is_some_and(|link| self.is_disturbed(link, run.started_at));
        let mut crashes = self.crashes.iter();
        let has_crashed = crashes.any(|(crashed, at)| {
            crashed == endpoint && *at >= run.started_at && *at < run.started_at + CRASH_TIME
        });
        let desks = (0..self.desks).map(DisturbedPart::Desk);
        let mut in_touch = desks.filter(|desk| !self.is_disturbed(*desk, run.started_at));
        has_crashed && !is_behind_fault && self.is_router_in_touch(run) && in_touch.next().is_some()
    }
}

/// Returns the index in the id of a soak's endpoint.
pub(super) fn endpoint_index(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.parse().ok()
}
