//! The log. Lines are written only on state changes, not per request.

use std::sync::Arc;

use godwitroad_router::StateChange;
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::{Sink, StdStreamSink},
};

use crate::settings::{DaemonSettings, LogFormat, LogLevel};

/// The log of one daemon.
#[derive(Debug)]
pub(super) struct NodeLog {
    logger: Arc<Logger>,
}

impl NodeLog {
    /// Opens the log, which goes to standard error.
    pub(super) fn open(settings: &DaemonSettings) -> anyhow::Result<NodeLog> {
        let builder = StdStreamSink::builder().stderr();
        let sink: Arc<dyn Sink> = match settings.log.format {
            LogFormat::Text => builder.formatter(FullFormatter::new()).build_arc()?,
            LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc()?,
        };
        let level = match settings.log.level {
            LogLevel::Error => Level::Error,
            LogLevel::Warn => Level::Warn,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        };
        let logger = Logger::builder()
            .name(settings.vm.as_str())
            .level_filter(LevelFilter::MoreSevereEqual(level))
            // Flush every line: lines are rare and must survive a subsequent crash.
            .flush_level_filter(LevelFilter::All)
            .sink(sink)
            .build_arc()?;
        Ok(NodeLog { logger })
    }

    pub(super) fn info(&self, text: &str) {
        spdlog::info!(logger: self.logger, "{text}");
    }

    pub(super) fn warn(&self, text: &str) {
        spdlog::warn!(logger: self.logger, "{text}");
    }

    pub(super) fn flush(&self) {
        self.logger.flush();
    }

    pub(super) fn log_change(&self, change: &StateChange) {
        match change {
            StateChange::ConfigInForce { generation } => {
                self.info(&format!("configuration generation {generation} is in force"));
            }
            StateChange::Readiness { ready: true, reason } => {
                self.info(&format!("ready: {reason}"));
            }
            StateChange::Readiness { ready: false, reason } => {
                self.warn(&format!("not ready: {reason}"));
            }
            StateChange::TargetHealth { target, state } => {
                self.warn(&format!("target {target} is {state}"));
            }
            StateChange::TargetDeferred { target, request, wait } => {
                let wait = wait.as_ms();
                self.warn(&format!(
                    "target {target} refused request {request} and gets none for {wait} ms"
                ));
            }
            StateChange::TargetSilent { request, target, silence } => {
                let silence = silence.as_ms();
                self.warn(&format!(
                    "request {request} ended as unknown: target {target} sent nothing for {silence} ms"
                ));
            }
            StateChange::StreamForeign { request, target } => {
                self.warn(&format!(
                    "request {request}: target {target} runs another build or other weights than its stream"
                ));
            }
            StateChange::StreamOrphaned { request, build } => {
                let build = build.as_ref().map_or("the unnamed build", |build| build.as_str());
                self.warn(&format!(
                    "request {request} broke off: no target is left that runs {build}"
                ));
            }
            StateChange::BlockWithheld { block, crashes } => {
                self.warn(&format!(
                    "prompt block {block:016x} is withheld after {crashes} crashes"
                ));
            }
            StateChange::StoreReachable { reachable: true } => self.info("the store is reachable"),
            StateChange::StoreReachable { reachable: false } => {
                self.warn("the store is unreachable");
            }
            StateChange::RosterEpoch { epoch, members } => {
                self.info(&format!("roster epoch {epoch} has {members} members"));
            }
        }
    }
}
