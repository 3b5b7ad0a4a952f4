//! The policy: the gates and peers of all agents with messages between them as timed events.

use {
    super::{
        load::{Arrival, Fleet},
        outcome::{Fate, Outcomes},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        net::{Ipv4Addr, SocketAddrV4},
    },
    yuccacroft_core::{
        admission::{
            Action, AdmissionController, Event, Settings, SlotRequest,
            class::Class,
            limit::AttemptOutcome,
            peers::{Load, Peers},
        },
        controller::Controller,
        flow::Hop,
        ids::{Incarnation, Instance, RequestId},
        time::{Moment, Span},
        units::Slots,
    },
};

/// Longest one-way delay between failure domains; the shortest is half of it.
const DELAY_MICROS: u64 = 1_000;
/// Siblings that are offered one request, as in the agent.
const OFFERS: usize = 3;

/// The terms under which a run is made, from the contract's defaults.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Longest wait for a slot.
    pub wait: Span,
    /// Time for an answer.
    pub deadline: Span,
}

struct Agent {
    gate: AdmissionController,
    peers: Peers<StdRng>,
    short: Class,
    long: Class,
    woken: Moment,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Done { agent: usize, index: usize },
    Offer { from: usize, to: usize, index: usize },
    Reply { from: usize, to: usize, index: usize, load: Told, ran: Option<Span> },
    Wake(usize),
}

/// A load as part of an ordered event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Told(u32, u32, u32, u64);

struct Trial {
    tried: Vec<Hop>,
    origin: usize,
}

/// One run of the policy.
pub struct Run<'a> {
    fleet: &'a Fleet,
    terms: Terms,
    arrivals: &'a [Arrival],
    agents: Vec<Agent>,
    trials: HashMap<usize, Trial>,
    steps: BinaryHeap<Reverse<(Moment, u64, Step)>>,
    number: u64,
    random: StdRng,
    outcomes: Outcomes,
    measured: Moment,
}

impl<'a> Run<'a> {
    /// Prepares a run. Busy time counts from `measured` on.
    pub fn new(
        fleet: &'a Fleet,
        terms: Terms,
        arrivals: &'a [Arrival],
        measured: Moment,
        seed: u64,
    ) -> Self {
        let count = fleet.speeds.len();
        let agents = (0..count).map(|index| agent(fleet, terms, index, count, seed)).collect();
        let fates = vec![None; arrivals.len()];
        Self {
            fleet,
            terms,
            arrivals,
            agents,
            trials: HashMap::new(),
            steps: BinaryHeap::new(),
            number: 0,
            random: StdRng::seed_from_u64(seed),
            outcomes: Outcomes { fates, busy: vec![0; count] },
            measured,
        }
    }

    /// Runs until every arrival has its fate.
    pub fn finish(mut self) -> Outcomes {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.push(arrival.at, Step::Arrive(index));
        }
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            self.step(step, now);
        }
        self.outcomes
    }

    fn step(&mut self, step: Step, now: Moment) {
        match step {
            Step::Arrive(index) => {
                let origin = self.arrivals[index].agent;
                self.trials.insert(index, Trial { tried: Vec::new(), origin });
                self.ask(origin, index, now);
            }
            Step::Done { agent, index } => self.done(agent, index, now),
            Step::Offer { from, to, index } => self.offered(from, to, index, now),
            Step::Reply { from, to, index, load, ran } => {
                self.replied(from, to, index, load, ran, now);
            }
            Step::Wake(agent) => {
                self.agents[agent].woken = Moment::new(u64::MAX);
                self.gate(agent, Event::Tick, now);
            }
        }
    }

    /// Asks the own gate, and offers to a sibling what does not start at once.
    fn ask(&mut self, agent: usize, index: usize, now: Moment) {
        let ask = self.ask_of(agent, index, true);
        let actions = self.gate(agent, Event::Acquire(ask), now);
        let waits = actions.contains(&Action::Wait(ask.call))
            && !actions.contains(&Action::Start(ask.call));
        let refused =
            actions.iter().any(|a| matches!(a, Action::Refuse(call, _) if *call == ask.call));
        if !waits && !refused {
            return;
        }
        let trial = &self.trials[&index];
        let hop = if trial.tried.len() >= OFFERS {
            None
        } else {
            self.agents[agent].peers.pick(&trial.tried, now)
        };
        match hop {
            None if refused => self.end(index, Fate::Refused),
            None => {}
            Some(hop) => {
                if waits {
                    self.gate(agent, Event::Withdraw(ask.call), now);
                }
                if let Some(trial) = self.trials.get_mut(&index) {
                    trial.tried.push(hop);
                }
                let at = now + self.delay();
                self.push(at, Step::Offer { from: agent, to: number(hop), index });
            }
        }
    }

    /// Offers a request that waited in vain to a sibling that has not refused it yet.
    fn late(&mut self, agent: usize, index: usize, now: Moment) {
        let Some(trial) = self.trials.get_mut(&index) else { return };
        let hop = if trial.tried.len() >= OFFERS {
            None
        } else {
            self.agents[agent].peers.pick(&trial.tried, now)
        };
        let Some(hop) = hop else { return self.end(index, Fate::Refused) };
        trial.tried.push(hop);
        let at = now + self.delay();
        self.push(at, Step::Offer { from: agent, to: number(hop), index });
    }

    fn offered(&mut self, from: usize, to: usize, index: usize, now: Moment) {
        let load = self.agents[from].gate.load(now);
        self.agents[to].peers.record_load(hop(from), load, true, now);
        let ask = self.ask_of(to, index, false);
        let actions = self.gate(to, Event::Acquire(ask), now);
        if !actions.contains(&Action::Start(ask.call)) {
            self.reply(to, from, index, None, now);
        }
    }

    fn replied(
        &mut self,
        from: usize,
        to: usize,
        index: usize,
        load: Told,
        ran: Option<Span>,
        now: Moment,
    ) {
        let peers = &mut self.agents[to].peers;
        peers.record_load(hop(from), load.load(), ran.is_some(), now);
        peers.offer_ended(hop(from));
        match ran {
            Some(service) => self.end(index, Fate::Answered(now, service)),
            None => {
                self.ask(to, index, now);
            }
        }
    }

    fn done(&mut self, agent: usize, index: usize, now: Moment) {
        let service = self.service(agent, index);
        let begin = (now - service).max(self.measured);
        self.outcomes.busy[agent] += now.since(begin).as_micros();
        self.gate(agent, Event::Finish(call(index), AttemptOutcome::Answered), now);
        let origin = self.trials[&index].origin;
        if origin == agent {
            self.end(index, Fate::Answered(now, service));
        } else {
            self.reply(agent, origin, index, Some(service), now);
        }
    }

    fn reply(&mut self, from: usize, to: usize, index: usize, ran: Option<Span>, now: Moment) {
        let load = Told::new(self.agents[from].gate.load(now));
        let at = now + self.delay();
        self.push(at, Step::Reply { from, to, index, load, ran });
    }

    /// Steps a gate and carries its actions out.
    fn gate(&mut self, agent: usize, event: Event, now: Moment) -> Vec<Action> {
        let asked = if let Event::Acquire(ask) = event { Some(ask.call) } else { None };
        let actions = self.agents[agent].gate.step(event, now);
        for action in &actions {
            match *action {
                Action::Start(call) => {
                    let index = call.get() as usize;
                    let at = now + self.service(agent, index);
                    self.push(at, Step::Done { agent, index });
                }
                Action::Refuse(call, _) if Some(call) != asked => {
                    self.late(agent, call.get() as usize, now);
                }
                Action::Refuse(..) | Action::Wait(_) | Action::Withdrawn(_) => {}
            }
        }
        self.schedule(agent, now);
        actions
    }

    fn schedule(&mut self, agent: usize, now: Moment) {
        let Some(wake) = self.agents[agent].gate.next_wakeup(now) else { return };
        if wake < self.agents[agent].woken {
            self.agents[agent].woken = wake;
            self.push(wake.max(now), Step::Wake(agent));
        }
    }

    fn ask_of(&self, agent: usize, index: usize, may_wait: bool) -> SlotRequest {
        let arrival = &self.arrivals[index];
        let class = if arrival.long { self.agents[agent].long } else { self.agents[agent].short };
        let deadline = arrival.at + self.terms.deadline;
        SlotRequest { call: call(index), class, since: arrival.at, deadline, may_wait }
    }

    fn service(&self, agent: usize, index: usize) -> Span {
        let work = self.arrivals[index].work.as_micros() as f64;
        Span::from_micros((work / self.fleet.speeds[agent]) as u64)
    }

    fn delay(&mut self) -> Span {
        Span::from_micros(self.random.random_range(DELAY_MICROS / 2..=DELAY_MICROS))
    }

    fn end(&mut self, index: usize, fate: Fate) {
        if self.trials.remove(&index).is_some() {
            self.outcomes.fates[index] = Some(fate);
        }
    }

    fn push(&mut self, at: Moment, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }
}

impl Told {
    fn new(load: Load) -> Self {
        let Load { running, waiting, limit, service } = load;
        Self(running.get(), waiting, limit.get(), service.as_micros())
    }

    fn load(self) -> Load {
        Load {
            running: Slots::new(self.0),
            waiting: self.1,
            limit: Slots::new(self.2),
            service: Span::from_micros(self.3),
        }
    }
}

fn agent(fleet: &Fleet, terms: Terms, index: usize, count: usize, seed: u64) -> Agent {
    let slots = Slots::new(fleet.slots);
    let settings = Settings { slots, wait: terms.wait, warmup: Span::ZERO };
    let mut gate = AdmissionController::new(settings, Moment::default());
    let (short, long) = (gate.classify("POST", "/reserve"), gate.classify("GET", "/render"));
    let mut peers = Peers::new(StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32));
    let others: Vec<_> = (0..count).filter(|&other| other != index).map(hop).collect();
    peers.replace(&others);
    Agent { gate, peers, short, long, woken: Moment::new(u64::MAX) }
}

fn hop(index: usize) -> Hop {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16);
    Hop { instance: Instance::new(address), incarnation: Incarnation::new(1) }
}

fn number(hop: Hop) -> usize {
    usize::from(hop.instance.address().port())
}

fn call(index: usize) -> RequestId {
    RequestId::new(index as u128)
}
