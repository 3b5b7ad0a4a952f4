//! Segments: the packets of a front end whose flows carry a byte stream inside datagrams.
//!
//! The two ends of a flow own its bytes. The system reads the head of each segment, decides where
//! the segment goes and forwards it unchanged. How a head is encoded is the business of a
//! [`Format`], so that the decisions serve any such front end.

use {
    crate::{flow::Key, rendezvous::digest},
    std::{
        fmt::{Debug, Display, Formatter},
        net::SocketAddrV4,
    },
};

newtype! {
    /// A position in one direction of the byte stream of a flow. It wraps around.
    Sequence(u32), "a sequence number"
}

/// The two addresses that name a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The end of the caller.
    pub caller: SocketAddrV4,
    /// The address of the service that the caller opened the flow to.
    pub address: SocketAddrV4,
}

/// What the head of a segment says besides its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// The caller wants to open the flow.
    Open,
    /// The upstream accepts the flow.
    Accept,
    /// One end has sent its last byte.
    Finish,
    /// One end has given up the flow.
    Reset,
    /// None of these: data or an acknowledgement.
    Continue,
}

/// The head of one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its flow.
    pub flow: Flow,
    /// What it does to the flow.
    pub control: Control,
    /// The position of its first byte.
    pub sequence: Sequence,
    /// The position up to which the sender has the bytes of the other end.
    pub acknowledged: Sequence,
    /// The number of data bytes.
    pub length: u16,
}

/// A segment that an upstream handed to its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outbound {
    /// The upstream sends it to the caller.
    Reply(Segment),
    /// The upstream returns a segment of the caller that it did not take.
    Bounced(Segment),
}

/// How segments are encoded.
///
/// An implementer translates and decides nothing. It must not fail on any input but with the
/// error, after which the caller counts the datagram and drops it.
pub trait Format: Clone + Send + Sync + 'static {
    /// Why a datagram is no segment.
    type Error: Debug + Display + Send;

    /// Reads a datagram that came from a caller.
    fn parse_inbound(&self, datagram: &[u8]) -> Result<Segment, Self::Error>;

    /// Reads a datagram that came from an upstream.
    fn parse_outbound(&self, datagram: &[u8]) -> Result<Outbound, Self::Error>;

    /// Returns the id of the request that the datagram begins, or whose answer it begins, for logs.
    /// The bytes belong to the two ends, so that nothing may depend on it.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str>;

    /// Returns the requests that the upstream has in progress, the answered one included, when the
    /// datagram begins an answer that tells them.
    fn requests_in_progress(&self, datagram: &[u8]) -> Option<u32>;

    /// Turns a bounced segment back into the one that the caller sent.
    fn restore_bounced(&self, datagram: &mut [u8]);

    /// Builds a segment that ends a flow towards its caller, as if its upstream had reset it.
    fn encode_reset(&self, flow: Flow, sequence: Sequence) -> Vec<u8>;
}

impl Flow {
    /// Returns the key under which all processes know the flow.
    pub fn key(&self) -> Key {
        Key::new(digest(self))
    }
}

impl Display for Flow {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.address)
    }
}

impl Sequence {
    /// Returns the position one byte later, which acknowledges the opening of a stream.
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }

    /// Returns true when `self` lies behind `other`, seen over the shorter way around.
    pub const fn is_after(self, other: Self) -> bool {
        (self.0.wrapping_sub(other.0) as i32) > 0
    }

    /// Returns the later one of two positions.
    pub const fn latest(self, other: Self) -> Self {
        if self.is_after(other) { self } else { other }
    }
}
