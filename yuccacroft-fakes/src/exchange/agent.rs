//! Agents around the pure decisions, in the order of calls of the running agent.

use {
    super::{AGE, Ask, Event, SLOTS, World, caller::Told, index},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, sync::Arc},
    yuccacroft_core::{
        admission::{
            self, Action, AdmissionController, Settings,
            class::Class,
            limit::AttemptOutcome,
            peers::{Load, Peers},
        },
        controller::Controller,
        fence::{FenceProof, Ledger, OfferResult, State},
        flow::Hop,
        idempotency::{
            Answer, Bounds, Fingerprint, IdempotencyTable, Key, Lookup, OwnerClaim, RunOutcome,
        },
        ids::RequestId,
        request::{Dispatched, Effect, Offered, Queued, Reason, Request},
        time::{Moment, Span},
        units::{Count, Size, Slots},
    },
};

const DEADLINE: Span = Span::from_millis(1_000);
const WAIT: Span = Span::from_millis(300);
const SILENCE: Span = Span::from_millis(200);
const FENCES: u32 = 3;
const OFFERS: usize = 3;
const SERVICE_MICROS: std::ops::Range<u64> = 2_000..40_000;

pub(super) struct Agent {
    pub own: Hop,
    pub frozen: Moment,
    pub peers: Peers<StdRng>,
    gate: AdmissionController,
    class: Class,
    record: IdempotencyTable,
    ledger: Ledger,
    held: HashMap<RequestId, Held>,
    joined: HashMap<RequestId, Vec<Origin>>,
    woken: Moment,
}

struct Held {
    job: usize,
    stage: Stage,
    origin: Origin,
    since: Moment,
    deadline: Moment,
    tried: Vec<Hop>,
}

enum Stage {
    Waiting(Request<Queued>),
    Offered { request: Request<Offered>, to: Hop, sent: Moment, silent: u32 },
    Running(Request<Dispatched>),
    Moving,
}

#[derive(Clone, Copy)]
enum Origin {
    Caller { job: usize, owner: (Hop, Moment) },
    Sibling(Hop),
}

impl Agent {
    pub fn new(own: Hop, now: Moment, seed: u64) -> Self {
        let settings = Settings { slots: Slots::new(SLOTS), wait: WAIT, warmup: Span::ZERO };
        let mut gate = AdmissionController::new(settings, now);
        let class = gate.classify("POST", "/reserve");
        let bounds = Bounds { entries: Count::new(1 << 20), bytes: Size::new(1 << 20), age: AGE };
        Self {
            own,
            frozen: now,
            peers: Peers::new(StdRng::seed_from_u64(seed ^ own.instance.to_bits())),
            gate,
            class,
            record: IdempotencyTable::new(bounds),
            ledger: Ledger::new(own.incarnation, Count::new(1 << 20), Size::new(1 << 20)),
            held: HashMap::new(),
            joined: HashMap::new(),
            woken: Moment::new(u64::MAX),
        }
    }
}

impl World {
    pub(super) fn request(&mut self, ask: Ask) {
        let own = self.agents[ask.agent].own;
        let strict = self.switches.incarnation;
        if let Some((hop, _)) = ask.owner
            && hop.instance != own.instance
        {
            let (agent, life) = (index(hop), hop.incarnation);
            return self.send(Event::Request(Ask { agent, life, ..ask }));
        }
        if strict && ask.life != own.incarnation {
            // A connection to an earlier life is reset; a relayed retry is answered.
            if let Some(owner) = ask.owner {
                self.tell(Origin::Caller { job: ask.job, owner }, Told::Unknown);
            }
            return;
        }
        let claim = ask.owner.map_or(OwnerClaim::None, |(_, learned)| OwnerClaim::Own(learned));
        if strict && ask.owner.is_some_and(|(hop, _)| hop != own) {
            let Some(owner) = ask.owner else { return };
            return self.tell(Origin::Caller { job: ask.job, owner }, Told::Unknown);
        }
        self.admit(ask, claim);
    }

    fn admit(&mut self, ask: Ask, claim: OwnerClaim) {
        let (job, now) = (ask.job, self.now);
        let call = RequestId::new(self.random.random());
        let agent = &mut self.agents[ask.agent];
        let seen = if self.switches.record {
            agent.record.begin(key(job), print(), call, claim, now)
        } else {
            Lookup::New
        };
        let bound = agent.record.bound_at(key(job)).unwrap_or(now);
        let origin = Origin::Caller { job, owner: ask.owner.unwrap_or((agent.own, bound)) };
        match seen {
            Lookup::Running(call) => agent.joined.entry(call).or_default().push(origin),
            Lookup::Answered(answer) => self.tell(origin, Told::Answered(body(&answer))),
            Lookup::NotRun(_) if self.switches.tombstone => self.tell(origin, Told::NotRun),
            Lookup::New | Lookup::NotRun(_) => {
                self.hold(ask.agent, call, job, origin, now + DEADLINE);
                self.ask(ask.agent, call);
            }
            Lookup::Unknown | Lookup::Conflict | Lookup::Full => self.tell(origin, Told::Unknown),
        }
    }

    fn hold(
        &mut self,
        agent: usize,
        call: RequestId,
        job: usize,
        origin: Origin,
        deadline: Moment,
    ) {
        let request = Request::new(call, Effect::Once, deadline).queue(self.now);
        let (stage, since) = (Stage::Waiting(request), self.now);
        let held = Held { job, stage, origin, since, deadline, tried: Vec::new() };
        self.agents[agent].held.insert(call, held);
        self.push(deadline, Event::Due { agent: self.agents[agent].own, call });
    }

    /// Asks the gate for a held request, and a sibling when it does not start at once.
    fn ask(&mut self, agent: usize, call: RequestId) {
        let Some(held) = self.agents[agent].held.get(&call) else { return };
        let may_wait = matches!(held.origin, Origin::Caller { .. });
        let (class, since, deadline) = (self.agents[agent].class, held.since, held.deadline);
        let ask = admission::SlotRequest { call, class, since, deadline, may_wait };
        let actions = self.step_gate(agent, admission::Event::Acquire(ask));
        if actions.contains(&Action::Start(call)) {
            return;
        }
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse(refused, reason) if *refused == call => Some(*reason),
            _ => None,
        });
        let hop = if may_wait { self.pick(agent, call) } else { None };
        match (hop, refused) {
            (None, Some(reason)) => self.refuse(agent, call, reason),
            (None, None) => {}
            (Some(hop), _) => {
                self.step_gate(agent, admission::Event::Withdraw(call));
                self.hand_off(agent, call, hop);
            }
        }
    }

    fn pick(&mut self, agent: usize, call: RequestId) -> Option<Hop> {
        let now = self.now;
        let Agent { held, peers, .. } = &mut self.agents[agent];
        let held = held.get_mut(&call)?;
        if held.tried.len() >= OFFERS {
            return None;
        }
        let hop = peers.pick(&held.tried, now)?;
        held.tried.push(hop);
        Some(hop)
    }

    fn hand_off(&mut self, agent: usize, call: RequestId, to: Hop) {
        let now = self.now;
        let from = self.agents[agent].own;
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        let Stage::Waiting(request) = held.take() else { return };
        let (request, sent) = (request.offer(to, now), now);
        held.stage = Stage::Offered { request, to, sent, silent: 0 };
        let job = held.job;
        let load = self.agents[agent].gate.load(now);
        self.send(Event::Offer { from, to, call, job, load });
        self.push(now + SILENCE, Event::Silence { agent: from, call, sent });
    }

    pub(super) fn offer(&mut self, from: Hop, to: Hop, call: RequestId, job: usize, load: Load) {
        let (now, agent) = (self.now, index(to));
        let own = self.agents[agent].own.incarnation;
        let expected = if self.switches.incarnation { to.incarnation } else { own };
        self.agents[agent].peers.record_load(from, load, true, now);
        match self.agents[agent].ledger.offer(call, expected, now) {
            OfferResult::New => {
                self.hold(agent, call, job, Origin::Sibling(from), now + DEADLINE);
                self.ask(agent, call);
            }
            OfferResult::Known(_) if !self.switches.ledger => self.jobs[job].runs += 1,
            OfferResult::Known(State::Running) => {}
            OfferResult::Known(state) => self.answer_sibling(agent, from, call, state),
            OfferResult::Refused => self.answer_sibling(agent, from, call, State::Gone),
        }
    }

    pub(super) fn fence(&mut self, from: Hop, to: Hop, call: RequestId, age: Span) {
        let (now, agent) = (self.now, index(to));
        let own = self.agents[agent].own.incarnation;
        let expected = if self.switches.incarnation { to.incarnation } else { own };
        let ledger = &mut self.agents[agent].ledger;
        let state = if self.switches.ledger {
            ledger.fence(call, expected, age, now)
        } else {
            match ledger.state(call) {
                State::Gone => State::Fenced,
                state => state,
            }
        };
        self.answer_sibling(agent, from, call, state);
    }

    fn answer_sibling(&mut self, agent: usize, to: Hop, call: RequestId, state: State) {
        let (from, load) = (self.agents[agent].own, self.agents[agent].gate.load(self.now));
        self.send(Event::Reply { from, to, call, state, load });
    }

    pub(super) fn reply(&mut self, from: Hop, to: Hop, call: RequestId, state: State, load: Load) {
        let (now, agent) = (self.now, index(to));
        let Agent { own, peers, held, .. } = &mut self.agents[agent];
        if *own != to {
            return;
        }
        peers.record_load(from, load, state != State::Fenced, now);
        let Some(held) = held.get_mut(&call) else { return };
        // A late reply of an earlier offer, to another sibling, says nothing of the present one.
        let is_present = match &held.stage {
            Stage::Offered { to, .. } => {
                *to == from || (to.instance == from.instance && state == State::Gone)
            }
            Stage::Waiting(_) | Stage::Running(_) | Stage::Moving => false,
        };
        if is_present && state != State::Running {
            peers.offer_ended(from);
            self.settle(agent, call, state);
        }
    }

    fn settle(&mut self, agent: usize, call: RequestId, state: State) {
        let now = self.now;
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        let Stage::Offered { request, to, .. } = held.take() else { return };
        match state {
            State::Done(answer) => {
                let _answered = request.answer(now);
                self.handed_off += 1;
                self.end(agent, call, RunOutcome::Answered(Some(answer)));
            }
            State::Fenced => match request.requeue_fenced(FenceProof::new(call, to)) {
                Ok(request) => {
                    held.stage = Stage::Waiting(request);
                    self.ask(agent, call);
                }
                Err(_) => self.end(agent, call, RunOutcome::Unknown),
            },
            State::Running | State::Gone => self.end(agent, call, RunOutcome::Unknown),
        }
    }

    pub(super) fn silence(&mut self, agent: Hop, call: RequestId, marked: Moment) {
        let now = self.now;
        let Agent { own, peers, held, .. } = &mut self.agents[index(agent)];
        if *own != agent {
            return;
        }
        let Some(held) = held.get_mut(&call) else { return };
        let Stage::Offered { request, to, sent, silent } = &mut held.stage else { return };
        if *sent != marked {
            return;
        }
        (*sent, *silent) = (now, *silent + 1);
        let (to, age, gone) = (*to, request.age(now), *silent > FENCES);
        peers.record_silence(to, now);
        if !self.switches.fence {
            return self.settle(index(agent), call, State::Fenced);
        }
        if gone {
            return self.settle(index(agent), call, State::Gone);
        }
        self.send(Event::Fence { from: agent, to, call, age });
        self.push(now + SILENCE, Event::Silence { agent, call, sent: now });
    }

    pub(super) fn due(&mut self, agent: Hop, call: RequestId) {
        let position = index(agent);
        if self.agents[position].own != agent {
            return;
        }
        let Some(held) = self.agents[position].held.get(&call) else { return };
        match held.stage {
            Stage::Waiting(_) => {
                self.step_gate(position, admission::Event::Withdraw(call));
                self.refuse(position, call, Reason::Deadline);
            }
            Stage::Offered { .. } => self.settle(position, call, State::Gone),
            Stage::Running(_) | Stage::Moving => self.ran(agent, call, false),
        }
    }

    pub(super) fn wake(&mut self, agent: usize) {
        self.agents[agent].woken = Moment::new(u64::MAX);
        self.step_gate(agent, admission::Event::Tick);
    }

    pub(super) fn ran(&mut self, agent: Hop, call: RequestId, answered: bool) {
        let (now, position) = (self.now, index(agent));
        if self.agents[position].own != agent {
            return;
        }
        let Some(held) = self.agents[position].held.get_mut(&call) else { return };
        let job = held.job;
        let Stage::Running(request) = held.take() else { return };
        let end = if answered {
            let _answered = request.answer(now);
            RunOutcome::Answered(Some(Arc::new(answer(job))))
        } else {
            let _unknown = request.abandon();
            RunOutcome::Unknown
        };
        let observed = if answered { AttemptOutcome::Answered } else { AttemptOutcome::Lost };
        self.end(position, call, end);
        self.step_gate(position, admission::Event::Finish(call, observed));
    }

    /// Steps a gate and carries its actions out, but for the refusal of the request that asks.
    fn step_gate(&mut self, agent: usize, event: admission::Event) -> Vec<Action> {
        let now = self.now;
        let asked = if let admission::Event::Acquire(ask) = event { Some(ask.call) } else { None };
        let actions = self.agents[agent].gate.step(event, now);
        for action in &actions {
            match *action {
                Action::Start(call) => self.start(agent, call),
                Action::Refuse(call, reason) if Some(call) != asked => {
                    self.refuse(agent, call, reason);
                }
                Action::Refuse(..) | Action::Wait(_) | Action::Withdrawn(_) => {}
            }
        }
        let state = &mut self.agents[agent];
        if let Some(wake) = state.gate.next_wakeup(now)
            && wake < state.woken
        {
            state.woken = wake;
            self.push(wake.max(now), Event::Wake { agent });
        }
        actions
    }

    /// Sends a request to the upstream, unless no connection comes about.
    fn start(&mut self, agent: usize, call: RequestId) {
        let (now, own) = (self.now, self.agents[agent].own);
        let cut = self.random.random_bool(self.faults.cut).then(|| self.random.random_range(0..3));
        let service = Span::from_micros(self.random.random_range(SERVICE_MICROS));
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        if cut == Some(0) {
            self.refuse(agent, call, Reason::Leaving);
            self.step_gate(agent, admission::Event::Finish(call, AttemptOutcome::Lost));
            return;
        }
        let Stage::Waiting(request) = held.take() else { return };
        held.stage = Stage::Running(request.dispatch(now));
        let job = held.job;
        if cut != Some(1) {
            self.jobs[job].runs += 1;
        }
        let answered = cut.is_none();
        self.push(now + service, Event::Ran { agent: own, call, answered });
    }

    fn refuse(&mut self, agent: usize, call: RequestId, reason: Reason) {
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        if let Stage::Waiting(request) = held.take() {
            self.end(agent, call, RunOutcome::NotRun(request.refuse(reason)));
        }
    }

    /// Notes the end in the record or ledger, and only then tells it.
    fn end(&mut self, agent: usize, call: RequestId, end: RunOutcome) {
        let now = self.now;
        let state = &mut self.agents[agent];
        let Some(Held { job, origin, .. }) = state.held.remove(&call) else { return };
        match origin {
            Origin::Sibling(from) => {
                state.ledger.finish(call, &end, now);
                let known = state.ledger.state(call);
                self.answer_sibling(agent, from, call, known);
            }
            Origin::Caller { .. } => {
                let told = match &end {
                    RunOutcome::Answered(Some(answer)) => Told::Answered(body(answer)),
                    RunOutcome::NotRun(_) => Told::NotRun,
                    RunOutcome::Answered(None) | RunOutcome::Unknown => Told::Unknown,
                };
                state.record.finish(key(job), call, end, now);
                let joined = state.joined.remove(&call).unwrap_or_default();
                self.tell(origin, told);
                joined.into_iter().for_each(|origin| self.tell(origin, told));
            }
        }
    }

    fn tell(&mut self, origin: Origin, told: Told) {
        if let Origin::Caller { job, owner } = origin {
            self.send(Event::Outcome { job, told, owner });
        }
    }
}

impl Held {
    fn take(&mut self) -> Stage {
        std::mem::replace(&mut self.stage, Stage::Moving)
    }
}

fn key(job: usize) -> Key {
    Key::new(&job.to_be_bytes())
}

fn print() -> Fingerprint {
    Fingerprint::new("POST", "/reserve", b"")
}

fn answer(job: usize) -> Answer {
    Answer { status: 200, headers: Box::new([]), body: Box::new(job.to_be_bytes()) }
}

fn body(answer: &Answer) -> usize {
    (*answer.body).try_into().map_or(usize::MAX, usize::from_be_bytes)
}
