//! The version-independent fields of QUIC packets (RFC 8999).

use {
    crate::errors::{Error, Result},
    yuccacroft_core::{flow::FlowPhase, tag::TAG_BYTES},
};

/// RFC 8999, section 5.1: the form bit of the first byte.
const LONG_HEADER: u8 = 0x80;
/// RFC 9000, section 17.2: the packet type bits of a version 1 long header.
const TYPE_MASK: u8 = 0x30;
/// RFC 9000, section 17.2.4: the type of a handshake packet; Initial and 0-RTT are below it.
const TYPE_HANDSHAKE: u8 = 0x20;
const VERSION_1: u32 = 1;
const ID_LENGTH_OFFSET: usize = 5;
/// RFC 9000, section 17.2: connection ids of version 1 have at most 20 bytes.
const MAX_ID_BYTES: usize = 20;

/// The fields of a packet that a balancer reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvariantHeader {
    /// Whether the packet may open a connection.
    pub phase: FlowPhase,
    id: [u8; MAX_ID_BYTES],
    length: u8,
}

impl InvariantHeader {
    /// Decodes the header of a packet. The connection id of a short header is assumed to have the
    /// length of the owner tags, [`TAG_BYTES`].
    pub fn decode(packet: &[u8]) -> Result<Self> {
        let first_byte = *packet.first().ok_or(Error::Truncated)?;
        if first_byte & LONG_HEADER == 0 {
            let id = packet.get(1..1 + TAG_BYTES).ok_or(Error::Truncated)?;
            return Ok(Self::new(FlowPhase::Middle, id));
        }
        let version = packet.get(1..ID_LENGTH_OFFSET).ok_or(Error::Truncated)?;
        let version = u32::from_be_bytes([version[0], version[1], version[2], version[3]]);
        let length = usize::from(*packet.get(ID_LENGTH_OFFSET).ok_or(Error::Truncated)?);
        if length > MAX_ID_BYTES {
            return Err(Error::Malformed);
        }
        let start = ID_LENGTH_OFFSET + 1;
        let id = packet.get(start..start + length).ok_or(Error::Truncated)?;
        // A packet of an unknown version may open a connection: an agent has to answer it.
        let is_opening = version != VERSION_1 || first_byte & TYPE_MASK < TYPE_HANDSHAKE;
        Ok(Self::new(if is_opening { FlowPhase::First } else { FlowPhase::Middle }, id))
    }

    /// Returns the destination connection id.
    pub fn id(&self) -> &[u8] {
        &self.id[..usize::from(self.length)]
    }

    fn new(phase: FlowPhase, id: &[u8]) -> Self {
        let mut buffer = [0; MAX_ID_BYTES];
        buffer[..id.len()].copy_from_slice(id);
        Self { phase, id: buffer, length: id.len() as u8 }
    }
}
