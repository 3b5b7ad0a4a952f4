//! Segments: the packets of a front end whose flows carry a byte stream in datagrams.
//!
//! Balancers and agents read the header of each segment, decide where the segment goes and forward
//! it unchanged. A [`Format`] defines how headers are encoded, so that the decisions are
//! independent of the encoding.

use {
    crate::{flow::FlowKey, rendezvous::digest, time::Span, units::Slots},
    std::{
        fmt::{Debug, Display, Formatter},
        net::SocketAddrV4,
    },
};

/// Distance between two positions of one flow beyond which they belong to different flows: more
/// than one end has in flight.
const MAX_POSITION_DISTANCE: u32 = 1 << 16;

newtype! {
    /// A byte position in one direction of the stream of a flow. It wraps around at 2^32.
    Sequence(u32), "a sequence number"
}

/// The two addresses that identify a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The address of the caller.
    pub caller: SocketAddrV4,
    /// The address of the service that the caller opened the flow to.
    pub address: SocketAddrV4,
}

/// The control information in the header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// The caller wants to open the flow.
    Open,
    /// The upstream accepts the flow.
    Accept,
    /// The sender has sent its last byte.
    Finish,
    /// The sender has aborted the flow.
    Reset,
    /// Data or an acknowledgement without other control information.
    Continue,
}

/// The decoded header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow that the segment belongs to.
    pub flow: Flow,
    /// The control information.
    pub control: Control,
    /// The position of the first data byte.
    pub sequence: Sequence,
    /// The position up to which the sender has received the stream of the other end. For an opening
    /// segment, see [`Segment::copy_number`].
    pub acknowledged: Sequence,
    /// The number of data bytes.
    pub length: u16,
}

/// A segment that an upstream sent through its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outbound {
    /// A segment from the upstream to the caller.
    Reply(Segment),
    /// A segment of the caller that the upstream returned because it does not hold the flow or
    /// takes no new one.
    Bounced(Segment),
}

/// What the first bytes of a response say about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The upstream has processed the request, even if it rejects what the caller asked for.
    Success,
    /// The upstream failed to process the request.
    ServerError,
    /// The upstream refused the request without running it.
    NotExecuted,
}

/// The encoding of segments.
///
/// An implementation only translates and makes no decisions. It must not panic on any input; a
/// datagram for which it returns an error is counted and dropped.
pub trait Format: Clone + Send + Sync + 'static {
    /// The reason why a datagram is not a valid segment.
    type Error: Debug + Display + Send;

    /// Parses a datagram from a caller.
    fn parse_inbound(&self, datagram: &[u8]) -> Result<Segment, Self::Error>;

    /// Parses a datagram from an upstream.
    fn parse_outbound(&self, datagram: &[u8]) -> Result<Outbound, Self::Error>;

    /// Returns the id of the request if the datagram begins a request or its response. The id is
    /// for logs only: caller and upstream control these bytes, so no decision may depend on it.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str>;

    /// Returns the number of requests in progress at the upstream, including the answered one, if
    /// the datagram begins a response that reports it.
    fn requests_in_progress(&self, datagram: &[u8]) -> Option<u32>;

    /// Returns the outcome of a request if the datagram begins its response.
    fn response(&self, datagram: &[u8]) -> Option<Response>;

    /// Returns the time from the first copy of an opening segment to the one with this number.
    fn copy_delay(&self, _number: u32) -> Span {
        Span::ZERO
    }

    /// Returns the slots of the upstream, if the datagram begins a response that reports them.
    fn reported_slots(&self, _datagram: &[u8]) -> Option<Slots> {
        None
    }

    /// Restores a bounced segment in place to the bytes that the caller sent.
    fn restore_bounced(&self, datagram: &mut [u8]);

    /// Encodes a segment to the caller that resets the flow as if its upstream had done so.
    fn encode_reset(&self, flow: Flow, sequence: Sequence) -> Vec<u8>;
}

impl Segment {
    /// Returns how many copies of an opening segment its caller sent before this one. An opening
    /// segment acknowledges nothing, so this field carries the count.
    pub const fn copy_number(&self) -> u32 {
        self.acknowledged.get()
    }
}

impl Flow {
    /// Returns the key of the flow, which is the same in all processes.
    pub fn key(&self) -> FlowKey {
        FlowKey::new(digest(self))
    }
}

impl Display for Flow {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.address)
    }
}

impl Sequence {
    /// Returns the position one byte later, which acknowledges an opening segment.
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }

    /// Returns true if `self` comes after `other` in serial number arithmetic (modulo 2^32).
    pub const fn is_after(self, other: Self) -> bool {
        (self.0.wrapping_sub(other.0) as i32) > 0
    }

    /// Returns the number of bytes between two positions, whichever comes first.
    pub const fn distance(self, other: Self) -> u32 {
        (self.0.wrapping_sub(other.0) as i32).unsigned_abs()
    }

    /// Returns true if two positions can belong to the same flow. The two ends choose the first
    /// position of each flow anew, so flows that use a port one after the other are far apart.
    pub const fn is_near(self, other: Self) -> bool {
        self.distance(other) < MAX_POSITION_DISTANCE
    }

    /// Returns the later of two positions.
    pub const fn latest(self, other: Self) -> Self {
        if self.is_after(other) { self } else { other }
    }
}
