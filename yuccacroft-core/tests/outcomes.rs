//! Life cycles of requests under random fault schedules. The record of the fake upstream is the
//! judge of what ran.

use {
    proptest::prelude::*,
    yuccacroft_core::time::Span,
    yuccacroft_fakes::exchange::{Faults, Switches, Verdict, run},
};

const JOBS: u32 = 1_500;
/// Runs in which a mechanism that is switched off has to show its fault.
const SEEDS: std::ops::Range<u64> = 0..12;

fn faults() -> impl Strategy<Value = Faults> {
    let messages = (0.0..0.2, 0.0..0.2, 0u64..4_000);
    let processes = (0.0..0.1, 0.0..0.01, 0.0..0.01);
    (messages, processes).prop_map(|((loss, double, late), (cut, kill, freeze))| Faults {
        loss,
        double,
        late: Span::from_millis(late),
        cut,
        kill,
        freeze,
    })
}

fn total(switches: Switches) -> Verdict {
    let heavy = Faults { loss: 0.1, double: 0.1, cut: 0.05, kill: 0.005, ..Faults::ALL };
    let add = |mut sum: Verdict, seed| {
        let one = run(JOBS, heavy, switches, seed);
        sum.duplicates += one.duplicates;
        sum.false_refusals += one.false_refusals;
        sum.wrong_answers += one.wrong_answers;
        sum
    };
    SEEDS.fold(Verdict::default(), add)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]

    /// Guards against a second run, a refusal of work that ran, and an answer to another request,
    /// whatever is lost, late, doubled, frozen or restarted.
    #[test]
    fn keeps_every_promise_under_faults(faults in faults(), seed: u64) {
        let verdict = run(JOBS, faults, Switches::ON, seed);
        prop_assert_eq!(verdict.faults(), 0, "{:?}", verdict);
        prop_assert_eq!(verdict.answered + verdict.not_run + verdict.unknown, JOBS);
    }
}

/// Guards against a system that keeps its promises by answering nothing.
#[test]
fn answers_without_faults() {
    let verdict = run(JOBS, Faults::NONE, Switches::ON, 1);
    assert_eq!((verdict.faults(), verdict.unknown), (0, 0));
    assert!(verdict.answered >= JOBS / 2, "{verdict:?}");
    assert!(verdict.handed_off > 0, "{verdict:?}");
}

/// Shows that the schedules find a second run when keys are not recorded.
#[test]
fn finds_duplicates_without_the_record() {
    assert!(total(Switches { record: false, ..Switches::ON }).duplicates > 0);
}

/// Shows that the schedules find a late copy that runs after a refusal.
#[test]
fn finds_false_refusals_without_tombstones() {
    assert!(total(Switches { tombstone: false, ..Switches::ON }).false_refusals > 0);
}

/// Shows that the schedules find a doubled or fenced offer that runs.
#[test]
fn finds_duplicates_without_the_ledger() {
    assert!(total(Switches { ledger: false, ..Switches::ON }).duplicates > 0);
}

/// Shows that the schedules find a request that runs at a silent sibling and again elsewhere.
#[test]
fn finds_duplicates_without_fences() {
    assert!(total(Switches { fence: false, ..Switches::ON }).duplicates > 0);
}

/// Shows that the schedules find a retry that runs again at a restarted agent.
#[test]
fn finds_duplicates_without_incarnations() {
    assert!(total(Switches { incarnation: false, ..Switches::ON }).duplicates > 0);
}

/// Shows that the schedules find a retry that runs again at an agent without its key.
#[test]
fn finds_duplicates_without_owners() {
    assert!(total(Switches { owner: false, ..Switches::ON }).duplicates > 0);
}
