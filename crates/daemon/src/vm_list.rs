//! Polls the platform's VM list.

use std::{sync::Arc, time::Duration};

use godwitroad_base::ClockSpan;
use godwitroad_router::{RouterEvent, VmListing};
use tokio::time::{sleep, timeout};

use crate::{event_loop::EventLoopHandle, telemetry::NodeTelemetry};

/// The timeout for reading the list.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// The maximum size of the list; the system is designed for 330 VMs.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Reads the VM list at a fixed interval and passes it to the event loop.
pub(crate) struct VmListPoller {
    pub(crate) url: String,
    pub(crate) interval: ClockSpan,
    pub(crate) event_loop: EventLoopHandle,
    pub(crate) telemetry: Arc<NodeTelemetry>,
}

impl VmListPoller {
    /// Polls the list until the task is dropped.
    pub(crate) async fn run(self) {
        let client = awc::Client::builder().disable_timeout().disable_redirects().finish();
        loop {
            let limit = Duration::from_millis(LIST_TIMEOUT_MS);
            match timeout(limit, self.read(&client)).await.ok().flatten() {
                Some(list) => {
                    self.event_loop.send_event(RouterEvent::VmList(list));
                }
                // The previous list stays in use: an unreadable list says nothing about any VM.
                None => self.telemetry.count("vm_list.failures"),
            }
            sleep(Duration::from_millis(self.interval.as_ms())).await;
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
