//! The daemon's settings, read from a JSON file.
//!
//! An operator who starts a fleet by script must see all mistakes of a file in one run, so that each field is read
//! on its own and every mistake is kept with its JSON path.

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
    /// The name of the own VM.
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
    /// The address that peers are told to use, if it isn't the one on which the daemon listens.
    pub peer_address: Option<SocketAddr>,
    /// Peers that are known without the VM list.
    pub peers: Vec<PeerAddress>,
    /// The secret that all routers share.
    pub peer_secret: PeerSecret,
    /// What is logged and how.
    pub log: LogOptions,
    /// The address of the statsd listener.
    pub metrics_address: Option<SocketAddr>,
    /// The base URL of the OTLP collector.
    pub otlp_address: Option<String>,
    /// The certificate towards callers; without it callers use plain HTTP.
    pub tls: Option<TlsSettings>,
    /// The certificate authority of the targets; without it targets are called by plain HTTP.
    pub target_ca: Option<PathBuf>,
    /// The seed of all random choices.
    pub seed: u64,
    /// A configuration to run with when there is no store.
    pub config_file: Option<PathBuf>,
    /// The time between "not ready" and the stop, in which the load balancer moves callers away.
    pub balancer_wait: ClockSpan,
    /// The longest time that a planned stop may take.
    pub stop_limit: ClockSpan,
    /// The largest request body in bytes.
    pub max_body_bytes: usize,
    /// The number of threads that serve callers.
    pub caller_threads: usize,
    /// The number of threads that talk to targets; the first one also holds the decision state.
    pub target_threads: usize,
    /// The time between two reads of a target's load.
    pub load_poll: ClockSpan,
    /// The time between two reads of the VM list.
    pub vm_list_poll: ClockSpan,
}

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other routers.
    pub peers: SocketAddr,
}

/// What is logged and how.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogOptions {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The form of a line.
    pub format: LogFormat,
}

/// The levels of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogLevel {
    /// Only failures that need an operator.
    Error,
    /// Also conditions that may become failures.
    Warn,
    /// Also ordinary changes of state.
    #[default]
    Info,
    /// Also details for a developer.
    Debug,
}

/// The forms of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for a person.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The certificate towards callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// The path of the certificate chain in PEM.
    pub certificate: PathBuf,
    /// The path of the private key in PEM.
    pub key: PathBuf,
    /// The time between two looks at the files for a renewed certificate.
    pub reload: ClockSpan,
}

/// One mistake in the settings.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SettingsProblem {
    /// The JSON path, such as `$.listen.callers`.
    pub path: String,
    /// The reason.
    pub reason: String,
}

/// The error of reading settings: everything that is wrong with them.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub struct SettingsError(pub Vec<SettingsProblem>);

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

impl DaemonSettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the file, or one mistake at `$` when the file can't be read or isn't JSON.
    pub fn load(path: &Path) -> Result<DaemonSettings> {
        let whole =
            |reason: String| SettingsError(vec![SettingsProblem { path: "$".to_string(), reason }]);
        let text = std::fs::read_to_string(path)
            .map_err(|error| whole(format!("can't be read: {error}")))?;
        let value: Value =
            serde_json::from_str(&text).map_err(|error| whole(format!("not JSON: {error}")))?;
        DaemonSettings::from_json(&value)
    }

    /// Reads settings from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the value.
    pub fn from_json(value: &Value) -> Result<DaemonSettings> {
        read::read_settings(value)
    }

    /// Checks what the settings refer to: files that must exist and be readable.
    ///
    /// # Errors
    ///
    /// Returns every reference that doesn't hold.
    pub fn check_files(&self) -> Result<()> {
        check::check_files(self)
    }
}

impl Default for DaemonSettings {
    fn default() -> DaemonSettings {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        DaemonSettings {
            vm: "vm-1".into(),
            zone: "zone-a".into(),
            region: "region-a".into(),
            listen: ListenSettings { callers: any, operators: any, peers: any },
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
            load_poll: ClockSpan::from_ms(500),
            vm_list_poll: ClockSpan::from_secs(1),
        }
    }
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.reason)
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} mistakes in the settings", self.0.len())?;
        self.0.iter().try_for_each(|problem| write!(formatter, "\n  {problem}"))
    }
}
