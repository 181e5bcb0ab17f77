//! The threads and servers of a daemon, from start to stop.

use std::{
    net::TcpListener,
    sync::{Arc, atomic::AtomicU64, mpsc::Sender},
    time::Duration,
};

use actix_rt::{Arbiter, System};
use actix_web::{App, HttpServer, dev::ServerHandle, middleware, web};
use anyhow::{Context as _, anyhow};
use godwitroad_base::NodeId;
use godwitroad_frontend::NodeClock;
use godwitroad_peers::{PeerHub, PeerServer, PeerSettings};
use godwitroad_router::RouterEvent;
use rustls::ClientConfig;
use tokio::{
    runtime::Handle,
    sync::{mpsc::unbounded_channel, oneshot, watch},
    time::{sleep, timeout},
};

use super::{AppListeners, AppOptions, AppPhase, ports::AppPorts};
use crate::{
    core::{CoreHandle, CoreInput, CoreLoop},
    decision::DecisionState,
    operators,
    peering::{RouterMessage, report_counters},
    reply::{self, CallerContext},
    settings::DaemonSettings,
    store::StoreAdapter,
    target::{TargetWorker, run_pollers},
    telemetry::NodeTelemetry,
    tls::{self, CertificateSlot},
    vms::VmReader,
};

/// The time that servers get to finish responses when the state has nothing left to do.
const SERVER_STOP_S: u64 = 5;

/// The time within which a caller's request head must come; a slower caller may only want to hold a connection.
const HEAD_LIMIT_MS: u64 = 10_000;

/// The time for which an idle caller's connection is kept.
const CALLER_KEEP_ALIVE_S: u64 = 75;

/// Runs a daemon on this thread until it ends.
pub(super) fn run(
    options: AppOptions,
    state: Box<dyn DecisionState>,
    phase: &Arc<watch::Sender<AppPhase>>,
    started: &Sender<()>,
) -> anyhow::Result<()> {
    // The exporter's blocking client must be built outside the asynchronous runtime.
    let telemetry = Arc::new(NodeTelemetry::open(&options.settings)?);
    let result = System::new().block_on(run_parts(options, state, phase, started, &telemetry));
    telemetry.close();
    result
}

async fn run_parts(
    options: AppOptions,
    state: Box<dyn DecisionState>,
    phase: &Arc<watch::Sender<AppPhase>>,
    started: &Sender<()>,
    telemetry: &Arc<NodeTelemetry>,
) -> anyhow::Result<()> {
    let AppOptions { settings, listeners, incarnation, document } = options;
    let (core, queue) = CoreHandle::new();
    let target_tls = settings.target_ca.as_deref().map(tls::target_config).transpose()?;
    let target_tls = target_tls.map(Arc::new);
    let slot = settings.tls.clone().map(CertificateSlot::open).transpose()?;
    let AppListeners { callers, operators, peers } = listeners;
    let caller_server = serve_callers(&settings, &core, telemetry, callers, slot.as_ref())?;
    let operator_server = serve_operators(&core, operators)?;
    let hub = open_peers(&settings, incarnation, &core, peers)?;
    actix_rt::spawn(report_counters(hub.counters(), telemetry.clone()));
    let mut arbiters = Vec::new();
    let ports = open_ports(&settings, &core, telemetry, &hub, target_tls, phase, &mut arbiters);
    let core_loop =
        CoreLoop { state, ports: Box::new(ports), clock: NodeClock::start(), handle: core.clone() };
    let (core_ending, mut core_end) = oneshot::channel();
    arbiters[0].spawn_fn(move || {
        actix_rt::spawn(async move {
            crate::core::run(core_loop, queue).await;
            let _ = core_ending.send(());
        });
    });
    if let Some(document) = document {
        core.event(RouterEvent::Configure { generation: 1, document });
    }
    spawn_readers(&settings, &core, telemetry, slot);
    telemetry.info("started");
    // The starter may have given up; the phase then says so.
    let _ = started.send(());
    let core_failed = tokio::select! {
        () = await_end(&settings, &core, telemetry, phase) => false,
        // The core ends before it is told to only by a panic.
        _ = &mut core_end => true,
    };
    let graceful = !core_failed && *phase.borrow() < AppPhase::Ended;
    caller_server.stop(graceful).await;
    operator_server.stop(graceful).await;
    core.send(CoreInput::Shutdown);
    let core_ended = !core_failed && core_end.await.is_ok();
    arbiters.iter().for_each(|arbiter| {
        arbiter.stop();
    });
    telemetry.info("ended");
    if core_ended { Ok(()) } else { Err(anyhow!("the decision state panicked")) }
}

fn serve_callers(
    settings: &DaemonSettings,
    core: &CoreHandle,
    telemetry: &Arc<NodeTelemetry>,
    listener: TcpListener,
    slot: Option<&Arc<CertificateSlot>>,
) -> anyhow::Result<ServerHandle> {
    let context = web::Data::new(CallerContext {
        core: core.clone(),
        telemetry: telemetry.clone(),
        connections: AtomicU64::new(1),
        max_body_bytes: settings.max_body_bytes,
    });
    let core = web::Data::new(core.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(context.clone())
            .app_data(core.clone())
            .configure(operators::add_probes)
            .route("/v1/models", web::get().to(reply::models))
            .default_service(web::to(reply::relay))
    })
    .workers(settings.caller_threads)
    .client_request_timeout(Duration::from_millis(HEAD_LIMIT_MS))
    .keep_alive(Duration::from_secs(CALLER_KEEP_ALIVE_S))
    // A caller who closes its side has left; its work must not go on unseen.
    .h1_allow_half_closed(false)
    .tcp_nodelay(true)
    .shutdown_timeout(SERVER_STOP_S)
    .disable_signals();
    let server = match slot {
        Some(slot) => server.listen_rustls_0_23(listener, slot.server_config()?)?,
        None => server.listen(listener)?,
    };
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn serve_operators(core: &CoreHandle, listener: TcpListener) -> anyhow::Result<ServerHandle> {
    let core = web::Data::new(core.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(core.clone())
            .wrap(middleware::DefaultHeaders::new().add(("cache-control", "no-store")))
            .configure(operators::add_probes)
            .configure(operators::add_admin)
    })
    .workers(1)
    .shutdown_timeout(SERVER_STOP_S)
    .disable_signals()
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn open_peers(
    settings: &DaemonSettings,
    incarnation: u64,
    core: &CoreHandle,
    listener: TcpListener,
) -> anyhow::Result<Arc<PeerHub<RouterMessage>>> {
    let peer_settings = PeerSettings {
        node: NodeId::new(settings.vm.clone(), incarnation),
        region: settings.region.clone(),
        secret: settings.peer_secret.clone(),
        seed: settings.seed,
        ..Default::default()
    };
    let hub = Arc::new(PeerHub::new(peer_settings.clone(), Handle::current()));
    hub.set_peers(settings.peers.clone());
    let core = core.clone();
    let server = PeerServer::<RouterMessage>::new(peer_settings, hub.counters(), move |envelope| {
        let (from, message) = (envelope.from, envelope.message.0);
        core.event(RouterEvent::Peer { from, message });
    });
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener).context("listener for peers")?;
    actix_rt::spawn(server.run(listener));
    Ok(hub)
}

fn open_ports(
    settings: &DaemonSettings,
    core: &CoreHandle,
    telemetry: &Arc<NodeTelemetry>,
    hub: &Arc<PeerHub<RouterMessage>>,
    tls: Option<Arc<ClientConfig>>,
    phase: &Arc<watch::Sender<AppPhase>>,
    arbiters: &mut Vec<Arbiter>,
) -> AppPorts {
    let mut targets = Vec::new();
    for _ in 0..settings.target_threads {
        let (sender, commands) = unbounded_channel();
        let (tls, core, telemetry) = (tls.clone(), core.clone(), telemetry.clone());
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || {
            let worker = TargetWorker::new(tls.as_ref(), core, telemetry);
            actix_rt::spawn(worker.run(commands));
        });
        arbiters.push(arbiter);
        targets.push(sender);
    }
    let arbiter = Arbiter::new();
    let (polls, lists) = unbounded_channel();
    let (load_poll, poll_core, poll_telemetry) =
        (settings.load_poll, core.clone(), telemetry.clone());
    arbiter.spawn_fn(move || {
        actix_rt::spawn(run_pollers(tls, poll_core, poll_telemetry, load_poll, lists));
    });
    let store = (!settings.store.is_empty()).then(|| {
        let (sender, calls) = unbounded_channel();
        let addresses = settings.store.clone();
        let (core, telemetry) = (core.clone(), telemetry.clone());
        arbiter.spawn_fn(move || {
            actix_rt::spawn(StoreAdapter::new(addresses, core, telemetry).run(calls));
        });
        sender
    });
    arbiters.push(arbiter);
    AppPorts {
        targets,
        polls,
        store,
        known: settings.peers.clone(),
        hub: hub.clone(),
        core: core.clone(),
        telemetry: telemetry.clone(),
        phase: phase.clone(),
    }
}

fn spawn_readers(
    settings: &DaemonSettings,
    core: &CoreHandle,
    telemetry: &Arc<NodeTelemetry>,
    slot: Option<Arc<CertificateSlot>>,
) {
    if let Some(url) = settings.vm_list.clone() {
        let reader = VmReader {
            url,
            poll: settings.vm_list_poll,
            core: core.clone(),
            telemetry: telemetry.clone(),
        };
        actix_rt::spawn(reader.run());
    }
    if let (Some(slot), Some(settings)) = (slot, &settings.tls) {
        actix_rt::spawn(watch_certificate(slot, settings.reload.as_ms(), telemetry.clone()));
    }
}

async fn watch_certificate(
    slot: Arc<CertificateSlot>,
    reload_ms: u64,
    telemetry: Arc<NodeTelemetry>,
) {
    let mut failing = false;
    loop {
        sleep(Duration::from_millis(reload_ms)).await;
        match slot.reload() {
            Ok(true) => telemetry.info("the certificate was renewed"),
            Ok(false) => {}
            Err(error) if !failing => {
                telemetry.warn(&format!("the certificate can't be renewed: {error}"));
                failing = true;
                continue;
            }
            Err(_) => continue,
        }
        failing = false;
    }
}

/// Waits for the end of the daemon, and leads it through a planned stop.
async fn await_end(
    settings: &DaemonSettings,
    core: &CoreHandle,
    telemetry: &Arc<NodeTelemetry>,
    phase: &Arc<watch::Sender<AppPhase>>,
) {
    let mut phases = phase.subscribe();
    // The sender is held by this function's caller, so that waiting can't fail.
    let _ = phases.wait_for(|phase| *phase >= AppPhase::Stopping).await;
    if *phases.borrow() != AppPhase::Stopping {
        return;
    }
    core.begin_stop();
    telemetry.info("stopping: waiting for the load balancer");
    let balancer_wait = Duration::from_millis(settings.balancer_wait.as_ms());
    if timeout(balancer_wait, phases.wait_for(|phase| *phase == AppPhase::Ended)).await.is_ok() {
        return;
    }
    core.event(RouterEvent::Stop);
    telemetry.info("stopping: finishing requests");
    let limit = Duration::from_millis(settings.stop_limit.as_ms());
    if timeout(limit, phases.wait_for(|phase| *phase >= AppPhase::Drained)).await.is_err() {
        telemetry.warn("stopping: the time limit is over; the remaining requests are cut");
    }
}
