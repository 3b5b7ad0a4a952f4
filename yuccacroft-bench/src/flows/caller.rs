//! Callers: when flows begin, send and end, and why one broke.

use {
    super::{
        Cause, Variant,
        agent::Agent,
        script,
        script::SERVICES,
        world::{Flow, MAX_TRIES, Mail, RETRY, Sent, World},
    },
    rand::RngExt,
    yuccacroft_core::{
        flow::{Hop, Key, Phase},
        placement::Step,
        tag::TAG_BYTES,
        time::Span,
    },
};

/// One first packet in five is repeated at once, over any balancer.
const TWIN_PART: f64 = 0.2;
/// One packet in fifty is followed by one with a forged, foreign or replayed tag.
const ATTACK_PART: f64 = 0.02;

/// A packet that a caller hands to a balancer.
pub struct Packet {
    pub flow: usize,
    pub service: usize,
    pub phase: Phase,
    pub key: Key,
    pub tag: Option<[u8; TAG_BYTES]>,
    /// How often its caller has sent it before.
    pub tries: u32,
    pub attack: bool,
}

impl World {
    pub fn arrive(&mut self, service: usize) {
        let rate = SERVICES[service].open / 6.0;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.at(Span::from_micros((gap * 1e6) as u64), Mail::Arrive { service });
        self.begin(service);
    }

    pub fn begin(&mut self, service: usize) {
        let flow = self.flows.len();
        let long = self.rng.random_bool(script::LONG_PART);
        let (key, tagged) = (Key::new(self.rng.random()), self.rng.random_bool(0.5));
        let begun = self.now;
        let (owner, tag, done) = (None, None, false);
        self.flows.push(Flow { service, key, tag, tagged, owner, begun, long, done });
        self.counts.flows += 1;
        self.send(flow, Phase::First, 0);
        if self.rng.random_bool(TWIN_PART) {
            self.mail(Mail::Send { flow, phase: Phase::First, tries: 0 });
        }
        self.at(RETRY, Mail::Check { flow, tries: 1 });
    }

    pub fn check(&mut self, flow: usize, tries: u32) {
        if self.flows[flow].owner.is_some() || self.flows[flow].done {
            return;
        }
        if tries > MAX_TRIES {
            return self.give_up(flow);
        }
        self.send(flow, Phase::First, tries);
        self.at(RETRY, Mail::Check { flow, tries: tries + 1 });
    }

    /// A flow without an owner ends. When a killed upstream was claiming it, its homes still name
    /// that upstream, which therefore owned it.
    fn give_up(&mut self, flow: usize) {
        let Flow { service, key, .. } = self.flows[flow];
        let homes = self.agents.values().filter(|agent| agent.service == service);
        let mut owners = homes.filter_map(|home| home.table.registered_owner(key, self.now));
        if owners.any(|owner| self.killed.contains(&owner)) {
            return self.broken(flow, Cause::Killed);
        }
        self.flows[flow].done = true;
        self.counts.unopened += 1;
    }

    pub fn next(&mut self, flow: usize) {
        if self.flows[flow].done {
            return;
        }
        self.send(flow, Phase::Middle, 0);
        let gap = self.rng.random_range(script::GAP_MICROS);
        self.at(Span::from_micros(gap), Mail::Next { flow });
    }

    pub fn end(&mut self, flow: usize) {
        if std::mem::replace(&mut self.flows[flow].done, true) {
            return;
        }
        let Flow { owner: Some(owner), key, .. } = self.flows[flow] else { return };
        if let Some(agent) = self.owner(owner) {
            agent.table.count_closed();
            agent.table.remove(key);
        }
    }

    pub fn owner(&self, owner: Hop) -> Option<&Agent> {
        self.agents.get(&owner.instance).filter(|agent| agent.table.own_hop() == owner)
    }

    /// The fabric hands a packet to any balancer of the customer.
    pub fn send(&mut self, flow: usize, phase: Phase, tries: u32) {
        let service = self.flows[flow].service;
        let first = service / 2 * script::BALANCERS_PER_CUSTOMER;
        let all = first..first + script::BALANCERS_PER_CUSTOMER;
        let listed: Vec<_> = all.filter(|at| self.balancers[*at].listed).collect();
        let balancer = listed[self.rng.random_range(0..listed.len())];
        if !self.balancers[balancer].alive {
            return self.lost(flow, phase, tries);
        }
        let Flow { key, tag, .. } = self.flows[flow];
        self.forward(balancer, Packet { flow, service, phase, key, tag, tries, attack: false });
        if self.rng.random_bool(ATTACK_PART) {
            self.attack(balancer, flow, service);
        }
    }

    pub fn forward(&mut self, balancer: usize, shot: Packet) {
        let Packet { flow, service, phase, key, tag, tries, attack } = shot;
        let owner = tag.and_then(|tag| self.ciphers[service].decode(&tag)).map(Hop::from);
        let chain = self.balancers[balancer].chain(self.variant, service, key);
        let tagged = owner.is_some() && self.variant == Variant::Directory;
        let target = if tagged { owner } else { chain.first() };
        let Some(to) = target else {
            if !attack {
                self.lost(flow, phase, tries);
            }
            return;
        };
        let (step, hops, load) = (Step::First, 0, None);
        let sent =
            Sent { flow, service, phase, to, chain, step, hops, load, tagged, tries, attack };
        self.mail(Mail::Packet(sent));
    }

    /// A caller aims at an upstream of its own choice: random bytes, a tag of another service, or a
    /// recorded tag of another flow.
    pub fn attack(&mut self, balancer: usize, flow: usize, service: usize) {
        self.counts.attacks += 1;
        let other = self.rng.random_range(0..self.flows.len());
        let tag = match self.rng.random_range(0..3) {
            0 => Some(self.rng.random()),
            _ => self.flows[other].tag,
        };
        let key = Key::new(self.rng.random());
        let phase = Phase::Middle;
        self.forward(balancer, Packet { flow, service, phase, key, tag, tries: 0, attack: true });
    }

    /// Repeats a packet of an open flow; first packets are repeated until there is an owner.
    pub fn lost(&mut self, flow: usize, phase: Phase, tries: u32) {
        if phase == Phase::First || self.flows[flow].done {
            return;
        }
        let Some(owner) = self.flows[flow].owner else { return };
        if self.killed.contains(&owner) {
            self.broken(flow, Cause::Killed);
        } else if tries >= MAX_TRIES {
            self.broken(flow, Cause::Unreachable);
        } else {
            self.at(RETRY, Mail::Send { flow, phase, tries: tries + 1 });
        }
    }

    pub fn broken(&mut self, flow: usize, cause: Cause) {
        if !self.flows[flow].done {
            *self.counts.broken.entry(cause).or_default() += 1;
            self.end(flow);
        }
    }

    /// Finds why a packet of an open flow went to the wrong upstream.
    pub fn cause(&self, flow: usize) -> Cause {
        let Flow { service, owner, .. } = self.flows[flow];
        if owner.is_some_and(|owner| self.killed.contains(&owner)) {
            return Cause::Killed;
        }
        if self.now.since(self.balancer_lost) < Span::from_secs(1) {
            return Cause::Balancer;
        }
        let first = service / 2 * script::BALANCERS_PER_CUSTOMER;
        let members = |at: usize| self.balancers[at].routes[service].view.members();
        let reference = members(first);
        let mut others = first + 1..first + script::BALANCERS_PER_CUSTOMER;
        let differs = others.any(|at| members(at) != reference);
        if differs { Cause::Disagreement } else { Cause::Planned }
    }
}
