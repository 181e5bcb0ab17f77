//! Prints the configuration of Hanbit Foilmark Co.'s seal verification.
//!
//! Lookups may run more than once. A registration must not, because a duplicate marks a genuine seal as counterfeit. The
//! two large issuers have a higher weight and rate than the three other accounts.

use std::process::ExitCode;

use godwitroad_base::ClockSpan;
use godwitroad_config::{
    AccountConfig, ConfigDocument, CutOffPolicy, KeyConfig, KeyHash, ModelConfig, PriorityClass,
    RateConfig, RegionConfig, RepeatRule, RouteConfig, ServiceConfig, ServiceKind, TargetConfig,
    print_document,
};

/// The zones, each with the network of its targets and its number of model workers.
const ZONES: [(&str, &str, u16); 3] =
    [("busan-a", "10.31.1", 4), ("ulsan-b", "10.31.2", 3), ("daejeon-a", "10.32.1", 2)];

/// Returns the configuration document.
pub(crate) fn document() -> ConfigDocument {
    ConfigDocument {
        regions: vec![
            region("kr-south", &["busan-a", "ulsan-b"]),
            region("kr-central", &["daejeon-a"]),
        ],
        models: vec![
            ModelConfig { name: "seal-verifier".into(), version: "2026-11".into(), adapter: None },
            ModelConfig {
                name: "seal-describer".into(),
                version: "2026-11".into(),
                adapter: Some("foil-captions".into()),
            },
        ],
        services: vec![
            seal_models(),
            plain("prompt-keep", 8100, &[0, 1]),
            plain("registry-app", 8200, &[0, 1, 2]),
        ],
        accounts: accounts(),
        routes: routes(),
        ..Default::default()
    }
}

fn region(name: &str, zones: &[&str]) -> RegionConfig {
    RegionConfig { name: name.into(), zones: zones.iter().map(|&zone| zone.into()).collect() }
}

fn seal_models() -> ServiceConfig {
    let targets = ZONES.iter().flat_map(|&(zone, network, workers)| {
        (1..=workers).map(move |number| TargetConfig {
            name: format!("seal-{zone}-{number}").into(),
            zone: zone.into(),
            address: format!("{network}.{}:8000", 10 + number),
            slots: 16,
            ..Default::default()
        })
    });
    ServiceConfig {
        name: "seal-models".into(),
        models: vec!["seal-verifier".into(), "seal-describer".into()],
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
            address: format!("{network}.50:{port}"),
            slots: 32,
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
        ..Default::default()
    };
    vec![
        RouteConfig {
            deadline_ms: ClockSpan::from_secs(20),
            ..route("models", "/v1", "seal-models")
        },
        RouteConfig {
            priority: PriorityClass::Batch,
            ..route("prompts", "/prompts", "prompt-keep")
        },
        route("lookup", "/registry", "registry-app"),
        RouteConfig {
            repeat: RepeatRule::RunOnce,
            deadline_ms: ClockSpan::from_secs(60),
            ..route("register", "/registry/seals", "registry-app")
        },
    ]
}

fn accounts() -> Vec<AccountConfig> {
    // The first four accounts are issuers whose batches must finish within the day. The last one only looks up seals.
    let issuer = |name: &str, weight: u32, rate: u64| AccountConfig {
        name: name.into(),
        weight,
        rate: RateConfig { tokens_per_second: rate, burst_tokens: rate * 20 },
        keys: vec![
            key(name, "verify", &["models", "prompts", "lookup"]),
            key(name, "register", &["register"]),
        ],
        ..Default::default()
    };
    vec![
        issuer("haeundae-mint", 4, 40_000),
        issuer("gimhae-labels", 4, 30_000),
        issuer("ulju-foils", 1, 6_000),
        issuer("yuseong-print", 1, 4_000),
        AccountConfig {
            cut_off: CutOffPolicy::Refuse,
            keys: vec![key("customs-inspection", "inspect", &["models", "lookup"])],
            ..issuer("customs-inspection", 2, 8_000)
        },
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
