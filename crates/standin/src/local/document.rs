//! The configuration of the local fleet.

use std::net::SocketAddr;

use godwitroad_config::{
    AccountConfig, ConfigDocument, KeyConfig, KeyHash, ModelConfig, RateConfig, RegionConfig,
    RepeatRule, RouteConfig, ServiceConfig, ServiceKind, TargetConfig,
};

/// The API key of the printed commands. It is public, and the fleet listens on loopback only.
pub const SAMPLE_KEY: &str = "godwitroad-local-sample-key";

/// The name of the model that the engines serve.
pub const SAMPLE_MODEL: &str = "sample-model";

/// The only region of the fleet.
pub(super) const REGION: &str = "local";

/// The zones of the fleet; each has one router and two engines.
pub(super) const ZONES: [&str; 2] = ["local-a", "local-b"];

/// Returns the configuration for engines and a registry at the given addresses; the engines alternate between the zones.
pub(super) fn local_document(engines: &[SocketAddr], registry: SocketAddr) -> ConfigDocument {
    let target = |name: String, zone: &str, address: SocketAddr| TargetConfig {
        name: name.into(),
        zone: zone.into(),
        address: address.to_string(),
        ..Default::default()
    };
    let engines = engines.iter().zip(ZONES.iter().cycle()).enumerate();
    let engines = engines
        .map(|(index, (&address, zone))| target(format!("engine-{}", index + 1), zone, address));
    ConfigDocument {
        regions: vec![RegionConfig {
            name: REGION.into(),
            zones: ZONES.iter().map(|&zone| zone.into()).collect(),
        }],
        models: vec![ModelConfig {
            name: SAMPLE_MODEL.into(),
            version: "v1".into(),
            adapter: None,
        }],
        services: vec![
            ServiceConfig {
                name: "engines".into(),
                models: vec![SAMPLE_MODEL.into()],
                checks_fencing: true,
                targets: engines.collect(),
                ..Default::default()
            },
            ServiceConfig {
                name: "registry".into(),
                kind: ServiceKind::Plain,
                targets: vec![target("registry-1".into(), ZONES[0], registry)],
                ..Default::default()
            },
        ],
        accounts: vec![AccountConfig {
            name: "sample-account".into(),
            rate: RateConfig { tokens_per_second: 50_000, burst_tokens: 500_000 },
            keys: vec![KeyConfig {
                name: "sample".into(),
                hash: KeyHash::of(SAMPLE_KEY),
                routes: Vec::new(),
            }],
            ..Default::default()
        }],
        routes: vec![
            route("models", "/v1", "engines", RepeatRule::Repeatable),
            route("lookups", "/registry", "registry", RepeatRule::Repeatable),
            route("entries", "/registry/entries", "registry", RepeatRule::RunOnce),
        ],
        ..Default::default()
    }
}

fn route(name: &str, path: &str, service: &str, repeat: RepeatRule) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        path: path.into(),
        service: service.into(),
        repeat,
        ..Default::default()
    }
}
