//! Read-only views of the flow table for logs.

use {
    super::{
        state::{Entry, State},
        table::FlowTable,
    },
    crate::{
        flow::FlowKey,
        segment::Sequence,
        time::{Moment, Span},
    },
};

/// An offered flow whose caller has not yet acknowledged the upstream's acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedFlow {
    /// The sequence number with which the upstream accepted the flow, or `None` if it has not.
    pub accepted: Option<Sequence>,
    /// The time since the latest copy of the opening segment.
    pub age: Span,
}

impl FlowTable {
    /// Returns the state of a flow that is offered and not open, or `None` in any other state.
    pub fn offered_flow(&self, key: FlowKey, now: Moment) -> Option<OfferedFlow> {
        self.entries.read(&key, |entry| match entry {
            Some(Entry { state: State::Offered { changed_at, .. }, .. }) => {
                Some(OfferedFlow { accepted: None, age: now.since(*changed_at) })
            }
            Some(Entry { state: State::Accepted { sequence, changed_at }, .. }) => {
                Some(OfferedFlow { accepted: Some(*sequence), age: now.since(*changed_at) })
            }
            _ => None,
        })
    }
}
