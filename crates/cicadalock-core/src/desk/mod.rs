//! Admission control for one endpoint: which requests may start now, in which order, and which are
//! refused with a retry delay.
//!
//! A model endpoint prefills prompts in order of arrival, and every prefill slows all running
//! streams. A queue inside the endpoint is therefore the worst place to wait. The desk keeps the
//! endpoint's own backlog short and queues requests itself, where customers can be told apart and
//! callers can cancel.
//!
//! Designed for bursts of long prompts beside many short streams, and for customers that send many
//! times their usual load.
//!
//! # Example
//!
//! ```
//! use cicadalock_core::desk::{CustomerMeter, DeskAsk, EndpointDesk};
//! use cicadalock_core::id::{CustomerId, LinkId, RequestId};
//! use cicadalock_core::time::ClockTime;
//!
//! let mut desk = EndpointDesk::for_application(1);
//! let mut meter = CustomerMeter::default();
//! let now = ClockTime::from_millis(5);
//! let ask = DeskAsk::new(CustomerId::new(7), ClockTime::from_millis(90));
//! let (first, second) = ((LinkId::new(0), RequestId::new(1)), (LinkId::new(0), RequestId::new(2)));
//! desk.ask(first, ask, &meter, now).unwrap();
//! desk.ask(second, ask, &meter, now).unwrap();
//! assert_eq!(desk.admit(&mut meter, now), [first]);
//! desk.end(first);
//! assert_eq!(desk.admit(&mut meter, now), [second]);
//! ```

mod customer_meter;
mod customer_usage;
mod desk_machine;
mod endpoint_desk;
mod endpoint_gate;
mod limit_broker;
mod rate_limiter;
mod request_rate;
mod wait_forecast;
mod wait_queue;

pub use customer_meter::CustomerMeter;
pub use customer_usage::{CustomerUsage, UsageComparison};
pub use desk_machine::{DeskAction, DeskMachine};
pub use endpoint_desk::{DeskAsk, DeskRefusal, DeskState, EndpointDesk, RunCharge, RunKey};
pub(crate) use endpoint_gate::DEFAULT_PAUSE;
pub use endpoint_gate::{EndpointGate, GateLimits, RequestDemand};
pub use limit_broker::LimitBroker;
pub use rate_limiter::{RateLimiter, fleet_rate};
pub use request_rate::{RateError, RequestRate};
pub use wait_forecast::WaitForecast;
pub use wait_queue::WaitQueue;
