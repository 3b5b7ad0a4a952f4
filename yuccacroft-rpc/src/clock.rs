//! The clocks of a process.

use {
    std::time::{SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
    yuccacroft_core::{
        ids::Incarnation,
        time::{Moment, Span},
    },
};

/// The monotonic clock of one process, counted from its start. It stands still with the clock of a
/// paused runtime.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        Moment::default() + Span::from(self.start.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the wall clock since the Unix epoch; it may jump and is used for authenticators and
/// incarnations only.
pub fn wall_clock() -> Span {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(Span::ZERO, Span::from)
}

/// Returns the incarnation of a process that starts now.
pub fn new_incarnation() -> Incarnation {
    Incarnation::new(wall_clock().as_millis())
}
