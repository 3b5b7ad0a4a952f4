//! Service times with their tail, over the latest seconds.

use {
    super::workload::ServiceTime,
    crate::time::{Moment, Span},
    hdrhistogram::Histogram,
};

/// Length of one window. The figures cover the current window and the one before, so that they follow
/// an upstream that becomes slow or recovers.
const WINDOW: Span = Span::from_secs(2);
/// Longest service time that is told apart from longer ones.
const MAX_SERVICE_TIME: Span = Span::from_secs(60);
/// Decimal digits to which service times are kept.
const PRECISION_DIGITS: u8 = 2;
/// The quantile that counts as the tail: nine of ten requests take less.
const TAIL_QUANTILE: f64 = 0.9;
/// Time between updates of the figures: an update reads all of both windows.
const UPDATE_INTERVAL: Span = Span::from_millis(50);
/// Number of service times from which on the figures are used.
const MIN_SAMPLES: u64 = 8;

/// The service times of one upstream.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_started: Moment,
    latest: Option<ServiceTime>,
    updated_at: Moment,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_SERVICE_TIME.as_micros(), PRECISION_DIGITS)
            .unwrap_or_else(|error| unreachable!("the bounds are valid: {error}"));
        Self {
            current: histogram.clone(),
            previous: histogram,
            window_started: Moment::default(),
            latest: None,
            updated_at: Moment::default(),
        }
    }
}

impl ServiceTimes {
    /// Records the service time of one request.
    pub fn record(&mut self, service_time: Span, now: Moment) {
        self.rotate(now);
        self.current.saturating_record(service_time.as_micros());
        let count = self.current.len() + self.previous.len();
        let is_due = self.latest.is_none() || now.since(self.updated_at) >= UPDATE_INTERVAL;
        if count >= MIN_SAMPLES && is_due {
            self.latest = Some(self.figures(count));
            self.updated_at = now;
        }
    }

    /// Returns the service time by the latest requests, or `None` if there were too few.
    pub fn service_time(&self) -> Option<ServiceTime> {
        self.latest
    }

    fn rotate(&mut self, now: Moment) {
        let elapsed = now.since(self.window_started);
        if elapsed < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if elapsed >= WINDOW.saturating_mul(2) {
            self.previous.reset();
        }
        self.window_started = now;
    }

    fn figures(&self, count: u64) -> ServiceTime {
        let sum = [&self.current, &self.previous]
            .map(|histogram| histogram.mean() * histogram.len() as f64)
            .iter()
            .sum::<f64>();
        // A window that has just begun shows no tail.
        let windows = [&self.current, &self.previous].into_iter();
        let tails = windows
            .filter(|histogram| histogram.len() >= MIN_SAMPLES)
            .map(|histogram| histogram.value_at_quantile(TAIL_QUANTILE));
        let mean = Span::from_micros((sum / count as f64) as u64);
        ServiceTime { mean, tail: tails.max().map_or(mean, Span::from_micros) }
    }
}
