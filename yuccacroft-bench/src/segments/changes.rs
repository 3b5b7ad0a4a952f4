//! The placement of flows before and after a change of one upstream, in virtual time: a new one, one
//! that takes flows again, one that is replaced and one that becomes slow.
//!
//! The expected utilization counts: that of the changed upstream, and the mean of the others of each
//! speed, over many rounds. The busiest of 47 in a few seconds would mostly be the one with the longest
//! requests.

use {
    super::{
        entry,
        placement::{MIXED_FLEET, Policy, Served, Simulation, Traffic, moment},
    },
    crate::figure::{Report, Target},
    yuccacroft_core::{ids::Incarnation, pool::AgentEntry, units::Slots},
};

const LOADS: [f64; 2] = [0.4, 0.6];
const CHANGES: [(&str, Change); 4] = [
    ("new", Change::New),
    ("returned", Change::Returned),
    ("replaced", Change::Replaced),
    ("slowed", Change::Slowed),
];
/// Time until the first change: several lifetimes of a long flow, so that the first placement without
/// any load reports has no effect.
const WARMUP_MS: f64 = 150_000.0;
/// Time between two changes, after which the effect of the first one is gone.
const ROUND_MS: f64 = 30_000.0;
/// Time before a change for which the upstream takes no flows.
const ABSENCE_MS: f64 = 10_000.0;
/// Time after a change until the utilization counts, and for which it counts.
const SETTLING_MS: f64 = 2_000.0;
const WINDOW_MS: f64 = 2_000.0;
const ROUNDS: u32 = 50;
const SLOWDOWN: f64 = 2.0;
/// The upstream that changes, one of the slower ones.
const CHANGED: usize = 46;
/// The target for the busiest upstream divided by the mean.
const MAX_BUSIEST_OVER_MEAN: f64 = 1.15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The upstream has no flow and takes them from now on.
    New,
    /// The upstream has taken no new flow for a while, and does again.
    Returned,
    /// The upstream restarts as another incarnation and loses its flows.
    Replaced,
    /// Requests at the upstream take longer from now on.
    Slowed,
}

/// The time that the requests of each upstream have taken within the measured windows.
struct Usage {
    busy_ms: Vec<f64>,
    window_ms: f64,
}

/// Measures each change at each load.
pub fn measure(seed: u64, report: &mut Report) {
    for load in LOADS {
        let (steady, _) = run(None, load, seed);
        let variant = format!("mixed speeds, steady at {load}");
        let target = Target::AtMost(MAX_BUSIEST_OVER_MEAN);
        report.add(&variant, "expected_busiest_over_mean", steady, target);
        for (name, change) in CHANGES {
            let (busiest, changed) = run(Some(change), load, seed);
            let variant = format!("mixed speeds, {name} at {load}");
            // The long flows of a slowed upstream stay there.
            let is_bounded = change != Change::Slowed;
            let target = if is_bounded { target } else { Target::None };
            report.add(&variant, "expected_busiest_over_mean", busiest, target);
            report.add(&variant, "changed_over_mean", changed, Target::None);
        }
    }
}

/// Returns the utilization of the busiest upstreams and of the changed one, divided by the mean.
fn run(change: Option<Change>, load: f64, seed: u64) -> (f64, f64) {
    let mut simulation = Simulation::new(MIXED_FLEET, Policy::Pool, seed);
    let mut traffic = simulation.begin(load);
    let mut usage = Usage { busy_ms: vec![0.0; MIXED_FLEET.upstreams], window_ms: 0.0 };
    let usual_factor = simulation.upstreams[CHANGED].work_factor;
    for round in 0..ROUNDS {
        let changes_at = WARMUP_MS + f64::from(round) * ROUND_MS;
        run_until(changes_at - ABSENCE_MS, &mut simulation, &mut traffic, None);
        simulation.upstreams[CHANGED].work_factor = usual_factor;
        let is_absent = matches!(change, Some(Change::New | Change::Returned));
        simulation.upstreams[CHANGED].accepting = !is_absent;
        if change == Some(Change::New) {
            simulation.report_loads(traffic.now);
            simulation.reopen_flows(CHANGED, &mut traffic);
        }
        run_until(changes_at, &mut simulation, &mut traffic, None);
        apply(change, round, &mut simulation, &mut traffic);
        run_until(changes_at + SETTLING_MS, &mut simulation, &mut traffic, None);
        usage.window_ms += WINDOW_MS;
        let end = traffic.now + WINDOW_MS;
        run_until(end, &mut simulation, &mut traffic, Some(&mut usage));
    }
    usage.over_mean()
}

fn apply(change: Option<Change>, round: u32, simulation: &mut Simulation, traffic: &mut Traffic) {
    let now = traffic.now;
    simulation.upstreams[CHANGED].accepting = true;
    match change {
        Some(Change::Replaced) => {
            let mut new_entry =
                AgentEntry { slots: Slots::new(MIXED_FLEET.slots as u32), ..entry(CHANGED as u32) };
            new_entry.agent_id.incarnation = Incarnation::new(u64::from(round) + 2);
            simulation.upstreams[CHANGED].restart(new_entry.agent_id);
            simulation.pool.upsert(new_entry, moment(now));
            simulation.reopen_flows(CHANGED, traffic);
        }
        Some(Change::Slowed) => simulation.upstreams[CHANGED].work_factor *= SLOWDOWN,
        Some(Change::New | Change::Returned) | None => {}
    }
    simulation.report_loads(now);
}

/// Serves all requests until `end`, and adds them to `usage`.
fn run_until(
    end: f64,
    simulation: &mut Simulation,
    traffic: &mut Traffic,
    mut usage: Option<&mut Usage>,
) {
    let start = traffic.now;
    while traffic.now < end {
        let served = simulation.serve_next(traffic);
        if let Some(usage) = usage.as_deref_mut() {
            usage.add(&served, start, end);
        }
    }
}

impl Usage {
    /// Adds the part of a request that lies in a window.
    fn add(&mut self, served: &Served, start: f64, end: f64) {
        let busy = served.ended.min(end) - served.began.max(start);
        self.busy_ms[served.upstream] += busy.max(0.0);
    }

    /// Returns the utilization of the busiest upstreams and of the changed one, divided by the mean.
    fn over_mean(&self) -> (f64, f64) {
        let utilization = |busy_ms: f64| busy_ms / self.window_ms / MIXED_FLEET.slots as f64;
        let all = MIXED_FLEET.upstreams;
        let mean = utilization(self.busy_ms.iter().sum::<f64>() / all as f64);
        let changed = utilization(self.busy_ms[CHANGED]);
        let speeds = MIXED_FLEET.work_factors;
        let mean_of_speed = |position: usize| {
            let members =
                (0..all).filter(|each| *each != CHANGED && each % speeds.len() == position);
            let busy_ms: Vec<f64> = members.map(|each| self.busy_ms[each]).collect();
            utilization(busy_ms.iter().sum::<f64>() / busy_ms.len() as f64)
        };
        let busiest = (0..speeds.len()).map(mean_of_speed).fold(changed, f64::max);
        (busiest / mean, changed / mean)
    }
}
