//! The controllers of many balancers over a network and a store with virtual time.
//!
//! It serves the tests of recovery and the bench. Only the network, the store and the agents are
//! stand-ins; every decision is made by the controllers that the processes run.

mod balancer;
mod store;

pub use self::store::Ledger;

use {
    self::balancer::Balancer,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    yuccacroft_core::{
        contract::{
            Accepted, Contract,
            registry::Registry,
            store_reader::{self, StoreReader},
        },
        controller::Controller,
        gossip::{
            entry::Item,
            exchange::{self, Exchange},
            message::Message,
            peer::{Node, Peer},
        },
        ids::{Customer, Domain, Incarnation, Instance, Revision},
        member::{
            Entry, Record, Standing,
            membership::{self, FailureTimeouts, Membership, Report},
        },
        time::{Moment, Span},
    },
    yuccacroft_wire::message::{self, Announce},
};

const TICK: Span = Span::from_millis(100);
/// A call without an answer fails after this time.
const TIMEOUT: Span = Span::from_secs(1);
/// The request line and headers of a call between processes, the authenticator included: 28 + 22
/// + 21 + 65 bytes and the line ends.
const REQUEST_BYTES: u64 = 145;
/// The status line and headers of an answer.
const ANSWER_BYTES: u64 = 120;
/// An answer to an announcement that brings nothing new.
const WELCOME_BYTES: u64 = 7;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of balancers.
    pub balancers: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The longest delay of a message between processes.
    pub delay: Span,
    /// The longest delay of an update, which is a push or what a watch tells.
    pub late: Span,
    /// The share of messages that are lost.
    pub loss: f64,
    /// Whether every balancer watches the store, as the baseline.
    pub everyone: bool,
    /// What the exchanges are tuned by.
    pub exchange: exchange::Settings,
    /// How the rosters bear silence.
    pub timing: FailureTimeouts,
    /// Time between two announcements of an agent.
    pub announce: Span,
    /// The seed of all random choices.
    pub seed: u64,
}

/// Balancers, agents, network and store.
pub struct Fleet {
    plan: Plan,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Box<Pending>)>>,
    order: u64,
    balancers: Vec<Balancer>,
    agents: BTreeMap<Instance, Agent>,
    ledger: Ledger,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    applied: Vec<(Revision, usize, Moment)>,
    reports: usize,
    rng: StdRng,
}

struct Agent {
    entry: Entry,
    alive: bool,
}

#[derive(Debug)]
enum Pending {
    Tick(usize),
    Request { from: usize, to: usize, message: Message },
    Answer { from: usize, to: usize, message: Message },
    Failed { from: usize, to: usize, message: Message },
    Reports { to: usize, reports: Vec<Report> },
    Announce(Instance),
    Heard { to: usize, entry: Entry },
    Refute { instance: Instance, version: u32 },
    Listed { to: usize, turn: u64 },
    Notice { to: usize, turn: u64, revision: Revision },
    Ended { to: usize, turn: u64 },
}

impl PartialEq for Pending {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for Pending {}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Events are ordered by time and number alone.
impl Ord for Pending {
    fn cmp(&self, _other: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl Default for Plan {
    /// Returns three balancers in three failure domains over a network without faults.
    fn default() -> Self {
        Self {
            balancers: 3,
            domains: 3,
            delay: Span::from_millis(2),
            late: Span::from_millis(2),
            loss: 0.0,
            everyone: false,
            exchange: exchange::Settings::default(),
            timing: FailureTimeouts::default(),
            announce: Span::from_secs(2),
            seed: 1,
        }
    }
}

impl Plan {
    /// Returns the address of a balancer.
    pub fn node(index: usize) -> Node {
        let ip = Ipv4Addr::from_bits(0x0a00_0000 + index as u32);
        Node::new(SocketAddr::from((ip, 7_000)))
    }

    /// Returns the failure domain of a balancer.
    pub fn domain(&self, index: usize) -> Domain {
        domain(index % self.domains)
    }
}

/// Returns the name of a failure domain.
pub fn domain(index: usize) -> Domain {
    Domain::new(&format!("domain-{index}")).expect("the name is well-formed")
}

impl Fleet {
    /// Starts a fleet whose balancers know each other.
    pub fn new(plan: Plan) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: Moment::default(),
            events: BinaryHeap::new(),
            order: 0,
            balancers: Vec::new(),
            agents: BTreeMap::new(),
            ledger: Ledger::default(),
            cut: Box::new(|_, _| false),
            applied: Vec::new(),
            reports: 0,
            plan,
        };
        for index in 0..fleet.plan.balancers {
            fleet.add(index, &[]);
        }
        let peers = fleet.balancers.iter().map(|b| Item::Peer(Arc::new(b.exchange.own().clone())));
        let peers: Vec<Item> = peers.collect();
        for index in 0..fleet.balancers.len() {
            let message = Message::Page { items: peers.clone(), next: None };
            let event = exchange::Event::Answer { from: Plan::node(index), message };
            fleet.step_exchange(index, event);
        }
        fleet
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Returns the store.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Separates balancers: messages between two of them are lost while the function says so.
    pub fn set_cut(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Returns the revision of a customer's contract that is in force on a balancer.
    pub fn revision(&self, index: usize, customer: &Customer) -> Option<Revision> {
        self.balancers[index].register.get(customer).map(|contract| contract.revision())
    }

    /// Returns the roster of a balancer.
    pub fn roster(&self, index: usize) -> &Membership {
        &self.balancers[index].roster
    }

    /// Returns the exchange of a balancer.
    pub fn exchange(&self, index: usize) -> &Exchange {
        &self.balancers[index].exchange
    }

    /// Returns when each balancer put each revision in force.
    pub fn applied(&self) -> &[(Revision, usize, Moment)] {
        &self.applied
    }

    /// Returns the bytes that each balancer sent and received.
    pub fn bytes(&self) -> impl Iterator<Item = u64> + '_ {
        self.balancers.iter().map(|balancer| balancer.bytes)
    }

    /// Returns the members that registrars reported to judges so far, repetitions included.
    pub fn reports(&self) -> usize {
        self.reports
    }

    /// Returns the balancers that read the store.
    pub fn readers(&self) -> usize {
        self.balancers.iter().filter(|b| b.alive && b.follower.is_reader()).count()
    }

    /// Stores a contract and puts it in force on the balancer that took the operator's request.
    pub fn submit(&mut self, index: usize, contract: Contract<Accepted>) {
        let contract = Arc::new(contract);
        self.ledger.put(contract.clone());
        self.notify(contract.revision());
        self.step_exchange(index, exchange::Event::Local(Item::Contract(contract)));
    }

    /// Stores a contract without a balancer's part in it.
    pub fn store(&mut self, contract: Contract<Accepted>) {
        let revision = contract.revision();
        self.ledger.put(Arc::new(contract));
        self.notify(revision);
    }

    /// Gives a balancer an entry from anywhere, for example an old one.
    pub fn offer(&mut self, index: usize, item: Item) {
        let event = exchange::Event::Request(Message::Push(vec![item]));
        self.step_exchange(index, event);
    }

    /// Begins or ends an outage of the store, which ends all watches.
    pub fn set_store_down(&mut self, down: bool) {
        self.ledger.down = down;
        if down {
            for (to, turn) in self.ledger.end_watches() {
                self.schedule(Span::ZERO, Pending::Ended { to, turn });
            }
        }
    }

    /// Stops a balancer without a word.
    pub fn kill(&mut self, index: usize) {
        self.balancers[index].alive = false;
    }

    /// Starts a balancer at the address of an earlier one, with the addresses of some others.
    pub fn replace(&mut self, index: usize, seeds: &[usize]) {
        self.add(index, seeds);
    }

    /// Makes a balancer leave.
    pub fn leave(&mut self, index: usize) {
        self.step_exchange(index, exchange::Event::Leave);
        self.balancers[index].alive = false;
    }

    /// Adds agents that all balancers know already.
    pub fn add_known_agents(&mut self, entries: Vec<Entry>) {
        let record = |entry: &Entry| {
            let record = Record { entry: entry.clone(), standing: Standing::Trusted };
            Item::Member(Arc::new(record))
        };
        let items: Vec<Item> = entries.iter().map(record).collect();
        for index in 0..self.balancers.len() {
            let message = Message::Page { items: items.clone(), next: None };
            let event = exchange::Event::Answer { from: Plan::node(index), message };
            self.step_exchange(index, event);
        }
        entries.into_iter().for_each(|entry| self.add_agent(entry));
    }

    /// Adds an agent that announces itself.
    pub fn add_agent(&mut self, entry: Entry) {
        let instance = entry.instance;
        self.agents.insert(instance, Agent { entry, alive: true });
        let first = self.rng.random_range(0..=self.plan.announce.as_micros());
        self.schedule(Span::from_micros(first), Pending::Announce(instance));
    }

    /// Changes the entry of an agent, as a drain or a change of its weight does.
    pub fn change_agent(&mut self, instance: Instance, change: impl FnOnce(&mut Entry)) {
        if let Some(agent) = self.agents.get_mut(&instance) {
            change(&mut agent.entry);
            agent.entry.version += 1;
        }
    }

    /// Stops or continues an agent without a word.
    pub fn set_agent(&mut self, instance: Instance, alive: bool) {
        if let Some(agent) = self.agents.get_mut(&instance) {
            agent.alive = alive;
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= end
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now = at;
            self.handle(*event);
        }
        self.now = end;
    }

    fn add(&mut self, index: usize, seeds: &[usize]) {
        let node = Plan::node(index);
        let own = Peer {
            node,
            domain: self.plan.domain(index),
            incarnation: Incarnation::new(self.now.get() + 1),
            version: 0,
            standing: Standing::Trusted,
        };
        let seeds: Vec<Node> = seeds.iter().copied().map(Plan::node).collect();
        let domain = own.domain.clone();
        let exchange = Exchange::new(own, &seeds, self.plan.exchange, self.rng.random());
        let mut follower = StoreReader::new(node, domain, self.rng.random());
        if self.plan.everyone {
            follower = follower.always_reading();
        }
        let mut roster = Membership::new(node, self.plan.timing);
        roster.step(membership::Event::Peers(exchange.peers()), self.now);
        let known = self.balancers.get(index).map_or((0, 0), |old| (old.turn + 1, old.bytes));
        let balancer = Balancer {
            exchange,
            follower,
            roster,
            register: Registry::new(),
            alive: true,
            turn: known.0,
            bytes: known.1,
        };
        if index < self.balancers.len() {
            self.balancers[index] = balancer;
        } else {
            self.balancers.push(balancer);
            let first = self.rng.random_range(0..TICK.as_micros());
            self.schedule(Span::from_micros(first), Pending::Tick(index));
        }
    }

    fn schedule(&mut self, after: Span, event: Pending) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order, Box::new(event))));
    }

    fn handle(&mut self, event: Pending) {
        match event {
            Pending::Tick(index) => self.tick(index),
            Pending::Request { from, to, message } => self.request(from, to, message),
            Pending::Answer { from, to, message } => {
                let message = exchange::Event::Answer { from: Plan::node(from), message };
                self.step_exchange(to, message);
            }
            Pending::Failed { from, to, message } => {
                let event = exchange::Event::Failed { to: Plan::node(to), message };
                self.step_exchange(from, event);
            }
            Pending::Reports { to, reports } => {
                self.reports += reports.len();
                self.step_roster(to, membership::Event::Reported(reports));
            }
            Pending::Announce(instance) => self.announce(instance),
            Pending::Heard { to, entry } => self.heard(to, entry),
            Pending::Refute { instance, version } => self.refute(instance, version),
            Pending::Listed { to, turn } => self.listed(to, turn),
            Pending::Notice { to, turn, revision } => self.noticed(to, turn, revision),
            Pending::Ended { to, turn } => {
                if self.balancers[to].turn == turn {
                    self.step_follower(to, store_reader::Event::Failed);
                }
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(TICK, Pending::Tick(index));
        self.step_roster(index, membership::Event::Tick);
        self.step_follower(index, store_reader::Event::Tick);
        self.step_exchange(index, exchange::Event::Tick);
    }

    /// Draws the delay of a message; `None` means that it is lost.
    fn travel(&mut self, from: usize, to: usize, most: Span) -> Option<Span> {
        if (self.cut)(from, to) || self.rng.random_bool(self.plan.loss) {
            return None;
        }
        Some(Span::from_micros(self.rng.random_range(0..=most.as_micros())))
    }

    fn count(&mut self, from: usize, to: usize, bytes: u64) {
        self.balancers[from].bytes += bytes;
        self.balancers[to].bytes += bytes;
    }

    fn send(&mut self, from: usize, to: Node, message: Message) {
        let Some(to) = index(to).filter(|&to| to < self.balancers.len()) else { return };
        self.count(from, to, size(&message) + REQUEST_BYTES);
        let most =
            if matches!(message, Message::Push(_)) { self.plan.late } else { self.plan.delay };
        match self.travel(from, to, most) {
            Some(delay) => self.schedule(delay, Pending::Request { from, to, message }),
            None => self.schedule(TIMEOUT, Pending::Failed { from, to, message }),
        }
    }

    fn request(&mut self, from: usize, to: usize, message: Message) {
        if !self.balancers[to].alive {
            self.schedule(TIMEOUT, Pending::Failed { from, to, message });
            return;
        }
        let event = exchange::Event::Request(message.clone());
        let Some(answer) = self.step_exchange(to, event) else { return };
        self.count(from, to, size(&answer) + ANSWER_BYTES);
        match self.travel(to, from, self.plan.delay) {
            Some(delay) => {
                self.schedule(delay, Pending::Answer { from: to, to: from, message: answer });
            }
            None => self.schedule(TIMEOUT, Pending::Failed { from, to, message }),
        }
    }

    fn announce(&mut self, instance: Instance) {
        let wait = self.plan.announce;
        self.schedule(wait, Pending::Announce(instance));
        let Some(agent) = self.agents.get(&instance).filter(|agent| agent.alive) else { return };
        let entry = agent.entry.clone();
        // Any live balancer has told the agent of its registrars.
        let known = self.balancers.iter().find(|balancer| balancer.alive);
        let registrars = known.map(|b| b.roster.registrars(instance)).unwrap_or_default();
        for to in registrars.into_iter().filter_map(index) {
            if !self.rng.random_bool(self.plan.loss) {
                let delay = self.rng.random_range(0..=self.plan.delay.as_micros());
                let event = Pending::Heard { to, entry: entry.clone() };
                self.schedule(Span::from_micros(delay), event);
            }
        }
    }

    fn heard(&mut self, to: usize, entry: Entry) {
        if !self.balancers[to].alive {
            return;
        }
        let instance = entry.instance;
        let announce = Announce {
            entry: entry.clone(),
            revision: Revision::new(1 << 30),
            siblings: u64::MAX,
            balancers: u64::MAX,
        };
        let size = message::encode(&announce).map_or(0, |bytes| bytes.len() as u64);
        self.balancers[to].bytes += size + REQUEST_BYTES + WELCOME_BYTES + ANSWER_BYTES;
        let refutation = self.balancers[to].roster.refutation(instance, self.now);
        let refutation = refutation.filter(|&version| version >= entry.version);
        self.step_roster(to, membership::Event::Announced(entry));
        if let Some(version) = refutation {
            self.schedule(TICK, Pending::Refute { instance, version });
        }
    }

    fn refute(&mut self, instance: Instance, version: u32) {
        let Some(agent) = self.agents.get_mut(&instance) else { return };
        if agent.alive && agent.entry.version <= version {
            agent.entry.version = version + 1;
            self.schedule(Span::ZERO, Pending::Announce(instance));
        }
    }
}

fn index(node: Node) -> Option<usize> {
    match node.address() {
        SocketAddr::V4(address) => Some((address.ip().to_bits() - 0x0a00_0000) as usize),
        SocketAddr::V6(_) => None,
    }
}

/// Returns the encoded size of a message.
fn size(message: &Message) -> u64 {
    message::encode(message).map_or(0, |bytes| bytes.len() as u64)
}
