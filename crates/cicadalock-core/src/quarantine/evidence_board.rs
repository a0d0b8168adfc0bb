use std::time::Duration;

use prost::Message;

use super::crash_report::{CrashReport, ReportId, SoundAnswer};
use super::suspect::Suspect;
use super::suspect_verdict::{NearVerdict, VerdictTable, judge};
use crate::collect::SortedMap;
use crate::id::ServiceName;
use crate::message::EvidenceFrame;
use crate::time::{ClockTime, PastTime};

/// Age beyond which evidence is dropped.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(180);

/// Largest number of reports; the oldest crash is dropped first.
const MAX_REPORTS: usize = 256;

/// Largest number of parts of which sound answers are held; the oldest is dropped first.
const MAX_SOUND_PARTS: usize = 1_024;

/// Size from which a message takes no more reports; a single one has up to 40 KB.
const FRAME_BYTES: usize = 64 * 1024;

/// Largest number of sound parts in a message.
const FRAME_SOUND_PARTS: usize = 512;

/// Time by which an answer on a part has to be newer than the one known to be worth passing on.
const SOUND_STEP: Duration = Duration::from_millis(250);

/// What is known of crashes and of the parts of prompts involved, merged from all routers.
///
/// Merging is idempotent and does not depend on the order.
#[derive(Debug, Clone, Default)]
pub struct EvidenceBoard {
    reports: SortedMap<ReportId, CrashReport>,
    sound: SortedMap<(ServiceName, Suspect), PastTime>,
}

impl EvidenceBoard {
    /// Adds a report; returns whether it was not known.
    pub fn add_report(&mut self, report: CrashReport) -> bool {
        if self.reports.contains_key(&report.id) {
            return false;
        }
        if self.reports.len() >= MAX_REPORTS {
            let oldest = self.reports.values().min_by_key(|report| report.crashed_at);
            if let Some(oldest) = oldest.map(|report| report.id) {
                self.reports.remove(&oldest);
            }
        }
        self.reports.insert(report.id, report);
        true
    }

    /// Adds an answer that did no harm; returns whether it is notably newer than the one known.
    pub fn add_sound(&mut self, sound: SoundAnswer) -> bool {
        let SoundAnswer {
            service,
            suspect,
            begun,
        } = sound;
        let key = (service, suspect);
        if let Some(known) = self.sound.get_mut(&key) {
            let is_newer = begun.since(*known) > SOUND_STEP;
            *known = begun.max(*known);
            return is_newer;
        }
        if self.sound.len() >= MAX_SOUND_PARTS {
            let oldest = self.sound.iter().min_by_key(|(_, begun)| **begun);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.sound.remove(&oldest);
            }
        }
        self.sound.insert(key, begun);
        true
    }

    /// Adds everything in a peer's message and returns what was not known.
    ///
    /// Entries with names that are not valid are skipped and counted in the second value.
    pub fn merge(&mut self, frame: EvidenceFrame, now: ClockTime) -> (EvidenceFrame, usize) {
        let mut news = EvidenceFrame::default();
        let mut invalid = 0;
        for crash in frame.crashes {
            match CrashReport::from_frame(crash.clone(), now) {
                Ok(report) if report.crashed_at.age(now) < EVIDENCE_LIFETIME => {
                    if self.add_report(report) {
                        news.crashes.push(crash);
                    }
                }
                Ok(_) => {}
                Err(_) => invalid += 1,
            }
        }
        for sound in frame.sound {
            match SoundAnswer::from_frame(&sound, now) {
                Ok(part) => {
                    if self.add_sound(part) {
                        news.sound.push(sound);
                    }
                }
                Err(_) => invalid += 1,
            }
        }
        (news, invalid)
    }

    /// Returns everything on the board, in messages of bounded size.
    #[must_use]
    pub fn to_frames(&self, now: ClockTime) -> Vec<EvidenceFrame> {
        let mut frames = Vec::new();
        let mut frame = EvidenceFrame::default();
        for report in self.reports.values() {
            frame.crashes.push(report.to_frame(now));
            if frame.encoded_len() > FRAME_BYTES {
                frames.push(std::mem::take(&mut frame));
            }
        }
        for ((service, suspect), begun) in self.sound.iter() {
            let sound = SoundAnswer {
                service: service.clone(),
                suspect: *suspect,
                begun: *begun,
            };
            frame.sound.push(sound.to_frame(now));
            if frame.sound.len() >= FRAME_SOUND_PARTS {
                frames.push(std::mem::take(&mut frame));
            }
        }
        if !frame.is_empty() {
            frames.push(frame);
        }
        frames
    }

    /// Drops what is older than the lifetime of evidence; returns whether a report was.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let before = self.reports.len();
        self.reports
            .retain(|_, report| report.crashed_at.age(now) < EVIDENCE_LIFETIME);
        self.sound
            .retain(|_, begun| begun.age(now) < EVIDENCE_LIFETIME);
        self.reports.len() < before
    }

    /// Returns whether the board holds no evidence.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.sound.is_empty()
    }

    /// Returns the number of reports on the board.
    #[must_use]
    pub const fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Iterates over the reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.values()
    }

    /// Returns when the latest sound answer on `part` that is on the board began.
    #[must_use]
    pub fn last_sound(&self, service: &ServiceName, suspect: Suspect) -> Option<PastTime> {
        self.sound.get(&(service.clone(), suspect)).copied()
    }

    /// Returns the parts that crash endpoints.
    ///
    /// `own_sound` returns when the latest answer on a part began that is not on the board.
    pub fn judge(
        &self,
        now: ClockTime,
        own_sound: impl Fn(&ServiceName, Suspect) -> Option<PastTime>,
    ) -> VerdictTable {
        self.judge_all(now, own_sound).0
    }

    /// Like [`Self::judge`], and returns the parts that are close to being refused as well.
    pub(super) fn judge_all(
        &self,
        now: ClockTime,
        own_sound: impl Fn(&ServiceName, Suspect) -> Option<PastTime>,
    ) -> (VerdictTable, Vec<NearVerdict>) {
        let shared = |service: &ServiceName, suspect| self.last_sound(service, suspect);
        judge(self.reports.values(), shared, own_sound, now)
    }
}
