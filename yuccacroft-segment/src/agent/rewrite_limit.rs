//! Limits how often an agent replaces what another writer stores under its key.

use {std::time::Duration, tokio::time::Instant};

/// Number of consecutive replacements from which on the agent waits before it checks the entry again.
const FIRST_DELAYED: u32 = 2;
/// Delay after that replacement. It doubles with each further one.
const INITIAL_DELAY: Duration = Duration::from_secs(4);
/// Longest delay. The agent keeps its flows meanwhile, since balancers ask it for them.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// Time without a replacement after which the count starts again.
const SERIES_END: Duration = Duration::from_secs(60);

/// The replacements of an entry by another writer, as far as the agent has found them. Two writers
/// that each restore their own value at once would use up the calls of the store.
#[derive(Debug, Default)]
pub struct RewriteLimit {
    found_at: Option<Instant>,
    consecutive: u32,
}

impl RewriteLimit {
    /// Records that the entry was found to be replaced or missing.
    pub fn record(&mut self, now: Instant) {
        let has_ended = self.found_at.is_none_or(|at| now.duration_since(at) >= SERIES_END);
        self.consecutive = if has_ended { 1 } else { self.consecutive.saturating_add(1) };
        self.found_at = Some(now);
    }

    /// Returns the time from which on the entry may be checked again.
    pub fn next_check(&self, now: Instant) -> Instant {
        let Some(found_at) = self.found_at else { return now };
        let Some(doublings) = self.consecutive.checked_sub(FIRST_DELAYED) else { return now };
        // Three doublings exceed the longest delay.
        found_at + INITIAL_DELAY.saturating_mul(1 << doublings.min(3)).min(MAX_DELAY)
    }
}
