//! Structured log lines on standard output.
//!
//! Each line is a JSON object whose `payload` names the event and whose `kv` holds its details. A thread of its own
//! writes the lines; when its queue is full, lines are dropped rather than that a request waits.

use std::sync::Arc;

use anyhow::Result;
use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

/// Lines that wait for the writing thread.
const QUEUE_LINES: usize = 2_048;

/// The log of a process.
#[derive(Clone, Debug)]
pub struct NodeLog {
    logger: Arc<Logger>,
}

impl NodeLog {
    /// Opens the log of the process.
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
            // A full queue is an expected error; reporting it would add to the load.
            .error_handler(|_| {})
            .build_arc()?;
        let logger =
            Logger::builder().name(name).level_filter(LevelFilter::All).sink(sink).build_arc()?;
        Ok(NodeLog { logger })
    }

    /// Writes a line about a change of state or a decision.
    pub fn event(&self, event: &str, detail: &str) {
        spdlog::info!(logger: self.logger, "{}", event, kv: { detail });
    }

    /// Writes a line about a request.
    pub fn request(&self, event: &str, request: &str, detail: &str) {
        spdlog::info!(logger: self.logger, "{}", event, kv: { request, detail });
    }

    /// Writes a line about something that is wrong.
    pub fn warn(&self, event: &str, detail: &str) {
        spdlog::warn!(logger: self.logger, "{}", event, kv: { detail });
    }

    /// Waits until all lines so far are handed to the system.
    pub fn flush(&self) {
        self.logger.flush();
    }
}
