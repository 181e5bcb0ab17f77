//! Hashes of prompt pieces.
//!
//! An engine names its cached pieces by the chained hashes that the routers compute too; all uses go through
//! [`chain_pieces`].

use godwitroad_prefix::PrefixChain;

/// Returns the chained hashes of the complete pieces of `prompt`.
pub fn chain_pieces(cache_salt: &str, prompt: &[u8]) -> Vec<u128> {
    let chain = PrefixChain::from_salt_text(cache_salt, prompt);
    chain.hashes().iter().map(|piece| piece.0).collect()
}
