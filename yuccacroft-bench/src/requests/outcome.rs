//! The outcomes of the arrivals of a run, and the figures computed from them.

use {
    super::load::{Arrival, Fleet},
    yuccacroft_core::time::{Moment, Span},
};

/// The outcome of one arrival.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The request did not run.
    Refused,
    /// The request was answered at this time, with this service time at the upstream.
    Answered(Moment, Span),
}

/// The outcomes of all arrivals and the busy time of the upstreams.
#[derive(Debug, Default)]
pub struct RunResult {
    /// The outcomes in the order of the arrivals. `None` means that the request has not ended.
    pub outcomes: Vec<Option<Outcome>>,
    /// The busy time of each upstream, summed over its slots, in microseconds of the measured time.
    pub busy_micros: Vec<u64>,
}

/// A subset of the arrivals with their outcomes.
pub struct Selection<'a> {
    arrivals: &'a [Arrival],
    outcomes: &'a [Option<Outcome>],
    deadline: Span,
    is_selected: Box<dyn Fn(&Arrival) -> bool + 'a>,
}

impl<'a> Selection<'a> {
    /// Selects the arrivals for which `is_selected` returns true.
    pub fn new(
        arrivals: &'a [Arrival],
        result: &'a RunResult,
        deadline: Span,
        is_selected: impl Fn(&Arrival) -> bool + 'a,
    ) -> Self {
        Self { arrivals, outcomes: &result.outcomes, deadline, is_selected: Box::new(is_selected) }
    }

    fn selected(&self) -> impl Iterator<Item = (&Arrival, Outcome)> {
        let pairs = self.arrivals.iter().zip(self.outcomes);
        pairs.filter(|(arrival, _)| (self.is_selected)(arrival)).map(|(arrival, outcome)| {
            // A request that has not ended counts as refused. At the end of a run there is none.
            (arrival, outcome.unwrap_or(Outcome::Refused))
        })
    }

    /// Returns the work of the requests that were answered before their deadline and before `end`, divided
    /// by the smaller of the requested work and the capacity of all upstreams during `time`. Answers after
    /// `end` do not count, since they would add the backlog to the work of the measured time.
    pub fn goodput(&self, fleet: &Fleet, time: Span, end: Moment) -> f64 {
        let (mut good, mut requested) = (0.0, 0.0);
        for (arrival, outcome) in self.selected() {
            let work = arrival.work.as_micros() as f64;
            requested += work;
            let is_good = |at: Moment| at <= end && at.since(arrival.at) <= self.deadline;
            if matches!(outcome, Outcome::Answered(at, _) if is_good(at)) {
                good += work;
            }
        }
        good / requested.min(fleet.capacity() * time.as_micros() as f64)
    }

    /// Returns a quantile of the time from arrival to answer, in milliseconds.
    pub fn latency_quantile_ms(&self, fraction: f64) -> f64 {
        let times = self.selected().filter_map(|(arrival, outcome)| match outcome {
            Outcome::Answered(at, _) => Some(at.since(arrival.at)),
            Outcome::Refused => None,
        });
        quantile_ms(times.collect(), fraction)
    }

    /// Returns a quantile of the service time at the upstream, in milliseconds.
    pub fn service_time_quantile_ms(&self, fraction: f64) -> f64 {
        let times = self.selected().filter_map(|(_, outcome)| match outcome {
            Outcome::Answered(_, service) => Some(service),
            Outcome::Refused => None,
        });
        quantile_ms(times.collect(), fraction)
    }

    /// Returns the share of refused requests.
    pub fn refused_share(&self) -> f64 {
        let (refused, all) = self.selected().fold((0u32, 0u32), |(refused, all), (_, outcome)| {
            (refused + u32::from(matches!(outcome, Outcome::Refused)), all + 1)
        });
        f64::from(refused) / f64::from(all.max(1))
    }
}

impl RunResult {
    /// Returns the busy time of the busiest upstream divided by the mean.
    pub fn imbalance(&self) -> f64 {
        let mean = self.busy_micros.iter().sum::<u64>() as f64 / self.busy_micros.len() as f64;
        self.busy_micros.iter().copied().max().unwrap_or(0) as f64 / mean
    }
}

fn quantile_ms(mut times: Vec<Span>, fraction: f64) -> f64 {
    times.sort_unstable();
    let index = ((times.len() as f64 * fraction).ceil() as usize).saturating_sub(1);
    times.get(index).map_or(0.0, |time| time.as_micros() as f64 / 1e3)
}
