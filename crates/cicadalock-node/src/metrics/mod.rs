//! Counters of a process, sent to a statsd target and shown by `cicadalock status`.
//!
//! ```
//! use cicadalock_node::metrics::{Metric, ProcessMetrics};
//!
//! let metrics = ProcessMetrics::new();
//! metrics.add(Metric::Requests, 1);
//! assert_eq!(metrics.get(Metric::Requests), 1);
//! ```

mod metric;
mod process_metrics;
mod reporter;

pub use metric::Metric;
pub use process_metrics::{ProcessMetrics, TrafficCount};
pub use reporter::MetricsReporter;
