//! The binary of the router daemon.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        mpsc::{Receiver, Sender, channel},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use actix_rt::signal::unix::{SignalKind, signal};
use anyhow::Context as _;
use argh::FromArgs;
use godwitroad_daemon::{
    app::{self, AppHandle, AppListeners, AppOptions},
    settings::DaemonSettings,
};

/// Routes language-model traffic from callers to targets.
#[derive(FromArgs)]
struct DaemonArguments {
    /// the settings file (JSON)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and the files that they name, and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("godwitroad: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &DaemonArguments) -> anyhow::Result<()> {
    let settings = DaemonSettings::load(&arguments.settings)?;
    settings.check_files()?;
    if arguments.check {
        println!("the settings are in order");
        return Ok(());
    }
    let listeners = AppListeners::bind(&settings)?;
    // A later start has a later time; the platform gives no other number that grows.
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).context("the clock is unset")?;
    let incarnation = u64::try_from(incarnation.as_millis()).context("the clock is unset")?;
    let (installed, installing) = channel();
    let (handles, stoppers) = channel();
    std::thread::spawn(move || await_signals(&installed, &stoppers));
    // A signal during the start must lead to a planned stop too, so that the handlers come first.
    installing.recv().context("the signal handlers can't be installed")?;
    let handle =
        Arc::new(app::start(AppOptions { settings, listeners, incarnation, document: None })?);
    // The thread waits for the handle for as long as the process lives.
    let _ = handles.send(handle.clone());
    handle.wait()
}

/// Turns the first signal into a planned stop and the second into an immediate end.
fn await_signals(installed: &Sender<()>, handles: &Receiver<Arc<AppHandle>>) {
    actix_rt::System::new().block_on(async {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else { return };
        let _ = installed.send(());
        let Ok(handle) = handles.recv() else { return };
        for ends in [false, true] {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if ends { handle.kill() } else { handle.stop() }
        }
    });
}
