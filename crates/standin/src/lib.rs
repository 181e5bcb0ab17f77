//! Stand-ins for the platform, engines and plain services.
//!
//! The product talks to three outside systems. Tests, demonstrations and measurements need them on one machine
//! and need them to fail on request, so each stand-in speaks the published protocol over loopback, is started in
//! the caller's process, and has fault switches that can be set from code or over `POST /faults`.
//!
//! All servers need a running `actix_rt` system and stop when their handle is dropped.

mod engine;
mod fixed;
mod hangup;
pub mod local;
mod piece;
mod plain;
mod platform;
mod serve;

pub use engine::{
    AnswerFault, EngineFaults, EngineServer, EngineSettings, EngineWork, LoadedModel, PrefixCache,
    answer_text, token_text,
};
pub use fixed::FixedServer;
pub use godwitroad_prefix::BLOCK_BYTES;
pub use piece::chain_pieces;
pub use plain::{PlainFault, PlainServer};
pub use platform::{
    CallCounters, KeyValue, KvStore, PlatformFaults, PlatformServer, StoreChange, StoreError,
};
