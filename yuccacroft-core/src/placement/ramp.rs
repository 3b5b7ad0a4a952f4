//! The weight of an upstream over its life: warm-up, full, none while draining.

use crate::{
    time::{Moment, Span},
    units::Weight,
};

/// Steps of the warm-up. Each one rebuilds the tables, and the last is still larger than the
/// hysteresis of the tables.
const STEPS: u64 = 8;

/// How the weight of one upstream grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    full: Weight,
    warmup: Span,
    start: Moment,
}

impl Ramp {
    /// Creates the ramp of an upstream that begins to serve at `start`.
    pub fn new(full: Weight, warmup: Span, start: Moment) -> Self {
        Self { full, warmup, start }
    }

    /// Returns the weight at a moment: at least one step of the full weight, then more in equal
    /// steps until the warm-up is over. A full weight above zero never becomes zero.
    pub fn weight(&self, now: Moment) -> Weight {
        let (age, warmup) = (now.since(self.start).as_micros(), self.warmup.as_micros());
        if age >= warmup {
            return self.full;
        }
        let steps = 1 + u128::from(age) * u128::from(STEPS - 1) / u128::from(warmup);
        let weight = u128::from(self.full.get()) * steps / u128::from(STEPS);
        Weight::new((weight as u32).max(self.full.get().min(1)))
    }
}
