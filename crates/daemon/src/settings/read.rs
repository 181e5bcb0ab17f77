//! Reads settings field by field and collects all errors.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, str::FromStr};

use godwitroad_base::ClockSpan;
use godwitroad_peers::{PeerAddress, PeerSecret};
use serde_json::{Map, Value};

use super::{
    DaemonSettings, InvalidSetting, ListenSettings, LogFormat, LogLevel, LogOptions, Result,
    SettingsError, TlsSettings,
};

/// The minimum length of the peer secret; a shorter one could be guessed from a recorded handshake.
const MIN_SECRET_BYTES: usize = 16;

/// The maximum value of a duration setting: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// The maximum number of threads of one kind.
const MAX_THREADS: u64 = 256;

/// The maximum value of the limit for request bodies: 1 GiB.
const MAX_BODY_BYTES: u64 = 1 << 30;

pub(super) fn read_settings(value: &Value) -> Result<DaemonSettings> {
    let mut errors = Vec::new();
    let defaults = DaemonSettings::default();
    let mut reader = ObjectReader::new(value, "$", &mut errors);
    let settings = DaemonSettings {
        vm: reader.text("vm").unwrap_or_default().into(),
        zone: reader.text("zone").unwrap_or_default().into(),
        region: reader.text("region").unwrap_or_default().into(),
        listen: reader.object("listen", true, read_listen).unwrap_or(defaults.listen),
        store: reader.list("store", url_value),
        vm_list: reader.optional("vm_list", url_value),
        peer_address: reader.optional("peer_address", address_value),
        peers: reader.list("peers", read_peer),
        peer_secret: reader
            .optional("peer_secret", peer_secret_value)
            .unwrap_or(defaults.peer_secret),
        log: reader.object("log", false, read_log).unwrap_or_default(),
        metrics_address: reader.optional("metrics_address", address_value),
        otlp_address: reader.optional("otlp_address", url_value),
        tls: reader.object("tls", false, read_tls),
        target_ca: reader.optional("target_ca", text_value).map(PathBuf::from),
        seed: reader.number("seed", 0..=u64::MAX, defaults.seed),
        config_file: reader.optional("config_file", text_value).map(PathBuf::from),
        balancer_wait: reader.duration("balancer_wait_ms", 0, defaults.balancer_wait),
        stop_limit: reader.duration("stop_limit_ms", 1, defaults.stop_limit),
        max_body_bytes: reader.size("max_body_bytes", MAX_BODY_BYTES, defaults.max_body_bytes),
        caller_threads: reader.size("caller_threads", MAX_THREADS, defaults.caller_threads),
        target_threads: reader.size("target_threads", MAX_THREADS, defaults.target_threads),
        load_poll_interval: reader.duration("load_poll_ms", 10, defaults.load_poll_interval),
        vm_list_poll_interval: reader.duration(
            "vm_list_poll_ms",
            10,
            defaults.vm_list_poll_interval,
        ),
    };
    check_combinations(value, &settings, &mut reader);
    reader.finish();
    if errors.is_empty() { Ok(settings) } else { Err(SettingsError(errors)) }
}

/// Reports invalid combinations of fields.
fn check_combinations(value: &Value, settings: &DaemonSettings, reader: &mut ObjectReader<'_, '_>) {
    if settings.store.is_empty() && settings.config_file.is_none() && value["store"].is_null() {
        reader.add_field_error("store", "either `store` or `config_file` must be given");
    }
    let has_peers = !settings.peers.is_empty() || settings.vm_list.is_some();
    if has_peers && value["peer_secret"].is_null() {
        reader.add_field_error("peer_secret", "required if `peers` or `vm_list` is given");
    }
}

fn read_listen(reader: &mut ObjectReader<'_, '_>) -> Option<ListenSettings> {
    let callers = reader.required("callers", address_value);
    let operators = reader.required("operators", address_value);
    let peers = reader.required("peers", address_value);
    let listen = ListenSettings { callers: callers?, operators: operators?, peers: peers? };
    let fixed_port_addresses: Vec<SocketAddr> = [listen.callers, listen.operators, listen.peers]
        .into_iter()
        .filter(|address| address.port() != 0)
        .collect();
    if fixed_port_addresses.iter().collect::<BTreeSet<_>>().len() < fixed_port_addresses.len() {
        reader.add_field_error("peers", "two of the three listen addresses are equal");
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
    let reload_interval = reader.duration("reload_ms", 10, ClockSpan::from_secs(10));
    Some(TlsSettings { certificate: certificate?, key: key?, reload_interval })
}

fn read_peer(value: &Value, path: &str, errors: &mut Vec<InvalidSetting>) -> Option<PeerAddress> {
    let mut reader = ObjectReader::new(value, path, errors);
    let vm = reader.text("vm");
    let region = reader.text("region");
    let address = reader.required("address", address_value);
    reader.finish();
    Some(PeerAddress { vm: vm?.into(), region: region?.into(), address: address? })
}

type ReadField<T> = fn(&Value, &str, &mut Vec<InvalidSetting>) -> Option<T>;

fn add_error(errors: &mut Vec<InvalidSetting>, path: &str, reason: impl Into<String>) {
    errors.push(InvalidSetting { path: path.to_string(), reason: reason.into() });
}

fn text_value(value: &Value, path: &str, errors: &mut Vec<InvalidSetting>) -> Option<String> {
    match value.as_str() {
        Some("") => add_error(errors, path, "must not be empty"),
        Some(text) => return Some(text.to_string()),
        None => add_error(errors, path, "must be a string"),
    }
    None
}

fn address_value<T: FromStr>(
    value: &Value,
    path: &str,
    errors: &mut Vec<InvalidSetting>,
) -> Option<T> {
    let text = text_value(value, path, errors)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        add_error(errors, path, "must be an IP address and a port, such as 127.0.0.1:8080");
    }
    parsed
}

fn url_value(value: &Value, path: &str, errors: &mut Vec<InvalidSetting>) -> Option<String> {
    let text = text_value(value, path, errors)?;
    let uri = text.parse::<actix_web::http::Uri>().ok();
    let valid = uri.is_some_and(|uri| {
        matches!(uri.scheme_str(), Some("http" | "https")) && uri.authority().is_some()
    });
    if !valid {
        add_error(errors, path, "must be an http or https URL");
        return None;
    }
    Some(text.trim_end_matches('/').to_string())
}

/// Reads the peer secret; no error message contains it.
fn peer_secret_value(
    value: &Value,
    path: &str,
    errors: &mut Vec<InvalidSetting>,
) -> Option<PeerSecret> {
    let text = text_value(value, path, errors)?;
    if text.len() < MIN_SECRET_BYTES {
        add_error(errors, path, format!("must have at least {MIN_SECRET_BYTES} bytes"));
        return None;
    }
    Some(PeerSecret::new(text))
}

/// Reads the fields of one JSON object and records which of them are known.
struct ObjectReader<'v, 'p> {
    fields: Option<&'v Map<String, Value>>,
    path: String,
    known_fields: BTreeSet<&'static str>,
    errors: &'p mut Vec<InvalidSetting>,
}

impl<'v, 'p> ObjectReader<'v, 'p> {
    fn new(value: &'v Value, path: &str, errors: &'p mut Vec<InvalidSetting>) -> Self {
        if !value.is_object() {
            add_error(errors, path, "must be an object");
        }
        let path = path.to_string();
        ObjectReader { fields: value.as_object(), path, known_fields: BTreeSet::new(), errors }
    }

    fn add_field_error(&mut self, name: &str, reason: impl Into<String>) {
        add_error(self.errors, &format!("{}.{name}", self.path), reason);
    }

    /// Returns the value of a field; `null` counts as absent.
    fn field(&mut self, name: &'static str) -> Option<&'v Value> {
        self.known_fields.insert(name);
        self.fields?.get(name).filter(|value| !value.is_null())
    }

    fn optional<T>(&mut self, name: &'static str, read: ReadField<T>) -> Option<T> {
        let value = self.field(name)?;
        read(value, &format!("{}.{name}", self.path), self.errors)
    }

    fn required<T>(&mut self, name: &'static str, read: ReadField<T>) -> Option<T> {
        if self.field(name).is_none() && self.fields.is_some() {
            self.add_field_error(name, "missing");
        }
        self.optional(name, read)
    }

    fn text(&mut self, name: &'static str) -> Option<String> {
        self.required(name, text_value)
    }

    fn choice<T: Copy>(&mut self, name: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let value = self.field(name)?;
        let chosen = choices.iter().find(|(text, _)| value.as_str() == Some(text));
        if chosen.is_none() {
            let names: Vec<_> = choices.iter().map(|(text, _)| *text).collect();
            self.add_field_error(name, format!("must be one of {}", names.join(", ")));
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
            self.add_field_error(name, format!("must be an integer from {low} to {high}"));
        }
        number.unwrap_or(default)
    }

    fn duration(&mut self, name: &'static str, min_ms: u64, default: ClockSpan) -> ClockSpan {
        ClockSpan::from_ms(self.number(name, min_ms..=MAX_DURATION_MS, default.as_ms()))
    }

    fn size(&mut self, name: &'static str, max: u64, default: usize) -> usize {
        usize::try_from(self.number(name, 1..=max, default as u64)).unwrap_or(default)
    }

    fn list<T>(&mut self, name: &'static str, read: ReadField<T>) -> Vec<T> {
        let Some(value) = self.field(name) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.add_field_error(name, "must be a list");
            return Vec::new();
        };
        let path = format!("{}.{name}", self.path);
        let read_item = |(index, item)| read(item, &format!("{path}[{index}]"), self.errors);
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
                self.add_field_error(name, "missing");
            }
            return None;
        };
        let mut reader = ObjectReader::new(value, &format!("{}.{name}", self.path), self.errors);
        let object = if reader.fields.is_some() { read(&mut reader) } else { None };
        reader.finish();
        object
    }

    /// Reports unknown fields, which are mostly misspelled names.
    fn finish(&mut self) {
        let Some(fields) = self.fields else { return };
        for name in fields.keys() {
            if !self.known_fields.contains(name.as_str()) {
                self.add_field_error(name, "unknown field");
            }
        }
    }
}
