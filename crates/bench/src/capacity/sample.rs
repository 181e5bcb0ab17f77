//! Sample configurations and requests of a given size.

use std::sync::Arc;

use godwitroad_base::ClockTime;
use godwitroad_config::{
    AccountConfig, ConfigDocument, KeyConfig, KeyHash, ModelConfig, RateConfig, RegionConfig,
    RouteConfig, ServiceConfig, TargetConfig,
};
use godwitroad_router::{RequestArrival, RouterEvent, RouterSettings, RouterState};

/// The number of models, each with its own service, of the design size.
pub(crate) const MODELS: usize = 17;

/// The zone in which all routers and targets of this experiment run.
pub(crate) const ZONE: &str = "zone-a";

/// The time at which routers are created.
pub(crate) const START: ClockTime = ClockTime::from_ms(1_000);

/// Returns a document with `accounts` accounts, each with one key, and `targets` targets, evenly over the services.
pub(crate) fn document(accounts: usize, targets: usize) -> ConfigDocument {
    let model = |number: usize| format!("model-{number}");
    let service = |number: usize| {
        let indexes = (number..targets).step_by(MODELS);
        ServiceConfig {
            name: format!("engines-{number}").into(),
            models: vec![model(number).into()],
            targets: indexes.map(target).collect(),
            ..ServiceConfig::default()
        }
    };
    let route = |number: usize| RouteConfig {
        name: format!("route-{number}").into(),
        path: format!("/{}/v1/completions", model(number)),
        service: format!("engines-{number}").into(),
        ..RouteConfig::default()
    };
    ConfigDocument {
        regions: vec![RegionConfig { name: "region-a".into(), zones: vec![ZONE.into()] }],
        models: (0..MODELS)
            .map(|number| ModelConfig {
                name: model(number).into(),
                version: "v1".into(),
                adapter: None,
            })
            .collect(),
        services: (0..MODELS).map(service).collect(),
        accounts: (0..accounts).map(account).collect(),
        routes: (0..MODELS).map(route).collect(),
        ..ConfigDocument::default()
    }
}

fn target(number: usize) -> TargetConfig {
    TargetConfig {
        name: target_name(number).into(),
        zone: ZONE.into(),
        address: format!("127.{}.{}.1:9000", number / 250, number % 250),
        slots: 32,
        ..TargetConfig::default()
    }
}

fn account(number: usize) -> AccountConfig {
    AccountConfig {
        name: format!("account-{number:05}").into(),
        rate: RateConfig { tokens_per_second: 1_000_000, burst_tokens: 100_000_000 },
        keys: vec![KeyConfig {
            name: format!("key-{number:05}").into(),
            hash: account_key(number),
            routes: Vec::new(),
        }],
        ..AccountConfig::default()
    }
}

/// Returns the name of the target with this index.
pub(crate) fn target_name(number: usize) -> String {
    format!("worker-{number:04}")
}

/// Returns the key hash of the account with this index.
pub(crate) fn account_key(account: usize) -> KeyHash {
    KeyHash::of(&format!("secret-{account}"))
}

/// Returns a streaming request of an account; `model` is an index that wraps around at [`MODELS`].
pub(crate) fn arrival(account: usize, model: usize, prompt: &Arc<[u8]>) -> RequestArrival {
    let model = model % MODELS;
    RequestArrival {
        path: format!("/model-{model}/v1/completions"),
        key: Some(account_key(account)),
        model: Some(format!("model-{model}").into()),
        prompt: Arc::clone(prompt),
        max_tokens: Some(300),
        stream: true,
        ..RequestArrival::default()
    }
}

/// Returns a router without a fleet and with `document` in force.
pub(crate) fn standalone_router(seed: u64, document: ConfigDocument) -> RouterState {
    let settings = RouterSettings {
        seed,
        zone: ZONE.into(),
        region: "region-a".into(),
        ..RouterSettings::default()
    };
    let mut state = RouterState::new(START, settings);
    let document = Arc::new(document);
    state.handle(START, RouterEvent::Configure { generation: 1, document }, &mut Vec::new());
    state
}
