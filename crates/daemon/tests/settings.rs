//! Reading of the daemon's settings.

use godwitroad_daemon::settings::{DaemonSettings, LogFormat, SettingsError};
use proptest::prelude::*;
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "vm": "vm-1", "zone": "busan-a", "region": "kr-south",
        "listen": {"callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8082"},
        "store": ["http://127.0.0.1:2379/"],
        "vm_list": "http://127.0.0.1:9000/vms",
        "peers": [{"vm": "vm-2", "region": "kr-central", "address": "127.0.0.1:8083"}],
        "peer_secret": "a-secret-of-enough-bytes",
        "log": {"level": "warn", "format": "json"},
        "metrics_address": "127.0.0.1:8125",
        "otlp_address": "http://127.0.0.1:4318",
        "seed": 7, "balancer_wait_ms": 0, "caller_threads": 4,
    })
}

fn invalid_settings(value: &Value) -> Vec<(String, String)> {
    let Err(SettingsError(invalid_settings)) = DaemonSettings::from_json(value) else {
        return Vec::new();
    };
    invalid_settings.into_iter().map(|invalid| (invalid.path, invalid.reason)).collect()
}

/// Guards against a field that is accepted but has no effect.
#[test]
fn valid_settings_are_read() {
    let settings = DaemonSettings::from_json(&valid()).unwrap();
    assert_eq!((settings.vm.as_str(), settings.seed, settings.caller_threads), ("vm-1", 7, 4));
    assert_eq!(settings.store, ["http://127.0.0.1:2379"]);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.peers[0].region.as_str(), "kr-central");
}

/// Guards against errors that are reported one at a time, so that the daemon must be started once for each of them.
#[test]
fn all_errors_are_reported_with_their_paths() {
    let mut value = valid();
    value["vm"] = json!("");
    value["zone"] = Value::Null;
    value["listen"]["peers"] = json!("not an address");
    value["store"] = json!(["ftp://x", 7]);
    value["peers"][0]["address"] = json!(5);
    value["peer_secret"] = json!("short-secret");
    value["log"]["level"] = json!("loud");
    value["caller_threads"] = json!(0);
    value["sed"] = json!(1);
    let found = invalid_settings(&value);
    let paths: Vec<&str> = found.iter().map(|(path, _)| path.as_str()).collect();
    let expected = [
        "$.vm",
        "$.zone",
        "$.listen.peers",
        "$.store[0]",
        "$.store[1]",
        "$.peers[0].address",
        "$.peer_secret",
        "$.log.level",
        "$.caller_threads",
        "$.sed",
    ];
    assert_eq!(paths, expected);
    assert!(found.iter().all(|(_, reason)| !reason.is_empty() && !reason.contains("short-secret")));
}

/// Guards against settings with which a daemon starts but cannot serve.
#[test]
fn invalid_combinations_are_reported() {
    let mut value = valid();
    value.as_object_mut().unwrap().remove("store");
    value.as_object_mut().unwrap().remove("peer_secret");
    value["listen"]["peers"] = json!("127.0.0.1:8080");
    let paths: Vec<String> = invalid_settings(&value).into_iter().map(|(path, _)| path).collect();
    assert_eq!(paths, ["$.listen.peers", "$.store", "$.peer_secret"]);
}

/// Guards against a check that accepts settings whose files are missing.
#[test]
fn named_files_are_checked() {
    let missing = std::path::PathBuf::from("missing.json");
    let settings = DaemonSettings {
        config_file: Some(missing.clone()),
        target_ca: Some(missing),
        ..Default::default()
    };
    let SettingsError(invalid_settings) = settings.check_files().unwrap_err();
    let paths: Vec<&str> = invalid_settings.iter().map(|invalid| invalid.path.as_str()).collect();
    assert_eq!(paths, ["$.config_file", "$.target_ca"]);
}

proptest! {
    /// Guards against a value that causes a panic instead of an error.
    #[test]
    fn any_value_in_any_field_is_read_or_reported(name in "[a-z_]{1,16}", index in 0..14_usize, number: i64) {
        let mut value = valid();
        let known = value.as_object().unwrap().keys().nth(index).cloned();
        for other in [json!(number), json!([number]), json!({"a": number}), json!(name), json!(null)] {
            value[known.as_deref().unwrap_or("vm")] = other;
            let _ = DaemonSettings::from_json(&value);
        }
        let _ = DaemonSettings::from_json(&json!(number));
    }
}
