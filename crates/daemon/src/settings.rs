//! The daemon's settings, read from a JSON file.
//!
//! An operator who starts a fleet by script should see all errors of a file in one run. Each field is therefore read
//! separately, and every error is collected with its JSON path.

mod check;
mod read;

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use godwitroad_base::{ClockSpan, RegionName, VmName, ZoneName};
use godwitroad_peers::{PeerAddress, PeerSecret};
use serde_json::Value;
use thiserror::Error;

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The name of the VM on which the daemon runs.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
    /// The addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// The base URLs of the store; empty for a daemon without a store.
    pub store: Vec<String>,
    /// The URL of the platform's VM list.
    pub vm_list: Option<String>,
    /// The address advertised to peers, if it differs from the listen address.
    pub peer_address: Option<SocketAddr>,
    /// Peers that are known in addition to the VM list.
    pub peers: Vec<PeerAddress>,
    /// The secret that all routers share; it authenticates the links between them.
    pub peer_secret: PeerSecret,
    /// The level and format of the log.
    pub log: LogOptions,
    /// The statsd address; without it no metrics are sent.
    pub metrics_address: Option<SocketAddr>,
    /// The base URL of the OTLP collector; without it no traces are exported.
    pub otlp_address: Option<String>,
    /// The server certificate; without it callers use plain HTTP.
    pub tls: Option<TlsSettings>,
    /// The certificate authority of the targets; without it targets are called over plain HTTP.
    pub target_ca: Option<PathBuf>,
    /// The seed of all random choices.
    pub seed: u64,
    /// A configuration file, for a daemon without a store.
    pub config_file: Option<PathBuf>,
    /// How long a stopping daemon reports "not ready" before the decision state is stopped, so that the load balancer
    /// can move callers away.
    pub balancer_wait: ClockSpan,
    /// The time limit of a graceful shutdown, after the load balancer wait; remaining requests are then aborted.
    pub stop_limit: ClockSpan,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The number of threads that serve callers.
    pub caller_threads: usize,
    /// The number of threads that run attempts at targets; the first one also runs the event loop.
    pub target_threads: usize,
    /// The interval between two reads of a target's load.
    pub load_poll_interval: ClockSpan,
    /// The interval between two reads of the VM list.
    pub vm_list_poll_interval: ClockSpan,
}

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Accepts requests of callers.
    pub callers: SocketAddr,
    /// Accepts admin and probe requests of operators.
    pub operators: SocketAddr,
    /// Accepts connections of other routers.
    pub peers: SocketAddr,
}

/// The level and format of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogOptions {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The format of a line.
    pub format: LogFormat,
}

/// The levels of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogLevel {
    /// Failures that require an operator.
    Error,
    /// Also conditions that may become failures.
    Warn,
    /// Also ordinary state changes.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
}

/// The formats of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The server certificate for connections of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// The path of the certificate chain in PEM format.
    pub certificate: PathBuf,
    /// The path of the private key in PEM format.
    pub key: PathBuf,
    /// The interval at which the files are checked for a renewed certificate.
    pub reload_interval: ClockSpan,
}

/// One error in the settings.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InvalidSetting {
    /// The JSON path, such as `$.listen.callers`.
    pub path: String,
    /// Why the value is invalid.
    pub reason: String,
}

/// The error of reading settings: all invalid values.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub struct SettingsError(pub Vec<InvalidSetting>);

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

impl DaemonSettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every error in the file, or one error at `$` if the file cannot be read or is not JSON.
    pub fn load(path: &Path) -> Result<DaemonSettings> {
        let file_error =
            |reason: String| SettingsError(vec![InvalidSetting { path: "$".to_string(), reason }]);
        let text = std::fs::read_to_string(path)
            .map_err(|error| file_error(format!("cannot read the file: {error}")))?;
        let value: Value = serde_json::from_str(&text)
            .map_err(|error| file_error(format!("not valid JSON: {error}")))?;
        DaemonSettings::from_json(&value)
    }

    /// Reads settings from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns every error in the value.
    pub fn from_json(value: &Value) -> Result<DaemonSettings> {
        read::read_settings(value)
    }

    /// Checks the files that the settings refer to.
    ///
    /// # Errors
    ///
    /// Returns one error for each file that is missing or unusable.
    pub fn check_files(&self) -> Result<()> {
        check::check_files(self)
    }
}

impl Default for DaemonSettings {
    fn default() -> DaemonSettings {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        DaemonSettings {
            vm: "vm-1".into(),
            zone: "zone-a".into(),
            region: "region-a".into(),
            listen: ListenSettings { callers: any_port, operators: any_port, peers: any_port },
            store: Vec::new(),
            vm_list: None,
            peer_address: None,
            peers: Vec::new(),
            peer_secret: PeerSecret::new(""),
            log: LogOptions::default(),
            metrics_address: None,
            otlp_address: None,
            tls: None,
            target_ca: None,
            seed: 1,
            config_file: None,
            balancer_wait: ClockSpan::from_secs(5),
            stop_limit: ClockSpan::from_secs(120),
            max_body_bytes: 8 << 20,
            caller_threads: 2,
            target_threads: 1,
            load_poll_interval: ClockSpan::from_ms(500),
            vm_list_poll_interval: ClockSpan::from_secs(1),
        }
    }
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.reason)
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} errors in the settings", self.0.len())?;
        self.0.iter().try_for_each(|invalid| write!(formatter, "\n  {invalid}"))
    }
}
