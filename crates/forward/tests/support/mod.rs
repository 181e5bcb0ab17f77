//! Test fixtures: a small configuration, targets and requests.

#![allow(dead_code)]

pub(crate) mod crash_fleet;
pub(crate) mod leaving_fleet;
pub(crate) mod rollout_fleet;
pub(crate) mod turning_fleet;

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_config::KeyHash;
use godwitroad_forward::{
    AccountRule, EngineRule, ForwardAction, ForwardArrival, ForwardEvent, ForwardRules,
    ForwardSettings, ForwardState, GossipMessage, GossipRound, PeerPlace, PromptPart,
    RequestDigest, RouteRule, ServiceRule, SharedCacheStore, TargetRecord,
};

pub(crate) const HOST: &str = "models.example";

pub(crate) fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

pub(crate) fn route(prefix: &str, service: &str) -> RouteRule {
    RouteRule {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        streaming: false,
        repeatable: true,
        resumable: false,
        timeout: ClockSpan::from_secs(4),
        objective: ClockSpan::from_ms(500),
        gap_target: None,
        priority: 1,
        split: vec![(service.into(), 1)],
        max_attempts: 2,
        public: false,
    }
}

pub(crate) fn account(name: &str, rate: u64) -> AccountRule {
    AccountRule {
        name: name.into(),
        priority: None,
        rate,
        burst: rate,
        by_tokens: true,
        plain_tokens: 100,
        isolated: false,
    }
}

pub(crate) fn engine() -> EngineRule {
    EngineRule {
        slots: 64,
        memory_tokens: 120_000,
        token_bytes: 18_432,
        link_mbps: 130_000.0,
        event_calls: 12,
        models: vec!["m".into()],
        stride: 8,
    }
}

/// Returns a configuration with routes to a plain service and to a model service, a shared cache store, and the
/// accounts `one` and `two`.
pub(crate) fn rules(version: u64) -> ForwardRules {
    let plain = ServiceRule { max_connections: 100, engine: None, cache_store: None };
    let models = ServiceRule { max_connections: 300, engine: Some(engine()), cache_store: None };
    let cache_store = SharedCacheStore {
        address: "172.20.0.2:8080".parse().expect("an address"),
        zone: "c".into(),
        link_mbps: 33_000.0,
        event_calls: 12,
    };
    let cache_store_rule =
        ServiceRule { max_connections: 0, engine: None, cache_store: Some(cache_store) };
    let mut once = route("/once/", "plain");
    once.repeatable = false;
    once.max_attempts = 1;
    let mut stream = route("/stream/", "models");
    stream.repeatable = false;
    stream.streaming = true;
    stream.resumable = true;
    let mut open = route("/open/", "plain");
    open.public = true;
    ForwardRules {
        version,
        routes: [route("/any/", "plain"), once, stream, open].map(Arc::new).to_vec(),
        services: BTreeMap::from([
            ("plain".into(), plain),
            ("models".into(), models),
            ("keeper".into(), cache_store_rule),
        ]),
        accounts: vec![Arc::new(account("one", 0)), Arc::new(account("two", 0))],
        keys: BTreeMap::from([(KeyHash::of("key-one"), 0), (KeyHash::of("key-two"), 1)]),
        ..ForwardRules::default()
    }
}

/// Returns rules in which the key `key-one` belongs to one account, with a limit of `rate` units per second.
pub(crate) fn limited_rules(version: u64, rate: u64) -> Arc<ForwardRules> {
    let accounts = vec![Arc::new(account("one", rate))];
    let keys = BTreeMap::from([(KeyHash::of("key-one"), 0)]);
    Arc::new(ForwardRules { accounts, keys, ..rules(version) })
}

pub(crate) fn place(vm: &str, zone: &str, last: u8) -> PeerPlace {
    PeerPlace { vm: vm.into(), zone: zone.into(), address: Ipv4Addr::new(10, 1, 0, last).into() }
}

pub(crate) fn settings(vm: &str, last: u8) -> ForwardSettings {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let mut settings = ForwardSettings {
        place: place(vm, "a", last),
        incarnation: 1,
        seed: u64::from(last),
        regions: regions.map(|(zone, region)| (zone.into(), region.into())).into(),
        ..ForwardSettings::default()
    };
    settings.term.vm = vm.into();
    settings.term.first_start = true;
    settings.allowance.restarted = false;
    settings
}

pub(crate) fn target(name: &str, service: &str, zone: &str, last: u8) -> TargetRecord {
    let versions =
        if service == "models" { BTreeMap::from([("m".into(), 1)]) } else { BTreeMap::new() };
    TargetRecord {
        name: name.into(),
        service: service.into(),
        address: (Ipv4Addr::new(10, 2, 0, last), 8080).into(),
        zone: zone.into(),
        slots: 6,
        build: "v1".into(),
        draining: false,
        versions,
        started_ms: 1,
        cold_ms: 0,
    }
}

/// A router together with all actions that it has returned.
pub(crate) struct TestRouter {
    pub(crate) state: ForwardState,
    pub(crate) actions: Vec<ForwardAction>,
}

impl TestRouter {
    pub(crate) fn new(settings: ForwardSettings) -> TestRouter {
        let state = ForwardState::new(settings);
        TestRouter { state, actions: Vec::new() }
    }

    pub(crate) fn handle(&mut self, now: u64, event: ForwardEvent) {
        self.state.handle(at(now), event, &mut self.actions);
    }

    /// Passes on a message that arrives at this moment.
    pub(crate) fn receive(&mut self, now: u64, message: GossipMessage) {
        self.handle(
            now,
            ForwardEvent::Gossip { message: Box::new(message), arrived_after: at(now) },
        );
    }

    /// Begins a round of gossip if one is due, as the product does.
    pub(crate) fn gossip_round(&mut self, now: u64) -> Option<GossipRound> {
        if at(now) < self.state.next_gossip() {
            return None;
        }
        self.handle(now, ForwardEvent::Tick);
        self.state.begin_gossip_round(at(now))
    }

    pub(crate) fn gossip_message(&mut self, now: u64) -> GossipMessage {
        self.state.gossip_message(at(now), false)
    }
}

/// Returns one of `routers` routers, named `vm-0` and so on, which has read the configuration and the targets at `now`.
pub(crate) fn fleet_router(
    now: u64,
    settings: ForwardSettings,
    routers: usize,
    targets: impl Iterator<Item = TargetRecord>,
) -> TestRouter {
    let mut router = TestRouter::new(settings);
    for other in 0..routers {
        let place = place(&format!("vm-{other}"), "a", other as u8 + 1);
        router.handle(now, ForwardEvent::PeerListed(place));
    }
    router.handle(now, ForwardEvent::Rules(Arc::new(rules(1))));
    targets.for_each(|record| router.handle(now, ForwardEvent::Target(record)));
    router.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
    router
}

/// Returns a router that has read the configuration and three targets of each service from the store at `now`.
pub(crate) fn router(now: u64) -> TestRouter {
    let mut router = TestRouter::new(settings("vm-1", 1));
    router.handle(now, ForwardEvent::Rules(Arc::new(rules(1))));
    for (index, zone) in ["a", "b", "c"].into_iter().enumerate() {
        let last = index as u8;
        let plain = target(&format!("plain-{zone}"), "plain", zone, 10 + last);
        router.handle(now, ForwardEvent::Target(plain));
        let model = target(&format!("model-{zone}"), "models", zone, 20 + last);
        router.handle(now, ForwardEvent::Target(model));
    }
    router.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
    router
}

pub(crate) fn arrival(path: &str, key: Option<&str>) -> ForwardArrival {
    ForwardArrival {
        id: format!("request-{path}").into(),
        host: HOST.into(),
        path: path.into(),
        key: key.map(KeyHash::of),
        ..ForwardArrival::default()
    }
}

/// Returns a request of the account of [`limited_rules`].
pub(crate) fn token_request(tokens: u64) -> ForwardArrival {
    ForwardArrival { tokens: Some((tokens, 0)), ..arrival("/any/x", Some("key-one")) }
}

pub(crate) fn prompt(session: &str, own: &str) -> ForwardArrival {
    let part = |id: &str, tokens| PromptPart { id: id.into(), tokens };
    ForwardArrival {
        model: Some("m".into()),
        prompt: vec![part("root", 2_500), part(session, 3_800), part(own, 2_900)],
        tokens: Some((9_200, 10)),
        digest: RequestDigest::new("POST", HOST, "/stream/x", own.as_bytes()),
        ..arrival("/stream/x", Some("key-one"))
    }
}

/// Returns the number of simulated histories for each plan of faults; `GODWITROAD_HISTORIES` sets another one.
pub(crate) fn histories() -> u64 {
    let text = std::env::var("GODWITROAD_HISTORIES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(10)
}
