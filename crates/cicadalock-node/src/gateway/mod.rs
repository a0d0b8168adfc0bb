//! A router that accepts callers' HTTP requests and calls endpoints itself.
//!
//! A [`GatewayDialect`] supplies the settings, header fields and store of the platform.
//!
//! One thread runs a single-threaded runtime that owns the core's
//! [`GatewayMachine`](cicadalock_core::gateway::GatewayMachine); other threads follow the
//! platform's store, write log lines, serve metrics and wait for signals.

mod accept;
mod answer_buffer;
mod attempt;
mod caller_activity;
mod caller_connection;
mod caller_limits;
mod caller_stream;
mod config_record;
mod connection_pool;
mod crash_check;
mod daemon;
mod desk_links;
mod dialect;
mod endpoint_change;
mod endpoint_limits;
mod endpoint_notices;
mod event_splitter;
mod gateway_body;
mod gateway_metrics;
mod gateway_settings;
mod head_gate;
mod limit_history;
mod metrics_port;
mod platform_store;
mod ready_port;
mod refusal;
mod request_digest;
mod request_guard;
mod serve;
mod shared;
mod store_follower;
mod store_position;
mod stream_part;
mod stream_relay;
mod suspension;

pub use config_record::ConfigCourse;
pub use daemon::run_gateway;
pub use dialect::{AnswerFields, ForwardContext, GatewayDialect, RequestFields};
pub use endpoint_change::{ChangeKind, EndpointChange};
pub use event_splitter::EventSplitter;
pub use gateway_settings::{GatewaySettings, GatewayTimes, SettingsBuilder};
pub use platform_store::{
    EraError, PlatformStore, StoreChange, StoreChanges, StoreDocument, StoreError, StorePage,
};
pub use store_follower::{FollowerTimes, StoreFollower, StoreUpdate};
pub use store_position::{StorePosition, StoreRestore};
