//! Simulated agents, which call the code of `yuccacroft-core` in the same order as the real agent.

use {
    super::{Attempt, Event, KEY_RETENTION, SLOTS, Simulation, agent_index, caller::Outcome},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, sync::Arc},
    yuccacroft_core::{
        admission::{
            self, Action, AdmissionController, AdmissionSettings,
            class::Class,
            limit::AttemptOutcome,
            peers::{Peers, SiblingLoad},
        },
        controller::Controller,
        fence::{FenceProof, Ledger, LedgerState, OfferResult},
        flow::AgentId,
        idempotency::{
            Answer, Bounds, Fingerprint, IdempotencyKey, IdempotencyTable, Lookup, OwnerClaim,
            RunOutcome,
        },
        ids::RequestId,
        request::{Dispatched, Effect, Offered, Queued, RefusalReason, Request},
        time::{Moment, Span},
        units::{Count, Size, Slots},
    },
};

const DEADLINE: Span = Span::from_millis(1_000);
/// Maximum time that a request waits for a slot.
const MAX_WAIT: Span = Span::from_millis(300);
const REPLY_TIMEOUT: Span = Span::from_millis(200);
/// Fences without a reply after which the outcome of an offer is unknown.
const MAX_FENCES: u32 = 3;
/// Maximum number of siblings that a request is offered to.
const MAX_OFFERS: usize = 3;
const SERVICE_TIME_MICROS: std::ops::Range<u64> = 2_000..40_000;

pub(super) struct Agent {
    pub own_id: AgentId,
    pub frozen_until: Moment,
    pub peers: Peers<StdRng>,
    admission: AdmissionController,
    class: Class,
    idempotency: IdempotencyTable,
    ledger: Ledger,
    held: HashMap<RequestId, HeldRequest>,
    /// Callers of duplicates that wait for the outcome of a running request.
    joined: HashMap<RequestId, Vec<Origin>>,
    /// Time of the next scheduled wakeup of the admission controller.
    next_wakeup: Moment,
}

/// A request that the agent holds.
struct HeldRequest {
    job: usize,
    stage: Stage,
    origin: Origin,
    since: Moment,
    deadline: Moment,
    /// Siblings that the request was offered to.
    tried: Vec<AgentId>,
}

enum Stage {
    Waiting(Request<Queued>),
    /// Offered to a sibling; `timeouts` counts the overdue replies.
    Offered {
        request: Request<Offered>,
        to: AgentId,
        sent: Moment,
        timeouts: u32,
    },
    Running(Request<Dispatched>),
    /// Placeholder while the stage changes.
    Changing,
}

/// The sender of a request.
#[derive(Clone, Copy)]
enum Origin {
    Caller { job: usize, owner: (AgentId, Moment) },
    Sibling(AgentId),
}

impl Agent {
    pub fn new(own_id: AgentId, now: Moment, seed: u64) -> Self {
        let settings =
            AdmissionSettings { slots: Slots::new(SLOTS), wait: MAX_WAIT, warmup: Span::ZERO };
        let mut admission = AdmissionController::new(settings, now);
        let class = admission.classify("POST", "/reserve");
        let bounds =
            Bounds { entries: Count::new(1 << 20), bytes: Size::new(1 << 20), age: KEY_RETENTION };
        Self {
            own_id,
            frozen_until: now,
            peers: Peers::new(StdRng::seed_from_u64(seed ^ own_id.instance.to_bits())),
            admission,
            class,
            idempotency: IdempotencyTable::new(bounds),
            ledger: Ledger::new(own_id.incarnation, Count::new(1 << 20), Size::new(1 << 20)),
            held: HashMap::new(),
            joined: HashMap::new(),
            next_wakeup: Moment::new(u64::MAX),
        }
    }
}

impl Simulation {
    pub(super) fn handle_request(&mut self, attempt: Attempt) {
        let own_id = self.agents[attempt.agent].own_id;
        let checks_incarnation = self.mechanisms.incarnation_check;
        if let Some((agent_id, _)) = attempt.owner
            && agent_id.instance != own_id.instance
        {
            let (agent, incarnation) = (agent_index(agent_id), agent_id.incarnation);
            return self.send(Event::Request(Attempt { agent, incarnation, ..attempt }));
        }
        if checks_incarnation && attempt.incarnation != own_id.incarnation {
            // A connection to an earlier incarnation is reset. A relayed retry gets an outcome.
            if let Some(owner) = attempt.owner {
                self.send_outcome(Origin::Caller { job: attempt.job, owner }, Outcome::Unknown);
            }
            return;
        }
        let claim = attempt.owner.map_or(OwnerClaim::None, |(_, bound)| OwnerClaim::Own(bound));
        if checks_incarnation && attempt.owner.is_some_and(|(agent_id, _)| agent_id != own_id) {
            let Some(owner) = attempt.owner else { return };
            return self.send_outcome(Origin::Caller { job: attempt.job, owner }, Outcome::Unknown);
        }
        self.admit(attempt, claim);
    }

    fn admit(&mut self, attempt: Attempt, claim: OwnerClaim) {
        let (job, now) = (attempt.job, self.now);
        let call = RequestId::new(self.random.random());
        let agent = &mut self.agents[attempt.agent];
        let lookup = if self.mechanisms.idempotency_table {
            agent.idempotency.begin(key(job), fingerprint(), call, claim, now)
        } else {
            Lookup::New
        };
        let bound = agent.idempotency.bound_at(key(job)).unwrap_or(now);
        let origin = Origin::Caller { job, owner: attempt.owner.unwrap_or((agent.own_id, bound)) };
        match lookup {
            Lookup::Running(call) => agent.joined.entry(call).or_default().push(origin),
            Lookup::Answered(answer) => {
                self.send_outcome(origin, Outcome::Answered(job_of(&answer)))
            }
            Lookup::NotRun(_) if self.mechanisms.refusal_tombstones => {
                self.send_outcome(origin, Outcome::NotRun)
            }
            Lookup::New | Lookup::NotRun(_) => {
                self.hold(attempt.agent, call, job, origin, now + DEADLINE);
                self.request_slot(attempt.agent, call);
            }
            Lookup::Unknown | Lookup::Conflict | Lookup::Full => {
                self.send_outcome(origin, Outcome::Unknown)
            }
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
        let held = HeldRequest { job, stage, origin, since, deadline, tried: Vec::new() };
        self.agents[agent].held.insert(call, held);
        self.schedule(deadline, Event::Deadline { agent: self.agents[agent].own_id, call });
    }

    /// Requests a slot for a held request, and hands it off to a sibling if it does not start at once.
    fn request_slot(&mut self, agent: usize, call: RequestId) {
        let Some(held) = self.agents[agent].held.get(&call) else { return };
        let may_wait = matches!(held.origin, Origin::Caller { .. });
        let (class, since, deadline) = (self.agents[agent].class, held.since, held.deadline);
        let slot_request = admission::SlotRequest { call, class, since, deadline, may_wait };
        let actions = self.step_admission(agent, admission::Event::Acquire(slot_request));
        if actions.contains(&Action::Start(call)) {
            return;
        }
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse(refused, reason) if *refused == call => Some(*reason),
            _ => None,
        });
        let agent_id = if may_wait { self.pick_sibling(agent, call) } else { None };
        match (agent_id, refused) {
            (None, Some(reason)) => self.refuse(agent, call, reason),
            (None, None) => {}
            (Some(agent_id), _) => {
                self.step_admission(agent, admission::Event::Withdraw(call));
                self.hand_off(agent, call, agent_id);
            }
        }
    }

    fn pick_sibling(&mut self, agent: usize, call: RequestId) -> Option<AgentId> {
        let now = self.now;
        let Agent { held, peers, .. } = &mut self.agents[agent];
        let held = held.get_mut(&call)?;
        if held.tried.len() >= MAX_OFFERS {
            return None;
        }
        let agent_id = peers.pick(&held.tried, now)?;
        held.tried.push(agent_id);
        Some(agent_id)
    }

    fn hand_off(&mut self, agent: usize, call: RequestId, to: AgentId) {
        let now = self.now;
        let from = self.agents[agent].own_id;
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        let Stage::Waiting(request) = held.take_stage() else { return };
        let (request, sent) = (request.offer(to, now), now);
        held.stage = Stage::Offered { request, to, sent, timeouts: 0 };
        let job = held.job;
        let load = self.agents[agent].admission.load(now);
        self.send(Event::Offer { from, to, call, job, load });
        self.schedule(now + REPLY_TIMEOUT, Event::ReplyTimeout { agent: from, call, sent });
    }

    pub(super) fn handle_offer(
        &mut self,
        from: AgentId,
        to: AgentId,
        call: RequestId,
        job: usize,
        load: SiblingLoad,
    ) {
        let (now, agent) = (self.now, agent_index(to));
        let own_incarnation = self.agents[agent].own_id.incarnation;
        let expected =
            if self.mechanisms.incarnation_check { to.incarnation } else { own_incarnation };
        self.agents[agent].peers.record_load(from, load, true, now);
        match self.agents[agent].ledger.offer(call, expected, now) {
            OfferResult::New => {
                self.hold(agent, call, job, Origin::Sibling(from), now + DEADLINE);
                self.request_slot(agent, call);
            }
            OfferResult::Known(_) if !self.mechanisms.ledger => self.jobs[job].runs += 1,
            OfferResult::Known(LedgerState::Running) => {}
            OfferResult::Known(state) => self.answer_sibling(agent, from, call, state),
            OfferResult::Refused => self.answer_sibling(agent, from, call, LedgerState::Gone),
        }
    }

    pub(super) fn handle_fence(&mut self, from: AgentId, to: AgentId, call: RequestId, age: Span) {
        let (now, agent) = (self.now, agent_index(to));
        let own_incarnation = self.agents[agent].own_id.incarnation;
        let expected =
            if self.mechanisms.incarnation_check { to.incarnation } else { own_incarnation };
        let ledger = &mut self.agents[agent].ledger;
        let state = if self.mechanisms.ledger {
            ledger.fence(call, expected, age, now)
        } else {
            match ledger.state(call) {
                LedgerState::Gone => LedgerState::Fenced,
                state => state,
            }
        };
        self.answer_sibling(agent, from, call, state);
    }

    fn answer_sibling(&mut self, agent: usize, to: AgentId, call: RequestId, state: LedgerState) {
        let (from, load) = (self.agents[agent].own_id, self.agents[agent].admission.load(self.now));
        self.send(Event::Reply { from, to, call, state, load });
    }

    pub(super) fn handle_reply(
        &mut self,
        from: AgentId,
        to: AgentId,
        call: RequestId,
        state: LedgerState,
        load: SiblingLoad,
    ) {
        let (now, agent) = (self.now, agent_index(to));
        let Agent { own_id, peers, held, .. } = &mut self.agents[agent];
        if *own_id != to {
            return;
        }
        peers.record_load(from, load, state != LedgerState::Fenced, now);
        let Some(held) = held.get_mut(&call) else { return };
        // Ignores a delayed reply to an earlier offer, which went to another sibling.
        let is_current = match &held.stage {
            Stage::Offered { to, .. } => {
                *to == from || (to.instance == from.instance && state == LedgerState::Gone)
            }
            Stage::Waiting(_) | Stage::Running(_) | Stage::Changing => false,
        };
        if is_current && state != LedgerState::Running {
            peers.offer_ended(from);
            self.settle_offer(agent, call, state);
        }
    }

    /// Ends an offer with the state that the sibling returned.
    fn settle_offer(&mut self, agent: usize, call: RequestId, state: LedgerState) {
        let now = self.now;
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        let Stage::Offered { request, to, .. } = held.take_stage() else { return };
        match state {
            LedgerState::Done(answer) => {
                let _answered = request.answer(now);
                self.handed_off += 1;
                self.finish(agent, call, RunOutcome::Answered(Some(answer)));
            }
            LedgerState::Fenced => match request.requeue_fenced(FenceProof::new(call, to)) {
                Ok(request) => {
                    held.stage = Stage::Waiting(request);
                    self.request_slot(agent, call);
                }
                Err(_) => self.finish(agent, call, RunOutcome::Unknown),
            },
            LedgerState::Running | LedgerState::Gone => {
                self.finish(agent, call, RunOutcome::Unknown)
            }
        }
    }

    pub(super) fn handle_reply_timeout(
        &mut self,
        agent: AgentId,
        call: RequestId,
        offer_sent: Moment,
    ) {
        let now = self.now;
        let Agent { own_id, peers, held, .. } = &mut self.agents[agent_index(agent)];
        if *own_id != agent {
            return;
        }
        let Some(held) = held.get_mut(&call) else { return };
        let Stage::Offered { request, to, sent, timeouts } = &mut held.stage else { return };
        if *sent != offer_sent {
            return;
        }
        (*sent, *timeouts) = (now, *timeouts + 1);
        let (to, age, is_lost) = (*to, request.age(now), *timeouts > MAX_FENCES);
        peers.record_silence(to, now);
        if !self.mechanisms.fence {
            return self.settle_offer(agent_index(agent), call, LedgerState::Fenced);
        }
        if is_lost {
            return self.settle_offer(agent_index(agent), call, LedgerState::Gone);
        }
        self.send(Event::Fence { from: agent, to, call, age });
        self.schedule(now + REPLY_TIMEOUT, Event::ReplyTimeout { agent, call, sent: now });
    }

    pub(super) fn handle_deadline(&mut self, agent: AgentId, call: RequestId) {
        let position = agent_index(agent);
        if self.agents[position].own_id != agent {
            return;
        }
        let Some(held) = self.agents[position].held.get(&call) else { return };
        match held.stage {
            Stage::Waiting(_) => {
                self.step_admission(position, admission::Event::Withdraw(call));
                self.refuse(position, call, RefusalReason::Deadline);
            }
            Stage::Offered { .. } => self.settle_offer(position, call, LedgerState::Gone),
            Stage::Running(_) | Stage::Changing => self.handle_run_end(agent, call, false),
        }
    }

    pub(super) fn handle_wakeup(&mut self, agent: usize) {
        self.agents[agent].next_wakeup = Moment::new(u64::MAX);
        self.step_admission(agent, admission::Event::Tick);
    }

    pub(super) fn handle_run_end(&mut self, agent: AgentId, call: RequestId, answered: bool) {
        let (now, position) = (self.now, agent_index(agent));
        if self.agents[position].own_id != agent {
            return;
        }
        let Some(held) = self.agents[position].held.get_mut(&call) else { return };
        let job = held.job;
        let Stage::Running(request) = held.take_stage() else { return };
        let outcome = if answered {
            let _answered = request.answer(now);
            RunOutcome::Answered(Some(Arc::new(build_answer(job))))
        } else {
            let _unknown = request.abandon();
            RunOutcome::Unknown
        };
        let attempt_outcome =
            if answered { AttemptOutcome::Answered } else { AttemptOutcome::Lost };
        self.finish(position, call, outcome);
        self.step_admission(position, admission::Event::Finish(call, attempt_outcome));
    }

    /// Steps an admission controller and carries out its actions, except the refusal of the request
    /// that the event adds.
    fn step_admission(&mut self, agent: usize, event: admission::Event) -> Vec<Action> {
        let now = self.now;
        let requested =
            if let admission::Event::Acquire(request) = event { Some(request.call) } else { None };
        let actions = self.agents[agent].admission.step(event, now);
        for action in &actions {
            match *action {
                Action::Start(call) => self.start_run(agent, call),
                Action::Refuse(call, reason) if Some(call) != requested => {
                    self.refuse(agent, call, reason);
                }
                Action::Refuse(..) | Action::Wait(_) | Action::Withdrawn(_) => {}
            }
        }
        let state = &mut self.agents[agent];
        if let Some(wake) = state.admission.next_wakeup(now)
            && wake < state.next_wakeup
        {
            state.next_wakeup = wake;
            self.schedule(wake.max(now), Event::Wakeup { agent });
        }
        actions
    }

    /// Sends a request to the upstream, unless the connection fails.
    fn start_run(&mut self, agent: usize, call: RequestId) {
        let (now, own_id) = (self.now, self.agents[agent].own_id);
        // The connection may break before the request is sent (0), before it runs (1), or before its
        // answer arrives (2).
        let failed_stage = self
            .random
            .random_bool(self.faults.disconnection)
            .then(|| self.random.random_range(0..3));
        let service_time = Span::from_micros(self.random.random_range(SERVICE_TIME_MICROS));
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        if failed_stage == Some(0) {
            self.refuse(agent, call, RefusalReason::Leaving);
            self.step_admission(agent, admission::Event::Finish(call, AttemptOutcome::Lost));
            return;
        }
        let Stage::Waiting(request) = held.take_stage() else { return };
        held.stage = Stage::Running(request.dispatch(now));
        let job = held.job;
        if failed_stage != Some(1) {
            self.jobs[job].runs += 1;
        }
        let answered = failed_stage.is_none();
        self.schedule(now + service_time, Event::RunEnded { agent: own_id, call, answered });
    }

    fn refuse(&mut self, agent: usize, call: RequestId, reason: RefusalReason) {
        let Some(held) = self.agents[agent].held.get_mut(&call) else { return };
        if let Stage::Waiting(request) = held.take_stage() {
            self.finish(agent, call, RunOutcome::NotRun(request.refuse(reason)));
        }
    }

    /// Records the outcome in the idempotency table or ledger before it sends it.
    fn finish(&mut self, agent: usize, call: RequestId, run_outcome: RunOutcome) {
        let now = self.now;
        let state = &mut self.agents[agent];
        let Some(HeldRequest { job, origin, .. }) = state.held.remove(&call) else { return };
        match origin {
            Origin::Sibling(from) => {
                state.ledger.finish(call, &run_outcome, now);
                let offer_state = state.ledger.state(call);
                self.answer_sibling(agent, from, call, offer_state);
            }
            Origin::Caller { .. } => {
                let outcome = match &run_outcome {
                    RunOutcome::Answered(Some(answer)) => Outcome::Answered(job_of(answer)),
                    RunOutcome::NotRun(_) => Outcome::NotRun,
                    RunOutcome::Answered(None) | RunOutcome::Unknown => Outcome::Unknown,
                };
                state.idempotency.finish(key(job), call, run_outcome, now);
                let joined = state.joined.remove(&call).unwrap_or_default();
                self.send_outcome(origin, outcome);
                joined.into_iter().for_each(|origin| self.send_outcome(origin, outcome));
            }
        }
    }

    fn send_outcome(&mut self, origin: Origin, outcome: Outcome) {
        if let Origin::Caller { job, owner } = origin {
            self.send(Event::Outcome { job, outcome, owner });
        }
    }
}

impl HeldRequest {
    fn take_stage(&mut self) -> Stage {
        std::mem::replace(&mut self.stage, Stage::Changing)
    }
}

fn key(job: usize) -> IdempotencyKey {
    IdempotencyKey::new(&job.to_be_bytes())
}

fn fingerprint() -> Fingerprint {
    Fingerprint::new("POST", "/reserve", b"")
}

fn build_answer(job: usize) -> Answer {
    Answer { status: 200, headers: Box::new([]), body: Box::new(job.to_be_bytes()) }
}

/// Returns the index of the request that an answer belongs to.
fn job_of(answer: &Answer) -> usize {
    (*answer.body).try_into().map_or(usize::MAX, usize::from_be_bytes)
}
