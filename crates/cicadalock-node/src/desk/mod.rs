//! The desk: the admission controller of one model endpoint, and its protocol with routers.
//!
//! A desk runs beside its endpoint and decides which request starts there next. Requests and
//! responses do not pass through it: a router that holds a grant calls the endpoint itself. No
//! request fails when a desk exits, hangs or is unreachable; the routers then decide on their own
//! until they receive messages from it again.

mod desk_codec;
mod desk_daemon;
mod desk_settings;

pub(crate) use desk_codec::{DeskCodec, LINK_TIMEOUTS};
pub use desk_daemon::run_desk;
pub use desk_settings::DeskSettings;
