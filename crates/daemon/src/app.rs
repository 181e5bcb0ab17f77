//! A complete daemon inside a process.
//!
//! The binary starts one daemon on the addresses of its settings; tests and the local fleet start several on listeners
//! that they bound themselves. Each daemon has its own threads, so daemons in one process never block each other.

mod channels;
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
    decision::{DecisionState, RouterDecisionState},
    settings::DaemonSettings,
};

/// The bound listeners of a daemon.
#[derive(Debug)]
pub struct AppListeners {
    /// Accepts requests of callers.
    pub callers: TcpListener,
    /// Accepts admin and probe requests of operators.
    pub operators: TcpListener,
    /// Accepts connections of other routers.
    pub peers: TcpListener,
}

/// The parameters for starting a daemon.
pub struct AppOptions {
    /// The settings; their listen addresses are ignored in favor of `listeners`.
    pub settings: DaemonSettings,
    /// The listeners, already bound.
    pub listeners: AppListeners,
    /// The incarnation of the process; it must increase from start to start of the same VM.
    pub incarnation: u64,
    /// The configuration to start with; it takes precedence over `config_file` of the settings.
    pub document: Option<Arc<ConfigDocument>>,
}

/// The lifecycle phase of a daemon; phases only advance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum AppPhase {
    Running,
    /// A graceful shutdown was requested.
    Stopping,
    /// The decision state has finished all of its work.
    Drained,
    /// All threads must stop immediately.
    Aborted,
}

/// A running daemon; dropping the handle aborts it.
pub struct AppHandle {
    phase: Arc<watch::Sender<AppPhase>>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    thread: Mutex<Option<JoinHandle<anyhow::Result<()>>>>,
}

impl AppListeners {
    /// Binds the addresses that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn bind(settings: &DaemonSettings) -> anyhow::Result<AppListeners> {
        let bind = |name: &str, address: SocketAddr| {
            TcpListener::bind(address).with_context(|| format!("cannot bind {address} for {name}"))
        };
        Ok(AppListeners {
            callers: bind("callers", settings.listen.callers)?,
            operators: bind("operators", settings.listen.operators)?,
            peers: bind("peers", settings.listen.peers)?,
        })
    }
}

/// Starts a daemon with the decision state of `godwitroad_router`.
///
/// # Errors
///
/// Returns an error if a file, a socket or the telemetry cannot be opened.
pub fn start(options: AppOptions) -> anyhow::Result<AppHandle> {
    let settings = &options.settings;
    let own_address = options.listeners.peers.local_addr()?;
    let fleet = (!settings.store.is_empty()).then(|| FleetSettings {
        address: settings.peer_address.unwrap_or(own_address).to_string(),
        ..Default::default()
    });
    let state = RouterDecisionState::new(RouterSettings {
        node: NodeId::new(settings.vm.clone(), options.incarnation),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        seed: settings.seed,
        fleet,
        ..Default::default()
    });
    start_with(options, Box::new(state))
}

/// Starts a daemon with the given decision state.
///
/// # Errors
///
/// Returns an error if a file, a socket or the telemetry cannot be opened.
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
        // The thread ended before it reported that it started; its result holds the error.
        Err(_) => match thread.join() {
            Ok(Err(error)) => Err(error),
            Ok(Ok(())) | Err(_) => Err(anyhow!("the daemon ended during startup")),
        },
    }
}

/// Reads and validates a configuration file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or parsed; an invalid configuration returns all validation errors.
pub fn load_document(path: &Path) -> anyhow::Result<ConfigDocument> {
    let bytes = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    let document = godwitroad_config::parse(&bytes)
        .with_context(|| format!("{} is not a valid configuration", path.display()))?;
    let errors = godwitroad_config::check(&document);
    if errors.is_empty() {
        return Ok(document);
    }
    let lines: Vec<String> = errors.iter().map(|error| format!("\n    {error}")).collect();
    Err(anyhow!("{} has {} errors:{}", path.display(), lines.len(), lines.concat()))
}

impl AppHandle {
    /// Returns the address on which the daemon accepts callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which the daemon accepts operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address on which the daemon accepts other routers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Requests a graceful shutdown without waiting for it.
    pub fn stop(&self) {
        channels::advance_phase(&self.phase, AppPhase::Stopping);
    }

    /// Stops the daemon immediately; running requests are cut as in a crash.
    pub fn abort(&self) {
        channels::advance_phase(&self.phase, AppPhase::Aborted);
    }

    /// Blocks the calling thread until the daemon has ended.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the daemon.
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
    /// Aborts the daemon, so that its threads do not outlive the handle.
    fn drop(&mut self) {
        self.abort();
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
