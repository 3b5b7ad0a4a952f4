//! Simulation of callers, agents and upstreams that exchange requests under faults, in virtual time.
//!
//! The agents use the admission, hand-off and idempotency code of `yuccacroft-core`. One call of
//! [`run`] handles a seeded schedule of events. It counts how often each request ran at the upstream
//! and compares that with the outcomes that callers received.

mod agent;
mod caller;

use {
    agent::Agent,
    caller::{Job, Outcome},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Ordering,
        collections::BinaryHeap,
        net::{Ipv4Addr, SocketAddrV4},
    },
    yuccacroft_core::{
        admission::peers::SiblingLoad,
        fence::LedgerState,
        flow::AgentId,
        ids::{Incarnation, Instance, RequestId},
        time::{Moment, Span},
    },
};

const AGENTS: usize = 5;
/// Slots of each upstream.
const SLOTS: u32 = 3;
/// Mean time between two arrivals. The load is close to the capacity of all upstreams.
const ARRIVAL_MICROS: u64 = 1_400;
/// Maximum delay of a message without faults; the minimum is half of it.
const DELAY_MICROS: u64 = 1_000;
/// Time that an agent needs to restart.
const RESTART_TIME: Span = Span::from_millis(50);
const MAX_FREEZE_MICROS: u64 = 1_500_000;
/// Time for which the idempotency table keeps a key. It is short, so that keys expire within a run,
/// but longer than the delay of a duplicate that names no owner: up to 3 s in the network and several
/// freezes in a row.
pub const KEY_RETENTION: Span = Span::from_secs(30);

/// Probabilities of faults, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// A message is lost.
    pub loss: f64,
    /// A message arrives twice; also the probability that the first copy is delayed by up to
    /// `max_delay`.
    pub duplication: f64,
    /// The maximum delay of duplicates and of delayed messages.
    pub max_delay: Span,
    /// The connection to the upstream breaks before, during or after a request.
    pub disconnection: f64,
    /// An agent is killed and restarted, per arrival.
    pub kill: f64,
    /// An agent is frozen for up to 1.5 s, per arrival.
    pub freeze: f64,
}

/// The enabled mechanisms. Tests disable one at a time to show which violation it prevents.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Keys are looked up in the idempotency table.
    pub idempotency_table: bool,
    /// The idempotency table keeps refusals, and refuses retries of refused requests.
    pub refusal_tombstones: bool,
    /// Duplicate offers are detected, and a fence leaves a tombstone.
    pub ledger: bool,
    /// A request whose reply is missing is fenced before it is offered elsewhere.
    pub fence: bool,
    /// Messages for an earlier incarnation of an agent are refused.
    pub incarnation_check: bool,
    /// Retries name the owner of their key.
    pub owner_routing: bool,
}

/// Counts of requests by outcome, and of violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// All requests; none of them is idempotent.
    pub requests: u32,
    /// Requests whose caller received an answer.
    pub answered: u32,
    /// Requests whose caller got the answer that the request did not run.
    pub not_run: u32,
    /// Requests whose outcome is unknown to their caller.
    pub unknown: u32,
    /// Requests that ran more than once.
    pub duplicates: u32,
    /// Requests that ran although their caller got the answer that they did not.
    pub false_refusals: u32,
    /// Answers that belong to another request or to one that never ran.
    pub wrong_answers: u32,
    /// Requests that were handed off to a sibling and answered.
    pub handed_off: u32,
}

/// The state of a simulation.
struct Simulation {
    now: Moment,
    faults: Faults,
    mechanisms: Mechanisms,
    agents: Vec<Agent>,
    jobs: Vec<Job>,
    events: BinaryHeap<TimedEvent>,
    /// Number of scheduled events, which orders events of the same time.
    scheduled: u64,
    random: StdRng,
    handed_off: u32,
}

struct TimedEvent {
    at: Moment,
    number: u64,
    event: Event,
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends its request for the first time.
    FirstAttempt { job: usize },
    /// A caller's request reaches an agent.
    Request(Attempt),
    /// An outcome reaches a caller.
    Outcome { job: usize, outcome: Outcome, owner: (AgentId, Moment) },
    /// A caller retries its request, unless it is settled or was attempted again since.
    RetryTimeout { job: usize, attempts: u32 },
    /// A request that another agent hands off arrives.
    Offer { from: AgentId, to: AgentId, request_id: RequestId, job: usize, load: SiblingLoad },
    /// The state of an offered request arrives.
    Reply {
        from: AgentId,
        to: AgentId,
        request_id: RequestId,
        state: LedgerState,
        load: SiblingLoad,
    },
    /// A fence for an offered request arrives.
    Fence { from: AgentId, to: AgentId, request_id: RequestId, age: Span },
    /// The reply to an offer or fence is overdue.
    ReplyTimeout { agent: AgentId, request_id: RequestId, sent: Moment },
    /// The upstream answered, or the connection to it broke.
    RunEnded { agent: AgentId, request_id: RequestId, answered: bool },
    /// The deadline of a request has passed.
    Deadline { agent: AgentId, request_id: RequestId },
    /// A timer of an admission controller has fired.
    Wakeup { agent: usize },
}

/// A request on its way from a caller to an agent.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    job: usize,
    agent: usize,
    incarnation: Incarnation,
    owner: Option<(AgentId, Moment)>,
}

/// Simulates `requests` requests under faults and returns their outcomes. The seed determines all
/// random choices.
pub fn run(requests: u32, faults: Faults, mechanisms: Mechanisms, seed: u64) -> Results {
    let mut simulation = Simulation::new(requests, faults, mechanisms, seed);
    while let Some(TimedEvent { at, event, .. }) = simulation.events.pop() {
        simulation.now = at;
        simulation.step(event);
    }
    simulation.results()
}

impl Faults {
    /// No faults.
    pub const NONE: Self = Self {
        loss: 0.0,
        duplication: 0.0,
        max_delay: Span::ZERO,
        disconnection: 0.0,
        kill: 0.0,
        freeze: 0.0,
    };
    /// All kinds of faults, with high probabilities.
    pub const ALL: Self = Self {
        loss: 0.02,
        duplication: 0.05,
        max_delay: Span::from_secs(3),
        disconnection: 0.02,
        kill: 0.001,
        freeze: 0.002,
    };
}

impl Mechanisms {
    /// All mechanisms enabled.
    pub const ALL: Self = Self {
        idempotency_table: true,
        refusal_tombstones: true,
        ledger: true,
        fence: true,
        incarnation_check: true,
        owner_routing: true,
    };
}

impl Simulation {
    fn new(requests: u32, faults: Faults, mechanisms: Mechanisms, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let agents =
            (0..AGENTS).map(|index| Agent::new(agent_id(index, 1), Moment::default(), seed));
        let mut simulation = Self {
            now: Moment::default(),
            faults,
            mechanisms,
            agents: agents.collect(),
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            handed_off: 0,
            random: StdRng::seed_from_u64(random.random()),
        };
        simulation.update_siblings();
        let mut at = Moment::default();
        for job in 0..requests as usize {
            at = at + Span::from_micros(simulation.random.random_range(0..2 * ARRIVAL_MICROS));
            simulation.jobs.push(Job::default());
            simulation.schedule(at, Event::FirstAttempt { job });
        }
        simulation
    }

    fn step(&mut self, event: Event) {
        if let Some(thaw_at) = self.thaw_time(&event) {
            return self.schedule(thaw_at, event);
        }
        match event {
            Event::FirstAttempt { job } => {
                self.inject_faults();
                self.send_first_attempt(job);
            }
            Event::Request(attempt) => self.handle_request(attempt),
            Event::Outcome { job, outcome, owner } => self.handle_outcome(job, outcome, owner),
            Event::RetryTimeout { job, attempts } => self.handle_retry_timeout(job, attempts),
            Event::Offer { from, to, request_id, job, load } => {
                self.handle_offer(from, to, request_id, job, load)
            }
            Event::Reply { from, to, request_id, state, load } => {
                self.handle_reply(from, to, request_id, state, load)
            }
            Event::Fence { from, to, request_id, age } => {
                self.handle_fence(from, to, request_id, age)
            }
            Event::ReplyTimeout { agent, request_id, sent } => {
                self.handle_reply_timeout(agent, request_id, sent)
            }
            Event::RunEnded { agent, request_id, answered } => {
                self.handle_run_end(agent, request_id, answered)
            }
            Event::Deadline { agent, request_id } => self.handle_deadline(agent, request_id),
            Event::Wakeup { agent } => self.handle_wakeup(agent),
        }
    }

    /// Returns when the agent that receives an event resumes; `None` if it is not frozen.
    fn thaw_time(&self, event: &Event) -> Option<Moment> {
        let agent = match event {
            Event::FirstAttempt { .. } | Event::Outcome { .. } | Event::RetryTimeout { .. } => {
                return None;
            }
            Event::Request(attempt) => attempt.agent,
            Event::Offer { to, .. } | Event::Reply { to, .. } | Event::Fence { to, .. } => {
                agent_index(*to)
            }
            Event::ReplyTimeout { agent, .. }
            | Event::RunEnded { agent, .. }
            | Event::Deadline { agent, .. } => agent_index(*agent),
            Event::Wakeup { agent } => *agent,
        };
        let frozen_until = self.agents[agent].frozen_until;
        (self.now < frozen_until).then_some(frozen_until)
    }

    /// Freezes or kills a random agent, with the configured probabilities.
    fn inject_faults(&mut self) {
        let agent = self.random.random_range(0..AGENTS);
        if self.random.random_bool(self.faults.freeze) {
            let span = Span::from_micros(self.random.random_range(0..MAX_FREEZE_MICROS));
            self.agents[agent].frozen_until = self.now + span;
        }
        if self.random.random_bool(self.faults.kill) {
            let incarnation = self.agents[agent].own_id.incarnation.get() + 1;
            self.agents[agent] =
                Agent::new(agent_id(agent, incarnation), self.now, self.random.random());
            self.agents[agent].frozen_until = self.now + RESTART_TIME;
            self.update_siblings();
        }
    }

    /// Gives every agent the current list of its siblings, as the answers to announcements do.
    fn update_siblings(&mut self) {
        let agent_ids: Vec<_> = self.agents.iter().map(|agent| agent.own_id).collect();
        for agent in &mut self.agents {
            let others: Vec<_> =
                agent_ids.iter().copied().filter(|agent_id| *agent_id != agent.own_id).collect();
            agent.peers.replace(&others);
        }
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    fn send(&mut self, event: Event) {
        if self.random.random_bool(self.faults.duplication) {
            let delay = self.draw_fault_delay();
            self.schedule(self.now + delay, event.clone());
        }
        if !self.random.random_bool(self.faults.loss) {
            let delay = self.draw_delay();
            self.schedule(self.now + delay, event);
        }
    }

    /// Returns a random delay for a message.
    fn draw_delay(&mut self) -> Span {
        if self.random.random_bool(self.faults.duplication) {
            return self.draw_fault_delay();
        }
        Span::from_micros(self.random.random_range(DELAY_MICROS / 2..=DELAY_MICROS))
    }

    /// Returns a random delay for a duplicated or delayed message.
    fn draw_fault_delay(&mut self) -> Span {
        Span::from_micros(self.random.random_range(0..=self.faults.max_delay.as_micros()))
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.scheduled += 1;
        self.events.push(TimedEvent { at, number: self.scheduled, event });
    }

    fn results(&self) -> Results {
        let mut results = Results { handed_off: self.handed_off, ..Results::default() };
        for (index, job) in self.jobs.iter().enumerate() {
            results.requests += 1;
            results.duplicates += u32::from(job.runs > 1);
            results.false_refusals += u32::from(job.refused && job.runs > 0);
            match job.outcome {
                Some(Outcome::Answered(body)) => {
                    results.answered += 1;
                    results.wrong_answers += u32::from(body != index || job.runs == 0);
                }
                Some(Outcome::NotRun) => results.not_run += 1,
                Some(Outcome::Unknown) | None => results.unknown += 1,
            }
        }
        results
    }
}

impl Results {
    /// Returns the number of violations.
    pub fn violations(&self) -> u32 {
        self.duplicates + self.false_refusals + self.wrong_answers
    }
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The heap pops the greatest element first, so earlier events compare as greater.
impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

fn agent_id(index: usize, incarnation: u64) -> AgentId {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16);
    AgentId { instance: Instance::new(address), incarnation: Incarnation::new(incarnation) }
}

fn agent_index(agent_id: AgentId) -> usize {
    usize::from(agent_id.instance.address().port())
}
