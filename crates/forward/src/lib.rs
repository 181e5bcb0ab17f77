//! Decisions of transparent forwarding.
//!
//! A router that forwards takes requests of any shape, sends them to a target unchanged and returns the answer
//! unchanged. What it decides is who may, where to, how often and how late; [`ForwardState`] holds all of it. The
//! configuration, the targets and the named weights are written by others and only watched.
//!
//! Everything here is deterministic: time and randomness are handed in, nothing is read or sent, and the order of
//! hash maps never matters. Many routers can run in one process under virtual time.

mod allowance;
mod choice;
mod freshness;
mod load;
mod peers;
mod recent;
mod request;
mod roster;
mod rules;
mod segments;
mod state;

use xxhash_rust::xxh3::xxh3_64;

pub use allowance::{AllowanceSettings, AllowanceTable, UsageEntry};
pub use choice::{
    ChoiceSettings, PromptDemand, SegmentSource, TargetCandidate, TargetChoice, ZoneDistance,
    choose_candidate,
};
pub use freshness::{ConfigFreshness, ContactSettings};
pub use load::{LoadEntry, LoadReport, LoadTable, WorkSum};
pub use peers::{GossipMessage, MIN_PEER_TIMEOUT, PeerPlace, PeerState, PeerTable, ReloadEntry};
pub use request::{
    AttemptOutcome, ForwardArrival, ForwardRefusal, ForwardRequest, NextStep, RefusalReason,
    SendPlan,
};
pub use roster::{EXPIRY_GRACE, RosterChange, TargetRecord, TargetRoster};
pub use rules::{
    AccountRule, CallerLimits, EngineRule, ForwardRules, RouteRule, ServiceRule, SharedCacheStore,
};
pub use segments::{
    CacheEvent, CacheEventBatch, CachedSegments, PromptPart, SegmentKey, SentPromptEntry,
};
pub use state::{
    FeedSource, ForwardAction, ForwardEvent, ForwardSettings, ForwardState, RetryBounds, StoreStep,
};

/// Returns the short form of a name that peers exchange in place of the name.
pub(crate) fn tag_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> 32) as u32
}
