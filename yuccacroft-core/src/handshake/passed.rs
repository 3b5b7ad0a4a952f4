//! The opening segments that an agent has passed on although its upstream may still answer them.

use crate::{
    flow::FlowKey,
    shards::Shards,
    time::{Moment, Span},
};

/// Time within which an upstream refuses an opening segment at the latest. Callers give up opening a
/// flow after 1.4 s.
const LATE_REFUSAL_TIMEOUT: Span = Span::from_secs(3);

/// The flows whose opening segments were passed on lately, until the upstream accepts one of them
/// nevertheless.
#[derive(Debug, Default)]
pub(super) struct PassedOpenings {
    passed_at: Shards<FlowKey, Moment>,
}

impl PassedOpenings {
    pub fn record(&self, key: FlowKey, now: Moment) {
        self.passed_at.insert(key, now);
    }

    pub fn remove(&self, key: FlowKey) {
        self.passed_at.remove(&key);
    }

    /// Returns true if a refusal of the upstream can be that of an opening segment of this flow.
    pub fn contains(&self, key: FlowKey, now: Moment) -> bool {
        self.passed_at.get(&key).is_some_and(|at| now.since(at) < LATE_REFUSAL_TIMEOUT)
    }

    pub fn expire(&self, now: Moment) {
        self.passed_at.retain(|_, at| now.since(*at) < LATE_REFUSAL_TIMEOUT);
    }
}
