//! Splitting a document into content-addressed chunks.
//!
//! The store takes values of at most 1 MB and has no transactions across keys. A document is therefore written as
//! immutable chunks named by their SHA-256 hash, and becomes current with one write of the [`ConfigHead`] that
//! lists them. Where the text is cut depends on the items' names and not on their positions, so that a change
//! replaces few chunks.
//!
//! The chunks one after the other are the document's JSON text, so that a reader needs to know nothing about where
//! it was cut.

mod head;
mod text;

use std::{fmt, str::FromStr, sync::Arc};

use godwitroad_base::rendezvous;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use thiserror::Error;

pub use head::{ChangeRecord, ConfigHead, HEAD_KEY, LOG_LIMIT};

use crate::{ConfigDocument, ParseError};

/// The largest chunk.
pub const CHUNK_LIMIT_BYTES: usize = 256 << 10;

/// The store key prefix of the chunks.
pub const CHUNK_KEY_PREFIX: &str = "config/chunks/";

/// The average number of accounts, with their keys, in a chunk. A change sends one chunk and the head to each VM: at 25,000 accounts
/// of about 350 bytes, the sum of both is least when a chunk has about 64 accounts.
const CHUNK_ITEMS: u64 = 64;

/// The key under which names are hashed to find the cuts; another key would move all cuts.
const CUT_KEY: u64 = 0;

/// The SHA-256 hash of a chunk's bytes, or of all chunks' bytes.
#[derive(Clone, Copy, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd)]
#[schemars(with = "String")]
pub struct ChunkName([u8; 32]);

/// An immutable part of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigChunk {
    /// The name.
    pub name: ChunkName,
    /// The bytes, which are JSON text.
    pub bytes: Arc<[u8]>,
}

/// Why a document can't be split.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SplitError {
    /// One item is larger than a chunk.
    #[error("{item} has {bytes} bytes; the limit is {CHUNK_LIMIT_BYTES}")]
    ItemTooLarge {
        /// The item.
        item: String,
        /// Its size as JSON.
        bytes: usize,
    },
}

/// Why chunks can't be joined.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JoinError {
    /// A chunk isn't at hand.
    #[error("the chunk {0} is missing")]
    Missing(ChunkName),
    /// A chunk's bytes don't have the hash that is its name.
    #[error("the chunk {0} is corrupt")]
    Corrupt(ChunkName),
    /// The chunks together don't have the digest of the head.
    #[error("the chunks together do not have the digest {0}")]
    Digest(ChunkName),
    /// The chunks together aren't a document.
    #[error("the chunks together are not a configuration: {0}")]
    Malformed(#[from] ParseError),
}

impl ChunkName {
    /// Returns the name of a chunk that holds `bytes`.
    pub fn of(bytes: &[u8]) -> ChunkName {
        ChunkName(Sha256::digest(bytes).into())
    }

    /// Returns the store key of the chunk.
    pub fn store_key(&self) -> String {
        format!("{CHUNK_KEY_PREFIX}{self}")
    }
}

impl fmt::Display for ChunkName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ChunkName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ChunkName({self})")
    }
}

impl FromStr for ChunkName {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<ChunkName, &'static str> {
        let hash = crate::key::parse_hash(text);
        hash.map(ChunkName).ok_or("a chunk name is 64 hexadecimal digits")
    }
}

impl Serialize for ChunkName {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChunkName {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<ChunkName, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Returns the chunks of `document` in their order.
///
/// # Errors
///
/// Returns an error when one item, such as an account without its keys, is larger than a chunk.
pub fn split(document: &ConfigDocument) -> std::result::Result<Vec<ConfigChunk>, SplitError> {
    let mut builder = ChunkBuilder::default();
    text::write(document, &mut builder)?;
    builder.finish();
    Ok(builder.chunks)
}

/// Returns the document whose chunks `head` lists, with each chunk's hash and the digest verified.
///
/// # Errors
///
/// Returns an error when `chunk_of` lacks a chunk, or a chunk or the list isn't what `head` says.
pub fn join(
    head: &ConfigHead,
    chunk_of: impl Fn(&ChunkName) -> Option<Arc<[u8]>>,
) -> std::result::Result<ConfigDocument, JoinError> {
    let mut text = Vec::new();
    for &name in &head.chunks {
        let bytes = chunk_of(&name).ok_or(JoinError::Missing(name))?;
        if ChunkName::of(&bytes) != name {
            return Err(JoinError::Corrupt(name));
        }
        text.extend_from_slice(&bytes);
    }
    if ChunkName::of(&text) != head.digest {
        return Err(JoinError::Digest(head.digest));
    }
    Ok(crate::parse(&text)?)
}

/// A part of the document's text that is never cut.
struct TextPart<'a> {
    text: String,
    // The name that decides whether a chunk begins with the part.
    cut_name: Option<&'a str>,
    // The kind and name for a person.
    label: (&'static str, &'a str),
}

#[derive(Default)]
struct ChunkBuilder {
    chunks: Vec<ConfigChunk>,
    text: String,
}

impl ChunkBuilder {
    fn add(&mut self, part: &TextPart<'_>) -> std::result::Result<(), SplitError> {
        let (kind, name) = part.label;
        let bytes = part.text.len();
        if bytes > CHUNK_LIMIT_BYTES {
            // The item may be too large because of its name.
            let name: String = name.chars().take(64).collect();
            return Err(SplitError::ItemTooLarge { item: format!("{kind} {name}"), bytes });
        }
        let is_cut = part
            .cut_name
            .is_some_and(|name| rendezvous::score(CUT_KEY, name).is_multiple_of(CHUNK_ITEMS));
        if is_cut || self.text.len() + bytes > CHUNK_LIMIT_BYTES {
            self.finish();
        }
        self.text.push_str(&part.text);
        Ok(())
    }

    fn finish(&mut self) {
        if self.text.is_empty() {
            return;
        }
        let bytes: Arc<[u8]> = std::mem::take(&mut self.text).into_bytes().into();
        self.chunks.push(ConfigChunk { name: ChunkName::of(&bytes), bytes });
    }
}
