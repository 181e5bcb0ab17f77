//! Prints the configuration of Cascade Lanes Swim Entries.
//!
//! Requests for entries and fees run at most once, because a fee must not be charged twice. Eligibility checks and heat
//! sheets may be repeated. The targets of the fee service don't check fencing numbers, so only the expiry of its lease
//! keeps an earlier order leader from sending them orders.

use std::process::ExitCode;

use godwitroad_base::ClockSpan;
use godwitroad_config::{
    AccountConfig, ConfigDocument, KeyConfig, KeyHash, ModelConfig, PriorityClass, RateConfig,
    RegionConfig, RepeatRule, RouteAccess, RouteConfig, ServiceConfig, ServiceKind, TargetConfig,
    print_document,
};

/// The zones, each with the network of its targets and its number of model workers.
const ZONES: [(&str, &str, u16); 3] =
    [("puget-a", "10.41.1", 3), ("puget-b", "10.41.2", 3), ("inland-a", "10.42.1", 2)];

/// Returns the configuration document.
pub(crate) fn document() -> ConfigDocument {
    ConfigDocument {
        regions: vec![region("puget", &["puget-a", "puget-b"]), region("inland", &["inland-a"])],
        models: vec![
            ModelConfig { name: "entry-desk".into(), version: "7".into(), adapter: None },
            ModelConfig {
                name: "heat-drafter".into(),
                version: "7".into(),
                adapter: Some("heat-sheets".into()),
            },
        ],
        services: vec![
            entry_models(),
            ServiceConfig { checks_fencing: true, ..plain("entries-app", 9100, &[0, 1, 2]) },
            plain("fees-app", 9200, &[0, 1]),
        ],
        accounts: accounts(),
        routes: routes(),
        ..Default::default()
    }
}

fn region(name: &str, zones: &[&str]) -> RegionConfig {
    RegionConfig { name: name.into(), zones: zones.iter().map(|&zone| zone.into()).collect() }
}

fn entry_models() -> ServiceConfig {
    let targets = ZONES.iter().flat_map(|&(zone, network, workers)| {
        (1..=workers).map(move |number| TargetConfig {
            name: format!("entry-{zone}-{number}").into(),
            zone: zone.into(),
            address: format!("{network}.{}:9000", 20 + number),
            slots: 12,
            ..Default::default()
        })
    });
    ServiceConfig {
        name: "entry-models".into(),
        models: vec!["entry-desk".into(), "heat-drafter".into()],
        checks_fencing: true,
        targets: targets.collect(),
        ..Default::default()
    }
}

fn plain(name: &str, port: u16, zones: &[usize]) -> ServiceConfig {
    let targets = zones.iter().map(|&index| {
        let (zone, network, _) = ZONES[index];
        TargetConfig {
            name: format!("{name}-{zone}").into(),
            zone: zone.into(),
            address: format!("{network}.60:{port}"),
            slots: 24,
            ..Default::default()
        }
    });
    ServiceConfig {
        name: name.into(),
        kind: ServiceKind::Plain,
        targets: targets.collect(),
        ..Default::default()
    }
}

fn routes() -> Vec<RouteConfig> {
    let route = |name: &str, path: &str, service: &str| RouteConfig {
        name: name.into(),
        path: path.into(),
        service: service.into(),
        deadline_ms: ClockSpan::from_secs(10),
        ..Default::default()
    };
    let run_once = |name: &str, path: &str, service: &str| RouteConfig {
        repeat: RepeatRule::RunOnce,
        deadline_ms: ClockSpan::from_secs(45),
        ..route(name, path, service)
    };
    vec![
        route("models", "/v1", "entry-models"),
        route("eligibility", "/eligibility", "entries-app"),
        RouteConfig {
            priority: PriorityClass::Batch,
            ..route("heat-sheets", "/heat-sheets", "entries-app")
        },
        RouteConfig { access: RouteAccess::Open, ..route("results", "/results", "entries-app") },
        run_once("entries", "/entries", "entries-app"),
        run_once("fees", "/fees", "fees-app"),
    ]
}

fn accounts() -> Vec<AccountConfig> {
    let club = |name: &str, weight: u32, rate: u64| AccountConfig {
        name: name.into(),
        weight,
        rate: RateConfig { tokens_per_second: rate, burst_tokens: rate * 15 },
        keys: vec![
            key(name, "desk", &["models", "eligibility", "heat-sheets"]),
            key(name, "entry", &["entries", "fees"]),
        ],
        ..Default::default()
    };
    vec![
        club("rainier-league", 5, 36_000),
        club("sound-aquatics", 5, 28_000),
        club("elliott-bay-swim", 1, 5_000),
        club("spokane-otters", 1, 5_000),
        club("yakima-valley-swim", 1, 3_000),
    ]
}

fn key(account: &str, name: &str, routes: &[&str]) -> KeyConfig {
    // A real document contains the hash that `godwitctl keys issue` prints. The secrets of this example are public.
    KeyConfig {
        name: name.into(),
        hash: KeyHash::of(&format!("example-secret-{account}-{name}")),
        routes: routes.iter().map(|&route| route.into()).collect(),
    }
}

#[allow(dead_code, reason = "unused where a test includes this file as a module")]
fn main() -> ExitCode {
    print_document(&document())
}
