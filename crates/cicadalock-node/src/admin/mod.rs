//! Server, client and text format of a process's status port: `GET /status` and `GET /healthz`.
//!
//! ```
//! use cicadalock_node::admin::render_status;
//!
//! let text = render_status(&serde_json::json!({ "host": "entry-1", "role": { "held": 3 } }));
//! assert_eq!(text, "host: entry-1\nrole.held: 3\n");
//! ```

mod client;
mod port;
mod render;

pub use client::{StatusError, fetch_status};
pub use port::AdminPort;
pub use render::render_status;
