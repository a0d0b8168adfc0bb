use std::time::Duration;

use super::suspect::Suspect;
use crate::id::{EndpointId, NameError, PartId, RequestDigest, ServiceName};
use crate::message::{CrashFrame, SoundFrame, SuspectFrame};
use crate::time::{ClockTime, PastTime};

/// Largest number of requests in a report; a crash with more suspects says little about each.
const MAX_REQUESTS: usize = 64;

/// Identifies a report: the process that wrote it and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportId {
    /// Random number of the process that wrote the report.
    pub reporter: u64,
    /// Number of the report; a process never reuses one.
    pub number: u32,
}

/// A request that was at an endpoint when it crashed, and whose answer had not begun long before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    /// When the request was sent to the endpoint.
    pub started: PastTime,
    /// What it may have crashed the endpoint by: the parts of its prompt that other requests may share,
    /// and the request itself.
    pub suspects: Vec<Suspect>,
}

/// A crash of an endpoint as one router saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Identifies the report.
    pub id: ReportId,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Incarnation that crashed.
    pub endpoint: EndpointId,
    /// When the router lost the first of its requests.
    pub crashed_at: PastTime,
    /// Requests of the router that may have caused the crash.
    pub requests: Vec<SuspectRequest>,
}

/// An answer that did no harm to the endpoint that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoundAnswer {
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Part of its prompt, or the request itself.
    pub suspect: Suspect,
    /// When the answer began.
    pub begun: PastTime,
}

impl CrashReport {
    /// Creates a report, without the suspects beyond the greatest number.
    #[must_use]
    pub fn new(
        id: ReportId,
        service: ServiceName,
        endpoint: EndpointId,
        crashed_at: PastTime,
        mut requests: Vec<SuspectRequest>,
    ) -> Self {
        requests.truncate(MAX_REQUESTS);
        Self {
            id,
            service,
            endpoint,
            crashed_at,
            requests,
        }
    }

    /// Decodes a report that a peer sent.
    ///
    /// # Errors
    ///
    /// Fails if the service or the endpoint is not a name.
    pub fn from_frame(frame: CrashFrame, now: ClockTime) -> Result<Self, NameError> {
        let past = |age_ms: u32| PastTime::from_age(now, Duration::from_millis(age_ms.into()));
        let requests = frame.requests.into_iter().map(|request| SuspectRequest {
            started: past(request.started_age_ms),
            suspects: decode_suspects(&request.parts, &request.digest),
        });
        let id = ReportId {
            reporter: frame.reporter,
            number: frame.number,
        };
        Ok(Self::new(
            id,
            frame.service.parse()?,
            frame.endpoint.parse()?,
            past(frame.crashed_age_ms),
            requests.collect(),
        ))
    }

    /// Encodes the report for a peer.
    #[must_use]
    pub fn to_frame(&self, now: ClockTime) -> CrashFrame {
        let requests = self.requests.iter().map(|request| SuspectFrame {
            started_age_ms: age_millis(request.started, now),
            parts: request
                .suspects
                .iter()
                .copied()
                .filter_map(part_number)
                .collect(),
            digest: request
                .suspects
                .iter()
                .copied()
                .find_map(digest_bytes)
                .unwrap_or_default(),
        });
        CrashFrame {
            reporter: self.id.reporter,
            number: self.id.number,
            service: self.service.to_string(),
            endpoint: self.endpoint.to_string(),
            crashed_age_ms: age_millis(self.crashed_at, now),
            requests: requests.collect(),
        }
    }
}

impl SoundAnswer {
    /// Decodes what a peer sent.
    ///
    /// # Errors
    ///
    /// Fails if the service is not a name.
    pub fn from_frame(frame: &SoundFrame, now: ClockTime) -> Result<Self, NameError> {
        let age = Duration::from_millis(frame.begun_age_ms.into());
        Ok(Self {
            service: frame.service.parse()?,
            suspect: decode_digest(&frame.digest)
                .map_or_else(|| PartId::new(frame.part).into(), Suspect::from),
            begun: PastTime::from_age(now, age),
        })
    }

    /// Encodes the answer for a peer.
    #[must_use]
    pub fn to_frame(&self, now: ClockTime) -> SoundFrame {
        SoundFrame {
            service: self.service.to_string(),
            part: part_number(self.suspect).unwrap_or_default(),
            digest: digest_bytes(self.suspect).unwrap_or_default(),
            begun_age_ms: age_millis(self.begun, now),
        }
    }
}

fn age_millis(time: PastTime, now: ClockTime) -> u32 {
    u32::try_from(time.age(now).as_millis()).unwrap_or(u32::MAX)
}

const fn part_number(suspect: Suspect) -> Option<u64> {
    match suspect {
        Suspect::Part(part) => Some(part.get()),
        Suspect::Request(_) => None,
    }
}

fn digest_bytes(suspect: Suspect) -> Option<Vec<u8>> {
    match suspect {
        Suspect::Part(_) => None,
        Suspect::Request(digest) => Some(digest.bytes().to_vec()),
    }
}

/// Decodes a digest; a text of another length, such as none, is no digest.
fn decode_digest(bytes: &[u8]) -> Option<RequestDigest> {
    bytes.try_into().ok().map(RequestDigest::new)
}

fn decode_suspects(parts: &[u64], digest: &[u8]) -> Vec<Suspect> {
    let parts = parts.iter().map(|part| PartId::new(*part).into());
    parts
        .chain(decode_digest(digest).map(Suspect::from))
        .collect()
}
