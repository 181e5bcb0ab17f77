//! The threads and servers of a daemon, from startup to shutdown.

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

use super::{AppListeners, AppOptions, AppPhase, channels::AdapterChannels};
use crate::{
    admin,
    decision::DecisionState,
    event_loop::{EventLoopContext, EventLoopHandle, LoopInput},
    peering::{RouterMessage, report_counters},
    reply::{self, CallerContext},
    settings::DaemonSettings,
    store::StoreAdapter,
    target::{TargetWorker, run_pollers},
    telemetry::NodeTelemetry,
    tls::{self, ReloadableCertificate},
    vm_list::VmListPoller,
};

/// How long the HTTP servers may take to finish responses once the decision state has drained.
const SERVER_STOP_TIMEOUT_S: u64 = 5;

/// Deadline for receiving a request head; it bounds how long a slow client can occupy a connection.
const HEAD_TIMEOUT_MS: u64 = 10_000;

/// How long an idle connection of a caller is kept open.
const CALLER_KEEP_ALIVE_S: u64 = 75;

/// Runs a daemon on the current thread until it ends.
pub(super) fn run(
    options: AppOptions,
    state: Box<dyn DecisionState>,
    phase: &Arc<watch::Sender<AppPhase>>,
    started: &Sender<()>,
) -> anyhow::Result<()> {
    // The exporter uses a blocking HTTP client, which must not be created inside the asynchronous runtime.
    let telemetry = Arc::new(NodeTelemetry::open(&options.settings)?);
    let result = System::new().block_on(run_servers(options, state, phase, started, &telemetry));
    telemetry.close();
    result
}

async fn run_servers(
    options: AppOptions,
    state: Box<dyn DecisionState>,
    phase: &Arc<watch::Sender<AppPhase>>,
    started: &Sender<()>,
    telemetry: &Arc<NodeTelemetry>,
) -> anyhow::Result<()> {
    let AppOptions { settings, listeners, incarnation, document } = options;
    let (event_loop, queue) = EventLoopHandle::new();
    let target_tls = settings.target_ca.as_deref().map(tls::target_config).transpose()?;
    let target_tls = target_tls.map(Arc::new);
    let certificate = settings.tls.clone().map(ReloadableCertificate::open).transpose()?;
    let AppListeners { callers, operators, peers } = listeners;
    let caller_server =
        serve_callers(&settings, &event_loop, telemetry, callers, certificate.as_ref())?;
    let operator_server = serve_operators(&event_loop, operators)?;
    let hub = open_peers(&settings, incarnation, &event_loop, peers)?;
    actix_rt::spawn(report_counters(hub.counters(), telemetry.clone()));
    let mut arbiters = Vec::new();
    let channels =
        open_channels(&settings, &event_loop, telemetry, &hub, target_tls, phase, &mut arbiters);
    let loop_context = EventLoopContext {
        state,
        sink: Box::new(channels),
        clock: NodeClock::start(),
        handle: event_loop.clone(),
    };
    let (loop_ending, mut loop_end) = oneshot::channel();
    arbiters[0].spawn_fn(move || {
        actix_rt::spawn(async move {
            crate::event_loop::run(loop_context, queue).await;
            let _ = loop_ending.send(());
        });
    });
    if let Some(document) = document {
        event_loop.send_event(RouterEvent::Configure { generation: 1, document });
    }
    spawn_background_tasks(&settings, &event_loop, telemetry, certificate);
    telemetry.info("started");
    // A send error means that the starting thread no longer waits; the phase then ends the daemon.
    let _ = started.send(());
    let loop_failed = tokio::select! {
        () = await_shutdown(&settings, &event_loop, telemetry, phase) => false,
        // Before `Shutdown` is sent, the event loop ends only by a panic.
        _ = &mut loop_end => true,
    };
    let graceful = !loop_failed && *phase.borrow() < AppPhase::Aborted;
    caller_server.stop(graceful).await;
    operator_server.stop(graceful).await;
    event_loop.send(LoopInput::Shutdown);
    let loop_ended = !loop_failed && loop_end.await.is_ok();
    arbiters.iter().for_each(|arbiter| {
        arbiter.stop();
    });
    telemetry.info("ended");
    if loop_ended { Ok(()) } else { Err(anyhow!("the decision state panicked")) }
}

fn serve_callers(
    settings: &DaemonSettings,
    event_loop: &EventLoopHandle,
    telemetry: &Arc<NodeTelemetry>,
    listener: TcpListener,
    certificate: Option<&Arc<ReloadableCertificate>>,
) -> anyhow::Result<ServerHandle> {
    let context = web::Data::new(CallerContext {
        event_loop: event_loop.clone(),
        telemetry: telemetry.clone(),
        connections: AtomicU64::new(1),
        max_body_bytes: settings.max_body_bytes,
    });
    let event_loop = web::Data::new(event_loop.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(context.clone())
            .app_data(event_loop.clone())
            .configure(admin::add_probe_routes)
            .route("/v1/models", web::get().to(reply::models))
            .default_service(web::to(reply::handle_request))
    })
    .workers(settings.caller_threads)
    .client_request_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
    .keep_alive(Duration::from_secs(CALLER_KEEP_ALIVE_S))
    // A half-closed connection means that the caller disconnected: end its work instead of continuing it unobserved.
    .h1_allow_half_closed(false)
    .tcp_nodelay(true)
    .shutdown_timeout(SERVER_STOP_TIMEOUT_S)
    .disable_signals();
    let server = match certificate {
        Some(certificate) => server.listen_rustls_0_23(listener, certificate.server_config()?)?,
        None => server.listen(listener)?,
    };
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn serve_operators(
    event_loop: &EventLoopHandle,
    listener: TcpListener,
) -> anyhow::Result<ServerHandle> {
    let event_loop = web::Data::new(event_loop.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(event_loop.clone())
            .wrap(middleware::DefaultHeaders::new().add(("cache-control", "no-store")))
            .configure(admin::add_probe_routes)
            .configure(admin::add_admin_routes)
    })
    .workers(1)
    .shutdown_timeout(SERVER_STOP_TIMEOUT_S)
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
    event_loop: &EventLoopHandle,
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
    let event_loop = event_loop.clone();
    let server = PeerServer::<RouterMessage>::new(peer_settings, hub.counters(), move |envelope| {
        let (from, message) = (envelope.from, envelope.message.0);
        event_loop.send_event(RouterEvent::Peer { from, message });
    });
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener).context("listener for peers")?;
    actix_rt::spawn(server.run(listener));
    Ok(hub)
}

fn open_channels(
    settings: &DaemonSettings,
    event_loop: &EventLoopHandle,
    telemetry: &Arc<NodeTelemetry>,
    hub: &Arc<PeerHub<RouterMessage>>,
    tls: Option<Arc<ClientConfig>>,
    phase: &Arc<watch::Sender<AppPhase>>,
    arbiters: &mut Vec<Arbiter>,
) -> AdapterChannels {
    let mut targets = Vec::new();
    for _ in 0..settings.target_threads {
        let (sender, commands) = unbounded_channel();
        let (tls, event_loop, telemetry) = (tls.clone(), event_loop.clone(), telemetry.clone());
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || {
            let worker = TargetWorker::new(tls.as_ref(), event_loop, telemetry);
            actix_rt::spawn(worker.run(commands));
        });
        arbiters.push(arbiter);
        targets.push(sender);
    }
    let arbiter = Arbiter::new();
    let (poll_lists, poll_list_queue) = unbounded_channel();
    let (load_poll_interval, poll_event_loop, poll_telemetry) =
        (settings.load_poll_interval, event_loop.clone(), telemetry.clone());
    arbiter.spawn_fn(move || {
        actix_rt::spawn(run_pollers(
            tls,
            poll_event_loop,
            poll_telemetry,
            load_poll_interval,
            poll_list_queue,
        ));
    });
    let store = (!settings.store.is_empty()).then(|| {
        let (sender, calls) = unbounded_channel();
        let addresses = settings.store.clone();
        let (event_loop, telemetry) = (event_loop.clone(), telemetry.clone());
        arbiter.spawn_fn(move || {
            actix_rt::spawn(StoreAdapter::new(addresses, event_loop, telemetry).run(calls));
        });
        sender
    });
    arbiters.push(arbiter);
    AdapterChannels {
        targets,
        poll_lists,
        store,
        configured_peers: settings.peers.clone(),
        hub: hub.clone(),
        event_loop: event_loop.clone(),
        telemetry: telemetry.clone(),
        phase: phase.clone(),
    }
}

fn spawn_background_tasks(
    settings: &DaemonSettings,
    event_loop: &EventLoopHandle,
    telemetry: &Arc<NodeTelemetry>,
    certificate: Option<Arc<ReloadableCertificate>>,
) {
    if let Some(url) = settings.vm_list.clone() {
        let poller = VmListPoller {
            url,
            interval: settings.vm_list_poll_interval,
            event_loop: event_loop.clone(),
            telemetry: telemetry.clone(),
        };
        actix_rt::spawn(poller.run());
    }
    if let (Some(certificate), Some(settings)) = (certificate, &settings.tls) {
        actix_rt::spawn(watch_certificate(
            certificate,
            settings.reload_interval.as_ms(),
            telemetry.clone(),
        ));
    }
}

async fn watch_certificate(
    certificate: Arc<ReloadableCertificate>,
    reload_ms: u64,
    telemetry: Arc<NodeTelemetry>,
) {
    let mut failing = false;
    loop {
        sleep(Duration::from_millis(reload_ms)).await;
        match certificate.reload() {
            Ok(true) => telemetry.info("certificate reloaded"),
            Ok(false) => {}
            Err(error) if !failing => {
                telemetry
                    .warn(&format!("certificate reload failed; keeping the previous one: {error}"));
                failing = true;
                continue;
            }
            Err(_) => continue,
        }
        failing = false;
    }
}

/// Waits until the daemon must end; performs the steps of a graceful shutdown.
async fn await_shutdown(
    settings: &DaemonSettings,
    event_loop: &EventLoopHandle,
    telemetry: &Arc<NodeTelemetry>,
    phase: &Arc<watch::Sender<AppPhase>>,
) {
    let mut phases = phase.subscribe();
    // The caller of this function holds the sender, so waiting cannot fail.
    let _ = phases.wait_for(|phase| *phase >= AppPhase::Stopping).await;
    if *phases.borrow() != AppPhase::Stopping {
        return;
    }
    event_loop.begin_stop();
    let limit = settings.balancer_wait + settings.stop_limit;
    event_loop.send_event(RouterEvent::PrepareStop { limit });
    telemetry.info("stopping: waiting for the load balancer to stop sending requests");
    let balancer_wait = Duration::from_millis(settings.balancer_wait.as_ms());
    if timeout(balancer_wait, phases.wait_for(|phase| *phase == AppPhase::Aborted)).await.is_ok() {
        return;
    }
    event_loop.send_event(RouterEvent::Stop);
    telemetry.info("stopping: finishing requests");
    let stop_limit = Duration::from_millis(settings.stop_limit.as_ms());
    if timeout(stop_limit, phases.wait_for(|phase| *phase >= AppPhase::Drained)).await.is_err() {
        telemetry.warn("stopping: time limit reached; aborting the remaining requests");
    }
}
