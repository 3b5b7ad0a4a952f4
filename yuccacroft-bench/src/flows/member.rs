//! Changes of members and balancers, and the imbalance between members.

use {
    super::{
        Counts,
        agent::Agent,
        balancer::{Balancer, Entry},
        owner::REFRESH,
        script::{self, Change, SERVICES},
        world::{Flow, Mail, World},
    },
    rand::RngExt,
    yuccacroft_core::{
        flow::Hop,
        ids::{Incarnation, Instance},
        placement::ramp::Ramp,
        time::{Moment, Span},
        units::Weight,
    },
};

const ANNOUNCE: Span = Span::from_secs(2);
/// A new upstream takes the address of one that is gone, of whatever service, with this chance.
const REUSE_PART: f64 = 0.7;

impl World {
    pub fn start_agent(&mut self, service: usize, ramp: Ramp, at_once: bool) {
        let reuse = self.rng.random_bool(REUSE_PART);
        let instance = self.released.pop_front_if(|_| reuse).unwrap_or_else(|| {
            self.next_address += 1;
            Instance::from_bits(self.next_address << 16 | 9_000)
        });
        self.incarnation += 1;
        let own = Hop { instance, incarnation: Incarnation::new(self.incarnation) };
        let mut agent = Agent::new(service, own, ramp, self.now);
        // It learns the members from the balancer that it announces itself to.
        let balancer = service / 2 * script::BALANCERS_PER_CUSTOMER;
        agent.view = self.balancers[balancer].routes[service].view.clone();
        let entry = Entry { hop: own, version: 1, weight: Some(agent.weight), left: false };
        agent.view.learn(entry);
        agent.republish();
        self.agents.insert(instance, agent);
        self.spread(service, entry, at_once);
        self.at(REFRESH, Mail::Refresh { agent: own });
        self.at(ANNOUNCE, Mail::Announce { agent: own });
    }

    /// Brings news to all balancers and agents, each after its own time.
    pub fn spread(&mut self, service: usize, entry: Entry, at_once: bool) {
        let late = if at_once { 0 } else { script::MAX_LATENESS.as_micros() };
        let first = service / 2 * script::BALANCERS_PER_CUSTOMER;
        for balancer in first..first + script::BALANCERS_PER_CUSTOMER {
            let after = Span::from_micros(self.rng.random_range(0..=late));
            self.at(after, Mail::View { balancer, service, entry });
        }
        let agents = self.agents.values().filter(|agent| agent.service == service);
        let agents: Vec<_> = agents.map(|agent| agent.table.own_hop()).collect();
        for agent in agents {
            let after = Span::from_micros(self.rng.random_range(0..=late));
            self.at(after, Mail::AgentView { agent, entry });
        }
    }

    /// Follows the warm-up of an agent.
    pub fn announce(&mut self, own: Hop) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_hop() != own || agent.table.is_draining() {
            return;
        }
        let weight = agent.ramp.weight(now);
        agent.table.set_weight(weight);
        if weight != agent.weight {
            agent.weight = weight;
            agent.version += 1;
            let (service, version) = (agent.service, agent.version);
            self.spread(
                service,
                Entry { hop: own, version, weight: Some(weight), left: false },
                false,
            );
        }
        self.at(ANNOUNCE, Mail::Announce { agent: own });
    }

    pub fn change(&mut self, change: Change) {
        self.counts.changes += 1;
        match change {
            Change::Replace(service) => self.replace(service, false),
            Change::Kill(service) => self.replace(service, true),
            Change::Balancer(balancer) => {
                self.balancers[balancer].alive = false;
                self.balancer_lost = self.now;
                self.at(script::FABRIC_LAG, Mail::Unlist { balancer });
                self.at(Span::from_secs(1), Mail::Join { balancer });
            }
        }
    }

    /// The oldest upstream that serves drains or dies; a new one of the same size joins.
    pub fn replace(&mut self, service: usize, kill: bool) {
        let serving =
            self.agents.values().filter(|a| a.service == service && !a.table.is_draining());
        let Some(agent) = serving.min_by_key(|agent| agent.table.own_hop().incarnation) else {
            return;
        };
        let (own, version) = (agent.table.own_hop(), agent.version + 1);
        let full = agent.ramp.weight(self.now + script::WARMUP);
        let entry = |weight| Entry { hop: own, version, weight, left: false };
        if kill {
            self.killed.insert(own);
            self.agents.remove(&own.instance);
            self.released.push_back(own.instance);
            let lateness = script::SUSPICION;
            self.suspect(service, entry(None), lateness);
        } else {
            agent.table.drain();
            self.spread(service, entry(Some(Weight::new(0))), false);
            self.at(script::MOVE_AFTER, Mail::Leave { agent: own });
        }
        self.start_agent(service, Ramp::new(full, script::WARMUP, self.now), false);
    }

    pub fn suspect(&mut self, service: usize, entry: Entry, after: Span) {
        let now = self.now;
        self.now = now + after;
        self.spread(service, entry, false);
        self.now = now;
    }

    /// Callers of a draining agent move to new flows; the agent leaves when the last has gone.
    pub fn leave(&mut self, own: Hop) {
        let Some(agent) = self.agents.get(&own.instance) else { return };
        if agent.table.own_hop() != own {
            return;
        }
        if agent.table.open_connections().get() > 0 {
            let here = |flow: &Flow| flow.owner == Some(own) && !flow.done;
            let moving: Vec<_> =
                (0..self.flows.len()).filter(|at| here(&self.flows[*at])).collect();
            for flow in moving {
                self.end(flow);
                self.begin(self.flows[flow].service);
            }
            return self.at(Span::from_secs(1), Mail::Leave { agent: own });
        }
        let (service, version) = (agent.service, agent.version + 2);
        self.agents.remove(&own.instance);
        self.released.push_back(own.instance);
        self.spread(service, Entry { hop: own, version, weight: None, left: true }, false);
    }

    /// A new balancer takes the state of a peer.
    pub fn join(&mut self, balancer: usize) {
        let first = balancer / script::BALANCERS_PER_CUSTOMER * script::BALANCERS_PER_CUSTOMER;
        let peers = first..first + script::BALANCERS_PER_CUSTOMER;
        let peer = peers.into_iter().find(|at| self.balancers[*at].alive);
        let routes = peer.map(|at| self.balancers[at].routes.clone()).unwrap_or_default();
        self.balancers[balancer] = Balancer::new().with_routes(routes);
    }

    pub fn sample(&mut self) {
        self.at(Span::from_secs(1), Mail::Sample);
        let now = self.now.since(Moment::default());
        let before = now >= script::SAMPLES[0] && now < script::CHANGES_FROM;
        if !before && now < script::SAMPLES[1] {
            return;
        }
        for (service, spec) in SERVICES.iter().enumerate() {
            let of =
                self.agents.values().filter(|a| a.service == service && !a.table.is_draining());
            let loads: Vec<_> = of
                .map(|a| (f64::from(a.table.open_connections().get()), f64::from(a.weight.get())))
                .collect();
            let mean =
                loads.iter().map(|l| l.0).sum::<f64>() / loads.iter().map(|l| l.1).sum::<f64>();
            let largest = loads.iter().map(|(open, weight)| open / weight / mean);
            let largest = largest.fold(0.0, f64::max);
            let equal = spec.weights.iter().all(|weight| *weight == spec.weights[0]);
            let Counts { imbalance_equal, imbalance_weighted, .. } = &mut self.counts;
            let worst = if equal { imbalance_equal } else { imbalance_weighted };
            *worst = worst.max(largest);
        }
    }
}
