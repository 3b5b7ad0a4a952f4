//! Virtual time, messages, callers and the script.

use {
    super::{
        Counts, Variant,
        agent::Agent,
        balancer::{Balancer, Entry},
        script::{self, Change, SERVICES},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
    },
    yuccacroft_core::{
        directory::Event as Claim,
        flow::{Hop, Key, Phase},
        ids::Instance,
        key::Secret,
        ownership::Load,
        placement::{Chain, Step, ramp::Ramp},
        tag::{Cipher, TAG_BYTES},
        time::{Moment, Span},
        units::Weight,
    },
};

pub const RETRY: Span = Span::from_millis(100);
pub const MAX_TRIES: u32 = 50;

/// A packet between balancer and agent, or between agents.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub flow: usize,
    pub service: usize,
    pub phase: Phase,
    pub to: Hop,
    pub chain: Chain,
    pub step: Step,
    pub hops: u8,
    pub load: Option<Load>,
    pub tagged: bool,
    pub tries: u32,
    pub attack: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Mail {
    Arrive { service: usize },
    Send { flow: usize, phase: Phase, tries: u32 },
    Check { flow: usize, tries: u32 },
    Next { flow: usize },
    End { flow: usize },
    Packet(Sent),
    Ask { from: Hop, home: Hop, key: Key },
    Relay { from: Hop, key: Key, chain: Chain, position: usize },
    Answer { to: Hop, event: Claim },
    Publish { home: Hop, key: Key, owner: Hop, from: Hop },
    LoadOf { to: Hop, from: Hop, load: Load },
    Tick { agent: Hop },
    Refresh { agent: Hop },
    Announce { agent: Hop },
    View { balancer: usize, service: usize, entry: Entry },
    AgentView { agent: Hop, entry: Entry },
    Change(Change),
    Leave { agent: Hop },
    Unlist { balancer: usize },
    Join { balancer: usize },
    Sample,
}

pub struct Flow {
    pub service: usize,
    pub key: Key,
    pub tag: Option<[u8; TAG_BYTES]>,
    pub tagged: bool,
    pub owner: Option<Hop>,
    pub begun: Moment,
    pub long: bool,
    pub done: bool,
}

pub struct World {
    pub variant: Variant,
    pub now: Moment,
    pub rng: StdRng,
    pub queue: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    pub slots: Vec<Option<Mail>>,
    pub free: Vec<usize>,
    pub sequence: u64,
    pub balancers: Vec<Balancer>,
    pub agents: BTreeMap<Instance, Agent>,
    pub killed: std::collections::BTreeSet<Hop>,
    pub flows: Vec<Flow>,
    pub ciphers: Vec<Cipher>,
    pub released: VecDeque<Instance>,
    pub next_address: u64,
    pub incarnation: u64,
    pub balancer_lost: Moment,
    pub counts: Counts,
}

impl World {
    pub fn new(variant: Variant, seed: u64) -> Self {
        let count = 2 * script::BALANCERS_PER_CUSTOMER;
        let cipher = |number| Cipher::new(&Secret::new([number; 32]));
        let mut world = Self {
            variant,
            now: Moment::new(1),
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            sequence: 0,
            balancers: (0..count).map(|_| Balancer::new()).collect(),
            agents: BTreeMap::new(),
            killed: Default::default(),
            flows: Vec::new(),
            ciphers: (0..SERVICES.len() as u8).map(cipher).collect(),
            released: VecDeque::new(),
            next_address: 1,
            incarnation: 1,
            balancer_lost: Moment::default(),
            counts: Counts::default(),
        };
        world.prepare();
        world
    }

    /// Runs the script to its end.
    pub fn run(mut self) -> Counts {
        let end = Moment::default() + script::LENGTH;
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let mail = self.slots[slot].take().expect("a queued slot is filled");
            self.free.push(slot);
            self.receive(mail);
        }
        self.counts
    }

    fn prepare(&mut self) {
        for (service, spec) in SERVICES.iter().enumerate() {
            for &weight in spec.weights {
                let start = self.now;
                self.start_agent(service, Ramp::new(Weight::new(weight), Span::ZERO, start), true);
            }
            self.at(Span::ZERO, Mail::Arrive { service });
        }
        let mut script = StdRng::seed_from_u64(self.rng.random());
        for (at, change) in script::changes(&mut script) {
            self.at(at, Mail::Change(change));
        }
        self.at(Span::from_secs(1), Mail::Sample);
    }

    pub fn at(&mut self, after: Span, mail: Mail) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(mail);
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, slot)));
    }

    pub fn mail(&mut self, mail: Mail) {
        let delay = self.rng.random_range(script::DELAY_MICROS);
        self.at(Span::from_micros(delay), mail);
    }

    fn receive(&mut self, mail: Mail) {
        match mail {
            Mail::Arrive { service } => self.arrive(service),
            Mail::Send { flow, phase, tries } => self.send(flow, phase, tries),
            Mail::Check { flow, tries } => self.check(flow, tries),
            Mail::Next { flow } => self.next(flow),
            Mail::End { flow } => self.end(flow),
            Mail::Packet(sent) => self.packet(sent),
            Mail::Ask { from, home, key } => self.ask(from, home, key),
            Mail::Relay { from, key, chain, position } => self.relay(from, key, &chain, position),
            Mail::Answer { to, event } => self.answer(to, event),
            Mail::Publish { home, key, owner, from } => {
                self.counts.claims += 1;
                if let Some(agent) = self.agents.get(&home.instance) {
                    agent.table.record_entry(key, owner, from, self.now);
                }
            }
            Mail::LoadOf { to, from, load } => {
                if let Some(agent) = self.agents.get(&to.instance) {
                    agent.table.record_load(from.instance, load, self.now);
                }
            }
            Mail::Tick { agent } => self.tick(agent),
            Mail::Refresh { agent } => self.refresh(agent),
            Mail::Announce { agent } => self.announce(agent),
            Mail::View { balancer, service, entry } => {
                self.balancers[balancer].learn(service, entry, self.now);
            }
            Mail::AgentView { agent, entry } => self.agent_view(agent, entry),
            Mail::Change(change) => self.change(change),
            Mail::Leave { agent } => self.leave(agent),
            Mail::Unlist { balancer } => self.balancers[balancer].listed = false,
            Mail::Join { balancer } => self.join(balancer),
            Mail::Sample => self.sample(),
        }
    }
}
