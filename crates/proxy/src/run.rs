//! The lifecycle of a proxy process: start, reload of the settings, and graceful stop.

use std::{future::Future, time::SystemTime};

use actix_rt::{System, spawn};
use anyhow::{Context as _, Result, anyhow};
use godwitroad_base::ClockSpan;
use godwitroad_forward::{ForwardEvent, ForwardState, StopPhase, StopSchedule};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::timeout_at,
};

use crate::{
    config_sync,
    core::{ProxyCore, SharedCore},
    feeds, gossip, order_lease, origins,
    platform::PlatformAdapter,
    relay, serve,
    settings::ProxySettings,
    store,
    supervision::run_supervised,
    telemetry::NodeLog,
};

/// The longest time for releasing the order lease before the process exits.
const RELEASE_TIMEOUT: ClockSpan = ClockSpan::from_ms(200);

/// The interval at which a stopping router checks whether it has finished.
const STOP_CHECK_INTERVAL: ClockSpan = ClockSpan::from_ms(50);

/// The interval at which the settings are checked for a change that no signal announced.
const SETTINGS_CHECK_INTERVAL: ClockSpan = ClockSpan::from_ms(2_000);

/// Runs a proxy until it receives SIGTERM and has stopped.
///
/// # Errors
///
/// Returns an error if the settings can't be read or a listener can't be opened.
pub fn run<P: PlatformAdapter>(platform: P) -> Result<()> {
    let settings = platform.load_settings().context("the settings can't be read")?;
    let log = NodeLog::open(settings.forward.place.vm.as_str())?;
    let result = System::new().block_on(run_tasks(platform, settings, log.clone()));
    if let Err(error) = &result {
        log.warn("failed", &format!("error={error:#}"));
    }
    log.flush();
    result
}

async fn run_tasks<P: PlatformAdapter>(
    platform: P,
    settings: ProxySettings,
    log: NodeLog,
) -> Result<()> {
    let callers = serve::bind_http(settings.callers)?;
    let ready = serve::bind_http(settings.ready)?;
    let metrics = serve::bind_http(settings.metrics)?;
    let gossip_socket = gossip::open(settings.peers).await;
    let gossip_socket =
        gossip_socket.with_context(|| format!("can't open {} for gossip", settings.peers))?;
    let relays = serve::bind(settings.peers).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    log.event("started", &describe(&settings));
    let core = ProxyCore::new(platform, settings, log);
    start_task(&core, "store", store::run);
    start_task(&core, "store_entry", store::maintain_entry);
    start_task(&core, "config_sync", config_sync::run);
    let socket = gossip_socket.clone();
    start_task(&core, "gossip_receiver", move |core| gossip::run_receiver(core, socket.clone()));
    start_task(&core, "gossip_sender", move |core| gossip::run_sender(core, gossip_socket.clone()));
    start_task(&core, "feeds", feeds::run);
    start_task(&core, "origins", origins::run);
    spawn(serve::serve_ready(core.clone(), ready));
    spawn(serve::serve_metrics(core.clone(), metrics));
    spawn(serve::serve_callers(core.clone(), callers));
    spawn(relay::serve_peers(core.clone(), relays));
    spawn(watch_settings(core.clone(), hangup));
    terminate.recv().await.ok_or_else(|| anyhow!("the signals can't be received"))?;
    stop(&core).await;
    Ok(())
}

// Starts a task that lasts as long as the process and continues after a panic.
fn start_task<P: PlatformAdapter, F>(
    core: &SharedCore<P>,
    name: &'static str,
    task: impl Fn(SharedCore<P>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let (core, reporter) = (core.clone(), core.clone());
    let report = move |message: &str| {
        reporter.metrics.count("tasks.panicked", 1);
        reporter.log.warn("task_panicked", &format!("task={name} message={message}"));
    };
    spawn(async move { run_supervised(move || task(core.clone()), report).await });
}

fn describe(settings: &ProxySettings) -> String {
    let place = &settings.forward.place;
    format!(
        "vm={} zone={} callers={} ready={} peers={} metrics={} incarnation={} proof_span_ms={} window_ms={} restarted={}",
        place.vm,
        place.zone,
        settings.callers,
        settings.ready,
        settings.peers,
        settings.metrics,
        settings.forward.incarnation,
        settings.forward.contact.proof_span.as_ms(),
        settings.forward.allowance.window.as_ms(),
        settings.forward.allowance.restarted,
    )
}

// Reports the router as not ready, so that the balancer removes it, and then completes the open requests.
async fn stop<P: PlatformAdapter>(core: &SharedCore<P>) {
    let started = core.now();
    let grace = core.settings.borrow().grace;
    let detail = format!("open_requests={} grace_ms={}", core.open_requests.get(), grace.as_ms());
    core.log.event("stopping", &detail);
    core.handle(ForwardEvent::Stop { grace });
    core.send_gossip.notify_one();
    let leaving = core.clone();
    spawn(async move { store::deregister(&leaving).await });
    while let StopPhase::Draining(schedule) = core.read(ForwardState::stop_phase) {
        if !advance_stop(core, schedule) {
            core.sleep(STOP_CHECK_INTERVAL).await;
        }
    }
    // A store that doesn't answer must not delay the exit.
    let _ = timeout_at(core.deadline(RELEASE_TIMEOUT), order_lease::release(core)).await;
    let detail = format!(
        "after_ms={} open_requests={} open_relays={}",
        core.now().since(started).as_ms(),
        core.open_requests.get(),
        core.open_relays.get(),
    );
    core.log.event("stopped", &detail);
}

// Takes the steps of a stop that are due; returns whether the process can exit.
fn advance_stop<P: PlatformAdapter>(core: &SharedCore<P>, schedule: StopSchedule) -> bool {
    let now = core.now();
    if now >= schedule.close_idle_at {
        core.closing.send_replace(true);
    }
    if now >= schedule.answer_by && !core.answer_due.send_replace(true) {
        core.log.event("grace_over", &format!("open_requests={}", core.open_requests.get()));
    }
    let is_rolling_out = core.read(|state| state.is_rolling_out(now));
    let open = core.open_requests.get() + core.open_relays.get();
    let is_done = now >= schedule.drain_until && open == 0 && !is_rolling_out;
    let is_over = is_done || now >= schedule.exit_by;
    if is_over {
        // No request is admitted between this step and the exit, so none is cut off.
        core.handle(ForwardEvent::Drained);
    }
    is_over
}

async fn watch_settings<P: PlatformAdapter>(core: SharedCore<P>, mut hangup: Signal) {
    let mut last_modified: Option<SystemTime> = core.platform.settings_changed();
    loop {
        let hangup_received =
            timeout_at(core.deadline(SETTINGS_CHECK_INTERVAL), hangup.recv()).await;
        let modified = core.platform.settings_changed();
        if hangup_received.is_ok() || modified != last_modified {
            last_modified = modified;
            reload(&core);
        }
    }
}

fn reload<P: PlatformAdapter>(core: &SharedCore<P>) {
    let mut settings = match core.platform.load_settings() {
        Ok(settings) => settings,
        Err(error) => {
            core.log.warn(
                "reload_failed",
                &format!("error={error}; the previous settings stay in force"),
            );
            return;
        }
    };
    let previous = core.settings.borrow().clone();
    if settings.callers != previous.callers || settings.peers != previous.peers {
        core.log.warn("reload_partial", "addresses change only with a restart");
    }
    // These fields identify this run of the process and don't change while it lasts.
    settings.forward.incarnation = previous.forward.incarnation;
    settings.forward.seed = previous.forward.seed;
    settings.forward.allowance.restarted = previous.forward.allowance.restarted;
    settings.forward.term.first_start = previous.forward.term.first_start;
    core.log.event("reloaded", &describe(&settings));
    core.update(|state| state.reload(settings.forward.clone()));
    core.settings.replace(settings);
}
