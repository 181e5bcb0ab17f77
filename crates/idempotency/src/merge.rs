//! The transition rules of a claim: a record and an operation on it yield a change and a reply.
//!
//! The rules are idempotent: an operation that has already taken effect yields the same reply again. A write without a
//! reply is therefore resolved by reading the slice, the store entry that holds the records of many keys, and merging
//! the same operations into it.

use godwitroad_base::{ClockTime, RequestId, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    key::{ClaimHash, RequestDigest},
    record::{ClaimRecord, ClaimState},
};

/// An operation on the claim of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOperation {
    /// Claim the key for a request with this digest.
    Claim {
        /// The digest of the request.
        digest: RequestDigest,
    },
    /// Record the final state of the claimed request.
    Finish(ClaimState),
    /// Remove the claim of a request that definitely didn't run and won't.
    Release,
    /// Read the key's record without changing it.
    Lookup,
}

/// An operation on one key, to be merged into a slice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// The request that the operation belongs to.
    pub id: RequestId,
    /// The VM that received the request.
    pub vm: VmName,
    /// The hash of the account and the idempotency key.
    pub hash: ClaimHash,
    /// The operation.
    pub work: ClaimOperation,
    /// The time at which this node received the entry, by its own clock. The entry is answered only from a record that
    /// was read at this time or later.
    #[serde(skip)]
    pub at: ClockTime,
}

/// The reply to a [`ClaimEntry`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The key is claimed by the entry's own request.
    Granted,
    /// The key has this record: another request claimed it, the entry's request has ended, or the entry is a lookup.
    Exists(ClaimRecord),
    /// The key is not claimed.
    Absent,
    /// The final state is recorded, or the claim is released.
    Done,
    /// The store did not answer in time, or the shard's queue is full.
    Unavailable,
}

/// The change of a key's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeChange {
    /// The record is unchanged.
    Keep,
    /// The record is replaced by this one.
    Put(ClaimRecord),
    /// The record is removed.
    Remove,
}

/// Returns the change that `entry` makes to the record of its key, and the reply to send once the change is stored.
pub fn merge(record: Option<&ClaimRecord>, entry: &ClaimEntry) -> (MergeChange, ClaimReply) {
    let is_own = record.is_some_and(|record| record.runner == entry.id);
    let is_open = record.is_some_and(|record| record.state == ClaimState::Claimed);
    match (&entry.work, record) {
        (ClaimOperation::Claim { digest }, None) => {
            let record = ClaimRecord {
                runner: entry.id,
                vm: entry.vm.clone(),
                digest: *digest,
                state: ClaimState::Claimed,
            };
            (MergeChange::Put(record), ClaimReply::Granted)
        }
        (ClaimOperation::Claim { .. }, Some(_)) if is_own && is_open => {
            (MergeChange::Keep, ClaimReply::Granted)
        }
        (ClaimOperation::Claim { .. } | ClaimOperation::Lookup, Some(record)) => {
            (MergeChange::Keep, ClaimReply::Exists(record.clone()))
        }
        (ClaimOperation::Lookup, None) => (MergeChange::Keep, ClaimReply::Absent),
        (ClaimOperation::Finish(state), Some(record)) if is_own && is_open => {
            let record = ClaimRecord { state: state.clone(), ..record.clone() };
            (MergeChange::Put(record), ClaimReply::Done)
        }
        (ClaimOperation::Release, Some(_)) if is_own && is_open => {
            (MergeChange::Remove, ClaimReply::Done)
        }
        (ClaimOperation::Finish(_) | ClaimOperation::Release, _) => {
            (MergeChange::Keep, ClaimReply::Done)
        }
    }
}
