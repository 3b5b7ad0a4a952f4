//! The simulation: virtual time, the event queue and the state of all processes and flows.

use {
    super::{
        Counts, Variant,
        agent::Agent,
        balancer::{Balancer, MemberEntry},
        script::{self, Change, SERVICES},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
    },
    yuccacroft_core::{
        directory::Event as ClaimEvent,
        flow::{AgentId, FlowKey, FlowPhase},
        ids::Instance,
        key::Secret,
        ownership::FlowLoad,
        placement::{CandidateChain, ChainPosition, ramp::Ramp},
        tag::{Cipher, TAG_BYTES},
        time::{Moment, Span},
        units::Weight,
    },
};

/// The time after which a caller retransmits a lost packet.
pub const RETRY_INTERVAL: Span = Span::from_millis(100);
/// The number of retransmissions after which a caller gives up.
pub const MAX_RETRIES: u32 = 50;

/// A packet from a balancer to an agent, or between agents.
#[derive(Clone, Copy, Debug)]
pub struct RoutedPacket {
    pub flow: usize,
    pub service: usize,
    pub phase: FlowPhase,
    pub to: AgentId,
    pub chain: CandidateChain,
    pub step: ChainPosition,
    pub hops: u8,
    pub load: Option<FlowLoad>,
    /// Whether the target comes from the tag of the packet.
    pub is_tagged: bool,
    pub tries: u32,
    pub is_attack: bool,
}

/// A timer or a message.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    FlowArrival { service: usize },
    SendPacket { flow: usize, phase: FlowPhase, tries: u32 },
    CheckOpened { flow: usize, tries: u32 },
    NextPacket { flow: usize },
    EndFlow { flow: usize },
    Packet(RoutedPacket),
    Claim { from: AgentId, home: AgentId, key: FlowKey },
    RelayClaim { from: AgentId, key: FlowKey, chain: CandidateChain, position: usize },
    ClaimAnswer { to: AgentId, event: ClaimEvent },
    Publish { home: AgentId, key: FlowKey, owner: AgentId, from: AgentId },
    ReportLoad { to: AgentId, from: AgentId, load: FlowLoad },
    ClaimTick { agent: AgentId },
    RepublishEntries { agent: AgentId },
    UpdateWeight { agent: AgentId },
    UpdateBalancer { balancer: usize, service: usize, entry: MemberEntry },
    UpdateAgent { agent: AgentId, entry: MemberEntry },
    ApplyChange(Change),
    LeaveWhenIdle { agent: AgentId },
    UnlistBalancer { balancer: usize },
    JoinBalancer { balancer: usize },
    SampleImbalance,
}

/// A flow of a caller.
pub struct Flow {
    pub service: usize,
    pub key: FlowKey,
    /// The tag that its owner issued.
    pub tag: Option<[u8; TAG_BYTES]>,
    /// Whether its owner issues a tag.
    pub uses_tags: bool,
    pub owner: Option<AgentId>,
    pub started_at: Moment,
    pub is_long: bool,
    pub has_ended: bool,
}

/// The state of a run. Services, balancers and flows are identified by their index.
pub struct Simulation {
    pub variant: Variant,
    pub now: Moment,
    pub rng: StdRng,
    /// The scheduled events, as time, sequence number and index in `events`.
    pub queue: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    pub events: Vec<Option<Event>>,
    /// The unused indices in `events`.
    pub free_slots: Vec<usize>,
    pub sequence: u64,
    pub balancers: Vec<Balancer>,
    pub agents: BTreeMap<Instance, Agent>,
    pub killed_upstreams: std::collections::BTreeSet<AgentId>,
    pub flows: Vec<Flow>,
    pub ciphers: Vec<Cipher>,
    /// The addresses of removed agents, which new ones may reuse.
    pub released_addresses: VecDeque<Instance>,
    pub next_address: u64,
    pub incarnation: u64,
    pub last_balancer_loss: Moment,
    pub counts: Counts,
}

impl Simulation {
    /// Creates the agents and schedules the script.
    pub fn new(variant: Variant, seed: u64) -> Self {
        let count = 2 * script::BALANCERS_PER_CUSTOMER;
        let cipher = |number| Cipher::new(&Secret::new([number; 32]));
        let mut simulation = Self {
            variant,
            now: Moment::new(1),
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
            balancers: (0..count).map(|_| Balancer::new()).collect(),
            agents: BTreeMap::new(),
            killed_upstreams: Default::default(),
            flows: Vec::new(),
            ciphers: (0..SERVICES.len() as u8).map(cipher).collect(),
            released_addresses: VecDeque::new(),
            next_address: 1,
            incarnation: 1,
            last_balancer_loss: Moment::default(),
            counts: Counts::default(),
        };
        simulation.schedule_script();
        simulation
    }

    /// Runs until the end of the script and returns the counts.
    pub fn run(mut self) -> Counts {
        let end = Moment::default() + script::LENGTH;
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let event = self.events[slot].take().expect("a queued slot is filled");
            self.free_slots.push(slot);
            self.handle_event(event);
        }
        self.counts
    }

    /// Starts the first agents, and schedules the arrivals, the changes and the samples.
    fn schedule_script(&mut self) {
        for (service, spec) in SERVICES.iter().enumerate() {
            for &weight in spec.weights {
                let start = self.now;
                self.start_agent(service, Ramp::new(Weight::new(weight), Span::ZERO, start), true);
            }
            self.schedule(Span::ZERO, Event::FlowArrival { service });
        }
        let mut script = StdRng::seed_from_u64(self.rng.random());
        for (at, change) in script::changes(&mut script) {
            self.schedule(at, Event::ApplyChange(change));
        }
        self.schedule(Span::from_secs(1), Event::SampleImbalance);
    }

    /// Schedules an event after a time.
    pub fn schedule(&mut self, after: Span, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, slot)));
    }

    /// Schedules a message after a random network delay.
    pub fn send_message(&mut self, event: Event) {
        let delay = self.rng.random_range(script::DELAY_MICROS);
        self.schedule(Span::from_micros(delay), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::FlowArrival { service } => self.handle_arrival(service),
            Event::SendPacket { flow, phase, tries } => self.send_packet(flow, phase, tries),
            Event::CheckOpened { flow, tries } => self.check_opened(flow, tries),
            Event::NextPacket { flow } => self.send_next(flow),
            Event::EndFlow { flow } => self.end_flow(flow),
            Event::Packet(packet) => self.handle_packet(packet),
            Event::Claim { from, home, key } => self.handle_claim(from, home, key),
            Event::RelayClaim { from, key, chain, position } => {
                self.handle_relay(from, key, &chain, position)
            }
            Event::ClaimAnswer { to, event } => self.handle_answer(to, event),
            Event::Publish { home, key, owner, from } => {
                self.counts.claim_messages += 1;
                if let Some(agent) = self.agents.get(&home.instance) {
                    agent.table.record_entry(key, owner, from, self.now);
                }
            }
            Event::ReportLoad { to, from, load } => {
                if let Some(agent) = self.agents.get(&to.instance) {
                    agent.table.record_load(from.instance, load, self.now);
                }
            }
            Event::ClaimTick { agent } => self.tick_claims(agent),
            Event::RepublishEntries { agent } => self.republish_entries(agent),
            Event::UpdateWeight { agent } => self.update_weight(agent),
            Event::UpdateBalancer { balancer, service, entry } => {
                self.balancers[balancer].apply(service, entry, self.now);
            }
            Event::UpdateAgent { agent, entry } => self.update_agent(agent, entry),
            Event::ApplyChange(change) => self.apply_change(change),
            Event::LeaveWhenIdle { agent } => self.leave_when_idle(agent),
            Event::UnlistBalancer { balancer } => self.balancers[balancer].is_listed = false,
            Event::JoinBalancer { balancer } => self.join_balancer(balancer),
            Event::SampleImbalance => self.sample_imbalance(),
        }
    }
}
