//! The monotonic and the wall clock of a process.

use {
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
    yuccacroft_core::{
        ids::Incarnation,
        time::{Moment, Span},
    },
};

/// The monotonic clock of one process, counted from its start. It stops while the clock of the
/// tokio runtime is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Moment {
        Moment::default() + Span::from(self.start.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the wall clock time since the Unix epoch. It may jump, so it is used only for message
/// authenticators and incarnations.
pub fn wall_clock() -> Span {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(Span::ZERO, Span::from)
}

/// Returns the time since the machine started, including the time for which it was suspended. Unlike
/// the wall clock it never jumps.
///
/// # Panics
///
/// Panics if the system has no monotonic clock.
pub fn boot_clock() -> Span {
    // Linux before 2.6.39 has no such clock.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
        .expect("the system has a monotonic clock");
    Span::from(Duration::from(time))
}

/// Returns the incarnation of a process that starts now: the wall clock in milliseconds.
pub fn new_incarnation() -> Incarnation {
    Incarnation::new(wall_clock().as_millis())
}
