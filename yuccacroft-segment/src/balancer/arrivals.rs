//! Segments that came before the balancer knew enough to forward them.
//!
//! A balancer that starts gets packets before its first answer of the store. Their senders repeat
//! them after hundreds of milliseconds only, so that keeping them saves callers most of that time.

use yuccacroft_core::{
    flow::Key,
    segment::Segment,
    shards::Shards,
    time::{Moment, Span},
};

/// Time for which a segment waits. Its caller gives up an opening after 1.4 s.
const PATIENCE: Span = Span::from_millis(1_000);
/// Segments of one flow that wait.
const MAX_SEGMENTS: usize = 4;
/// Flows with segments that wait, so that strangers cannot fill the memory: 2 MB with one segment
/// each.
const MAX_FLOWS: usize = 1_024;

/// The segments of one flow that wait.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the first one came.
    pub since: Moment,
    /// Why they wait.
    pub cause: &'static str,
    /// The heads with the datagrams, the oldest first.
    pub segments: Vec<(Segment, Box<[u8]>)>,
}

/// All segments that wait.
#[derive(Debug, Default)]
pub struct Arrivals {
    waiting: Shards<Key, Arrival>,
}

impl Arrival {
    /// Returns true when the caller has given up the segments or sends them again soon.
    pub fn is_expired(&self, now: Moment) -> bool {
        now.since(self.since) >= PATIENCE
    }
}

impl Arrivals {
    /// Keeps a segment that came at `since`. A copy of one that waits changes nothing. Returns false
    /// when there is no room.
    pub fn add(
        &self,
        segment: &Segment,
        datagram: &[u8],
        cause: &'static str,
        since: Moment,
    ) -> bool {
        let key = segment.flow.key();
        let full = self.waiting.shard_len(&key) >= MAX_FLOWS / self.waiting.shard_count();
        self.waiting.update(key, |slot| {
            if slot.is_none() && full {
                return false;
            }
            let arrival = slot.get_or_insert(Arrival { since, cause, segments: Vec::new() });
            let same = |known: &Segment| {
                (known.control, known.sequence) == (segment.control, segment.sequence)
            };
            if arrival.segments.iter().any(|(known, _)| same(known)) {
                return true;
            }
            let room = arrival.segments.len() < MAX_SEGMENTS;
            if room {
                arrival.segments.push((*segment, datagram.into()));
            }
            room
        })
    }

    /// Takes all of them out.
    pub fn take(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        self.waiting.retain(|_, arrival| {
            all.push(arrival.clone());
            false
        });
        all
    }

    /// Returns the number of flows with segments that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
