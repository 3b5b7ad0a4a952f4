//! Outcomes under faults: compares the answers of callers with what the upstreams ran.

use {
    crate::figure::{Report, Target},
    yuccacroft_fakes::request_simulation::{self, Faults, Mechanisms},
};

const REQUEST_COUNT: u32 = 100_000;

/// Runs the requests with killed and frozen agents, broken connections, and lost and duplicated
/// messages.
pub fn run(seed: u64, report: &mut Report) {
    let results = request_simulation::run(REQUEST_COUNT, Faults::ALL, Mechanisms::ALL, seed);
    let mut add = |name, value, target| report.add("faults", name, f64::from(value), target);
    add("requests", results.requests, Target::AtLeast(f64::from(REQUEST_COUNT)));
    add("duplicate_runs", results.duplicates, Target::AtMost(0.0));
    add("false_not_run", results.false_refusals, Target::AtMost(0.0));
    add("wrong_answers", results.wrong_answers, Target::AtMost(0.0));
    add("answered", results.answered, Target::None);
    add("not_run", results.not_run, Target::None);
    add("unknown", results.unknown, Target::None);
    add("handed_off", results.handed_off, Target::None);
}
