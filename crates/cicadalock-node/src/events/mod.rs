//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Writers never wait: a line that finds the ring full or the second's allowance used is counted
//! and the count is told later.
//!
//! # Example
//!
//! ```
//! use cicadalock_node::events::{EventLog, EventSink};
//! use serde_json::json;
//!
//! let (log, sink) = EventLog::start(std::io::sink()).unwrap();
//! log.write("start", json!({"role": "router"}));
//! drop(log);
//! sink.join();
//! ```

mod event_log;

pub use event_log::{EventLog, EventSink};
