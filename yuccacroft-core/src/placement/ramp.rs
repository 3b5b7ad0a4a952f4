//! The weight of an upstream during its warm-up.

use crate::{
    time::{Moment, Span},
    units::Weight,
};

/// Number of steps of the warm-up. Each step rebuilds the tables; the last one is still larger than
/// their hysteresis.
const WARMUP_STEPS: u64 = 8;

/// The growth of the weight of one upstream from its start to its full weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    full_weight: Weight,
    warmup: Span,
    started_at: Moment,
}

impl Ramp {
    /// Creates the ramp of an upstream that starts to serve at `started_at`.
    pub fn new(full_weight: Weight, warmup: Span, started_at: Moment) -> Self {
        Self { full_weight, warmup, started_at }
    }

    /// Returns the weight at a moment. It grows in equal steps, from one step of the full weight to
    /// all of it at the end of the warm-up. It is at least one unless the full weight is zero.
    pub fn weight(&self, now: Moment) -> Weight {
        let (age, warmup) = (now.since(self.started_at).as_micros(), self.warmup.as_micros());
        if age >= warmup {
            return self.full_weight;
        }
        let steps = 1 + u128::from(age) * u128::from(WARMUP_STEPS - 1) / u128::from(warmup);
        let weight = u128::from(self.full_weight.get()) * steps / u128::from(WARMUP_STEPS);
        Weight::new((weight as u32).max(self.full_weight.get().min(1)))
    }
}
