//! Finds the parts of prompts, and the requests, that crash endpoints, from what all routers of a fleet saw.
//!
//! Endpoints crash for many reasons, and a crash breaks every request that runs there. Each router
//! reports the crashes that it saw together with its requests that might have caused them, and which
//! parts of prompts endpoints answered without harm. Reports travel over the desks. Every router
//! derives the same verdicts from them: a part is refused if one crash after the other began with a
//! request that has it, and no answer on it survived since. A request that its caller sends again is known
//! by its digest, and judged in the same way.
//!
//! # Example
//!
//! ```
//! use cicadalock_core::id::PartId;
//! use cicadalock_core::quarantine::{CrashReport, EvidenceBoard, ReportId, SuspectRequest};
//! use cicadalock_core::time::{ClockTime, PastTime};
//!
//! let now = ClockTime::from_millis(60_000);
//! let mut board = EvidenceBoard::default();
//! for number in 0..3 {
//!     let crashed_at = PastTime::from_millis(50_000 + u64::from(number) * 500);
//!     let started = PastTime::from_millis(49_900 + u64::from(number) * 500);
//!     board.add_report(CrashReport {
//!         id: ReportId { reporter: 1, number },
//!         service: "model".parse()?,
//!         endpoint: format!("i-{number}").parse()?,
//!         crashed_at,
//!         requests: vec![SuspectRequest { started, suspects: vec![PartId::new(0xbad).into()] }],
//!     });
//! }
//! let verdicts = board.judge(now, |_, _| None);
//! assert!(verdicts.contains_key(&("model".parse()?, PartId::new(0xbad).into())));
//! # Ok::<(), cicadalock_core::id::NameError>(())
//! ```

mod broken_attempts;
mod crash_guard;
mod crash_report;
mod evidence_board;
mod recent_requests;
mod sound_memory;
mod suspect;
mod suspect_verdict;

pub use crash_guard::{CrashGuard, GuardChange, SURVIVAL_TIME};
pub use crash_report::{CrashReport, ReportId, SoundAnswer, SuspectRequest};
pub use evidence_board::EvidenceBoard;
pub use sound_memory::SoundMemory;
pub use suspect::Suspect;
pub use suspect_verdict::{SuspectVerdict, VerdictTable};
