//! Callers: how flows begin, send packets and end, and the causes of broken flows.

use {
    super::{
        Cause, Variant,
        agent::Agent,
        script,
        script::SERVICES,
        simulation::{Event, Flow, MAX_RETRIES, RETRY_INTERVAL, RoutedPacket, Simulation},
    },
    rand::RngExt,
    yuccacroft_core::{
        flow::{AgentId, FlowKey, FlowPhase},
        placement::ChainPosition,
        tag::TAG_BYTES,
        time::Span,
    },
};

/// The share of first packets that are sent twice at once, each through a random balancer.
const DUPLICATE_SHARE: f64 = 0.2;
/// The share of packets that are followed by a packet with a forged, foreign or replayed tag.
const ATTACK_SHARE: f64 = 0.02;

/// A packet that a caller sends to a balancer.
pub struct CallerPacket {
    pub flow: usize,
    pub service: usize,
    pub phase: FlowPhase,
    pub key: FlowKey,
    pub tag: Option<[u8; TAG_BYTES]>,
    /// The number of times that its caller has sent it before.
    pub tries: u32,
    pub is_attack: bool,
}

impl Simulation {
    /// Begins a flow to a service and schedules the next one.
    pub fn handle_arrival(&mut self, service: usize) {
        let rate = SERVICES[service].open_flows / 6.0;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Span::from_micros((gap * 1e6) as u64), Event::FlowArrival { service });
        self.begin_flow(service);
    }

    /// Begins a flow: sends its first packet and schedules its retransmission.
    pub fn begin_flow(&mut self, service: usize) {
        let flow = self.flows.len();
        let is_long = self.rng.random_bool(script::LONG_SHARE);
        let (key, uses_tags) = (FlowKey::new(self.rng.random()), self.rng.random_bool(0.5));
        let started_at = self.now;
        let (owner, tag, has_ended) = (None, None, false);
        self.flows.push(Flow {
            service,
            key,
            tag,
            uses_tags,
            owner,
            started_at,
            is_long,
            has_ended,
        });
        self.counts.flows += 1;
        self.send_packet(flow, FlowPhase::First, 0);
        if self.rng.random_bool(DUPLICATE_SHARE) {
            self.send_message(Event::SendPacket { flow, phase: FlowPhase::First, tries: 0 });
        }
        self.schedule(RETRY_INTERVAL, Event::CheckOpened { flow, tries: 1 });
    }

    /// Retransmits the first packet of a flow that has no owner yet.
    pub fn check_opened(&mut self, flow: usize, tries: u32) {
        if self.flows[flow].owner.is_some() || self.flows[flow].has_ended {
            return;
        }
        if tries > MAX_RETRIES {
            return self.give_up(flow);
        }
        self.send_packet(flow, FlowPhase::First, tries);
        self.schedule(RETRY_INTERVAL, Event::CheckOpened { flow, tries: tries + 1 });
    }

    /// Ends a flow that found no owner. If the homes of its key name a killed upstream, that upstream had
    /// claimed the flow and the kill is the cause; otherwise the flow counts as unopened.
    fn give_up(&mut self, flow: usize) {
        let Flow { service, key, .. } = self.flows[flow];
        let homes = self.agents.values().filter(|agent| agent.service == service);
        let mut owners = homes.filter_map(|home| home.table.registered_owner(key, self.now));
        if owners.any(|owner| self.killed_upstreams.contains(&owner)) {
            return self.record_broken(flow, Cause::Killed);
        }
        self.flows[flow].has_ended = true;
        self.counts.unopened += 1;
    }

    /// Sends the next packet of an open flow and schedules the one after it.
    pub fn send_next(&mut self, flow: usize) {
        if self.flows[flow].has_ended {
            return;
        }
        self.send_packet(flow, FlowPhase::Middle, 0);
        let gap = self.rng.random_range(script::PACKET_GAP_MICROS);
        self.schedule(Span::from_micros(gap), Event::NextPacket { flow });
    }

    /// Ends a flow and removes it from the table of its owner.
    pub fn end_flow(&mut self, flow: usize) {
        if std::mem::replace(&mut self.flows[flow].has_ended, true) {
            return;
        }
        let Flow { owner: Some(owner), key, .. } = self.flows[flow] else { return };
        if let Some(agent) = self.agent_of(owner) {
            agent.table.count_closed();
            agent.table.remove(key);
        }
    }

    /// Returns the agent with this address, if its incarnation is still the same.
    pub fn agent_of(&self, owner: AgentId) -> Option<&Agent> {
        self.agents.get(&owner.instance).filter(|agent| agent.table.own_id() == owner)
    }

    /// Sends a packet of a flow to a random listed balancer of the customer, as the fabric does.
    pub fn send_packet(&mut self, flow: usize, phase: FlowPhase, tries: u32) {
        let service = self.flows[flow].service;
        let first = service / 2 * script::BALANCERS_PER_CUSTOMER;
        let all = first..first + script::BALANCERS_PER_CUSTOMER;
        let listed: Vec<_> = all.filter(|at| self.balancers[*at].is_listed).collect();
        let balancer = listed[self.rng.random_range(0..listed.len())];
        if !self.balancers[balancer].is_alive {
            return self.handle_loss(flow, phase, tries);
        }
        let Flow { key, tag, .. } = self.flows[flow];
        self.forward_packet(
            balancer,
            CallerPacket { flow, service, phase, key, tag, tries, is_attack: false },
        );
        if self.rng.random_bool(ATTACK_SHARE) {
            self.send_attack(balancer, flow, service);
        }
    }

    /// Forwards a packet from a balancer to the owner in its tag or to the first choice of its chain.
    pub fn forward_packet(&mut self, balancer: usize, packet: CallerPacket) {
        let CallerPacket { flow, service, phase, key, tag, tries, is_attack } = packet;
        let owner = tag.and_then(|tag| self.ciphers[service].decode(&tag)).map(AgentId::from);
        let chain = self.balancers[balancer].chain(self.variant, service, key);
        let is_tagged = owner.is_some() && self.variant == Variant::Directory;
        let target = if is_tagged { owner } else { chain.first() };
        let Some(to) = target else {
            if !is_attack {
                self.handle_loss(flow, phase, tries);
            }
            return;
        };
        let (step, hops, load) = (ChainPosition::First, 0, None);
        let packet = RoutedPacket {
            flow,
            service,
            phase,
            to,
            chain,
            step,
            hops,
            load,
            is_tagged,
            tries,
            is_attack,
        };
        self.send_message(Event::Packet(packet));
    }

    /// Sends a packet with a tag that a caller chose itself: random bytes, or the recorded tag of another
    /// flow, perhaps of another service.
    pub fn send_attack(&mut self, balancer: usize, flow: usize, service: usize) {
        self.counts.attacks += 1;
        let other = self.rng.random_range(0..self.flows.len());
        let tag = match self.rng.random_range(0..3) {
            0 => Some(self.rng.random()),
            _ => self.flows[other].tag,
        };
        let key = FlowKey::new(self.rng.random());
        let phase = FlowPhase::Middle;
        self.forward_packet(
            balancer,
            CallerPacket { flow, service, phase, key, tag, tries: 0, is_attack: true },
        );
    }

    /// Schedules the retransmission of a lost packet of an open flow. The flow breaks after too many
    /// retransmissions, or if its upstream was killed. First packets are retransmitted by
    /// [`Self::check_opened`].
    pub fn handle_loss(&mut self, flow: usize, phase: FlowPhase, tries: u32) {
        if phase == FlowPhase::First || self.flows[flow].has_ended {
            return;
        }
        let Some(owner) = self.flows[flow].owner else { return };
        if self.killed_upstreams.contains(&owner) {
            self.record_broken(flow, Cause::Killed);
        } else if tries >= MAX_RETRIES {
            self.record_broken(flow, Cause::Unreachable);
        } else {
            self.schedule(RETRY_INTERVAL, Event::SendPacket { flow, phase, tries: tries + 1 });
        }
    }

    /// Counts a broken flow by its cause and ends it.
    pub fn record_broken(&mut self, flow: usize, cause: Cause) {
        if !self.flows[flow].has_ended {
            *self.counts.broken.entry(cause).or_default() += 1;
            self.end_flow(flow);
        }
    }

    /// Returns the cause for which a packet of an open flow reached the wrong upstream.
    pub fn find_cause(&self, flow: usize) -> Cause {
        let Flow { service, owner, .. } = self.flows[flow];
        if owner.is_some_and(|owner| self.killed_upstreams.contains(&owner)) {
            return Cause::Killed;
        }
        if self.now.since(self.last_balancer_loss) < Span::from_secs(1) {
            return Cause::BalancerLoss;
        }
        let first = service / 2 * script::BALANCERS_PER_CUSTOMER;
        let members = |at: usize| self.balancers[at].routes[service].known_members.members();
        let reference = members(first);
        let mut others = first + 1..first + script::BALANCERS_PER_CUSTOMER;
        let differs = others.any(|at| members(at) != reference);
        if differs { Cause::Disagreement } else { Cause::Planned }
    }
}
