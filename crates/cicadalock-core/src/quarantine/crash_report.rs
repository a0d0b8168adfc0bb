use std::time::Duration;

use crate::id::{EndpointId, NameError, PartId, ServiceName};
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
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<PartId>,
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

/// A part on which an endpoint has written an answer without harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoundPart {
    /// Service of the endpoint.
    pub service: ServiceName,
    /// The part.
    pub part: PartId,
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
            parts: request.parts.into_iter().map(PartId::new).collect(),
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
            parts: request.parts.iter().map(|part| part.get()).collect(),
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

impl SoundPart {
    /// Decodes what a peer sent.
    ///
    /// # Errors
    ///
    /// Fails if the service is not a name.
    pub fn from_frame(frame: &SoundFrame, now: ClockTime) -> Result<Self, NameError> {
        let age = Duration::from_millis(frame.begun_age_ms.into());
        Ok(Self {
            service: frame.service.parse()?,
            part: PartId::new(frame.part),
            begun: PastTime::from_age(now, age),
        })
    }

    /// Encodes the part for a peer.
    #[must_use]
    pub fn to_frame(&self, now: ClockTime) -> SoundFrame {
        SoundFrame {
            service: self.service.to_string(),
            part: self.part.get(),
            begun_age_ms: age_millis(self.begun, now),
        }
    }
}

fn age_millis(time: PastTime, now: ClockTime) -> u32 {
    u32::try_from(time.age(now).as_millis()).unwrap_or(u32::MAX)
}
