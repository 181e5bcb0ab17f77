//! Logs, metrics and traces of one daemon.
//!
//! Each daemon has its own logger and clients, because several can run in one process.

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
use trace::TraceHub;

/// The telemetry of one daemon.
#[derive(Debug)]
pub(crate) struct NodeTelemetry {
    log: NodeLog,
    metrics: NodeMetrics,
    traces: TraceHub,
}

impl NodeTelemetry {
    /// Opens what the settings ask for.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket, the log or the exporter can't be opened.
    pub(crate) fn open(settings: &DaemonSettings) -> anyhow::Result<NodeTelemetry> {
        Ok(NodeTelemetry {
            log: NodeLog::open(settings)?,
            metrics: NodeMetrics::open(settings.metrics_address)?,
            traces: TraceHub::open(settings)?,
        })
    }

    pub(crate) fn info(&self, text: &str) {
        self.log.info(text);
    }

    pub(crate) fn warn(&self, text: &str) {
        self.log.warn(text);
    }

    pub(crate) fn notice(&self, notice: &StateChange) {
        self.log.notice(notice);
    }

    pub(crate) fn count(&self, name: &str) {
        self.metrics.count(name, 1);
    }

    pub(crate) fn add(&self, name: &str, amount: u64) {
        if amount > 0 {
            self.metrics.count(name, amount);
        }
    }

    pub(crate) fn time(&self, name: &str, span: Duration) {
        self.metrics.time(name, span);
    }

    pub(crate) fn caller_error(&self, kind: ErrorKind) {
        self.metrics.caller_error(kind);
    }

    /// Begins the span of a caller's request.
    pub(crate) fn begin_request(&self, caller: Option<TraceParent>) -> HopSpan {
        self.traces.begin("request", caller)
    }

    /// Begins the span of an attempt at a target; its context is always there, so that targets have a trace.
    pub(crate) fn begin_attempt(
        &self,
        parent: Option<TraceParent>,
        id: RequestId,
        attempt: u32,
    ) -> HopSpan {
        self.traces.begin("attempt", parent).or_derived(parent, id, attempt)
    }

    /// Begins the span of a call to the store.
    pub(crate) fn begin_store(&self) -> HopSpan {
        self.traces.begin("store", None)
    }

    /// Sends what is still buffered.
    pub(crate) fn close(&self) {
        self.traces.close();
        self.log.flush();
    }
}
