//! The claims as they stand in the store.
//!
//! A shard is a row of slices numbered from one. Only the last slice takes new claims; it is sealed, for good, before
//! the next one is created. Whoever adds a claim to a slice has therefore read the final set of claims of every
//! earlier slice, and the same key can't be claimed in two slices by two writers.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{RequestId, VmName};
use godwitroad_store::{LeaseId, StoreKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::{ClaimHash, RequestDigest};

/// The largest answer that is kept in the store, in bytes as JSON.
pub(crate) const STORED_ANSWER_BYTES: usize = 2_048;

/// The error of a slice that can't be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the value is not a slice of claims")]
pub struct RecordError;

/// The result of reading a slice.
pub type Result<T> = std::result::Result<T, RecordError>;

/// The claim of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The request that claimed the key, and the only one that may run under it.
    #[serde(rename = "i")]
    pub runner: RequestId,
    /// The VM that took the request.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The digest of the request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The state.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// The state of a claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// The request may run or may have run.
    #[serde(rename = "c")]
    Claimed,
    /// The request ran to its end.
    #[serde(rename = "f")]
    Finished(AnswerRecord),
    /// The request was sent to a target and its outcome can't be known.
    #[serde(rename = "u")]
    Unknown,
}

/// The answer of a finished request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerRecord {
    /// The digest of the answer.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The answer, when it is text of at most 2 KB; otherwise the VM that ran the request holds it in memory.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub text: Option<Arc<str>>,
}

/// The value of one slice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SliceValue {
    /// The lease with which the slice disappears.
    #[serde(rename = "l")]
    pub lease: LeaseId,
    /// Whether the slice takes no new claims any more.
    #[serde(rename = "z")]
    pub is_sealed: bool,
    /// The claims.
    #[serde(rename = "r")]
    pub records: BTreeMap<ClaimHash, ClaimRecord>,
}

impl AnswerRecord {
    /// Returns the record of `answer`.
    pub fn new(answer: &[u8]) -> AnswerRecord {
        let text =
            std::str::from_utf8(answer).ok().filter(|text| json_bytes(text) <= STORED_ANSWER_BYTES);
        AnswerRecord { digest: RequestDigest::of(answer), text: text.map(Arc::from) }
    }
}

impl SliceValue {
    /// Returns the slice written in `value`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value isn't a slice.
    pub fn decode(value: &[u8]) -> Result<SliceValue> {
        serde_json::from_slice(value).map_err(|_| RecordError)
    }

    /// Returns the value of the slice.
    ///
    /// # Panics
    ///
    /// Never: all keys of a slice are strings, which JSON can always hold.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).expect("a slice has only string keys").into()
    }
}

/// Returns the common beginning of the keys of a shard's slices.
pub(crate) fn shard_prefix(shard: u8) -> StoreKey {
    StoreKey::new(format!("claims/{shard:02}/"))
}

/// Returns the key of a slice.
pub(crate) fn slice_key(shard: u8, number: u64) -> StoreKey {
    StoreKey::new(format!("claims/{shard:02}/{number:016}"))
}

/// Returns the number of the slice under `key`.
pub(crate) fn slice_number(key: &StoreKey) -> Option<u64> {
    key.as_str().rsplit('/').next()?.parse().ok()
}

fn json_bytes(text: &str) -> usize {
    text.chars()
        .map(|char| match char {
            '"' | '\\' | '\n' | '\r' | '\t' => 2,
            char if char < ' ' => 6,
            char => char.len_utf8(),
        })
        .sum()
}
