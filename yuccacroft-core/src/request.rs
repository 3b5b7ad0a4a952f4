//! The life cycle of a request at the agent that owns it.
//!
//! A refusal as "not run" exists only on states before `Dispatched`, so that a false one does not
//! compile. After dispatch a request ends as answered or as unknown.

use {
    crate::{
        ids::Call,
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
}

/// Proof that a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    call: Call,
    reason: Reason,
}

/// A request that went out and brought no whole answer, so that nobody knows whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown {
    call: Call,
}

/// A request in one state of its life cycle.
#[derive(Debug, PartialEq, Eq)]
pub struct Request<S> {
    call: Call,
    effect: Effect,
    deadline: Moment,
    state: S,
}

impl Request<Received> {
    /// Takes in a request that has to be answered by `deadline`.
    pub fn new(call: Call, effect: Effect, deadline: Moment) -> Self {
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

impl Request<Queued> {
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

impl Request<Dispatched> {
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
    pub fn call(&self) -> Call {
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
    pub fn call(&self) -> Call {
        self.call
    }

    /// Returns why it was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }
}

impl Unknown {
    /// Returns the id of the request.
    pub fn call(&self) -> Call {
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
        })
    }
}
