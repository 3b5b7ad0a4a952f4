//! A service of several agents whose messages the test carries in an order of its choice.

use {
    std::collections::{BTreeMap, VecDeque},
    yuccacroft_core::{
        controller::Controller,
        directory::{Action, Directory, Event, Outcome},
        flow::{Hop, Key, Phase},
        ids::{Incarnation, Instance},
        ownership::{Decision, Load, Packet, Table},
        placement::{Candidate, Chain, Homes, Step},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
};

/// Returns the first life of the agent with this number.
pub fn hop(number: u64) -> Hop {
    Hop { instance: Instance::from_bits(number << 16 | 9_000), incarnation: Incarnation::new(1) }
}

/// Returns members of equal weight.
pub fn members(numbers: impl IntoIterator<Item = u64>) -> Vec<Candidate> {
    let member = |number| Candidate { hop: hop(number), weight: Weight::new(100) };
    numbers.into_iter().map(member).collect()
}

/// What became of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Delivered(Hop),
    Reset,
    Dropped(&'static str),
    Waiting,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    id: usize,
    key: Key,
    phase: Phase,
    chain: Chain,
    to: Hop,
    step: Step,
    hops: u8,
    load: Option<Load>,
}

#[derive(Clone, Copy, Debug)]
enum Mail {
    Packet(Sent),
    Ask { from: Hop, home: Hop, key: Key },
    Relay { from: Hop, key: Key, chain: Chain, position: usize },
    Answer { to: Hop, event: Event },
    Publish { home: Hop, key: Key, owner: Hop, from: Hop },
}

pub struct Agent {
    pub table: Table,
    directory: Directory,
    held: BTreeMap<Key, Vec<Sent>>,
}

/// Agents and the messages between them.
pub struct Fleet {
    pub agents: BTreeMap<Instance, Agent>,
    pub now: Moment,
    /// Claims are made; without them a first packet is accepted at once.
    pub claims: bool,
    pub ends: Vec<End>,
    mail: VecDeque<Mail>,
}

impl Fleet {
    pub fn new(numbers: impl IntoIterator<Item = u64>) -> Self {
        let agent = |number| (hop(number).instance, Agent::new(hop(number), 2_000));
        let agents = numbers.into_iter().map(agent).collect();
        let (now, mail) = (Moment::new(1), VecDeque::new());
        Self { agents, now, claims: true, ends: Vec::new(), mail }
    }

    pub fn agent(&self, number: u64) -> &Agent {
        &self.agents[&hop(number).instance]
    }

    /// Puts a packet on its way and returns its position in `ends`.
    pub fn send(&mut self, key: Key, phase: Phase, chain: Chain) -> usize {
        let id = self.ends.len();
        self.ends.push(End::Waiting);
        let to = chain.first().unwrap();
        let sent = Sent { id, key, phase, chain, to, step: Step::First, hops: 0, load: None };
        self.mail.push_back(Mail::Packet(sent));
        id
    }

    /// Carries one message, the one at `index` modulo their number. Returns false at the end.
    pub fn carry(&mut self, index: usize) -> bool {
        if self.mail.is_empty() {
            return self.let_time_pass();
        }
        self.now = self.now + Span::from_micros(10);
        let mail = self.mail.remove(index % self.mail.len()).unwrap();
        self.receive(mail);
        true
    }

    /// Carries all messages in order.
    pub fn settle(&mut self) {
        while self.carry(0) {}
    }

    /// Publishes the flows of all agents to the homes of these members.
    pub fn publish(&mut self, before: &Homes, after: &Homes) {
        for agent in self.agents.values() {
            let own = agent.table.own_hop();
            for (home, key) in agent.table.missing_entries(before, after, Moment::default()) {
                self.mail.push_back(Mail::Publish { home, key, owner: own, from: own });
            }
        }
        self.settle();
    }

    /// Ends an agent with all that it knows.
    pub fn kill(&mut self, number: u64) {
        self.agents.remove(&hop(number).instance);
    }

    fn let_time_pass(&mut self) -> bool {
        self.now = self.now + Span::from_millis(20);
        let now = self.now;
        let mut actions = Vec::new();
        for agent in self.agents.values_mut() {
            let own = agent.table.own_hop();
            let ticked = agent.directory.step(Event::Tick, now);
            actions.extend(ticked.into_iter().map(|action| (own, action)));
        }
        let any = self.agents.values().any(|agent| agent.directory.open_claims() > 0);
        actions.into_iter().for_each(|(own, action)| self.execute(own, action));
        any || !self.mail.is_empty()
    }

    fn receive(&mut self, mail: Mail) {
        match mail {
            Mail::Packet(sent) => self.packet(sent),
            Mail::Ask { from, home, key } => {
                let Some(agent) = self.agents.get(&home.instance) else { return };
                let outcome = agent.table.answer_claim(key, from, self.now);
                let event = Event::Answered { key, home: home.instance, outcome };
                self.mail.push_back(Mail::Answer { to: from, event });
            }
            Mail::Relay { from, key, chain, position } => {
                let home = chain.home(position).unwrap();
                let Some(agent) = self.agents.get(&home.instance) else { return };
                let outcome = agent.table.answer_claim(key, from, self.now);
                let position = position + 1;
                let next = outcome == Outcome::Granted && chain.home(position).is_some();
                let event = Event::Answered { key, home: home.instance, outcome };
                self.mail.push_back(if next {
                    Mail::Relay { from, key, chain, position }
                } else {
                    Mail::Answer { to: from, event }
                });
            }
            Mail::Answer { to, event } => {
                let Some(agent) = self.agents.get_mut(&to.instance) else { return };
                let actions = agent.directory.step(event, self.now);
                actions.into_iter().for_each(|action| self.execute(to, action));
            }
            Mail::Publish { home, key, owner, from } => {
                if let Some(agent) = self.agents.get(&home.instance) {
                    agent.table.record_entry(key, owner, from, self.now);
                }
            }
        }
    }

    fn packet(&mut self, sent: Sent) {
        let Sent { id, key, phase, chain, to, step, hops, load } = sent;
        let Some(agent) = self.agents.get_mut(&to.instance) else {
            self.ends[id] = End::Dropped("dead");
            return;
        };
        let expected = to.incarnation;
        let packet = Packet { key, phase, chain: &chain, step, expected, hops, load };
        match agent.table.decide(&packet, self.now) {
            Decision::Deliver => self.ends[id] = End::Delivered(agent.table.own_hop()),
            Decision::Reset => self.ends[id] = End::Reset,
            Decision::Drop(cause) => self.ends[id] = End::Dropped(cause),
            Decision::Pass(to, step, load) => {
                let sent = Sent { to, step, load, hops: hops + 1, ..sent };
                self.mail.push_back(Mail::Packet(sent));
            }
            Decision::Wait => agent.held.entry(key).or_default().push(sent),
            Decision::Accept => self.begin(sent, false),
            Decision::Claim => {
                let load = agent.table.load();
                if let (Step::Second, Some(first)) = (step, chain.first())
                    && let Some(first) = self.agents.get(&first.instance)
                {
                    first.table.record_load(to.instance, load, self.now);
                }
                self.begin(sent, self.claims);
            }
        }
    }

    fn begin(&mut self, sent: Sent, claim: bool) {
        let agent = self.agents.get_mut(&sent.to.instance).unwrap();
        agent.held.entry(sent.key).or_default().push(sent);
        let own = agent.table.own_hop();
        if !claim {
            return self.execute(own, Action::Won { key: sent.key });
        }
        let event = Event::Begin { key: sent.key, chain: sent.chain };
        let actions = agent.directory.step(event, self.now);
        actions.into_iter().for_each(|action| self.execute(own, action));
    }

    fn execute(&mut self, own: Hop, action: Action) {
        let agent = self.agents.get_mut(&own.instance).unwrap();
        match action {
            Action::Relay { key, chain } => {
                self.mail.push_back(Mail::Relay { from: own, key, chain, position: 0 });
            }
            Action::Claim { home, key } => {
                self.mail.push_back(Mail::Ask { from: own, home, key });
            }
            Action::Publish { home, key, owner } => {
                self.mail.push_back(Mail::Publish { home, key, owner, from: own });
            }
            Action::Won { key } => {
                agent.table.claim_won(key, self.now);
                agent.table.count_opened();
                for sent in agent.held.remove(&key).unwrap_or_default() {
                    self.ends[sent.id] = End::Delivered(own);
                }
            }
            Action::Lost { key, winner } => {
                agent.table.claim_lost(key, winner, self.now);
                for sent in agent.held.remove(&key).unwrap_or_default() {
                    let hops = sent.hops + 1;
                    let sent = Sent { to: winner, step: Step::Owner, hops, ..sent };
                    self.mail.push_back(Mail::Packet(sent));
                }
            }
        }
    }
}

impl Agent {
    fn new(own: Hop, limit: u32) -> Self {
        let table = Table::new(own, Connections::new(limit), Weight::new(100));
        Self { table, directory: Directory::new(own), held: BTreeMap::new() }
    }
}
