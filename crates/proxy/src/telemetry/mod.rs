//! The log and the metrics of a process.

mod log;
mod metrics;

pub use log::NodeLog;
pub use metrics::NodeMetrics;
