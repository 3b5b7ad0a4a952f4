//! Admission: which request gets a slot of the upstream, which one waits, which one is refused.

use {
    crate::{ids::Call, time::Moment, units::Slots},
    std::collections::VecDeque,
};

/// Requests that may wait for each slot. More would only wait past their deadline.
const QUEUE_PER_SLOT: usize = 8;

/// What the gate says to a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It runs now.
    Start,
    /// It waits; a later [`Gate::finish`] names it.
    Wait,
    /// It does not run.
    Refuse,
}

/// The admission state of one upstream.
#[derive(Debug)]
pub struct Gate {
    slots: Slots,
    running: u32,
    queue: VecDeque<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    call: Call,
    expires: Moment,
}

impl Gate {
    /// Creates the gate of an upstream with a number of slots.
    pub fn new(slots: Slots) -> Self {
        Self { slots, running: 0, queue: VecDeque::new() }
    }

    /// Asks for a slot. The request waits no longer than until `expires`.
    pub fn offer(&mut self, call: Call, expires: Moment) -> Offer {
        if self.running < self.slots.get() {
            self.running += 1;
            return Offer::Start;
        }
        if self.queue.len() >= self.slots.get() as usize * QUEUE_PER_SLOT {
            return Offer::Refuse;
        }
        self.queue.push_back(Waiting { call, expires });
        Offer::Wait
    }

    /// Frees a slot and returns the waiting request that takes it.
    pub fn finish(&mut self, now: Moment) -> Option<Call> {
        self.running = self.running.saturating_sub(1);
        let next = std::iter::from_fn(|| self.queue.pop_front()).find(|w| w.expires > now)?;
        self.running += 1;
        Some(next.call)
    }

    /// Takes a request out of the queue. False means that it has a slot already.
    pub fn withdraw(&mut self, call: Call) -> bool {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.call != call);
        self.queue.len() < before
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> Slots {
        Slots::new(self.running)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}
