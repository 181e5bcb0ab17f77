//! The head of the configuration: the one store value that says which document is current.
//!
//! A change takes effect with the single write of this value, after its chunks have been written.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ChunkName, ConfigChunk};

/// The store key of the [`ConfigHead`].
pub const HEAD_KEY: &str = "config/head";

/// The maximum number of changes in the log of the head.
///
/// An operator who did not receive the result of a change finds the change in this log until 64 other changes have
/// followed it. At 29,000 changes a day that takes more than three minutes.
pub const MAX_LOG_CHANGES: usize = 64;

/// The description of the current document.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The number of the document, which increases by one with each change.
    pub generation: u64,
    /// The SHA-256 hash of the concatenated chunks.
    pub digest: ChunkName,
    /// The id of the change that wrote this head, as 32 hexadecimal digits.
    #[serde(rename = "change")]
    pub change_id: String,
    /// The names of the document's chunks, in the order in which they are joined.
    pub chunks: Vec<ChunkName>,
    /// The latest changes in ascending order of their generations; the last entry is the change that wrote this head.
    #[serde(default)]
    pub log: Vec<ChangeRecord>,
}

/// A change in the log of a [`ConfigHead`].
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The id of the change.
    #[serde(rename = "change")]
    pub change_id: String,
    /// The generation of the document that the change wrote.
    pub generation: u64,
}

impl ConfigHead {
    /// Returns the head for a change from `previous` to the document with `chunks`; `previous` is `None` for the first.
    pub fn next(
        previous: Option<&ConfigHead>,
        change_id: impl Into<String>,
        chunks: &[ConfigChunk],
    ) -> ConfigHead {
        let change_id = change_id.into();
        let generation = previous.map_or(1, |head| head.generation + 1);
        let bytes: Vec<u8> = chunks.iter().flat_map(|chunk| chunk.bytes.iter().copied()).collect();
        let chunks: Vec<ChunkName> = chunks.iter().map(|chunk| chunk.name).collect();
        let mut log = previous.map_or_else(Vec::new, |head| head.log.clone());
        log.push(ChangeRecord { change_id: change_id.clone(), generation });
        let excess = log.len().saturating_sub(MAX_LOG_CHANGES);
        log.drain(..excess);
        ConfigHead { generation, digest: ChunkName::of(&bytes), change_id, chunks, log }
    }

    /// Returns the generation that the change `change_id` wrote, or `None` if the change isn't in the log.
    pub fn generation_of(&self, change_id: &str) -> Option<u64> {
        let record = self.log.iter().rev().find(|record| record.change_id == change_id);
        record.map(|record| record.generation)
    }
}
