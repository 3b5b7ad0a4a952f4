//! The queue of requests that wait at an agent while all slots of its upstream are in use.
//!
//! An upstream refuses requests beyond its slots and queue places, and serves them in order of
//! arrival. Queueing them at the agent instead absorbs bursts, and lets requests that can still
//! meet their latency objective go first, in order of priority.

use crate::{
    flow::FlowKey,
    route::TrafficClass,
    segment::{Segment, Sequence},
    time::{Moment, Span},
};

/// Maximum number of waiting requests: more than an upstream can process before their callers time
/// out.
const MAX_WAITING: usize = 1_024;
/// Maximum number of segments that are kept of one waiting request: as many as a sender has in
/// flight.
const MAX_SEGMENTS_PER_REQUEST: usize = 16;

/// A waiting request and its segments.
#[derive(Clone, Debug)]
struct Waiting {
    key: FlowKey,
    class: TrafficClass,
    due: Moment,
    expires: Moment,
    segments: Vec<(Sequence, Box<[u8]>)>,
}

/// The waiting requests of one agent.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waiting: Vec<Waiting>,
}

/// A request that was removed from the backlog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// The request goes to the upstream with these datagrams, in order of arrival.
    Start(FlowKey, Vec<Box<[u8]>>),
    /// The request reached its timeout, so its caller no longer waits.
    Expired(FlowKey),
}

impl Backlog {
    /// Adds a segment of a request. A repeated segment is ignored. Returns false if the segment
    /// belongs to a new request and the backlog is full.
    pub fn add(
        &mut self,
        segment: &Segment,
        datagram: &[u8],
        class: TrafficClass,
        now: Moment,
    ) -> bool {
        let key = segment.flow.key();
        let position = match self.waiting.iter().position(|waiting| waiting.key == key) {
            Some(position) => position,
            None if self.waiting.len() >= MAX_WAITING => return false,
            None => {
                self.waiting.push(Waiting {
                    key,
                    class,
                    due: now + class.objective,
                    expires: now + class.timeout,
                    segments: Vec::new(),
                });
                self.waiting.len() - 1
            }
        };
        let segments = &mut self.waiting[position].segments;
        let is_repeated = segments.iter().any(|(sequence, _)| *sequence == segment.sequence);
        if !is_repeated && segments.len() < MAX_SEGMENTS_PER_REQUEST {
            segments.push((segment.sequence, datagram.into()));
        }
        true
    }

    /// Removes and returns an expired request, or else the one that goes next: requests that can
    /// still meet their objective come first, then higher priority, then the earlier due time.
    /// `service_time` is the mean time that the upstream takes for a request.
    pub fn release(&mut self, service_time: Span, now: Moment) -> Option<Release> {
        if let Some(position) = self.waiting.iter().position(|waiting| waiting.expires <= now) {
            return Some(Release::Expired(self.waiting.swap_remove(position).key));
        }
        let priority_order = |waiting: &Waiting| {
            let is_late = waiting.due < now + service_time;
            (is_late, waiting.class.priority, waiting.due, waiting.key)
        };
        let next = (0..self.waiting.len())
            .min_by_key(|&position| priority_order(&self.waiting[position]))?;
        let Waiting { key, segments, .. } = self.waiting.swap_remove(next);
        Some(Release::Start(key, segments.into_iter().map(|(_, datagram)| datagram).collect()))
    }

    /// Removes the request of a flow that has ended.
    pub fn remove(&mut self, key: FlowKey) {
        self.waiting.retain(|waiting| waiting.key != key);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
