//! The configuration of a router that forwards requests unchanged.
//!
//! An operator writes the configuration to the platform's store; the router only watches it. The platform adapter turns
//! each document into one immutable [`ForwardRules`], which is replaced as a whole, so that a decision never mixes two
//! versions.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan, ModelName, RouteName, ServiceName, ZoneName};
use godwitroad_config::KeyHash;

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ForwardRules {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes; among the matching ones, the one with the longest prefix applies.
    pub routes: Vec<Arc<RouteRule>>,
    /// The services to which routes refer, and the shared cache store, by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// All client accounts; `keys` refers to them by position.
    pub accounts: Vec<Arc<AccountRule>>,
    /// The position in `accounts` of the account that owns a key, by the key's hash.
    pub keys: BTreeMap<KeyHash, usize>,
    /// Size and time limits for callers.
    pub limits: CallerLimits,
    /// The document that these rules were read from, for peers that read it from here; empty if it isn't kept.
    pub document: Arc<[u8]>,
}

/// A class of requests, matched by host and path, that is forwarded to the same services under the same rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The route's name, for logs and metrics.
    pub name: RouteName,
    /// The value of the `Host` header, in lower case.
    pub host: Arc<str>,
    /// The prefix of matching paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether answers are streams of numbered server-sent events.
    pub streaming: bool,
    /// Whether a request may run more than once, so that it can be retried after a failure.
    pub repeatable: bool,
    /// Whether a broken stream may be continued on another target.
    pub resumable: bool,
    /// The time limit of a request, from its arrival.
    pub timeout: ClockSpan,
    /// The latency objective: the time to the answer, or to the first event of a stream.
    pub objective: ClockSpan,
    /// The longest pause between two events of a stream with which its answer is in time; `None` for no limit.
    pub gap_target: Option<ClockSpan>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services and their weights in the traffic split.
    pub split: Vec<(ServiceName, u32)>,
    /// The maximum number of attempts that may run a request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service: a set of targets that serve the same requests, or the shared cache store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRule {
    /// The maximum number of connections that one target accepts from all routers together; 0 means no limit.
    pub max_connections: u32,
    /// The engine's capacity figures; `None` for services that run no models.
    pub engine: Option<EngineRule>,
    /// The shared cache store, if the service is one; such a service takes no requests.
    pub cache_store: Option<SharedCacheStore>,
}

/// Capacity figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// The number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Memory for prompts and generated tokens, in tokens.
    pub memory_tokens: u64,
    /// The size of one cached token in a transfer, in bytes.
    pub token_bytes: u64,
    /// The rate of transfers between engines, in megabits per second.
    pub link_mbps: f64,
    /// The maximum number of concurrent cache event calls that one target answers.
    pub event_calls: u32,
    /// The models that the engine serves.
    pub models: Vec<ModelName>,
    /// The number of tokens in an event of a stream.
    pub stride: u32,
}

/// The shared cache store: a service beside the engines that keeps copies of their cache entries.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedCacheStore {
    /// The address that engines use for transfers.
    pub address: SocketAddr,
    /// The store's availability zone.
    pub zone: ZoneName,
    /// The store's transfer rate, in megabits per second.
    pub link_mbps: f64,
    /// The maximum number of concurrent cache event calls that it answers.
    pub event_calls: u32,
}

/// A client account with its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// The account's name.
    pub name: AccountName,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// The quota in units per second over all routers; the account is unlimited if `rate` and `burst` are 0.
    pub rate: u64,
    /// The size of the account's token bucket, in units: what it may use at once.
    pub burst: u64,
    /// Whether usage is counted in tokens; otherwise each request counts as one unit.
    pub by_tokens: bool,
    /// The tokens charged for a request that declares none.
    pub plain_tokens: u64,
    /// Whether the account shares no cache entries with other accounts.
    pub isolated: bool,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which a request's head must arrive.
    pub head_timeout: ClockSpan,
    /// The time after which an idle connection is closed.
    pub idle_timeout: ClockSpan,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: ClockSpan::from_secs(10),
            idle_timeout: ClockSpan::from_secs(75),
        }
    }
}

impl AccountRule {
    /// Returns whether the account has a quota.
    pub fn is_limited(&self) -> bool {
        self.rate > 0 || self.burst > 0
    }
}

impl ForwardRules {
    /// Returns the route of a request: among the host's routes, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_ref())
        });
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the account that owns a key.
    pub fn account_of(&self, key: &KeyHash) -> Option<&Arc<AccountRule>> {
        self.accounts.get(*self.keys.get(key)?)
    }

    /// Returns whether requests need keys, which is the case once any account exists.
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the strictest limit of pauses among the streaming routes to a service.
    pub fn strictest_gap(&self, service: &ServiceName) -> Option<ClockSpan> {
        let leads_there = |route: &&Arc<RouteRule>| {
            route.streaming && route.split.iter().any(|(name, _)| name == service)
        };
        self.routes.iter().filter(leads_there).filter_map(|route| route.gap_target).min()
    }

    /// Returns the shared cache store, if a service is one.
    pub fn cache_store(&self) -> Option<&SharedCacheStore> {
        self.services.values().find_map(|service| service.cache_store.as_ref())
    }
}

impl RouteRule {
    /// Returns the service for a request. Over all values of `draw` the services are chosen in proportion to their
    /// weights; the same `draw` always gives the same service.
    pub fn service_for(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.split {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        None
    }
}
