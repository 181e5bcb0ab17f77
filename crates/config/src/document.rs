//! The configuration document that operators write.
//!
//! The types are plain data with `Default`, so that an operator's program can name the fields that matter and take
//! the rest by update syntax. [`crate::check`] decides whether a document is acceptable.

use godwitroad_base::{
    AccountName, ClockSpan, KeyName, ModelName, RegionName, RouteName, ServiceName, TargetName,
    ZoneName,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::key::KeyHash;

/// The whole configuration of a fleet.
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
    /// The limits that hold for the whole fleet.
    pub fleet: FleetConfig,
}

/// A region: availability zones with fast links between them.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// The name of the region.
    pub name: RegionName,
    /// The availability zones in the region.
    pub zones: Vec<ZoneName>,
}

/// A model that callers can ask for.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The name that callers write in the `model` field.
    pub name: ModelName,
    /// The version of the weights; cached prefixes of another version are never used.
    pub version: String,
    /// The adapter applied to the weights, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

/// A set of targets that answer the same requests.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name of the service.
    pub name: ServiceName,
    /// What the targets are.
    pub kind: ServiceKind,
    /// The models that the targets serve; empty for a plain service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelName>,
    /// Whether the targets refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The targets.
    pub targets: Vec<TargetConfig>,
}

/// What the targets of a service are.
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

/// One worker of a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// The name of the target.
    pub name: TargetName,
    /// The availability zone in which the target runs.
    pub zone: ZoneName,
    /// The IP address and port, such as `127.0.0.1:9000`.
    pub address: String,
    /// The number of requests that the target runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the target is leaving: it gets no new request.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// The name of the account.
    pub name: AccountName,
    /// The share of capacity under overload, relative to other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The rate over all VMs together.
    pub rate: RateConfig,
    /// What a zone does for this account while it reaches neither the platform nor another zone.
    #[serde(default)]
    pub cut_off: CutOffPolicy,
    /// The keys of the account.
    #[serde(default)]
    pub keys: Vec<KeyConfig>,
}

/// A fleet-wide token bucket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateConfig {
    /// The tokens admitted per second in the long run; above zero.
    pub tokens_per_second: u64,
    /// The tokens that may be admitted at once after a quiet time; above zero.
    pub burst_tokens: u64,
}

/// What a cut-off zone does for an account.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CutOffPolicy {
    /// Serves with the last accepted configuration, and applies a withdrawal on contact.
    #[default]
    Serve,
    /// Refuses once the zone has been cut off for the fleet's `cut_off_after` span.
    Refuse,
}

/// A key of a client account, known only by its hash.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The public name of the key.
    pub name: KeyName,
    /// The SHA-256 hash of the secret, in hexadecimal.
    pub hash: KeyHash,
    /// The routes on which the key is valid; empty means all routes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteName>,
}

/// A route from a request path to a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The name of the route.
    pub name: RouteName,
    /// The path prefix that the route takes; the longest match wins.
    pub path: String,
    /// The service that answers.
    pub service: ServiceName,
    /// Who may use the route.
    #[serde(default)]
    pub access: RouteAccess,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeat: RepeatRule,
    /// The priority of requests that name none.
    #[serde(default)]
    pub priority: PriorityClass,
    /// The time after which a queued request is refused.
    #[serde(default = "default_deadline")]
    pub deadline_ms: ClockSpan,
}

/// Who may use a route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Callers with a valid key.
    #[default]
    Keyed,
    /// All callers.
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
    /// A caller waits for the answer.
    #[default]
    Interactive,
    /// Work with a deadline that nobody watches.
    Batch,
    /// Work that uses idle capacity only.
    Overnight,
}

/// The limits that hold for the whole fleet.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// The time that an idempotency key is remembered.
    pub claim_retention_ms: ClockSpan,
    /// The time without contact after which a zone counts as cut off.
    pub cut_off_after_ms: ClockSpan,
    /// The bytes per second that a zone may send to other regions.
    pub link_bytes_per_second: u64,
    /// The largest request body in bytes.
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
