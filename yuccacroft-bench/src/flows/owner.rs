//! How agents handle packets, claims and directory entries.

use {
    super::{
        Cause, Variant,
        balancer::MemberEntry,
        script,
        simulation::{Event, RoutedPacket, Simulation},
    },
    rand::RngExt,
    yuccacroft_core::{
        controller::Controller,
        directory::{Action, ClaimOutcome, Event as ClaimEvent},
        flow::{AgentId, FlowKey, FlowPhase},
        ids::Instance,
        ownership::{Decision, UntaggedPacket},
        placement::{CandidateChain, ChainPosition},
        tag::Owner,
        time::Span,
    },
};

/// The interval at which an agent checks the timeouts of its open claims.
const CLAIM_TICK_INTERVAL: Span = Span::from_millis(5);
/// The interval at which an agent publishes its directory entries again.
pub const REPUBLISH_INTERVAL: Span = Span::from_secs(20);

impl Simulation {
    /// Handles a packet at an agent: delivers, passes, holds, resets or drops it.
    pub fn handle_packet(&mut self, packet: RoutedPacket) {
        let Some(agent) = self.agents.get(&packet.to.instance) else {
            return self.retransmit(&packet);
        };
        self.counts.packets += 1;
        if self.variant != Variant::Directory {
            return self.deliver(packet, packet.to.instance);
        }
        if agent.service != packet.service {
            self.counts.refused += 1;
            return self.retransmit(&packet);
        }
        let own = agent.table.own_id();
        if packet.is_tagged {
            if own == packet.to {
                return self.deliver(packet, own.instance);
            }
            return self.handle_reset(packet);
        }
        let key =
            if packet.is_attack { FlowKey::new(u64::MAX) } else { self.flows[packet.flow].key };
        let RoutedPacket { phase, chain, step, hops, load, .. } = packet;
        let expected = packet.to.incarnation;
        let untagged = UntaggedPacket { key, phase, chain: &chain, step, expected, hops, load };
        match agent.table.decide(&untagged, self.now) {
            Decision::Deliver => self.deliver(packet, own.instance),
            Decision::Reset => self.handle_reset(packet),
            Decision::Drop(_) => self.retransmit(&packet),
            Decision::Pass(to, step, load) => {
                let packet = RoutedPacket { to, step, load, hops: hops + 1, ..packet };
                self.send_message(Event::Packet(packet));
            }
            Decision::Wait => self.hold_packet(own, key, packet),
            Decision::Accept => {
                self.hold_packet(own, key, packet);
                self.execute(own, Action::Won { key });
            }
            Decision::Claim => {
                if let (ChainPosition::Second, Some(first)) = (step, chain.first()) {
                    let load = self.agents[&own.instance].table.load();
                    self.send_message(Event::ReportLoad { to: first, from: own, load });
                }
                self.hold_packet(own, key, packet);
                self.step_claims(own, ClaimEvent::Begin { key, chain });
            }
        }
    }

    /// Holds a packet until the claim of its flow ends.
    pub fn hold_packet(&mut self, own: AgentId, key: FlowKey, packet: RoutedPacket) {
        let agent = self
            .agents
            .get_mut(&own.instance)
            .expect("the agent has just decided about the packet");
        agent.held.entry(key).or_default().push(packet);
    }

    /// Handles the loss of a packet, which its caller retransmits. Attack packets are not retransmitted.
    pub fn retransmit(&mut self, packet: &RoutedPacket) {
        if !packet.is_attack {
            self.handle_loss(packet.flow, packet.phase, packet.tries);
        }
    }

    /// Breaks the flow of a packet that an agent answered with a reset.
    pub fn handle_reset(&mut self, packet: RoutedPacket) {
        if !packet.is_attack && self.flows[packet.flow].owner.is_some() {
            let cause = self.find_cause(packet.flow);
            self.record_broken(packet.flow, cause);
        }
    }

    /// Delivers a packet to the upstream of an agent. The flow is broken if another agent owns it.
    pub fn deliver(&mut self, packet: RoutedPacket, at: Instance) {
        let agent = &self.agents[&at];
        if agent.service != packet.service {
            self.counts.wrong_service += 1;
        }
        if packet.is_attack || self.flows[packet.flow].has_ended {
            return;
        }
        let own = agent.table.own_id();
        match self.flows[packet.flow].owner {
            Some(owner) if owner == own => {}
            Some(_) if packet.phase == FlowPhase::First => {
                self.record_broken(packet.flow, Cause::Split)
            }
            Some(_) => {
                let cause = self.find_cause(packet.flow);
                self.record_broken(packet.flow, cause);
            }
            None => self.open_flow(packet.flow, own),
        }
    }

    /// Records the owner of a new flow and schedules its next packet and its end.
    pub fn open_flow(&mut self, flow: usize, own: AgentId) {
        if self.variant != Variant::Directory {
            self.agents[&own.instance].table.count_opened();
        }
        let nonce = self.rng.random();
        let opened = &mut self.flows[flow];
        opened.owner = Some(own);
        self.counts.opening_micros.push(self.now.since(opened.started_at).as_micros());
        if opened.uses_tags {
            let owner = Owner { instance: own.instance, incarnation: own.incarnation };
            opened.tag = Some(self.ciphers[opened.service].encode(owner, nonce));
        }
        if !opened.is_long {
            let lifetime =
                -(1.0 - self.rng.random::<f64>()).ln() * script::MEAN_SHORT_LIFETIME_SECS;
            self.schedule(Span::from_micros((lifetime * 1e6) as u64), Event::EndFlow { flow });
        }
        let gap = self.rng.random_range(script::PACKET_GAP_MICROS);
        self.schedule(Span::from_micros(gap), Event::NextPacket { flow });
    }

    /// Answers a claim that the claimant sent to a home.
    pub fn handle_claim(&mut self, from: AgentId, home: AgentId, key: FlowKey) {
        self.counts.claim_messages += 1;
        let Some(agent) = self.agents.get(&home.instance) else { return };
        if self.agents.get(&from.instance).is_none_or(|claimant| claimant.service != agent.service)
        {
            self.counts.refused += 1;
            return;
        }
        let outcome = agent.table.answer_claim(key, from, self.now);
        let event = ClaimEvent::Answered { key, home: home.instance, outcome };
        self.send_message(Event::ClaimAnswer { to: from, event });
    }

    /// Handles the answer to a claim at the claimant.
    pub fn handle_answer(&mut self, to: AgentId, event: ClaimEvent) {
        self.counts.claim_messages += 1;
        self.step_claims(to, event);
    }

    /// Handles a claim at the home at `position`. A home that grants it relays it to the next home; the
    /// last one answers the claimant.
    pub fn handle_relay(
        &mut self,
        from: AgentId,
        key: FlowKey,
        chain: &CandidateChain,
        position: usize,
    ) {
        self.counts.claim_messages += 1;
        let Some(home) = chain.home(position) else { return };
        let Some(agent) = self.agents.get(&home.instance) else { return };
        if self.agents.get(&from.instance).is_none_or(|claimant| claimant.service != agent.service)
        {
            self.counts.refused += 1;
            return;
        }
        let outcome = agent.table.answer_claim(key, from, self.now);
        let (chain, position) = (*chain, position + 1);
        if outcome == ClaimOutcome::Granted && chain.home(position).is_some() {
            return self.send_or_handle(home, Event::RelayClaim { from, key, chain, position });
        }
        let event = ClaimEvent::Answered { key, home: home.instance, outcome };
        self.send_or_handle(home, Event::ClaimAnswer { to: from, event });
    }

    /// Sends a message, or handles it at once when this agent is its receiver.
    fn send_or_handle(&mut self, own: AgentId, event: Event) {
        match event {
            Event::RelayClaim { from, key, chain, position }
                if chain.home(position).is_some_and(|home| home.instance == own.instance) =>
            {
                self.handle_relay(from, key, &chain, position);
            }
            Event::ClaimAnswer { to, event } if to.instance == own.instance => {
                self.step_claims(to, event)
            }
            event => self.send_message(event),
        }
    }

    /// Steps the claims of an agent and executes the resulting actions.
    pub fn step_claims(&mut self, own: AgentId, event: ClaimEvent) {
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_id() != own {
            return;
        }
        let actions = agent.directory.step(event, self.now);
        if agent.directory.open_claims() > 0 && !std::mem::replace(&mut agent.is_ticking, true) {
            self.schedule(CLAIM_TICK_INTERVAL, Event::ClaimTick { agent: own });
        }
        actions.into_iter().for_each(|action| self.execute(own, action));
    }

    /// Executes an action of the claims of an agent.
    pub fn execute(&mut self, own: AgentId, action: Action) {
        let agent =
            self.agents.get_mut(&own.instance).expect("the agent has just produced the action");
        match action {
            Action::Claim { home, key } if home.instance == own.instance => {
                let outcome = agent.table.answer_claim(key, own, self.now);
                self.step_claims(own, ClaimEvent::Answered { key, home: home.instance, outcome });
            }
            Action::Relay { key, chain } => {
                self.send_or_handle(own, Event::RelayClaim { from: own, key, chain, position: 0 });
            }
            Action::Claim { home, key } => self.send_message(Event::Claim { from: own, home, key }),
            Action::Publish { home, key, owner } => {
                self.send_message(Event::Publish { home, key, owner, from: own });
            }
            Action::Won { key } => {
                agent.table.claim_won(key, self.now);
                agent.table.count_opened();
                let held = agent.held.remove(&key).unwrap_or_default();
                let flow = held.first().map(|packet| packet.flow);
                held.into_iter().for_each(|packet| self.deliver(packet, own.instance));
                // The first packet was delayed: its flow has ended, or has broken because another
                // agent owns it.
                if flow.is_none_or(|flow| self.flows[flow].has_ended)
                    && let Some(agent) = self.agents.get(&own.instance)
                {
                    agent.table.count_closed();
                    agent.table.remove(key);
                }
            }
            Action::Lost { key, winner } => {
                agent.table.claim_lost(key, winner, self.now);
                for packet in agent.held.remove(&key).unwrap_or_default() {
                    let hops = packet.hops + 1;
                    self.send_message(Event::Packet(RoutedPacket {
                        to: winner,
                        step: ChainPosition::Owner,
                        hops,
                        ..packet
                    }));
                }
            }
        }
    }

    /// Checks the timeouts of the open claims of an agent.
    pub fn tick_claims(&mut self, own: AgentId) {
        if let Some(agent) = self.agents.get_mut(&own.instance)
            && agent.table.own_id() == own
        {
            agent.is_ticking = false;
            self.step_claims(own, ClaimEvent::Tick);
        }
    }

    /// Removes expired entries of an agent and publishes the entries of its flows at all homes.
    pub fn republish_entries(&mut self, own: AgentId) {
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_id() != own {
            return;
        }
        agent.table.expire(|_| false, self.now);
        agent.homes = Default::default();
        let entries = agent.update_homes();
        entries.into_iter().for_each(|(home, key)| {
            self.send_message(Event::Publish { home, key, owner: own, from: own });
        });
        self.schedule(REPUBLISH_INTERVAL, Event::RepublishEntries { agent: own });
    }

    /// Updates the members known to an agent, and publishes the entries that new homes need.
    pub fn update_agent(&mut self, own: AgentId, entry: MemberEntry) {
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_id() != own || !agent.known_members.apply(entry) {
            return;
        }
        let known_members = agent.known_members.clone();
        agent.table.expire(|agent_id| known_members.has_left(agent_id), self.now);
        let entries = agent.update_homes();
        entries.into_iter().for_each(|(home, key)| {
            self.send_message(Event::Publish { home, key, owner: own, from: own });
        });
    }
}
