//! The concurrency limit of an upstream, adjusted by the outcome of each request.

use crate::{
    time::{Moment, Span},
    units::Slots,
};

/// Factor applied to the limit after the upstream shed a request.
const SHED_FACTOR: f64 = 0.75;
/// Factor applied to the limit after a request got no answer.
const LOST_FACTOR: f64 = 0.5;
/// First pause of an upstream that fails requests although at most one of them runs. Doubles up to
/// [`LONGEST_PAUSE`] until a request is answered.
const FIRST_PAUSE: Span = Span::from_millis(20);
const LONGEST_PAUSE: Span = Span::from_secs(1);
/// Time after which a hint expires.
const HINT_TTL: Span = Span::from_secs(2);

/// The outcome of a request at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was answered.
    Answered,
    /// The upstream refused the request for lack of capacity (RFC 9110, 15.6.4; RFC 6585, 4).
    Shed,
    /// The request got no answer.
    Lost,
    /// The caller cancelled the request.
    Cancelled,
}

/// The values read from the health and load endpoints of the upstream. They may be stale or wrong,
/// so a hint never raises the limit, and the next answered request cancels its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Whether the upstream reports itself healthy.
    pub healthy: bool,
    /// The number of running requests that the upstream reports.
    pub running: Slots,
}

/// The concurrency limit of one upstream: additive increase, multiplicative decrease, bounded by
/// the slots, the warm-up and the latest hint.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: Slots,
    learned: f64,
    started_at: Moment,
    warmup: Span,
    lowered_at: Moment,
    pause: Span,
    paused_until: Moment,
    hint_cap: Option<HintCap>,
}

#[derive(Clone, Copy, Debug)]
struct HintCap {
    since: Moment,
    limit: u32,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream that starts at `now`. It grows over `warmup` and never
    /// exceeds `slots`.
    pub fn new(slots: Slots, warmup: Span, now: Moment) -> Self {
        Self {
            slots,
            learned: f64::from(slots.get().max(1)),
            started_at: now,
            warmup,
            lowered_at: now,
            pause: Span::ZERO,
            paused_until: now,
            hint_cap: None,
        }
    }

    /// Changes the number of slots. A limit that no outcome has lowered follows it immediately,
    /// since an agent has no slots until its share of the capacity is granted.
    pub fn set_slots(&mut self, slots: Slots) {
        let (old, new) = (f64::from(self.slots.get().max(1)), f64::from(slots.get().max(1)));
        self.learned = if self.learned >= old { new } else { self.learned.min(new) };
        self.slots = slots;
    }

    /// Returns the number of requests that may run now, zero during a pause.
    pub fn current(&self, now: Moment) -> u32 {
        if now < self.paused_until || self.slots.get() == 0 {
            return 0;
        }
        let learned = self.learned as u32;
        let hinted = match self.hint_cap {
            Some(hint_cap) if now.since(hint_cap.since) < HINT_TTL => hint_cap.limit,
            Some(_) | None => u32::MAX,
        };
        learned.min(hinted).min(self.warmup_limit(now)).max(1)
    }

    /// Returns the end of the current pause, if there is one.
    pub fn resumes_at(&self, now: Moment) -> Option<Moment> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Adjusts the limit to the outcome of a request that was sent at `sent_at`.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, sent_at: Moment, now: Moment) {
        match outcome {
            AttemptOutcome::Answered => self.raise(),
            AttemptOutcome::Shed => self.lower(SHED_FACTOR, sent_at, now),
            AttemptOutcome::Lost => self.lower(LOST_FACTOR, sent_at, now),
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Caps the limit according to a hint. `running` is the number of requests that this agent runs
    /// at the upstream.
    pub fn apply_hint(&mut self, hint: Hint, running: u32, now: Moment) {
        let others = hint.running.get().saturating_sub(running);
        let limit = if hint.healthy { self.slots.get().saturating_sub(others).max(1) } else { 1 };
        self.hint_cap = (limit < self.slots.get()).then_some(HintCap { since: now, limit });
    }

    fn raise(&mut self) {
        let slots = f64::from(self.slots.get().max(1));
        self.learned = (self.learned + 1.0 / self.learned).min(slots);
        self.pause = Span::ZERO;
        self.hint_cap = None;
    }

    /// Multiplies the limit by `factor`. Ignores requests that were sent before the last decrease,
    /// since they ran under the earlier limit.
    fn lower(&mut self, factor: f64, sent_at: Moment, now: Moment) {
        if sent_at < self.lowered_at {
            return;
        }
        self.lowered_at = now;
        if self.learned < 2.0 {
            self.pause = self.pause.saturating_mul(2).max(FIRST_PAUSE).min(LONGEST_PAUSE);
            self.paused_until = now + self.pause;
        }
        self.learned = (self.learned * factor).max(1.0);
    }

    fn warmup_limit(&self, now: Moment) -> u32 {
        let elapsed = now.since(self.started_at).as_micros();
        let warmup = self.warmup.as_micros();
        if elapsed >= warmup {
            return self.slots.get();
        }
        (u128::from(self.slots.get()) * u128::from(elapsed) / u128::from(warmup)) as u32
    }
}
