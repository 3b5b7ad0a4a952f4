//! Callers, agents and upstreams that exchange messages under faults, around the pure decisions.
//!
//! One call of [`run`] is a seeded schedule of timed events. The upstream records what ran, and the
//! verdict compares that record with what callers were told.

mod agent;
mod caller;

use {
    agent::Agent,
    caller::{Job, Told},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Ordering,
        collections::BinaryHeap,
        net::{Ipv4Addr, SocketAddrV4},
    },
    yuccacroft_core::{
        admission::peers::Load,
        fence::State,
        flow::Hop,
        ids::{Incarnation, Instance, RequestId},
        time::{Moment, Span},
    },
};

const AGENTS: usize = 5;
const SLOTS: u32 = 3;
/// Mean time between two arrivals, at which the upstreams are about as busy as they can be.
const ARRIVAL_MICROS: u64 = 1_400;
const DELAY_MICROS: u64 = 1_000;
const RESTART: Span = Span::from_millis(50);
const LONGEST_FREEZE_MICROS: u64 = 1_500_000;
/// Time for which the record keeps a key. It is short, so that keys expire within a run, but longer
/// than a copy without an owner is late: up to 3 s on its way and some freezes in a row.
pub const AGE: Span = Span::from_secs(30);

/// How often things go wrong, as probabilities.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// A message is lost.
    pub loss: f64,
    /// A message arrives twice.
    pub double: f64,
    /// The most by which the second copy, or a slow message, is late.
    pub late: Span,
    /// The connection to the upstream breaks before, during or after a request.
    pub cut: f64,
    /// An agent is killed and restarted, for each arrival.
    pub kill: f64,
    /// An agent is frozen for up to 1.5 s, for each arrival.
    pub freeze: f64,
}

/// The mechanisms, so that a test can show what each of them prevents.
#[derive(Clone, Copy, Debug)]
pub struct Switches {
    /// Keys are looked up in the record.
    pub record: bool,
    /// The record keeps refusals.
    pub tombstone: bool,
    /// Copies of an offer are recognised, and a fence leaves a tombstone.
    pub ledger: bool,
    /// A lost reply is settled by a fence before the request goes elsewhere.
    pub fence: bool,
    /// Messages for an earlier life of an agent are refused.
    pub incarnation: bool,
    /// A retry names the owner of its key.
    pub owner: bool,
}

/// What the judge counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests of all callers, each non-idempotent.
    pub jobs: u32,
    /// Requests whose caller got the answer.
    pub answered: u32,
    /// Requests whose caller was told that they did not run.
    pub not_run: u32,
    /// Requests whose caller does not know.
    pub unknown: u32,
    /// Requests that ran more than once.
    pub duplicates: u32,
    /// Requests that ran although a caller was told that they did not.
    pub false_refusals: u32,
    /// Answers of another request, or of one that never ran.
    pub wrong_answers: u32,
    /// Requests that a sibling ran.
    pub handed_off: u32,
}

/// Everything that takes part.
struct World {
    now: Moment,
    faults: Faults,
    switches: Switches,
    agents: Vec<Agent>,
    jobs: Vec<Job>,
    events: BinaryHeap<Timed>,
    number: u64,
    random: StdRng,
    handed_off: u32,
}

struct Timed {
    at: Moment,
    number: u64,
    event: Event,
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends its request for the first time.
    Begin { job: usize },
    /// A caller's request reaches an agent.
    Request(Ask),
    /// An outcome reaches a caller.
    Outcome { job: usize, told: Told, owner: (Hop, Moment) },
    /// A caller has waited long enough.
    Patience { job: usize, attempt: u32 },
    /// A request of another agent arrives.
    Offer { from: Hop, to: Hop, call: RequestId, job: usize, load: Load },
    /// The state of an offered request arrives.
    Reply { from: Hop, to: Hop, call: RequestId, state: State, load: Load },
    /// A question about an offer arrives.
    Fence { from: Hop, to: Hop, call: RequestId, age: Span },
    /// An offer or fence had time for its reply.
    Silence { agent: Hop, call: RequestId, sent: Moment },
    /// The upstream answered, or the connection broke.
    Ran { agent: Hop, call: RequestId, answered: bool },
    /// A request is due.
    Due { agent: Hop, call: RequestId },
    /// A gate wants to be stepped.
    Wake { agent: usize },
}

/// A request of a caller on its way.
#[derive(Clone, Copy, Debug)]
struct Ask {
    job: usize,
    agent: usize,
    life: Incarnation,
    owner: Option<(Hop, Moment)>,
}

/// Runs `jobs` requests under faults and judges the outcomes.
pub fn run(jobs: u32, faults: Faults, switches: Switches, seed: u64) -> Verdict {
    let mut world = World::new(jobs, faults, switches, seed);
    while let Some(Timed { at, event, .. }) = world.events.pop() {
        world.now = at;
        world.step(event);
    }
    world.verdict()
}

impl Faults {
    /// No faults at all.
    pub const NONE: Self =
        Self { loss: 0.0, double: 0.0, late: Span::ZERO, cut: 0.0, kill: 0.0, freeze: 0.0 };
    /// Every fault, often.
    pub const ALL: Self = Self {
        loss: 0.02,
        double: 0.05,
        late: Span::from_secs(3),
        cut: 0.02,
        kill: 0.001,
        freeze: 0.002,
    };
}

impl Switches {
    /// Every mechanism at work.
    pub const ON: Self = Self {
        record: true,
        tombstone: true,
        ledger: true,
        fence: true,
        incarnation: true,
        owner: true,
    };
}

impl World {
    fn new(jobs: u32, faults: Faults, switches: Switches, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let agents = (0..AGENTS).map(|index| Agent::new(hop(index, 1), Moment::default(), seed));
        let mut world = Self {
            now: Moment::default(),
            faults,
            switches,
            agents: agents.collect(),
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            handed_off: 0,
            random: StdRng::seed_from_u64(random.random()),
        };
        world.introduce();
        let mut at = Moment::default();
        for job in 0..jobs as usize {
            at = at + Span::from_micros(world.random.random_range(0..2 * ARRIVAL_MICROS));
            world.jobs.push(Job::default());
            world.push(at, Event::Begin { job });
        }
        world
    }

    fn step(&mut self, event: Event) {
        if let Some(thawed) = self.thaw(&event) {
            return self.push(thawed, event);
        }
        match event {
            Event::Begin { job } => {
                self.disturb();
                self.begin(job);
            }
            Event::Request(ask) => self.request(ask),
            Event::Outcome { job, told, owner } => self.outcome(job, told, owner),
            Event::Patience { job, attempt } => self.patience(job, attempt),
            Event::Offer { from, to, call, job, load } => self.offer(from, to, call, job, load),
            Event::Reply { from, to, call, state, load } => self.reply(from, to, call, state, load),
            Event::Fence { from, to, call, age } => self.fence(from, to, call, age),
            Event::Silence { agent, call, sent } => self.silence(agent, call, sent),
            Event::Ran { agent, call, answered } => self.ran(agent, call, answered),
            Event::Due { agent, call } => self.due(agent, call),
            Event::Wake { agent } => self.wake(agent),
        }
    }

    /// Returns when the agent that an event is for goes on, if it is frozen now.
    fn thaw(&self, event: &Event) -> Option<Moment> {
        let agent = match event {
            Event::Begin { .. } | Event::Outcome { .. } | Event::Patience { .. } => return None,
            Event::Request(ask) => ask.agent,
            Event::Offer { to, .. } | Event::Reply { to, .. } | Event::Fence { to, .. } => {
                index(*to)
            }
            Event::Silence { agent, .. } | Event::Ran { agent, .. } | Event::Due { agent, .. } => {
                index(*agent)
            }
            Event::Wake { agent } => *agent,
        };
        let frozen = self.agents[agent].frozen;
        (self.now < frozen).then_some(frozen)
    }

    fn disturb(&mut self) {
        let agent = self.random.random_range(0..AGENTS);
        if self.random.random_bool(self.faults.freeze) {
            let span = Span::from_micros(self.random.random_range(0..LONGEST_FREEZE_MICROS));
            self.agents[agent].frozen = self.now + span;
        }
        if self.random.random_bool(self.faults.kill) {
            let life = self.agents[agent].own.incarnation.get() + 1;
            self.agents[agent] = Agent::new(hop(agent, life), self.now, self.random.random());
            self.agents[agent].frozen = self.now + RESTART;
            self.introduce();
        }
    }

    /// Tells every agent its siblings, as announcements do.
    fn introduce(&mut self) {
        let hops: Vec<_> = self.agents.iter().map(|agent| agent.own).collect();
        for agent in &mut self.agents {
            let others: Vec<_> = hops.iter().copied().filter(|hop| *hop != agent.own).collect();
            agent.peers.replace(&others);
        }
    }

    /// Sends a message, which may be lost, late or doubled.
    fn send(&mut self, event: Event) {
        if self.random.random_bool(self.faults.double) {
            let late = self.late();
            self.push(self.now + late, event.clone());
        }
        if !self.random.random_bool(self.faults.loss) {
            let delay = self.delay();
            self.push(self.now + delay, event);
        }
    }

    fn delay(&mut self) -> Span {
        if self.random.random_bool(self.faults.double) {
            return self.late();
        }
        Span::from_micros(self.random.random_range(DELAY_MICROS / 2..=DELAY_MICROS))
    }

    fn late(&mut self) -> Span {
        Span::from_micros(self.random.random_range(0..=self.faults.late.as_micros()))
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.number += 1;
        self.events.push(Timed { at, number: self.number, event });
    }

    fn verdict(&self) -> Verdict {
        let mut verdict = Verdict { handed_off: self.handed_off, ..Verdict::default() };
        for (index, job) in self.jobs.iter().enumerate() {
            verdict.jobs += 1;
            verdict.duplicates += u32::from(job.runs > 1);
            verdict.false_refusals += u32::from(job.refused && job.runs > 0);
            match job.told {
                Some(Told::Answered(body)) => {
                    verdict.answered += 1;
                    verdict.wrong_answers += u32::from(body != index || job.runs == 0);
                }
                Some(Told::NotRun) => verdict.not_run += 1,
                Some(Told::Unknown) | None => verdict.unknown += 1,
            }
        }
        verdict
    }
}

impl Verdict {
    /// Returns the number of broken promises.
    pub fn faults(&self) -> u32 {
        self.duplicates + self.false_refusals + self.wrong_answers
    }
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The heap gives the greatest first, so the earliest event is the greatest.
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

fn hop(index: usize, life: u64) -> Hop {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16);
    Hop { instance: Instance::new(address), incarnation: Incarnation::new(life) }
}

fn index(hop: Hop) -> usize {
    usize::from(hop.instance.address().port())
}
