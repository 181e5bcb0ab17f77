//! The port to the platform's key-value service.
//!
//! The state machines of this project emit [`StoreRequest`]s and take [`StoreOutcome`]s; an adapter carries them
//! over HTTP. The shapes follow what the service offers: versioned values, compare-and-swap, leases and watches.

use std::{fmt, sync::Arc};

use godwitroad_base::ClockSpan;
use serde::{Deserialize, Serialize};

/// Identifies one call to the service within one process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct CallId(pub u64);

/// A key of the service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreKey(Arc<str>);

/// The version of a value: it grows with each write of any key, and zero means that the key has no value.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct KeyVersion(pub u64);

/// Identifies a lease of the service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseId(pub i64);

/// A value with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreEntry {
    /// The key.
    pub key: StoreKey,
    /// The version of the last write to the key.
    pub version: KeyVersion,
    /// The value.
    pub value: Arc<[u8]>,
}

/// A call to the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Reads all keys that begin with `prefix`.
    List {
        /// The common beginning of the keys.
        prefix: StoreKey,
    },
    /// Reads one key.
    Get {
        /// The key.
        key: StoreKey,
    },
    /// Writes `value` if the key is at `expected`, or always when `expected` is `None`.
    Put {
        /// The key.
        key: StoreKey,
        /// The value to write.
        value: Arc<[u8]>,
        /// The version that the key must have; [`KeyVersion`] zero means that it must have no value.
        expected: Option<KeyVersion>,
        /// The lease with which the key disappears.
        lease: Option<LeaseId>,
    },
    /// Removes the key if it is at `expected`.
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
    /// Waits until a key that begins with `prefix` changes after `after`, or until the adapter's poll time ends.
    Watch {
        /// The common beginning of the keys.
        prefix: StoreKey,
        /// The newest version already seen.
        after: KeyVersion,
    },
}

/// The answer of the service to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The value of a [`StoreRequest::Get`].
    Value(Option<StoreEntry>),
    /// The values of a [`StoreRequest::List`] or the changes of a [`StoreRequest::Watch`], and the service's newest version.
    Entries {
        /// The entries; a removed key is reported with an empty value and its version in `removed`.
        entries: Vec<StoreEntry>,
        /// The keys that were removed.
        removed: Vec<StoreKey>,
        /// The newest version of the service.
        latest_version: KeyVersion,
    },
    /// A write took effect and gave the key this version.
    Written(KeyVersion),
    /// A write didn't take effect, because the key has this value.
    Conflict(Option<StoreEntry>),
    /// A lease was granted or renewed for this span.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// The time that it lasts from the moment the call was sent.
        ttl: ClockSpan,
    },
    /// The lease doesn't exist any more.
    LeaseNotFound,
    /// The watch asked for a version that the service has discarded; the watcher must list again.
    Compacted,
}

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// The call certainly didn't reach the service.
    NotSent,
    /// The call may have taken effect.
    Unknown,
    /// The service refused the call, for instance because the value is too large.
    Rejected,
}

/// What came of a call.
pub type StoreOutcome = std::result::Result<StoreReply, StoreFailure>;

impl StoreKey {
    /// Returns the key written as `text`.
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
