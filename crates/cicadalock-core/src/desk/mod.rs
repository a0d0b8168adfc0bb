//! Admission at one endpoint: who may start now, in which order, and who is told to come back.
//!
//! A model endpoint reads prompts in order of arrival and slows every running stream while it
//! reads. A queue inside it is therefore the worst place to wait: the desk keeps the endpoint's own
//! backlog short and lets requests wait where customers are told apart and callers can leave.
//!
//! Load that this answers: bursts of long prompts beside many short streams, and customers that
//! send many times their usual.
//!
//! # Example
//!
//! ```
//! use cicadalock_core::desk::{DeskAsk, EndpointDesk};
//! use cicadalock_core::id::{CustomerId, RequestId};
//! use cicadalock_core::time::ClockTime;
//!
//! let mut desk = EndpointDesk::for_application(1);
//! let now = ClockTime::from_millis(5);
//! desk.ask(RequestId::new(1), DeskAsk::new(CustomerId::new(7), ClockTime::from_millis(90)));
//! desk.ask(RequestId::new(2), DeskAsk::new(CustomerId::new(7), ClockTime::from_millis(90)));
//! assert_eq!(desk.admit(now), [RequestId::new(1)]);
//! desk.end(RequestId::new(1), now);
//! assert_eq!(desk.admit(now), [RequestId::new(2)]);
//! ```

mod customer_meter;
mod endpoint_desk;
mod engine_gate;
mod wait_line;

pub use customer_meter::CustomerMeter;
pub use endpoint_desk::{DeskAsk, EndpointDesk};
pub use engine_gate::{EngineGate, GateLimits, ReadWork};
pub use wait_line::WaitLine;
