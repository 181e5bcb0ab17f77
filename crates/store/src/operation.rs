//! The operations that the parts of a router ask of the store client.
//!
//! An operation outlives the calls that it needs: a lost answer leads to a read and perhaps to a second write, and
//! the part that asked sees one result.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime};
use thiserror::Error;

use crate::port::{KeyVersion, LeaseId, StoreEntry, StoreKey};

/// The number that a part of the router gives to one of its operations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OperationId(pub u64);

/// The class of an operation, which decides the budget and the order in which waiting operations are sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// Idempotency claims: a caller waits for them, and they fail at once during an outage.
    Claim,
    /// The configuration.
    Config,
    /// Rosters, rate shares, leases of orders.
    Other,
}

/// How a value shows that it holds a change.
#[derive(Clone, Copy, Debug)]
pub struct ChangeDetector {
    /// The 128 bits that identify the change.
    pub change: u128,
    /// Returns whether the value holds the change, or a later value that was derived from it.
    pub holds: fn(&[u8], u128) -> bool,
}

/// An operation on the store.
#[derive(Clone, Debug)]
pub enum StoreOperation {
    /// Reads one key.
    Get {
        /// The key.
        key: StoreKey,
    },
    /// Reads all keys with a common beginning.
    List {
        /// The common beginning.
        prefix: StoreKey,
    },
    /// Writes a value if the key is at `expected`.
    Cas {
        /// The key.
        key: StoreKey,
        /// The value.
        value: Arc<[u8]>,
        /// The version that the key must have; zero means that it must have no value.
        expected: KeyVersion,
        /// The lease with which the key disappears.
        lease: Option<LeaseId>,
        /// How a lost answer is settled. Without a marker, a write whose answer was lost and whose value was replaced
        /// meanwhile counts as a conflict; the owner must then be able to tell from the value what took effect.
        change_detector: Option<ChangeDetector>,
    },
    /// Removes a key if it is at `expected`.
    Delete {
        /// The key.
        key: StoreKey,
        /// The version that the key must have.
        expected: KeyVersion,
    },
    /// Grants a lease.
    Grant {
        /// The time that the lease lasts without a renewal.
        ttl: ClockSpan,
    },
    /// Renews a lease.
    KeepAlive {
        /// The lease.
        lease: LeaseId,
    },
    /// Reports the present values and then every change, until it is cancelled.
    Watch {
        /// The common beginning of the keys.
        prefix: StoreKey,
    },
}

/// An operation with its class and the time that its owner waits for the result.
#[derive(Clone, Debug)]
pub struct OperationSpec {
    /// The class.
    pub class: CallClass,
    /// The operation.
    pub operation: StoreOperation,
    /// The time after which the operation ends without a result; a watch has no end.
    pub wait: ClockSpan,
}

/// The result of an operation that the store answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperationReply {
    /// The value of a key.
    Value(Option<StoreEntry>),
    /// The values under a common beginning.
    Entries {
        /// The entries in the order of their keys.
        entries: Vec<StoreEntry>,
        /// The newest version of the service.
        latest_version: KeyVersion,
    },
    /// The write took effect.
    Written {
        /// The version of the key.
        version: KeyVersion,
        /// The value at that version, when a lost answer was settled by reading. It can be a later value than the
        /// written one and must be used in its place.
        entry: Option<StoreEntry>,
    },
    /// The write didn't take effect, because the key has this value.
    Conflict(Option<StoreEntry>),
    /// The key was removed.
    Deleted,
    /// The lease is held until this time of the own clock.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// The end, counted from before the call was sent and shortened by the drift bound.
        until: ClockTime,
    },
    /// The lease doesn't exist any more.
    LeaseNotFound,
}

/// Why an operation has no reply.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum OperationError {
    /// The operation had no effect and will have none.
    #[error("the operation was not carried out")]
    NotDone,
    /// The operation may have taken effect or may still do so.
    #[error("the store did not say whether the operation took effect")]
    Unknown,
    /// The store refused the operation.
    #[error("the store refused the operation")]
    Rejected,
}

/// The result of an operation.
pub type Result<T> = std::result::Result<T, OperationError>;

/// What a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchUpdate {
    /// All present values: the first report, and again after versions were discarded by the service.
    Snapshot(Vec<StoreEntry>),
    /// The changes since the last report; empty when the poll time ended without one.
    Changes {
        /// The written entries.
        entries: Vec<StoreEntry>,
        /// The removed keys.
        removed: Vec<StoreKey>,
    },
}

impl OperationSpec {
    /// Returns an order of `class` that ends after `wait_ms` milliseconds.
    pub fn new(class: CallClass, operation: StoreOperation, wait_ms: u64) -> OperationSpec {
        OperationSpec { class, operation, wait: ClockSpan::from_ms(wait_ms) }
    }
}
