//! The route of an opening segment through the agents that may take its flow.

use {
    super::decision::Decision,
    crate::{ids::Instance, route::TrafficClass},
    std::net::SocketAddrV4,
};

/// Maximum number of agents that one opening segment visits.
pub const MAX_HOPS: u8 = 8;

/// Number of agents that pass a flow on because its request would be late. When all of them are busy,
/// further ones are as well, and each hop takes the time of one more agent.
pub const MAX_LATE_HOPS: u8 = 3;

/// Where a flow comes from, as its opening segment tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSource {
    /// The class of the requests in the flow, if the balancer has named it.
    pub class: Option<TrafficClass>,
    /// The balancer that got the opening segment from the caller.
    pub origin: SocketAddrV4,
}

/// The route of an opening segment through the candidate agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The class of the requests in the flow, if the balancer names it.
    pub class: Option<TrafficClass>,
    /// The balancer that chose the candidates and gets the result.
    pub origin: SocketAddrV4,
    /// The candidates after the current agent, in order.
    pub rest: Box<[Instance]>,
    /// The number of agents that the segment has visited before.
    pub hops: u8,
}

impl Offer {
    /// Returns where the flow comes from.
    pub fn source(&self) -> FlowSource {
        FlowSource { class: self.class, origin: self.origin }
    }

    /// Returns true if no other agent may take the flow after the current one.
    pub fn is_last(&self) -> bool {
        self.rest.is_empty() || self.hops.saturating_add(1) >= MAX_HOPS
    }
}

/// Passes an opening segment that an agent does not take to the next candidate, or refuses it if
/// none is left.
pub fn pass_or_refuse(offer: Offer) -> Decision {
    let Offer { class, origin, rest, hops } = offer;
    // A malformed message may contain any number.
    let hops = hops.saturating_add(1);
    match rest.split_first() {
        Some((&to, rest)) if hops < MAX_HOPS => {
            Decision::Pass(to, Offer { class, origin, rest: rest.into(), hops })
        }
        _ => Decision::Refuse(origin),
    }
}
