//! Changes of members and balancers, and the measurement of the imbalance between members.

use {
    super::{
        Counts,
        agent::Agent,
        balancer::{Balancer, MemberEntry},
        owner::REPUBLISH_INTERVAL,
        script::{self, Change, SERVICES},
        simulation::{Event, Flow, Simulation},
    },
    rand::RngExt,
    yuccacroft_core::{
        flow::AgentId,
        ids::{Incarnation, Instance},
        placement::ramp::Ramp,
        time::{Moment, Span},
        units::Weight,
    },
};

/// The interval at which an agent announces its weight.
const WEIGHT_INTERVAL: Span = Span::from_secs(2);
/// The probability with which a new upstream reuses the address of a removed one, which may have
/// belonged to another service.
const REUSE_PROBABILITY: f64 = 0.7;

impl Simulation {
    /// Starts an agent with its upstream and broadcasts its entry.
    pub fn start_agent(&mut self, service: usize, ramp: Ramp, is_immediate: bool) {
        let reuses_address = self.rng.random_bool(REUSE_PROBABILITY);
        let instance =
            self.released_addresses.pop_front_if(|_| reuses_address).unwrap_or_else(|| {
                self.next_address += 1;
                Instance::from_bits(self.next_address << 16 | 9_000)
            });
        self.incarnation += 1;
        let own = AgentId { instance, incarnation: Incarnation::new(self.incarnation) };
        let mut agent = Agent::new(service, own, ramp, self.now);
        // The agent receives the members from the balancer to which it announces itself.
        let balancer = service / 2 * script::BALANCERS_PER_CUSTOMER;
        agent.known_members = self.balancers[balancer].routes[service].known_members.clone();
        let entry = MemberEntry {
            agent_id: own,
            version: 1,
            weight: Some(agent.weight),
            has_announced_leave: false,
        };
        agent.known_members.apply(entry);
        agent.update_homes();
        self.agents.insert(instance, agent);
        self.broadcast_entry(service, entry, is_immediate);
        self.schedule(REPUBLISH_INTERVAL, Event::RepublishEntries { agent: own });
        self.schedule(WEIGHT_INTERVAL, Event::UpdateWeight { agent: own });
    }

    /// Schedules the delivery of an entry to all balancers of the customer and all agents of the service,
    /// each after a random delay. There is no delay if `is_immediate` is true.
    pub fn broadcast_entry(&mut self, service: usize, entry: MemberEntry, is_immediate: bool) {
        let max_delay = if is_immediate { 0 } else { script::MAX_PROPAGATION_TIME.as_micros() };
        let first = service / 2 * script::BALANCERS_PER_CUSTOMER;
        for balancer in first..first + script::BALANCERS_PER_CUSTOMER {
            let after = Span::from_micros(self.rng.random_range(0..=max_delay));
            self.schedule(after, Event::UpdateBalancer { balancer, service, entry });
        }
        let agents = self.agents.values().filter(|agent| agent.service == service);
        let agents: Vec<_> = agents.map(|agent| agent.table.own_id()).collect();
        for agent in agents {
            let after = Span::from_micros(self.rng.random_range(0..=max_delay));
            self.schedule(after, Event::UpdateAgent { agent, entry });
        }
    }

    /// Updates the weight of an agent, which grows during the warm-up, and broadcasts a change.
    pub fn update_weight(&mut self, own: AgentId) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_id() != own || agent.table.is_draining() {
            return;
        }
        let weight = agent.ramp.weight(now);
        agent.table.set_weight(weight);
        if weight != agent.weight {
            agent.weight = weight;
            agent.version += 1;
            let (service, version) = (agent.service, agent.version);
            self.broadcast_entry(
                service,
                MemberEntry {
                    agent_id: own,
                    version,
                    weight: Some(weight),
                    has_announced_leave: false,
                },
                false,
            );
        }
        self.schedule(WEIGHT_INTERVAL, Event::UpdateWeight { agent: own });
    }

    /// Applies a change of the script.
    pub fn apply_change(&mut self, change: Change) {
        self.counts.changes += 1;
        match change {
            Change::Replace(service) => self.replace_upstream(service, false),
            Change::Kill(service) => self.replace_upstream(service, true),
            Change::LoseBalancer(balancer) => {
                self.balancers[balancer].is_alive = false;
                self.last_balancer_loss = self.now;
                self.schedule(script::FABRIC_DELAY, Event::UnlistBalancer { balancer });
                self.schedule(Span::from_secs(1), Event::JoinBalancer { balancer });
            }
        }
    }

    /// Drains or kills the oldest serving upstream of a service, and starts a new one of the same weight.
    pub fn replace_upstream(&mut self, service: usize, is_kill: bool) {
        let serving =
            self.agents.values().filter(|a| a.service == service && !a.table.is_draining());
        let Some(agent) = serving.min_by_key(|agent| agent.table.own_id().incarnation) else {
            return;
        };
        let (own, version) = (agent.table.own_id(), agent.version + 1);
        let full_weight = agent.ramp.weight(self.now + script::WARMUP);
        let entry =
            |weight| MemberEntry { agent_id: own, version, weight, has_announced_leave: false };
        if is_kill {
            self.killed_upstreams.insert(own);
            self.agents.remove(&own.instance);
            self.released_addresses.push_back(own.instance);
            let detection_time = script::DETECTION_TIME;
            self.broadcast_later(service, entry(None), detection_time);
        } else {
            agent.table.drain();
            self.broadcast_entry(service, entry(Some(Weight::new(0))), false);
            self.schedule(script::DRAIN_TIME, Event::LeaveWhenIdle { agent: own });
        }
        self.start_agent(service, Ramp::new(full_weight, script::WARMUP, self.now), false);
    }

    /// Broadcasts an entry after the given time.
    pub fn broadcast_later(&mut self, service: usize, entry: MemberEntry, after: Span) {
        let now = self.now;
        self.now = now + after;
        self.broadcast_entry(service, entry, false);
        self.now = now;
    }

    /// Ends the flows of a draining agent and begins new ones in their place. The agent leaves when it has
    /// no open connections.
    pub fn leave_when_idle(&mut self, own: AgentId) {
        let Some(agent) = self.agents.get(&own.instance) else { return };
        if agent.table.own_id() != own {
            return;
        }
        if agent.table.open_connections().get() > 0 {
            let is_owned = |flow: &Flow| flow.owner == Some(own) && !flow.has_ended;
            let moving_flows: Vec<_> =
                (0..self.flows.len()).filter(|at| is_owned(&self.flows[*at])).collect();
            for flow in moving_flows {
                self.end_flow(flow);
                self.begin_flow(self.flows[flow].service);
            }
            return self.schedule(Span::from_secs(1), Event::LeaveWhenIdle { agent: own });
        }
        let (service, version) = (agent.service, agent.version + 2);
        self.agents.remove(&own.instance);
        self.released_addresses.push_back(own.instance);
        self.broadcast_entry(
            service,
            MemberEntry { agent_id: own, version, weight: None, has_announced_leave: true },
            false,
        );
    }

    /// Replaces a lost balancer with a new one that has the state of a peer.
    pub fn join_balancer(&mut self, balancer: usize) {
        let first = balancer / script::BALANCERS_PER_CUSTOMER * script::BALANCERS_PER_CUSTOMER;
        let peers = first..first + script::BALANCERS_PER_CUSTOMER;
        let peer = peers.into_iter().find(|at| self.balancers[*at].is_alive);
        let routes = peer.map(|at| self.balancers[at].routes.clone()).unwrap_or_default();
        self.balancers[balancer] = Balancer::new().with_routes(routes);
    }

    /// Records the imbalance of open flows, if the time is before the changes or near the end of the run.
    pub fn sample_imbalance(&mut self) {
        self.schedule(Span::from_secs(1), Event::SampleImbalance);
        let now = self.now.since(Moment::default());
        let is_before_changes = now >= script::SAMPLES_FROM[0] && now < script::CHANGES_FROM;
        if !is_before_changes && now < script::SAMPLES_FROM[1] {
            return;
        }
        for (service, spec) in SERVICES.iter().enumerate() {
            let serving =
                self.agents.values().filter(|a| a.service == service && !a.table.is_draining());
            let loads: Vec<_> = serving
                .map(|a| (f64::from(a.table.open_connections().get()), f64::from(a.weight.get())))
                .collect();
            let mean =
                loads.iter().map(|l| l.0).sum::<f64>() / loads.iter().map(|l| l.1).sum::<f64>();
            let largest = loads.iter().map(|(open, weight)| open / weight / mean);
            let largest = largest.fold(0.0, f64::max);
            let has_equal_weights = spec.weights.iter().all(|weight| *weight == spec.weights[0]);
            let Counts { imbalance_equal, imbalance_weighted, .. } = &mut self.counts;
            let worst = if has_equal_weights { imbalance_equal } else { imbalance_weighted };
            *worst = worst.max(largest);
        }
    }
}
