use cicadalock_core::config::ServiceProtocol;
use cicadalock_core::id::{CustomerName, GrantId, KindName};
use cicadalock_core::sidecar::RunOrder;

use crate::wire::LinkOutbox;

/// Window units of an answer that a sidecar may send beyond what the caller has taken.
pub const WINDOW_UNITS: u32 = 256;

/// Bytes in a window unit.
const UNIT_BYTES: usize = 1_024;

/// What the hub asks of the endpoint's port.
#[derive(Debug)]
pub enum EndpointOrder {
    /// Call the endpoint.
    Call(Box<CallOrder>),
    /// End a call.
    Abort(GrantId),
    /// The caller has taken part of an answer, in window units.
    Credit(GrantId, u32),
}

/// One call of the endpoint.
#[derive(Debug)]
pub struct CallOrder {
    /// The request and its limits.
    pub order: RunOrder,
    /// Name of the customer, told to the endpoint.
    pub customer: CustomerName,
    /// Name of the kind, told to the endpoint.
    pub kind: KindName,
    /// How the endpoint is called.
    pub protocol: ServiceProtocol,
    /// Where the answer goes.
    pub outbox: LinkOutbox,
}

/// Window units that a chunk of `bytes` takes.
#[must_use]
pub const fn window_units(bytes: usize) -> u32 {
    let units = bytes.div_ceil(UNIT_BYTES);
    if units == 0 { 1 } else { units as u32 }
}
