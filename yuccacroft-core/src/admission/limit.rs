//! The number of requests that an upstream may run, learned from what became of them.

use crate::{
    time::{Moment, Span},
    units::Slots,
};

/// Part of the limit that remains after the upstream shed a request.
const SHED_FACTOR: f64 = 0.75;
/// Part of the limit that remains after a request brought no answer.
const LOST_FACTOR: f64 = 0.5;
/// First pause of an upstream that sheds although it runs one request at most.
const FIRST_PAUSE: Span = Span::from_millis(20);
const LONGEST_PAUSE: Span = Span::from_secs(1);
/// Time after which a hint says nothing any more.
const HINT_MEMORY: Span = Span::from_secs(2);

/// What became of a request at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// It was answered.
    Answered,
    /// The upstream said that it has no room (RFC 9110, 15.6.4; RFC 6585, 4).
    Shed,
    /// No answer came.
    Lost,
    /// The caller cancelled it.
    Cancelled,
}

/// What the health and load endpoints of the upstream say. They may be stale or wrong, so a hint
/// never raises the limit, and one success takes away what it lowered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Whether the upstream calls itself healthy.
    pub healthy: bool,
    /// How many requests it says it runs.
    pub running: Slots,
}

/// The learned limit of one upstream.
#[derive(Debug)]
pub struct Limit {
    slots: Slots,
    learned: f64,
    begun: Moment,
    warmup: Span,
    lowered: Moment,
    pause: Span,
    resume: Moment,
    doubt: Option<Doubt>,
}

#[derive(Clone, Copy, Debug)]
struct Doubt {
    since: Moment,
    limit: u32,
}

impl Limit {
    /// Creates the limit of an upstream that began at `now`, grows over `warmup` and never runs
    /// more than `slots` requests.
    pub fn new(slots: Slots, warmup: Span, now: Moment) -> Self {
        Self {
            slots,
            learned: f64::from(slots.get().max(1)),
            begun: now,
            warmup,
            lowered: now,
            pause: Span::ZERO,
            resume: now,
            doubt: None,
        }
    }

    /// Changes the number of slots. A limit that no outcome has lowered follows it at once, since an
    /// agent has no slot until its share of the capacity is granted.
    pub fn set_slots(&mut self, slots: Slots) {
        let (old, new) = (f64::from(self.slots.get().max(1)), f64::from(slots.get().max(1)));
        self.learned = if self.learned >= old { new } else { self.learned.min(new) };
        self.slots = slots;
    }

    /// Returns how many requests may run now; zero during a pause.
    pub fn get(&self, now: Moment) -> u32 {
        if now < self.resume || self.slots.get() == 0 {
            return 0;
        }
        let learned = self.learned as u32;
        let doubted = match self.doubt {
            Some(doubt) if now.since(doubt.since) < HINT_MEMORY => doubt.limit,
            Some(_) | None => u32::MAX,
        };
        learned.min(doubted).min(self.ramp(now)).max(1)
    }

    /// Returns when the pause ends, if there is one.
    pub fn resume(&self, now: Moment) -> Option<Moment> {
        (now < self.resume).then_some(self.resume)
    }

    /// Learns from a request that went out at `sent`.
    pub fn learn(&mut self, observed: Observed, sent: Moment, now: Moment) {
        match observed {
            Observed::Answered => self.raise(),
            Observed::Shed => self.lower(SHED_FACTOR, sent, now),
            Observed::Lost => self.lower(LOST_FACTOR, sent, now),
            Observed::Cancelled => {}
        }
    }

    /// Takes a hint. `running` is the number of requests that the agent itself has there.
    pub fn hint(&mut self, hint: Hint, running: u32, now: Moment) {
        let others = hint.running.get().saturating_sub(running);
        let limit = if hint.healthy { self.slots.get().saturating_sub(others).max(1) } else { 1 };
        self.doubt = (limit < self.slots.get()).then_some(Doubt { since: now, limit });
    }

    fn raise(&mut self) {
        let slots = f64::from(self.slots.get().max(1));
        self.learned = (self.learned + 1.0 / self.learned).min(slots);
        self.pause = Span::ZERO;
        self.doubt = None;
    }

    /// Requests that were sent before the limit was last lowered say nothing of the present one.
    fn lower(&mut self, factor: f64, sent: Moment, now: Moment) {
        if sent < self.lowered {
            return;
        }
        self.lowered = now;
        if self.learned < 2.0 {
            self.pause = self.pause.saturating_mul(2).max(FIRST_PAUSE).min(LONGEST_PAUSE);
            self.resume = now + self.pause;
        }
        self.learned = (self.learned * factor).max(1.0);
    }

    fn ramp(&self, now: Moment) -> u32 {
        let elapsed = now.since(self.begun).as_micros();
        let warmup = self.warmup.as_micros();
        if elapsed >= warmup {
            return self.slots.get();
        }
        (u128::from(self.slots.get()) * u128::from(elapsed) / u128::from(warmup)) as u32
    }
}
