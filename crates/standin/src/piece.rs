//! Hashes of prompt pieces.
//!
//! Engines name cached pieces by a chained hash, so that the hash of a piece stands for the whole prompt up to its
//! end. All uses go through [`hash_piece`], the one place to change when another chain is wanted.

use xxhash_rust::xxh3::Xxh3Default;

/// The number of prompt bytes in one cached piece.
pub const PIECE_BYTES: usize = 8_192;

/// Returns the chained hash of `piece`, which follows the piece with hash `parent`.
///
/// The first piece of a prompt has the parent zero and is the only one that is salted.
pub fn hash_piece(parent: u128, cache_salt: &str, piece: &[u8]) -> u128 {
    let mut hasher = Xxh3Default::new();
    hasher.update(&parent.to_le_bytes());
    if parent == 0 {
        hasher.update(cache_salt.as_bytes());
    }
    hasher.update(piece);
    hasher.digest128()
}

/// Returns the chained hashes of the complete pieces of `prompt`.
pub fn chain_pieces(cache_salt: &str, prompt: &[u8]) -> Vec<u128> {
    let mut parent = 0;
    let chain = prompt.chunks_exact(PIECE_BYTES).map(|piece| {
        parent = hash_piece(parent, cache_salt, piece);
        parent
    });
    chain.collect()
}
