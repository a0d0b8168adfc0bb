//! Decisions of a gateway, a router that calls endpoints itself: to which endpoint a request goes,
//! when it starts, when it is refused and whether it is retried.
//!
//! [`GatewayMachine`] performs no I/O. Each call passes in the current time, and
//! [`GatewayMachine::take_actions`] returns the operations to perform.

mod action;
mod call;
mod config_check;
mod crash_evidence;
mod customer_tally;
mod endpoint_limits;
mod endpoint_notices;
mod endpoint_state;
mod host_admission;
mod lag_meter;
mod machine;
mod placing;
mod remote_desk;
mod stop_window;

pub use action::{GatewayAction, RefusalDetail, RefusalReason, RetryDenial};
pub use call::{AttemptEnd, CallBuilder, GatewayCall};
pub use customer_tally::{CustomerShare, RefusalStage};
pub use endpoint_notices::{EndpointPause, PauseError};
pub use host_admission::HostAdmission;
pub use lag_meter::LagMeter;
pub use machine::{GatewayBounds, GatewayMachine};
pub use stop_window::StopWindow;
