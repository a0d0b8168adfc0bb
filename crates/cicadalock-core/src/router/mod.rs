//! The state machine of a router, which queues callers' requests until a sidecar grants them.
//!
//! [`RouterMachine`] is driven by callers' requests, messages from sidecars and clock ticks. It
//! returns [`RouterAction`]s for the embedding process to carry out.
//!
//! ```
//! use std::sync::Arc;
//! use cicadalock_core::config::{ConfigText, FleetConfig};
//! use cicadalock_core::id::RequestId;
//! use cicadalock_core::router::{CallerRequest, RouterMachine};
//! use cicadalock_core::time::ClockTime;
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
//!     share = 1
//!     token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
//! "#);
//! let config = Arc::new(FleetConfig::read(&base, None).expect("the text has no findings"));
//! let request = CallerRequest::builder(&config.customers()[0], &config.kinds()[0])
//!     .target("/bookings")
//!     .build();
//! let mut machine = RouterMachine::new(7);
//! machine.set_config(config);
//! machine.submit(RequestId::new(1), request, ClockTime::default());
//! assert_eq!(machine.held(), 1);
//! ```

mod action;
mod admission;
mod bid_planner;
mod bidding;
mod failure;
mod hold_queue;
mod keyed;
mod link;
mod machine;
mod push;
mod request;
mod settle;
mod sweep;

pub use action::{CallerEvent, RouterAction};
pub use failure::CallerFailure;
pub use machine::{LinkReport, QueueReport, RouterMachine};
pub use push::PUSH_GRANT_BIT;
pub use request::{CallerRequest, RequestBuilder};
