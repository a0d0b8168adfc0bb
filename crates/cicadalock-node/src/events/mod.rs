//! Structured log lines on standard output: one JSON object for each decision.
//!
//! Callers never block: a line is dropped if the queue is full or the number of lines per second
//! is exceeded. A later `lines-dropped` line reports how many were dropped in total.
//!
//! # Example
//!
//! ```
//! use cicadalock_node::events::{EventLog, WriterHandle};
//! use serde_json::json;
//!
//! let (log, writer) = EventLog::start(std::io::sink()).unwrap();
//! log.write("start", json!({"role": "router"}));
//! drop(log);
//! writer.join();
//! ```

mod event_log;

pub use event_log::{EventLog, WriterHandle};
