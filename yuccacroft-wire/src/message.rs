//! Control messages between processes, encoded with rmp-serde.

use {
    crate::errors::{Error, Result},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{Incarnation, Instance, Revision},
        member::MemberEntry,
        rendezvous,
    },
};

const VERSION: u8 = 1;
/// Upper bound of a message in bytes: the snapshot of a balancer at the size in `docs/CAPACITY.md`.
pub const MAX_BYTES: usize = 16 << 20;

/// The announcement of an agent to a registrar while its upstream is available.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The member entry of the agent.
    pub entry: MemberEntry,
    /// The revision of the contract that the agent uses.
    pub revision: Revision,
    /// The digest of the siblings that the agent knows, see [`siblings_digest`].
    pub siblings: u64,
    /// The digest of the balancers that the agent knows, see [`Balancers::digest`].
    pub balancers: u64,
}

/// The answer to an [`Announce`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The contract, when it is newer than the agent's.
    pub contract: Option<Contract<Accepted>>,
    /// The other agents of the service, when the agent's list differs.
    pub siblings: Option<Box<[Sibling]>>,
    /// The balancers to use, when the agent's list differs.
    pub balancers: Option<Balancers>,
    /// The version that the next announcement has to exceed, when the agent is suspected.
    pub refute: Option<u32>,
    /// The known incarnation, when it is later than the announced one; the agent has to exceed it.
    pub later: Option<Incarnation>,
}

/// The balancers that an agent uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Balancers {
    /// The balancers to which it announces itself.
    pub registrars: Box<[SocketAddr]>,
    /// Further balancers, used while no registrar answers.
    pub others: Box<[SocketAddr]>,
}

impl Balancers {
    /// Returns a digest of the addresses, so that they are sent only after a change.
    pub fn digest(&self) -> u64 {
        rendezvous::digest(self)
    }
}

/// Another agent of the same service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sibling {
    /// Its address.
    pub instance: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Returns the digest of a list of siblings, so that the list is sent only after a change. The
/// order of the list does not matter.
pub fn siblings_digest(siblings: &[Sibling]) -> u64 {
    let digests = siblings.iter().map(|s| rendezvous::digest(&(s.instance, s.incarnation)));
    digests.fold(0, |sum, digest| sum ^ digest)
}

/// An operator's order to an agent, or a query. The agent answers with a [`crate::admin::AgentReport`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// The incarnation of the addressed agent, so that a later process with the same address
    /// rejects the order.
    pub incarnation: Incarnation,
    /// The order.
    pub order: Order,
}

/// The orders to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// The agent returns its report.
    Report,
    /// The agent accepts no new flows and asks callers to migrate.
    Drain,
}

/// Encodes a message after a version byte.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write(&mut bytes, message).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_BYTES { Err(Error::TooLarge) } else { Ok(bytes) }
}

/// Decodes a message. Trailing bytes are an error.
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
