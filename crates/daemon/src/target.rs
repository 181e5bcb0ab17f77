//! The targets' side of HTTP: attempts, load reports and cache events.

mod attempt;
mod chunk;
mod poll;
mod sse;
mod worker;

use std::{sync::Arc, time::Duration};

use awc::Client;
use rustls::ClientConfig;

use crate::outbound;

pub use sse::{SseError, SseEvent, SseParser};

pub(crate) use poll::run_pollers;
pub(crate) use worker::{TargetCommand, TargetWorker};

/// The time for which an idle connection is kept; below the keep-alive time of common servers (5 s), because a
/// request on a connection that the target closes at that moment can't be told from one that ran.
const KEEP_ALIVE_MS: u64 = 4_000;

/// Returns the URL scheme and a client for targets.
pub(crate) fn target_client(tls: Option<&Arc<ClientConfig>>) -> (&'static str, Client) {
    let client = outbound::client(Duration::from_millis(KEEP_ALIVE_MS), tls);
    (if tls.is_some() { "https" } else { "http" }, client)
}
