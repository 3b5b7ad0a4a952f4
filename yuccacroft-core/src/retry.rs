//! The budget and the backoff of retries of idempotent requests.

use {
    crate::time::Span,
    rand::{Rng, RngExt},
};

/// Retries added to the budget by each first attempt. A higher ratio would multiply the load of an
/// upstream that is shedding requests.
const TOKENS_PER_ATTEMPT: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_TOKENS: f64 = 10.0;
const BASE_BACKOFF: Span = Span::from_millis(10);
const MAX_BACKOFF: Span = Span::from_millis(1_000);
/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// A token bucket that bounds the retries of an agent to a fraction of its first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { tokens: MAX_TOKENS }
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one retry out of the budget. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the delay before a retry: exponential backoff with full jitter, so that requests that
/// failed together are not retried together. The first retry has `attempt` 1.
pub fn backoff<R: Rng + ?Sized>(attempt: u32, random: &mut R) -> Span {
    let factor = 1u64.checked_shl(attempt.saturating_sub(1)).unwrap_or(u64::MAX);
    let bound = BASE_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
    Span::from_micros(random.random_range(0..=bound.as_micros()))
}
