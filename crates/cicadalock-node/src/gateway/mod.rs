//! A router that serves callers' HTTP and calls endpoints itself, in the words of a platform that
//! is told by a [`GatewayDialect`].
//!
//! One thread runs a single-threaded runtime that owns the core's
//! [`GatewayMachine`](cicadalock_core::gateway::GatewayMachine); others follow the platform's
//! store, write log lines, serve metrics and wait for signals.

mod accept;
mod attempt;
mod connection_pool;
mod daemon;
mod desk_links;
mod dialect;
mod event_cut;
mod gateway_metrics;
mod gateway_settings;
mod metrics_port;
mod platform_store;
mod ready_port;
mod refusal;
mod request_guard;
mod serve;
mod shared;
mod store_follower;
mod stream_relay;

pub use daemon::run_gateway;
pub use dialect::{AnswerFacts, CallFacts, EndpointOrder, GatewayDialect};
pub use event_cut::EventCutter;
pub use gateway_settings::{GatewaySettings, GatewayTimes, SettingsBuilder};
pub use platform_store::{
    PlatformStore, StoreChange, StoreChanges, StoreDocument, StoreError, StorePage,
};
pub use store_follower::{StoreFollower, StoreUpdate};
