//! The router's messages on the links between routers, and the metrics of these links.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use godwitroad_peers::{CounterRow, PeerCounters, PeerPayload};
use godwitroad_router::PeerMessage;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::telemetry::NodeTelemetry;

/// The interval between two reports of the link counters.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Wraps [`PeerMessage`] to implement [`PeerPayload`] for it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub(crate) struct RouterMessage(pub(crate) PeerMessage);

impl PeerPayload for RouterMessage {
    fn kind(&self) -> &'static str {
        self.0.kind()
    }
}

/// Adds the changes of the link counters to the metrics, once per interval.
pub(crate) async fn report_counters(counters: Arc<PeerCounters>, telemetry: Arc<NodeTelemetry>) {
    let mut last_rows: BTreeMap<_, CounterRow> = BTreeMap::new();
    loop {
        sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        for (kind, scope, row) in counters.snapshot() {
            let previous = last_rows.insert((kind, scope), row).unwrap_or_default();
            let changes = [
                ("sent", row.sent - previous.sent),
                ("sent_bytes", row.sent_bytes - previous.sent_bytes),
                ("received", row.received - previous.received),
                ("received_bytes", row.received_bytes - previous.received_bytes),
                ("dropped", row.dropped - previous.dropped),
                ("unconfirmed", row.unconfirmed - previous.unconfirmed),
            ];
            for (name, change) in changes.into_iter().filter(|(_, change)| *change > 0) {
                telemetry.add(&format!("peers.{}.{kind}.{name}", scope.as_str()), change);
            }
        }
    }
}
