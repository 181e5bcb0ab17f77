//! Hashes of API keys.
//!
//! The configuration contains no secrets: a key is stored as the SHA-256 hash of its secret. Hashes are compared in
//! constant time, so that the response time of a refusal reveals nothing about a stored hash.

use std::fmt;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The SHA-256 hash of a key's secret.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of `secret`.
    pub fn of(secret: &str) -> KeyHash {
        KeyHash(Sha256::digest(secret.as_bytes()).into())
    }

    /// Returns whether both hashes are equal. The comparison takes the same time wherever they differ.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the first 64 bits, which a [`KeyTable`](crate::KeyTable) uses as its index.
    pub(crate) fn prefix(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }

    /// Parses a hash from its 64 hexadecimal digits, or returns `None` if `text` has another form.
    pub fn parse(text: &str) -> Option<KeyHash> {
        parse_hash(text).map(KeyHash)
    }
}

/// Parses 32 bytes from their 64 hexadecimal digits, or returns `None` if `text` has another form.
pub(crate) fn parse_hash(text: &str) -> Option<[u8; 32]> {
    // The explicit check of the digits is needed because `from_str_radix` accepts a sign.
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({self})")
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<KeyHash, D::Error> {
        let text = String::deserialize(deserializer)?;
        KeyHash::parse(&text)
            .ok_or_else(|| D::Error::custom("a key hash must have 64 hexadecimal digits"))
    }
}

impl JsonSchema for KeyHash {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "KeyHash".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "pattern": "^[0-9a-f]{64}$" })
    }
}
