//! The hashes that identify a claim and its request.
//!
//! The store holds only hashes, because callers may put personal data into their keys, and a hash has a bounded size.

use std::{fmt, str::FromStr};

use godwitroad_base::AccountName;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};

use crate::record::RecordError;

/// The number of claim shards, which are written independently of each other.
pub(crate) const CLAIM_SHARDS: u8 = 16;

/// The first half of the SHA-256 hash of a client account and its idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimHash(pub u128);

/// The first half of the SHA-256 digest of a request or of an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestDigest(pub u128);

impl ClaimHash {
    /// Returns the hash of `key` as used by `account`.
    pub fn new(account: &AccountName, key: &str) -> ClaimHash {
        let mut hasher = Sha256::new();
        // Without the length, account `a` with key `bc` and account `ab` with key `c` would have the same hash.
        hasher.update((account.as_str().len() as u64).to_be_bytes());
        hasher.update(account.as_str().as_bytes());
        hasher.update(key.as_bytes());
        ClaimHash(upper_half(&hasher.finalize()))
    }

    /// Returns the shard that stores the claim, taken from the hash's upper bits.
    pub fn shard(self) -> u8 {
        (self.0 >> 124) as u8 % CLAIM_SHARDS
    }

    pub(crate) fn fingerprint(self) -> u64 {
        self.0 as u64
    }
}

impl RequestDigest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> RequestDigest {
        RequestDigest(upper_half(&Sha256::digest(bytes)))
    }
}

fn upper_half(digest: &[u8]) -> u128 {
    digest.iter().take(16).fold(0, |value, byte| (value << 8) | u128::from(*byte))
}

macro_rules! hex_text {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = RecordError;

            fn from_str(text: &str) -> Result<$name, RecordError> {
                u128::from_str_radix(text, 16).map($name).map_err(|_| RecordError)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    };
}

hex_text!(ClaimHash);
hex_text!(RequestDigest);
