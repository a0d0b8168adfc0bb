use cicadalock_core::config::ServiceProtocol;
use cicadalock_core::id::{CustomerName, GrantId, KindName};
use cicadalock_core::sidecar::RunCommand;

use crate::wire::LinkOutbox;

/// Flow-control window: units that a sidecar may send ahead of what the caller has read.
pub const WINDOW_UNITS: u32 = 256;

/// Size of a window unit, in bytes.
const UNIT_BYTES: usize = 1_024;

/// Command from the hub to the thread that calls the endpoint.
#[derive(Debug)]
pub enum EndpointCommand {
    /// Start a call.
    Call(Box<CallCommand>),
    /// Abort the call of a grant; ignored if it has ended.
    Abort(GrantId),
    /// Extend the window of a call by the units that its caller has read.
    Credit(GrantId, u32),
}

/// Command to make a granted call to the endpoint.
#[derive(Debug)]
pub struct CallCommand {
    /// The request, its grant and its time limits.
    pub command: RunCommand,
    /// Name of the customer, sent to the endpoint as a header field.
    pub customer: CustomerName,
    /// Name of the kind, sent to the endpoint as a header field.
    pub kind: KindName,
    /// Protocol of the service; determines the cost of the call and when its answer is complete.
    pub protocol: ServiceProtocol,
    /// Connection to the router that receives the answer.
    pub outbox: LinkOutbox,
}

/// Returns the window units that a chunk of `bytes` bytes occupies; an empty chunk occupies one.
#[must_use]
pub const fn window_units(bytes: usize) -> u32 {
    let units = bytes.div_ceil(UNIT_BYTES);
    if units == 0 { 1 } else { units as u32 }
}
