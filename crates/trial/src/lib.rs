//! Stand-ins for the outside world, and experiments with real processes. This crate does not ship.
//!
//! | module | what it is for |
//! |---|---|
//! | [`standin`] | small stand-ins for the platform, model engines and plain services |
//! | [`proxy`] | a TCP proxy that injects faults |
//! | [`fleet`] | starts and stops the processes of an experiment |
//! | [`load`] | callers |
//! | [`scenario`] | experiments by name |
//! | [`soak`] | random faults around routers and desks, and what is promised |
//! | [`emulator`] | model engines and a fleet in virtual time |
//! | [`report`] | measures, tables and plots |
//! | [`capacity`] | what each role costs at the size to come |

pub mod capacity;
pub mod cli;
pub mod emulator;
pub mod fleet;
pub mod load;
pub mod proxy;
pub mod report;
pub mod scenario;
mod shared_state;
pub mod soak;
pub mod standin;
mod wall_clock;
