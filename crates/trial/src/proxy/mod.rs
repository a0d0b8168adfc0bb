//! A TCP proxy that injects faults: delays, refused or closed connections, and directions in
//! which no bytes arrive.
//!
//! As with TCP, bytes stay in order and a connection never loses bytes in the middle: bytes that
//! are held back are delivered later.

mod fault_proxy;

pub use fault_proxy::{FaultProxy, ProxyFault};
