//! State machine of a sidecar, which grants routers permission to run requests at its endpoint and
//! records the outcomes.
//!
//! The inputs of [`SidecarMachine`] are messages from routers and other sidecars, results of calls
//! to the endpoint, and the current time. Its outputs are [`SidecarAction`]s.
//!
//! ```
//! use cicadalock_core::id::Incarnation;
//! use cicadalock_core::sidecar::SidecarMachine;
//! use cicadalock_core::time::WallTime;
//!
//! let machine = SidecarMachine::builder("fyn-1".parse()?, "udlaan".parse()?)
//!     .incarnation(Incarnation::from_start(1_700_000_000_000, 1))
//!     .started(WallTime::from_unix_millis(1_700_000_000_000))
//!     .build();
//! assert!(machine.is_idle());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod action;
mod builder;
mod exchange;
mod grant;
mod hand_off;
mod keyed;
mod machine;
mod offer;
mod work;

pub use action::{CallResult, RunCommand, SidecarAction};
pub use builder::SidecarBuilder;
pub use machine::{SidecarMachine, SidecarReport};
