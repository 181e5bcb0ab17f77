//! Counters and timers in the statsd format over UDP.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient, Timed};
use godwitroad_router::ErrorKind;

/// The prefix of all metric names.
const PREFIX: &str = "godwitroad";

/// The capacity of the queue to the sending thread; further metrics are dropped, so that metrics never delay a request.
const MAX_QUEUED_METRICS: usize = 16_384;

/// The metrics client of one daemon.
#[derive(Debug)]
pub(super) struct NodeMetrics {
    client: Option<StatsdClient>,
}

impl NodeMetrics {
    /// Opens the client; without an address no metrics are sent.
    pub(super) fn open(address: Option<SocketAddr>) -> anyhow::Result<NodeMetrics> {
        let Some(address) = address else { return Ok(NodeMetrics { client: None }) };
        let local: SocketAddr =
            if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(address, socket)?;
        let queue = QueuingMetricSink::with_capacity(udp, MAX_QUEUED_METRICS);
        Ok(NodeMetrics { client: Some(StatsdClient::from_sink(PREFIX, queue)) })
    }

    pub(super) fn count(&self, name: &str, amount: u64) {
        let Some(client) = &self.client else { return };
        // A metric that cannot be sent is lost; that must not affect the request.
        let _ = client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    pub(super) fn time(&self, name: &str, elapsed: Duration) {
        let Some(client) = &self.client else { return };
        let _ = client.time(name, u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX));
    }

    pub(super) fn count_caller_error(&self, kind: ErrorKind) {
        if self.client.is_some() {
            self.count(&format!("caller.errors.{}", kind_name(kind)), 1);
        }
    }
}

fn kind_name(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::KeyMissing => "key_missing",
        ErrorKind::KeyInvalid => "key_invalid",
        ErrorKind::KeyWithdrawn => "key_withdrawn",
        ErrorKind::RouteUnknown => "route_unknown",
        ErrorKind::ModelUnknown => "model_unknown",
        ErrorKind::RequestInvalid => "request_invalid",
        ErrorKind::RateExceeded => "rate_exceeded",
        ErrorKind::Overloaded => "overloaded",
        ErrorKind::TargetUnavailable => "target_unavailable",
        ErrorKind::PromptWithheld => "prompt_withheld",
        ErrorKind::RequestWithheld => "request_withheld",
        ErrorKind::TargetFailed => "target_failed",
        ErrorKind::ClaimUnavailable => "claim_unavailable",
        ErrorKind::ClaimPending => "claim_pending",
        ErrorKind::ClaimMismatch => "claim_mismatch",
        ErrorKind::StreamLost => "stream_lost",
        ErrorKind::NotReady => "not_ready",
        ErrorKind::ClaimUnknown => "claim_unknown",
        ErrorKind::AnswerLost => "answer_lost",
        ErrorKind::ZoneCutOff => "zone_cut_off",
    }
}
