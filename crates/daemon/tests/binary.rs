//! The `godwitroad` binary: `--check`, signals and startup errors.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    path::Path,
    process::{Command, Stdio},
};

use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_godwitroad");

fn write(folder: &Path, name: &str, value: &Value) -> String {
    let path = folder.join(name);
    std::fs::write(&path, value.to_string()).unwrap();
    path.display().to_string()
}

fn settings(folder: &Path) -> Value {
    let document =
        support::document(&["127.0.0.1:9".parse().unwrap()], &["127.0.0.1:10".parse().unwrap()]);
    let document = write(folder, "config.json", &serde_json::to_value(&*document).unwrap());
    json!({
        "vm": "vm-1", "zone": "zone-a", "region": "region-a", "config_file": document, "balancer_wait_ms": 1,
        "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
    })
}

/// Guards against a check that stops at the first error, or that accepts settings which prevent a start.
#[test]
fn check_reports_all_errors() {
    let folder = tempfile::tempdir().unwrap();
    let check = |value: &Value| {
        let path = write(folder.path(), "settings.json", value);
        Command::new(BINARY).args(["--settings", &path, "--check"]).output().unwrap()
    };
    let good = settings(folder.path());
    assert!(check(&good).status.success());
    let mut bad = good.clone();
    (bad["vm"], bad["zone"], bad["seed"]) = (json!(""), json!(1), json!(-1));
    let output = check(&bad);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(["$.vm: ", "$.zone: ", "$.seed: "].iter().all(|path| text.contains(path)), "{text}");
    let mut document: Value =
        serde_json::from_slice(&std::fs::read(folder.path().join("config.json")).unwrap()).unwrap();
    (document["routes"][0]["service"], document["accounts"][0]["rate"]["burst_tokens"]) =
        (json!("none"), json!(0));
    write(folder.path(), "config.json", &document);
    let text = String::from_utf8(check(&good).stderr).unwrap();
    assert!(
        text.contains("$.config_file")
            && text.contains("routes[0].service")
            && text.contains("burst_tokens"),
        "{text}"
    );
}

/// Guards against a process that ignores SIGTERM, or that exits with a failure after a graceful shutdown.
#[test]
fn sigterm_shuts_down_gracefully() {
    let folder = tempfile::tempdir().unwrap();
    let path = write(folder.path(), "settings.json", &settings(folder.path()));
    let mut process =
        Command::new(BINARY).args(["--settings", &path]).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(process.stderr.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("ready: ")));
    assert!(
        Command::new("kill").args(["-TERM", &process.id().to_string()]).status().unwrap().success()
    );
    assert!(process.wait().unwrap().success());
    let remaining: Vec<String> = lines.map(Result::unwrap).collect();
    assert!(
        remaining.iter().any(|line| line.contains("stopping: finishing requests")),
        "{remaining:?}"
    );
    assert!(remaining.last().unwrap().ends_with("ended"), "{remaining:?}");
}

/// Guards against a startup that hangs or succeeds although an address is already in use.
#[test]
fn an_address_in_use_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut value = settings(folder.path());
    value["listen"]["peers"] = json!(taken.local_addr().unwrap().to_string());
    let path = write(folder.path(), "settings.json", &value);
    let output = Command::new(BINARY).args(["--settings", &path]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("for peers"));
}
