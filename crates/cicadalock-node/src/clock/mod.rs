//! The monotonic and wall clocks of a process.
//!
//! ```
//! use cicadalock_node::clock::ProcessClock;
//!
//! let clock = ProcessClock::start();
//! assert!(clock.now() <= clock.now());
//! ```

mod process_clock;

pub use process_clock::ProcessClock;
