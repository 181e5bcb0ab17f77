//! The facade's messages on the links between routers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use godwitroad_peers::{CounterRow, PeerCounters, PeerPayload};
use godwitroad_router::PeerMessage;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::telemetry::NodeTelemetry;

/// The time between two reports of the links' counters.
const REPORT_MS: u64 = 1_000;

/// A message of the facade.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub(crate) struct RouterMessage(pub(crate) PeerMessage);

impl PeerPayload for RouterMessage {
    fn kind(&self) -> &'static str {
        self.0.kind()
    }
}

/// Reports what the links carried since the last report.
pub(crate) async fn report_counters(counters: Arc<PeerCounters>, telemetry: Arc<NodeTelemetry>) {
    let mut last: BTreeMap<_, CounterRow> = BTreeMap::new();
    loop {
        sleep(Duration::from_millis(REPORT_MS)).await;
        for (kind, scope, row) in counters.snapshot() {
            let old = last.insert((kind, scope), row).unwrap_or_default();
            let changes = [
                ("sent", row.sent - old.sent),
                ("sent_bytes", row.sent_bytes - old.sent_bytes),
                ("received", row.received - old.received),
                ("received_bytes", row.received_bytes - old.received_bytes),
                ("dropped", row.dropped - old.dropped),
                ("unconfirmed", row.unconfirmed - old.unconfirmed),
            ];
            for (name, change) in changes.into_iter().filter(|(_, change)| *change > 0) {
                telemetry.add(&format!("peers.{}.{kind}.{name}", scope.as_str()), change);
            }
        }
    }
}
