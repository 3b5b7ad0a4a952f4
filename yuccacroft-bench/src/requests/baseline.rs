//! The baselines: queues in front of the same upstreams, fed with the same arrivals.

use {
    super::{
        load::{Arrival, Fleet},
        outcome::{Fate, Outcomes},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
    yuccacroft_core::time::{Moment, Span},
};

/// Age of the load that the placement by reported load sees.
const STALE: Span = Span::from_secs(1);

/// How a baseline places requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One queue without a bound in front of all upstreams.
    Fifo,
    /// The agent of the connection runs the request at once or refuses it.
    FailFast,
    /// A random upstream, each with a queue without a bound.
    Random,
    /// The upstream with the least load as reported up to a second ago, each with a queue without
    /// a bound.
    Reported,
}

impl Kind {
    /// All baselines.
    pub const ALL: [Self; 4] = [Self::Fifo, Self::FailFast, Self::Random, Self::Reported];

    /// Returns the name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::FailFast => "fail-fast",
            Self::Random => "random",
            Self::Reported => "reported-load",
        }
    }
}

struct Run<'a> {
    kind: Kind,
    fleet: &'a Fleet,
    arrivals: &'a [Arrival],
    running: Vec<u32>,
    queues: Vec<VecDeque<usize>>,
    reported: Vec<usize>,
    reported_at: Moment,
    done: BinaryHeap<Reverse<(Moment, usize, usize)>>,
    random: StdRng,
    outcomes: Outcomes,
    measured: Moment,
}

/// Runs a baseline until every arrival has its fate.
pub fn run(
    kind: Kind,
    fleet: &Fleet,
    arrivals: &[Arrival],
    measured: Moment,
    seed: u64,
) -> Outcomes {
    let count = fleet.speeds.len();
    let mut run = Run {
        kind,
        fleet,
        arrivals,
        running: vec![0; count],
        queues: vec![VecDeque::new(); count],
        reported: vec![0; count],
        reported_at: Moment::default(),
        done: BinaryHeap::new(),
        random: StdRng::seed_from_u64(seed),
        outcomes: Outcomes { fates: vec![None; arrivals.len()], busy: vec![0; count] },
        measured,
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        run.finish_until(arrival.at);
        run.report(arrival.at);
        run.place(index, arrival.at);
    }
    run.finish_until(Moment::new(u64::MAX));
    run.outcomes
}

impl Run<'_> {
    fn finish_until(&mut self, now: Moment) {
        while let Some(&Reverse((at, upstream, index))) = self.done.peek() {
            if at > now {
                return;
            }
            self.done.pop();
            let service = self.service(upstream, index);
            let begin = (at - service).max(self.measured);
            self.outcomes.busy[upstream] += at.since(begin).as_micros();
            self.outcomes.fates[index] = Some(Fate::Answered(at, service));
            self.running[upstream] -= 1;
            let queue = if self.kind == Kind::Fifo { 0 } else { upstream };
            if let Some(next) = self.queues[queue].pop_front() {
                self.start(upstream, next, at);
            }
        }
    }

    fn place(&mut self, index: usize, now: Moment) {
        match self.kind {
            Kind::Fifo => match self.free() {
                Some(upstream) => self.start(upstream, index, now),
                None => self.queues[0].push_back(index),
            },
            Kind::FailFast => {
                let upstream = self.arrivals[index].agent;
                if self.running[upstream] < self.fleet.slots {
                    self.start(upstream, index, now);
                } else {
                    self.outcomes.fates[index] = Some(Fate::Refused);
                }
            }
            Kind::Random => self.join(self.arrivals[index].agent, index, now),
            Kind::Reported => {
                let least = self.reported.iter().copied().min().unwrap_or(0);
                let best: Vec<_> =
                    (0..self.reported.len()).filter(|&u| self.reported[u] == least).collect();
                let upstream = best[self.random.random_range(0..best.len())];
                self.join(upstream, index, now);
            }
        }
    }

    fn join(&mut self, upstream: usize, index: usize, now: Moment) {
        if self.running[upstream] < self.fleet.slots {
            self.start(upstream, index, now);
        } else {
            self.queues[upstream].push_back(index);
        }
    }

    fn free(&mut self) -> Option<usize> {
        let free: Vec<_> =
            (0..self.running.len()).filter(|&u| self.running[u] < self.fleet.slots).collect();
        if free.is_empty() { None } else { Some(free[self.random.random_range(0..free.len())]) }
    }

    fn report(&mut self, now: Moment) {
        if now.since(self.reported_at) >= STALE {
            self.reported_at = now;
            for upstream in 0..self.running.len() {
                let running = self.running[upstream] as usize;
                self.reported[upstream] = running + self.queues[upstream].len();
            }
        }
    }

    fn start(&mut self, upstream: usize, index: usize, now: Moment) {
        self.running[upstream] += 1;
        let at = now + self.service(upstream, index);
        self.done.push(Reverse((at, upstream, index)));
    }

    fn service(&self, upstream: usize, index: usize) -> Span {
        let work = self.arrivals[index].work.as_micros() as f64;
        Span::from_micros((work / self.fleet.speeds[upstream]) as u64)
    }
}
