//! Retries of idempotent work: how many there may be, and when.

use {
    crate::time::Span,
    rand::{Rng, RngExt},
};

/// Retries earned by each first attempt. More would multiply the load of an upstream that sheds.
const EARNED: f64 = 0.1;
/// Retries that can be saved up.
const SAVED: f64 = 10.0;
const BASE: Span = Span::from_millis(10);
const CAP: Span = Span::from_millis(1_000);
/// Attempts of one request, the first one included.
pub const ATTEMPTS: u32 = 3;

/// The retries that an agent may still make.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { tokens: SAVED }
    }

    /// Earns a part of a retry by a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED);
    }

    /// Takes one retry out of the budget. False means that there is none left.
    pub fn spend(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// Draws the pause before a retry: anywhere up to a bound that doubles with each attempt, so that
/// requests which failed together do not come back together. The first retry is attempt 1.
pub fn pause<R: Rng + ?Sized>(attempt: u32, random: &mut R) -> Span {
    let factor = 1u64.checked_shl(attempt.saturating_sub(1)).unwrap_or(u64::MAX);
    let bound = BASE.saturating_mul(factor).min(CAP);
    Span::from_micros(random.random_range(0..=bound.as_micros()))
}
