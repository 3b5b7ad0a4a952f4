//! Upstreams that fail one class of requests, or the callers of one failure domain.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        flow::FlowKey,
        ids::Domain,
        outcome::{GroupChange, Groups, Labels, MAX_GROUPS, Outcome, Outcomes},
        route::{Priority, TrafficClass},
        time::{Moment, Span},
        units::Percent,
    },
};

const KEYS: u64 = 2_000;

fn class(priority: u8) -> TrafficClass {
    TrafficClass { priority: Priority::new(priority), ..TrafficClass::default() }
}

fn of_class(priority: u8) -> Labels {
    Labels { class: Some(class(priority)), domain: None }
}

fn of_domain(name: &str) -> Labels {
    Labels { class: None, domain: Some(Domain::new(name).unwrap()) }
}

fn at(number: u64) -> Moment {
    Moment::new(1_000_000) + Span::from_millis(20 * number)
}

/// Returns the share of new flows that go elsewhere, in hundredths.
fn diverted(outcomes: &Outcomes, labels: &Labels) -> u64 {
    let is_diverted = |key: &u64| outcomes.diverts(labels, FlowKey::new(*key));
    (0..KEYS).filter(is_diverted).count() as u64 * 100 / KEYS
}

/// Records requests of two groups in turn; those of the first one have this outcome.
fn record_in_turn(
    outcomes: &mut Outcomes,
    groups: [&Labels; 2],
    first: Outcome,
    numbers: std::ops::Range<u64>,
) -> Vec<GroupChange> {
    let record = |number: u64| {
        let is_first = number.is_multiple_of(2);
        let outcome = if is_first { first } else { Outcome::Success };
        outcomes.record(groups[usize::from(!is_first)], outcome, at(number))
    };
    numbers.flat_map(record).collect()
}

/// Guards against an upstream that loses all its work, or keeps what it fails, when it fails one class
/// or one domain only. It gets the group back by its probes.
#[test]
fn only_the_failing_group_goes_elsewhere() {
    for [failing, other] in [[of_class(0), of_class(1)], [of_domain("a"), of_domain("b")]] {
        let mut outcomes = Outcomes::default();
        let groups = [&failing, &other];
        let changes = record_in_turn(&mut outcomes, groups, Outcome::ServerError, 0..60);
        assert_eq!(changes, [GroupChange { labels: failing.clone(), is_failing: true }]);
        assert!((90..100).contains(&diverted(&outcomes, &failing)));
        assert_eq!(diverted(&outcomes, &other), 0);
        assert!(outcomes.failures() < Percent::new(8), "{}", outcomes.failures());
        let changes = record_in_turn(&mut outcomes, groups, Outcome::Success, 60..200);
        assert_eq!(changes, [GroupChange { labels: failing.clone(), is_failing: false }]);
        assert_eq!(diverted(&outcomes, &failing), 0);
    }
}

/// Guards against flows that are passed from agent to agent although the whole upstream fails, which is
/// for the balancers to judge.
#[test]
fn no_group_goes_elsewhere_when_all_fail() {
    let mut outcomes = Outcomes::default();
    for number in 0..200 {
        let labels = of_domain(["a", "b", "c"][number as usize % 3]);
        assert_eq!(outcomes.record(&labels, Outcome::ServerError, at(number)), []);
    }
    assert!(outcomes.failures() > Percent::new(80));
}

/// Guards against a whole upstream that hangs and counts as failing one class only, because nothing of
/// the others has come since: its balancers would admit it for them.
#[test]
fn a_group_is_not_compared_with_outcomes_from_before() {
    let mut outcomes = Outcomes::default();
    record_in_turn(&mut outcomes, [&of_class(0), &of_class(1)], Outcome::Success, 0..100);
    for number in 0..40 {
        let later = at(150 + number);
        assert_eq!(outcomes.record(&of_class(0), Outcome::Overdue, later), [], "{number}");
    }
    assert!(outcomes.failures() > Percent::new(50), "{}", outcomes.failures());
}

/// Guards against the same when the judgement was right at first and the others fall silent later.
#[test]
fn a_judgement_ends_with_its_comparison() {
    let mut outcomes = Outcomes::default();
    let groups = [&of_class(0), &of_class(1)];
    let changes = record_in_turn(&mut outcomes, groups, Outcome::ServerError, 0..60);
    assert_eq!(changes.len(), 1);
    let record = |number: u64| outcomes.record(groups[0], Outcome::ServerError, at(200 + number));
    let changes: Vec<GroupChange> = (0..40).flat_map(record).collect();
    assert_eq!(changes, [GroupChange { labels: groups[0].clone(), is_failing: false }]);
    assert!(outcomes.failures() > Percent::new(50), "{}", outcomes.failures());
}

/// Guards against a judgement without a comparison, where all callers are in one domain.
#[test]
fn a_group_without_others_is_not_judged() {
    let mut outcomes = Outcomes::default();
    for number in 0..100 {
        assert_eq!(outcomes.record(&of_domain("a"), Outcome::Reset, at(number)), []);
    }
    assert!(outcomes.failures() > Percent::new(80));
}

/// Guards against an overdue request that stays on the account of its group after its response.
#[test]
fn a_late_response_is_withdrawn_from_its_group() {
    let mut outcomes = Outcomes::default();
    let (slow, other) = (of_domain("a"), of_domain("b"));
    for number in 0..200 {
        if number % 2 == 0 {
            outcomes.record(&slow, Outcome::Overdue, at(number));
            outcomes.withdraw_overdue(&slow, at(number));
        }
        let labels = if number % 2 == 0 { &slow } else { &other };
        assert_eq!(outcomes.record(labels, Outcome::Success, at(number)), []);
    }
    assert_eq!(outcomes.failures(), Percent::new(0));
}

/// Guards against groups that exhaust the memory of an agent, and against a failing group that is
/// forgotten for new ones while it still gets requests.
#[test]
fn the_number_of_groups_is_bounded() {
    let mut groups = Groups::default();
    for number in 0..10_000u64 {
        groups.record(&0, Outcome::ServerError, at(number));
        groups.record(&(number + 1), Outcome::Success, at(number));
        assert!(groups.len() <= MAX_GROUPS);
    }
    assert!(groups.is_failing(&0));
}

proptest! {
    /// Guards against groups that are judged by chance: an upstream that fails a tenth of all requests
    /// fails no group of them.
    #[test]
    fn chance_failures_are_no_group(seed: u64) {
        let mut outcomes = Outcomes::default();
        for number in 0..400u64 {
            let hash = (seed ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
            let hash = hash.wrapping_mul(0xd134_2543_de82_ef95) >> 40;
            // No two failures in a row, so that no group begins with several by chance.
            let fails = number % 5 == 0 && hash % 2 == 0;
            let outcome = if fails { Outcome::ServerError } else { Outcome::Success };
            let labels = of_domain(["a", "b", "c"][number as usize % 3]);
            prop_assert_eq!(outcomes.record(&labels, outcome, at(number)), []);
        }
    }
}
