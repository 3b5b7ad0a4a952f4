//! The requests that wait at an agent while its upstream works on as many as it can.
//!
//! An upstream answers more requests than it has slots and queue places for with a refusal, and
//! works in the order of arrival. Waiting here instead keeps requests alive through a burst, and
//! lets those go first that can still be answered in time, by their importance.

use crate::{
    flow::Key,
    route::TrafficClass,
    segment::{Segment, Sequence},
    time::{Moment, Span},
};

/// Requests that wait at most; more than an upstream can work off before their callers give up.
const MAX_WAITING: usize = 1_024;
/// Segments that one waiting request may have, as many as a sender has in flight.
const MAX_SEGMENTS: usize = 16;

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting {
    key: Key,
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

/// A request that waits no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// It goes to the upstream with these segments, in the order of their arrival.
    Start(Key, Vec<Box<[u8]>>),
    /// Its caller has given up.
    Expired(Key),
}

impl Backlog {
    /// Adds a segment of a request. A repeated segment changes nothing. Returns false when there is
    /// no room for another request.
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
        let known = segments.iter().any(|(sequence, _)| *sequence == segment.sequence);
        if !known && segments.len() < MAX_SEGMENTS {
            segments.push((segment.sequence, datagram.into()));
        }
        true
    }

    /// Takes out the request that goes next, or one whose caller has given up. `service_time` is
    /// how long the upstream takes for a request.
    pub fn release(&mut self, service_time: Span, now: Moment) -> Option<Release> {
        if let Some(position) = self.waiting.iter().position(|waiting| waiting.expires <= now) {
            return Some(Release::Expired(self.waiting.swap_remove(position).key));
        }
        let rank = |waiting: &Waiting| {
            let late = waiting.due < now + service_time;
            (late, waiting.class.priority, waiting.due, waiting.key)
        };
        let best = (0..self.waiting.len()).min_by_key(|&position| rank(&self.waiting[position]))?;
        let Waiting { key, segments, .. } = self.waiting.swap_remove(best);
        Some(Release::Start(key, segments.into_iter().map(|(_, datagram)| datagram).collect()))
    }

    /// Takes out a request whose flow has ended.
    pub fn remove(&mut self, key: Key) {
        self.waiting.retain(|waiting| waiting.key != key);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
