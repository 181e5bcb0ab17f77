//! The log and the metrics of a process.

mod limited_log;
mod log;
mod metrics;

pub(crate) use limited_log::LimitedLog;
pub use log::NodeLog;
pub use metrics::NodeMetrics;
