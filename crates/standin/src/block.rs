//! Hashes of prompt blocks.
//!
//! An engine identifies its cached blocks by the chained hashes that the routers compute too; [`block_hashes`] is the
//! only place in this crate that computes them.

use godwitroad_prefix::PrefixChain;

/// Returns the chained hashes of the complete blocks of `prompt`.
pub fn block_hashes(cache_salt: &str, prompt: &[u8]) -> Vec<u128> {
    let chain = PrefixChain::from_salt_text(cache_salt, prompt);
    chain.hashes().iter().map(|hash| hash.0).collect()
}
