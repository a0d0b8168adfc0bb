//! Points in time handed to the state machines.
//!
//! The daemons read `CLOCK_BOOTTIME`, which goes on while a machine is suspended; tests pass any
//! growing value.
//!
//! ```
//! use std::time::Duration;
//! use cicadalock_core::time::ClockTime;
//!
//! let start = ClockTime::from_millis(100);
//! assert_eq!((start + Duration::from_millis(50)).since(start), Duration::from_millis(50));
//! ```

mod clock_time;
mod wall_time;

pub use clock_time::ClockTime;
pub use wall_time::WallTime;
