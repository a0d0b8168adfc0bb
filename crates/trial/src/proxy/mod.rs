//! A TCP proxy that injects faults: delay, cuts and one-way loss.
//!
//! Bytes that are held back stay in order; a connection never loses bytes in its middle, as TCP
//! has it.

mod fault_proxy;

pub use fault_proxy::{FaultProxy, ProxyFault};
