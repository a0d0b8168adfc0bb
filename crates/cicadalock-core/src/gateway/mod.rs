//! The decisions of a router in front of endpoints that it calls itself: where a request goes,
//! when it starts, when it is refused and whether it may be sent once more.
//!
//! The machine performs no input or output: each call hands it the time, and
//! [`GatewayMachine::take_actions`] tells what is to be done.

mod action;
mod call;
mod endpoint_state;
mod lag_meter;
mod machine;
mod placing;
mod remote_desk;

pub use action::{GatewayAction, RefusalReason, RetryDenial};
pub use call::{AttemptEnd, CallBuilder, GatewayCall};
pub use lag_meter::LagMeter;
pub use machine::{GatewayBounds, GatewayMachine};
