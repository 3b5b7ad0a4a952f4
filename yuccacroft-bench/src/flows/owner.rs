//! Agents: packets, claims and publications.

use {
    super::{
        Cause, Variant,
        balancer::Entry,
        script,
        world::{Mail, Sent, World},
    },
    rand::RngExt,
    yuccacroft_core::{
        controller::Controller,
        directory::{Action, Event as Claim, Outcome},
        flow::{Hop, Key, Phase},
        ids::Instance,
        ownership::{Decision, Packet},
        placement::{Chain, Step},
        tag::Owner,
        time::Span,
    },
};

const CLAIM_TICK: Span = Span::from_millis(5);
pub const REFRESH: Span = Span::from_secs(20);

impl World {
    pub fn packet(&mut self, sent: Sent) {
        let Some(agent) = self.agents.get(&sent.to.instance) else {
            return self.repeat(&sent);
        };
        self.counts.packets += 1;
        if self.variant != Variant::Directory {
            return self.deliver(sent, sent.to.instance);
        }
        if agent.service != sent.service {
            self.counts.refused += 1;
            return self.repeat(&sent);
        }
        let own = agent.table.own_hop();
        if sent.tagged {
            if own == sent.to {
                return self.deliver(sent, own.instance);
            }
            return self.reset(sent);
        }
        let key = if sent.attack { Key::new(u64::MAX) } else { self.flows[sent.flow].key };
        let Sent { phase, chain, step, hops, load, .. } = sent;
        let expected = sent.to.incarnation;
        let packet = Packet { key, phase, chain: &chain, step, expected, hops, load };
        match agent.table.decide(&packet, self.now) {
            Decision::Deliver => self.deliver(sent, own.instance),
            Decision::Reset => self.reset(sent),
            Decision::Drop(_) => self.repeat(&sent),
            Decision::Pass(to, step, load) => {
                let sent = Sent { to, step, load, hops: hops + 1, ..sent };
                self.mail(Mail::Packet(sent));
            }
            Decision::Wait => self.hold(own, key, sent),
            Decision::Accept => {
                self.hold(own, key, sent);
                self.execute(own, Action::Won { key });
            }
            Decision::Claim => {
                if let (Step::Second, Some(first)) = (step, chain.first()) {
                    let load = self.agents[&own.instance].table.load();
                    self.mail(Mail::LoadOf { to: first, from: own, load });
                }
                self.hold(own, key, sent);
                self.step(own, Claim::Begin { key, chain });
            }
        }
    }

    pub fn hold(&mut self, own: Hop, key: Key, sent: Sent) {
        let agent = self.agents.get_mut(&own.instance).expect("the agent decided just now");
        agent.held.entry(key).or_default().push(sent);
    }

    pub fn repeat(&mut self, sent: &Sent) {
        if !sent.attack {
            self.lost(sent.flow, sent.phase, sent.tries);
        }
    }

    pub fn reset(&mut self, sent: Sent) {
        if !sent.attack && self.flows[sent.flow].owner.is_some() {
            let cause = self.cause(sent.flow);
            self.broken(sent.flow, cause);
        }
    }

    /// An upstream takes a packet.
    pub fn deliver(&mut self, sent: Sent, at: Instance) {
        let agent = &self.agents[&at];
        if agent.service != sent.service {
            self.counts.wrong_service += 1;
        }
        if sent.attack || self.flows[sent.flow].done {
            return;
        }
        let own = agent.table.own_hop();
        match self.flows[sent.flow].owner {
            Some(owner) if owner == own => {}
            Some(_) if sent.phase == Phase::First => self.broken(sent.flow, Cause::Split),
            Some(_) => {
                let cause = self.cause(sent.flow);
                self.broken(sent.flow, cause);
            }
            None => self.open(sent.flow, own),
        }
    }

    pub fn open(&mut self, flow: usize, own: Hop) {
        if self.variant != Variant::Directory {
            self.agents[&own.instance].table.count_opened();
        }
        let nonce = self.rng.random();
        let opened = &mut self.flows[flow];
        opened.owner = Some(own);
        self.counts.opening.push(self.now.since(opened.begun).as_micros());
        if opened.tagged {
            let owner = Owner { instance: own.instance, incarnation: own.incarnation };
            opened.tag = Some(self.ciphers[opened.service].encode(owner, nonce));
        }
        if !opened.long {
            let life = -(1.0 - self.rng.random::<f64>()).ln() * script::SHORT_LIFE_SECS;
            self.at(Span::from_micros((life * 1e6) as u64), Mail::End { flow });
        }
        let gap = self.rng.random_range(script::GAP_MICROS);
        self.at(Span::from_micros(gap), Mail::Next { flow });
    }

    pub fn ask(&mut self, from: Hop, home: Hop, key: Key) {
        self.counts.claims += 1;
        let Some(agent) = self.agents.get(&home.instance) else { return };
        if self.agents.get(&from.instance).is_none_or(|asker| asker.service != agent.service) {
            self.counts.refused += 1;
            return;
        }
        let outcome = agent.table.answer_claim(key, from, self.now);
        let event = Claim::Answered { key, home: home.instance, outcome };
        self.mail(Mail::Answer { to: from, event });
    }

    pub fn answer(&mut self, to: Hop, event: Claim) {
        self.counts.claims += 1;
        self.step(to, event);
    }

    pub fn relay(&mut self, from: Hop, key: Key, chain: &Chain, position: usize) {
        self.counts.claims += 1;
        let Some(home) = chain.home(position) else { return };
        let Some(agent) = self.agents.get(&home.instance) else { return };
        if self.agents.get(&from.instance).is_none_or(|asker| asker.service != agent.service) {
            self.counts.refused += 1;
            return;
        }
        let outcome = agent.table.answer_claim(key, from, self.now);
        let (chain, position) = (*chain, position + 1);
        if outcome == Outcome::Granted && chain.home(position).is_some() {
            return self.hand_on(home, Mail::Relay { from, key, chain, position });
        }
        let event = Claim::Answered { key, home: home.instance, outcome };
        self.hand_on(home, Mail::Answer { to: from, event });
    }

    /// Sends a message, or takes it at once when it stays at this agent.
    fn hand_on(&mut self, own: Hop, mail: Mail) {
        match mail {
            Mail::Relay { from, key, chain, position }
                if chain.home(position).is_some_and(|home| home.instance == own.instance) =>
            {
                self.relay(from, key, &chain, position);
            }
            Mail::Answer { to, event } if to.instance == own.instance => self.step(to, event),
            mail => self.mail(mail),
        }
    }

    pub fn step(&mut self, own: Hop, event: Claim) {
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_hop() != own {
            return;
        }
        let actions = agent.directory.step(event, self.now);
        if agent.directory.open_claims() > 0 && !std::mem::replace(&mut agent.ticking, true) {
            self.at(CLAIM_TICK, Mail::Tick { agent: own });
        }
        actions.into_iter().for_each(|action| self.execute(own, action));
    }

    pub fn execute(&mut self, own: Hop, action: Action) {
        let agent = self.agents.get_mut(&own.instance).expect("the agent acted just now");
        match action {
            Action::Claim { home, key } if home.instance == own.instance => {
                let outcome = agent.table.answer_claim(key, own, self.now);
                self.step(own, Claim::Answered { key, home: home.instance, outcome });
            }
            Action::Relay { key, chain } => {
                self.hand_on(own, Mail::Relay { from: own, key, chain, position: 0 });
            }
            Action::Claim { home, key } => self.mail(Mail::Ask { from: own, home, key }),
            Action::Publish { home, key, owner } => {
                self.mail(Mail::Publish { home, key, owner, from: own });
            }
            Action::Won { key } => {
                agent.table.claim_won(key, self.now);
                agent.table.count_opened();
                let held = agent.held.remove(&key).unwrap_or_default();
                let flow = held.first().map(|sent| sent.flow);
                held.into_iter().for_each(|sent| self.deliver(sent, own.instance));
                // A late first packet of a flow that ended, or of one that lives elsewhere.
                if flow.is_none_or(|flow| self.flows[flow].done)
                    && let Some(agent) = self.agents.get(&own.instance)
                {
                    agent.table.count_closed();
                    agent.table.remove(key);
                }
            }
            Action::Lost { key, winner } => {
                agent.table.claim_lost(key, winner, self.now);
                for sent in agent.held.remove(&key).unwrap_or_default() {
                    let hops = sent.hops + 1;
                    self.mail(Mail::Packet(Sent { to: winner, step: Step::Owner, hops, ..sent }));
                }
            }
        }
    }

    pub fn tick(&mut self, own: Hop) {
        if let Some(agent) = self.agents.get_mut(&own.instance)
            && agent.table.own_hop() == own
        {
            agent.ticking = false;
            self.step(own, Claim::Tick);
        }
    }

    pub fn refresh(&mut self, own: Hop) {
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_hop() != own {
            return;
        }
        agent.table.expire(|_| false, self.now);
        agent.homes = Default::default();
        let list = agent.republish();
        list.into_iter().for_each(|(home, key)| {
            self.mail(Mail::Publish { home, key, owner: own, from: own });
        });
        self.at(REFRESH, Mail::Refresh { agent: own });
    }

    pub fn agent_view(&mut self, own: Hop, entry: Entry) {
        let Some(agent) = self.agents.get_mut(&own.instance) else { return };
        if agent.table.own_hop() != own || !agent.view.learn(entry) {
            return;
        }
        let view = agent.view.clone();
        agent.table.expire(|hop| view.has_left(hop), self.now);
        let list = agent.republish();
        list.into_iter().for_each(|(home, key)| {
            self.mail(Mail::Publish { home, key, owner: own, from: own });
        });
    }
}
