//! The host list, and the sidecar that is the home of an idempotency key.
//!
//! ```
//! use cicadalock_core::member::{HostList, key_home};
//!
//! let list = HostList::parse(r#"{"previous": 0, "hosts": [
//!     {"name": "a", "role": "sidecar", "service": "udlaan", "zone": "fyn",
//!      "address": "127.0.0.1:7001", "state": "live"}
//! ]}"#)?;
//! let homes = list.homes(&"udlaan".parse()?);
//! assert_eq!(key_home(&homes, "some-key").map(|host| host.as_str()), Some("a"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod home;
mod host_list;
mod view_lease;

pub use home::{host_set_hash, key_home};
pub use host_list::{HostEntry, HostList, HostListError, HostRole, HostState};
pub use view_lease::{LEASE_DURATION, ViewLease};
