//! The encapsulation of packets between balancers and agents.
//!
//! A capsule is one UDP datagram: a version byte, an 8-byte authenticator, the header (postcard)
//! and the unchanged packet. The authenticator covers the header and the length of the packet; QUIC
//! protects the packet itself.

use {
    crate::errors::{Error, Result},
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher24,
    std::{
        fmt::{Debug, Formatter},
        hash::Hasher,
        net::{SocketAddr, SocketAddrV4},
    },
    yuccacroft_core::{
        flow::{FlowKey, FlowPhase},
        ids::{Incarnation, Revision},
        key::{Secret, ServiceDigest},
        ownership::FlowLoad,
        placement::{CandidateChain, ChainPosition},
    },
};

const VERSION: u8 = 1;
const MAC_START: usize = 1;
const HEADER_START: usize = 9;
/// Upper bound of the encoded header in bytes. A capsule with a packet of 1,200 bytes then stays
/// below the 1,472 bytes that fit into an unfragmented datagram.
pub const MAX_HEADER_BYTES: usize = 256;
/// Upper bound of the bytes before the packet.
pub const MAX_PREFIX_BYTES: usize = HEADER_START + MAX_HEADER_BYTES;

/// How the receiver of the packet was found.
#[expect(clippy::large_enum_variant, reason = "a box would allocate for each packet")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CapsuleKind {
    /// The packet carries a valid owner tag.
    Tagged,
    /// The receiver was chosen by the flow key of the packet.
    Untagged {
        /// The key of the flow.
        key: FlowKey,
        /// The phase of the flow that the packet belongs to.
        phase: FlowPhase,
        /// The agents that may own the flow.
        chain: CandidateChain,
        /// The position in the chain for which the receiver gets the packet.
        step: ChainPosition,
        /// The number of agents that the packet visited before.
        hops: u8,
        /// The load of the agent that passed the packet on, when the receiver compares loads.
        load: Option<FlowLoad>,
    },
    /// The packet is a reply to the caller.
    Reply,
}

/// The header of a capsule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// How the receiver of the packet was found.
    pub kind: CapsuleKind,
    /// The digest of the packet's service.
    pub digest: ServiceDigest,
    /// The incarnation of the receiving agent; in a reply, of the sending agent.
    pub incarnation: Incarnation,
    /// The revision of the contract that the sender uses.
    pub revision: Revision,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service address that the caller uses.
    pub service: SocketAddr,
    /// Where the balancer sends replies: the address of the fabric, or of the caller without one.
    pub via: SocketAddr,
    /// Where agents send replies: the balancer that received the packet from the caller.
    pub balancer: SocketAddrV4,
}

/// The key of one service for the authenticators of capsules and claim messages.
#[derive(Clone)]
pub struct MacKey(SipHasher24);

/// A decoded capsule whose authenticator has not been checked yet, since the key depends on the
/// header.
#[derive(Debug)]
pub struct UnverifiedCapsule<'a> {
    /// The header, not authenticated.
    pub header: Header,
    /// The packet.
    pub payload: &'a [u8],
    mac: [u8; 8],
    header_bytes: &'a [u8],
}

impl MacKey {
    /// Creates the key from a derived secret of a service.
    pub fn new(secret: &Secret) -> Self {
        Self(SipHasher24::new_with_key(&secret.halves().0))
    }

    pub(crate) fn mac(&self, header: &[u8], payload_length: usize) -> [u8; 8] {
        let mut hasher = self.0;
        hasher.write(header);
        hasher.write_u64(payload_length as u64);
        hasher.finish().to_be_bytes()
    }
}

impl Debug for MacKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("MacKey(..)")
    }
}

impl UnverifiedCapsule<'_> {
    /// Checks the authenticator. The capsule must not be used when this fails.
    pub fn verify(&self, mac_key: &MacKey) -> Result<()> {
        if mac_key.mac(self.header_bytes, self.payload.len()) == self.mac {
            Ok(())
        } else {
            Err(Error::Unauthenticated)
        }
    }
}

/// Writes a capsule into `buffer` and returns its length, without allocating. Fails with
/// [`Error::TooLarge`] if the buffer is too small.
pub fn encode(
    header: &Header,
    payload: &[u8],
    mac_key: &MacKey,
    buffer: &mut [u8],
) -> Result<usize> {
    if buffer.len() < MAX_PREFIX_BYTES + payload.len() {
        return Err(Error::TooLarge);
    }
    let end = encode_prefix(header, payload.len(), mac_key, buffer)?;
    buffer[end..end + payload.len()].copy_from_slice(payload);
    Ok(end + payload.len())
}

/// Writes the bytes before a packet of `payload_length` bytes and returns their length. The prefix
/// is the same for all packets with the same header and length.
pub fn encode_prefix(
    header: &Header,
    payload_length: usize,
    mac_key: &MacKey,
    buffer: &mut [u8],
) -> Result<usize> {
    if buffer.len() < MAX_PREFIX_BYTES {
        return Err(Error::TooLarge);
    }
    buffer[0] = VERSION;
    let header = postcard::to_slice(header, &mut buffer[HEADER_START..MAX_PREFIX_BYTES])
        .map_err(|_| Error::TooLarge)?;
    let (end, mac) = (HEADER_START + header.len(), mac_key.mac(header, payload_length));
    buffer[MAC_START..HEADER_START].copy_from_slice(&mac);
    Ok(end)
}

/// Writes the prefix from [`encode_prefix`] and its packet into `buffer` and returns the length.
pub fn write_with_prefix(prefix: &[u8], payload: &[u8], buffer: &mut [u8]) -> Result<usize> {
    let length = prefix.len() + payload.len();
    let buffer = buffer.get_mut(..length).ok_or(Error::TooLarge)?;
    buffer[..prefix.len()].copy_from_slice(prefix);
    buffer[prefix.len()..].copy_from_slice(payload);
    Ok(length)
}

/// Decodes a capsule; [`UnverifiedCapsule::verify`] checks its authenticator.
pub fn decode(datagram: &[u8]) -> Result<UnverifiedCapsule<'_>> {
    if datagram.len() < HEADER_START {
        return Err(Error::Truncated);
    }
    if datagram[0] != VERSION {
        return Err(Error::Version);
    }
    let mut mac = [0; 8];
    mac.copy_from_slice(&datagram[MAC_START..HEADER_START]);
    let rest = &datagram[HEADER_START..];
    let (header, payload) = postcard::take_from_bytes(rest).map_err(|_| Error::Malformed)?;
    Ok(UnverifiedCapsule {
        header,
        payload,
        mac,
        header_bytes: &rest[..rest.len() - payload.len()],
    })
}
