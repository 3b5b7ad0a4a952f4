//! The queue of requests that wait for a slot, with separate lanes for short and long requests.

use {
    super::class::Class,
    crate::{
        ids::RequestId,
        time::{Moment, Span},
    },
    std::collections::VecDeque,
};

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub request_id: RequestId,
    pub class: Class,
    pub since: Moment,
    pub expires: Moment,
}

/// Two first-in, first-out lanes.
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

    /// Returns true if no queued request goes before a new one.
    pub fn is_empty_ahead_of(&self, long: bool) -> bool {
        self.short.is_empty() && (!long || self.long.is_empty())
    }

    pub fn push(&mut self, waiting: Waiting, long: bool) {
        self.lane(long).push_back(waiting);
    }

    pub fn pop(&mut self, long: bool) -> Option<Waiting> {
        self.lane(long).pop_front()
    }

    pub fn remove(&mut self, request_id: RequestId) -> Option<Waiting> {
        for queue in [&mut self.short, &mut self.long] {
            if let Some(index) = queue.iter().position(|waiting| waiting.request_id == request_id) {
                return queue.remove(index);
            }
        }
        None
    }

    /// Removes and returns the requests that have expired.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for queue in [&mut self.short, &mut self.long] {
            if queue.iter().any(|waiting| waiting.expires <= now) {
                expired.extend(queue.iter().filter(|waiting| waiting.expires <= now));
                queue.retain(|waiting| waiting.expires > now);
            }
        }
        expired
    }

    /// Returns when the first request expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.short.iter().chain(&self.long).map(|waiting| waiting.expires).min()
    }

    /// Returns true if the first long request has waited for its maximum wait divided by
    /// `divisor`.
    pub fn long_is_due(&self, now: Moment, divisor: u64) -> bool {
        let Some(first) = self.long.front() else { return false };
        now.since(first.since).saturating_mul(divisor) >= first.expires.since(first.since)
    }

    /// Returns the sum of the mean service times of the requests that go before a new one.
    pub fn work_ahead(&self, long: bool, mean: impl Fn(Class) -> Span) -> Span {
        let long = long.then_some(&self.long).into_iter().flatten();
        let sum = self.short.iter().chain(long).map(|waiting| mean(waiting.class).as_micros());
        Span::from_micros(sum.sum())
    }

    fn lane(&mut self, long: bool) -> &mut VecDeque<Waiting> {
        if long { &mut self.long } else { &mut self.short }
    }
}
