//! Life cycles of requests under random fault schedules, compared with the runs that the fake
//! upstream has recorded.

use {
    proptest::prelude::*,
    yuccacroft_core::time::Span,
    yuccacroft_fakes::request_simulation::{Faults, Mechanisms, Results, run},
};

const JOBS: u32 = 1_500;
/// Seeds of the runs in which disabling a mechanism must cause its fault.
const NEGATIVE_TEST_SEEDS: std::ops::Range<u64> = 0..12;

fn faults() -> impl Strategy<Value = Faults> {
    let messages = (0.0..0.2, 0.0..0.2, 0u64..4_000);
    let processes = (0.0..0.1, 0.0..0.01, 0.0..0.01);
    (messages, processes).prop_map(
        |((loss, duplication, max_delay), (disconnection, kill, freeze))| Faults {
            loss,
            duplication,
            max_delay: Span::from_millis(max_delay),
            disconnection,
            kill,
            freeze,
        },
    )
}

fn run_with_switches(switches: Mechanisms) -> Results {
    let heavy =
        Faults { loss: 0.1, duplication: 0.1, disconnection: 0.05, kill: 0.005, ..Faults::ALL };
    let add = |mut sum: Results, seed| {
        let one = run(JOBS, heavy, switches, seed);
        sum.duplicates += one.duplicates;
        sum.false_refusals += one.false_refusals;
        sum.wrong_answers += one.wrong_answers;
        sum
    };
    NEGATIVE_TEST_SEEDS.fold(Results::default(), add)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]

    /// Guards against a second run, a refusal of a request that ran, and the answer to another
    /// request, with messages lost, delayed or duplicated and agents frozen or restarted.
    #[test]
    fn outcomes_are_correct_under_faults(faults in faults(), seed: u64) {
        let verdict = run(JOBS, faults, Mechanisms::ALL, seed);
        prop_assert_eq!(verdict.violations(), 0, "{:?}", verdict);
        prop_assert_eq!(verdict.answered + verdict.not_run + verdict.unknown, JOBS);
    }
}

/// Guards against a system that avoids wrong outcomes by answering no requests.
#[test]
fn answers_requests_without_faults() {
    let verdict = run(JOBS, Faults::NONE, Mechanisms::ALL, 1);
    assert_eq!((verdict.violations(), verdict.unknown), (0, 0));
    assert!(verdict.answered >= JOBS / 2, "{verdict:?}");
    assert!(verdict.handed_off > 0, "{verdict:?}");
}

/// Shows that the schedules cause a second run when idempotency keys are not recorded.
#[test]
fn finds_duplicates_without_the_record() {
    assert!(
        run_with_switches(Mechanisms { idempotency_table: false, ..Mechanisms::ALL }).duplicates
            > 0
    );
}

/// Shows that the schedules cause a late copy to run after a refusal when refusals are not kept.
#[test]
fn finds_false_refusals_without_tombstones() {
    assert!(
        run_with_switches(Mechanisms { refusal_tombstones: false, ..Mechanisms::ALL })
            .false_refusals
            > 0
    );
}

/// Shows that the schedules cause a duplicated or fenced offer to run when offers are not recorded.
#[test]
fn finds_duplicates_without_the_ledger() {
    assert!(run_with_switches(Mechanisms { ledger: false, ..Mechanisms::ALL }).duplicates > 0);
}

/// Shows that the schedules cause a request to run at a silent sibling and again elsewhere when
/// lost offers are not fenced.
#[test]
fn finds_duplicates_without_fences() {
    assert!(run_with_switches(Mechanisms { fence: false, ..Mechanisms::ALL }).duplicates > 0);
}

/// Shows that the schedules cause a second run at a restarted agent when messages for its earlier
/// incarnation are accepted.
#[test]
fn finds_duplicates_without_incarnations() {
    assert!(
        run_with_switches(Mechanisms { incarnation_check: false, ..Mechanisms::ALL }).duplicates
            > 0
    );
}

/// Shows that the schedules cause a second run at an agent that does not have the key when a retry
/// does not name the owner.
#[test]
fn finds_duplicates_without_owners() {
    assert!(
        run_with_switches(Mechanisms { owner_routing: false, ..Mechanisms::ALL }).duplicates > 0
    );
}
