//! The chained hashes of a prompt's blocks.
//!
//! A block can be reused only after the same earlier blocks, for the same client account and under the same
//! weights. Each hash therefore covers the hash before it, and the chain starts from a salt. The engine receives
//! the salt as text and computes the same hashes from it, so its cache events name the same blocks.

use godwitroad_base::{AccountName, ModelName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// The length of a block in bytes, about 2,000 tokens.
pub const BLOCK_BYTES: usize = 8_192;

/// The chained hash of one block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BlockHash(pub u128);

impl BlockHash {
    /// Returns the half of the hash that index entries and messages carry.
    ///
    /// With 3.6 M entries, two different blocks share this half with a chance of about 2 in 10^13 per lookup. The
    /// engine compares its own salted cache, so that such a match costs time and never shows foreign content.
    pub fn short_hash(self) -> u64 {
        self.0 as u64
    }
}

/// Everything besides the prompt that decides whether a cached block may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainSalt {
    /// The client account.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The adapter applied to the weights, if any.
    pub adapter: Option<String>,
    /// The version of the weights.
    pub version: String,
}

impl ChainSalt {
    /// Returns the salt as the text that the engine receives in `cache_salt`.
    ///
    /// The text is a hash, because a target has no need to learn the account's name.
    pub fn cache_salt(&self) -> String {
        let mut bytes = Vec::with_capacity(128);
        let adapter = self.adapter.as_deref();
        let fields =
            [Some(self.account.as_str()), Some(self.model.as_str()), adapter, Some(&self.version)];
        for field in fields {
            // The length before each field keeps ("ab", "c") apart from ("a", "bc"); `None` differs from "".
            let length = field.map_or(u64::MAX, |text| text.len() as u64);
            bytes.extend_from_slice(&length.to_le_bytes());
            bytes.extend_from_slice(field.unwrap_or_default().as_bytes());
        }
        format!("{:032x}", xxh3_128(&bytes))
    }
}

/// The hashes of a prompt's complete blocks, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixChain {
    blocks: Vec<BlockHash>,
}

impl PrefixChain {
    /// Returns the chain of `prompt` under `salt`.
    pub fn new(salt: &ChainSalt, prompt: &[u8]) -> PrefixChain {
        PrefixChain::from_salt_text(&salt.cache_salt(), prompt)
    }

    /// Returns the chain of `prompt` under a salt in the text form of [`ChainSalt::cache_salt`], as an engine
    /// computes it.
    pub fn from_salt_text(salt: &str, prompt: &[u8]) -> PrefixChain {
        let mut previous = xxh3_128(salt.as_bytes());
        let blocks = prompt
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                let mut hasher = Xxh3::new();
                hasher.update(&previous.to_le_bytes());
                hasher.update(block);
                // Zero means "no parent" in cache events.
                previous = hasher.digest128().max(1);
                BlockHash(previous)
            })
            .collect();
        PrefixChain { blocks }
    }

    /// Returns a chain of hashes that were computed elsewhere.
    pub fn from_hashes(blocks: Vec<BlockHash>) -> PrefixChain {
        PrefixChain { blocks }
    }

    /// Returns the hashes in order.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.blocks
    }

    /// Returns the hash of the first block, which decides the partition of the whole chain.
    pub fn first(&self) -> Option<BlockHash> {
        self.blocks.first().copied()
    }

    /// Returns the number of complete blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the prompt is shorter than one block.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
