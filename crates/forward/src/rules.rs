//! The configuration of a router that forwards requests unchanged.
//!
//! An operator writes it elsewhere; the router only watches it. The adapter that reads it turns each document into
//! one [`ForwardRules`], which is immutable and replaced as a whole, so that a request sees one version throughout.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan, ModelName, RouteName, ServiceName, ZoneName};
use godwitroad_config::KeyHash;

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ForwardRules {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// All client accounts.
    pub accounts: Vec<Arc<AccountRule>>,
    /// The accounts' keys, as hashes, and the position of the account.
    pub keys: BTreeMap<KeyHash, usize>,
    /// What callers may send, and how long they may take.
    pub limits: CallerLimits,
}

/// Requests that are sent to the same services in the same way.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The name.
    pub name: RouteName,
    /// The value of the `Host` header, in lower case.
    pub host: Arc<str>,
    /// The start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether answers are streams of numbered events.
    pub streaming: bool,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether a broken stream may be continued on another target.
    pub resumable: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: ClockSpan,
    /// The time to the answer, or to the first event, that callers expect.
    pub objective: ClockSpan,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services and their shares of the requests.
    pub split: Vec<(ServiceName, u32)>,
    /// The most targets to which one request may be handed.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service whose targets serve requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRule {
    /// The most connections that one target accepts from all routers together; 0 means no limit.
    pub max_connections: u32,
    /// The engine's figures, for model services.
    pub engine: Option<EngineRule>,
    /// The place of the service, if it only stores cache entries.
    pub cache_store: Option<SharedCacheStore>,
}

/// The figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and generated tokens, in tokens.
    pub memory_tokens: u64,
    /// Bytes of one cached token, which a transfer moves.
    pub token_bytes: u64,
    /// The rate of transfers between engines, in megabits per second.
    pub link_mbps: f64,
    /// The most event calls that one target answers at once.
    pub event_calls: u32,
    /// The models that the engine serves.
    pub models: Vec<ModelName>,
}

/// A store of cache entries beside the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedCacheStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The rate of its transfers, in megabits per second.
    pub link_mbps: f64,
    /// The most event calls that it answers at once.
    pub event_calls: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// The name.
    pub name: AccountName,
    /// The rank of its requests, which goes before the route's.
    pub priority: Option<u8>,
    /// Units per second over all routers; 0 means no limit.
    pub rate: u64,
    /// Units that may be used at once beyond the rate.
    pub burst: u64,
    /// Whether the unit is a token; otherwise it is a request.
    pub by_tokens: bool,
    /// Tokens of a request that declares none.
    pub plain_tokens: u64,
    /// Whether the account shares no cache entry with any other.
    pub isolated: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// The time for a request's head to arrive.
    pub head_timeout: ClockSpan,
    /// The time for which an idle connection is kept.
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

impl ForwardRules {
    /// Returns the route of a request: among the host's routes, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_ref())
        });
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the account that holds a key.
    pub fn account_of(&self, key: &KeyHash) -> Option<&Arc<AccountRule>> {
        self.accounts.get(*self.keys.get(key)?)
    }

    /// Returns whether any account exists, so that requests need keys.
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the store of cache entries, if a service is one.
    pub fn cache_store(&self) -> Option<&SharedCacheStore> {
        self.services.values().find_map(|service| service.cache_store.as_ref())
    }
}

impl RouteRule {
    /// Returns the service of a request, in proportion to the weights; `draw` decides, and the same draw gives the
    /// same service.
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
