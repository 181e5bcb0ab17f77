//! Stand-ins for the platform, engines and plain services.
//!
//! The product talks to three outside systems. Tests, demonstrations and measurements need them on one machine
//! and need them to fail on request, so each stand-in speaks the published protocol over loopback, is started in
//! the caller's process, and has fault switches that can be set from code or over `POST /faults`.
//!
//! All servers need a running `actix_rt` system and stop when their handle is dropped.

mod block;
mod engine;
mod hangup;
pub mod local;
mod plain;
mod platform;
mod serve;
mod stub;

pub use block::block_hashes;
pub use engine::{
    AnswerFault, EngineFaults, EngineServer, EngineSettings, EngineWork, LoadedModel, PrefixCache,
    answer_text, token_text,
};
pub use godwitroad_prefix::BLOCK_BYTES;
pub use plain::{PlainFault, PlainServer};
pub use platform::{
    CallCounters, KeyValue, KvStore, PlatformFaults, PlatformServer, StoreChange, StoreError,
};
pub use stub::StubServer;
