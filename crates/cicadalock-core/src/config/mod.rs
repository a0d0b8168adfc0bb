//! The fleet configuration: one base text and an overlay for each site.
//!
//! Parsing, merging and validation depend on the texts alone, so all processes agree on whether a
//! revision is valid. All errors are collected as [`Finding`]s with their file and line.
//!
//! ```
//! use cicadalock_core::config::{ConfigText, FleetConfig};
//!
//! let base = ConfigText::new("base.toml", r#"
//!     [[services]]
//!     name = "udlaan"
//!     protocol = "plain"
//!     slots = 4
//!     [[kinds]]
//!     name = "booking"
//!     service = "udlaan"
//!     path = "/bookings"
//!     idempotent = false
//!     [[customers]]
//!     name = "skole-aarhus"
//!     share = 0
//!     token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
//! "#);
//! let findings = FleetConfig::read(&base, None).expect_err("a share of zero is a finding");
//! assert_eq!(findings[0].to_string(), "base.toml:13: customers.skole-aarhus.share: must be 1 or more");
//! ```

mod check;
mod finding;
mod fleet_config;
mod merge;
mod raw;
mod reader;
mod release;

pub use finding::Finding;
pub use fleet_config::{
    CustomerConfig, FleetConfig, KindConfig, LimitConfig, ServiceConfig, ServiceProtocol,
    SharingPolicy, TokenDigest,
};
pub use raw::ConfigText;
pub use release::{ConfigRelease, ReleaseError};
