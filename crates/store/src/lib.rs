//! Client state machine for the platform's key-value service.
//!
//! The service offers versioned values, compare-and-swap, leases and watches. It has long outages, and its answer to a
//! write can be lost after the write took effect. The client handles both in one place for all crates that use the
//! service: it retries, resolves lost answers by reading the key again, limits the number of calls and stops calling a
//! service that is down.

mod breaker;
mod budget;
mod client;
mod counters;
pub mod model;
mod operation;
mod port;
pub mod sim;
mod task;

pub use breaker::BreakerSettings;
pub use budget::BudgetSettings;
pub use client::{ClientSettings, StoreAction, StoreClient, StoreEvent};
pub use counters::{CallKind, KindCounters, StoreCounters};
pub use operation::{
    CallClass, ChangeDetector, OperationError, OperationId, OperationReply, OperationSpec, Result,
    StoreOperation, WatchUpdate,
};
pub use port::{
    CallId, KeyVersion, LeaseId, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply,
    StoreRequest,
};
