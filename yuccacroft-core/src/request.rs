//! The life cycle of a request at the agent that received it from the caller.
//!
//! A request can be refused as "not run" only in the states before `Dispatched`, so that code which
//! refuses a request that may have run does not compile. After dispatch a request ends as answered
//! or as unknown.

use {
    crate::{
        fence::FenceProof,
        flow::AgentId,
        ids::RequestId,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter},
};

/// State: the request has arrived and is not yet queued or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received(());

/// State: the request waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queued {
    since: Moment,
}

/// State: the request was offered to a sibling. A request that must not run twice returns to the
/// queue only with proof from the sibling that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offered {
    to: AgentId,
    queued_at: Moment,
    since: Moment,
}

/// State: the request was sent to an upstream and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    since: Moment,
}

/// State: the complete answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    response_time: Span,
}

/// Whether a request is idempotent (RFC 9110, 9.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Repeating the request has the same effect as running it once.
    Idempotent,
    /// Repeating the request may have further effects, so it is sent to an upstream at most once.
    Once,
}

/// The reason for refusing a request before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The contract does not cover the request.
    Contract,
    /// All slots are in use and the expected wait is too long.
    Overload,
    /// The deadline passed before the request started.
    Deadline,
    /// The upstream is shutting down or unreachable.
    Leaving,
    /// The request is malformed.
    Malformed,
    /// A request with the same idempotency key was refused before, so a later copy must not run.
    Tombstone,
    /// The idempotency key is bound to a request with a different method, path or body.
    Conflict,
}

/// Proof that a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    request_id: RequestId,
    reason: RefusalReason,
}

/// A request whose outcome is unknown: it may have run, and no complete answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown {
    request_id: RequestId,
}

/// A request in a state of its life cycle.
#[derive(Debug, PartialEq, Eq)]
pub struct Request<S> {
    request_id: RequestId,
    effect: Effect,
    deadline: Moment,
    state: S,
}

impl Request<Received> {
    /// Creates a request that must be answered by `deadline`.
    pub fn new(request_id: RequestId, effect: Effect, deadline: Moment) -> Self {
        Self { request_id, effect, deadline, state: Received(()) }
    }

    /// Puts the request into the queue for a slot.
    pub fn queue(self, now: Moment) -> Request<Queued> {
        self.with_state(Queued { since: now })
    }

    /// Refuses the request.
    pub fn refuse(self, reason: RefusalReason) -> Refusal {
        Refusal { request_id: self.request_id, reason }
    }
}

impl Request<Received> {
    /// Ends a request as unknown, because an earlier copy of it may have run.
    pub fn abandon(self) -> Unknown {
        Unknown { request_id: self.request_id }
    }
}

impl Request<Queued> {
    /// Returns when the request was queued.
    pub fn since(&self) -> Moment {
        self.state.since
    }

    /// Marks the request as offered to a sibling. Must be called before the first byte of the offer
    /// is sent.
    pub fn offer(self, to: AgentId, now: Moment) -> Request<Offered> {
        let queued_at = self.state.since;
        self.with_state(Offered { to, queued_at, since: now })
    }

    /// Returns the time since the request was queued.
    pub fn waited(&self, now: Moment) -> Span {
        now.since(self.state.since)
    }

    /// Marks the request as sent to an upstream. Must be called before its first byte is sent.
    pub fn dispatch(self, now: Moment) -> Request<Dispatched> {
        self.with_state(Dispatched { since: now })
    }

    /// Refuses the request.
    pub fn refuse(self, reason: RefusalReason) -> Refusal {
        Refusal { request_id: self.request_id, reason }
    }
}

impl Request<Offered> {
    /// Returns the time since the offer.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.state.since)
    }

    /// Returns the request to the queue after the sibling fenced it. A proof for another request or
    /// from another incarnation of the sibling is not valid; the outcome is unknown in this case.
    pub fn requeue_fenced(self, proof: FenceProof) -> Result<Request<Queued>, Unknown> {
        if proof.request_id() != self.request_id || proof.sibling() != self.state.to {
            return Err(self.abandon());
        }
        let since = self.state.queued_at;
        Ok(self.with_state(Queued { since }))
    }

    /// Returns an idempotent request to the queue for another attempt, whether or not the sibling
    /// ran it. Any other request ends as unknown.
    pub fn retry(self) -> Result<Request<Queued>, Unknown> {
        let since = self.state.queued_at;
        match self.effect {
            Effect::Idempotent => Ok(self.with_state(Queued { since })),
            Effect::Once => Err(self.abandon()),
        }
    }

    /// Records that the sibling returned the complete answer.
    pub fn answer(self, now: Moment) -> Request<Answered> {
        let response_time = now.since(self.state.since);
        self.with_state(Answered { response_time })
    }

    /// Ends the request as unknown.
    pub fn abandon(self) -> Unknown {
        Unknown { request_id: self.request_id }
    }
}

impl Request<Dispatched> {
    /// Returns an idempotent request to the queue for another attempt. Any other request ends as
    /// unknown.
    pub fn retry(self, now: Moment) -> Result<Request<Queued>, Unknown> {
        match self.effect {
            Effect::Idempotent => Ok(self.with_state(Queued { since: now })),
            Effect::Once => Err(self.abandon()),
        }
    }

    /// Records that the complete answer arrived.
    pub fn answer(self, now: Moment) -> Request<Answered> {
        let response_time = now.since(self.state.since);
        self.with_state(Answered { response_time })
    }

    /// Ends the request as unknown.
    pub fn abandon(self) -> Unknown {
        Unknown { request_id: self.request_id }
    }
}

impl Request<Answered> {
    /// Returns the time from the dispatch or the offer to the complete answer.
    pub fn response_time(&self) -> Span {
        self.state.response_time
    }
}

impl<S> Request<S> {
    fn with_state<T>(self, state: T) -> Request<T> {
        Request { request_id: self.request_id, effect: self.effect, deadline: self.deadline, state }
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Returns whether the request is idempotent.
    pub fn effect(&self) -> Effect {
        self.effect
    }

    /// Returns when the answer is due.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns the time until the deadline, zero when it has passed.
    pub fn remaining(&self, now: Moment) -> Span {
        self.deadline.since(now)
    }
}

impl Refusal {
    /// Returns the id of the request.
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Returns the reason of the refusal.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Returns the same refusal with another reason, for a later copy of the request, which did not
    /// run either.
    pub fn with_reason(self, reason: RefusalReason) -> Self {
        Self { reason, ..self }
    }
}

impl Unknown {
    /// Returns the id of the request.
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }
}

impl Display for RefusalReason {
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
