//! The route of an opening segment through the agents that may take its flow.

use {
    super::decision::Decision,
    crate::{
        admission::workload::{Outlook, ServiceTime},
        ids::Instance,
        route::TrafficClass,
        time::Span,
    },
    std::net::SocketAddrV4,
};

/// Maximum number of agents that one opening segment visits.
pub const MAX_HOPS: u8 = 8;

/// Number of agents that pass a flow on because its request would be late. When all of them are busy,
/// further ones are as well, and each hop takes the time of one more agent.
pub const MAX_LATE_HOPS: u8 = 3;

/// Number of agents that pass a flow on because its request would wait although it would be on time.
/// The balancer's first choices are the best ones, as far as it knows.
const MAX_BUSY_HOPS: u8 = 2;

/// Where a flow comes from, as its opening segment tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSource {
    /// The class of the requests in the flow, if the balancer has named it.
    pub class: Option<TrafficClass>,
    /// The balancer that got the opening segment from the caller.
    pub origin: SocketAddrV4,
}

/// The position of one agent among those that a flow is offered to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The number of agents that the flow was offered to before.
    hops: u8,
    /// Whether no other agent may take the flow after this one.
    is_last: bool,
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

impl Turn {
    /// Creates the turn of an agent after `hops` others and before `rest` further candidates.
    pub fn new(hops: u8, rest: usize) -> Self {
        Self { hops, is_last: rest == 0 || hops.saturating_add(1) >= MAX_HOPS }
    }

    /// Returns true if no other agent may take the flow after this one.
    pub fn is_last(self) -> bool {
        self.is_last
    }

    /// Returns true if the agent may pass the flow on because it would serve it badly: it is not the last
    /// candidate, and fewer than [`MAX_LATE_HOPS`] agents came before.
    pub fn has_alternatives(self) -> bool {
        !self.is_last && self.hops < MAX_LATE_HOPS
    }

    /// Returns true if the agent takes the flow, given what the flow's first request can expect. A
    /// request that would be late goes to another agent a few times, since the next one is probably
    /// less busy, and so does one that would wait for longer than it takes. One that would miss its
    /// timeout is not taken at all.
    pub fn takes(self, outlook: Outlook, wait: Span, service: ServiceTime) -> bool {
        match outlook {
            Outlook::OnTime if self.is_last || self.hops >= MAX_BUSY_HOPS => true,
            Outlook::OnTime => wait <= service.mean,
            Outlook::Late => !self.has_alternatives(),
            Outlook::PastTimeout => false,
        }
    }
}

impl Offer {
    /// Returns where the flow comes from.
    pub fn source(&self) -> FlowSource {
        FlowSource { class: self.class, origin: self.origin }
    }

    /// Returns the turn of the current agent.
    pub fn turn(&self) -> Turn {
        Turn::new(self.hops, self.rest.len())
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
