//! The timer of the controllers' periodic work.

use {
    crate::clock::BootClock,
    slog::{Logger, warn},
    std::time::Duration,
    tokio::time::{Instant, Interval, MissedTickBehavior},
    yuccacroft_core::time::{Moment, Span},
};

/// Time between ticks from which on the process counts as stalled.
pub const STALL_THRESHOLD: Span = Span::from_millis(400);

/// A periodic timer that detects pauses of the process, because it got no processor time or
/// because the machine was suspended. The timer itself does not count the time of a suspension, so the
/// first tick after one comes up to a period late.
#[derive(Debug)]
pub struct Ticker {
    interval: Interval,
    clock: BootClock,
    last_tick: Moment,
    /// The last tick on the clock that does not advance while the machine is suspended.
    last_tick_running: Instant,
    count: u64,
}

/// One tick of a timer.
#[derive(Clone, Copy, Debug)]
pub struct Tick {
    /// The time of the tick.
    pub now: Moment,
    /// The time since the previous tick.
    pub pause: Span,
    /// Whether the process was paused before the tick, so that timeouts have to start again.
    pub is_stalled: bool,
    number: u64,
}

impl Ticker {
    /// Creates a timer whose first tick is due at once.
    pub fn new(period: Duration, clock: BootClock) -> Self {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (last_tick, last_tick_running) = (clock.now(), Instant::now());
        Self { interval, clock, last_tick, last_tick_running, count: 0 }
    }

    /// Waits for the next tick. A stall of the process is logged.
    pub async fn tick(&mut self, log: &Logger) -> Tick {
        self.interval.tick().await;
        let (now, now_running) = (self.clock.now(), Instant::now());
        let pause = now.since(self.last_tick);
        let is_stalled = pause >= STALL_THRESHOLD;
        if is_stalled {
            let suspended = pause - Span::from(now_running - self.last_tick_running);
            // The two clocks are read one after the other, so their difference is exact to less than a
            // millisecond.
            let suspended = Span::from_millis(suspended.as_millis());
            warn!(log, "process stood still"; "for" => %pause, "suspended" => %suspended);
        }
        (self.last_tick, self.last_tick_running) = (now, now_running);
        self.count += 1;
        Tick { now, pause, is_stalled, number: self.count }
    }
}

impl Tick {
    /// Returns true for one in `ticks` ticks.
    pub fn is_every(&self, ticks: u64) -> bool {
        self.number.is_multiple_of(ticks)
    }
}
