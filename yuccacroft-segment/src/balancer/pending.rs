//! Segments that wait until the balancer has a configuration and agents to forward them to.
//!
//! A starting balancer receives packets before the first response of the store. Callers retransmit
//! them only after hundreds of milliseconds, so that keeping them saves callers most of that time.

use yuccacroft_core::{
    flow::FlowKey,
    segment::Segment,
    shards::Shards,
    time::{Moment, Span},
};

/// Longest time for which a segment waits. Callers give up opening a flow after 1.4 s.
const MAX_WAIT: Span = Span::from_millis(1_000);
/// Limit of waiting segments of one flow.
const MAX_SEGMENTS_PER_FLOW: usize = 4;
/// Limit of flows with waiting segments, so that untrusted senders cannot exhaust the memory: 2 MB
/// with one segment each.
const MAX_FLOWS: usize = 1_024;

/// The waiting segments of one flow.
#[derive(Clone, Debug)]
pub struct PendingFlow {
    /// The time at which the first segment was received.
    pub received_at: Moment,
    /// The reason why the segments wait, for the log.
    pub cause: &'static str,
    /// The decoded segments with their datagrams, oldest first.
    pub segments: Vec<(Segment, Box<[u8]>)>,
}

/// The waiting segments of all flows.
#[derive(Debug, Default)]
pub struct PendingSegments {
    flows: Shards<FlowKey, PendingFlow>,
}

impl PendingFlow {
    /// Returns true if the segments have waited for so long that the caller has given up or
    /// retransmits soon.
    pub fn is_expired(&self, now: Moment) -> bool {
        now.since(self.received_at) >= MAX_WAIT
    }
}

impl PendingSegments {
    /// Adds a segment that was received at `received_at`. A copy of a waiting segment changes
    /// nothing. Returns false if a limit is reached.
    pub fn add(
        &self,
        segment: &Segment,
        datagram: &[u8],
        cause: &'static str,
        received_at: Moment,
    ) -> bool {
        let key = segment.flow.key();
        let is_full = self.flows.shard_len(&key) >= MAX_FLOWS / self.flows.shard_count();
        self.flows.update(key, |slot| {
            if slot.is_none() && is_full {
                return false;
            }
            let flow = slot.get_or_insert(PendingFlow { received_at, cause, segments: Vec::new() });
            let is_copy = |known: &Segment| {
                (known.control, known.sequence) == (segment.control, segment.sequence)
            };
            if flow.segments.iter().any(|(known, _)| is_copy(known)) {
                return true;
            }
            let fits = flow.segments.len() < MAX_SEGMENTS_PER_FLOW;
            if fits {
                flow.segments.push((*segment, datagram.into()));
            }
            fits
        })
    }

    /// Removes and returns all waiting segments.
    pub fn take(&self) -> Vec<PendingFlow> {
        let mut all = Vec::new();
        self.flows.retain(|_, flow| {
            all.push(flow.clone());
            false
        });
        all
    }

    /// Returns the number of flows with waiting segments.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns true if no segment waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
