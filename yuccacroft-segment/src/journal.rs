//! Log lines about single flows, bounded under load.

use {
    slog::{Logger, info},
    std::sync::{Mutex, PoisonError},
    yuccacroft_core::time::{Moment, Span},
};

/// Lines about single flows in one second; the rest are counted. A line costs about as much
/// processor time as forwarding three packets.
const LINES_PER_SECOND: u32 = 100;
const SECOND: Span = Span::from_secs(1);

/// Counts the lines of the present second.
#[derive(Debug)]
pub struct Journal {
    log: Logger,
    second: Mutex<Second>,
}

#[derive(Debug, Default)]
struct Second {
    begun: Moment,
    lines: u32,
    dropped: u32,
}

impl Journal {
    /// Creates a journal that writes to `log`.
    pub fn new(log: Logger) -> Self {
        Self { log, second: Mutex::default() }
    }

    /// Returns the logger for lines that are always kept.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the logger for one line about a flow, or `None` when this second has had enough.
    pub fn line(&self, now: Moment) -> Option<&Logger> {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(second.begun) >= SECOND {
            if second.dropped > 0 {
                info!(self.log, "log lines left out"; "count" => second.dropped);
            }
            *second = Second { begun: now, lines: 0, dropped: 0 };
        }
        if second.lines >= LINES_PER_SECOND {
            second.dropped += 1;
            return None;
        }
        second.lines += 1;
        Some(&self.log)
    }
}
