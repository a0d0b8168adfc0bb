//! Time types that are passed to the state machines.
//!
//! The daemons read `CLOCK_BOOTTIME`, which keeps running while the machine is suspended. Tests
//! pass any non-decreasing value.
//!
//! ```
//! use std::time::Duration;
//! use cicadalock_core::time::ClockTime;
//!
//! let start = ClockTime::from_millis(100);
//! assert_eq!((start + Duration::from_millis(50)).since(start), Duration::from_millis(50));
//! ```

mod clock_time;
mod past_time;
mod wall_time;

pub use clock_time::ClockTime;
pub use past_time::PastTime;
pub use wall_time::WallTime;
