//! The policy: the admission controllers and peers of all agents. The messages between them are timed
//! events.

use {
    super::{
        load::{Arrival, Fleet},
        outcome::{Outcome, RunResult},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        net::{Ipv4Addr, SocketAddrV4},
    },
    yuccacroft_core::{
        admission::{
            Action, AdmissionController, AdmissionSettings, Event, SlotRequest,
            class::Class,
            limit::AttemptOutcome,
            peers::{Peers, SiblingLoad},
        },
        controller::Controller,
        flow::AgentId,
        ids::{Incarnation, Instance, RequestId},
        time::{Moment, Span},
        units::Slots,
    },
};

/// The longest one-way delay between failure domains. The shortest is half of it.
const DELAY_MICROS: u64 = 1_000;
/// The maximum number of siblings to which one request is offered, as in the agent.
const MAX_OFFERS: usize = 3;

/// The terms of the contract, with its default values.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The longest wait for a slot.
    pub wait: Span,
    /// The time from arrival within which a request must be answered.
    pub deadline: Span,
}

/// An agent with its upstream.
struct Agent {
    controller: AdmissionController,
    peers: Peers<StdRng>,
    short: Class,
    long: Class,
    /// The time of the scheduled wakeup, or the maximum if there is none.
    next_wakeup_at: Moment,
}

/// An event of the simulation. `index` is the index of the arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize),
    Completion { agent: usize, index: usize },
    Offer { from: usize, to: usize, index: usize },
    Reply { from: usize, to: usize, index: usize, load: OrderedLoad, service_time: Option<Span> },
    Wakeup(usize),
}

/// A load that can be ordered, as part of an event: running, waiting, limit, and service time in
/// microseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedLoad(u32, u32, u32, u64);

/// A request without an outcome.
struct PendingRequest {
    /// The siblings to which it was offered.
    offered_to: Vec<AgentId>,
    /// The agent that received it.
    origin: usize,
}

/// One run of the policy.
pub struct Run<'a> {
    fleet: &'a Fleet,
    terms: Terms,
    arrivals: &'a [Arrival],
    agents: Vec<Agent>,
    pending: HashMap<usize, PendingRequest>,
    queue: BinaryHeap<Reverse<(Moment, u64, SimulationEvent)>>,
    sequence: u64,
    rng: StdRng,
    result: RunResult,
    measured_from: Moment,
}

impl<'a> Run<'a> {
    /// Prepares a run. Busy time counts from `measured_from` on.
    pub fn new(
        fleet: &'a Fleet,
        terms: Terms,
        arrivals: &'a [Arrival],
        measured_from: Moment,
        seed: u64,
    ) -> Self {
        let count = fleet.speeds.len();
        let agents = (0..count).map(|index| new_agent(fleet, terms, index, count, seed)).collect();
        let outcomes = vec![None; arrivals.len()];
        Self {
            fleet,
            terms,
            arrivals,
            agents,
            pending: HashMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            result: RunResult { outcomes, busy_micros: vec![0; count] },
            measured_from,
        }
    }

    /// Runs until every arrival has an outcome.
    pub fn finish(mut self) -> RunResult {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.schedule(arrival.at, SimulationEvent::Arrival(index));
        }
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            self.handle_event(event, now);
        }
        self.result
    }

    fn handle_event(&mut self, event: SimulationEvent, now: Moment) {
        match event {
            SimulationEvent::Arrival(index) => {
                let origin = self.arrivals[index].agent;
                self.pending.insert(index, PendingRequest { offered_to: Vec::new(), origin });
                self.acquire_slot(origin, index, now);
            }
            SimulationEvent::Completion { agent, index } => {
                self.handle_completion(agent, index, now)
            }
            SimulationEvent::Offer { from, to, index } => self.handle_offer(from, to, index, now),
            SimulationEvent::Reply { from, to, index, load, service_time } => {
                self.handle_reply(from, to, index, load, service_time, now);
            }
            SimulationEvent::Wakeup(agent) => {
                self.agents[agent].next_wakeup_at = Moment::new(u64::MAX);
                self.step_controller(agent, Event::Tick, now);
            }
        }
    }

    /// Requests a slot from the agent's own controller. If the request does not start at once, offers it
    /// to a sibling.
    fn acquire_slot(&mut self, agent: usize, index: usize, now: Moment) {
        let slot_request = self.slot_request(agent, index, true);
        let actions = self.step_controller(agent, Event::Acquire(slot_request), now);
        let waits = actions.contains(&Action::Wait(slot_request.request_id))
            && !actions.contains(&Action::Start(slot_request.request_id));
        let refused = actions
            .iter()
            .any(|a| matches!(a, Action::Refuse(request_id, _) if *request_id == slot_request.request_id));
        if !waits && !refused {
            return;
        }
        let request = &self.pending[&index];
        let agent_id = if request.offered_to.len() >= MAX_OFFERS {
            None
        } else {
            self.agents[agent].peers.pick(&request.offered_to, now)
        };
        match agent_id {
            None if refused => self.record_outcome(index, Outcome::Refused),
            None => {}
            Some(agent_id) => {
                if waits {
                    self.step_controller(agent, Event::Withdraw(slot_request.request_id), now);
                }
                if let Some(request) = self.pending.get_mut(&index) {
                    request.offered_to.push(agent_id);
                }
                let at = now + self.delay();
                self.schedule(
                    at,
                    SimulationEvent::Offer { from: agent, to: agent_index(agent_id), index },
                );
            }
        }
    }

    /// Offers a request that was refused after a wait to the next sibling.
    fn offer_refused(&mut self, agent: usize, index: usize, now: Moment) {
        let Some(request) = self.pending.get_mut(&index) else { return };
        let agent_id = if request.offered_to.len() >= MAX_OFFERS {
            None
        } else {
            self.agents[agent].peers.pick(&request.offered_to, now)
        };
        let Some(agent_id) = agent_id else { return self.record_outcome(index, Outcome::Refused) };
        request.offered_to.push(agent_id);
        let at = now + self.delay();
        self.schedule(at, SimulationEvent::Offer { from: agent, to: agent_index(agent_id), index });
    }

    /// Handles an offer at the sibling `to`, which starts the request or refuses it at once.
    fn handle_offer(&mut self, from: usize, to: usize, index: usize, now: Moment) {
        let load = self.agents[from].controller.load(now);
        self.agents[to].peers.record_load(agent_id(from), load, true, now);
        let slot_request = self.slot_request(to, index, false);
        let actions = self.step_controller(to, Event::Acquire(slot_request), now);
        if !actions.contains(&Action::Start(slot_request.request_id)) {
            self.send_reply(to, from, index, None, now);
        }
    }

    /// Handles the reply to an offer at the agent `to`. `service_time` is `None` if the sibling refused.
    fn handle_reply(
        &mut self,
        from: usize,
        to: usize,
        index: usize,
        load: OrderedLoad,
        service_time: Option<Span>,
        now: Moment,
    ) {
        let peers = &mut self.agents[to].peers;
        peers.record_load(agent_id(from), load.load(), service_time.is_some(), now);
        peers.offer_ended(agent_id(from));
        match service_time {
            Some(service) => self.record_outcome(index, Outcome::Answered(now, service)),
            None => {
                self.acquire_slot(to, index, now);
            }
        }
    }

    /// Handles the end of a request at the upstream of an agent.
    fn handle_completion(&mut self, agent: usize, index: usize, now: Moment) {
        let service = self.service_time(agent, index);
        let begin = (now - service).max(self.measured_from);
        self.result.busy_micros[agent] += now.since(begin).as_micros();
        self.step_controller(
            agent,
            Event::Finish(request_id(index), AttemptOutcome::Answered),
            now,
        );
        let origin = self.pending[&index].origin;
        if origin == agent {
            self.record_outcome(index, Outcome::Answered(now, service));
        } else {
            self.send_reply(agent, origin, index, Some(service), now);
        }
    }

    fn send_reply(
        &mut self,
        from: usize,
        to: usize,
        index: usize,
        service_time: Option<Span>,
        now: Moment,
    ) {
        let load = OrderedLoad::new(self.agents[from].controller.load(now));
        let at = now + self.delay();
        self.schedule(at, SimulationEvent::Reply { from, to, index, load, service_time });
    }

    /// Steps the controller of an agent and executes its actions.
    fn step_controller(&mut self, agent: usize, event: Event, now: Moment) -> Vec<Action> {
        let acquiring = if let Event::Acquire(slot_request) = event {
            Some(slot_request.request_id)
        } else {
            None
        };
        let actions = self.agents[agent].controller.step(event, now);
        for action in &actions {
            match *action {
                Action::Start(request_id) => {
                    let index = request_id.get() as usize;
                    let at = now + self.service_time(agent, index);
                    self.schedule(at, SimulationEvent::Completion { agent, index });
                }
                Action::Refuse(request_id, _) if Some(request_id) != acquiring => {
                    self.offer_refused(agent, request_id.get() as usize, now);
                }
                Action::Refuse(..) | Action::Wait(_) | Action::Withdrawn(_) => {}
            }
        }
        self.schedule_wakeup(agent, now);
        actions
    }

    /// Schedules the next wakeup of an agent, unless an earlier one is scheduled.
    fn schedule_wakeup(&mut self, agent: usize, now: Moment) {
        let Some(wake) = self.agents[agent].controller.next_wakeup(now) else { return };
        if wake < self.agents[agent].next_wakeup_at {
            self.agents[agent].next_wakeup_at = wake;
            self.schedule(wake.max(now), SimulationEvent::Wakeup(agent));
        }
    }

    fn slot_request(&self, agent: usize, index: usize, may_wait: bool) -> SlotRequest {
        let arrival = &self.arrivals[index];
        let class =
            if arrival.is_long { self.agents[agent].long } else { self.agents[agent].short };
        let deadline = arrival.at + self.terms.deadline;
        SlotRequest { request_id: request_id(index), class, since: arrival.at, deadline, may_wait }
    }

    fn service_time(&self, agent: usize, index: usize) -> Span {
        let work = self.arrivals[index].work.as_micros() as f64;
        Span::from_micros((work / self.fleet.speeds[agent]) as u64)
    }

    fn delay(&mut self) -> Span {
        Span::from_micros(self.rng.random_range(DELAY_MICROS / 2..=DELAY_MICROS))
    }

    fn record_outcome(&mut self, index: usize, outcome: Outcome) {
        if self.pending.remove(&index).is_some() {
            self.result.outcomes[index] = Some(outcome);
        }
    }

    fn schedule(&mut self, at: Moment, event: SimulationEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }
}

impl OrderedLoad {
    fn new(load: SiblingLoad) -> Self {
        let SiblingLoad { running, waiting, limit, service } = load;
        Self(running.get(), waiting, limit.get(), service.as_micros())
    }

    fn load(self) -> SiblingLoad {
        SiblingLoad {
            running: Slots::new(self.0),
            waiting: self.1,
            limit: Slots::new(self.2),
            service: Span::from_micros(self.3),
        }
    }
}

fn new_agent(fleet: &Fleet, terms: Terms, index: usize, count: usize, seed: u64) -> Agent {
    let slots = Slots::new(fleet.slots);
    let settings = AdmissionSettings { slots, wait: terms.wait, warmup: Span::ZERO };
    let mut controller = AdmissionController::new(settings, Moment::default());
    let (short, long) =
        (controller.classify("POST", "/reserve"), controller.classify("GET", "/render"));
    let mut peers = Peers::new(StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32));
    let others: Vec<_> = (0..count).filter(|&other| other != index).map(agent_id).collect();
    peers.replace(&others);
    Agent { controller, peers, short, long, next_wakeup_at: Moment::new(u64::MAX) }
}

fn agent_id(index: usize) -> AgentId {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16);
    AgentId { instance: Instance::new(address), incarnation: Incarnation::new(1) }
}

fn agent_index(agent_id: AgentId) -> usize {
    usize::from(agent_id.instance.address().port())
}

fn request_id(index: usize) -> RequestId {
    RequestId::new(index as u128)
}
