//! The head: the one value whose write makes a document current.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ChunkName, ConfigChunk};

/// The store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// The number of changes that the head remembers. An operator whose answer was lost finds the change here as long
/// as fewer than this many changes followed; at 29,000 changes a day that is over three minutes.
pub const LOG_LIMIT: usize = 64;

/// Which document is current.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The number of the document; it grows by one with each change.
    pub generation: u64,
    /// The SHA-256 hash of the chunks' bytes, one after the other.
    pub digest: ChunkName,
    /// The id of the change that made the document current: 32 hexadecimal digits.
    #[serde(rename = "change")]
    pub change_id: String,
    /// The chunks in their order.
    pub chunks: Vec<ChunkName>,
    /// The newest changes, oldest first, with this one as the last.
    #[serde(default)]
    pub log: Vec<ChangeRecord>,
}

/// A change in the log of the head.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The id of the change.
    #[serde(rename = "change")]
    pub change_id: String,
    /// The generation that the change made.
    pub generation: u64,
}

impl ConfigHead {
    /// Returns the head that follows `previous`, or the first head.
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
        let excess = log.len().saturating_sub(LOG_LIMIT);
        log.drain(..excess);
        ConfigHead { generation, digest: ChunkName::of(&bytes), change_id, chunks, log }
    }

    /// Returns the generation that the change `change_id` made, or `None` when the log doesn't have it.
    pub fn generation_of(&self, change_id: &str) -> Option<u64> {
        let record = self.log.iter().rev().find(|record| record.change_id == change_id);
        record.map(|record| record.generation)
    }
}
