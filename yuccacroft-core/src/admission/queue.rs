//! The requests that wait for a slot, short work apart from long work.

use {
    super::class::Class,
    crate::{
        ids::RequestId,
        time::{Moment, Span},
    },
    std::collections::VecDeque,
};

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub call: RequestId,
    pub class: Class,
    pub since: Moment,
    pub expires: Moment,
}

/// Two queues, each in the order of arrival.
#[derive(Debug)]
pub(super) struct Queue {
    short: VecDeque<Waiting>,
    long: VecDeque<Waiting>,
}

impl Queue {
    pub fn new() -> Self {
        Self { short: VecDeque::new(), long: VecDeque::new() }
    }

    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns true when nothing waits that goes before a new request.
    pub fn is_empty_before(&self, long: bool) -> bool {
        self.short.is_empty() && (!long || self.long.is_empty())
    }

    pub fn push(&mut self, waiting: Waiting, long: bool) {
        self.part(long).push_back(waiting);
    }

    pub fn pop(&mut self, long: bool) -> Option<Waiting> {
        self.part(long).pop_front()
    }

    pub fn remove(&mut self, call: RequestId) -> Option<Waiting> {
        for part in [&mut self.short, &mut self.long] {
            if let Some(index) = part.iter().position(|waiting| waiting.call == call) {
                return part.remove(index);
            }
        }
        None
    }

    /// Takes out the requests that may not wait any longer.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for part in [&mut self.short, &mut self.long] {
            if part.iter().any(|waiting| waiting.expires <= now) {
                expired.extend(part.iter().filter(|waiting| waiting.expires <= now));
                part.retain(|waiting| waiting.expires > now);
            }
        }
        expired
    }

    /// Returns when the first request may not wait any longer.
    pub fn expires(&self) -> Option<Moment> {
        self.short.iter().chain(&self.long).map(|waiting| waiting.expires).min()
    }

    /// Returns true when the first long request has waited one `part`-th of its time.
    pub fn long_is_due(&self, now: Moment, part: u64) -> bool {
        let Some(first) = self.long.front() else { return false };
        now.since(first.since).saturating_mul(part) >= first.expires.since(first.since)
    }

    /// Sums the work that goes before a new request.
    pub fn ahead(&self, long: bool, mean: impl Fn(Class) -> Span) -> Span {
        let long = long.then_some(&self.long).into_iter().flatten();
        let sum = self.short.iter().chain(long).map(|waiting| mean(waiting.class).as_micros());
        Span::from_micros(sum.sum())
    }

    fn part(&mut self, long: bool) -> &mut VecDeque<Waiting> {
        if long { &mut self.long } else { &mut self.short }
    }
}
