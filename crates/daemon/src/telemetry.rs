//! Logs, metrics and traces of one daemon.
//!
//! Each daemon has its own logger and exporters, because several daemons can run in one process.

mod log;
mod metrics;
mod trace;

use std::time::Duration;

use godwitroad_base::RequestId;
use godwitroad_router::{ErrorKind, StateChange};

use crate::{intake::TraceParent, settings::DaemonSettings};

pub(crate) use trace::HopSpan;

use log::NodeLog;
use metrics::NodeMetrics;
use trace::TraceExporter;

/// The telemetry of one daemon.
#[derive(Debug)]
pub(crate) struct NodeTelemetry {
    log: NodeLog,
    metrics: NodeMetrics,
    traces: TraceExporter,
}

impl NodeTelemetry {
    /// Opens the log and the exporters that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if the log, a socket or an exporter cannot be opened.
    pub(crate) fn open(settings: &DaemonSettings) -> anyhow::Result<NodeTelemetry> {
        Ok(NodeTelemetry {
            log: NodeLog::open(settings)?,
            metrics: NodeMetrics::open(settings.metrics_address)?,
            traces: TraceExporter::open(settings)?,
        })
    }

    pub(crate) fn info(&self, text: &str) {
        self.log.info(text);
    }

    pub(crate) fn warn(&self, text: &str) {
        self.log.warn(text);
    }

    pub(crate) fn log_change(&self, change: &StateChange) {
        self.log.log_change(change);
    }

    pub(crate) fn count(&self, name: &str) {
        self.metrics.count(name, 1);
    }

    pub(crate) fn add(&self, name: &str, amount: u64) {
        if amount > 0 {
            self.metrics.count(name, amount);
        }
    }

    pub(crate) fn time(&self, name: &str, elapsed: Duration) {
        self.metrics.time(name, elapsed);
    }

    pub(crate) fn count_caller_error(&self, kind: ErrorKind) {
        self.metrics.count_caller_error(kind);
    }

    /// Begins the span of a caller's request.
    pub(crate) fn begin_request(&self, caller: Option<TraceParent>) -> HopSpan {
        self.traces.begin("request", caller)
    }

    /// Begins the span of an attempt at a target. It always has a trace context, even if no spans are exported.
    pub(crate) fn begin_attempt(
        &self,
        parent: Option<TraceParent>,
        id: RequestId,
        attempt: u32,
    ) -> HopSpan {
        self.traces.begin("attempt", parent).with_derived_context(parent, id, attempt)
    }

    /// Begins the span of a call to the store.
    pub(crate) fn begin_store(&self) -> HopSpan {
        self.traces.begin("store", None)
    }

    /// Flushes the log and exports all buffered spans.
    pub(crate) fn close(&self) {
        self.traces.close();
        self.log.flush();
    }
}
