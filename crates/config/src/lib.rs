//! The configuration document: types, checks, comparison and schema.
//!
//! Operators write a small program against these types; it prints the document as JSON.

mod document;
mod key;

pub use document::{
    AccountConfig, ConfigDocument, CutOffPolicy, FleetConfig, KeyConfig, ModelConfig,
    PriorityClass, RateConfig, RegionConfig, RepeatRule, RouteAccess, RouteConfig, ServiceConfig,
    ServiceKind, TargetConfig,
};
pub use key::KeyHash;
