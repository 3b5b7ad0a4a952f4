//! The encapsulation of packets between balancers and agents.
//!
//! A capsule is one UDP datagram: a version byte, an 8-byte authenticator, the header (postcard)
//! and the packet as it came. The authenticator covers the header and the length of the packet;
//! the packet itself is protected by QUIC.

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
        flow::{Key, Phase},
        ids::{Incarnation, Revision},
        key::{Secret, ServiceDigest},
        ownership::Load,
        placement::{Chain, Step},
    },
};

const VERSION: u8 = 1;
const MAC_START: usize = 1;
const HEADER_START: usize = 9;
/// Upper bound of a capsule's overhead in bytes. With packets of 1,200 bytes the whole stays below
/// the 1,472 bytes that fit into an unfragmented datagram.
pub const MAX_OVERHEAD_BYTES: usize = 256;
/// Upper bound of what stands before the packet, in bytes.
pub const MAX_PREFIX_BYTES: usize = HEADER_START + MAX_OVERHEAD_BYTES;

/// How the packet found its way.
#[expect(clippy::large_enum_variant, reason = "a box would allocate for each packet")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The packet carried a valid owner tag.
    Tagged,
    /// The packet was placed by its flow key.
    Untagged {
        /// The key of the flow.
        key: Key,
        /// Its part in the flow.
        phase: Phase,
        /// The candidates for the flow.
        chain: Chain,
        /// The part in which the receiver is asked.
        step: Step,
        /// The agents that the packet visited before.
        hops: u8,
        /// The load of the agent that passed the packet, when it compares loads.
        load: Option<Load>,
    },
    /// The packet goes back to the caller.
    Reply,
}

/// Everything that a capsule says about its packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// How the packet found its way.
    pub kind: Kind,
    /// The service that the packet is meant for.
    pub digest: ServiceDigest,
    /// The life of the agent that the packet is meant for; of the sender in a reply.
    pub incarnation: Incarnation,
    /// The revision of the contract that the sender follows.
    pub revision: Revision,
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service address that the caller uses.
    pub service: SocketAddr,
    /// Where the balancer sends replies: the fabric, or the caller itself.
    pub via: SocketAddr,
    /// Where agents send replies: the balancer that took the packet in.
    pub balancer: SocketAddrV4,
}

/// The authenticator key of one service.
#[derive(Clone)]
pub struct MacKey(SipHasher24);

/// A decoded capsule whose authenticator was not checked yet, since its key depends on the header.
#[derive(Debug)]
pub struct UnverifiedCapsule<'a> {
    /// The header as claimed.
    pub header: Header,
    /// The packet.
    pub payload: &'a [u8],
    mac: [u8; 8],
    header_bytes: &'a [u8],
}

impl MacKey {
    /// Creates the key from the capsule secret of a service.
    pub fn new(secret: &Secret) -> Self {
        Self(SipHasher24::new_with_key(&secret.halves().0))
    }

    pub(crate) fn mac(&self, header: &[u8], payload: usize) -> [u8; 8] {
        let mut hasher = self.0;
        hasher.write(header);
        hasher.write_u64(payload as u64);
        hasher.finish().to_be_bytes()
    }
}

impl Debug for MacKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Seal(..)")
    }
}

impl UnverifiedCapsule<'_> {
    /// Checks the authenticator. Nothing of the capsule may be used when this fails.
    pub fn verify(&self, mac_key: &MacKey) -> Result<()> {
        if mac_key.mac(self.header_bytes, self.payload.len()) == self.mac {
            Ok(())
        } else {
            Err(Error::Unauthenticated)
        }
    }
}

/// Writes a capsule into `buffer` and returns its length. Nothing is allocated.
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

/// Writes what stands before a packet of `payload` bytes and returns its length. It serves all
/// packets with the same header and size.
pub fn encode_prefix(
    header: &Header,
    payload: usize,
    mac_key: &MacKey,
    buffer: &mut [u8],
) -> Result<usize> {
    if buffer.len() < MAX_PREFIX_BYTES {
        return Err(Error::TooLarge);
    }
    buffer[0] = VERSION;
    let header = postcard::to_slice(header, &mut buffer[HEADER_START..MAX_PREFIX_BYTES])
        .map_err(|_| Error::TooLarge)?;
    let (end, mac) = (HEADER_START + header.len(), mac_key.mac(header, payload));
    buffer[MAC_START..HEADER_START].copy_from_slice(&mac);
    Ok(end)
}

/// Writes the result of [`encode_prefix`] and its packet into `buffer` and returns the length.
pub fn write_with_prefix(head: &[u8], payload: &[u8], buffer: &mut [u8]) -> Result<usize> {
    let length = head.len() + payload.len();
    let buffer = buffer.get_mut(..length).ok_or(Error::TooLarge)?;
    buffer[..head.len()].copy_from_slice(head);
    buffer[head.len()..].copy_from_slice(payload);
    Ok(length)
}

/// Reads a capsule. The authenticator is checked by [`UnverifiedCapsule::verify`].
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
