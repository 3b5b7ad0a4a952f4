//! The filter chain of requests, up to the wait for a slot.

use {
    http::{Method, request::Parts},
    yuccacroft_core::{
        contract::Terms,
        filter::{Chain, Filter, Verdict},
        ids::Call,
        request::{Effect, Reason},
        time::{Moment, Span},
    },
};

/// The request header by which a caller limits the time for its answer.
pub const DEADLINE: &str = "yuccacroft-deadline";

/// A request as the filters see it.
#[derive(Debug)]
pub struct Item {
    /// The id that the agent gave it.
    pub call: Call,
    /// The head of the request.
    pub parts: Parts,
    /// When it arrived.
    pub now: Moment,
    /// What a repetition would do.
    pub effect: Effect,
    /// When its answer is due.
    pub deadline: Moment,
}

/// The terms of the contract that filters need.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for an answer when the caller states none, and the longest that it may state.
    pub deadline: Span,
}

impl Item {
    /// Takes in the head of a request.
    pub fn new(call: Call, parts: Parts, now: Moment) -> Self {
        Self { call, parts, now, effect: Effect::Once, deadline: now }
    }
}

impl From<&Terms> for Limits {
    fn from(terms: &Terms) -> Self {
        Self { deadline: terms.deadline }
    }
}

/// Creates the chain.
pub fn chain() -> Chain<(Item, Limits), Reason> {
    Chain::new(vec![Box::new(Identity), Box::new(Deadline)])
}

/// Finds what a repetition of the request would do.
struct Identity;

/// Sets the time by which the answer is due.
struct Deadline;

impl Filter<(Item, Limits)> for Identity {
    type Decision = Reason;

    fn name(&self) -> &'static str {
        "identity"
    }

    fn apply(&self, (item, _): &mut (Item, Limits)) -> Verdict<Reason> {
        // RFC 9110, section 9.2.2.
        let idempotent = [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE];
        if idempotent.contains(&item.parts.method) {
            item.effect = Effect::Idempotent;
        }
        Verdict::Continue
    }
}

impl Filter<(Item, Limits)> for Deadline {
    type Decision = Reason;

    fn name(&self) -> &'static str {
        "deadline"
    }

    fn apply(&self, (item, limits): &mut (Item, Limits)) -> Verdict<Reason> {
        let span = match item.parts.headers.get(DEADLINE) {
            None => limits.deadline,
            Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
                Some(span) => limits.deadline.min(span),
                None => return Verdict::Done(Reason::Malformed),
            },
        };
        item.deadline = item.now + span;
        if span == Span::ZERO { Verdict::Done(Reason::Deadline) } else { Verdict::Continue }
    }
}
