//! The baselines: simple queues in front of the same upstreams, with the same arrivals.

use {
    super::{
        load::{Arrival, Fleet},
        outcome::{Outcome, RunResult},
        queues::{AgentQueue, Next, QueueKind},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
    yuccacroft_core::time::{Moment, Span},
};

/// The interval of load reports, and thus the maximum age of a reported load.
const REPORT_INTERVAL: Span = Span::from_secs(1);

/// Number of agents to which one request is offered. The fleet has seven.
const MAX_OFFERS: usize = 4;

/// How a baseline places requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// One unbounded queue in front of all upstreams.
    Fifo,
    /// The agent of the connection starts the request at once or refuses it.
    FailFast,
    /// A random upstream. Each has an unbounded queue.
    Random,
    /// The upstream with the lowest load as last reported, up to a second ago. Each has an unbounded
    /// queue.
    ReportedLoad,
    /// The agent of the connection or a further one that accepts the request. Each has a queue of
    /// this kind.
    Agent(QueueKind),
}

impl BaselineKind {
    /// All baselines of the product's own front end.
    pub const ALL: [Self; 4] = [Self::Fifo, Self::FailFast, Self::Random, Self::ReportedLoad];

    /// Returns the name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::FailFast => "fail-fast",
            Self::Random => "random",
            Self::ReportedLoad => "reported-load",
            Self::Agent(kind) => kind.name(),
        }
    }
}

/// The state of a run.
struct BaselineRun<'a> {
    kind: BaselineKind,
    fleet: &'a Fleet,
    arrivals: &'a [Arrival],
    running: Vec<u32>,
    queues: Vec<VecDeque<usize>>,
    agents: Vec<AgentQueue>,
    reported_loads: Vec<usize>,
    reported_at: Moment,
    /// The running requests, as completion time, upstream and index of the arrival.
    completions: BinaryHeap<Reverse<(Moment, usize, usize)>>,
    rng: StdRng,
    result: RunResult,
    measured_from: Moment,
}

/// Runs a baseline until every arrival has an outcome. Busy time counts from `measured_from` on.
pub fn run(
    kind: BaselineKind,
    fleet: &Fleet,
    arrivals: &[Arrival],
    measured_from: Moment,
    seed: u64,
) -> RunResult {
    let count = fleet.speeds.len();
    let mut run = BaselineRun {
        kind,
        fleet,
        arrivals,
        running: vec![0; count],
        queues: vec![VecDeque::new(); count],
        agents: match kind {
            BaselineKind::Agent(kind) => {
                (0..count).map(|_| AgentQueue::new(kind, fleet.slots)).collect()
            }
            _ => Vec::new(),
        },
        reported_loads: vec![0; count],
        reported_at: Moment::default(),
        completions: BinaryHeap::new(),
        rng: StdRng::seed_from_u64(seed),
        result: RunResult { outcomes: vec![None; arrivals.len()], busy_micros: vec![0; count] },
        measured_from,
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        run.complete_until(arrival.at);
        run.report_loads(arrival.at);
        run.place(index, arrival.at);
    }
    run.complete_until(Moment::new(u64::MAX));
    run.result
}

impl BaselineRun<'_> {
    /// Completes the requests that end until `now` and starts queued ones in their place.
    fn complete_until(&mut self, now: Moment) {
        while let Some(&Reverse((at, upstream, index))) = self.completions.peek() {
            if at > now {
                return;
            }
            self.completions.pop();
            let service_time = self.service_time(upstream, index);
            let begin = (at - service_time).max(self.measured_from);
            self.result.busy_micros[upstream] += at.since(begin).as_micros();
            self.result.outcomes[index] = Some(Outcome::Answered(at, service_time));
            self.running[upstream] -= 1;
            if !self.agents.is_empty() {
                self.agents[upstream].record(service_time, at);
                self.start_waiting(upstream, at);
                continue;
            }
            let queue = if self.kind == BaselineKind::Fifo { 0 } else { upstream };
            if let Some(next) = self.queues[queue].pop_front() {
                self.start(upstream, next, at);
            }
        }
    }

    /// Starts, queues or refuses a request.
    fn place(&mut self, index: usize, now: Moment) {
        match self.kind {
            BaselineKind::Fifo => match self.random_free_upstream() {
                Some(upstream) => self.start(upstream, index, now),
                None => self.queues[0].push_back(index),
            },
            BaselineKind::FailFast => {
                let upstream = self.arrivals[index].agent;
                if self.running[upstream] < self.fleet.slots {
                    self.start(upstream, index, now);
                } else {
                    self.result.outcomes[index] = Some(Outcome::Refused);
                }
            }
            BaselineKind::Agent(_) => self.offer(index, now),
            BaselineKind::Random => self.start_or_queue(self.arrivals[index].agent, index, now),
            BaselineKind::ReportedLoad => {
                let least = self.reported_loads.iter().copied().min().unwrap_or(0);
                let best: Vec<_> = (0..self.reported_loads.len())
                    .filter(|&u| self.reported_loads[u] == least)
                    .collect();
                let upstream = best[self.rng.random_range(0..best.len())];
                self.start_or_queue(upstream, index, now);
            }
        }
    }

    /// Offers a request to agents, beginning with that of its connection.
    fn offer(&mut self, index: usize, now: Moment) {
        let (count, first) = (self.agents.len(), self.arrivals[index].agent);
        for hop in 0..MAX_OFFERS {
            let upstream = (first + hop) % count;
            let is_last = hop + 1 == MAX_OFFERS;
            if self.agents[upstream].accepts(self.running[upstream], hop, is_last, now) {
                if self.agents[upstream].push(index, now) {
                    self.start_waiting(upstream, now);
                    return;
                }
                break;
            }
        }
        self.result.outcomes[index] = Some(Outcome::Refused);
    }

    /// Starts waiting requests while slots are free.
    fn start_waiting(&mut self, upstream: usize, now: Moment) {
        while self.running[upstream] < self.fleet.slots {
            match self.agents[upstream].pop(now) {
                Some(Next::Start(index)) => self.start(upstream, index, now),
                Some(Next::Drop(index)) => {
                    self.result.outcomes[index] = Some(Outcome::Refused);
                }
                None => return,
            }
        }
    }

    fn start_or_queue(&mut self, upstream: usize, index: usize, now: Moment) {
        if self.running[upstream] < self.fleet.slots {
            self.start(upstream, index, now);
        } else {
            self.queues[upstream].push_back(index);
        }
    }

    fn random_free_upstream(&mut self) -> Option<usize> {
        let free: Vec<_> =
            (0..self.running.len()).filter(|&u| self.running[u] < self.fleet.slots).collect();
        if free.is_empty() { None } else { Some(free[self.rng.random_range(0..free.len())]) }
    }

    fn report_loads(&mut self, now: Moment) {
        if now.since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            for upstream in 0..self.running.len() {
                let running = self.running[upstream] as usize;
                self.reported_loads[upstream] = running + self.queues[upstream].len();
            }
        }
    }

    fn start(&mut self, upstream: usize, index: usize, now: Moment) {
        self.running[upstream] += 1;
        let at = now + self.service_time(upstream, index);
        self.completions.push(Reverse((at, upstream, index)));
    }

    fn service_time(&self, upstream: usize, index: usize) -> Span {
        let work = self.arrivals[index].work.as_micros() as f64;
        Span::from_micros((work / self.fleet.speeds[upstream]) as u64)
    }
}
