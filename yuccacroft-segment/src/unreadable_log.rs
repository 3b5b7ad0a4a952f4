//! A log of items of the store that cannot be read, with at most one line a second.

use {
    slog::{Logger, warn},
    std::{
        fmt::Display,
        mem,
        sync::{Mutex, PoisonError},
    },
    yuccacroft_core::time::{Moment, Span},
};

/// Shortest time between two lines. Another writer can fill the store with such items.
const LINE_INTERVAL: Span = Span::from_secs(1);

/// Logs items that are skipped because they cannot be read.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    written_at: Option<Moment>,
    /// The number of items since the last line that were not logged.
    left_out: u32,
}

impl UnreadableLog {
    /// Logs a skipped item with its key and the reason, unless another was logged in this second.
    pub fn record(&self, log: &Logger, key: &str, reason: &dyn Display, now: Moment) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.written_at.is_some_and(|at| now.since(at) < LINE_INTERVAL) {
            state.left_out += 1;
            return;
        }
        state.written_at = Some(now);
        let left_out = mem::take(&mut state.left_out);
        warn!(log, "item unreadable"; "key" => key, "cause" => %reason, "left_out" => left_out);
    }
}
