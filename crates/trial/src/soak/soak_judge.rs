use std::fmt;
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;
use cicadalock_standins::{Answer, EndpointRun, HostSettings, StandInEndpoint};

use super::soak_callers::{CallKind, CallRecord};

/// Statuses that promise that the request did not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Time after a caller left in which its request may still run.
pub(super) const LEAVE_TIME: Duration = Duration::from_millis(500);

/// What callers and endpoints saw of one soak.
#[derive(Debug, Default)]
pub struct SoakEvidence {
    /// Requests.
    pub calls: Vec<CallRecord>,
    /// Runs at all endpoints, with the endpoint's id.
    pub runs: Vec<(String, EndpointRun)>,
    /// Requests that an endpoint saw end because their caller left.
    pub left: Vec<String>,
    /// Tokens that were taken away, and when the store had acknowledged it.
    pub revoked: SortedMap<u64, Instant>,
    /// When the last fault was over and processes had the time to recover.
    pub calm_from: Option<Instant>,
    /// An endpoint that was listed as leaving in calm times, and since when.
    pub drained: Option<(String, Instant)>,
    /// Processes that ended without having been told to.
    pub ended: Vec<String>,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.promise, self.seen)
    }
}

/// Finds every promise that the evidence shows to be broken.
#[must_use]
pub fn judge(evidence: &SoakEvidence) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut calls: SortedMap<&str, &CallRecord> = SortedMap::new();
    for call in &evidence.calls {
        calls.insert(&call.number, call);
    }
    let mut runs: SortedMap<&str, Vec<(&str, &EndpointRun)>> = SortedMap::new();
    for (endpoint, run) in &evidence.runs {
        let list = runs.get_or_insert_with(run.number.as_str(), Vec::new);
        list.push((endpoint, run));
        judge_run(&calls, endpoint, run, evidence, &mut broken);
    }
    for call in &evidence.calls {
        let ran = runs.get(&call.number.as_str());
        judge_call(call, ran.map_or(&[], Vec::as_slice), &mut broken);
    }
    judge_calm(evidence, &runs, &mut broken);
    for process in &evidence.ended {
        broken.push(Broken {
            promise: "processes run until they are told to stop",
            seen: process.clone(),
        });
    }
    broken
}

fn judge_run(
    calls: &SortedMap<&str, &CallRecord>,
    endpoint: &str,
    run: &EndpointRun,
    evidence: &SoakEvidence,
    broken: &mut Vec<Broken>,
) {
    let number = &run.number;
    let Some(call) = calls.get(&number.as_str()) else {
        broken.push(Broken {
            promise: "only callers' requests run",
            seen: format!("{endpoint} ran {number}, which nobody sent"),
        });
        return;
    };
    if run.customer() != Some("school") || run.has_token() {
        broken.push(Broken {
            promise: "endpoints see the customer and not the token",
            seen: format!("{endpoint} got {:?}", run.head),
        });
    }
    if let Some(revoked) = evidence.revoked.get(&call.token) {
        let limit = *revoked + Duration::from_millis(HostSettings::REVOKE_MS);
        if call.sent > limit {
            let late = call.sent - limit;
            broken.push(Broken {
                promise: "a token that was taken away stops working in time",
                seen: format!("{number} ran, sent {late:?} after the bound"),
            });
        }
    }
}

fn judge_call(call: &CallRecord, runs: &[(&str, &EndpointRun)], broken: &mut Vec<Broken>) {
    let number = &call.number;
    if !call.kind.may_repeat() && runs.len() > 1 {
        broken.push(Broken {
            promise: "what may run once runs once",
            seen: format!("{number} ({:?}) ran {} times", call.kind, runs.len()),
        });
    }
    let Some(answer) = &call.answer else {
        return;
    };
    if NOT_RUN.contains(&answer.status) && !runs.is_empty() {
        broken.push(Broken {
            promise: "a refusal that says not run is true",
            seen: format!("{number} ({:?}) got {} and ran", call.kind, answer.status),
        });
    }
    if answer.status == 200 {
        judge_success(call, answer, runs, broken);
    }
}

fn judge_success(
    call: &CallRecord,
    answer: &Answer,
    runs: &[(&str, &EndpointRun)],
    broken: &mut Vec<Broken>,
) {
    let number = &call.number;
    let is_own = answer.number() == Some(number);
    let signer = answer.signer();
    let is_stamped = runs.iter().any(|(endpoint, _)| Some(*endpoint) == signer);
    let is_right = if call.kind.is_stream() {
        let events = event_ids(&answer.body);
        let is_ordered = events.iter().copied().eq(1..=events.len() as u32);
        let is_complete = events.len() as u32 == StandInEndpoint::EVENTS;
        is_ordered && (is_complete || !answer.is_body_complete)
    } else {
        answer.body == "ok" || !answer.is_body_complete
    };
    if !(is_own && is_stamped && is_right) {
        broken.push(Broken {
            promise: "every caller gets its own whole answer or a visible break",
            seen: format!(
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

/// Judges what holds only while nothing disturbs.
fn judge_calm(
    evidence: &SoakEvidence,
    runs: &SortedMap<&str, Vec<(&str, &EndpointRun)>>,
    broken: &mut Vec<Broken>,
) {
    let Some(calm) = evidence.calm_from else {
        return;
    };
    for call in evidence.calls.iter().filter(|call| call.sent > calm) {
        let status = call.answer.as_ref().map(|answer| answer.status);
        let number = &call.number;
        let is_served = match call.kind {
            CallKind::Leaving => true,
            // Every endpoint breaks its answer off, and the router says so.
            CallKind::Broken => status == Some(502),
            _ => status == Some(200),
        };
        if !is_served {
            broken.push(Broken {
                promise: "once faults are over, requests are served",
                seen: format!("{number} ({:?}) got {status:?}", call.kind),
            });
        }
        let is_run = runs.contains_key(&number.as_str());
        if call.kind == CallKind::Leaving && is_run && !evidence.left.contains(number) {
            broken.push(Broken {
                promise: "a request ends when its caller leaves",
                seen: format!("{number} went on for {LEAVE_TIME:?}"),
            });
        }
    }
    if let Some((endpoint, since)) = &evidence.drained {
        let limit = *since + Duration::from_millis(HostSettings::DRAIN_MS);
        let late = evidence
            .runs
            .iter()
            .filter(|(at, run)| at == endpoint && run.began > limit);
        broken.extend(late.map(|(_, run)| Broken {
            promise: "a leaving endpoint gets no more requests",
            seen: format!("{endpoint} got {}", run.number),
        }));
    }
}
