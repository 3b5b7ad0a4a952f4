//! Messages between agents of one service about the owners of flow keys.
//!
//! A message is one UDP datagram on the capsule socket: a version byte that differs from the one of
//! capsules, an 8-byte authenticator over the message, and the message (postcard). A replay has no
//! effect while the homes keep the entries that the first message changed.

use {
    crate::{
        capsule::MacKey,
        errors::{Error, Result},
    },
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        directory::ClaimOutcome,
        flow::{AgentId, FlowKey},
        ids::Instance,
        key::ServiceDigest,
        ownership::FlowLoad,
        placement::CandidateChain,
    },
};

/// The first byte of a claim message.
pub const VERSION: u8 = 0x41;
/// Upper bound of the entries of one [`ClaimBody::Publish`], so that the datagram is not fragmented.
pub const MAX_ENTRIES: usize = 40;
/// Upper bound of an encoded message in bytes.
pub const MAX_BYTES: usize = 1_400;

const BODY_START: usize = 9;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimMessage {
    /// The service of both agents.
    pub digest: ServiceDigest,
    /// The sender.
    pub from: AgentId,
    /// The address of the receiver; an agent drops messages for other addresses.
    pub to: Instance,
    /// The load of the sender.
    pub load: FlowLoad,
    /// The content of the message.
    pub body: ClaimBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimBody {
    /// The sender claims the ownership of the key.
    Claim(FlowKey),
    /// A claim of another agent, which each granting home forwards to the next home.
    Relay(RelayedClaim),
    /// The outcome of a claim.
    Answer(FlowKey, ClaimOutcome),
    /// The sender accepted a flow that the receiver passed on; only the load in the message
    /// matters.
    Load,
    /// The owners of keys that the sender knows. Without entries, it shows that the sender has none
    /// for the receiver.
    Publish(Vec<OwnerEntry>),
    /// The sender asks whether the receiver lives, which answers with [`ClaimBody::Load`].
    Query,
}

/// A claim that is forwarded from home to home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedClaim {
    /// The key.
    pub key: FlowKey,
    /// The agent that claims it.
    pub claimant: AgentId,
    /// The chain with the homes of the key.
    pub chain: CandidateChain,
    /// The position of the receiver among the homes.
    pub position: u8,
}

/// The owner of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerEntry {
    /// The key.
    pub key: FlowKey,
    /// Its owner.
    pub owner: AgentId,
}

/// Encodes a message.
pub fn encode(message: &ClaimMessage, mac_key: &MacKey) -> Result<Vec<u8>> {
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

/// Authenticates and decodes a message.
pub fn decode(datagram: &[u8], mac_key: &MacKey) -> Result<ClaimMessage> {
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
