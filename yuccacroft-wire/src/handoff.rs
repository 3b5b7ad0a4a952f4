//! Messages between agents of one service: offers of queued requests, fences, and retries that
//! belong to another agent. They are sealed with a key derived from the customer's key.

use {
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        admission::peers::Load,
        flow::Hop,
        idempotency::{Answer, Header},
        ids::{Incarnation, RequestId},
        request::{Effect, Reason},
        time::Span,
    },
};

/// The path of [`Offer`] messages; the answer is a [`Reply`].
pub const OFFER_PATH: &str = "/v1/offer";
/// The path of [`Fence`] messages; the answer is a [`Reply`].
pub const FENCE_PATH: &str = "/v1/fence";
/// The path of [`Relay`] messages; the answer is a [`Relayed`].
pub const RELAY_PATH: &str = "/v1/relay";
/// The purpose under which the key of these messages is derived.
pub const PURPOSE: &str = "handoff";
/// Largest message in bytes: a request or an answer of one megabyte with its headers.
pub const MAX_BYTES: usize = (1 << 20) + (128 << 10);

/// A request as agents pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The method.
    pub method: Box<str>,
    /// The path with its query.
    pub path: Box<str>,
    /// The headers from end to end.
    pub headers: Box<[Header]>,
    /// The whole body.
    #[serde(with = "yuccacroft_core::idempotency::bytes")]
    pub body: Box<[u8]>,
}

/// An agent without a free slot offers a request to a sibling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The request.
    pub call: RequestId,
    /// The life of the receiver that the sender knows.
    pub expected: Incarnation,
    /// The sender.
    pub sender: Hop,
    /// The load of the sender.
    pub load: Load,
    /// What a repetition would do.
    pub effect: Effect,
    /// Time left for the answer.
    pub remaining: Span,
    /// Time for which the receiver may hold the reply back while the request runs.
    pub hold: Span,
    /// The request itself.
    pub work: Work,
}

/// An agent asks what became of an offer, or withdraws it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The request.
    pub call: RequestId,
    /// The life of the receiver that was offered the request.
    pub expected: Incarnation,
    /// Time since the offer was sent.
    pub age: Span,
    /// Time for which the receiver may hold the reply back while the request runs.
    pub hold: Span,
    /// True when the caller is gone and a running request is cancelled.
    pub cancel: bool,
}

/// What an agent says of an offered request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The load of the replying agent.
    pub load: Load,
    /// The state of the request.
    pub state: State,
}

/// The state of an offered request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It never ran there and never will.
    Fenced,
    /// It runs.
    Running,
    /// It was answered.
    Done(Answer),
    /// It may have run, and there is no answer.
    Gone,
}

/// A retry under a key that belongs to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The life of the receiver that the key belongs to.
    pub expected: Incarnation,
    /// Time left for the answer.
    pub remaining: Span,
    /// The request with its key and owner headers.
    pub work: Work,
}

/// The outcome of a [`Relay`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Relayed {
    /// It was answered.
    Answered(Answer),
    /// It did not run.
    NotRun(Reason),
    /// Nobody knows whether it ran.
    Unknown,
}
