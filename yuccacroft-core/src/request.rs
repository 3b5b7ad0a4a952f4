//! The life cycle of a request at the agent that owns it.
//!
//! A refusal as "not run" exists only on states before `Dispatched`, so that a false one does not
//! compile. After dispatch a request ends as answered or as unknown.

use {
    crate::{
        fence::Fenced,
        flow::Hop,
        ids::RequestId,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter},
};

/// The request has arrived and nothing was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received(());

/// The request waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queued {
    since: Moment,
}

/// The request was offered to a sibling. Only the sibling's word that it never ran brings it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offered {
    to: Hop,
    queued: Moment,
    since: Moment,
}

/// The request went to an upstream; from here on it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    since: Moment,
}

/// The whole answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    took: Span,
}

/// Whether running a request twice does the same as running it once (RFC 9110, 9.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// A repetition changes nothing.
    Idempotent,
    /// A repetition does harm; the system sends it at most once.
    Once,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The contract does not cover it.
    Contract,
    /// All slots are taken and the wait would be too long.
    Overload,
    /// Its deadline passed while it waited.
    Deadline,
    /// The upstream is leaving or gone.
    Leaving,
    /// The request is ill-formed.
    Malformed,
    /// Its idempotency key was refused before, so a late copy must not run.
    Tombstone,
    /// Its idempotency key belongs to a request with another method, path or body.
    Conflict,
}

/// Proof that a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    call: RequestId,
    reason: Reason,
}

/// A request that went out and brought no whole answer, so that nobody knows whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown {
    call: RequestId,
}

/// A request in one state of its life cycle.
#[derive(Debug, PartialEq, Eq)]
pub struct Request<S> {
    call: RequestId,
    effect: Effect,
    deadline: Moment,
    state: S,
}

impl Request<Received> {
    /// Takes in a request that has to be answered by `deadline`.
    pub fn new(call: RequestId, effect: Effect, deadline: Moment) -> Self {
        Self { call, effect, deadline, state: Received(()) }
    }

    /// Lets the request wait for a slot.
    pub fn queue(self, now: Moment) -> Request<Queued> {
        self.with_state(Queued { since: now })
    }

    /// Refuses the request.
    pub fn refuse(self, reason: Reason) -> Refusal {
        Refusal { call: self.call, reason }
    }
}

impl Request<Received> {
    /// Gives up on a request of which an earlier copy may have run.
    pub fn disown(self) -> Unknown {
        Unknown { call: self.call }
    }
}

impl Request<Queued> {
    /// Returns when the request began to wait.
    pub fn since(&self) -> Moment {
        self.state.since
    }

    /// Offers the request to a sibling. This comes before the first byte of the offer is sent.
    pub fn offer(self, to: Hop, now: Moment) -> Request<Offered> {
        let queued = self.state.since;
        self.with_state(Offered { to, queued, since: now })
    }

    /// Returns how long the request has waited.
    pub fn waited(&self, now: Moment) -> Span {
        now.since(self.state.since)
    }

    /// Hands the request to an upstream. This comes before its first byte is sent.
    pub fn dispatch(self, now: Moment) -> Request<Dispatched> {
        self.with_state(Dispatched { since: now })
    }

    /// Refuses the request.
    pub fn refuse(self, reason: Reason) -> Refusal {
        Refusal { call: self.call, reason }
    }
}

impl Request<Offered> {
    /// Returns the time since the offer.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.state.since)
    }

    /// Lets the request wait again after the sibling fenced it. The word on another request or of
    /// an earlier life of the sibling proves nothing, so the outcome is then unknown.
    pub fn take_back(self, proof: Fenced) -> Result<Request<Queued>, Unknown> {
        if proof.call() != self.call || proof.by() != self.state.to {
            return Err(self.abandon());
        }
        let since = self.state.queued;
        Ok(self.with_state(Queued { since }))
    }

    /// Lets an idempotent request wait for another attempt, whatever became of this one.
    pub fn again(self) -> Result<Request<Queued>, Unknown> {
        let since = self.state.queued;
        match self.effect {
            Effect::Idempotent => Ok(self.with_state(Queued { since })),
            Effect::Once => Err(self.abandon()),
        }
    }

    /// Notes that the sibling brought the whole answer.
    pub fn answer(self, now: Moment) -> Request<Answered> {
        let took = now.since(self.state.since);
        self.with_state(Answered { took })
    }

    /// Gives up on an answer.
    pub fn abandon(self) -> Unknown {
        Unknown { call: self.call }
    }
}

impl Request<Dispatched> {
    /// Lets an idempotent request wait for another attempt. A request that may run only once is
    /// never sent again.
    pub fn again(self, now: Moment) -> Result<Request<Queued>, Unknown> {
        match self.effect {
            Effect::Idempotent => Ok(self.with_state(Queued { since: now })),
            Effect::Once => Err(self.abandon()),
        }
    }

    /// Notes that the whole answer arrived.
    pub fn answer(self, now: Moment) -> Request<Answered> {
        let took = now.since(self.state.since);
        self.with_state(Answered { took })
    }

    /// Gives up on an answer.
    pub fn abandon(self) -> Unknown {
        Unknown { call: self.call }
    }
}

impl Request<Answered> {
    /// Returns the time from dispatch to the whole answer.
    pub fn took(&self) -> Span {
        self.state.took
    }
}

impl<S> Request<S> {
    fn with_state<T>(self, state: T) -> Request<T> {
        Request { call: self.call, effect: self.effect, deadline: self.deadline, state }
    }

    /// Returns the id.
    pub fn call(&self) -> RequestId {
        self.call
    }

    /// Returns what a repetition would do.
    pub fn effect(&self) -> Effect {
        self.effect
    }

    /// Returns when the answer is due.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns the time left, zero when the deadline has passed.
    pub fn remaining(&self, now: Moment) -> Span {
        self.deadline.since(now)
    }
}

impl Refusal {
    /// Returns the id of the request.
    pub fn call(&self) -> RequestId {
        self.call
    }

    /// Returns why it was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the refusal of a later copy, which did not run either.
    pub fn late(self, reason: Reason) -> Self {
        Self { reason, ..self }
    }
}

impl Unknown {
    /// Returns the id of the request.
    pub fn call(&self) -> RequestId {
        self.call
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Contract => "contract",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::Malformed => "malformed",
            Self::Tombstone => "tombstone",
            Self::Conflict => "conflict",
        })
    }
}
