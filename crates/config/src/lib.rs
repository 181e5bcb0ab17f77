//! The configuration document: types, checks, comparison and schema.
//!
//! Operators write a small program against these types; it prints the document as JSON with [`print_document`].
//! The client checks the document again, splits it into chunks and writes it to the store; routers join the
//! chunks and look up routes and keys in tables.

mod check;
pub mod chunks;
mod diff;
mod document;
mod key;
mod lookup;
mod parse;
mod print;
mod schema;

pub use check::{ConfigMistake, check};
pub use chunks::{ChangeRecord, ChunkName, ConfigChunk, ConfigHead, JoinError, SplitError};
pub use diff::{ConfigChange, ItemName, diff};
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
