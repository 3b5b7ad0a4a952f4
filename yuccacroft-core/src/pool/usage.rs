//! The mean use of the slots of one upstream, as a balancer sees it in the loads that the agent
//! sends at regular intervals.

use {
    super::member::AgentLoad,
    crate::time::{Moment, Span},
};

/// Time over which the use is averaged.
const MEAN_TIME: Span = Span::from_secs(1);
const HUNDRED: f64 = 100.0;

/// The mean number of slots in use. Requests that wait at the agent use none: in a burst they say
/// little about the mean, and without this limit an upstream with bursts would look full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    mean: f64,
    /// The slots in use by the latest report, and its time; `None` before the first.
    latest: Option<(f64, Moment)>,
}

impl Usage {
    /// Records a load that the agent of an upstream with this number of slots has sent at its
    /// regular interval, not as an answer.
    pub fn record(&mut self, load: &AgentLoad, slots: f64, now: Moment) {
        // A balancer that has just started begins with the mean of the agent.
        self.mean = match self.latest {
            Some(_) => self.mean(now),
            None => (f64::from(load.busy.get()) / HUNDRED).min(slots),
        };
        self.latest = Some((f64::from(load.active).min(slots), now));
    }

    /// Returns the mean number of slots in use, zero before the first report.
    pub fn mean(&self, now: Moment) -> f64 {
        let Some((latest, at)) = self.latest else { return 0.0 };
        let elapsed = now.since(at).as_micros() as f64 / MEAN_TIME.as_micros() as f64;
        latest + (self.mean - latest) * (-elapsed).exp()
    }
}
