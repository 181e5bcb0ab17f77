//! Starts and stops the local fleet.

use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result, anyhow, bail};
use godwitroad_base::{ClockSpan, VmName};
use godwitroad_config::{ConfigHead, check, chunks};
use godwitroad_daemon::{
    app::{self, AppHandle, AppListeners, AppOptions},
    settings::{DaemonSettings, LogLevel, LogOptions},
};
use godwitroad_peers::{PeerAddress, PeerSecret};
use godwitroad_router::{VmListing, VmState};

use super::document::{REGION, SAMPLE_MODEL, ZONES, local_document};
use crate::{EngineServer, EngineSettings, LoadedModel, PlainServer, PlatformServer};

/// The number of engines, distributed over the zones.
const ENGINE_COUNT: usize = 4;

/// The timeout for the routers to become ready.
const READY_TIMEOUT_MS: u64 = 20_000;

/// The interval at which readiness is polled.
const READY_POLL_INTERVAL_MS: u64 = 50;

/// The longest time that a graceful stop of a router may take.
const STOP_TIMEOUT_MS: u64 = 5_000;

/// The secret with which the routers of the process authenticate to each other.
const PEER_SECRET: &str = "godwitroad-local-peer-secret";

/// A running fleet; dropping it stops everything.
pub struct LocalFleet {
    /// The platform that holds the configuration and the VM list.
    pub platform: PlatformServer,
    /// The engines; they alternate between the zones.
    pub engines: Vec<EngineServer>,
    /// The plain service, a registry.
    pub registry: PlainServer,
    routers: Vec<AppHandle>,
}

impl LocalFleet {
    /// Starts the fleet and waits until its routers are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be opened or a router doesn't become ready.
    pub async fn start() -> Result<LocalFleet> {
        let platform = PlatformServer::start().context("the platform")?;
        let engine = || EngineServer::start(engine_settings()).context("an engine");
        let engines: Vec<EngineServer> =
            (0..ENGINE_COUNT).map(|_| engine()).collect::<Result<_>>()?;
        let registry = PlainServer::start("registry").context("the registry")?;
        let addresses: Vec<SocketAddr> = engines.iter().map(EngineServer::address).collect();
        let document = local_document(&addresses, registry.address());
        if let Some(error) = check(&document).first() {
            bail!("the sample configuration: {error}");
        }
        let config_chunks = chunks::split(&document)?;
        let head = ConfigHead::next(None, format!("{:032x}", 1), &config_chunks);
        platform.with_store(|store| -> Result<()> {
            for chunk in &config_chunks {
                store.put(chunk.name.store_key().as_bytes(), chunk.bytes.to_vec(), 0)?;
            }
            store.put(chunks::HEAD_KEY.as_bytes(), serde_json::to_vec(&head)?, 0)?;
            Ok(())
        })?;
        let routers = start_routers(&platform)?;
        let fleet = LocalFleet { platform, engines, registry, routers };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the routers' addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(AppHandle::caller_address).collect()
    }

    /// Returns the routers' addresses for operators.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(AppHandle::operator_address).collect()
    }

    /// Stops the routers gracefully and waits until they have ended.
    ///
    /// # Errors
    ///
    /// Returns the error with which a router ended.
    pub async fn stop(self) -> Result<()> {
        self.routers.iter().for_each(AppHandle::stop);
        let LocalFleet { routers, .. } = self;
        let wait = move || routers.iter().try_for_each(AppHandle::wait);
        actix_rt::task::spawn_blocking(wait).await?
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for address in self.operators() {
            loop {
                let reason = unready_reason(address).await;
                let Some(reason) = reason else { break };
                if Instant::now() >= deadline {
                    return Err(anyhow!("the router at {address} isn't ready: {reason}"));
                }
                actix_rt::time::sleep(Duration::from_millis(READY_POLL_INTERVAL_MS)).await;
            }
        }
        Ok(())
    }
}

// Returns the reason why a router isn't ready, or `None` if it is.
async fn unready_reason(address: SocketAddr) -> Option<String> {
    match awc::Client::default().get(format!("http://{address}/readyz")).send().await {
        Ok(response) if response.status().is_success() => None,
        Ok(mut response) => {
            let body = response.body().await.unwrap_or_default();
            Some(String::from_utf8_lossy(&body).into_owned())
        }
        Err(error) => Some(error.to_string()),
    }
}

fn engine_settings() -> EngineSettings {
    let model = LoadedModel { model: SAMPLE_MODEL.into(), version: "v1".into(), adapter: None };
    EngineSettings { models: vec![model], ..Default::default() }
}

fn start_routers(platform: &PlatformServer) -> Result<Vec<AppHandle>> {
    let open = || TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0));
    let mut listeners = Vec::new();
    let mut peers = Vec::new();
    for number in 1..=ZONES.len() {
        let group = AppListeners { callers: open()?, operators: open()?, peers: open()? };
        let vm = VmName::from(format!("local-vm-{number}"));
        let address = group.peers.local_addr()?;
        peers.push(PeerAddress { vm, region: REGION.into(), address });
        listeners.push(group);
    }
    let list = peers.iter().map(|peer| VmListing {
        vm: peer.vm.clone(),
        state: VmState::Live,
        address: Some(peer.address.to_string()),
    });
    platform.set_vm_list(list.collect());
    // Incarnations of a VM must increase. The store starts empty each time, so the time in seconds is sufficient.
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let groups = listeners.into_iter().zip(&peers).zip(ZONES);
    let routers = groups.map(|((listeners, peer), zone)| {
        let settings = DaemonSettings {
            vm: peer.vm.clone(),
            zone: zone.into(),
            region: REGION.into(),
            store: vec![platform.url()],
            vm_list: Some(format!("{}/vms", platform.url())),
            peers: peers.iter().filter(|other| other.vm != peer.vm).cloned().collect(),
            peer_secret: PeerSecret::new(PEER_SECRET),
            log: LogOptions { level: LogLevel::Error, ..Default::default() },
            balancer_wait: ClockSpan::ZERO,
            stop_limit: ClockSpan::from_ms(STOP_TIMEOUT_MS),
            ..Default::default()
        };
        app::start(AppOptions { settings, listeners, incarnation, document: None })
    });
    routers.collect()
}
