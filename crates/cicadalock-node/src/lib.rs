//! The daemons round the coordination parts: sockets, files, timers and the command line.
//!
//! | module | what it is for |
//! |---|---|
//! | [`settings`] | what one process is told by its operator |
//! | [`clock`] | the clocks that are handed to the core |
//! | [`wire`] | frames between processes and the proof of the fleet's key |
//! | [`links`] | connections to other processes |
//! | [`platform`] | reading the platform's documents |
//! | [`hub`] | the thread that owns a state machine |
//! | [`callers`] | the callers' HTTP port of a router |
//! | [`endpoint`] | calls of a sidecar's endpoint |
//! | [`gateway`] | a router that calls endpoints itself, in the words of another platform |
//! | [`desk`] | the process beside an endpoint that decides whose request starts there |
//! | [`events`] | structured log lines |
//! | [`fetch`] | reads of documents over HTTP |
//! | [`process`] | log, errors and sockets of processes on the users' platform |
//! | [`admin`] | the status port |
//! | [`metrics`] | counters |
//! | [`trace`] | spans |
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
