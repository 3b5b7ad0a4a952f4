//! Serialization of bodies as byte strings, since a sequence of integers takes up to twice the
//! space.

use {
    serde::{Deserializer, Serializer, de::Visitor},
    std::fmt::Formatter,
};

struct Bytes;

impl Visitor<'_> for Bytes {
    type Value = Box<[u8]>;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }
}

/// Serializes a byte string.
pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(bytes)
}

/// Deserializes a byte string.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Box<[u8]>, D::Error> {
    from.deserialize_byte_buf(Bytes)
}
