//! The key of a part of a prompt.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies a part of a prompt for one model, by a hash of its id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartKey(u64);

impl PartKey {
    /// Returns the key of the part `id` in prompts for `model`.
    pub fn new(model: &str, id: &str) -> PartKey {
        PartKey(xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0)))
    }

    /// Returns the key of a part whose hash is known.
    pub fn from_hash(hash: u64) -> PartKey {
        PartKey(hash)
    }

    /// Returns the hash, to choose the router that is responsible for the part.
    pub fn hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
