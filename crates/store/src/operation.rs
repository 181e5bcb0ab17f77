//! The operations that the components of a router submit to the store client.
//!
//! An operation may take several calls: after a lost answer the client reads the key and may write it again. The
//! component that submitted the operation receives one result.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ClockTime};
use thiserror::Error;

use crate::port::{KeyVersion, LeaseId, StoreEntry, StoreKey};

/// Identifies an operation among those of the component that submitted it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OperationId(pub u64);

/// The class of an operation. It selects the call budget, and waiting operations of earlier classes are sent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// Idempotency claims. A caller waits for them, so they fail immediately during an outage.
    Claim,
    /// Reads, writes and watches of the configuration.
    Config,
    /// All other operations: rosters, rate shares and the lease of the order leader.
    Other,
}

/// Detects whether a stored value includes a change, to resolve a write whose answer was lost.
#[derive(Clone, Copy, Debug)]
pub struct ChangeDetector {
    /// The 128-bit ID of the change.
    pub change_id: u128,
    /// Returns whether the value includes the change with this ID, either as written or in a later value derived from
    /// it.
    pub contains: fn(&[u8], u128) -> bool,
}

/// An operation on the store.
#[derive(Clone, Debug)]
pub enum StoreOperation {
    /// Reads one key.
    Get {
        /// The key to read.
        key: StoreKey,
    },
    /// Reads all keys with a common prefix.
    List {
        /// The common prefix.
        prefix: StoreKey,
    },
    /// Compare-and-swap: writes a value if the key is at version `expected`.
    Cas {
        /// The key to write.
        key: StoreKey,
        /// The value to write.
        value: Arc<[u8]>,
        /// The version that the key must have; zero means that it must have no value.
        expected: KeyVersion,
        /// The lease to attach: the service removes the key when this lease ends.
        lease: Option<LeaseId>,
        /// Detects this write in a value that is read after a lost answer. Without a detector, a write whose answer was
        /// lost and whose value was replaced before the read is reported as a conflict; the submitter must then be able
        /// to tell from the value whether its write took effect.
        change_detector: Option<ChangeDetector>,
    },
    /// Removes a key if it is at version `expected`.
    Delete {
        /// The key to remove.
        key: StoreKey,
        /// The version that the key must have.
        expected: KeyVersion,
    },
    /// Grants a lease.
    Grant {
        /// The time after which the lease expires unless it is renewed.
        ttl: ClockSpan,
    },
    /// Renews a lease.
    KeepAlive {
        /// The lease to renew.
        lease: LeaseId,
    },
    /// Reports the present values and then every change, until the operation is cancelled.
    Watch {
        /// The common prefix of the keys.
        prefix: StoreKey,
    },
}

/// An operation with its class and timeout.
#[derive(Clone, Debug)]
pub struct OperationSpec {
    /// Selects the budget and the priority of the operation's calls.
    pub class: CallClass,
    /// The work to do.
    pub operation: StoreOperation,
    /// The time after which the operation ends with an error; ignored for a watch, which runs until it is cancelled.
    pub timeout: ClockSpan,
}

/// The result of an operation that the store answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperationReply {
    /// The entry of the key, or `None` if it has no value.
    Value(Option<StoreEntry>),
    /// The values of all keys with a common prefix.
    Entries {
        /// The entries in the order of their keys.
        entries: Vec<StoreEntry>,
        /// The latest version of the service when it answered.
        latest_version: KeyVersion,
    },
    /// The write took effect.
    Written {
        /// The version of the key after the write.
        version: KeyVersion,
        /// The entry at that version, if a lost answer was resolved by reading the key. It can be newer than the
        /// written value and must be used in its place.
        entry: Option<StoreEntry>,
    },
    /// The write or removal had no effect, because the key has this value at another version.
    Conflict(Option<StoreEntry>),
    /// The key was removed.
    Deleted,
    /// The lease was granted or renewed.
    Lease {
        /// The lease that was granted or renewed.
        lease: LeaseId,
        /// The time on the node's own clock until which the lease is certainly held: counted from when the call was
        /// sent and shortened by the bound of the clock drift.
        until: ClockTime,
    },
    /// The lease doesn't exist: it expired or was revoked.
    LeaseNotFound,
}

/// The reason why an operation has no reply.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum OperationError {
    /// The operation had no effect and will have none.
    #[error("the operation was not carried out")]
    NotDone,
    /// The operation may have taken effect or may still do so.
    #[error("the store did not say whether the operation took effect")]
    Unknown,
    /// The store rejected the operation.
    #[error("the store refused the operation")]
    Rejected,
}

/// The result of an operation.
pub type Result<T> = std::result::Result<T, OperationError>;

/// A report of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchUpdate {
    /// All present values: sent first, and again after the service discarded the history that the watch needed.
    Snapshot(Vec<StoreEntry>),
    /// The changes since the last report; empty if the poll timed out without a change.
    Changes {
        /// The entries that were written.
        entries: Vec<StoreEntry>,
        /// The keys that were removed.
        removed: Vec<StoreKey>,
    },
}

impl OperationSpec {
    /// Returns the specification of an operation that ends after `timeout_ms` milliseconds.
    pub fn new(class: CallClass, operation: StoreOperation, timeout_ms: u64) -> OperationSpec {
        OperationSpec { class, operation, timeout: ClockSpan::from_ms(timeout_ms) }
    }
}
