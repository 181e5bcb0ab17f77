//! The operators' configuration document: types, validation, comparison, chunking and JSON Schema.
//!
//! Operators write a small program that builds a [`ConfigDocument`] and prints it as JSON with [`print_document`].
//! The command-line client validates the document again, splits it into chunks and writes them to the store. Routers
//! join the chunks and look up routes and keys in a [`RouteTable`] and a [`KeyTable`].

mod check;
pub mod chunks;
mod diff;
mod document;
mod key;
mod lookup;
mod parse;
mod print;
mod schema;

pub use check::{ConfigError, check};
pub use chunks::{ChangeRecord, ChunkName, ConfigChunk, ConfigHead, JoinError, SplitError};
pub use diff::{ConfigChange, ItemId, diff};
pub use document::{
    AccountConfig, ConfigDocument, CutOffPolicy, FleetConfig, KeyConfig, ModelConfig,
    PriorityClass, RateConfig, RegionConfig, RepeatRule, RouteAccess, RouteConfig, ServiceConfig,
    ServiceKind, TargetConfig,
};
pub use key::KeyHash;
pub use lookup::{KeyGrant, KeyTable, RouteTable};
pub use parse::{ParseError, parse};
pub use print::{document_text, print_document};
pub use schema::schema_text;
