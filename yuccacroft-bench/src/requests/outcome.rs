//! What became of each arrival, and the figures over all of them.

use {
    super::load::{Arrival, Fleet},
    yuccacroft_core::time::{Moment, Span},
};

/// What became of one arrival.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    /// It did not run.
    Refused,
    /// It was answered at a moment, after this time at the upstream.
    Answered(Moment, Span),
}

/// The fates of all arrivals in their order, and the slots in use over time.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// One entry for each arrival.
    pub fates: Vec<Option<Fate>>,
    /// Busy slot time of each upstream, in microseconds within the measured time.
    pub busy: Vec<u64>,
}

/// A view of the outcomes of some arrivals.
pub struct View<'a> {
    arrivals: &'a [Arrival],
    fates: &'a [Option<Fate>],
    deadline: Span,
    keep: Box<dyn Fn(&Arrival) -> bool + 'a>,
}

impl<'a> View<'a> {
    /// Looks at the arrivals for which `keep` returns true.
    pub fn new(
        arrivals: &'a [Arrival],
        outcomes: &'a Outcomes,
        deadline: Span,
        keep: impl Fn(&Arrival) -> bool + 'a,
    ) -> Self {
        Self { arrivals, fates: &outcomes.fates, deadline, keep: Box::new(keep) }
    }

    fn each(&self) -> impl Iterator<Item = (&Arrival, Fate)> {
        let pairs = self.arrivals.iter().zip(self.fates);
        pairs.filter(|(arrival, _)| (self.keep)(arrival)).map(|(arrival, fate)| {
            // What never ended counts as refused; at the end of a run nothing is left over.
            (arrival, fate.unwrap_or(Fate::Refused))
        })
    }

    /// Returns the work of requests answered in time and before `end` over the smaller of the work
    /// that was asked for and the work that all upstreams can do in the `time` until then. Answers
    /// after the end would count a backlog as work of the measured time.
    pub fn goodput(&self, fleet: &Fleet, time: Span, end: Moment) -> f64 {
        let (mut good, mut asked) = (0.0, 0.0);
        for (arrival, fate) in self.each() {
            let work = arrival.work.as_micros() as f64;
            asked += work;
            let is_good = |at: Moment| at <= end && at.since(arrival.at) <= self.deadline;
            if matches!(fate, Fate::Answered(at, _) if is_good(at)) {
                good += work;
            }
        }
        good / asked.min(fleet.capacity() * time.as_micros() as f64)
    }

    /// Returns a quantile of the time to the answer, in milliseconds.
    pub fn quantile(&self, part: f64) -> f64 {
        let times = self.each().filter_map(|(arrival, fate)| match fate {
            Fate::Answered(at, _) => Some(at.since(arrival.at)),
            Fate::Refused => None,
        });
        quantile(times.collect(), part)
    }

    /// Returns a quantile of the time at the upstream alone, in milliseconds.
    pub fn service_quantile(&self, part: f64) -> f64 {
        let times = self.each().filter_map(|(_, fate)| match fate {
            Fate::Answered(_, service) => Some(service),
            Fate::Refused => None,
        });
        quantile(times.collect(), part)
    }

    /// Returns the share that was refused.
    pub fn refused(&self) -> f64 {
        let (refused, all) = self.each().fold((0u32, 0u32), |(refused, all), (_, fate)| {
            (refused + u32::from(matches!(fate, Fate::Refused)), all + 1)
        });
        f64::from(refused) / f64::from(all.max(1))
    }
}

impl Outcomes {
    /// Returns the largest use of slots over the mean one.
    pub fn imbalance(&self) -> f64 {
        let mean = self.busy.iter().sum::<u64>() as f64 / self.busy.len() as f64;
        self.busy.iter().copied().max().unwrap_or(0) as f64 / mean
    }
}

fn quantile(mut times: Vec<Span>, part: f64) -> f64 {
    times.sort_unstable();
    let index = ((times.len() as f64 * part).ceil() as usize).saturating_sub(1);
    times.get(index).map_or(0.0, |time| time.as_micros() as f64 / 1e3)
}
