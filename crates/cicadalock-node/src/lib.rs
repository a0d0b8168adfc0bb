//! The processes that run the core's state machines: sockets, files, timers and the command line.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | settings of one router or sidecar process |
//! | [`clock`] | monotonic and wall clocks |
//! | [`wire`] | frames between processes and authentication by the fleet's key |
//! | [`links`] | connections to other processes |
//! | [`platform`] | reads the platform's documents |
//! | [`hub`] | the event loop that owns a router's or sidecar's state machine |
//! | [`callers`] | the HTTP port of a router for its callers |
//! | [`endpoint`] | calls to a sidecar's endpoint |
//! | [`gateway`] | a router that calls endpoints itself, in the formats of its platform |
//! | [`desk`] | the admission controller of one endpoint |
//! | [`events`] | structured log lines on standard output |
//! | [`fetch`] | fetches documents over HTTP |
//! | [`process`] | event log, errors and sockets of gateways and desks |
//! | [`admin`] | the status port of a process |
//! | [`metrics`] | counters of a process |
//! | [`trace`] | trace spans |
//! | [`cli`] | the command line |

pub mod admin;
pub mod callers;
pub mod cli;
pub mod clock;
pub mod desk;
pub mod endpoint;
pub mod events;
pub mod fetch;
pub mod gateway;
pub mod hub;
pub mod links;
pub mod metrics;
pub mod platform;
pub mod process;
pub mod settings;
pub mod trace;
pub mod wire;
