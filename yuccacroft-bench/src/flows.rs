//! The case `flows`: broken flows and imbalance while members and balancers change.
//!
//! The pure decisions run in virtual time with the sizes of `docs/design.md`, section 1.6. The
//! baselines see the same script of changes.

mod agent;
mod balancer;
mod caller;
mod member;
mod owner;
mod script;
mod world;

use {
    crate::figure::{Report, Target},
    std::{collections::BTreeMap, time::Instant},
    world::World,
};

/// `docs/design.md`, section 12.
const MAX_IMBALANCE_EQUAL: f64 = 1.10;
const MAX_IMBALANCE_WEIGHTED: f64 = 1.15;
const MIN_PACKETS: f64 = 1_000_000.0;
const MAX_FIRST_DECISION_MICROS: f64 = 1.5;

/// How packets find their upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The key modulo the number of members that the balancer knows.
    Modulo,
    /// The first choice of the balancer's Maglev table.
    Maglev,
    /// Tags, two choices, homes and claims.
    Directory,
}

/// Why a flow broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its upstream was killed.
    Killed,
    /// Its upstream drains, or members changed and all balancers know it.
    Planned,
    /// A balancer was lost within the last second.
    Balancer,
    /// Balancers knew different members.
    Disagreement,
    /// Its first packets found two owners.
    Split,
    /// None of its packets came through for seconds.
    Unreachable,
}

/// What one run counted.
#[derive(Debug, Default)]
pub struct Counts {
    /// Flows that were begun.
    pub flows: u64,
    /// Flows that found no upstream within seconds.
    pub unopened: u64,
    /// Flows that broke.
    pub broken: BTreeMap<Cause, u64>,
    /// Packets that reached an upstream or were refused by an agent.
    pub packets: u64,
    /// Packets that an upstream of another service took.
    pub wrong_service: u64,
    /// Packets with forged, foreign or replayed tags.
    pub attacks: u64,
    /// Packets that an agent refused because they were meant for another service.
    pub refused: u64,
    /// Claim messages.
    pub claims: u64,
    /// Changes of members and balancers.
    pub changes: u64,
    /// The largest share over the mean, over all services of equal weights.
    pub imbalance_equal: f64,
    /// The largest share over the mean in proportion to weight.
    pub imbalance_weighted: f64,
    /// Times from the first packet to the upstream in microseconds.
    pub opening: Vec<u64>,
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
        let mut counts = World::new(variant, seed).run();
        add(&mut report, name, variant, &mut counts);
        report.add(name, "wall_s", start.elapsed().as_secs_f64(), Target::None);
    }
    let micros = balancer::first_decision_micros(seed);
    let target = Target::AtMost(MAX_FIRST_DECISION_MICROS);
    report.add("directory", "first_decision_1000_members_us", micros, target);
    report
}

fn add(report: &mut Report, name: &str, variant: Variant, counts: &mut Counts) {
    let measured = variant == Variant::Directory;
    let target = |target| if measured { target } else { Target::None };
    let mut line = |figure: &str, value: f64, bound| report.add(name, figure, value, target(bound));
    line("flows", counts.flows as f64, Target::None);
    line("changes", counts.changes as f64, Target::None);
    line("packets", counts.packets as f64, Target::AtLeast(MIN_PACKETS));
    let broken = |cause| counts.broken.get(&cause).copied().unwrap_or_default() as f64;
    line("broken_killed_upstream", broken(Cause::Killed), Target::None);
    line("broken_planned", broken(Cause::Planned), Target::AtMost(0.0));
    line("broken_balancer_loss", broken(Cause::Balancer), Target::AtMost(0.0));
    line("broken_disagreement", broken(Cause::Disagreement), Target::AtMost(0.0));
    line("broken_split", broken(Cause::Split), Target::AtMost(0.0));
    line("broken_unreachable", broken(Cause::Unreachable), Target::AtMost(0.0));
    line("unopened", counts.unopened as f64, Target::AtMost(0.0));
    line("wrong_service", counts.wrong_service as f64, Target::AtMost(0.0));
    line("refused_by_identity", counts.refused as f64, Target::None);
    line("attacks", counts.attacks as f64, Target::None);
    line("imbalance_equal", counts.imbalance_equal, Target::AtMost(MAX_IMBALANCE_EQUAL));
    line("imbalance_weighted", counts.imbalance_weighted, Target::AtMost(MAX_IMBALANCE_WEIGHTED));
    line("claim_messages_per_flow", counts.claims as f64 / counts.flows as f64, Target::None);
    counts.opening.sort_unstable();
    for (figure, part) in [("opening_p50_ms", 0.50), ("opening_p99_ms", 0.99)] {
        let at = (counts.opening.len() as f64 * part) as usize;
        let micros = counts.opening.get(at).copied().unwrap_or_default();
        line(figure, micros as f64 / 1_000.0, Target::None);
    }
}
