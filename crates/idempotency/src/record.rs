//! The stored format of claims.
//!
//! A shard is a sequence of slices numbered from one. Only the last slice accepts new claims; it is sealed permanently
//! before the next one is created. A writer that adds a claim to a slice has therefore read the final set of claims of
//! every earlier slice, and two writers can't claim the same key in two slices.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{RequestId, VmName};
use godwitroad_store::{LeaseId, StoreKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::{ClaimHash, RequestDigest};

/// The maximum length of an answer in the store, in bytes of JSON.
pub(crate) const MAX_STORED_ANSWER_BYTES: usize = 2_048;

/// The error of a slice or hash that can't be decoded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the value is not a slice of claims")]
pub struct RecordError;

/// The result of decoding a slice.
pub type Result<T> = std::result::Result<T, RecordError>;

/// The stored claim of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The request that claimed the key, and the only one that may run under it.
    #[serde(rename = "i")]
    pub runner: RequestId,
    /// The VM that received the request.
    #[serde(rename = "v")]
    pub vm: VmName,
    /// The digest of the request; a request with another digest may not use the key.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The state of the claim.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// The state of a claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// The request may run or may have run.
    #[serde(rename = "c")]
    Claimed,
    /// The request ran and was answered.
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
    /// The answer if it is UTF-8 text of at most 2 KB as JSON; otherwise the VM that ran the request caches it.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub text: Option<Arc<str>>,
}

/// The stored value of one slice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SliceValue {
    /// The lease with which the slice expires.
    #[serde(rename = "l")]
    pub lease: LeaseId,
    /// Whether the slice accepts no more claims.
    #[serde(rename = "z")]
    pub is_sealed: bool,
    /// The claims by key.
    #[serde(rename = "r")]
    pub records: BTreeMap<ClaimHash, ClaimRecord>,
}

impl AnswerRecord {
    /// Returns the record of `answer`.
    pub fn new(answer: &[u8]) -> AnswerRecord {
        let text = std::str::from_utf8(answer)
            .ok()
            .filter(|text| json_bytes(text) <= MAX_STORED_ANSWER_BYTES);
        AnswerRecord { digest: RequestDigest::of(answer), text: text.map(Arc::from) }
    }
}

impl SliceValue {
    /// Decodes a slice from its JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` is not a slice.
    pub fn decode(value: &[u8]) -> Result<SliceValue> {
        serde_json::from_slice(value).map_err(|_| RecordError)
    }

    /// Encodes the slice as JSON.
    ///
    /// # Panics
    ///
    /// Never panics: all keys of a slice are strings, as JSON requires.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).expect("a slice has only string keys").into()
    }
}

/// Returns the prefix of the store keys of a shard's slices.
pub(crate) fn shard_prefix(shard: u8) -> StoreKey {
    StoreKey::new(format!("claims/{shard:02}/"))
}

/// Returns the store key of a slice.
pub(crate) fn slice_key(shard: u8, number: u64) -> StoreKey {
    StoreKey::new(format!("claims/{shard:02}/{number:016}"))
}

/// Returns the number of the slice with the store key `key`.
pub(crate) fn slice_number(key: &StoreKey) -> Option<u64> {
    key.as_str().rsplit('/').next()?.parse().ok()
}

// Returns the length of `text` as a JSON string without its quotes.
fn json_bytes(text: &str) -> usize {
    text.chars()
        .map(|char| match char {
            '"' | '\\' | '\n' | '\r' | '\t' => 2,
            char if char < ' ' => 6,
            char => char.len_utf8(),
        })
        .sum()
}
