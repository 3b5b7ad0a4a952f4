//! Rate-limited log lines about single flows.

use {
    slog::{Logger, info},
    std::{
        mem,
        sync::{Mutex, MutexGuard, PoisonError},
    },
    yuccacroft_core::time::{Moment, Span},
};

/// Limit of lines per second about normal events. Further lines are only counted, since a line
/// costs about as much processor time as forwarding three segments.
const MAX_NORMAL_PER_SECOND: u32 = 100;
/// Limit of lines per second about segments and flows that were passed on, refused, reset, bounced
/// or dropped. It exceeds the number of flows of one agent, so that the loss of an agent is logged
/// completely.
const MAX_FAILURES_PER_SECOND: u32 = 1_000;
const SECOND: Span = Span::from_secs(1);

/// A logger that limits the number of lines per second.
#[derive(Debug)]
pub struct FlowLog {
    log: Logger,
    window: Mutex<Window>,
}

/// The counts of the present second.
#[derive(Debug, Default)]
struct Window {
    started: Moment,
    normal: LineCount,
    failures: LineCount,
}

/// The lines of one kind in the present second.
#[derive(Debug, Default)]
struct LineCount {
    written: u32,
    suppressed: u32,
}

impl FlowLog {
    /// Creates a flow log that writes to `log`.
    pub fn new(log: Logger) -> Self {
        Self { log, window: Mutex::default() }
    }

    /// Returns the logger for lines that are not rate-limited.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the logger for a line about a normal event, or `None` when the limit of this second
    /// is reached.
    pub fn normal(&self, now: Moment) -> Option<&Logger> {
        self.limited(now, |window| window.normal.try_take(MAX_NORMAL_PER_SECOND))
    }

    /// Returns the logger for a line about a failure, or `None` when the limit of this second is
    /// reached.
    pub fn failure(&self, now: Moment) -> Option<&Logger> {
        self.limited(now, |window| window.failures.try_take(MAX_FAILURES_PER_SECOND))
    }

    /// Writes the number of lines that were left out in a second that is over. A periodic caller is
    /// needed, since otherwise the number is written only before the next line.
    pub fn flush(&self, now: Moment) {
        let mut window = self.window();
        if window.is_over(now) {
            self.log_suppressed(&mut window);
        }
    }

    fn limited(&self, now: Moment, try_take: impl FnOnce(&mut Window) -> bool) -> Option<&Logger> {
        let mut window = self.window();
        if window.is_over(now) {
            self.log_suppressed(&mut window);
            *window = Window { started: now, ..Window::default() };
        }
        try_take(&mut window).then_some(&self.log)
    }

    /// Writes the counts of suppressed lines, if any, and resets them.
    fn log_suppressed(&self, window: &mut Window) {
        let normal = mem::take(&mut window.normal.suppressed);
        let failures = mem::take(&mut window.failures.suppressed);
        if normal + failures > 0 {
            info!(self.log, "lines left out"; "usual" => normal, "trouble" => failures);
        }
    }

    fn window(&self) -> MutexGuard<'_, Window> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Window {
    fn is_over(&self, now: Moment) -> bool {
        now.since(self.started) >= SECOND
    }
}

impl LineCount {
    fn try_take(&mut self, limit: u32) -> bool {
        let allowed = self.written < limit;
        if allowed {
            self.written += 1
        } else {
            self.suppressed += 1
        }
        allowed
    }
}
