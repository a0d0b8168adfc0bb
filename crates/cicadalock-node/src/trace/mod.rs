//! Spans of each hop of a request, identified as in W3C Trace Context.
//!
//! ```
//! use cicadalock_node::trace::TraceContext;
//!
//! let header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
//! let context: TraceContext = header.parse().expect("the header is well formed");
//! assert_eq!(context.to_string(), header);
//! assert_ne!(context.child().to_string(), header);
//! ```

mod context;
mod sender;

pub use context::{ContextError, TraceContext};
pub use sender::{HopSpan, SpanSender};
