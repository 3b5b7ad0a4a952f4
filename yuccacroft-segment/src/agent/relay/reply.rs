//! The replies to balancers and messages to other agents.

use {
    super::Relay,
    crate::{
        host::Socket,
        traffic::{Direction, Kind},
    },
    slog::info,
    std::{collections::HashSet, net::SocketAddrV4, sync::atomic::Ordering},
    yuccacroft_core::{
        ids::{Incarnation, Revision},
        pool::{AgentLoad, Measures},
        route::ConfigVersion,
        segment::Format,
        time::{Moment, Span},
    },
    yuccacroft_wire::relay::{self, Body, Reply},
};

/// Time for which a balancer is sent the load after its last message.
const BALANCER_TIMEOUT: Span = Span::from_secs(3);
/// Time within which a written entry is in the listing of every balancer: the longest time between
/// two of its reads, and a ping.
const MAX_LISTING_DELAY: Span = Span::from_millis(3_500);

impl<F: Format, S: Socket> Relay<F, S> {
    /// Returns the present load of the agent.
    pub fn load(&self, now: Moment) -> AgentLoad {
        let accepting = self.state.takes_flow(now);
        let warmup = self.state.monitor().remaining_warmup(now);
        AgentLoad {
            accepting,
            active: self.state.open_requests(),
            busy: self.state.mean_requests(),
            open: self.state.table.open_flows(),
            service_time: self.state.table.service_time(),
            warmup,
            stopping: self.state.is_stopping() && !self.state.has_no_upstream(),
        }
    }

    /// Returns what the agent has measured of its upstream.
    pub fn measures(&self, now: Moment) -> Measures {
        let wait = self.state.expected_wait(now);
        let failures = self.state.outcomes().failures();
        Measures { wait, failures, room: self.state.room(now) }
    }

    /// Sends the load to every balancer that sent a message recently.
    pub fn send_load(&self, now: Moment) {
        self.balancers.retain(|_, last_seen| now.since(*last_seen) < BALANCER_TIMEOUT);
        let balancers = self.balancers.fold(HashSet::new(), |mut balancers, balancer, _| {
            balancers.insert(*balancer);
            balancers
        });
        self.state.retain_balancer_domains(|balancer| balancers.contains(&balancer));
        let body = if self.state.requirements.health {
            Body::Measures(self.measures(now))
        } else {
            Body::Load
        };
        balancers.into_iter().for_each(|balancer| self.reply(balancer, body.clone(), &[], now));
    }

    pub(super) fn send_pong(
        &self,
        from: SocketAddrV4,
        listed: Option<(Incarnation, u32)>,
        now: Moment,
    ) {
        self.balancers.insert(from, now);
        if let Some((incarnation, _)) = listed {
            self.succeed(incarnation);
        }
        let (entry_version, written) = *self.written_entry();
        let current = (self.agent_id().incarnation, entry_version);
        if entry_version > 0 && listed != Some(current) && now.since(written) >= MAX_LISTING_DELAY {
            self.entry_unlisted.notify_one();
        }
        self.reply(from, Body::Pong, &[], now);
    }

    pub(super) fn reply(&self, to: SocketAddrV4, body: Body, segment: &[u8], now: Moment) {
        let version = ConfigVersion::new(self.config_version.load(Ordering::Relaxed));
        let newest_entry = Revision::new(self.newest_entry.load(Ordering::Relaxed));
        let reply = Reply {
            from: self.agent_id(),
            load: self.load(now),
            age: self.state.age(now),
            version,
            newest_entry,
            body,
        };
        self.send(Kind::of_reply(&reply.body), to, &reply, segment);
    }

    pub(super) fn send<T: serde::Serialize>(
        &self,
        kind: Kind,
        to: SocketAddrV4,
        message: &T,
        segment: &[u8],
    ) {
        match relay::encode(message, segment) {
            Ok(datagram) => {
                self.traffic.record(Direction::Sent, kind, datagram.len());
                self.setup.messages.send(&datagram, to);
            }
            Err(error) => {
                info!(self.flow_log.log(), "message not encoded"; "cause" => %error);
            }
        }
    }
}
