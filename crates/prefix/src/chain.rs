//! Chained hashes of the cache blocks of a prompt.
//!
//! An engine can reuse a cached block only after the same preceding blocks, for the same client account and under
//! the same weights. Each hash therefore covers the hash before it, and the first one covers a salt. The engine
//! receives the salt as text and computes the same hashes from it, so its cache events carry these hashes.

use godwitroad_base::{AccountName, ModelName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// The length of a cache block in bytes of the prompt, about 2,000 tokens.
pub const BLOCK_BYTES: usize = 8_192;

/// The hash of a cache block and of all blocks before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BlockHash(pub u128);

impl BlockHash {
    /// Returns the low 64 bits of the hash, which index entries and messages use as the short hash of the block.
    ///
    /// With 3.6 M entries, a lookup finds a different block with the same short hash with a probability of about 2 in
    /// 10^13. The engine compares its own salted cache, so such a collision costs time but never exposes the content of
    /// another client account.
    pub fn short_hash(self) -> u64 {
        self.0 as u64
    }
}

/// The inputs besides the prompt on which the reuse of a cached block depends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainSalt {
    /// The client account; blocks are never shared between accounts.
    pub account: AccountName,
    /// The model that computes the prompt.
    pub model: ModelName,
    /// The adapter applied to the weights, if any.
    pub adapter: Option<String>,
    /// The version of the weights.
    pub version: String,
}

impl ChainSalt {
    /// Returns the salt as the text that is sent to the engine in `cache_salt`.
    ///
    /// The text is a hash, so that the target doesn't learn the name of the account.
    pub fn cache_salt(&self) -> String {
        let mut bytes = Vec::with_capacity(128);
        let adapter = self.adapter.as_deref();
        let fields =
            [Some(self.account.as_str()), Some(self.model.as_str()), adapter, Some(&self.version)];
        for field in fields {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc"), and `None` from "".
            let length = field.map_or(u64::MAX, |text| text.len() as u64);
            bytes.extend_from_slice(&length.to_le_bytes());
            bytes.extend_from_slice(field.unwrap_or_default().as_bytes());
        }
        format!("{:032x}", xxh3_128(&bytes))
    }
}

/// The hashes of the complete blocks of a prompt, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PrefixChain {
    blocks: Vec<BlockHash>,
}

impl PrefixChain {
    /// Returns the chain of `prompt` under `salt`.
    pub fn new(salt: &ChainSalt, prompt: &[u8]) -> PrefixChain {
        PrefixChain::from_salt_text(&salt.cache_salt(), prompt)
    }

    /// Returns the chain of `prompt` under the text that [`ChainSalt::cache_salt`] returns, as an engine computes it.
    pub fn from_salt_text(salt: &str, prompt: &[u8]) -> PrefixChain {
        let mut previous = xxh3_128(salt.as_bytes());
        let blocks = prompt
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                let mut hasher = Xxh3::new();
                hasher.update(&previous.to_le_bytes());
                hasher.update(block);
                // Zero stands for "no parent" in cache events, so no block may have it as its hash.
                previous = hasher.digest128().max(1);
                BlockHash(previous)
            })
            .collect();
        PrefixChain { blocks }
    }

    /// Returns a chain of precomputed hashes.
    pub fn from_hashes(blocks: Vec<BlockHash>) -> PrefixChain {
        PrefixChain { blocks }
    }

    /// Returns the hashes from the first block to the last.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.blocks
    }

    /// Returns the hash of the first block, which determines the index partition of the whole chain.
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
