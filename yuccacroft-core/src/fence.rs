//! The ledger of requests that siblings handed to this agent; see `docs/requests.md`.
//!
//! It settles offers whose reply was lost. A fence for a request that never arrived leaves a
//! tombstone, so that the offer cannot run when it arrives late.

use {
    crate::{
        flow::Hop,
        ids::{Incarnation, RequestId},
        record::{Answer, End},
        time::{Moment, Span},
        units::{Count, Size},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Time that the end of a handed-over request is kept. A sealed message is refused when it is
/// older than 60 s (`yuccacroft_wire::seal`), so an offer that is later than this cannot arrive.
pub const MEMORY: Span = Span::from_secs(300);

/// A sibling's word that a request never ran there and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced {
    call: RequestId,
    by: Hop,
}

/// What the ledger says to an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is new and may run here.
    Fresh,
    /// It was seen before; its state is this one.
    Seen(State),
    /// It names another life of this agent, or there is no room. It does not run.
    Refused,
}

/// What the ledger knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It never ran and never will.
    Fenced,
    /// It waits or runs.
    Running,
    /// It was answered.
    Done(Arc<Answer>),
    /// It may have run, and no answer is left.
    Gone,
}

/// The requests that siblings handed to one life of this agent.
#[derive(Debug)]
pub struct Ledger {
    own: Incarnation,
    room: Count,
    bytes: Size,
    kept: u64,
    calls: HashMap<RequestId, State>,
    answers: VecDeque<RequestId>,
    ended: VecDeque<(Moment, RequestId)>,
}

impl Fenced {
    /// Takes the word of one life of a sibling. Only the shell that received it calls this.
    pub fn new(call: RequestId, by: Hop) -> Self {
        Self { call, by }
    }

    /// Returns the sibling.
    pub fn by(&self) -> Hop {
        self.by
    }

    /// Returns the id of the request.
    pub fn call(&self) -> RequestId {
        self.call
    }
}

impl Ledger {
    /// Creates the ledger of one life of an agent with room for a number of requests and for
    /// `bytes` of answers.
    pub fn new(own: Incarnation, room: Count, bytes: Size) -> Self {
        let (answers, ended) = (VecDeque::new(), VecDeque::new());
        Self { own, room, bytes, kept: 0, calls: HashMap::new(), answers, ended }
    }

    /// Takes in an offer that names the life of this agent that its sender knows.
    pub fn offer(&mut self, call: RequestId, expected: Incarnation, now: Moment) -> Arrival {
        self.expire(now);
        if expected != self.own {
            return Arrival::Refused;
        }
        if let Some(state) = self.calls.get(&call) {
            return Arrival::Seen(state.clone());
        }
        if self.is_full() {
            return Arrival::Refused;
        }
        self.calls.insert(call, State::Running);
        Arrival::Fresh
    }

    /// Notes how a request ended here.
    pub fn settle(&mut self, call: RequestId, end: &End, now: Moment) {
        let Some(state) = self.calls.get_mut(&call) else { return };
        if *state != State::Running {
            return;
        }
        *state = match end {
            End::Answered(Some(answer)) => {
                self.kept += answer.size().get();
                self.answers.push_back(call);
                State::Done(answer.clone())
            }
            End::NotRun(_) => State::Fenced,
            End::Answered(None) | End::Unknown => State::Gone,
        };
        self.ended.push_back((now, call));
        self.trim();
    }

    /// Returns the state of a request without leaving a tombstone.
    pub fn state(&self, call: RequestId) -> State {
        self.calls.get(&call).cloned().unwrap_or(State::Gone)
    }

    /// Settles an offer that was sent `age` ago and brought no reply.
    pub fn fence(
        &mut self,
        call: RequestId,
        expected: Incarnation,
        age: Span,
        now: Moment,
    ) -> State {
        self.expire(now);
        if expected != self.own {
            return State::Gone;
        }
        if let Some(state) = self.calls.get(&call) {
            return state.clone();
        }
        // The end of an older offer may have been forgotten, and without room for a tombstone a
        // late offer could run.
        if age >= MEMORY || self.is_full() {
            return State::Gone;
        }
        self.calls.insert(call, State::Fenced);
        self.ended.push_back((now, call));
        State::Fenced
    }

    /// Returns the number of requests in the ledger.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns true when no request is in the ledger.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn is_full(&self) -> bool {
        self.calls.len() as u64 >= self.room.get()
    }

    fn expire(&mut self, now: Moment) {
        while let Some(&(ended, call)) = self.ended.front() {
            if now.since(ended) < MEMORY {
                return;
            }
            self.ended.pop_front();
            self.release(call);
            self.calls.remove(&call);
            // Both queues are in the order in which requests ended.
            if self.answers.front() == Some(&call) {
                self.answers.pop_front();
            }
        }
    }

    /// Gives up the oldest answers until the rest is within the bound. Their requests stay known.
    fn trim(&mut self) {
        while self.kept > self.bytes.get() {
            let Some(call) = self.answers.pop_front() else { return };
            self.release(call);
        }
    }

    fn release(&mut self, call: RequestId) {
        if let Some(state) = self.calls.get_mut(&call)
            && let State::Done(answer) = state
        {
            self.kept -= answer.size().get();
            *state = State::Gone;
        }
    }
}
