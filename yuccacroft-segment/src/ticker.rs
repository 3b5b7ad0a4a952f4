//! The timer of the controllers' periodic work.

use {
    slog::{Logger, warn},
    std::time::Duration,
    tokio::time::{Interval, MissedTickBehavior},
    yuccacroft_core::time::{Moment, Span},
    yuccacroft_rpc::clock::Clock,
};

/// Time between ticks from which on the process counts as stalled.
const STALL_THRESHOLD: Span = Span::from_millis(400);

/// A periodic timer that detects when the process has stood still.
#[derive(Debug)]
pub struct Ticker {
    interval: Interval,
    clock: Clock,
    last_tick: Moment,
    count: u64,
}

/// One tick of a timer.
#[derive(Clone, Copy, Debug)]
pub struct Tick {
    /// The time of the tick.
    pub now: Moment,
    /// Whether the process stood still before the tick, so that timeouts have to start again.
    pub is_stalled: bool,
    number: u64,
}

impl Ticker {
    /// Creates a timer whose first tick is due at once.
    pub fn new(period: Duration, clock: Clock) -> Self {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self { interval, clock, last_tick: clock.now(), count: 0 }
    }

    /// Waits for the next tick. A stall of the process is logged.
    pub async fn tick(&mut self, log: &Logger) -> Tick {
        self.interval.tick().await;
        let now = self.clock.now();
        let pause = now.since(self.last_tick);
        let is_stalled = pause >= STALL_THRESHOLD;
        if is_stalled {
            warn!(log, "process stood still"; "for" => %pause);
        }
        self.last_tick = now;
        self.count += 1;
        Tick { now, is_stalled, number: self.count }
    }
}

impl Tick {
    /// Returns true for one in `ticks` ticks.
    pub fn is_every(&self, ticks: u64) -> bool {
        self.number.is_multiple_of(ticks)
    }
}
