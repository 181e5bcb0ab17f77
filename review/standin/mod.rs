//! Stand-ins for the platform, its servers and its clients, for the cases of this review.

#![allow(dead_code)]

pub mod engine;
pub mod http;
pub mod json;
pub mod member;
pub mod plain;
pub mod record;
pub mod store;

use std::{
    path::PathBuf,
    process::exit,
    thread::sleep,
    time::{Duration, Instant},
};

use json::{Json, number, table, text};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

impl Outcome {
    pub fn exit(self) -> ! {
        exit(match self {
            Outcome::Held => 0,
            Outcome::Broken => 1,
            Outcome::NotRun => 2,
        })
    }
}

/// Returns whether the run has the disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the folder of the case, which holds its record, and the folder for temporary files.
pub fn folders() -> (PathBuf, PathBuf) {
    let folder = |index, name| std::env::args().nth(index).expect(name).into();
    (folder(1, "the folder of the case"), folder(2, "a temporary folder"))
}

/// Waits until a condition holds; returns whether it did in time.
pub fn eventually(patience: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < patience {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(5));
    }
    false
}

/// Returns a route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, attempts: u64, timeout_ms: u64) -> Json {
    table([
        ("Name", text(name)),
        ("Host", text("seals.example")),
        ("Prefix", text(&format!("/{name}/"))),
        ("Kind", text(kind)),
        ("TimeoutMs", number(timeout_ms)),
        ("TargetLatencyMs", number(500)),
        ("Priority", number(1)),
        ("Service", text(service)),
        ("MaxAttempts", number(attempts)),
        ("Resumable", Json::Bool(kind == "streaming" && attempts > 1)),
        ("Sticky", Json::Bool(kind == "streaming")),
        ("GapTargetMs", number(300)),
    ])
}

/// Returns a tenant without a limit.
pub fn tenant(name: &str, key: &str, isolated: bool) -> Json {
    table([
        ("Name", text(name)),
        ("ApiKeys", Json::List(vec![text(key)])),
        ("Unit", text("tokens")),
        ("PlainTokens", number(200)),
        ("RatePerS", number(0)),
        ("Burst", number(0)),
        ("Isolated", Json::Bool(isolated)),
    ])
}

/// Returns a configuration with the routes of a small deployment.
pub fn config(version: u64, tenants: Vec<Json>) -> Json {
    let engine = table([
        ("Slots", number(64)),
        ("KvCapacityTokens", number(119_004)),
        ("KvTokenBytes", number(18_432)),
        ("LinkMbps", number(130_000)),
        ("MaxInflight", number(12)),
        ("Models", Json::List(vec![table([("Name", text("m0"))])])),
    ]);
    let models = table([
        ("Name", text("models")),
        ("HealthPath", text("/healthz")),
        ("MaxConnections", number(370)),
        ("Engine", engine),
    ]);
    let registry = table([
        ("Name", text("registry")),
        ("HealthPath", text("/healthz")),
        ("MaxConnections", number(110)),
    ]);
    let limits = table([
        ("MaxHeaderBytes", number(16_384)),
        ("MaxBodyBytes", number(4_194_304)),
        ("HeaderTimeoutMs", number(10_000)),
        ("IdleTimeoutMs", number(60_000)),
    ]);
    let routes = vec![
        route("check", "streaming", "models", 2, 4_000),
        route("draft", "streaming", "models", 1, 12_000),
        route("register", "non_idempotent", "registry", 1, 1_200),
        route("lookup", "idempotent", "registry", 2, 1_200),
    ];
    table([
        ("Version", number(version)),
        ("Routes", Json::List(routes)),
        ("Services", Json::List(vec![models, registry])),
        ("Limits", limits),
        ("Tenants", Json::List(tenants)),
    ])
}
