//! The actions that follow from timeouts and from the end of an upstream.

use {
    super::{
        decision::Decision,
        offer::{self, FlowSource, Offer},
    },
    crate::{
        ids::Instance,
        segment::{Flow, Sequence},
        time::Moment,
    },
    std::net::SocketAddrV4,
};

/// An action that follows from a timeout or a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pass the opening segment to the next candidate, since the upstream has not accepted it.
    Pass {
        /// The flow.
        flow: Flow,
        /// The next candidate.
        to: Instance,
        /// The remaining route.
        offer: Offer,
        /// The opening segment.
        datagram: Box<[u8]>,
    },
    /// Tell the balancer that the upstream has not accepted the flow and no candidate is left.
    Refuse {
        /// The flow.
        flow: Flow,
        /// The balancer.
        origin: SocketAddrV4,
        /// The opening segment.
        datagram: Box<[u8]>,
    },
    /// Tell the balancer that this agent owns the flow, since the upstream did not return a probe.
    Confirm {
        /// The flow.
        flow: Flow,
        /// The balancer.
        origin: SocketAddrV4,
    },
    /// Note that the upstream has had a request for longer than requests usually take without a
    /// response.
    Overdue {
        /// The flow.
        flow: Flow,
    },
    /// Note that an accepted flow was removed, since its caller has sent no segment to this agent.
    Expire {
        /// The flow.
        flow: Flow,
        /// The sequence number with which the upstream accepted the flow.
        accepted: Sequence,
    },
}

/// A flow that was lost with its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFlow {
    /// The flow.
    pub flow: Flow,
    /// The latest position that the caller acknowledged.
    pub acknowledged: Sequence,
    /// Whether a request was in progress, or waited at the agent.
    pub busy: bool,
    /// Whether [`Action::Overdue`] has been returned for the request in progress.
    pub was_overdue: bool,
    /// Where it comes from, if the agent has seen its opening segment.
    pub source: Option<FlowSource>,
    /// The time of its opening segment, or that at which the agent discovered it.
    pub started_at: Moment,
}

impl Action {
    /// Passes an opening segment that the upstream has not accepted to the next candidate, or
    /// refuses it if none is left.
    pub(super) fn pass_or_refuse(flow: Flow, offer: &Offer, datagram: &[u8]) -> Self {
        match offer::pass_or_refuse(offer.clone()) {
            Decision::Pass(to, offer) => Self::Pass { flow, to, offer, datagram: datagram.into() },
            _ => Self::Refuse { flow, origin: offer.origin, datagram: datagram.into() },
        }
    }
}
