//! Splitting a document into content-addressed chunks, and joining them again.
//!
//! The store accepts values of at most 1 MB and has no transactions across keys. A document is therefore written as
//! immutable chunks whose names are their SHA-256 hashes. It becomes current with a single write of the [`ConfigHead`]
//! that lists the chunks.
//!
//! Chunk boundaries depend on the names of the items and not on their positions (content-defined chunking), so that a
//! change replaces few chunks. The concatenated chunks are the document's JSON text, so that a reader doesn't need to
//! know how the boundaries were chosen.

mod head;
mod text;

use std::{fmt, str::FromStr, sync::Arc};

use godwitroad_base::rendezvous;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use thiserror::Error;

pub use head::{ChangeRecord, ConfigHead, HEAD_KEY, MAX_LOG_CHANGES};

use crate::{ConfigDocument, ParseError};

/// The maximum size of a chunk in bytes.
pub const MAX_CHUNK_BYTES: usize = 256 << 10;

/// The prefix of the chunks' store keys.
pub const CHUNK_KEY_PREFIX: &str = "config/chunks/";

/// The average number of accounts, with their keys, in a chunk.
///
/// A change sends one chunk and the head to each VM. Smaller chunks make the head longer, as it lists all of them. With
/// 25,000 accounts of about 350 bytes each, the sum of both is smallest at about 64 accounts per chunk.
const MEAN_CHUNK_ITEMS: u64 = 64;

/// The key of the hash that selects the names at which chunks start; another value would move all chunk boundaries.
const BOUNDARY_KEY: u64 = 0;

/// The SHA-256 hash of a chunk, or of the concatenated chunks of a document.
#[derive(Clone, Copy, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd)]
#[schemars(with = "String")]
pub struct ChunkName([u8; 32]);

/// An immutable section of a document's JSON text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigChunk {
    /// The hash of `bytes`.
    pub name: ChunkName,
    /// The section of the JSON text, which isn't valid JSON on its own.
    pub bytes: Arc<[u8]>,
}

/// The reason why a document can't be split.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SplitError {
    /// One item is larger than the maximum size of a chunk.
    #[error("{item} has {bytes} bytes; the limit is {MAX_CHUNK_BYTES}")]
    ItemTooLarge {
        /// The kind of the item and the first 64 characters of its name.
        item: String,
        /// The size of the item as JSON.
        bytes: usize,
    },
}

/// The reason why chunks can't be joined.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JoinError {
    /// A listed chunk isn't available.
    #[error("the chunk {0} is missing")]
    Missing(ChunkName),
    /// The hash of a chunk's bytes differs from its name.
    #[error("the chunk {0} is corrupt")]
    Corrupt(ChunkName),
    /// The hash of the concatenated chunks differs from the digest in the head.
    #[error("the joined chunks do not have the digest {0}")]
    Digest(ChunkName),
    /// The concatenated chunks aren't a configuration document.
    #[error("the joined chunks are not a configuration document: {0}")]
    Malformed(#[from] ParseError),
}

impl ChunkName {
    /// Returns the name of the chunk with the content `bytes`.
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
        hash.map(ChunkName).ok_or("a chunk name must have 64 hexadecimal digits")
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

/// Splits `document` into chunks, in the order in which they are joined.
///
/// # Errors
///
/// Returns an error if one item, such as an account without its keys, is larger than [`MAX_CHUNK_BYTES`].
pub fn split(document: &ConfigDocument) -> std::result::Result<Vec<ConfigChunk>, SplitError> {
    let mut builder = ChunkBuilder::default();
    text::write(document, &mut builder)?;
    builder.finish_chunk();
    Ok(builder.chunks)
}

/// Joins the chunks that `head` lists to a document, and verifies the hash of each chunk and the digest of them all.
///
/// `find_chunk` returns the content of a chunk, or `None` if it isn't available.
///
/// # Errors
///
/// Returns an error if a chunk is missing, a hash doesn't match, or the joined text isn't a document.
pub fn join(
    head: &ConfigHead,
    find_chunk: impl Fn(&ChunkName) -> Option<Arc<[u8]>>,
) -> std::result::Result<ConfigDocument, JoinError> {
    let mut text = Vec::new();
    for &name in &head.chunks {
        let bytes = find_chunk(&name).ok_or(JoinError::Missing(name))?;
        if ChunkName::of(&bytes) != name {
            return Err(JoinError::Corrupt(name));
        }
        text.extend_from_slice(&bytes);
    }
    if ChunkName::of(&text) != head.digest {
        return Err(JoinError::Digest(head.digest));
    }
    parse_joined(&text)
}

/// Parses a document from `text`, the concatenation of its chunks.
///
/// # Errors
///
/// Returns an error if `text` isn't a document.
pub fn parse_joined(text: &[u8]) -> std::result::Result<ConfigDocument, JoinError> {
    Ok(crate::parse(text)?)
}

/// A section of the document's text that is never split.
struct TextFragment<'a> {
    text: String,
    // The name whose hash decides whether a chunk starts with this fragment; `None` if a chunk never does so because of
    // its name.
    boundary_name: Option<&'a str>,
    // The kind and the name of the item for error messages.
    label: (&'static str, &'a str),
}

#[derive(Default)]
struct ChunkBuilder {
    chunks: Vec<ConfigChunk>,
    text: String,
}

impl ChunkBuilder {
    fn add(&mut self, fragment: &TextFragment<'_>) -> std::result::Result<(), SplitError> {
        let (kind, name) = fragment.label;
        let bytes = fragment.text.len();
        if bytes > MAX_CHUNK_BYTES {
            // The name is truncated because it may itself be what makes the item too large.
            let name: String = name.chars().take(64).collect();
            return Err(SplitError::ItemTooLarge { item: format!("{kind} {name}"), bytes });
        }
        let is_boundary = fragment.boundary_name.is_some_and(|name| {
            rendezvous::score(BOUNDARY_KEY, name).is_multiple_of(MEAN_CHUNK_ITEMS)
        });
        if is_boundary || self.text.len() + bytes > MAX_CHUNK_BYTES {
            self.finish_chunk();
        }
        self.text.push_str(&fragment.text);
        Ok(())
    }

    fn finish_chunk(&mut self) {
        if self.text.is_empty() {
            return;
        }
        let bytes: Arc<[u8]> = std::mem::take(&mut self.text).into_bytes().into();
        self.chunks.push(ConfigChunk { name: ChunkName::of(&bytes), bytes });
    }
}
