//! The filter chain for segments from balancers and other agents: service, ownership.

use {
    super::state::{AgentState, Reservation},
    std::{net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        filter::{Filter, FilterChain, Verdict},
        handshake::{self, Decision, ForwardReason, Offer},
        route::{Target, TrafficClass},
        segment::Segment,
        time::Moment,
    },
};

/// The context in which a segment was received.
#[derive(Clone, Debug)]
pub enum Context {
    /// The segment opens a flow of this service. The datagram is kept until the upstream has
    /// accepted the flow.
    NewFlow(Target, Offer, Box<[u8]>),
    /// The segment belongs to an established flow. The address is the balancer that sent it.
    Established(SocketAddrV4, ForwardReason, TrafficClass),
}

/// A segment from a balancer or another agent.
#[derive(Clone, Debug)]
pub struct ReceivedSegment {
    /// The decoded header.
    pub segment: Segment,
    /// The context in which it was received.
    pub context: Context,
    /// The time at which it was received.
    pub now: Moment,
}

/// Passes new flows of another service on to the next agent: the service at an address can change.
struct Service(Arc<AgentState>);

/// Decides by the flows that the agent owns.
struct Ownership(Arc<AgentState>);

/// Builds the chain.
pub fn build_chain(state: &Arc<AgentState>) -> FilterChain<ReceivedSegment, Decision> {
    FilterChain::new(vec![Box::new(Service(state.clone())), Box::new(Ownership(state.clone()))])
}

impl Filter<ReceivedSegment> for Service {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "service"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        match &received.context {
            Context::NewFlow(target, offer, _) if *target != self.0.target => {
                Verdict::Done(handshake::pass_or_refuse(offer.clone()))
            }
            _ => Verdict::Continue,
        }
    }
}

impl Filter<ReceivedSegment> for Ownership {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "ownership"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        let (table, segment, now) = (&self.0.table, &received.segment, received.now);
        Verdict::Done(match &received.context {
            Context::NewFlow(_, offer, datagram) => {
                let (intake, reservation) = self.0.intake(segment, offer, now);
                let decision = table.handle_opening(segment, datagram, offer.clone(), intake, now);
                if decision == Decision::Confirm {
                    self.0.record_accepted_flow(now);
                }
                self.0.settle(reservation, decision == Decision::Confirm, now);
                decision
            }
            Context::Established(origin, reason, _) => {
                let unsure = self.0.may_hold_unknown_flows(now);
                let reservation = self.0.reserve_request(segment, unsure, now);
                let max_concurrent = if reservation == Reservation::Refused {
                    0
                } else {
                    self.0.max_concurrent(now)
                };
                let decision =
                    table.handle_segment(segment, *origin, *reason, unsure, max_concurrent, now);
                let is_delivered = matches!(decision, Decision::Deliver | Decision::Confirm);
                self.0.settle(reservation, is_delivered, now);
                decision
            }
        })
    }
}
