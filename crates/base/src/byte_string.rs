//! Serialization of byte fields as byte strings.
//!
//! By default serde serializes bytes as a list of numbers, which takes up to two bytes for each byte in CBOR. Message
//! fields opt in to the compact form with `#[serde(with = "godwitroad_base::byte_string")]`.

use std::{fmt, marker::PhantomData};

use serde::{
    Deserializer, Serializer,
    de::{Error, SeqAccess, Visitor},
};

/// Serializes bytes as a byte string.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<T: AsRef<[u8]>, S: Serializer>(
    bytes: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes.as_ref())
}

/// Deserializes a byte string, or a list of numbers from a format without byte strings.
///
/// # Errors
///
/// Returns an error if the value is neither a byte string nor a list of numbers.
pub fn deserialize<'de, T: From<Vec<u8>>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    deserializer.deserialize_byte_buf(ByteVisitor(PhantomData))
}

struct ByteVisitor<T>(PhantomData<T>);

impl<'de, T: From<Vec<u8>>> Visitor<'de> for ByteVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<T, E> {
        Ok(bytes.to_vec().into())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<T, E> {
        Ok(bytes.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<T, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}
