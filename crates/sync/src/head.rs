//! The head of the configuration and the keys of its chunks.
//!
//! The head is the only value that changes. It lists the chunks by digest, so that a node can tell which of them it
//! already has. A writer whose answer was lost finds its change in the head's change log, even after later changes.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use godwitroad_store::StoreKey;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The number of changes in the log of a head.
///
/// A writer resolves a lost answer within seconds, in which far fewer than 64 changes are accepted.
const CHANGE_LOG_LENGTH: usize = 64;

/// The SHA-256 digest of a chunk or of a whole document, written in hexadecimal.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChunkDigest([u8; 32]);

/// Identifies a change of the configuration, written in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChangeId(pub u128);

/// The head of an accepted configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncHead {
    /// The number of the configuration, which each change increments by one.
    pub generation: u64,
    /// The digest of the whole document.
    pub digest: ChunkDigest,
    /// The ID of the change that made this generation.
    pub change: ChangeId,
    /// The digests of the chunks in the order in which they form the document.
    pub chunks: Vec<ChunkDigest>,
    /// The latest changes in the order of their generations, including the one that made this head.
    #[serde(default)]
    pub log: Vec<ChangeLogEntry>,
}

/// An entry of the change log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeLogEntry {
    /// The generation that the change made.
    pub generation: u64,
    /// The ID of the change.
    pub change: ChangeId,
}

/// The error of an invalid head or an incomplete document.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// The value can't be parsed as a head, or the text as a digest or change ID.
    #[error("the head of the configuration is not JSON of the expected schema")]
    Malformed,
    /// A chunk that the head lists is missing.
    #[error("chunk {0} is missing")]
    ChunkMissing(ChunkDigest),
    /// The document assembled from the chunks has another digest than the head states.
    #[error("the digest of the assembled document differs from the digest in the head")]
    DigestMismatch,
}

/// The result of parsing a head or assembling a document.
pub type Result<T> = std::result::Result<T, HeadError>;

/// Returns the key under which the store holds the head.
pub fn head_key() -> StoreKey {
    StoreKey::from("config/head")
}

/// Returns the key under which the store holds the chunk with this digest.
pub fn chunk_key(digest: ChunkDigest) -> StoreKey {
    StoreKey::new(format!("config/chunks/{digest}"))
}

/// Assembles the document of `head` from its chunks.
///
/// # Errors
///
/// Returns an error if a chunk is missing or the document's digest differs from the head's.
pub fn assemble(head: &SyncHead, chunks: &BTreeMap<ChunkDigest, Arc<[u8]>>) -> Result<Arc<[u8]>> {
    let mut document = Vec::new();
    for digest in &head.chunks {
        let chunk = chunks.get(digest).ok_or(HeadError::ChunkMissing(*digest))?;
        document.extend_from_slice(chunk);
    }
    if ChunkDigest::compute(&document) != head.digest {
        return Err(HeadError::DigestMismatch);
    }
    Ok(document.into())
}

impl SyncHead {
    /// Returns the head of the generation after `base` whose document consists of `chunks`.
    pub fn next(base: Option<&SyncHead>, change: ChangeId, chunks: &[Arc<[u8]>]) -> SyncHead {
        let generation = base.map_or(0, |head| head.generation) + 1;
        let mut log = base.map_or_else(Vec::new, |head| head.log.clone());
        log.push(ChangeLogEntry { generation, change });
        let excess = log.len().saturating_sub(CHANGE_LOG_LENGTH);
        log.drain(..excess);
        let mut hasher = Sha256::new();
        chunks.iter().for_each(|chunk| hasher.update(chunk));
        SyncHead {
            generation,
            digest: ChunkDigest(hasher.finalize().into()),
            change,
            chunks: chunks.iter().map(|chunk| ChunkDigest::compute(chunk)).collect(),
            log,
        }
    }

    /// Parses a head from the bytes that the store holds.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` isn't a valid head.
    pub fn decode(value: &[u8]) -> Result<SyncHead> {
        serde_json::from_slice(value).map_err(|_| HeadError::Malformed)
    }

    /// Returns the bytes of the head as the store holds them.
    ///
    /// # Panics
    ///
    /// Never panics: a head has only string keys, so it can always be written as JSON.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).expect("a head has only string keys").into()
    }

    /// Returns the generation that `change` made, or `None` if the log does not contain it.
    pub fn generation_of(&self, change: ChangeId) -> Option<u64> {
        if self.change == change {
            return Some(self.generation);
        }
        self.log.iter().find(|entry| entry.change == change).map(|entry| entry.generation)
    }
}

impl ChunkDigest {
    /// Computes the digest of `bytes`.
    pub fn compute(bytes: &[u8]) -> ChunkDigest {
        ChunkDigest(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for ChunkDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ChunkDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for ChunkDigest {
    type Err = HeadError;

    fn from_str(text: &str) -> Result<ChunkDigest> {
        let is_hex = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(HeadError::Malformed);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| HeadError::Malformed)?;
        }
        Ok(ChunkDigest(digest))
    }
}

impl FromStr for ChangeId {
    type Err = HeadError;

    fn from_str(text: &str) -> Result<ChangeId> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(HeadError::Malformed);
        }
        u128::from_str_radix(text, 16).map(ChangeId).map_err(|_| HeadError::Malformed)
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(
                &self,
                serializer: S,
            ) -> std::result::Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(
                deserializer: D,
            ) -> std::result::Result<$name, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    };
}

serde_as_text!(ChunkDigest);
serde_as_text!(ChangeId);
