//! An estimate of when the datagrams arrived that a process reads now.
//!
//! Datagrams wait in the buffers of sockets while their process is suspended. A decision that
//! depends on the age of a datagram therefore cannot take the time of reading for the time of
//! arrival. A timer that runs regularly shows when the process was paused.

use {
    crate::time::{Moment, Span},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Time between two ticks from which on the process counts as suspended in between. Timers fire
/// every 25 ms.
const SUSPENSION_THRESHOLD: Span = Span::from_millis(75);
/// Time within which a process that continues has read all datagrams that waited for it.
const BACKLOG_TIME: Span = Span::from_millis(200);

/// Estimates arrival times from the ticks of a timer.
#[derive(Debug, Default)]
pub struct ArrivalEstimator {
    // All three are moments in microseconds.
    last_tick: AtomicU64,
    suspended_at: AtomicU64,
    resumed_at: AtomicU64,
}

impl ArrivalEstimator {
    /// Creates an estimator for a process that has not been suspended yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the timer of the process has fired, or that a suspension was detected otherwise.
    /// An earlier moment than that of the last tick changes nothing.
    pub fn tick(&self, now: Moment) {
        let last_tick = Moment::new(self.last_tick.load(Ordering::Acquire));
        if now.since(last_tick) >= SUSPENSION_THRESHOLD {
            self.suspended_at.store(last_tick.get(), Ordering::Release);
            self.resumed_at.store(now.get(), Ordering::Release);
        }
        // Stored last, so that a reader that sees this tick also sees the suspension before it.
        self.last_tick.fetch_max(now.get(), Ordering::Release);
    }

    /// Returns the time since the last tick if the process has been suspended since.
    pub fn suspension(&self, now: Moment) -> Option<Span> {
        let time = now.since(Moment::new(self.last_tick.load(Ordering::Acquire)));
        (time >= SUSPENSION_THRESHOLD).then_some(time)
    }

    /// Returns the earliest time at which a datagram that is read at `now` may have arrived.
    pub fn earliest_arrival(&self, now: Moment) -> Moment {
        let last_tick = Moment::new(self.last_tick.load(Ordering::Acquire));
        if now.since(last_tick) >= SUSPENSION_THRESHOLD {
            return last_tick;
        }
        let resumed_at = self.resumed_at.load(Ordering::Acquire);
        if resumed_at > 0 && now.since(Moment::new(resumed_at)) < BACKLOG_TIME {
            return Moment::new(self.suspended_at.load(Ordering::Acquire));
        }
        now
    }
}
