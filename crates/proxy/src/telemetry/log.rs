//! Structured log lines on standard output.
//!
//! Each line is a JSON object whose `payload` names the event and whose `kv` holds its details. A separate thread writes
//! the lines. When its queue is full, lines are dropped so that requests never wait for the log.

use std::sync::Arc;

use anyhow::Result;
use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

/// The capacity of the writing thread's queue, in lines.
const QUEUE_LINES: usize = 2_048;

/// The log of a process.
#[derive(Clone, Debug)]
pub struct NodeLog {
    logger: Arc<Logger>,
}

impl NodeLog {
    /// Opens the log of the process under the logger name `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the writing thread can't be started.
    pub fn open(name: &str) -> Result<NodeLog> {
        let stream = StdStreamSink::builder().stdout().formatter(JsonFormatter::new());
        let pool = ThreadPool::builder().capacity(QUEUE_LINES.try_into()?).build_arc()?;
        let sink = AsyncPoolSink::builder()
            .sink(stream.build_arc()?)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .thread_pool(pool)
            // A full queue is an expected error, and reporting it would add load.
            .error_handler(|_| {})
            .build_arc()?;
        let logger =
            Logger::builder().name(name).level_filter(LevelFilter::All).sink(sink).build_arc()?;
        Ok(NodeLog { logger })
    }

    /// Logs a state change or a decision.
    pub fn event(&self, event: &str, detail: &str) {
        spdlog::info!(logger: self.logger, "{}", event, kv: { detail });
    }

    /// Logs an event of the request with the id `request`.
    pub fn request(&self, event: &str, request: &str, detail: &str) {
        spdlog::info!(logger: self.logger, "{}", event, kv: { request, detail });
    }

    /// Logs a failure, at warning level.
    pub fn warn(&self, event: &str, detail: &str) {
        spdlog::warn!(logger: self.logger, "{}", event, kv: { detail });
    }

    /// Waits until all queued lines have been written.
    pub fn flush(&self) {
        self.logger.flush();
    }
}
