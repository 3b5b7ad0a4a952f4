//! Messages between balancers and agents of the segment front end.
//!
//! A message is one UDP datagram: a version byte, the length of the header, the header (postcard)
//! and the unchanged segment, if the message carries one. Messages have no authenticator: the
//! agents accept them on an address that only machines of the system reach, and the platform
//! provides no key.
//!
//! New kinds of messages come at the end of [`Request`] and [`Body`]: a process of the same
//! [`VERSION`] that does not know them decodes all others and drops those as malformed. Processes of
//! different versions do not understand each other.

use {
    crate::errors::{Error, Result},
    serde::{Deserialize, Serialize},
    std::net::SocketAddrV4,
    yuccacroft_core::{
        evacuation::Notice,
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance, Revision},
        limits::ServiceLimits,
        pool::{AgentLoad, Measures, indirect::Condition},
        route::{ConfigVersion, Target, TrafficClass},
        segment::Sequence,
        time::{Moment, Span},
    },
};

/// The first byte of a message.
pub const VERSION: u8 = 3;
/// Upper bound of a header in bytes. The header with the largest number of candidates is shorter.
const MAX_HEADER_BYTES: usize = 255;
const HEADER_START: usize = 2;

/// Limit of flows that one message asks about, so that the header is not too long.
pub const MAX_FLOW_QUERIES: usize = 16;

/// Limit of flows in one message with a list of flows: their keys fit into a datagram with the header.
pub const MAX_LISTED_FLOWS: usize = 128;

/// A question about the owner of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowQuery {
    /// The flow.
    pub key: FlowKey,
    /// The position that the waiting segment of the caller acknowledges, which tells whether the
    /// caller accepted the answer of the receiver's upstream.
    pub acknowledged: Sequence,
}

/// A message to an agent, from a balancer or from an agent that passes an opening segment on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The segment opens a flow; the receiver takes it or passes it on.
    Offer {
        /// The service of the flow.
        target: Target,
        /// The balancer to which the outcome is sent.
        origin: SocketAddrV4,
        /// The agents to offer the flow to next.
        rest: Box<[Instance]>,
        /// The number of agents that were offered the flow before.
        hops: u8,
    },
    /// The receiver is believed to own the segment's flow.
    Carry(TrafficClass),
    /// The sender searches for the owner of a flow.
    Search {
        /// The flow.
        key: FlowKey,
        /// The position that the waiting segment of the caller acknowledges, which tells whether
        /// the caller accepted the answer of the receiver's upstream.
        acknowledged: Sequence,
    },
    /// All other agents have denied that they own the segment's flow.
    Probe(TrafficClass),
    /// The sender asks for the state of the receiver.
    Ping {
        /// The incarnation and version of the receiver's store entry, as the sender knows it.
        listed: Option<(Incarnation, u32)>,
        /// The version of the configuration in force at the sender.
        version: ConfigVersion,
        /// The revision at which the newest entry of an agent was created that the sender knows.
        newest_entry: Revision,
    },
    /// The sender, a balancer, gets no answer from another agent, and asks the receiver to ping it.
    IndirectPing {
        /// The agent without an answer.
        suspect: Instance,
    },
    /// The sender pings the receiver for a balancer.
    RelayedPing {
        /// The balancer.
        origin: SocketAddrV4,
    },
    /// The answer to a relayed ping. The receiver tells the balancer.
    RelayedPong {
        /// The balancer.
        origin: SocketAddrV4,
        /// The agent that answers.
        from: AgentId,
        /// Its condition.
        condition: Condition,
    },
    /// The sender searches for the owners of several flows, [`MAX_FLOW_QUERIES`] at most.
    SearchMany(Box<[FlowQuery]>),
    /// The segment opens a flow, as with [`Request::Offer`], whose requests have this class.
    ClassifiedOffer {
        /// The class of the requests in the flow.
        class: TrafficClass,
        /// The service of the flow.
        target: Target,
        /// The balancer to which the outcome is sent.
        origin: SocketAddrV4,
        /// The agents to offer the flow to next.
        rest: Box<[Instance]>,
        /// The number of agents that were offered the flow before.
        hops: u8,
    },
    /// The sender, a balancer, tells whether the failure domain of the receiver is evacuated.
    Evacuation(Notice),
    /// The sender, a balancer, tells the limits of the receiver's service.
    Limits(ServiceLimits),
    /// The sender, a balancer, tells its failure domain, in which its callers are.
    Home(Domain),
    /// The sender, a balancer, searches for the owners of so many flows that it asks for all flows of
    /// the receiver.
    ListFlows {
        /// The time of the question on the clock of the sender, which the answer repeats.
        asked_at: Moment,
    },
}

/// A message of an agent to a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The sender.
    pub from: AgentId,
    /// Its load.
    pub load: AgentLoad,
    /// The time since the start of the agent or of its upstream, whichever is longer.
    pub age: Span,
    /// The highest configuration version that the agent received from a balancer.
    pub version: ConfigVersion,
    /// The highest revision of a creation of an entry that the agent received from a balancer.
    pub newest_entry: Revision,
    /// The content of the message.
    pub body: Body,
}

/// The content of a message of an agent, besides its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The load, which the sender reports on its own.
    Load,
    /// The answer to a ping.
    Pong,
    /// The sender accepted the flow.
    Took(FlowKey),
    /// Neither the sender nor any agent before it accepts the flow; the opening segment is
    /// returned.
    Refused,
    /// The sender owns the flow.
    Owns(FlowKey),
    /// The sender does not own the flow. The segment is returned unless the receiver has a copy.
    Denies {
        /// The flow.
        key: FlowKey,
        /// Whether the sender's upstream may know the flow nevertheless.
        unsure: bool,
    },
    /// The sender has reached another agent, as the receiver has asked it to.
    IndirectPong {
        /// The other agent.
        agent_id: AgentId,
        /// Its condition.
        condition: Condition,
    },
    /// The sender owns none of these flows, which one message asked about.
    DeniesMany {
        /// The flows.
        keys: Box<[FlowKey]>,
        /// Whether the sender's upstream may know them nevertheless.
        unsure: bool,
    },
    /// The load, which the sender reports on its own, with what it has measured of its upstream.
    Measures(Measures),
    /// The flows of the sender whose keys are in a range. Their keys follow the header, see
    /// [`encode_keys`]. The sender owns no other flow of the range.
    Flows {
        /// The time of the question on the clock of the receiver.
        asked_at: Moment,
        /// The first key of the range.
        first: FlowKey,
        /// The last key of the range.
        last: FlowKey,
        /// Whether the sender's upstream may know other flows of the range nevertheless.
        unsure: bool,
    },
}

/// Encodes the keys of flows for the message [`Body::Flows`].
pub fn encode_keys(keys: &[FlowKey]) -> Vec<u8> {
    keys.iter().flat_map(|key| key.get().to_be_bytes()).collect()
}

/// Decodes the keys of flows. Bytes after the last whole key are an error.
pub fn decode_keys(bytes: &[u8]) -> Result<Vec<FlowKey>> {
    let (keys, rest) = bytes.as_chunks();
    if !rest.is_empty() {
        return Err(Error::Truncated);
    }
    Ok(keys.iter().map(|key| FlowKey::new(u64::from_be_bytes(*key))).collect())
}

/// Encodes a header and the segment after it.
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

/// Decodes a header and returns it with the segment after it.
pub fn decode<'a, T: Deserialize<'a>>(datagram: &'a [u8]) -> Result<(T, &'a [u8])> {
    let (&[version, length], rest) = datagram.split_first_chunk().ok_or(Error::Truncated)?;
    if version != VERSION {
        return Err(Error::Version);
    }
    let (header, segment) = rest.split_at_checked(length.into()).ok_or(Error::Truncated)?;
    let (header, trailing) = postcard::take_from_bytes(header).map_err(|_| Error::Malformed)?;
    if trailing.is_empty() { Ok((header, segment)) } else { Err(Error::Malformed) }
}
