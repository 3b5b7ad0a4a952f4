//! Log lines about single flows, bounded under load.

use {
    slog::{Logger, info},
    std::sync::{Mutex, PoisonError},
    yuccacroft_core::time::{Moment, Span},
};

/// Lines in one second about flows that go as they should. The rest are counted; a line costs about
/// as much processor time as forwarding three segments.
const USUAL_PER_SECOND: u32 = 100;
/// Lines in one second about flows that were passed on, refused, reset, returned or dropped: more
/// than one agent has flows to lose.
const TROUBLE_PER_SECOND: u32 = 1_000;
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
    usual: Count,
    trouble: Count,
}

#[derive(Debug, Default)]
struct Count {
    lines: u32,
    left_out: u32,
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

    /// Returns the logger for a line about a flow that goes as it should, or `None` when this
    /// second has had enough of them.
    pub fn usual(&self, now: Moment) -> Option<&Logger> {
        self.line(now, |second| second.usual.take(USUAL_PER_SECOND))
    }

    /// Returns the logger for a line about a flow that does not, or `None` when this second has had
    /// enough of them.
    pub fn trouble(&self, now: Moment) -> Option<&Logger> {
        self.line(now, |second| second.trouble.take(TROUBLE_PER_SECOND))
    }

    fn line(&self, now: Moment, take: impl FnOnce(&mut Second) -> bool) -> Option<&Logger> {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(second.begun) >= SECOND {
            let (usual, trouble) = (second.usual.left_out, second.trouble.left_out);
            if usual + trouble > 0 {
                info!(self.log, "lines left out"; "usual" => usual, "trouble" => trouble);
            }
            *second = Second { begun: now, ..Second::default() };
        }
        take(&mut second).then_some(&self.log)
    }
}

impl Count {
    fn take(&mut self, limit: u32) -> bool {
        let room = self.lines < limit;
        if room {
            self.lines += 1
        } else {
            self.left_out += 1
        }
        room
    }
}
