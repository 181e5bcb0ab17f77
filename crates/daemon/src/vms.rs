//! The reader of the platform's VM list.
//!
//! The list also tells where peers listen, when the platform gives an address with a line; peers from the settings
//! are known without it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use godwitroad_base::{ClockSpan, RegionName, VmName};
use godwitroad_peers::{PeerAddress, PeerHub};
use godwitroad_router::{RouterEvent, VmListing};
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use crate::{core::CoreHandle, peering::RouterMessage, telemetry::NodeTelemetry};

/// The time within which the list must come.
const LIST_LIMIT_MS: u64 = 2_000;

/// The largest list; the design size has 330 VMs.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A line of the list as the platform writes it.
#[derive(Clone, Debug, Deserialize)]
struct ListLine {
    #[serde(flatten)]
    listing: VmListing,
    /// The VM's address for peers.
    #[serde(default)]
    address: Option<SocketAddr>,
    /// The region of the VM.
    #[serde(default)]
    region: Option<RegionName>,
}

/// Everything that the reader holds.
pub(crate) struct VmReader {
    pub(crate) url: String,
    pub(crate) poll: ClockSpan,
    pub(crate) own_region: RegionName,
    pub(crate) known: Vec<PeerAddress>,
    pub(crate) hub: Arc<PeerHub<RouterMessage>>,
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
                Some(lines) => self.pass_on(lines),
                // The last list stays in use: a list that can't be read says nothing about any VM.
                None => self.telemetry.count("vm_list.failures"),
            }
            sleep(Duration::from_millis(self.poll.as_ms())).await;
        }
    }

    async fn read(&self, client: &awc::Client) -> Option<Vec<ListLine>> {
        let mut response = client.get(&self.url).no_decompress().send().await.ok()?;
        if response.status().as_u16() != 200 {
            return None;
        }
        let body = response.body().limit(MAX_LIST_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn pass_on(&self, lines: Vec<ListLine>) {
        let mut peers: BTreeMap<VmName, PeerAddress> =
            self.known.iter().map(|peer| (peer.vm.clone(), peer.clone())).collect();
        for line in &lines {
            if let Some(address) = line.address {
                let vm = line.listing.vm.clone();
                let region = line.region.clone().unwrap_or_else(|| self.own_region.clone());
                peers.insert(vm.clone(), PeerAddress { vm, region, address });
            }
        }
        self.hub.set_peers(peers.into_values().collect());
        let listings = lines.into_iter().map(|line| line.listing).collect();
        self.core.event(RouterEvent::VmList(listings));
    }
}
