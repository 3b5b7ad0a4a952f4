//! The ledger of requests that siblings handed off to this agent; see `docs/requests.md`.
//!
//! It resolves offers whose reply was lost. Fencing a request that has not arrived leaves a
//! tombstone, so that the offer does not run when it arrives late.

use {
    crate::{
        flow::AgentId,
        idempotency::{Answer, RunOutcome},
        ids::{Incarnation, RequestId},
        time::{Moment, Span},
        units::{Count, Size},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Time for which the state of an ended request is kept. Messages between agents that are older
/// than 60 s are refused (`yuccacroft_wire::authenticator`), so no offer arrives later than this.
pub const RETENTION: Span = Span::from_secs(300);

/// Proof from a sibling that a request did not run there and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceProof {
    request_id: RequestId,
    sibling: AgentId,
}

/// The result of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The request is new and may run here.
    New,
    /// The request was offered or fenced before; this is its state.
    Known(LedgerState),
    /// The offer is for another incarnation of this agent, or the ledger is full. The request does
    /// not run.
    Refused,
}

/// The state of a request in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerState {
    /// The request did not run and will not.
    Fenced,
    /// The request waits or runs.
    Running,
    /// The request was answered.
    Done(Arc<Answer>),
    /// The request may have run, and no answer is stored.
    Gone,
}

/// The requests that siblings handed off to one incarnation of this agent.
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    max_calls: Count,
    max_answer_bytes: Size,
    answer_bytes: u64,
    calls: HashMap<RequestId, LedgerState>,
    answer_order: VecDeque<RequestId>,
    end_order: VecDeque<(Moment, RequestId)>,
}

impl FenceProof {
    /// Creates the proof of one incarnation of a sibling. Must be called only for a
    /// reply of the sibling.
    pub fn new(request_id: RequestId, sibling: AgentId) -> Self {
        Self { request_id, sibling }
    }

    /// Returns the sibling that gave the proof.
    pub fn sibling(&self) -> AgentId {
        self.sibling
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }
}

impl Ledger {
    /// Creates the ledger of one incarnation of an agent. It holds at most `max_calls` requests and
    /// `max_answer_bytes` of answers.
    pub fn new(incarnation: Incarnation, max_calls: Count, max_answer_bytes: Size) -> Self {
        let (answer_order, end_order) = (VecDeque::new(), VecDeque::new());
        Self {
            incarnation,
            max_calls,
            max_answer_bytes,
            answer_bytes: 0,
            calls: HashMap::new(),
            answer_order,
            end_order,
        }
    }

    /// Registers an offer. `expected` is the incarnation of this agent that the sender knows.
    pub fn offer(
        &mut self,
        request_id: RequestId,
        expected: Incarnation,
        now: Moment,
    ) -> OfferResult {
        self.expire(now);
        if expected != self.incarnation {
            return OfferResult::Refused;
        }
        if let Some(state) = self.calls.get(&request_id) {
            return OfferResult::Known(state.clone());
        }
        if self.is_full() {
            return OfferResult::Refused;
        }
        self.calls.insert(request_id, LedgerState::Running);
        OfferResult::New
    }

    /// Records how a request ended at this agent.
    pub fn finish(&mut self, request_id: RequestId, outcome: &RunOutcome, now: Moment) {
        let Some(state) = self.calls.get_mut(&request_id) else { return };
        if *state != LedgerState::Running {
            return;
        }
        *state = match outcome {
            RunOutcome::Answered(Some(answer)) => {
                self.answer_bytes += answer.size().get();
                self.answer_order.push_back(request_id);
                LedgerState::Done(answer.clone())
            }
            RunOutcome::NotRun(_) => LedgerState::Fenced,
            RunOutcome::Answered(None) | RunOutcome::Unknown => LedgerState::Gone,
        };
        self.end_order.push_back((now, request_id));
        self.evict_answers();
    }

    /// Returns the state of a request without leaving a tombstone.
    pub fn state(&self, request_id: RequestId) -> LedgerState {
        self.calls.get(&request_id).cloned().unwrap_or(LedgerState::Gone)
    }

    /// Resolves an offer that was sent `age` ago and got no reply: returns the state of the
    /// request, or fences it when it has not arrived.
    pub fn fence(
        &mut self,
        request_id: RequestId,
        expected: Incarnation,
        age: Span,
        now: Moment,
    ) -> LedgerState {
        self.expire(now);
        if expected != self.incarnation {
            return LedgerState::Gone;
        }
        if let Some(state) = self.calls.get(&request_id) {
            return state.clone();
        }
        // The state of an older offer may have expired, and without space for a tombstone a late
        // offer could run.
        if age >= RETENTION || self.is_full() {
            return LedgerState::Gone;
        }
        self.calls.insert(request_id, LedgerState::Fenced);
        self.end_order.push_back((now, request_id));
        LedgerState::Fenced
    }

    /// Returns the number of requests in the ledger.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns true if no request is in the ledger.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn is_full(&self) -> bool {
        self.calls.len() as u64 >= self.max_calls.get()
    }

    fn expire(&mut self, now: Moment) {
        while let Some(&(ended_at, request_id)) = self.end_order.front() {
            if now.since(ended_at) < RETENTION {
                return;
            }
            self.end_order.pop_front();
            self.drop_answer(request_id);
            self.calls.remove(&request_id);
            // Both queues are in the order in which the requests ended.
            if self.answer_order.front() == Some(&request_id) {
                self.answer_order.pop_front();
            }
        }
    }

    /// Drops the oldest answers until the rest fits into `max_answer_bytes`. Their requests stay in
    /// the ledger.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.max_answer_bytes.get() {
            let Some(request_id) = self.answer_order.pop_front() else { return };
            self.drop_answer(request_id);
        }
    }

    fn drop_answer(&mut self, request_id: RequestId) {
        if let Some(state) = self.calls.get_mut(&request_id)
            && let LedgerState::Done(answer) = state
        {
            self.answer_bytes -= answer.size().get();
            *state = LedgerState::Gone;
        }
    }
}
