//! Messages between agents of one service about the owners of flow keys.
//!
//! A message is one UDP datagram on the capsule socket: a version byte that no capsule has, an
//! 8-byte authenticator over the rest, and the body (postcard). A message that is played again
//! within the memory of the directory changes nothing that its first arrival did not.

use {
    crate::{
        capsule::MacKey,
        errors::{Error, Result},
    },
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        directory::Outcome,
        flow::{Hop, Key},
        ids::Instance,
        key::ServiceDigest,
        ownership::Load,
        placement::Chain,
    },
};

/// The first byte of a claim message.
pub const VERSION: u8 = 0x41;
/// Entries of one [`Body::Publish`] at most, so that the datagram is not fragmented.
pub const MAX_ENTRIES: usize = 40;
/// Longest message in bytes.
pub const MAX_BYTES: usize = 1_400;

const BODY_START: usize = 9;

/// A message with its two ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The service of both agents.
    pub digest: ServiceDigest,
    /// The sender.
    pub from: Hop,
    /// The address of the receiver; another agent drops the message.
    pub to: Instance,
    /// The load of the sender.
    pub load: Load,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender wants to own the key.
    Claim(Key),
    /// An agent wants to own a key; each home that grants hands this to the next.
    Relay(Relay),
    /// The answer to a claim.
    Answer(Key, Outcome),
    /// The sender took a flow that the receiver passed on; the load answers the receiver's.
    Load,
    /// The owners of keys, as far as the sender knows.
    Publish(Vec<Entry>),
}

/// A claim that homes hand on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The key.
    pub key: Key,
    /// The agent that wants to own it.
    pub claimant: Hop,
    /// The chain with the homes of the key.
    pub chain: Chain,
    /// The position of the receiver among the homes.
    pub position: u8,
}

/// The owner of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Its owner.
    pub owner: Hop,
}

/// Encodes a message.
pub fn encode(message: &Message, mac_key: &MacKey) -> Result<Vec<u8>> {
    let mut datagram = vec![0; MAX_BYTES];
    let length = postcard::to_slice(message, &mut datagram[BODY_START..])
        .map_err(|_| Error::TooLarge)?
        .len();
    datagram.truncate(BODY_START + length);
    let mac = mac_key.mac(&datagram[BODY_START..], 0);
    datagram[0] = VERSION;
    datagram[1..BODY_START].copy_from_slice(&mac);
    Ok(datagram)
}

/// Checks and decodes a message.
pub fn decode(datagram: &[u8], mac_key: &MacKey) -> Result<Message> {
    if datagram.len() < BODY_START {
        return Err(Error::Truncated);
    }
    if datagram.len() > MAX_BYTES {
        return Err(Error::TooLarge);
    }
    if datagram[0] != VERSION {
        return Err(Error::Version);
    }
    let body = &datagram[BODY_START..];
    if mac_key.mac(body, 0) != datagram[1..BODY_START] {
        return Err(Error::Unauthenticated);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| Error::Malformed)?;
    if rest.is_empty() { Ok(message) } else { Err(Error::Malformed) }
}
