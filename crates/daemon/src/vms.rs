//! The reader of the platform's VM list.

use std::{sync::Arc, time::Duration};

use godwitroad_base::ClockSpan;
use godwitroad_router::{RouterEvent, VmListing};
use tokio::time::{sleep, timeout};

use crate::{core::CoreHandle, telemetry::NodeTelemetry};

/// The time within which the list must come.
const LIST_LIMIT_MS: u64 = 2_000;

/// The largest list; the design size has 330 VMs.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Everything that the reader holds.
pub(crate) struct VmReader {
    pub(crate) url: String,
    pub(crate) poll: ClockSpan,
    pub(crate) core: CoreHandle,
    pub(crate) telemetry: Arc<NodeTelemetry>,
}

impl VmReader {
    /// Reads the list again and again.
    pub(crate) async fn run(self) {
        let client = awc::Client::builder().disable_timeout().disable_redirects().finish();
        loop {
            let limit = Duration::from_millis(LIST_LIMIT_MS);
            match timeout(limit, self.read(&client)).await.ok().flatten() {
                Some(list) => {
                    self.core.event(RouterEvent::VmList(list));
                }
                // The last list stays in use: a list that can't be read says nothing about any VM.
                None => self.telemetry.count("vm_list.failures"),
            }
            sleep(Duration::from_millis(self.poll.as_ms())).await;
        }
    }

    async fn read(&self, client: &awc::Client) -> Option<Vec<VmListing>> {
        let mut response = client.get(&self.url).no_decompress().send().await.ok()?;
        if response.status().as_u16() != 200 {
            return None;
        }
        let body = response.body().limit(MAX_LIST_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
