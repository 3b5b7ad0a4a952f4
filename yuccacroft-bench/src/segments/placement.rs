//! Placement of flows in virtual time: upstreams of different speed, long flows that stay where
//! they began, and short ones between them.

use {
    super::{domain, entry, service},
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap},
    yuccacroft_core::{
        flow::Key,
        pool::{Load, Pool},
        rendezvous::score,
        time::{Moment, Span},
        units::{Connections, Percent},
    },
};

const UPSTREAMS: usize = 7;
const SLOTS: usize = 4;
/// Times by which the work of one upstream is longer or shorter than that of another.
const SPEEDS: [f64; UPSTREAMS] = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7];
const LOADS: [f64; 3] = [0.5, 0.9, 1.3];
const LONG_FLOWS: usize = 300;
/// Share of requests that come on long flows.
const LONG_SHARE: f64 = 0.75;
/// Requests after which a long flow is closed and opened again.
const FLOW_REQUESTS: u32 = 30;
const MEAN_WORK_MS: f64 = 27.0;
const OBJECTIVE_MS: f64 = 150.0;
const DURATION_MS: f64 = 60_000.0;
/// Time between two messages about the load.
const LOAD_INTERVAL_MS: f64 = 200.0;
/// Weight of a sample in the means that agents tell.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

#[derive(Clone, Copy, Debug)]
enum Policy {
    Pool,
    Random,
    TwoChoices,
    Rendezvous,
}

struct Upstream {
    speed: f64,
    free: BinaryHeap<Reverse<u64>>,
    ends: Vec<f64>,
    open: u32,
    service_ms: f64,
    busy: f64,
    told: u32,
}

struct World {
    policy: Policy,
    pool: Pool,
    upstreams: Vec<Upstream>,
    random: StdRng,
    next_key: u64,
}

/// Measures each policy at each load.
pub fn measure(seed: u64, report: &mut Report) {
    let policies = [
        ("pool", Policy::Pool),
        ("random", Policy::Random),
        ("two choices", Policy::TwoChoices),
        ("rendezvous", Policy::Rendezvous),
    ];
    for load in LOADS {
        for (name, policy) in policies {
            let (timely, spread) = World::new(policy, seed).run(load);
            let variant = format!("{name} at {load}");
            report.add(&variant, "in_time_share", timely, Target::None);
            report.add(&variant, "busiest_over_mean", spread, Target::None);
        }
    }
}

fn moment(millis: f64) -> Moment {
    Moment::new(1_000_000 + (millis * 1_000.0) as u64)
}

impl World {
    fn new(policy: Policy, seed: u64) -> Self {
        let upstreams = SPEEDS
            .iter()
            .map(|&speed| Upstream {
                speed,
                free: (0..SLOTS).map(|_| Reverse(0)).collect(),
                ends: Vec::new(),
                open: 0,
                service_ms: 0.0,
                busy: 0.0,
                told: 0,
            })
            .collect();
        let pool = Pool::new();
        (0..UPSTREAMS as u32).for_each(|number| {
            pool.upsert(entry(number), moment(0.0));
        });
        Self { policy, pool, upstreams, random: StdRng::seed_from_u64(seed), next_key: 0 }
    }

    /// Returns the share of answers within the objective and the work of the busiest upstream over
    /// the mean.
    fn run(&mut self, load: f64) -> (f64, f64) {
        let capacity: f64 = SPEEDS.iter().map(|speed| SLOTS as f64 / (MEAN_WORK_MS * speed)).sum();
        let rate = load * capacity;
        let mut flows: Vec<(usize, u32)> = Vec::new();
        for _ in 0..LONG_FLOWS {
            let first = self.random.random_range(0..FLOW_REQUESTS);
            flows.push((self.place(0.0), first));
        }
        let (mut now, mut told) = (0.0, 0.0);
        let (mut timely, mut total) = (0u32, 0u32);
        let mut work = [0.0; UPSTREAMS];
        while now < DURATION_MS {
            now += -self.random.random_range(f64::EPSILON..1.0f64).ln() / rate;
            while told <= now {
                self.tell(told);
                told += LOAD_INTERVAL_MS;
            }
            let upstream = if self.random.random_bool(LONG_SHARE) {
                let index = self.random.random_range(0..LONG_FLOWS);
                if flows[index].1 >= FLOW_REQUESTS {
                    self.upstreams[flows[index].0].open -= 1;
                    flows[index] = (self.place(now), 0);
                }
                flows[index].1 += 1;
                flows[index].0
            } else {
                let upstream = self.place(now);
                self.upstreams[upstream].open -= 1;
                upstream
            };
            let (answered, spent) = self.upstreams[upstream].serve(now, &mut self.random);
            work[upstream] += spent;
            total += 1;
            timely += u32::from(answered - now <= OBJECTIVE_MS);
        }
        let mean = work.iter().sum::<f64>() / UPSTREAMS as f64;
        let most = work.iter().copied().fold(0.0, f64::max);
        (f64::from(timely) / f64::from(total), most / mean)
    }

    fn place(&mut self, now: f64) -> usize {
        self.next_key = self.next_key.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let key = self.next_key;
        let chosen = match self.policy {
            Policy::Pool => {
                let at = moment(now);
                let order = self.pool.choose(service(), &domain(0), Key::new(key), 1, at);
                let first = order.first().copied();
                let number = first.map_or(0, |instance| instance.address().ip().to_bits() & 0xff);
                if let Some(instance) = first {
                    self.pool.record_offer(instance, at);
                }
                number as usize
            }
            Policy::Random => self.random.random_range(0..UPSTREAMS),
            Policy::TwoChoices => {
                let one = self.random.random_range(0..UPSTREAMS);
                let two = self.random.random_range(0..UPSTREAMS);
                if self.upstreams[two].told < self.upstreams[one].told { two } else { one }
            }
            Policy::Rendezvous => {
                (0..UPSTREAMS).max_by_key(|&node| score(key, node as u64)).unwrap_or_default()
            }
        };
        self.upstreams[chosen].open += 1;
        chosen
    }

    fn tell(&mut self, now: f64) {
        for (number, upstream) in self.upstreams.iter_mut().enumerate() {
            let load = upstream.load(now);
            self.pool.record_load(entry(number as u32).hop, load, moment(now));
        }
    }
}

impl Upstream {
    /// Serves a request in the order of arrival. Returns when it is answered and its work.
    fn serve(&mut self, now: f64, random: &mut StdRng) -> (f64, f64) {
        let work = -random.random_range(f64::EPSILON..1.0f64).ln() * MEAN_WORK_MS * self.speed;
        let free = self.free.pop().map_or(0.0, |Reverse(micros)| micros as f64 / 1_000.0);
        let end = free.max(now) + work;
        self.free.push(Reverse((end * 1_000.0) as u64));
        self.ends.push(end);
        self.service_ms += (end - now - self.service_ms) * SAMPLE_WEIGHT;
        (end, work)
    }

    fn load(&mut self, now: f64) -> Load {
        self.ends.retain(|end| *end > now);
        let active = self.ends.len() as u32;
        // Five messages a second, so that the mean is over about one second.
        self.busy += (f64::from(active) - self.busy) / 5.0;
        self.told = active;
        Load {
            accepting: true,
            active,
            busy: Percent::new((self.busy * 100.0) as u32),
            open: Connections::new(self.open),
            service_time: Span::from_micros((self.service_ms * 1_000.0) as u64),
            warmup: Span::ZERO,
            stopping: false,
        }
    }
}
