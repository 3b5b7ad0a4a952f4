//! Messages between agents of one service: offers of queued requests, fences, and retries whose
//! idempotency key another agent owns. A key derived from the customer's key authenticates them.

use {
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        admission::peers::SiblingLoad,
        flow::AgentId,
        idempotency::{Answer, Header},
        ids::{Incarnation, RequestId},
        request::{Effect, RefusalReason},
        time::Span,
    },
};

/// The path of [`Offer`] messages; the answer is a [`HandoffReply`].
pub const OFFER_PATH: &str = "/v1/offer";
/// The path of [`Fence`] messages; the answer is a [`HandoffReply`].
pub const FENCE_PATH: &str = "/v1/fence";
/// The path of [`RelayRequest`] messages; the answer is a [`RelayOutcome`].
pub const RELAY_PATH: &str = "/v1/relay";
/// The purpose for which the key of these messages is derived.
pub const KEY_PURPOSE: &str = "handoff";
/// Upper bound of a message in bytes: a request or an answer of one megabyte with its headers.
pub const MAX_BYTES: usize = (1 << 20) + (128 << 10);

/// An HTTP request as agents forward it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Box<str>,
    /// The path with its query.
    pub path: Box<str>,
    /// The end-to-end headers.
    pub headers: Box<[Header]>,
    /// The complete body.
    #[serde(with = "yuccacroft_core::idempotency::bytes")]
    pub body: Box<[u8]>,
}

/// An offer of a request to a sibling, sent by an agent without a free slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The id of the request.
    #[serde(rename = "call")]
    pub request_id: RequestId,
    /// The incarnation of the receiver that the sender knows.
    pub expected: Incarnation,
    /// The sender.
    pub sender: AgentId,
    /// The load of the sender.
    pub load: SiblingLoad,
    /// Whether the request may be run more than once.
    pub effect: Effect,
    /// The time left for the answer.
    pub remaining: Span,
    /// The time for which the receiver may delay the reply while the request runs.
    pub hold: Span,
    /// The request itself.
    pub work: ForwardedRequest,
}

/// A query for the state of an offer, or its withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The id of the request.
    #[serde(rename = "call")]
    pub request_id: RequestId,
    /// The incarnation of the receiver to which the request was offered.
    pub expected: Incarnation,
    /// The time since the offer was sent.
    pub age: Span,
    /// The time for which the receiver may delay the reply while the request runs.
    pub hold: Span,
    /// Whether to cancel the request if it runs, because the caller is gone.
    pub cancel: bool,
}

/// The answer to an [`Offer`] or a [`Fence`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoffReply {
    /// The load of the replying agent.
    pub load: SiblingLoad,
    /// The state of the request.
    pub state: RequestState,
}

/// The state of an offered request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestState {
    /// The request has not run at the replying agent and never will.
    Fenced,
    /// The request runs.
    Running,
    /// The upstream answered the request.
    Done(Answer),
    /// The request may have run, and no answer is available.
    Gone,
}

/// A retry with an idempotency key that the receiver owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The incarnation of the receiver that owns the key.
    pub expected: Incarnation,
    /// The time left for the answer.
    pub remaining: Span,
    /// The request with its idempotency-key and owner headers.
    pub work: ForwardedRequest,
}

/// The outcome of a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayOutcome {
    /// The upstream answered the request.
    Answered(Answer),
    /// The request did not run.
    NotRun(RefusalReason),
    /// It is unknown whether the request ran.
    Unknown,
}
