//! Messages between balancers and agents of the segment front end.
//!
//! A message is one UDP datagram: a version byte, the length of the head, the head (postcard), and
//! behind it the segment that the message carries, if any, as its sender wrote it. Messages carry
//! no authenticator: the agents accept them on an address that only machines of the system reach,
//! and the platform hands out no key.

use {
    crate::errors::{Error, Result},
    serde::{Deserialize, Serialize},
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::{Hop, Key},
        ids::{Incarnation, Instance},
        pool::Load,
        route::{ConfigVersion, Target, TrafficClass},
        time::Span,
    },
};

/// The first byte of a message.
pub const VERSION: u8 = 2;
/// Longest head in bytes; a head with the most candidates is shorter.
const MAX_HEADER_BYTES: usize = 255;
const HEADER_START: usize = 2;

/// What a balancer, or an agent that passes an opening segment on, says to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The segment opens a flow, for the receiver to take or to pass on.
    Offer {
        /// The service of the flow.
        target: Target,
        /// The balancer that is told what became of it.
        origin: SocketAddrV4,
        /// The agents that are asked next.
        rest: Box<[Instance]>,
        /// The agents that were asked before.
        hops: u8,
    },
    /// The receiver is taken for the owner of the segment's flow.
    Carry(TrafficClass),
    /// The sender searches the owner of the segment's flow.
    Search(TrafficClass),
    /// All others have denied the segment's flow.
    Probe(TrafficClass),
    /// The receiver tells its state.
    Ping {
        /// The entry of the receiver in the listing, as the sender knows it.
        listed: Option<(Incarnation, u32)>,
        /// The version of the configuration that the sender has in force.
        version: ConfigVersion,
    },
}

/// What an agent says to a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The sender.
    pub from: Hop,
    /// Its load.
    pub load: Load,
    /// The time since it or its upstream started, whichever is longer.
    pub age: Span,
    /// The highest version of the configuration that any balancer told it.
    pub version: ConfigVersion,
    /// What it says.
    pub body: Body,
}

/// What an agent says besides its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Nothing.
    Load,
    /// The sender took a flow.
    Took(Key),
    /// Neither the sender nor any agent before it takes the flow; the opening segment comes back.
    Refused,
    /// The sender owns the flow.
    Owns(Key),
    /// The sender does not own the flow. A segment of which the receiver has no copy comes back.
    Denies {
        /// The flow.
        key: Key,
        /// Whether the sender's upstream may hold the flow all the same.
        unsure: bool,
    },
}

/// Encodes a head and the segment behind it.
pub fn encode<T: Serialize>(header: &T, segment: &[u8]) -> Result<Vec<u8>> {
    let mut buffer = [0; MAX_HEADER_BYTES];
    let header = postcard::to_slice(header, &mut buffer).map_err(|_| Error::TooLarge)?;
    let mut datagram = Vec::with_capacity(HEADER_START + header.len() + segment.len());
    datagram.push(VERSION);
    datagram.push(u8::try_from(header.len()).map_err(|_| Error::TooLarge)?);
    datagram.extend_from_slice(header);
    datagram.extend_from_slice(segment);
    Ok(datagram)
}

/// Decodes a head and returns it with the segment behind it.
pub fn decode<'a, T: Deserialize<'a>>(datagram: &'a [u8]) -> Result<(T, &'a [u8])> {
    let (&[version, length], rest) = datagram.split_first_chunk().ok_or(Error::Truncated)?;
    if version != VERSION {
        return Err(Error::Version);
    }
    let (header, segment) = rest.split_at_checked(length.into()).ok_or(Error::Truncated)?;
    let (header, left) = postcard::take_from_bytes(header).map_err(|_| Error::Malformed)?;
    if left.is_empty() { Ok((header, segment)) } else { Err(Error::Malformed) }
}
