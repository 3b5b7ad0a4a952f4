//! Control messages between processes, encoded with rmp-serde.

use {
    crate::errors::{Error, Result},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{Incarnation, Instance, Revision},
        member::Entry,
        rendezvous,
    },
};

const VERSION: u8 = 1;
/// Largest message in bytes: the snapshot of a balancer at the size in `docs/CAPACITY.md`.
pub const MAX_BYTES: usize = 16 << 20;

/// An agent tells a registrar that its upstream is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The member entry of the agent.
    pub entry: Entry,
    /// The revision of the contract that the agent follows.
    pub revision: Revision,
    /// The digest of the siblings that the agent knows, see [`siblings_digest`].
    pub siblings: u64,
    /// The digest of the balancers that the agent knows, see [`Balancers::digest`].
    pub balancers: u64,
}

/// The answer to an [`Announce`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The contract, when the agent's revision is not the current one.
    pub contract: Option<Contract<Accepted>>,
    /// The other agents of the service, when the agent knows others.
    pub siblings: Option<Box<[Sibling]>>,
    /// The balancers to turn to, when the agent knows others.
    pub balancers: Option<Balancers>,
    /// The version that the agent has to exceed, when it was suspected.
    pub refute: Option<u32>,
    /// The life that the agent has to exceed, when it announced an earlier one.
    pub later: Option<Incarnation>,
}

/// The balancers that an agent turns to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Balancers {
    /// Those to which it announces itself.
    pub registrars: Box<[SocketAddr]>,
    /// Some more for the time when no registrar answers.
    pub others: Box<[SocketAddr]>,
}

impl Balancers {
    /// Returns the digest, so that the addresses travel only when they have changed.
    pub fn digest(&self) -> u64 {
        rendezvous::digest(self)
    }
}

/// Another agent of the same service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sibling {
    /// Its address.
    pub instance: Instance,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Returns the digest of a list of siblings, so that it travels only when it has changed.
pub fn siblings_digest(siblings: &[Sibling]) -> u64 {
    let digests = siblings.iter().map(|s| rendezvous::digest(&(s.instance, s.incarnation)));
    digests.fold(0, |sum, digest| sum ^ digest)
}

/// An operator's order to an agent, or a question. The agent answers with a
/// [`crate::admin::Report`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// The life of the agent that is meant, so that a reused address does not obey.
    pub incarnation: Incarnation,
    /// What it shall do.
    pub order: Order,
}

/// What an operator asks of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// It tells what it holds.
    Report,
    /// It takes no new flows and asks callers to move.
    Drain,
}

/// Encodes a message behind a version byte.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, message).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_BYTES { Err(Error::TooLarge) } else { Ok(bytes) }
}

/// Decodes a message. Bytes behind the message are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge);
    }
    let (&version, mut rest) = bytes.split_first().ok_or(Error::Truncated)?;
    if version != VERSION {
        return Err(Error::Version);
    }
    let message = rmp_serde::from_read(&mut rest).map_err(|_| Error::Malformed)?;
    if rest.is_empty() { Ok(message) } else { Err(Error::Malformed) }
}
