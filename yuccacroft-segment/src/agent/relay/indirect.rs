//! Pings between agents for a balancer that gets no answer from one of them.
//!
//! The messages carry the address of the balancer, so that no agent keeps any state about them.

use {
    super::Relay,
    crate::{host::Socket, traffic::Kind},
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::AgentId, ids::Instance, pool::indirect::Condition, segment::Format, time::Moment,
    },
    yuccacroft_wire::relay::{Body, Request},
};

impl<F: Format, S: Socket> Relay<F, S> {
    /// Pings another agent for a balancer.
    pub(super) fn relay_ping(&self, suspect: Instance, origin: SocketAddrV4) {
        let ping = Request::RelayedPing { origin };
        self.send(Kind::RelayedPing, suspect.address(), &ping, &[]);
    }

    /// Answers a ping that another agent sends for a balancer.
    pub(super) fn answer_relayed_ping(&self, origin: SocketAddrV4, via: SocketAddrV4) {
        let (from, condition) = (self.setup.agent_id, self.condition());
        let pong = Request::RelayedPong { origin, from, condition };
        self.send(Kind::RelayedPong, via, &pong, &[]);
    }

    /// Tells a balancer that another agent has answered.
    pub(super) fn relay_pong(
        &self,
        agent_id: AgentId,
        condition: Condition,
        origin: SocketAddrV4,
        now: Moment,
    ) {
        self.reply(origin, Body::IndirectPong { agent_id, condition }, &[], now);
    }

    fn condition(&self) -> Condition {
        if self.state.monitor().has_departed() {
            Condition::Ended
        } else if self.state.is_stopping() {
            Condition::Stopping
        } else {
            Condition::Running
        }
    }
}
