//! Short keys that stand for streams, builds and services in notes between routers.

use godwitroad_base::{BuildName, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Identifies a stream by the caller's attempt that began it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

/// Stands for a build. Equal names have equal tags.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BuildTag(u32);

/// Stands for a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ServiceTag(u32);

/// The bits of a [`StreamKey`]. A shorter number takes fewer bytes in notes.
const KEY_BITS: u32 = 48;

impl StreamKey {
    /// Returns the key of the stream that the attempt with the id `attempt` of a client account began.
    ///
    /// The account is part of the key, so that no account can refer to another one's stream.
    pub fn new(account: &str, attempt: &str) -> StreamKey {
        let mut hasher = Xxh3::new();
        hasher.update(account.as_bytes());
        hasher.update(&[0]);
        hasher.update(attempt.as_bytes());
        StreamKey(hasher.digest() >> (u64::BITS - KEY_BITS))
    }
}

impl BuildTag {
    /// Returns the tag of a build.
    pub fn new(build: &BuildName) -> BuildTag {
        BuildTag(upper_half(build.as_str()))
    }
}

impl ServiceTag {
    /// Returns the tag of a service.
    pub fn new(service: &ServiceName) -> ServiceTag {
        ServiceTag(upper_half(service.as_str()))
    }
}

fn upper_half(text: &str) -> u32 {
    (xxh3_64(text.as_bytes()) >> 32) as u32
}
