//! The case `flows`: broken flows and imbalance while members and balancers change.
//!
//! The decisions run without I/O in virtual time, with the sizes of `docs/design.md`, section 1.6. The
//! baselines run with the same script of changes.

mod agent;
mod balancer;
mod caller;
mod member;
mod owner;
mod script;
mod simulation;

use {
    crate::figure::{Report, Target},
    simulation::Simulation,
    std::{collections::BTreeMap, time::Instant},
};

/// The bounds from `docs/design.md`, section 12.
const MAX_IMBALANCE_EQUAL: f64 = 1.10;
const MAX_IMBALANCE_WEIGHTED: f64 = 1.15;
const MIN_PACKETS: f64 = 1_000_000.0;
const MAX_FIRST_DECISION_MICROS: f64 = 1.5;

/// How balancers choose the upstream of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The key modulo the number of members that the balancer knows (a baseline).
    Modulo,
    /// The first choice of the balancer's Maglev table (a baseline).
    Maglev,
    /// Owner tags, two choices, and a directory of owners with homes and claims.
    Directory,
}

/// The cause of a broken flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its upstream was killed.
    Killed,
    /// All balancers knew the same members, so a planned change of the members broke the flow.
    Planned,
    /// A balancer had been lost within the last second.
    BalancerLoss,
    /// Balancers knew different members.
    Disagreement,
    /// Its first packets reached two owners.
    Split,
    /// A packet was retransmitted too often.
    Unreachable,
}

/// The counts of one run.
#[derive(Debug, Default)]
pub struct Counts {
    /// Flows that began.
    pub flows: u64,
    /// Flows that found no upstream within the retransmissions of their first packet.
    pub unopened: u64,
    /// Broken flows by cause.
    pub broken: BTreeMap<Cause, u64>,
    /// Packets that reached an agent, counted at each agent that they pass.
    pub packets: u64,
    /// Packets delivered to an upstream of another service.
    pub wrong_service: u64,
    /// Packets with forged, foreign or replayed tags.
    pub attacks: u64,
    /// Packets and claims that an agent refused because they were for another service.
    pub refused: u64,
    /// Claim messages: claims, relayed claims, answers and published entries.
    pub claim_messages: u64,
    /// Changes that were applied.
    pub changes: u64,
    /// The largest number of open flows of an upstream relative to the mean, over all services whose
    /// upstreams have equal weights.
    pub imbalance_equal: f64,
    /// The same for services with different weights, where the numbers are relative to the weights.
    pub imbalance_weighted: f64,
    /// The times from the first packet of a flow until an upstream receives it, in microseconds.
    pub opening_micros: Vec<u64>,
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("flows");
    for (variant, name) in [
        (Variant::Modulo, "modulo"),
        (Variant::Maglev, "maglev"),
        (Variant::Directory, "directory"),
    ] {
        let start = Instant::now();
        let mut counts = Simulation::new(variant, seed).run();
        add_figures(&mut report, name, variant, &mut counts);
        report.add(name, "wall_s", start.elapsed().as_secs_f64(), Target::None);
    }
    let micros = balancer::first_decision_micros(seed);
    let target = Target::AtMost(MAX_FIRST_DECISION_MICROS);
    report.add("directory", "first_decision_1000_members_us", micros, target);
    report
}

/// Adds the figures of one run. Only the variant [`Variant::Directory`] has targets.
fn add_figures(report: &mut Report, name: &str, variant: Variant, counts: &mut Counts) {
    let has_targets = variant == Variant::Directory;
    let target = |target| if has_targets { target } else { Target::None };
    let mut add_figure =
        |figure: &str, value: f64, bound| report.add(name, figure, value, target(bound));
    add_figure("flows", counts.flows as f64, Target::None);
    add_figure("changes", counts.changes as f64, Target::None);
    add_figure("packets", counts.packets as f64, Target::AtLeast(MIN_PACKETS));
    let broken = |cause| counts.broken.get(&cause).copied().unwrap_or_default() as f64;
    add_figure("broken_killed_upstream", broken(Cause::Killed), Target::None);
    add_figure("broken_planned", broken(Cause::Planned), Target::AtMost(0.0));
    add_figure("broken_balancer_loss", broken(Cause::BalancerLoss), Target::AtMost(0.0));
    add_figure("broken_disagreement", broken(Cause::Disagreement), Target::AtMost(0.0));
    add_figure("broken_split", broken(Cause::Split), Target::AtMost(0.0));
    add_figure("broken_unreachable", broken(Cause::Unreachable), Target::AtMost(0.0));
    add_figure("unopened", counts.unopened as f64, Target::AtMost(0.0));
    add_figure("wrong_service", counts.wrong_service as f64, Target::AtMost(0.0));
    add_figure("refused_by_identity", counts.refused as f64, Target::None);
    add_figure("attacks", counts.attacks as f64, Target::None);
    add_figure("imbalance_equal", counts.imbalance_equal, Target::AtMost(MAX_IMBALANCE_EQUAL));
    add_figure(
        "imbalance_weighted",
        counts.imbalance_weighted,
        Target::AtMost(MAX_IMBALANCE_WEIGHTED),
    );
    add_figure(
        "claim_messages_per_flow",
        counts.claim_messages as f64 / counts.flows as f64,
        Target::None,
    );
    counts.opening_micros.sort_unstable();
    for (figure, quantile) in [("opening_p50_ms", 0.50), ("opening_p99_ms", 0.99)] {
        let index = (counts.opening_micros.len() as f64 * quantile) as usize;
        let micros = counts.opening_micros.get(index).copied().unwrap_or_default();
        add_figure(figure, micros as f64 / 1_000.0, Target::None);
    }
}
