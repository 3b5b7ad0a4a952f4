//! A closed flow, whose late segments its agent still delivers.

use crate::{
    segment::Sequence,
    time::{Moment, Span},
};

/// Time for which a closed flow is kept. An upstream repeats its last segment eight times, at
/// intervals from 0.2 s to 1.6 s, and needs the acknowledgement of its caller until then.
const CLOSED_FLOW_TTL: Span = Span::from_secs(10);

/// A flow that both ends have finished, or that its caller has reset.
///
/// Late copies of its segments still go to the upstream, which answers them. Its addresses are free:
/// a caller may open another flow from the same port at any upstream, so nothing else of the key is
/// this agent's.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedFlow {
    /// The latest position that the caller acknowledged.
    acknowledged: Sequence,
    closed_at: Moment,
}

impl ClosedFlow {
    /// Creates the state of a flow that is closed since `closed_at`.
    pub fn new(acknowledged: Sequence, closed_at: Moment) -> Self {
        Self { acknowledged, closed_at }
    }

    /// Returns true if a segment that is at this position of the upstream's stream is a late copy of
    /// this flow's, and not part of a later flow with the same addresses.
    pub fn holds(&self, position: Sequence) -> bool {
        position.is_near(self.acknowledged)
    }

    /// Returns true once neither end repeats a segment any more.
    pub fn has_expired(&self, now: Moment) -> bool {
        now.since(self.closed_at) >= CLOSED_FLOW_TTL
    }
}
