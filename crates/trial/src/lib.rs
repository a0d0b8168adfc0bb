//! Scenarios with real processes, and stand-ins for the systems around them. This crate is not
//! shipped.
//!
//! | module | purpose |
//! |---|---|
//! | [`standin`] | stand-ins for the platform, model engines and plain services |
//! | [`proxy`] | a TCP proxy that injects faults |
//! | [`fleet`] | starts and stops the processes of a scenario |
//! | [`load`] | callers that send requests |
//! | [`scenario`] | scenarios by name |
//! | [`soak`] | random faults around routers and desks, and checks of the guarantees |
//! | [`emulator`] | model engines and a fleet in virtual time |
//! | [`report`] | measurements, tables and plots |
//! | [`capacity`] | estimated cost of each role at the target size of the fleet |

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
