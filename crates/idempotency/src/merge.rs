//! The rules by which a claim changes: one record and one piece of work give one reply.
//!
//! The rules are idempotent: work that already took effect gives the same reply again. A write whose answer was lost
//! is therefore settled by reading the slice and merging the same work into what is there.

use godwitroad_base::{ClockTime, RequestId, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    key::{ClaimHash, RequestDigest},
    record::{ClaimRecord, ClaimState},
};

/// What is to be done with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimWork {
    /// Claim the key for a request with this digest.
    Claim {
        /// The digest of the request.
        digest: RequestDigest,
    },
    /// Record how the request ended.
    Finish(ClaimState),
    /// Remove the claim of a request that certainly didn't run and won't.
    Release,
    /// Read the state of the key.
    Lookup,
}

/// A piece of work on its way into a slice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// The request that the work belongs to.
    pub id: RequestId,
    /// The VM that took the request.
    pub vm: VmName,
    /// The key.
    pub hash: ClaimHash,
    /// The work.
    pub work: ClaimWork,
    /// When the entry came to this node; a record must be at least this fresh to answer it.
    #[serde(skip)]
    pub at: ClockTime,
}

/// The reply to a piece of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The key is claimed by the request that asked.
    Granted,
    /// The key is claimed by another request.
    Exists(ClaimRecord),
    /// Nobody has claimed the key.
    Absent,
    /// The end is recorded, or the claim released.
    Done,
    /// The store couldn't be reached in time.
    Unavailable,
}

/// What becomes of the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeChange {
    /// The record stays as it is.
    Keep,
    /// The record becomes this one.
    Put(ClaimRecord),
    /// The record is removed.
    Remove,
}

/// Returns what `entry` changes about the record of its key, and the reply once the change is in the store.
pub fn merge(record: Option<&ClaimRecord>, entry: &ClaimEntry) -> (MergeChange, ClaimReply) {
    let is_own = record.is_some_and(|record| record.runner == entry.id);
    let is_open = record.is_some_and(|record| record.state == ClaimState::Claimed);
    match (&entry.work, record) {
        (ClaimWork::Claim { digest }, None) => {
            let record = ClaimRecord {
                runner: entry.id,
                vm: entry.vm.clone(),
                digest: *digest,
                state: ClaimState::Claimed,
            };
            (MergeChange::Put(record), ClaimReply::Granted)
        }
        (ClaimWork::Claim { .. }, Some(_)) if is_own && is_open => {
            (MergeChange::Keep, ClaimReply::Granted)
        }
        (ClaimWork::Claim { .. } | ClaimWork::Lookup, Some(record)) => {
            (MergeChange::Keep, ClaimReply::Exists(record.clone()))
        }
        (ClaimWork::Lookup, None) => (MergeChange::Keep, ClaimReply::Absent),
        (ClaimWork::Finish(state), Some(record)) if is_own && is_open => {
            let record = ClaimRecord { state: state.clone(), ..record.clone() };
            (MergeChange::Put(record), ClaimReply::Done)
        }
        (ClaimWork::Release, Some(_)) if is_own && is_open => {
            (MergeChange::Remove, ClaimReply::Done)
        }
        (ClaimWork::Finish(_) | ClaimWork::Release, _) => (MergeChange::Keep, ClaimReply::Done),
    }
}
