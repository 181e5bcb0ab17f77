//! Test doubles ("stand-ins") of the platform, of model engines and of plain HTTP services.
//!
//! The routers depend on these three external systems. Tests, demonstrations and measurements need them on one machine
//! and need them to fail on request. Each stand-in therefore implements the published protocol over loopback, runs in
//! the caller's process and has faults that can be set from code or with `POST /faults`.
//!
//! All servers need a running `actix_rt` system and stop when their handle is dropped.

mod block;
mod disconnect;
mod engine;
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
