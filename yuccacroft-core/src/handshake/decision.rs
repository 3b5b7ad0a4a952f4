//! The decisions of an agent about single segments.

use {
    super::{action::Action, offer::Offer},
    crate::{ids::Instance, segment::Sequence, time::Span, units::Connections},
    std::net::SocketAddrV4,
};

/// The new flows that an agent takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// None.
    Closed,
    /// Any number.
    Unlimited,
    /// Those that keep the flows of the upstream, with the unopened ones, within this number.
    UpTo(Connections),
}

/// The reason why a balancer sends a segment of an existing flow to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardReason {
    /// The balancer considers this agent the owner.
    Owner,
    /// All other agents have denied ownership, so the segment may go to the upstream as a probe.
    Probe,
}

/// Whether an agent owns a flow that a balancer searches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The agent owns the flow.
    Owns,
    /// The agent does not own the flow.
    Denies,
    /// The upstream may hold the flow although the agent does not know of it.
    Unsure,
    /// A probe of the upstream will tell.
    Pending,
}

/// The decision about a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver the segment to the upstream.
    Deliver,
    /// Deliver the segment to the upstream, and tell the balancer that this agent has the flow.
    Confirm,
    /// Offer the flow to the next candidate.
    Pass(Instance, Offer),
    /// Tell the balancer that no candidate takes the flow.
    Refuse(SocketAddrV4),
    /// Tell the balancer that this agent does not own the flow.
    Deny {
        /// The balancer.
        origin: SocketAddrV4,
        /// Whether the upstream may hold the flow although the agent does not know of it.
        unsure: bool,
        /// Whether the segment goes back to the balancer, because it kept no copy.
        returned: bool,
    },
    /// Send a reset with this position to the caller: the upstream no longer holds the flow.
    Reset(Sequence),
    /// Hold the segment until the upstream has capacity for another request.
    Hold,
    /// Drop the segment for this cause. The caller retransmits it.
    Drop(&'static str),
}

impl Decision {
    /// Returns a short name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Deliver => "deliver",
            Self::Confirm => "confirm",
            Self::Pass(..) => "pass",
            Self::Refuse(_) => "refuse",
            Self::Deny { .. } => "deny",
            Self::Reset(_) => "reset",
            Self::Hold => "hold",
            Self::Drop(_) => "drop",
        }
    }
}

/// What a segment from the upstream to a caller shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyOutcome {
    /// The service time of a request if the segment begins its response.
    pub service_time: Option<Span>,
    /// Whether [`Action::Overdue`] has been returned for this request.
    pub was_overdue: bool,
    /// What to do with the opening segment that the upstream refuses with this one. The flow never
    /// opened here, so nothing has run.
    pub refused_opening: Option<Action>,
    /// Whether the segment refuses an opening segment that was passed on before. Its caller must not get
    /// it, since another agent may have the flow.
    pub is_late_refusal: bool,
    /// The balancer that let the agent probe the upstream, if the segment proves that the upstream
    /// holds the flow. It gets an answer.
    pub prober: Option<SocketAddrV4>,
}
