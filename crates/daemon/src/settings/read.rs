//! Reads settings field by field and keeps every mistake.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, str::FromStr};

use godwitroad_base::ClockSpan;
use godwitroad_peers::{PeerAddress, PeerSecret};
use serde_json::{Map, Value};

use super::{
    DaemonSettings, ListenSettings, LogFormat, LogLevel, LogOptions, Result, SettingsError,
    SettingsProblem, TlsSettings,
};

/// The shortest peer secret; a shorter one could be guessed from a recorded handshake.
const MIN_SECRET_BYTES: usize = 16;

/// The longest time that a setting may name: one day.
const MAX_SPAN_MS: u64 = 86_400_000;

/// The most threads of one kind.
const MAX_THREADS: u64 = 256;

/// The largest accepted limit of a request body: 1 GiB.
const MAX_BODY_BYTES: u64 = 1 << 30;

pub(super) fn read_settings(value: &Value) -> Result<DaemonSettings> {
    let mut problems = Vec::new();
    let defaults = DaemonSettings::default();
    let mut reader = ObjectReader::new(value, "$", &mut problems);
    let settings = DaemonSettings {
        vm: reader.text("vm").unwrap_or_default().into(),
        zone: reader.text("zone").unwrap_or_default().into(),
        region: reader.text("region").unwrap_or_default().into(),
        listen: reader.object("listen", true, read_listen).unwrap_or(defaults.listen),
        store: reader.list("store", url),
        vm_list: reader.optional("vm_list", url),
        peer_address: reader.optional("peer_address", parsed),
        peers: reader.list("peers", read_peer),
        peer_secret: reader.optional("peer_secret", secret).unwrap_or(defaults.peer_secret),
        log: reader.object("log", false, read_log).unwrap_or_default(),
        metrics_address: reader.optional("metrics_address", parsed),
        otlp_address: reader.optional("otlp_address", url),
        tls: reader.object("tls", false, read_tls),
        target_ca: reader.optional("target_ca", text).map(PathBuf::from),
        seed: reader.number("seed", 0..=u64::MAX, defaults.seed),
        config_file: reader.optional("config_file", text).map(PathBuf::from),
        balancer_wait: reader.span("balancer_wait_ms", 0, defaults.balancer_wait),
        stop_limit: reader.span("stop_limit_ms", 1, defaults.stop_limit),
        max_body_bytes: reader.size("max_body_bytes", MAX_BODY_BYTES, defaults.max_body_bytes),
        caller_threads: reader.size("caller_threads", MAX_THREADS, defaults.caller_threads),
        target_threads: reader.size("target_threads", MAX_THREADS, defaults.target_threads),
        load_poll: reader.span("load_poll_ms", 10, defaults.load_poll),
        vm_list_poll: reader.span("vm_list_poll_ms", 10, defaults.vm_list_poll),
    };
    check_together(value, &settings, &mut reader);
    reader.finish();
    if problems.is_empty() { Ok(settings) } else { Err(SettingsError(problems)) }
}

/// Finds mistakes that lie in a combination of fields.
fn check_together(value: &Value, settings: &DaemonSettings, reader: &mut ObjectReader<'_, '_>) {
    if settings.store.is_empty() && settings.config_file.is_none() && value["store"].is_null() {
        reader.problem("store", "either `store` or `config_file` must be given");
    }
    let has_peers = !settings.peers.is_empty() || settings.vm_list.is_some();
    if has_peers && value["peer_secret"].is_null() {
        reader.problem("peer_secret", "missing, though `peers` or `vm_list` is given");
    }
}

fn read_listen(reader: &mut ObjectReader<'_, '_>) -> Option<ListenSettings> {
    let callers = reader.required("callers", parsed);
    let operators = reader.required("operators", parsed);
    let peers = reader.required("peers", parsed);
    let listen = ListenSettings { callers: callers?, operators: operators?, peers: peers? };
    let fixed: Vec<SocketAddr> = [listen.callers, listen.operators, listen.peers]
        .into_iter()
        .filter(|address| address.port() != 0)
        .collect();
    if fixed.iter().collect::<BTreeSet<_>>().len() < fixed.len() {
        reader.problem("peers", "two of the three addresses are the same");
    }
    Some(listen)
}

fn read_log(reader: &mut ObjectReader<'_, '_>) -> Option<LogOptions> {
    let levels = [
        ("error", LogLevel::Error),
        ("warn", LogLevel::Warn),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
    ];
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    Some(LogOptions {
        level: reader.choice("level", &levels).unwrap_or_default(),
        format: reader.choice("format", &formats).unwrap_or_default(),
    })
}

fn read_tls(reader: &mut ObjectReader<'_, '_>) -> Option<TlsSettings> {
    let certificate = reader.text("certificate").map(PathBuf::from);
    let key = reader.text("key").map(PathBuf::from);
    let reload = reader.span("reload_ms", 10, ClockSpan::from_secs(10));
    Some(TlsSettings { certificate: certificate?, key: key?, reload })
}

fn read_peer(
    value: &Value,
    path: &str,
    problems: &mut Vec<SettingsProblem>,
) -> Option<PeerAddress> {
    let mut reader = ObjectReader::new(value, path, problems);
    let vm = reader.text("vm");
    let region = reader.text("region");
    let address = reader.required("address", parsed);
    reader.finish();
    Some(PeerAddress { vm: vm?.into(), region: region?.into(), address: address? })
}

type ReadField<T> = fn(&Value, &str, &mut Vec<SettingsProblem>) -> Option<T>;

fn report(problems: &mut Vec<SettingsProblem>, path: &str, reason: impl Into<String>) {
    problems.push(SettingsProblem { path: path.to_string(), reason: reason.into() });
}

fn text(value: &Value, path: &str, problems: &mut Vec<SettingsProblem>) -> Option<String> {
    match value.as_str() {
        Some("") => report(problems, path, "must not be empty"),
        Some(text) => return Some(text.to_string()),
        None => report(problems, path, "must be text"),
    }
    None
}

fn parsed<T: FromStr>(value: &Value, path: &str, problems: &mut Vec<SettingsProblem>) -> Option<T> {
    let text = text(value, path, problems)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        report(problems, path, "must be an IP address and a port, such as 127.0.0.1:8080");
    }
    parsed
}

fn url(value: &Value, path: &str, problems: &mut Vec<SettingsProblem>) -> Option<String> {
    let text = text(value, path, problems)?;
    let uri = text.parse::<actix_web::http::Uri>().ok();
    let valid = uri.is_some_and(|uri| {
        matches!(uri.scheme_str(), Some("http" | "https")) && uri.authority().is_some()
    });
    if !valid {
        report(problems, path, "must be an http or https URL");
        return None;
    }
    Some(text.trim_end_matches('/').to_string())
}

/// Reads the peer secret; no mistake quotes it.
fn secret(value: &Value, path: &str, problems: &mut Vec<SettingsProblem>) -> Option<PeerSecret> {
    let text = text(value, path, problems)?;
    if text.len() < MIN_SECRET_BYTES {
        report(problems, path, format!("must have at least {MIN_SECRET_BYTES} bytes"));
        return None;
    }
    Some(PeerSecret::new(text))
}

/// Reads one JSON object and remembers which of its fields are known.
struct ObjectReader<'v, 'p> {
    fields: Option<&'v Map<String, Value>>,
    path: String,
    known: BTreeSet<&'static str>,
    problems: &'p mut Vec<SettingsProblem>,
}

impl<'v, 'p> ObjectReader<'v, 'p> {
    fn new(value: &'v Value, path: &str, problems: &'p mut Vec<SettingsProblem>) -> Self {
        if !value.is_object() {
            report(problems, path, "must be an object");
        }
        let path = path.to_string();
        ObjectReader { fields: value.as_object(), path, known: BTreeSet::new(), problems }
    }

    fn problem(&mut self, name: &str, reason: impl Into<String>) {
        report(self.problems, &format!("{}.{name}", self.path), reason);
    }

    /// Returns a field that is there; `null` counts as absent.
    fn field(&mut self, name: &'static str) -> Option<&'v Value> {
        self.known.insert(name);
        self.fields?.get(name).filter(|value| !value.is_null())
    }

    fn optional<T>(&mut self, name: &'static str, read: ReadField<T>) -> Option<T> {
        let value = self.field(name)?;
        read(value, &format!("{}.{name}", self.path), self.problems)
    }

    fn required<T>(&mut self, name: &'static str, read: ReadField<T>) -> Option<T> {
        if self.field(name).is_none() && self.fields.is_some() {
            self.problem(name, "missing");
        }
        self.optional(name, read)
    }

    fn text(&mut self, name: &'static str) -> Option<String> {
        self.required(name, text)
    }

    fn choice<T: Copy>(&mut self, name: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let value = self.field(name)?;
        let chosen = choices.iter().find(|(text, _)| value.as_str() == Some(text));
        if chosen.is_none() {
            let names: Vec<_> = choices.iter().map(|(text, _)| *text).collect();
            self.problem(name, format!("must be one of {}", names.join(", ")));
        }
        chosen.map(|&(_, choice)| choice)
    }

    fn number(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.field(name) else { return default };
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let (low, high) = (range.start(), range.end());
            self.problem(name, format!("must be a whole number from {low} to {high}"));
        }
        number.unwrap_or(default)
    }

    fn span(&mut self, name: &'static str, least_ms: u64, default: ClockSpan) -> ClockSpan {
        ClockSpan::from_ms(self.number(name, least_ms..=MAX_SPAN_MS, default.as_ms()))
    }

    fn size(&mut self, name: &'static str, most: u64, default: usize) -> usize {
        usize::try_from(self.number(name, 1..=most, default as u64)).unwrap_or(default)
    }

    fn list<T>(&mut self, name: &'static str, read: ReadField<T>) -> Vec<T> {
        let Some(value) = self.field(name) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.problem(name, "must be a list");
            return Vec::new();
        };
        let path = format!("{}.{name}", self.path);
        let read_item = |(index, item)| read(item, &format!("{path}[{index}]"), self.problems);
        items.iter().enumerate().filter_map(read_item).collect()
    }

    fn object<T>(
        &mut self,
        name: &'static str,
        required: bool,
        read: fn(&mut ObjectReader<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.field(name) else {
            if required && self.fields.is_some() {
                self.problem(name, "missing");
            }
            return None;
        };
        let mut reader = ObjectReader::new(value, &format!("{}.{name}", self.path), self.problems);
        let object = if reader.fields.is_some() { read(&mut reader) } else { None };
        reader.finish();
        object
    }

    /// Reports the fields that nobody asked for, which are mostly misspelled names.
    fn finish(&mut self) {
        let Some(fields) = self.fields else { return };
        for name in fields.keys() {
            if !self.known.contains(name.as_str()) {
                self.problem(name, "unknown field");
            }
        }
    }
}
