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

/// Time from the arrival of a request to its deadline.
const REQUEST_TIME: Span = Span::from_millis(1_000);
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
        let request_id = RequestId::new(self.random.random());
        let agent = &mut self.agents[attempt.agent];
        let lookup = if self.mechanisms.idempotency_table {
            agent.idempotency.begin(key(job), fingerprint(), request_id, claim, now)
        } else {
            Lookup::New
        };
        let bound = agent.idempotency.bound_at(key(job)).unwrap_or(now);
        let origin = Origin::Caller { job, owner: attempt.owner.unwrap_or((agent.own_id, bound)) };
        match lookup {
            Lookup::Running(request_id) => agent.joined.entry(request_id).or_default().push(origin),
            Lookup::Answered(answer) => {
                self.send_outcome(origin, Outcome::Answered(job_of(&answer)))
            }
            Lookup::NotRun(_) if self.mechanisms.refusal_tombstones => {
                self.send_outcome(origin, Outcome::NotRun)
            }
            Lookup::New | Lookup::NotRun(_) => {
                self.hold(attempt.agent, request_id, job, origin, now + REQUEST_TIME);
                self.request_slot(attempt.agent, request_id);
            }
            Lookup::Unknown | Lookup::Conflict | Lookup::Full => {
                self.send_outcome(origin, Outcome::Unknown)
            }
        }
    }

    fn hold(
        &mut self,
        agent: usize,
        request_id: RequestId,
        job: usize,
        origin: Origin,
        deadline: Moment,
    ) {
        let request = Request::new(request_id, Effect::Once, deadline).queue(self.now);
        let (stage, since) = (Stage::Waiting(request), self.now);
        let held = HeldRequest { job, stage, origin, since, deadline, tried: Vec::new() };
        self.agents[agent].held.insert(request_id, held);
        self.schedule(deadline, Event::Deadline { agent: self.agents[agent].own_id, request_id });
    }

    /// Requests a slot for a held request, and hands it off to a sibling if it does not start at once.
    fn request_slot(&mut self, agent: usize, request_id: RequestId) {
        let Some(held) = self.agents[agent].held.get(&request_id) else { return };
        let may_wait = matches!(held.origin, Origin::Caller { .. });
        let (class, since, deadline) = (self.agents[agent].class, held.since, held.deadline);
        let slot_request = admission::SlotRequest { request_id, class, since, deadline, may_wait };
        let actions = self.step_admission(agent, admission::Event::Acquire(slot_request));
        if actions.contains(&Action::Start(request_id)) {
            return;
        }
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse(refused, reason) if *refused == request_id => Some(*reason),
            _ => None,
        });
        let agent_id = if may_wait { self.pick_sibling(agent, request_id) } else { None };
        match (agent_id, refused) {
            (None, Some(reason)) => self.refuse(agent, request_id, reason),
            (None, None) => {}
            (Some(agent_id), _) => {
                self.step_admission(agent, admission::Event::Withdraw(request_id));
                self.hand_off(agent, request_id, agent_id);
            }
        }
    }

    fn pick_sibling(&mut self, agent: usize, request_id: RequestId) -> Option<AgentId> {
        let now = self.now;
        let Agent { held, peers, .. } = &mut self.agents[agent];
        let held = held.get_mut(&request_id)?;
        if held.tried.len() >= MAX_OFFERS {
            return None;
        }
        let agent_id = peers.pick(&held.tried, now)?;
        held.tried.push(agent_id);
        Some(agent_id)
    }

    fn hand_off(&mut self, agent: usize, request_id: RequestId, to: AgentId) {
        let now = self.now;
        let from = self.agents[agent].own_id;
        let Some(held) = self.agents[agent].held.get_mut(&request_id) else { return };
        let Stage::Waiting(request) = held.take_stage() else { return };
        let (request, sent) = (request.offer(to, now), now);
        held.stage = Stage::Offered { request, to, sent, timeouts: 0 };
        let job = held.job;
        let load = self.agents[agent].admission.load(now);
        self.send(Event::Offer { from, to, request_id, job, load });
        self.schedule(now + REPLY_TIMEOUT, Event::ReplyTimeout { agent: from, request_id, sent });
    }

    pub(super) fn handle_offer(
        &mut self,
        from: AgentId,
        to: AgentId,
        request_id: RequestId,
        job: usize,
        load: SiblingLoad,
    ) {
        let (now, agent) = (self.now, agent_index(to));
        let own_incarnation = self.agents[agent].own_id.incarnation;
        let expected =
            if self.mechanisms.incarnation_check { to.incarnation } else { own_incarnation };
        self.agents[agent].peers.record_load(from, load, true, now);
        match self.agents[agent].ledger.offer(request_id, expected, now) {
            OfferResult::New => {
                self.hold(agent, request_id, job, Origin::Sibling(from), now + REQUEST_TIME);
                self.request_slot(agent, request_id);
            }
            OfferResult::Known(_) if !self.mechanisms.ledger => self.jobs[job].runs += 1,
            OfferResult::Known(LedgerState::Running) => {}
            OfferResult::Known(state) => self.answer_sibling(agent, from, request_id, state),
            OfferResult::Refused => self.answer_sibling(agent, from, request_id, LedgerState::Gone),
        }
    }

    pub(super) fn handle_fence(
        &mut self,
        from: AgentId,
        to: AgentId,
        request_id: RequestId,
        age: Span,
    ) {
        let (now, agent) = (self.now, agent_index(to));
        let own_incarnation = self.agents[agent].own_id.incarnation;
        let expected =
            if self.mechanisms.incarnation_check { to.incarnation } else { own_incarnation };
        let ledger = &mut self.agents[agent].ledger;
        let state = if self.mechanisms.ledger {
            ledger.fence(request_id, expected, age, now)
        } else {
            match ledger.state(request_id) {
                LedgerState::Gone => LedgerState::Fenced,
                state => state,
            }
        };
        self.answer_sibling(agent, from, request_id, state);
    }

    fn answer_sibling(
        &mut self,
        agent: usize,
        to: AgentId,
        request_id: RequestId,
        state: LedgerState,
    ) {
        let (from, load) = (self.agents[agent].own_id, self.agents[agent].admission.load(self.now));
        self.send(Event::Reply { from, to, request_id, state, load });
    }

    pub(super) fn handle_reply(
        &mut self,
        from: AgentId,
        to: AgentId,
        request_id: RequestId,
        state: LedgerState,
        load: SiblingLoad,
    ) {
        let (now, agent) = (self.now, agent_index(to));
        let Agent { own_id, peers, held, .. } = &mut self.agents[agent];
        if *own_id != to {
            return;
        }
        peers.record_load(from, load, state != LedgerState::Fenced, now);
        let Some(held) = held.get_mut(&request_id) else { return };
        // Ignores a delayed reply to an earlier offer, which went to another sibling.
        let is_current = match &held.stage {
            Stage::Offered { to, .. } => {
                *to == from || (to.instance == from.instance && state == LedgerState::Gone)
            }
            Stage::Waiting(_) | Stage::Running(_) | Stage::Changing => false,
        };
        if is_current && state != LedgerState::Running {
            peers.offer_ended(from);
            self.settle_offer(agent, request_id, state);
        }
    }

    /// Ends an offer with the state that the sibling returned.
    fn settle_offer(&mut self, agent: usize, request_id: RequestId, state: LedgerState) {
        let now = self.now;
        let Some(held) = self.agents[agent].held.get_mut(&request_id) else { return };
        let Stage::Offered { request, to, .. } = held.take_stage() else { return };
        match state {
            LedgerState::Done(answer) => {
                let _answered = request.answer(now);
                self.handed_off += 1;
                self.finish(agent, request_id, RunOutcome::Answered(Some(answer)));
            }
            LedgerState::Fenced => match request.requeue_fenced(FenceProof::new(request_id, to)) {
                Ok(request) => {
                    held.stage = Stage::Waiting(request);
                    self.request_slot(agent, request_id);
                }
                Err(_) => self.finish(agent, request_id, RunOutcome::Unknown),
            },
            LedgerState::Running | LedgerState::Gone => {
                self.finish(agent, request_id, RunOutcome::Unknown)
            }
        }
    }

    pub(super) fn handle_reply_timeout(
        &mut self,
        agent: AgentId,
        request_id: RequestId,
        offer_sent: Moment,
    ) {
        let now = self.now;
        let Agent { own_id, peers, held, .. } = &mut self.agents[agent_index(agent)];
        if *own_id != agent {
            return;
        }
        let Some(held) = held.get_mut(&request_id) else { return };
        let Stage::Offered { request, to, sent, timeouts } = &mut held.stage else { return };
        if *sent != offer_sent {
            return;
        }
        (*sent, *timeouts) = (now, *timeouts + 1);
        let (to, age, is_lost) = (*to, request.age(now), *timeouts > MAX_FENCES);
        peers.record_silence(to, now);
        if !self.mechanisms.fence {
            return self.settle_offer(agent_index(agent), request_id, LedgerState::Fenced);
        }
        if is_lost {
            return self.settle_offer(agent_index(agent), request_id, LedgerState::Gone);
        }
        self.send(Event::Fence { from: agent, to, request_id, age });
        self.schedule(now + REPLY_TIMEOUT, Event::ReplyTimeout { agent, request_id, sent: now });
    }

    pub(super) fn handle_deadline(&mut self, agent: AgentId, request_id: RequestId) {
        let position = agent_index(agent);
        if self.agents[position].own_id != agent {
            return;
        }
        let Some(held) = self.agents[position].held.get(&request_id) else { return };
        match held.stage {
            Stage::Waiting(_) => {
                self.step_admission(position, admission::Event::Withdraw(request_id));
                self.refuse(position, request_id, RefusalReason::Deadline);
            }
            Stage::Offered { .. } => self.settle_offer(position, request_id, LedgerState::Gone),
            Stage::Running(_) | Stage::Changing => self.handle_run_end(agent, request_id, false),
        }
    }

    pub(super) fn handle_wakeup(&mut self, agent: usize) {
        self.agents[agent].next_wakeup = Moment::new(u64::MAX);
        self.step_admission(agent, admission::Event::Tick);
    }

    pub(super) fn handle_run_end(&mut self, agent: AgentId, request_id: RequestId, answered: bool) {
        let (now, position) = (self.now, agent_index(agent));
        if self.agents[position].own_id != agent {
            return;
        }
        let Some(held) = self.agents[position].held.get_mut(&request_id) else { return };
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
        self.finish(position, request_id, outcome);
        self.step_admission(position, admission::Event::Finish(request_id, attempt_outcome));
    }

    /// Steps an admission controller and carries out its actions, except the refusal of the request
    /// that the event adds.
    fn step_admission(&mut self, agent: usize, event: admission::Event) -> Vec<Action> {
        let now = self.now;
        let requested = if let admission::Event::Acquire(request) = event {
            Some(request.request_id)
        } else {
            None
        };
        let actions = self.agents[agent].admission.step(event, now);
        for action in &actions {
            match *action {
                Action::Start(request_id) => self.start_run(agent, request_id),
                Action::Refuse(request_id, reason) if Some(request_id) != requested => {
                    self.refuse(agent, request_id, reason);
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
    fn start_run(&mut self, agent: usize, request_id: RequestId) {
        let (now, own_id) = (self.now, self.agents[agent].own_id);
        // The connection may break before the request is sent (0), before it runs (1), or before its
        // answer arrives (2).
        let failed_stage = self
            .random
            .random_bool(self.faults.disconnection)
            .then(|| self.random.random_range(0..3));
        let service_time = Span::from_micros(self.random.random_range(SERVICE_TIME_MICROS));
        let Some(held) = self.agents[agent].held.get_mut(&request_id) else { return };
        if failed_stage == Some(0) {
            self.refuse(agent, request_id, RefusalReason::Leaving);
            self.step_admission(agent, admission::Event::Finish(request_id, AttemptOutcome::Lost));
            return;
        }
        let Stage::Waiting(request) = held.take_stage() else { return };
        held.stage = Stage::Running(request.dispatch(now));
        let job = held.job;
        if failed_stage != Some(1) {
            self.jobs[job].runs += 1;
        }
        let answered = failed_stage.is_none();
        self.schedule(now + service_time, Event::RunEnded { agent: own_id, request_id, answered });
    }

    fn refuse(&mut self, agent: usize, request_id: RequestId, reason: RefusalReason) {
        let Some(held) = self.agents[agent].held.get_mut(&request_id) else { return };
        if let Stage::Waiting(request) = held.take_stage() {
            self.finish(agent, request_id, RunOutcome::NotRun(request.refuse(reason)));
        }
    }

    /// Records the outcome in the idempotency table or ledger before it sends it.
    fn finish(&mut self, agent: usize, request_id: RequestId, run_outcome: RunOutcome) {
        let now = self.now;
        let state = &mut self.agents[agent];
        let Some(HeldRequest { job, origin, .. }) = state.held.remove(&request_id) else { return };
        match origin {
            Origin::Sibling(from) => {
                state.ledger.finish(request_id, &run_outcome, now);
                let offer_state = state.ledger.state(request_id);
                self.answer_sibling(agent, from, request_id, offer_state);
            }
            Origin::Caller { .. } => {
                let outcome = match &run_outcome {
                    RunOutcome::Answered(Some(answer)) => Outcome::Answered(job_of(answer)),
                    RunOutcome::NotRun(_) => Outcome::NotRun,
                    RunOutcome::Answered(None) | RunOutcome::Unknown => Outcome::Unknown,
                };
                state.idempotency.finish(key(job), request_id, run_outcome, now);
                let joined = state.joined.remove(&request_id).unwrap_or_default();
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
