//! The digest by which a request is recognized when it comes again.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PartKey;

/// A digest of what makes a request the same as another one: its method, host, path with query, and body. It is
/// cryptographic, so that no caller can make up a request that has the digest of somebody else's.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Returns the digest of a request.
    pub fn new(method: &str, host: &str, target: &str, body: &[u8]) -> RequestDigest {
        let mut hasher = Sha256::new();
        for field in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        RequestDigest(u64::from_le_bytes(first))
    }

    /// Returns the key of the request when `account` sends it: the same request of another account is another one.
    pub fn key_for(self, account: &str) -> PartKey {
        PartKey::from_hash(xxh3_64_with_seed(account.as_bytes(), self.0))
    }
}
