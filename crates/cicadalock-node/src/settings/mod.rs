//! Settings of one router or sidecar process, read from a TOML file.
//!
//! ```
//! use cicadalock_node::settings::RouterSettings;
//!
//! let settings = RouterSettings::parse(r#"
//!     callers = "127.0.0.1:8080"
//!     [process]
//!     host = "entry-1"
//!     zone = "fyn"
//!     site = "fyn"
//!     admin = "127.0.0.1:8081"
//!     key_file = "/run/cicadalock/fleet.key"
//! "#)?;
//! assert_eq!(settings.process.host.as_str(), "entry-1");
//! # Ok::<(), cicadalock_node::settings::SettingsError>(())
//! ```

mod process_settings;
mod text_field;

pub use process_settings::{
    HumanDuration, ProcessSettings, RouterSettings, SettingsError, SidecarSettings,
};
