use std::time::Duration;

use super::broken_attempts::{BrokenAttempt, BrokenAttempts};
use super::crash_report::{CrashReport, ReportId, SoundAnswer, SuspectRequest};
use super::evidence_board::EvidenceBoard;
use super::recent_requests::RecentRequests;
use super::sound_memory::SoundMemory;
use super::suspect::Suspect;
use super::suspect_verdict::{NearVerdict, SuspectVerdict, VerdictTable};
use crate::id::{EndpointId, ServiceName};
use crate::message::EvidenceFrame;
use crate::time::{ClockTime, PastTime};

/// Time that an answer has to go on to speak for the parts of its prompt.
///
/// An endpoint that crashes on a part does so within milliseconds after the answer began.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Time since the beginning of an answer within which its request may have caused a crash.
const SUSPECT_TIME: Duration = Duration::from_millis(1_000);

/// Time after the last crash for which a part is refused without exception.
const REFUSAL_TIME: Duration = Duration::from_secs(60);

/// The same for a part on which answers survived before, which may have been in the crashes by chance;
/// grows by the factor with each trial that failed, up to [`REFUSAL_TIME`].
const SOUND_REFUSAL_TIME: Duration = Duration::from_secs(5);
const REFUSAL_GROWTH: u32 = 4;

/// Shortest time between two requests that a router lets through as trials.
const TRIAL_INTERVAL: Duration = Duration::from_secs(4);

/// Shortest time between two evaluations of the evidence.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the last news for which the evidence is evaluated again and again: by then the first crash
/// counts, and answers on sound parts have survived.
const NEWS_TIME: Duration = Duration::from_millis(2_500);

/// Number of times that each report is sent, each time to other desks.
const SEND_ROUNDS: u32 = 3;

/// A part that is refused from now on, or no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardChange {
    /// Service whose endpoints the part crashes.
    pub service: ServiceName,
    /// The part.
    pub suspect: Suspect,
    /// The evidence; `None` if the part is no longer refused.
    pub verdict: Option<SuspectVerdict>,
}

/// Keeps requests from endpoints that would crash on a part of their prompt.
///
/// One router's share of the evidence, with what the others reported.
#[derive(Debug, Clone, Default)]
pub struct CrashGuard {
    reporter: u64,
    reports_written: u32,
    broken: BrokenAttempts,
    memory: SoundMemory,
    requests: RecentRequests,
    board: EvidenceBoard,
    verdicts: VerdictTable,
    changes: Vec<GuardChange>,
    /// Own evidence that has not been sent often enough.
    outgoing: Vec<(OwnEvidence, u32)>,
    /// When evidence was last added.
    news_at: ClockTime,
    judged_at: ClockTime,
    last_trial: ClockTime,
}

#[derive(Debug, Clone)]
enum OwnEvidence {
    Crash(CrashReport),
    Sound(SoundAnswer),
}

impl CrashGuard {
    /// Sets the random number under which this process reports.
    pub const fn set_reporter(&mut self, reporter: u64) {
        self.reporter = reporter;
    }

    /// Returns a number from 0 to 1 that differs between processes.
    #[must_use]
    pub const fn phase(&self) -> f64 {
        self.reporter as f64 / u64::MAX as f64
    }

    /// Returns whether a request is to be refused because of any of its `suspects`.
    #[must_use]
    pub fn refuses(&self, service: &ServiceName, suspects: &[Suspect]) -> bool {
        self.refused_suspect(service, suspects).is_some()
    }

    /// Returns which of its `suspects` a request is to be refused for.
    #[must_use]
    pub fn refused_suspect(&self, service: &ServiceName, suspects: &[Suspect]) -> Option<Suspect> {
        self.refusing(service, suspects).map(|(suspect, _)| suspect)
    }

    /// Returns whether a request may be sent although it is refused, and records it.
    ///
    /// Once no endpoint has crashed on the part for a while, one router lets a request through now and
    /// then. Its outcome renews or ends the belief.
    pub fn begin_trial(
        &mut self,
        service: &ServiceName,
        suspects: &[Suspect],
        now: ClockTime,
    ) -> bool {
        let Some((_, verdict)) = self.refusing(service, suspects) else {
            return false;
        };
        // The router that saw the last crash tries first; if it is gone, the one before, later.
        // Those that saw none try only what was sound before.
        let mut reporters = verdict.reporters.iter();
        let last = verdict.was_sound.then_some(verdict.reporters.len());
        let rank = reporters.position(|reporter| *reporter == self.reporter);
        let Some(rank) = rank.or(last) else {
            return false;
        };
        let delay = refusal_time(verdict) * (rank as u32 + 1);
        let is_trial =
            verdict.span.1.age(now) >= delay && now.since(self.last_trial) >= TRIAL_INTERVAL;
        if is_trial {
            self.last_trial = now;
        }
        is_trial
    }

    fn refusing(
        &self,
        service: &ServiceName,
        suspects: &[Suspect],
    ) -> Option<(Suspect, &SuspectVerdict)> {
        if self.verdicts.is_empty() {
            return None;
        }
        let has = |other: &Suspect| suspects.contains(other);
        let verdicts = suspects.iter().filter_map(|suspect| {
            let verdict = self.verdicts.get(&(service.clone(), *suspect))?;
            verdict
                .companions
                .iter()
                .all(has)
                .then_some((*suspect, verdict))
        });
        verdicts.max_by_key(|(_, verdict)| verdict.span.1)
    }

    /// Returns the parts that are refused now.
    #[must_use]
    pub const fn verdicts(&self) -> &VerdictTable {
        &self.verdicts
    }

    /// Returns the parts that this router's requests were recently answered on.
    #[must_use]
    pub const fn memory(&self) -> &SoundMemory {
        &self.memory
    }

    /// Returns the evidence of all routers.
    #[must_use]
    pub const fn board(&self) -> &EvidenceBoard {
        &self.board
    }

    /// Returns the changes of belief since the last call.
    pub fn take_changes(&mut self) -> Vec<GuardChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records that an answer that began at `begun` did not crash its endpoint.
    pub fn record_sound(
        &mut self,
        service: &ServiceName,
        suspects: &[Suspect],
        begun: ClockTime,
        now: ClockTime,
    ) {
        for suspect in suspects {
            self.remember_sound(service, *suspect, begun.into(), now);
            if !self.verdicts.is_empty() && self.verdicts.contains_key(&(service.clone(), *suspect))
            {
                self.news_at = now;
                // The next suspect may be tried at once, as this one has done no harm.
                self.last_trial = ClockTime::default();
            }
        }
    }

    /// Records that `endpoint` sends an answer to a request that was sent at `started`: answers that
    /// ended there before did not crash it.
    pub fn record_answer(&mut self, endpoint: &EndpointId, started: ClockTime, now: ClockTime) {
        self.broken.record_answer(endpoint, started.into());
        if self.broken.has_any(endpoint) {
            let survived = self.broken.take_survived(endpoint, started.into(), now);
            self.remember_survivors(survived, now);
        }
    }

    /// Records an attempt that ended as a crash ends it, and returns whether its endpoint is to be
    /// checked.
    ///
    /// `begun` is when its answer began. `is_whole` tells that the answer looks whole, but would also
    /// if its endpoint had crashed.
    pub fn record_break(
        &mut self,
        endpoint: &EndpointId,
        service: &ServiceName,
        suspects: &[Suspect],
        times: (ClockTime, Option<ClockTime>),
        is_whole: bool,
        now: ClockTime,
    ) -> bool {
        let (started, begun) = times;
        let is_old = begun.is_some_and(|begun| now.since(begun) > SUSPECT_TIME);
        if is_old || suspects.is_empty() {
            return false;
        }
        let attempt = BrokenAttempt {
            service: service.clone(),
            request: SuspectRequest {
                started: started.into(),
                suspects: suspects.to_vec(),
            },
            ended: now.into(),
            begun: begun.filter(|_| is_whole).map(PastTime::from),
        };
        if let Some(crashed) = self.broken.crash_time(endpoint) {
            if attempt.request.started < crashed {
                self.report(endpoint, vec![attempt], now);
                return false;
            }
            if !self
                .broken
                .record_held(endpoint, started, begun.is_some(), now)
            {
                return false;
            }
        }
        self.broken.push(endpoint, attempt);
        !is_whole && self.broken.begin_check(endpoint, now)
    }

    /// Returns whether an endpoint is to be checked that was not reached or that another router saw
    /// crash.
    pub fn record_unreached(&mut self, endpoint: &EndpointId, now: ClockTime) -> bool {
        self.broken.has_any(endpoint) && self.broken.begin_check(endpoint, now)
    }

    /// Records that an endpoint does not answer: it crashed on one of the attempts that it broke.
    pub fn record_crash(&mut self, endpoint: &EndpointId, now: ClockTime) {
        let attempts = self.broken.take_crashed(endpoint);
        self.report(endpoint, attempts, now);
    }

    /// Records that an endpoint answers, so that the attempts that it broke have another cause.
    pub fn record_alive(&mut self, endpoint: &EndpointId) {
        self.broken.forget(endpoint);
    }

    /// Adds what another router reported; returns the number of entries that are not valid.
    pub fn receive(&mut self, frame: EvidenceFrame, now: ClockTime) -> usize {
        let (news, invalid) = self.board.merge(frame, now);
        if !news.is_empty() {
            self.news_at = now;
        }
        invalid
    }

    /// Returns own evidence to send to some desks, or `None` if there is none.
    ///
    /// Each piece is returned a few times, as a desk may be frozen or cut off.
    pub fn take_outgoing(&mut self, now: ClockTime) -> Option<EvidenceFrame> {
        let mut frame = EvidenceFrame::default();
        for (evidence, rounds) in &mut self.outgoing {
            *rounds += 1;
            match evidence {
                OwnEvidence::Crash(report) => frame.crashes.push(report.to_frame(now)),
                OwnEvidence::Sound(sound) => frame.sound.push(sound.to_frame(now)),
            }
        }
        self.outgoing.retain(|(_, rounds)| *rounds < SEND_ROUNDS);
        (!frame.is_empty()).then_some(frame)
    }

    /// Returns whether own evidence has not been sent at all.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.outgoing.iter().any(|(_, rounds)| *rounds == 0)
    }

    /// Evaluates the evidence if that is due.
    pub fn update(&mut self, now: ClockTime) {
        if now.since(self.judged_at) < JUDGE_INTERVAL {
            return;
        }
        self.judged_at = now;
        self.broken.expire(now);
        let has_expired = self.board.expire(now);
        if now.since(self.news_at) > NEWS_TIME && !has_expired {
            return;
        }
        let (verdicts, near) = self
            .board
            .judge_all(now, |service, suspect| self.last_sound(service, suspect));
        self.share_sound_parts(near);
        for (key, verdict) in verdicts.iter() {
            if !self.verdicts.contains_key(key) {
                self.changes.push(guard_change(key, Some(verdict.clone())));
            }
        }
        for key in self.verdicts.keys() {
            if !verdicts.contains_key(key) {
                self.changes.push(guard_change(key, None));
            }
        }
        self.verdicts = verdicts;
    }

    /// Tells the other routers of sound answers on parts that are close to being refused.
    fn share_sound_parts(&mut self, near: Vec<NearVerdict>) {
        for NearVerdict {
            service,
            suspect,
            started,
        } in near
        {
            let own = self.last_sound(&service, suspect);
            let Some(begun) = own.filter(|own| *own >= started) else {
                continue;
            };
            let sound = SoundAnswer {
                service,
                suspect,
                begun,
            };
            if self.board.add_sound(sound.clone()) {
                self.outgoing.push((OwnEvidence::Sound(sound), 0));
            }
        }
    }

    fn remember_sound(
        &mut self,
        service: &ServiceName,
        suspect: Suspect,
        begun: PastTime,
        now: ClockTime,
    ) {
        if suspect.is_request() {
            self.requests.record(service, suspect, begun);
        } else {
            self.memory.record(service, suspect, begun, now);
        }
    }

    fn last_sound(&self, service: &ServiceName, suspect: Suspect) -> Option<PastTime> {
        if suspect.is_request() {
            self.requests.last(service, suspect)
        } else {
            self.memory.last(service, suspect)
        }
    }

    fn remember_survivors(&mut self, survived: Vec<BrokenAttempt>, now: ClockTime) {
        for attempt in survived {
            for suspect in attempt.suspects() {
                if let Some(begun) = attempt.begun {
                    self.remember_sound(&attempt.service, suspect, begun, now);
                    self.news_at = now;
                }
            }
        }
    }

    fn report(&mut self, endpoint: &EndpointId, attempts: Vec<BrokenAttempt>, now: ClockTime) {
        let Some(first) = attempts.first() else {
            return;
        };
        let id = ReportId {
            reporter: self.reporter,
            number: self.reports_written,
        };
        self.reports_written += 1;
        let (service, crashed_at) = (first.service.clone(), first.ended);
        let requests = attempts.into_iter().map(|attempt| attempt.request);
        let report = CrashReport::new(
            id,
            service,
            endpoint.clone(),
            crashed_at,
            requests.collect(),
        );
        self.board.add_report(report.clone());
        self.outgoing.push((OwnEvidence::Crash(report), 0));
        self.news_at = now;
    }
}

/// Returns the time after the last crash for which a suspect is refused without exception.
fn refusal_time(verdict: &SuspectVerdict) -> Duration {
    if !verdict.was_sound && verdict.rivals == 0 {
        return REFUSAL_TIME;
    }
    let growth = REFUSAL_GROWTH.saturating_pow(verdict.pauses.min(8));
    (SOUND_REFUSAL_TIME * growth).min(REFUSAL_TIME)
}

fn guard_change(key: &(ServiceName, Suspect), verdict: Option<SuspectVerdict>) -> GuardChange {
    GuardChange {
        service: key.0.clone(),
        suspect: key.1,
        verdict,
    }
}
