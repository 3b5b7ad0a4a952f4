//! Placement of flows in virtual time. The upstreams differ in speed, and the requests come on long
//! flows, which stay at their upstream, and on short ones, which are placed one by one.

use {
    super::{domain, entry, service},
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        pool::{AgentEntry, AgentLoad, Pool},
        rendezvous::score,
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
};

const FLEETS: [Fleet; 2] = [SMALL_FLEET, MIXED_FLEET];
const SMALL_FLEET: Fleet = Fleet {
    name: "",
    upstreams: 7,
    slots: 4,
    work_factors: &[0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7],
    tail_share: 0.0,
    long_flows: 300,
    loads: &[0.5, 0.9, 1.3],
};
pub(super) const MIXED_FLEET: Fleet = Fleet {
    name: "mixed speeds, ",
    upstreams: 47,
    slots: 2,
    work_factors: &[1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7],
    tail_share: 0.03,
    long_flows: 1_500,
    loads: &[0.4, 0.6, 0.9],
};
/// The factor by which a request of the tail takes longer than the others.
const TAIL_FACTOR: f64 = 7.0;
/// The share of requests that come on long flows.
const LONG_SHARE: f64 = 0.75;
/// The number of requests after which a long flow is closed and a new one is placed.
const REQUESTS_PER_FLOW: u32 = 30;
pub(super) const MEAN_WORK_MS: f64 = 27.0;
pub(super) const LATENCY_OBJECTIVE_MS: f64 = 150.0;
const DURATION_MS: f64 = 60_000.0;
/// The interval between two load reports.
pub(super) const LOAD_INTERVAL_MS: f64 = 200.0;
/// The weight of one sample in the mean service time that an agent reports.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// The upstreams of a service and their requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    /// The name, as a prefix of the variants.
    name: &'static str,
    pub upstreams: usize,
    pub slots: usize,
    /// The factors by which the upstreams multiply the mean work of a request, in turn.
    pub work_factors: &'static [f64],
    /// The share of requests that take [`TAIL_FACTOR`] times as long.
    tail_share: f64,
    long_flows: usize,
    /// The loads, as multiples of the total capacity.
    loads: &'static [f64],
}

/// How a flow is placed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Policy {
    /// The choice of the balancer's pool.
    Pool,
    /// A random upstream.
    Random,
    /// Of two random upstreams, the one that reported fewer active requests.
    TwoChoices,
    /// The upstream with the highest rendezvous hash for the key of the flow.
    Rendezvous,
}

pub(super) struct Upstream {
    pub agent_id: AgentId,
    pub work_factor: f64,
    /// Whether the upstream takes new flows.
    pub accepting: bool,
    tail_share: f64,
    /// The time at which each slot becomes free, in microseconds.
    free_at_micros: BinaryHeap<Reverse<u64>>,
    /// The end times of the unfinished requests, in milliseconds.
    end_times: Vec<f64>,
    open: u32,
    service_ms: f64,
    /// The moving average of the number of active requests.
    mean_active: f64,
    reported_active: u32,
}

pub(super) struct Simulation {
    fleet: Fleet,
    policy: Policy,
    pub pool: Pool,
    pub upstreams: Vec<Upstream>,
    random: StdRng,
    next_key: u64,
}

/// The requests of a run, of which those on long flows stay at one upstream.
pub(super) struct Traffic {
    /// The number of requests per millisecond.
    rate: f64,
    /// The upstream of each long flow, and the number of its requests so far.
    flows: Vec<(usize, u32)>,
    /// The time of the latest request, in milliseconds.
    pub now: f64,
    next_report: f64,
}

/// A served request, with times in milliseconds.
pub(super) struct Served {
    pub upstream: usize,
    pub arrived: f64,
    pub began: f64,
    pub ended: f64,
}

/// Measures each policy at each load.
pub fn measure(seed: u64, report: &mut Report) {
    let policies = [
        ("pool", Policy::Pool),
        ("random", Policy::Random),
        ("two choices", Policy::TwoChoices),
        ("rendezvous", Policy::Rendezvous),
    ];
    for fleet in FLEETS {
        for &load in fleet.loads {
            for (name, policy) in policies {
                let (in_time, imbalance) = Simulation::new(fleet, policy, seed).run(load);
                let variant = format!("{}{name} at {load}", fleet.name);
                report.add(&variant, "in_time_share", in_time, Target::None);
                report.add(&variant, "busiest_over_mean", imbalance, Target::None);
            }
        }
    }
}

pub(super) fn moment(millis: f64) -> Moment {
    Moment::new(1_000_000 + (millis * 1_000.0) as u64)
}

impl Fleet {
    /// Returns the work factor of each upstream.
    fn work_factors(&self) -> impl Iterator<Item = f64> {
        self.work_factors.iter().copied().cycle().take(self.upstreams)
    }
}

impl Simulation {
    pub fn new(fleet: Fleet, policy: Policy, seed: u64) -> Self {
        let upstreams = fleet
            .work_factors()
            .zip(0..)
            .map(|(work_factor, number)| Upstream {
                agent_id: entry(number).agent_id,
                ..Upstream::new(work_factor, fleet.slots, fleet.tail_share)
            })
            .collect();
        let pool = Pool::new();
        (0..fleet.upstreams as u32).for_each(|number| {
            let slots = Slots::new(fleet.slots as u32);
            pool.upsert(AgentEntry { slots, ..entry(number) }, moment(0.0));
        });
        Self { fleet, policy, pool, upstreams, random: StdRng::seed_from_u64(seed), next_key: 0 }
    }

    /// Runs at `load`, a multiple of the total capacity. Returns the share of requests answered within
    /// the objective, and the work of the busiest upstream divided by the mean.
    fn run(&mut self, load: f64) -> (f64, f64) {
        let mut traffic = self.begin(load);
        let (mut in_time, mut total) = (0u32, 0u32);
        let mut work = vec![0.0; self.fleet.upstreams];
        while traffic.now < DURATION_MS {
            let served = self.serve_next(&mut traffic);
            work[served.upstream] += served.ended - served.began;
            total += 1;
            in_time += u32::from(served.ended - served.arrived <= LATENCY_OBJECTIVE_MS);
        }
        let mean = work.iter().sum::<f64>() / self.fleet.upstreams as f64;
        let max_work = work.iter().copied().fold(0.0, f64::max);
        (f64::from(in_time) / f64::from(total), max_work / mean)
    }

    /// Opens the long flows for a run at `load`, a multiple of the total capacity.
    pub fn begin(&mut self, load: f64) -> Traffic {
        let fleet = self.fleet;
        let mean_work_ms = MEAN_WORK_MS * (1.0 + fleet.tail_share * (TAIL_FACTOR - 1.0));
        let capacity: f64 = fleet
            .work_factors()
            .map(|work_factor| fleet.slots as f64 / (mean_work_ms * work_factor))
            .sum();
        let mut flows: Vec<(usize, u32)> = Vec::new();
        for _ in 0..fleet.long_flows {
            let requests_so_far = self.random.random_range(0..REQUESTS_PER_FLOW);
            flows.push((self.place_flow(0.0), requests_so_far));
        }
        Traffic { rate: load * capacity, flows, now: 0.0, next_report: 0.0 }
    }

    /// Lets the next request arrive and serves it.
    pub fn serve_next(&mut self, traffic: &mut Traffic) -> Served {
        traffic.now += -self.random.random_range(f64::EPSILON..1.0f64).ln() / traffic.rate;
        let now = traffic.now;
        while traffic.next_report <= now {
            self.report_loads(traffic.next_report);
            traffic.next_report += LOAD_INTERVAL_MS;
        }
        let upstream = if self.random.random_bool(LONG_SHARE) {
            let index = self.random.random_range(0..self.fleet.long_flows);
            if traffic.flows[index].1 >= REQUESTS_PER_FLOW {
                self.upstreams[traffic.flows[index].0].open -= 1;
                traffic.flows[index] = (self.place_flow(now), 0);
            }
            traffic.flows[index].1 += 1;
            traffic.flows[index].0
        } else {
            let upstream = self.place_flow(now);
            self.upstreams[upstream].open -= 1;
            upstream
        };
        let (ended, work) = self.upstreams[upstream].serve(now, &mut self.random);
        Served { upstream, arrived: now, began: ended - work, ended }
    }

    /// Opens the long flows of an upstream anew, since it has lost them.
    pub fn reopen_flows(&mut self, upstream: usize, traffic: &mut Traffic) {
        for index in 0..traffic.flows.len() {
            if traffic.flows[index].0 == upstream {
                traffic.flows[index] = (self.place_flow(traffic.now), traffic.flows[index].1);
            }
        }
    }

    /// Opens a flow and returns the index of its upstream.
    fn place_flow(&mut self, now: f64) -> usize {
        self.next_key = self.next_key.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let key = self.next_key;
        let upstream = match self.policy {
            Policy::Pool => {
                let at = moment(now);
                let order = self.pool.choose(service(), &domain(0), FlowKey::new(key), 1, at);
                let first = order.first().copied();
                let number = first.map_or(0, |instance| instance.address().ip().to_bits() & 0xff);
                if let Some(instance) = first {
                    self.pool.record_offer(instance, at);
                }
                number as usize
            }
            Policy::Random => self.random.random_range(0..self.fleet.upstreams),
            Policy::TwoChoices => {
                let one = self.random.random_range(0..self.fleet.upstreams);
                let two = self.random.random_range(0..self.fleet.upstreams);
                if self.upstreams[two].reported_active < self.upstreams[one].reported_active {
                    two
                } else {
                    one
                }
            }
            Policy::Rendezvous => (0..self.fleet.upstreams)
                .max_by_key(|&node| score(key, node as u64))
                .unwrap_or_default(),
        };
        self.upstreams[upstream].open += 1;
        upstream
    }

    /// Reports the load of all upstreams to the pool.
    pub fn report_loads(&mut self, now: f64) {
        for upstream in &mut self.upstreams {
            let load = upstream.load(now);
            self.pool.record_load(upstream.agent_id, load, moment(now));
        }
    }
}

impl Upstream {
    /// Creates an idle upstream that multiplies the mean work of a request by `work_factor`. A share of
    /// its requests takes [`TAIL_FACTOR`] times as long.
    pub(super) fn new(work_factor: f64, slots: usize, tail_share: f64) -> Self {
        Self {
            agent_id: entry(0).agent_id,
            work_factor,
            accepting: true,
            tail_share,
            free_at_micros: (0..slots).map(|_| Reverse(0)).collect(),
            end_times: Vec::new(),
            open: 0,
            service_ms: 0.0,
            mean_active: 0.0,
            reported_active: 0,
        }
    }

    /// Forgets what the agent has measured, since it restarts with its upstream.
    pub fn restart(&mut self, agent_id: AgentId) {
        self.agent_id = agent_id;
        self.service_ms = 0.0;
        self.mean_active = 0.0;
        self.end_times.clear();
        self.free_at_micros = self.free_at_micros.iter().map(|_| Reverse(0)).collect();
    }

    /// Serves a request on the first free slot. Returns the time of the answer and the work of the
    /// request, in milliseconds.
    pub(super) fn serve(&mut self, now: f64, random: &mut StdRng) -> (f64, f64) {
        let tail_factor = if random.random_bool(self.tail_share) { TAIL_FACTOR } else { 1.0 };
        let mean_ms = MEAN_WORK_MS * self.work_factor * tail_factor;
        let work = -random.random_range(f64::EPSILON..1.0f64).ln() * mean_ms;
        let free = self.free_at_micros.pop().map_or(0.0, |Reverse(micros)| micros as f64 / 1_000.0);
        let end = free.max(now) + work;
        self.free_at_micros.push(Reverse((end * 1_000.0) as u64));
        self.end_times.push(end);
        self.service_ms += (end - now - self.service_ms) * SAMPLE_WEIGHT;
        (end, work)
    }

    /// Returns the number of unfinished requests.
    pub(super) fn active(&mut self, now: f64) -> u32 {
        self.end_times.retain(|end| *end > now);
        self.end_times.len() as u32
    }

    pub(super) fn load(&mut self, now: f64) -> AgentLoad {
        let active = self.active(now);
        // There are five reports per second, so the average covers about one second.
        self.mean_active += (f64::from(active) - self.mean_active) / 5.0;
        self.reported_active = active;
        AgentLoad {
            accepting: self.accepting,
            active,
            busy: Percent::new((self.mean_active * 100.0) as u32),
            open: Connections::new(self.open),
            service_time: Span::from_micros((self.service_ms * 1_000.0) as u64),
            warmup: Span::ZERO,
            stopping: false,
        }
    }
}
