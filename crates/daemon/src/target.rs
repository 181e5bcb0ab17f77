//! The HTTP interface to targets: attempts, load reports and cache events.

mod attempt;
mod chunk;
mod poll;
mod sse;
mod worker;

use std::{sync::Arc, time::Duration};

use awc::Client;
use rustls::ClientConfig;

use crate::http_client;

pub use sse::{SseError, SseEvent, SseParser};

pub(crate) use poll::run_pollers;
pub(crate) use worker::{TargetCommand, TargetWorker};

/// How long an idle connection is kept. It is below the keep-alive timeout of common servers (5 s): if a target closes
/// a connection just as a request is sent on it, it is unknown whether the request ran.
const KEEP_ALIVE_MS: u64 = 4_000;

/// Returns the URL scheme and an HTTP client for targets.
pub(crate) fn target_client(tls: Option<&Arc<ClientConfig>>) -> (&'static str, Client) {
    let client = http_client::new_client(Duration::from_millis(KEEP_ALIVE_MS), tls);
    (if tls.is_some() { "https" } else { "http" }, client)
}
