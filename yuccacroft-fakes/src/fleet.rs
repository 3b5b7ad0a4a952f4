//! Simulation of many balancers with a network and a store in virtual time.
//!
//! Used by the tests of recovery and by the bench. Only the network, the store and the agents are
//! simulated; all decisions are made by the controllers that the processes run.

mod balancer;
mod store;

pub use self::store::ContractStore;

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
            entry::GossipEntry,
            exchange::{self, Exchange},
            message::GossipMessage,
            peer::{NodeId, Peer},
        },
        ids::{Customer, Domain, Incarnation, Instance, Revision},
        member::{
            Liveness, MemberEntry, MemberRecord,
            membership::{self, FailureTimeouts, MemberReport, Membership},
        },
        time::{Moment, Span},
    },
    yuccacroft_wire::message::{self, Announce},
};

/// Interval between two ticks of a balancer's controllers.
const TICK: Span = Span::from_millis(100);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Span = Span::from_secs(1);
/// Size of the request line and headers of a call between processes, including the authenticator:
/// 28 + 22 + 21 + 65 bytes and the line ends.
const REQUEST_HEADER_BYTES: u64 = 145;
/// Size of the status line and headers of an answer.
const ANSWER_HEADER_BYTES: u64 = 120;
/// Size of the body of the answer to an announcement when nothing has changed.
const UNCHANGED_ANSWER_BYTES: u64 = 7;

/// Size, network and timing of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The number of balancers.
    pub balancers: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The maximum delay of a message between processes.
    pub max_delay: Span,
    /// The maximum delay of an update, which is a push or a watch notification.
    pub max_update_delay: Span,
    /// The probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Whether every balancer watches the store; the baseline that gossip is compared with.
    pub all_watch_store: bool,
    /// The settings of the gossip exchanges.
    pub exchange: exchange::GossipSettings,
    /// The failure timeouts of the memberships.
    pub failure_timeouts: FailureTimeouts,
    /// The interval between two announcements of an agent.
    pub announce_interval: Span,
    /// The seed that determines all random choices.
    pub seed: u64,
}

/// A simulated fleet of balancers and agents, with their network and store.
pub struct Fleet {
    config: FleetConfig,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Box<Pending>)>>,
    /// Number of scheduled events, which orders events of the same time.
    scheduled: u64,
    balancers: Vec<Balancer>,
    agents: BTreeMap<Instance, Agent>,
    contract_store: ContractStore,
    partition: Box<dyn Fn(usize, usize) -> bool>,
    /// The revisions that came into force, with the balancer and the time.
    applied: Vec<(Revision, usize, Moment)>,
    /// Number of members reported to outage detectors.
    report_count: usize,
    rng: StdRng,
}

struct Agent {
    entry: MemberEntry,
    is_alive: bool,
}

/// A scheduled event.
#[derive(Debug)]
enum Pending {
    /// The timers of a balancer are due.
    Tick(usize),
    /// A gossip request arrives.
    Request { from: usize, to: usize, message: GossipMessage },
    /// A gossip answer arrives.
    Answer { from: usize, to: usize, message: GossipMessage },
    /// A gossip request has failed.
    Failed { from: usize, to: usize, message: GossipMessage },
    /// Reports for an outage detector arrive.
    Reports { to: usize, reports: Vec<MemberReport> },
    /// An agent announces itself.
    Announce(Instance),
    /// An announcement arrives.
    AnnouncementReceived { to: usize, entry: MemberEntry },
    /// An agent announces a later version, to refute that its entry of this version is suspected or
    /// lost.
    Refute { instance: Instance, version: u32 },
    /// The store answers a list call.
    ListAnswered { to: usize, call_number: u64 },
    /// The store notifies a watch of a revision.
    WatchNotified { to: usize, call_number: u64, revision: Revision },
    /// A call to the store has failed, or a watch has ended.
    StoreFailed { to: usize, call_number: u64 },
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

/// All events compare as equal, so that the queue orders them by time and number alone.
impl Ord for Pending {
    fn cmp(&self, _other: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl Default for FleetConfig {
    /// Returns three balancers in three failure domains and a network that loses no message.
    fn default() -> Self {
        Self {
            balancers: 3,
            domains: 3,
            max_delay: Span::from_millis(2),
            max_update_delay: Span::from_millis(2),
            loss: 0.0,
            all_watch_store: false,
            exchange: exchange::GossipSettings::default(),
            failure_timeouts: FailureTimeouts::default(),
            announce_interval: Span::from_secs(2),
            seed: 1,
        }
    }
}

impl FleetConfig {
    /// Returns the address of the balancer with this index.
    pub fn node(index: usize) -> NodeId {
        let ip = Ipv4Addr::from_bits(0x0a00_0000 + index as u32);
        NodeId::new(SocketAddr::from((ip, 7_000)))
    }

    /// Returns the failure domain of the balancer with this index.
    pub fn domain(&self, index: usize) -> Domain {
        domain(index % self.domains)
    }
}

/// Returns the name of the failure domain with this index.
pub fn domain(index: usize) -> Domain {
    Domain::new(&format!("domain-{index}")).expect("the name is well-formed")
}

impl Fleet {
    /// Starts a fleet whose balancers already know each other.
    pub fn new(config: FleetConfig) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(config.seed),
            now: Moment::default(),
            events: BinaryHeap::new(),
            scheduled: 0,
            balancers: Vec::new(),
            agents: BTreeMap::new(),
            contract_store: ContractStore::default(),
            partition: Box::new(|_, _| false),
            applied: Vec::new(),
            report_count: 0,
            config,
        };
        for index in 0..fleet.config.balancers {
            fleet.add_balancer(index, &[]);
        }
        let peers =
            fleet.balancers.iter().map(|b| GossipEntry::Peer(Arc::new(b.exchange.own().clone())));
        let peers: Vec<GossipEntry> = peers.collect();
        for index in 0..fleet.balancers.len() {
            let message = GossipMessage::Page { items: peers.clone(), next: None };
            let event = exchange::Event::Answer { from: FleetConfig::node(index), message };
            fleet.step_exchange(index, event);
        }
        fleet
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Returns the store.
    pub fn contract_store(&mut self) -> &mut ContractStore {
        &mut self.contract_store
    }

    /// Partitions the network: messages between two balancers are lost when the function returns true
    /// for their indices.
    pub fn set_partition(&mut self, partition: impl Fn(usize, usize) -> bool + 'static) {
        self.partition = Box::new(partition);
    }

    /// Returns the revision of a customer's contract in force on a balancer.
    pub fn contract_revision(&self, index: usize, customer: &Customer) -> Option<Revision> {
        self.balancers[index].registry.get(customer).map(|contract| contract.revision())
    }

    /// Returns the membership of a balancer.
    pub fn membership(&self, index: usize) -> &Membership {
        &self.balancers[index].membership
    }

    /// Returns the gossip exchange of a balancer.
    pub fn exchange(&self, index: usize) -> &Exchange {
        &self.balancers[index].exchange
    }

    /// Returns the revisions that came into force, each with the balancer's index and the time.
    pub fn applied(&self) -> &[(Revision, usize, Moment)] {
        &self.applied
    }

    /// Returns the bytes sent and received by each balancer.
    pub fn traffic_bytes(&self) -> impl Iterator<Item = u64> + '_ {
        self.balancers.iter().map(|balancer| balancer.bytes)
    }

    /// Returns the number of members that registrars have reported to outage detectors, including
    /// repeated reports.
    pub fn report_count(&self) -> usize {
        self.report_count
    }

    /// Returns the number of live balancers that read the store.
    pub fn reader_count(&self) -> usize {
        self.balancers.iter().filter(|b| b.is_alive && b.reader.is_reader()).count()
    }

    /// Writes a contract to the store and applies it on the balancer that received the operator's
    /// request.
    pub fn submit(&mut self, index: usize, contract: Contract<Accepted>) {
        let contract = Arc::new(contract);
        self.contract_store.put(contract.clone());
        self.notify_watches(contract.revision());
        self.step_exchange(index, exchange::Event::Local(GossipEntry::Contract(contract)));
    }

    /// Writes a contract to the store without a balancer.
    pub fn write_contract(&mut self, contract: Contract<Accepted>) {
        let revision = contract.revision();
        self.contract_store.put(Arc::new(contract));
        self.notify_watches(revision);
    }

    /// Pushes an entry, for example an outdated one, to a balancer.
    pub fn push_entry(&mut self, index: usize, item: GossipEntry) {
        let event = exchange::Event::Request(GossipMessage::Push(vec![item]));
        self.step_exchange(index, event);
    }

    /// Starts or ends an outage of the store; the start ends all watches.
    pub fn set_store_down(&mut self, down: bool) {
        self.contract_store.is_down = down;
        if down {
            for (to, call_number) in self.contract_store.end_watches() {
                self.schedule(Span::ZERO, Pending::StoreFailed { to, call_number });
            }
        }
    }

    /// Stops a balancer without notice to its peers.
    pub fn kill(&mut self, index: usize) {
        self.balancers[index].is_alive = false;
    }

    /// Starts a new balancer at the address of an earlier one. `seeds` are the balancers whose
    /// addresses it is given.
    pub fn replace(&mut self, index: usize, seeds: &[usize]) {
        self.add_balancer(index, seeds);
    }

    /// Shuts a balancer down after it has notified its peers.
    pub fn leave(&mut self, index: usize) {
        self.step_exchange(index, exchange::Event::Leave);
        self.balancers[index].is_alive = false;
    }

    /// Adds agents that all balancers already know.
    pub fn add_known_agents(&mut self, entries: Vec<MemberEntry>) {
        let record = |entry: &MemberEntry| {
            let record = MemberRecord { entry: entry.clone(), standing: Liveness::Trusted };
            GossipEntry::Member(Arc::new(record))
        };
        let items: Vec<GossipEntry> = entries.iter().map(record).collect();
        for index in 0..self.balancers.len() {
            let message = GossipMessage::Page { items: items.clone(), next: None };
            let event = exchange::Event::Answer { from: FleetConfig::node(index), message };
            self.step_exchange(index, event);
        }
        entries.into_iter().for_each(|entry| self.add_agent(entry));
    }

    /// Adds an agent that announces itself within the announcement interval.
    pub fn add_agent(&mut self, entry: MemberEntry) {
        let instance = entry.instance;
        self.agents.insert(instance, Agent { entry, is_alive: true });
        let first = self.rng.random_range(0..=self.config.announce_interval.as_micros());
        self.schedule(Span::from_micros(first), Pending::Announce(instance));
    }

    /// Changes the entry of an agent, for example its phase or weight, and increments its version.
    pub fn change_agent(&mut self, instance: Instance, change: impl FnOnce(&mut MemberEntry)) {
        if let Some(agent) = self.agents.get_mut(&instance) {
            change(&mut agent.entry);
            agent.entry.version += 1;
        }
    }

    /// Stops or resumes the announcements of an agent, without notice to the balancers.
    pub fn set_agent_alive(&mut self, instance: Instance, is_alive: bool) {
        if let Some(agent) = self.agents.get_mut(&instance) {
            agent.is_alive = is_alive;
        }
    }

    /// Advances the virtual time and handles the events that are due.
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

    fn add_balancer(&mut self, index: usize, seeds: &[usize]) {
        let node = FleetConfig::node(index);
        let own = Peer {
            node,
            domain: self.config.domain(index),
            incarnation: Incarnation::new(self.now.get() + 1),
            version: 0,
            standing: Liveness::Trusted,
        };
        let seeds: Vec<NodeId> = seeds.iter().copied().map(FleetConfig::node).collect();
        let domain = own.domain.clone();
        let exchange = Exchange::new(own, &seeds, self.config.exchange, self.rng.random());
        let mut reader = StoreReader::new(node, domain, self.rng.random());
        if self.config.all_watch_store {
            reader = reader.always_reading();
        }
        let mut membership = Membership::new(node, self.config.failure_timeouts);
        membership.step(membership::Event::Peers(exchange.peers()), self.now);
        let previous =
            self.balancers.get(index).map_or((0, 0), |old| (old.call_number + 1, old.bytes));
        let balancer = Balancer {
            exchange,
            reader,
            membership,
            registry: Registry::new(),
            is_alive: true,
            call_number: previous.0,
            bytes: previous.1,
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
        self.scheduled += 1;
        self.events.push(Reverse((self.now + after, self.scheduled, Box::new(event))));
    }

    fn handle(&mut self, event: Pending) {
        match event {
            Pending::Tick(index) => self.tick(index),
            Pending::Request { from, to, message } => self.handle_request(from, to, message),
            Pending::Answer { from, to, message } => {
                let message = exchange::Event::Answer { from: FleetConfig::node(from), message };
                self.step_exchange(to, message);
            }
            Pending::Failed { from, to, message } => {
                let event = exchange::Event::Failed { to: FleetConfig::node(to), message };
                self.step_exchange(from, event);
            }
            Pending::Reports { to, reports } => {
                self.report_count += reports.len();
                self.step_membership(to, membership::Event::Reported(reports));
            }
            Pending::Announce(instance) => self.send_announcement(instance),
            Pending::AnnouncementReceived { to, entry } => self.receive_announcement(to, entry),
            Pending::Refute { instance, version } => self.refute(instance, version),
            Pending::ListAnswered { to, call_number } => self.handle_list(to, call_number),
            Pending::WatchNotified { to, call_number, revision } => {
                self.handle_notification(to, call_number, revision)
            }
            Pending::StoreFailed { to, call_number } => {
                if self.balancers[to].call_number == call_number {
                    self.step_reader(to, store_reader::Event::Failed);
                }
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(TICK, Pending::Tick(index));
        self.step_membership(index, membership::Event::Tick);
        self.step_reader(index, store_reader::Event::Tick);
        self.step_exchange(index, exchange::Event::Tick);
    }

    /// Returns a random delay for a message between balancers; `None` when it is lost.
    fn draw_delay(&mut self, from: usize, to: usize, max_delay: Span) -> Option<Span> {
        if (self.partition)(from, to) || self.rng.random_bool(self.config.loss) {
            return None;
        }
        Some(Span::from_micros(self.rng.random_range(0..=max_delay.as_micros())))
    }

    fn count_bytes(&mut self, from: usize, to: usize, bytes: u64) {
        self.balancers[from].bytes += bytes;
        self.balancers[to].bytes += bytes;
    }

    fn send(&mut self, from: usize, to: NodeId, message: GossipMessage) {
        let Some(to) = node_index(to).filter(|&to| to < self.balancers.len()) else { return };
        self.count_bytes(from, to, encoded_size(&message) + REQUEST_HEADER_BYTES);
        let max_delay = if matches!(message, GossipMessage::Push(_)) {
            self.config.max_update_delay
        } else {
            self.config.max_delay
        };
        match self.draw_delay(from, to, max_delay) {
            Some(delay) => self.schedule(delay, Pending::Request { from, to, message }),
            None => self.schedule(CALL_TIMEOUT, Pending::Failed { from, to, message }),
        }
    }

    fn handle_request(&mut self, from: usize, to: usize, message: GossipMessage) {
        if !self.balancers[to].is_alive {
            self.schedule(CALL_TIMEOUT, Pending::Failed { from, to, message });
            return;
        }
        let event = exchange::Event::Request(message.clone());
        let Some(answer) = self.step_exchange(to, event) else { return };
        self.count_bytes(from, to, encoded_size(&answer) + ANSWER_HEADER_BYTES);
        match self.draw_delay(to, from, self.config.max_delay) {
            Some(delay) => {
                self.schedule(delay, Pending::Answer { from: to, to: from, message: answer });
            }
            None => self.schedule(CALL_TIMEOUT, Pending::Failed { from, to, message }),
        }
    }

    fn send_announcement(&mut self, instance: Instance) {
        let interval = self.config.announce_interval;
        self.schedule(interval, Pending::Announce(instance));
        let Some(agent) = self.agents.get(&instance).filter(|agent| agent.is_alive) else { return };
        let entry = agent.entry.clone();
        // Agents learn their registrars from any live balancer.
        let live = self.balancers.iter().find(|balancer| balancer.is_alive);
        let registrars = live.map(|b| b.membership.registrars(instance)).unwrap_or_default();
        for to in registrars.into_iter().filter_map(node_index) {
            if !self.rng.random_bool(self.config.loss) {
                let delay = self.rng.random_range(0..=self.config.max_delay.as_micros());
                let event = Pending::AnnouncementReceived { to, entry: entry.clone() };
                self.schedule(Span::from_micros(delay), event);
            }
        }
    }

    fn receive_announcement(&mut self, to: usize, entry: MemberEntry) {
        if !self.balancers[to].is_alive {
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
        self.balancers[to].bytes +=
            size + REQUEST_HEADER_BYTES + UNCHANGED_ANSWER_BYTES + ANSWER_HEADER_BYTES;
        let refutation = self.balancers[to].membership.refutation(instance, self.now);
        let refutation = refutation.filter(|&version| version >= entry.version);
        self.step_membership(to, membership::Event::Announced(entry));
        if let Some(version) = refutation {
            self.schedule(TICK, Pending::Refute { instance, version });
        }
    }

    fn refute(&mut self, instance: Instance, version: u32) {
        let Some(agent) = self.agents.get_mut(&instance) else { return };
        if agent.is_alive && agent.entry.version <= version {
            agent.entry.version = version + 1;
            self.schedule(Span::ZERO, Pending::Announce(instance));
        }
    }
}

fn node_index(node: NodeId) -> Option<usize> {
    match node.address() {
        SocketAddr::V4(address) => Some((address.ip().to_bits() - 0x0a00_0000) as usize),
        SocketAddr::V6(_) => None,
    }
}

/// Returns the encoded size of a message in bytes.
fn encoded_size(message: &GossipMessage) -> u64 {
    message::encode(message).map_or(0, |bytes| bytes.len() as u64)
}
