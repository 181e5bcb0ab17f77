//! The head of the configuration and the names of its chunks.
//!
//! The head is the only value that changes. It lists the chunks by digest, so that a node can tell which of them it
//! already holds, and its change log lets a writer whose answer was lost find its own change under later ones.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use godwitroad_store::StoreKey;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The number of changes that a head remembers.
///
/// A writer settles a lost answer within seconds; 64 changes cover that many times over.
const CHANGE_LOG_LENGTH: usize = 64;

/// The SHA-256 digest of a chunk or of a whole document, written in hexadecimal.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChunkDigest([u8; 32]);

/// Identifies one change of the configuration, written in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChangeId(pub u128);

/// The head of an accepted configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncHead {
    /// The generation; it grows by one with each change.
    pub generation: u64,
    /// The digest of the whole document.
    pub digest: ChunkDigest,
    /// The change that made this generation.
    pub change: ChangeId,
    /// The chunks of the document in their order.
    pub chunks: Vec<ChunkDigest>,
    /// The newest changes, this one last.
    #[serde(default)]
    pub log: Vec<ChangeNote>,
}

/// One line of the change log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeNote {
    /// The generation that the change made.
    pub generation: u64,
    /// The change.
    pub change: ChangeId,
}

/// The error of a head or document that doesn't hold together.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeadError {
    /// The head's value can't be read.
    #[error("the head of the configuration is not valid JSON of its shape")]
    Malformed,
    /// A chunk isn't there.
    #[error("chunk {0} is missing")]
    ChunkMissing(ChunkDigest),
    /// The chunks don't give the document of the head.
    #[error("the assembled document does not have the digest that the head states")]
    DigestMismatch,
}

/// The result of reading a head or document.
pub type Result<T> = std::result::Result<T, HeadError>;

/// Returns the key of the head.
pub fn head_key() -> StoreKey {
    StoreKey::from("config/head")
}

/// Returns the key of a chunk.
pub fn chunk_key(digest: ChunkDigest) -> StoreKey {
    StoreKey::new(format!("config/chunks/{digest}"))
}

/// Returns the document of `head` from its chunks.
///
/// # Errors
///
/// Returns an error if a chunk is missing or the document doesn't have the head's digest.
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
    /// Returns the head that follows `base` and holds `chunks`.
    pub fn next(base: Option<&SyncHead>, change: ChangeId, chunks: &[Arc<[u8]>]) -> SyncHead {
        let generation = base.map_or(0, |head| head.generation) + 1;
        let mut log = base.map_or_else(Vec::new, |head| head.log.clone());
        log.push(ChangeNote { generation, change });
        let surplus = log.len().saturating_sub(CHANGE_LOG_LENGTH);
        log.drain(..surplus);
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

    /// Returns the head written in `value`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value isn't a head.
    pub fn decode(value: &[u8]) -> Result<SyncHead> {
        serde_json::from_slice(value).map_err(|_| HeadError::Malformed)
    }

    /// Returns the value of the head.
    ///
    /// # Panics
    ///
    /// Never: a head has only string keys, which JSON can always hold.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).expect("a head has only string keys").into()
    }

    /// Returns the generation that `change` made, if the log still shows it.
    pub fn generation_of(&self, change: ChangeId) -> Option<u64> {
        if self.change == change {
            return Some(self.generation);
        }
        self.log.iter().find(|note| note.change == change).map(|note| note.generation)
    }
}

impl ChunkDigest {
    /// Returns the digest of `bytes`.
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
