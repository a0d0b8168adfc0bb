//! The state machine of a sidecar: it grants runs at its endpoint and settles their outcomes.
//!
//! [`SidecarMachine`] is driven by messages of routers and of other sidecars, by the endpoint's
//! answers and by the passing of time. It answers with [`SidecarAction`]s.
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

pub use action::{CallResult, RunOrder, SidecarAction};
pub use builder::SidecarBuilder;
pub use machine::{SidecarMachine, SidecarReport};
