//! The types of the configuration document.
//!
//! They are plain data that mostly implements `Default`, so that an operator's program can set the relevant fields and
//! fill in the others with struct update syntax. [`crate::check`] validates a document. The doc comments are also the
//! descriptions in the JSON Schema.

use godwitroad_base::{
    AccountName, ClockSpan, KeyName, ModelName, RegionName, RouteName, ServiceName, TargetName,
    ZoneName,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::key::KeyHash;

/// The complete configuration of a fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigDocument {
    /// The regions and their availability zones.
    pub regions: Vec<RegionConfig>,
    /// The models and the versions of their weights.
    pub models: Vec<ModelConfig>,
    /// The services and their targets.
    pub services: Vec<ServiceConfig>,
    /// The client accounts with their rates and keys.
    pub accounts: Vec<AccountConfig>,
    /// The routes from request paths to services.
    pub routes: Vec<RouteConfig>,
    /// The fleet-wide limits.
    pub fleet: FleetConfig,
}

/// A region, which is a group of availability zones with fast links between them.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// The name of the region.
    pub name: RegionName,
    /// The availability zones in the region.
    pub zones: Vec<ZoneName>,
}

/// A model that callers can request.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The name that callers send in the `model` field of a request.
    pub name: ModelName,
    /// The version of the weights. Prefixes cached for another version are never used.
    pub version: String,
    /// The adapter applied to the weights, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

/// A set of interchangeable targets that answer the same requests.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name of the service.
    pub name: ServiceName,
    /// The kind of the targets.
    pub kind: ServiceKind,
    /// The models that the targets serve; must be empty for a plain service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelName>,
    /// Whether the targets reject orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The targets of the service; at least one.
    pub targets: Vec<TargetConfig>,
}

/// The kind of a service's targets.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Workers of a model engine.
    #[default]
    Engine,
    /// Servers of a plain HTTP service.
    Plain,
}

/// A target, which is one worker of a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// The name of the target.
    pub name: TargetName,
    /// The availability zone in which the target runs.
    pub zone: ZoneName,
    /// The IP address and port of the target, such as `127.0.0.1:9000`.
    pub address: String,
    /// The number of requests that the target can run concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the target is being removed; it then receives no new requests.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// The name of the account.
    pub name: AccountName,
    /// The account's share of the capacity under overload, relative to the weights of other accounts; above zero.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The rate limit of the account, summed over all VMs.
    pub rate: RateConfig,
    /// How a zone treats this account while the zone can reach neither the platform nor another zone.
    #[serde(default)]
    pub cut_off: CutOffPolicy,
    /// The keys of the account.
    #[serde(default)]
    pub keys: Vec<KeyConfig>,
}

/// The parameters of a fleet-wide token bucket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateConfig {
    /// The number of tokens added to the bucket per second; above zero.
    pub tokens_per_second: u64,
    /// The capacity of the bucket, which is the number of tokens that can be admitted at once after an idle period;
    /// above zero.
    pub burst_tokens: u64,
}

/// How a zone treats an account while the zone is cut off from the platform and from all other zones.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CutOffPolicy {
    /// Serves requests with the last known configuration; a withdrawn key stays valid there until contact is regained.
    #[default]
    Serve,
    /// Refuses requests once the zone has been cut off for the time in the fleet's `cut_off_after_ms`.
    Refuse,
}

/// A key of a client account, stored only as the hash of its secret.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The public name of the key, unique within the account.
    pub name: KeyName,
    /// The SHA-256 hash of the secret, in hexadecimal.
    pub hash: KeyHash,
    /// The routes for which the key is valid; an empty list means all routes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteName>,
}

/// A route from a request path to a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The name of the route.
    pub name: RouteName,
    /// The path prefix of the requests that use the route; of several matching routes the one with the longest prefix is
    /// used.
    pub path: String,
    /// The service that answers the requests.
    pub service: ServiceName,
    /// The callers that may use the route.
    #[serde(default)]
    pub access: RouteAccess,
    /// Whether a request on the route may run more than once.
    #[serde(default)]
    pub repeat: RepeatRule,
    /// The priority class of requests that don't specify one.
    #[serde(default)]
    pub priority: PriorityClass,
    /// The time in milliseconds after which a request that is still queued is refused, and after which a request
    /// ends whose target has sent nothing meanwhile; above zero.
    #[serde(default = "default_deadline")]
    pub deadline_ms: ClockSpan,
}

/// The callers that may use a route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Only callers with a valid key.
    #[default]
    Keyed,
    /// All callers, including those without a key.
    Open,
}

/// Whether a request may run more than once.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// The request is idempotent and may be retried on another target.
    #[default]
    Repeatable,
    /// The request runs at most once.
    RunOnce,
}

/// The priority class of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Requests for whose answer a caller is waiting.
    #[default]
    Interactive,
    /// Background work that has a deadline.
    Batch,
    /// Background work that uses idle capacity only.
    Overnight,
}

/// The fleet-wide limits.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// The time in milliseconds for which an idempotency key is stored.
    pub claim_retention_ms: ClockSpan,
    /// The time in milliseconds without contact to the platform or another zone after which a zone counts as cut off.
    pub cut_off_after_ms: ClockSpan,
    /// The maximum number of bytes per second that a zone may send to other regions.
    pub link_bytes_per_second: u64,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: u64,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            claim_retention_ms: ClockSpan::from_secs(24 * 3_600),
            cut_off_after_ms: ClockSpan::from_secs(30),
            link_bytes_per_second: 1_000_000,
            max_body_bytes: 8 << 20,
        }
    }
}

impl Default for RateConfig {
    fn default() -> RateConfig {
        RateConfig { tokens_per_second: 1_000, burst_tokens: 10_000 }
    }
}

impl Default for AccountConfig {
    fn default() -> AccountConfig {
        AccountConfig {
            name: "".into(),
            weight: default_weight(),
            rate: RateConfig::default(),
            cut_off: CutOffPolicy::default(),
            keys: Vec::new(),
        }
    }
}

impl Default for RouteConfig {
    fn default() -> RouteConfig {
        RouteConfig {
            name: "".into(),
            path: String::new(),
            service: "".into(),
            access: RouteAccess::default(),
            repeat: RepeatRule::default(),
            priority: PriorityClass::default(),
            deadline_ms: default_deadline(),
        }
    }
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            name: "".into(),
            kind: ServiceKind::default(),
            models: Vec::new(),
            checks_fencing: false,
            targets: Vec::new(),
        }
    }
}

impl Default for TargetConfig {
    fn default() -> TargetConfig {
        TargetConfig {
            name: "".into(),
            zone: "".into(),
            address: String::new(),
            slots: default_slots(),
            leaving: false,
        }
    }
}

fn default_slots() -> u32 {
    8
}

fn default_weight() -> u32 {
    1
}

fn default_deadline() -> ClockSpan {
    ClockSpan::from_secs(30)
}

fn is_false(flag: &bool) -> bool {
    !flag
}
