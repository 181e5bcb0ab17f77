//! A whole daemon inside a process.
//!
//! The binary starts one on the addresses of its settings; a test or a local fleet starts several on listeners that
//! it hands over. Every daemon has threads of its own, so that one never waits for another.

mod ports;
mod serve;

use std::{
    fmt,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    thread::JoinHandle,
};

use anyhow::{Context as _, anyhow};
use godwitroad_base::NodeId;
use godwitroad_config::ConfigDocument;
use godwitroad_router::{FleetSettings, RouterSettings};
use tokio::sync::watch;

use crate::{
    decision::{DecisionState, FacadeState},
    settings::DaemonSettings,
};

/// The listeners of a daemon.
#[derive(Debug)]
pub struct AppListeners {
    /// The listener for callers.
    pub callers: TcpListener,
    /// The listener for operators.
    pub operators: TcpListener,
    /// The listener for other routers.
    pub peers: TcpListener,
}

/// What a daemon is started with.
pub struct AppOptions {
    /// The settings; their listen addresses aren't used.
    pub settings: DaemonSettings,
    /// The listeners.
    pub listeners: AppListeners,
    /// The incarnation of the process; it must grow from start to start of the same VM.
    pub incarnation: u64,
    /// A configuration to run with, besides the one that the settings name.
    pub document: Option<Arc<ConfigDocument>>,
}

/// How far a daemon has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum AppPhase {
    Running,
    /// A planned stop was asked for.
    Stopping,
    /// The state has nothing left to do.
    Drained,
    /// All threads must end at once.
    Ended,
}

/// A running daemon.
pub struct AppHandle {
    phase: Arc<watch::Sender<AppPhase>>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    thread: Mutex<Option<JoinHandle<anyhow::Result<()>>>>,
}

impl AppListeners {
    /// Opens the listeners that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub fn bind(settings: &DaemonSettings) -> anyhow::Result<AppListeners> {
        let bind = |name: &str, address: SocketAddr| {
            TcpListener::bind(address).with_context(|| format!("{address} for {name}"))
        };
        Ok(AppListeners {
            callers: bind("callers", settings.listen.callers)?,
            operators: bind("operators", settings.listen.operators)?,
            peers: bind("peers", settings.listen.peers)?,
        })
    }
}

/// Starts a daemon around the facade.
///
/// # Errors
///
/// Returns an error when a file, a socket or the telemetry can't be opened.
pub fn start(options: AppOptions) -> anyhow::Result<AppHandle> {
    let settings = &options.settings;
    let own_address = options.listeners.peers.local_addr()?;
    let fleet = (!settings.store.is_empty()).then(|| FleetSettings {
        address: settings.peer_address.unwrap_or(own_address).to_string(),
        ..Default::default()
    });
    let state = FacadeState::new(RouterSettings {
        node: NodeId::new(settings.vm.clone(), options.incarnation),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        seed: settings.seed,
        fleet,
        ..Default::default()
    });
    start_with(options, Box::new(state))
}

/// Starts a daemon around any decision state.
///
/// # Errors
///
/// Returns an error when a file, a socket or the telemetry can't be opened.
pub fn start_with(
    mut options: AppOptions,
    state: Box<dyn DecisionState>,
) -> anyhow::Result<AppHandle> {
    if let (None, Some(path)) = (&options.document, &options.settings.config_file) {
        options.document = Some(Arc::new(load_document(path)?));
    }
    let callers = options.listeners.callers.local_addr()?;
    let operators = options.listeners.operators.local_addr()?;
    let peers = options.listeners.peers.local_addr()?;
    let phase = Arc::new(watch::Sender::new(AppPhase::Running));
    let (started, start) = std::sync::mpsc::channel();
    let thread_phase = phase.clone();
    let thread = std::thread::Builder::new()
        .name("godwitroad".to_string())
        .spawn(move || serve::run(options, state, &thread_phase, &started))?;
    match start.recv() {
        Ok(()) => {
            let thread = Mutex::new(Some(thread));
            Ok(AppHandle { phase, callers, operators, peers, thread })
        }
        // The thread ended before it reported a start; it holds the reason.
        Err(_) => match thread.join() {
            Ok(Err(error)) => Err(error),
            Ok(Ok(())) | Err(_) => Err(anyhow!("the daemon ended while it started")),
        },
    }
}

/// Reads and checks a configuration.
///
/// # Errors
///
/// Returns an error when the file can't be read or isn't a configuration, and all mistakes of one that is.
pub fn load_document(path: &Path) -> anyhow::Result<ConfigDocument> {
    let bytes = std::fs::read(path).with_context(|| format!("{} can't be read", path.display()))?;
    let document = godwitroad_config::parse(&bytes)
        .with_context(|| format!("{} isn't a configuration", path.display()))?;
    let mistakes = godwitroad_config::check(&document);
    if mistakes.is_empty() {
        return Ok(document);
    }
    let lines: Vec<String> = mistakes.iter().map(|mistake| format!("\n    {mistake}")).collect();
    Err(anyhow!("{} has {} mistakes:{}", path.display(), lines.len(), lines.concat()))
}

impl AppHandle {
    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address for other routers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Asks for a planned stop and returns at once.
    pub fn stop(&self) {
        ports::advance(&self.phase, AppPhase::Stopping);
    }

    /// Ends the daemon at once, cutting its requests, as a crash would.
    pub fn kill(&self) {
        ports::advance(&self.phase, AppPhase::Ended);
    }

    /// Waits until the daemon has ended; blocks the calling thread.
    ///
    /// # Errors
    ///
    /// Returns the error with which the daemon ended.
    pub fn wait(&self) -> anyhow::Result<()> {
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        match thread.map(JoinHandle::join) {
            None => Ok(()),
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(anyhow!("the daemon's main thread panicked")),
        }
    }
}

impl Drop for AppHandle {
    /// Ends a daemon that nobody waits for, so that no thread outlives its owner.
    fn drop(&mut self) {
        self.kill();
    }
}

impl fmt::Debug for AppHandle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AppHandle")
            .field("callers", &self.callers)
            .field("operators", &self.operators)
            .field("peers", &self.peers)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for AppOptions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("AppOptions").field("vm", &self.settings.vm).finish_non_exhaustive()
    }
}
