//! Decisions of transparent forwarding.
//!
//! A forwarding router passes requests to a target and answers to the caller without changing them. It decides whether
//! a request is admitted, which target gets it, how often it is tried, and when to give up; [`ForwardState`] holds all
//! of these decisions. The configuration, the list of targets and the desired weight versions are written by others;
//! the router only watches them.
//!
//! The crate is deterministic: the caller passes in the time and the random seed, there is no I/O, and no result
//! depends on the order of a hash map. Many routers can therefore run in one process under virtual time.

mod allowance;
mod announcements;
mod changes;
mod choice;
mod freshness;
mod isolation;
mod leaving;
mod load;
mod peers;
mod reach;
mod recent;
mod request;
mod roster;
mod rules;
mod segments;
mod state;
mod stop;
mod usage;

use xxhash_rust::xxh3::xxh3_64;

pub use allowance::{AllowanceRefusal, AllowanceSettings, AllowanceTable, UsageEntry};
pub use changes::{ChangeLog, ChangePiece, MAX_CHANGES_BYTES};
pub use choice::{
    ChoiceSettings, LearnedCost, PromptDemand, SegmentSource, TargetCandidate, TargetChoice,
    ZoneDistance, choose_candidate,
};
pub use freshness::{ConfigFreshness, ContactSettings};
pub use godwitroad_admission::{AdmissionSettings, SettingsError};
pub use godwitroad_cost::{CostEstimate, CostSettings, EstimateError, PaceEntry, SentRequest};
pub use godwitroad_origins::{BuildTag, OriginNotes, OriginSettings};
pub use godwitroad_quarantine::{
    AnswerPhase, CrashReport, PartKey, QuarantineNotes, QuarantineSettings, RequestDigest,
    WithheldPart,
};
pub use godwitroad_rollout::{
    RolloutNote, RolloutOrder, RolloutPhase, RolloutSettings, RolloutStatus, StatusKind, StatusStep,
};
pub use godwitroad_throttle::{
    BrittleNotice, BrittleReport, BrittleStatement, DeferralNotice, LimitNotice, LimitReport,
    LimitStatement, RejectionBound, RequestRate, RoomStatement,
};
pub use leaving::{LeavingNotice, LeavingSign};
pub use load::{LoadEntry, LoadReport, LoadTable, PaceNotice, WorkSum};
pub use peers::{
    DeferralEntry, GossipMessage, MIN_PEER_TIMEOUT, PeerPlace, PeerState, PeerTable, PeerTiming,
    ReachableMark, ReloadEntry,
};
pub use reach::{DirectOutcome, ReachChange, ReachNotes, ReachSettings};
pub use request::{
    AttemptOutcome, ForwardArrival, ForwardRefusal, ForwardRequest, NextStep, RefusalReason,
    SendPlan, StreamProgress,
};
pub use roster::{EXPIRY_GRACE, RosterChange, TargetRecord, TargetRoster};
pub use rules::{
    AccountRule, CallerLimits, EngineRule, ForwardRules, RouteRule, ServiceRule, SharedCacheStore,
};
pub use segments::{
    CacheEvent, CacheEventBatch, CachedSegments, FeedPosition, PromptPart, SegmentKey,
    SentPromptEntry,
};
pub use state::{
    ConfigRead, ConnectPlan, FeedSource, ForwardAction, ForwardEvent, ForwardSettings,
    ForwardState, GossipRound, RelayPeer, RetryBounds, StoreRoute, StoreStep, WeightRecord,
};
pub use stop::{StopPhase, StopSchedule};

/// Returns the 32-bit tag that stands for a name in gossip messages: the upper half of the name's 64-bit hash.
pub(crate) fn tag_of(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> 32) as u32
}
