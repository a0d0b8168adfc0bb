//! The process beside a model endpoint that decides whose request starts there next, and the
//! frames between it and the routers.
//!
//! Answers do not pass through it: a router that holds a grant calls the endpoint itself. A desk
//! that ends, sleeps or is cut off therefore breaks nothing; its routers decide for themselves
//! until they hear it again.

mod desk_codec;
mod desk_daemon;
mod desk_settings;

pub(crate) use desk_codec::{DeskCodec, LINK_TIMEOUTS};
pub use desk_daemon::run_desk;
pub use desk_settings::DeskSettings;
