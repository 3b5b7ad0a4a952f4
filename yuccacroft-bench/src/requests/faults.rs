//! Outcomes under faults: what callers were told against what the upstreams ran.

use {
    crate::figure::{Report, Target},
    yuccacroft_fakes::request_simulation::{self, Faults, Mechanisms},
};

const JOBS: u32 = 100_000;

/// Runs the requests with kills, cuts, freezes, lost and doubled messages.
pub fn run(seed: u64, report: &mut Report) {
    let verdict = request_simulation::run(JOBS, Faults::ALL, Mechanisms::ALL, seed);
    let mut add = |name, value, target| report.add("faults", name, f64::from(value), target);
    add("requests", verdict.requests, Target::AtLeast(f64::from(JOBS)));
    add("duplicate_runs", verdict.duplicates, Target::AtMost(0.0));
    add("false_not_run", verdict.false_refusals, Target::AtMost(0.0));
    add("wrong_answers", verdict.wrong_answers, Target::AtMost(0.0));
    add("answered", verdict.answered, Target::None);
    add("not_run", verdict.not_run, Target::None);
    add("unknown", verdict.unknown, Target::None);
    add("handed_off", verdict.handed_off, Target::None);
}
