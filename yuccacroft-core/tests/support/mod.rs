//! A simulated service of several agents. The test chooses the order in which their messages are
//! delivered.

use {
    std::collections::{BTreeMap, VecDeque},
    yuccacroft_core::{
        controller::Controller,
        directory::{Action, ClaimController, ClaimOutcome, Event},
        flow::{AgentId, FlowKey, FlowPhase},
        ids::{Incarnation, Instance},
        ownership::{Decision, FlowLoad, OwnershipTable, UntaggedPacket},
        placement::{Candidate, CandidateChain, ChainPosition, Homes},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
};

/// Time between two publications of an agent.
const PUBLISH_INTERVAL: Span = Span::from_secs(20);
/// Number of publications after which a home knows all flows, the first one included.
const SETTLING_ROUNDS: u32 = 5;

/// Returns the first incarnation of the agent with this number.
pub fn agent_id(number: u64) -> AgentId {
    AgentId {
        instance: Instance::from_bits(number << 16 | 9_000),
        incarnation: Incarnation::new(1),
    }
}

/// Returns members of equal weight.
pub fn members(numbers: impl IntoIterator<Item = u64>) -> Vec<Candidate> {
    let member = |number| Candidate { agent_id: agent_id(number), weight: Weight::new(100) };
    numbers.into_iter().map(member).collect()
}

/// The final state of a packet, or `Waiting`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivery {
    Delivered(AgentId),
    Reset,
    Dropped(&'static str),
    Waiting,
}

#[derive(Clone, Copy, Debug)]
struct SentPacket {
    id: usize,
    key: FlowKey,
    phase: FlowPhase,
    chain: CandidateChain,
    to: AgentId,
    step: ChainPosition,
    hops: u8,
    load: Option<FlowLoad>,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Packet(SentPacket),
    Claim { from: AgentId, home: AgentId, key: FlowKey },
    Relay { from: AgentId, key: FlowKey, chain: CandidateChain, position: usize },
    Answer { to: AgentId, event: Event },
    Publish { home: AgentId, key: FlowKey, owner: AgentId, from: AgentId },
}

pub struct Agent {
    pub table: OwnershipTable,
    claim_controller: ClaimController,
    held: BTreeMap<FlowKey, Vec<SentPacket>>,
}

/// The agents of a service and the messages in transit between them.
pub struct Fleet {
    pub agents: BTreeMap<Instance, Agent>,
    pub now: Moment,
    /// Whether new flows are claimed at their homes. Otherwise a first packet is accepted at once.
    pub claims: bool,
    pub results: Vec<Delivery>,
    in_flight: VecDeque<Message>,
}

impl Fleet {
    pub fn new(numbers: impl IntoIterator<Item = u64>) -> Self {
        let agent = |number| (agent_id(number).instance, Agent::new(agent_id(number), 2_000));
        let agents = numbers.into_iter().map(agent).collect();
        let (now, in_flight) = (Moment::new(1), VecDeque::new());
        Self { agents, now, claims: true, results: Vec::new(), in_flight }
    }

    pub fn agent(&self, number: u64) -> &Agent {
        &self.agents[&agent_id(number).instance]
    }

    /// Sends a packet and returns its index in `results`.
    pub fn send(&mut self, key: FlowKey, phase: FlowPhase, chain: CandidateChain) -> usize {
        let id = self.results.len();
        self.results.push(Delivery::Waiting);
        let to = chain.first().unwrap();
        let sent = SentPacket {
            id,
            key,
            phase,
            chain,
            to,
            step: ChainPosition::First,
            hops: 0,
            load: None,
        };
        self.in_flight.push_back(Message::Packet(sent));
        id
    }

    /// Delivers the message at `index` modulo the number of messages, or advances the time if there
    /// is none. Returns false if no message and no claim is left.
    pub fn deliver_one(&mut self, index: usize) -> bool {
        if self.in_flight.is_empty() {
            return self.advance_time();
        }
        self.now = self.now + Span::from_micros(10);
        let message = self.in_flight.remove(index % self.in_flight.len()).unwrap();
        self.deliver(message);
        true
    }

    /// Delivers all messages in order.
    pub fn deliver_all(&mut self) {
        while self.deliver_one(0) {}
    }

    /// Publishes the flows of all agents to the homes that are in `after` but not in `before`.
    pub fn publish(&mut self, before: &Homes, after: &Homes) {
        for agent in self.agents.values() {
            let own = agent.table.own_id();
            for (home, key) in agent.table.missing_entries(before, after, Moment::default()) {
                self.in_flight.push_back(Message::Publish { home, key, owner: own, from: own });
            }
        }
        self.deliver_all();
    }

    /// Lets time pass in which the listed agents know each other as members and publish to each
    /// other, so that they know the owners of all keys.
    pub fn settle(&mut self, numbers: impl IntoIterator<Item = u64>) {
        let agent_ids: Vec<_> = numbers.into_iter().map(agent_id).collect();
        for round in 0..SETTLING_ROUNDS {
            for own in &agent_ids {
                let table = &self.agents[&own.instance].table;
                table.update_siblings(&agent_ids, self.now);
                let others = agent_ids.iter().filter(|other| *other != own);
                others.for_each(|other| table.record_publication(*other, self.now));
            }
            if round + 1 < SETTLING_ROUNDS {
                self.now = self.now + PUBLISH_INTERVAL;
            }
        }
    }

    /// Removes an agent together with its state.
    pub fn remove_agent(&mut self, number: u64) {
        self.agents.remove(&agent_id(number).instance);
    }

    fn advance_time(&mut self) -> bool {
        self.now = self.now + Span::from_millis(20);
        let now = self.now;
        let mut actions = Vec::new();
        for agent in self.agents.values_mut() {
            let own = agent.table.own_id();
            let tick_actions = agent.claim_controller.step(Event::Tick, now);
            actions.extend(tick_actions.into_iter().map(|action| (own, action)));
        }
        let has_claims = self.agents.values().any(|agent| agent.claim_controller.open_claims() > 0);
        actions.into_iter().for_each(|(own, action)| self.execute(own, action));
        has_claims || !self.in_flight.is_empty()
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Packet(sent) => self.deliver_packet(sent),
            Message::Claim { from, home, key } => {
                let Some(agent) = self.agents.get(&home.instance) else { return };
                let outcome = agent.table.answer_claim(key, from, self.now);
                let event = Event::Answered { key, home: home.instance, outcome };
                self.in_flight.push_back(Message::Answer { to: from, event });
            }
            Message::Relay { from, key, chain, position } => {
                let home = chain.home(position).unwrap();
                let Some(agent) = self.agents.get(&home.instance) else { return };
                let outcome = agent.table.answer_claim(key, from, self.now);
                let position = position + 1;
                let next = outcome == ClaimOutcome::Granted && chain.home(position).is_some();
                let event = Event::Answered { key, home: home.instance, outcome };
                self.in_flight.push_back(if next {
                    Message::Relay { from, key, chain, position }
                } else {
                    Message::Answer { to: from, event }
                });
            }
            Message::Answer { to, event } => {
                let Some(agent) = self.agents.get_mut(&to.instance) else { return };
                let actions = agent.claim_controller.step(event, self.now);
                actions.into_iter().for_each(|action| self.execute(to, action));
            }
            Message::Publish { home, key, owner, from } => {
                if let Some(agent) = self.agents.get(&home.instance) {
                    agent.table.record_entry(key, owner, from, self.now);
                }
            }
        }
    }

    fn deliver_packet(&mut self, sent: SentPacket) {
        let SentPacket { id, key, phase, chain, to, step, hops, load } = sent;
        let Some(agent) = self.agents.get_mut(&to.instance) else {
            self.results[id] = Delivery::Dropped("dead");
            return;
        };
        let expected = to.incarnation;
        let packet = UntaggedPacket { key, phase, chain: &chain, step, expected, hops, load };
        match agent.table.decide(&packet, self.now) {
            Decision::Deliver => self.results[id] = Delivery::Delivered(agent.table.own_id()),
            Decision::Reset => self.results[id] = Delivery::Reset,
            Decision::Drop(cause) => self.results[id] = Delivery::Dropped(cause),
            Decision::Pass(to, step, load) => {
                let sent = SentPacket { to, step, load, hops: hops + 1, ..sent };
                self.in_flight.push_back(Message::Packet(sent));
            }
            Decision::Wait => agent.held.entry(key).or_default().push(sent),
            Decision::Accept => self.begin_flow(sent, false),
            Decision::Claim => {
                let load = agent.table.load();
                if let (ChainPosition::Second, Some(first)) = (step, chain.first())
                    && let Some(first) = self.agents.get(&first.instance)
                {
                    first.table.record_load(to.instance, load, self.now);
                }
                self.begin_flow(sent, self.claims);
            }
        }
    }

    fn begin_flow(&mut self, sent: SentPacket, claim: bool) {
        let agent = self.agents.get_mut(&sent.to.instance).unwrap();
        agent.held.entry(sent.key).or_default().push(sent);
        let own = agent.table.own_id();
        if !claim {
            return self.execute(own, Action::Won { key: sent.key });
        }
        let event = Event::Begin { key: sent.key, chain: sent.chain };
        let actions = agent.claim_controller.step(event, self.now);
        actions.into_iter().for_each(|action| self.execute(own, action));
    }

    fn execute(&mut self, own: AgentId, action: Action) {
        let agent = self.agents.get_mut(&own.instance).unwrap();
        match action {
            Action::Relay { key, chain } => {
                self.in_flight.push_back(Message::Relay { from: own, key, chain, position: 0 });
            }
            Action::Claim { home, key } => {
                self.in_flight.push_back(Message::Claim { from: own, home, key });
            }
            Action::Publish { home, key, owner } => {
                self.in_flight.push_back(Message::Publish { home, key, owner, from: own });
            }
            Action::Won { key } => {
                agent.table.claim_won(key, self.now);
                agent.table.count_opened();
                for sent in agent.held.remove(&key).unwrap_or_default() {
                    self.results[sent.id] = Delivery::Delivered(own);
                }
            }
            Action::Lost { key, winner } => {
                agent.table.claim_lost(key, winner, self.now);
                for sent in agent.held.remove(&key).unwrap_or_default() {
                    let hops = sent.hops + 1;
                    let sent = SentPacket { to: winner, step: ChainPosition::Owner, hops, ..sent };
                    self.in_flight.push_back(Message::Packet(sent));
                }
            }
        }
    }
}

impl Agent {
    fn new(own: AgentId, limit: u32) -> Self {
        let table = OwnershipTable::new(own, Connections::new(limit), Weight::new(100));
        Self { table, claim_controller: ClaimController::new(own), held: BTreeMap::new() }
    }
}
