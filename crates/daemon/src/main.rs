//! The `godwitroad` binary: reads the settings, starts one daemon and handles signals.

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
        println!("the settings are valid");
        return Ok(());
    }
    let listeners = AppListeners::bind(&settings)?;
    // Incarnations must increase from start to start, and the platform provides no other increasing number.
    let incarnation =
        SystemTime::now().duration_since(UNIX_EPOCH).context("the system clock is before 1970")?;
    let incarnation =
        u64::try_from(incarnation.as_millis()).context("the system clock is out of range")?;
    let (report_installed, handlers_ready) = channel();
    let (handles, handle_receiver) = channel();
    std::thread::spawn(move || await_signals(&report_installed, &handle_receiver));
    // Install the handlers before the daemon starts, so that a signal during startup also shuts it down gracefully.
    handlers_ready.recv().context("failed to install the signal handlers")?;
    let handle =
        Arc::new(app::start(AppOptions { settings, listeners, incarnation, document: None })?);
    // The signal thread waits for the handle for as long as the process lives.
    let _ = handles.send(handle.clone());
    handle.wait()
}

/// Shuts down gracefully on the first SIGTERM or SIGINT and aborts on the second.
fn await_signals(report_installed: &Sender<()>, handles: &Receiver<Arc<AppHandle>>) {
    actix_rt::System::new().block_on(async {
        let terminate = signal(SignalKind::terminate());
        let interrupt = signal(SignalKind::interrupt());
        let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else { return };
        let _ = report_installed.send(());
        let Ok(handle) = handles.recv() else { return };
        for is_second in [false, true] {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if is_second { handle.abort() } else { handle.stop() }
        }
    });
}
