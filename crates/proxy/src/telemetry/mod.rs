//! Logs and metrics.

mod log;
mod metrics;

pub use log::NodeLog;
pub use metrics::NodeMetrics;
