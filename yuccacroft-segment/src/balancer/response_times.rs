//! The times that agents need for a response, for the log line about traffic.

use {
    slog::{KV, Record, Serializer},
    std::sync::{Mutex, PoisonError},
    yuccacroft_core::time::Span,
};

/// Limit of samples in one interval, so that a flood of messages does not grow the memory.
const MAX_SAMPLES: usize = 1_024;

/// The response times since the last summary.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    samples: Mutex<Vec<Span>>,
}

/// The median and the maximum of the response times in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The number of samples, at most [`MAX_SAMPLES`].
    pub samples: usize,
    /// The median.
    pub median: Span,
    /// The maximum.
    pub max: Span,
}

impl ResponseTimes {
    /// Records the time from the first unanswered message to the next message of the agent.
    pub fn record(&self, time: Span) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() < MAX_SAMPLES {
            samples.push(time);
        }
    }

    /// Returns a summary of the samples since the last call. All times are zero if there were none.
    pub fn take(&self) -> Summary {
        let mut samples =
            std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner));
        samples.sort_unstable();
        let median = samples.get(samples.len() / 2).copied().unwrap_or_default();
        let max = samples.last().copied().unwrap_or_default();
        Summary { samples: samples.len(), median, max }
    }
}

impl KV for Summary {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_usize("responses", self.samples)?;
        serializer.emit_arguments("response_median", &format_args!("{}", self.median))?;
        serializer.emit_arguments("response_max", &format_args!("{}", self.max))
    }
}
