//! The interface between the state machines and the adapter that calls the platform's key-value service.
//!
//! State machines emit [`StoreRequest`]s and receive [`StoreOutcome`]s; an adapter sends them over HTTP. The types
//! mirror the features of the service: versioned values, compare-and-swap, leases and watches.

use std::{fmt, sync::Arc};

use godwitroad_base::ClockSpan;
use serde::{Deserialize, Serialize};

/// Identifies one call to the service within one process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct CallId(pub u64);

/// A key of the key-value service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreKey(Arc<str>);

/// The version of a value, taken from a counter that the service increments with each write of any key.
///
/// Zero means that the key has no value.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct KeyVersion(pub u64);

/// Identifies a lease; the service assigns the number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseId(pub i64);

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreEntry {
    /// The key under which the value is stored.
    pub key: StoreKey,
    /// The version of the last write to the key.
    pub version: KeyVersion,
    /// The stored bytes.
    pub value: Arc<[u8]>,
}

/// A call to the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Reads all keys that begin with `prefix`.
    List {
        /// The common prefix of the keys.
        prefix: StoreKey,
    },
    /// Reads one key.
    Get {
        /// The key to read.
        key: StoreKey,
    },
    /// Writes `value` if the key is at version `expected`, or unconditionally if `expected` is `None`.
    Put {
        /// The key to write.
        key: StoreKey,
        /// The value to write.
        value: Arc<[u8]>,
        /// The version that the key must have; [`KeyVersion`] zero means that it must have no value.
        expected: Option<KeyVersion>,
        /// The lease to attach: the service removes the key when this lease ends.
        lease: Option<LeaseId>,
    },
    /// Removes the key if it is at version `expected`.
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
    /// Waits until a key that begins with `prefix` changes after version `after`, or until the adapter's poll timeout.
    Watch {
        /// The common prefix of the keys.
        prefix: StoreKey,
        /// The latest version that the caller has received.
        after: KeyVersion,
    },
}

/// The answer of the service to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The value of a [`StoreRequest::Get`].
    Value(Option<StoreEntry>),
    /// The values of a [`StoreRequest::List`] or the changes of a [`StoreRequest::Watch`].
    Entries {
        /// The present values, or those written since the watched version. Removed keys are listed in `removed` only.
        entries: Vec<StoreEntry>,
        /// The keys removed since the watched version; empty in the answer to a list.
        removed: Vec<StoreKey>,
        /// The latest version of the service when it answered.
        latest_version: KeyVersion,
    },
    /// The write or removal took effect with this version.
    Written(KeyVersion),
    /// The write or removal had no effect, because the key has this value at another version.
    Conflict(Option<StoreEntry>),
    /// A lease was granted or renewed.
    Lease {
        /// The lease that was granted or renewed.
        lease: LeaseId,
        /// The time until it expires, which the caller counts from when it sent the call.
        ttl: ClockSpan,
    },
    /// The lease doesn't exist: it expired or was revoked.
    LeaseNotFound,
    /// The service has discarded the history since the watched version; the watcher must list the keys again.
    Compacted,
}

/// The reason why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// The call didn't reach the service and had no effect.
    NotSent,
    /// The service did not answer; the call may have taken effect.
    Unknown,
    /// The service rejected the call, for example because the value is too large.
    Rejected,
}

/// The result of a call.
pub type StoreOutcome = std::result::Result<StoreReply, StoreFailure>;

impl StoreKey {
    /// Returns the key with the given text.
    pub fn new(text: impl Into<Arc<str>>) -> StoreKey {
        StoreKey(text.into())
    }

    /// Returns the text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for StoreKey {
    fn from(text: &str) -> StoreKey {
        StoreKey(text.into())
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StoreFailure::NotSent => "the call did not reach the store",
            StoreFailure::Unknown => "the store did not answer; the call may have taken effect",
            StoreFailure::Rejected => "the store refused the call",
        })
    }
}

impl std::error::Error for StoreFailure {}
