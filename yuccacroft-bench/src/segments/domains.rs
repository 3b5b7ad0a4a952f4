//! Placement of flows between failure domains in virtual time. Each domain has a balancer, and each
//! flow carries one request.

use {
    super::{
        domain, entry,
        placement::{LATENCY_OBJECTIVE_MS, LOAD_INTERVAL_MS, MEAN_WORK_MS, Upstream, moment},
        service,
    },
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::ops::Range,
    yuccacroft_core::{
        flow::FlowKey,
        pool::{AgentEntry, AgentLoad, AgentPhase, Pool},
        spill_over::Terms,
        time::Span,
    },
};

const DOMAINS: usize = 3;
const UPSTREAMS_PER_DOMAIN: usize = 6;
const SLOTS: usize = 4;
const UPSTREAMS: usize = DOMAINS * UPSTREAMS_PER_DOMAIN;
const UPDATE_INTERVAL_MS: f64 = 100.0;
const ROUND_TRIP_MS: f64 = 2.8;
const DURATION_MS: f64 = 40_000.0;
/// The time in which a pattern with a change has it.
const CHANGE_MS: Range<f64> = 15_000.0..25_000.0;
const SECOND_MS: f64 = 1_000.0;

/// How a balancer chooses between its own and other domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// A member in another domain costs a fixed part more.
    FixedFactor,
    /// Shares of [`yuccacroft_core::spill_over`].
    SpillOver,
    /// Of two random upstreams at home the one with fewer requests, unless all its slots are in use
    /// and a random one elsewhere has fewer.
    TwoChoices,
}

/// The demand of each domain in multiples of its capacity, before and within the change.
struct Pattern {
    name: &'static str,
    demand: [f64; DOMAINS],
    changed: [f64; DOMAINS],
    /// Whether the last domain has no upstream within the change.
    is_lost: bool,
}

struct Simulation {
    policy: Policy,
    pools: Vec<Pool>,
    upstreams: Vec<Upstream>,
    loads: Vec<AgentLoad>,
    random: StdRng,
    /// The flows of the first domain in each second, and those of them that left it.
    seconds: Vec<(u32, u32)>,
}

/// Measures each policy with each pattern.
pub fn measure(seed: u64, report: &mut Report) {
    let pattern = |name, demand, changed, is_lost| Pattern { name, demand, changed, is_lost };
    let patterns = [
        pattern("even", [0.5; 3], [0.5; 3], false),
        pattern("one short", [1.3, 0.4, 0.4], [1.3, 0.4, 0.4], false),
        pattern("all short", [1.2; 3], [1.2; 3], false),
        pattern("moved", [0.6; 3], [1.1, 0.35, 0.35], false),
        pattern("lost", [0.5; 3], [0.5; 3], true),
    ];
    let policies = [
        ("fixed factor", Policy::FixedFactor),
        ("spill-over", Policy::SpillOver),
        ("two choices", Policy::TwoChoices),
    ];
    for pattern in &patterns {
        for (name, policy) in policies {
            let variant = format!("{}: {name}", pattern.name);
            let mut simulation = Simulation::new(policy, seed);
            let (in_time, crossing) = simulation.run(pattern);
            report.add(&variant, "in_time_share", in_time, Target::None);
            report.add(&variant, "crossing_share", crossing, Target::None);
            report.add(&variant, "share_swing", simulation.swing(), Target::None);
        }
    }
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let pool = || {
            let pool = Pool::new();
            (0..UPSTREAMS as u32).for_each(|number| {
                pool.upsert(entry(number), moment(0.0));
            });
            pool
        };
        Self {
            policy,
            pools: (0..DOMAINS).map(|_| pool()).collect(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::new(1.0, SLOTS, 0.0)).collect(),
            loads: vec![AgentLoad::default(); UPSTREAMS],
            random: StdRng::seed_from_u64(seed),
            seconds: vec![(0, 0); (DURATION_MS / SECOND_MS) as usize + 1],
        }
    }

    /// Returns the share of requests answered within the objective, and the share of flows that
    /// left their domain.
    fn run(&mut self, pattern: &Pattern) -> (f64, f64) {
        let capacity = (UPSTREAMS_PER_DOMAIN * SLOTS) as f64 / MEAN_WORK_MS;
        let (mut now, mut next_report, mut next_update) = (0.0, 0.0, 0.0);
        let (mut in_time, mut crossing, mut total) = (0u32, 0u32, 0u32);
        let mut was_changed = false;
        while now < DURATION_MS {
            let is_changed = CHANGE_MS.contains(&now);
            if is_changed != was_changed && pattern.is_lost {
                self.set_lost(is_changed, now);
            }
            was_changed = is_changed;
            let demand = if is_changed { &pattern.changed } else { &pattern.demand };
            let rate = demand.iter().sum::<f64>() * capacity;
            now += -self.random.random_range(f64::EPSILON..1.0f64).ln() / rate;
            while next_report <= now {
                self.report(next_report);
                next_report += LOAD_INTERVAL_MS;
            }
            while next_update <= now {
                self.update(next_update);
                next_update += UPDATE_INTERVAL_MS;
            }
            let home = self.choose_home(demand);
            let upstream = self.place(home, now);
            self.answer(home, upstream, now);
            let leaves = upstream % DOMAINS != home;
            let (answered, _) = self.upstreams[upstream].serve(now, &mut self.random);
            let way = if leaves { ROUND_TRIP_MS } else { 0.0 };
            total += 1;
            crossing += u32::from(leaves);
            in_time += u32::from(answered + way - now <= LATENCY_OBJECTIVE_MS);
            if home == 0 {
                let second = &mut self.seconds[(now / SECOND_MS) as usize];
                *second = (second.0 + 1, second.1 + u32::from(leaves));
            }
        }
        (f64::from(in_time) / f64::from(total), f64::from(crossing) / f64::from(total))
    }

    /// Returns the difference between the highest and the lowest share of the first domain's flows
    /// that leave it, in the last ten seconds.
    fn swing(&self) -> f64 {
        let shares: Vec<f64> = self
            .seconds
            .iter()
            .rev()
            .skip(1)
            .take(10)
            .map(|(flows, left)| f64::from(*left) / f64::from((*flows).max(1)))
            .collect();
        let max = shares.iter().copied().fold(0.0, f64::max);
        max - shares.iter().copied().fold(1.0, f64::min)
    }

    fn choose_home(&mut self, demand: &[f64; DOMAINS]) -> usize {
        let mut draw = self.random.random_range(0.0..demand.iter().sum());
        for (home, part) in demand.iter().enumerate() {
            if draw < *part {
                return home;
            }
            draw -= part;
        }
        DOMAINS - 1
    }

    /// Returns the upstream of a new flow. The number of an upstream tells its domain.
    fn place(&mut self, home: usize, now: f64) -> usize {
        if self.policy == Policy::TwoChoices {
            return self.place_at_random(home);
        }
        let key = FlowKey::new(self.random.random());
        let chosen = self.pools[home].choose(service(), &domain(home as u32), key, 1, moment(now));
        let Some(instance) = chosen.first() else { return home };
        self.pools[home].record_offer(*instance, moment(now));
        (instance.address().ip().to_bits() & 0xff) as usize
    }

    fn place_at_random(&mut self, home: usize) -> usize {
        let takes_flows = |number: &usize| {
            let member = self.pools[home].get(entry(*number as u32).agent_id.instance);
            member.is_some_and(|member| member.takes_flows())
        };
        let alive: Vec<usize> = (0..UPSTREAMS).filter(takes_flows).collect();
        let (own, others): (Vec<usize>, Vec<usize>) =
            alive.into_iter().partition(|number| number % DOMAINS == home);
        let mut draw = |from: &[usize]| from[self.random.random_range(0..from.len())];
        if own.is_empty() {
            return draw(&others);
        }
        let (one, two, other) = (draw(&own), draw(&own), draw(&others));
        let active = |number: usize| self.loads[number].active;
        let best = if active(one) <= active(two) { one } else { two };
        let is_full = active(best) >= SLOTS as u32;
        if is_full && active(other) < active(best) { other } else { best }
    }

    /// Reports the load of all upstreams to all balancers.
    fn report(&mut self, now: f64) {
        self.loads = self.upstreams.iter_mut().map(|upstream| upstream.load(now)).collect();
        for (number, load) in self.loads.iter().enumerate() {
            for pool in &self.pools {
                pool.record_load(entry(number as u32).agent_id, *load, moment(now));
            }
        }
    }

    /// Reports the requests in progress with the answer to an offer.
    fn answer(&mut self, home: usize, upstream: usize, now: f64) {
        let active = self.upstreams[upstream].active(now);
        let load = AgentLoad { active, ..self.loads[upstream] };
        self.pools[home].record_answer(entry(upstream as u32).agent_id, load, moment(now));
    }

    fn update(&self, now: f64) {
        if self.policy != Policy::SpillOver {
            return;
        }
        let objective = Span::from_millis(LATENCY_OBJECTIVE_MS as u64);
        let terms = [(service(), Terms { objective, crossing_price: Span::ZERO })].into();
        for (home, pool) in self.pools.iter().enumerate() {
            pool.update_spill_over(&domain(home as u32), &terms, moment(now));
        }
    }

    /// Sets whether the upstreams of the last domain are lost. The balancers learn it at once.
    fn set_lost(&self, is_lost: bool, now: f64) {
        let phase = if is_lost { AgentPhase::Draining } else { AgentPhase::Ready };
        let numbers = (0..UPSTREAMS as u32).filter(|number| *number as usize % DOMAINS == 2);
        for number in numbers {
            let entry_version = 2 + u32::from(!is_lost);
            for pool in &self.pools {
                pool.upsert(AgentEntry { phase, entry_version, ..entry(number) }, moment(now));
            }
        }
    }
}
