//! Tests of the proof that no agent took a flow.

use yuccacroft_core::{
    arrival::ArrivalEstimator,
    flow::FlowKey,
    opening::OpeningTable,
    time::{Moment, Span},
};

const FLOW: FlowKey = FlowKey::new(7);

/// Returns the time since the start of the process.
fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

/// Offers a copy that arrived at this time.
fn offer(table: &OpeningTable, copy: u32, arrived_at: u64) {
    table.record_offer(FLOW, copy, at(arrived_at), at(arrived_at));
}

/// Guards against callers that wait for the refusal of a flow that no agent can have taken.
#[test]
fn the_refusal_of_the_first_copy_is_a_proof_at_once() {
    let table = OpeningTable::new();
    offer(&table, 0, 0);
    assert!(table.record_refusal(FLOW, 0, at(3)));
    // The reset was lost, so the caller repeats the segment.
    offer(&table, 1, 200);
    assert!(table.record_refusal(FLOW, 1, at(203)));
}

/// Guards against the reset of a flow that an agent took through another balancer, which got an
/// earlier copy.
#[test]
fn a_refusal_is_no_proof_while_an_earlier_copy_is_unaccounted_for() {
    let table = OpeningTable::new();
    offer(&table, 1, 200);
    assert!(!table.record_refusal(FLOW, 1, at(201)));
    offer(&table, 2, 600);
    assert!(!table.record_refusal(FLOW, 2, at(601)));
    let table = OpeningTable::new();
    offer(&table, 0, 0);
    offer(&table, 1, 200);
    assert!(!table.record_refusal(FLOW, 1, at(201)), "the first copy is still offered");
}

/// Guards against the reset of a flow that an agent took through another balancer, which got a later
/// copy while the first one was refused slowly.
#[test]
fn a_late_refusal_is_no_proof() {
    let table = OpeningTable::new();
    offer(&table, 0, 0);
    assert!(!table.record_refusal(FLOW, 0, at(150)));
    offer(&table, 1, 200);
    assert!(table.record_refusal(FLOW, 1, at(203)), "both copies came here and were refused");
}

/// Guards against the reset of a flow that its upstream accepts late: an agent passes an opening
/// segment on after 60 ms without an answer, so a refusal after that is no proof.
#[test]
fn a_refusal_after_the_accept_timeout_is_no_proof() {
    let table = OpeningTable::new();
    offer(&table, 0, 0);
    assert!(!table.record_refusal(FLOW, 0, at(60)));
}

/// Guards against the reset of a flow by a refusal of its first copy while the second one is offered.
#[test]
fn a_refusal_is_no_proof_while_a_later_copy_is_offered() {
    let table = OpeningTable::new();
    offer(&table, 0, 0);
    offer(&table, 1, 200);
    assert!(!table.record_refusal(FLOW, 0, at(201)));
    assert!(table.record_refusal(FLOW, 1, at(202)));
}

/// Guards against the reset of an open flow by a balancer that was suspended: a copy waited in its
/// socket while another balancer got the next one.
#[test]
fn the_refusal_of_a_copy_from_before_a_suspension_is_no_proof() {
    let (table, arrivals) = (OpeningTable::new(), ArrivalEstimator::new());
    arrivals.tick(at(0));
    let resumed_at = at(1_400);
    table.record_offer(FLOW, 0, arrivals.earliest_arrival(resumed_at), resumed_at);
    assert!(!table.record_refusal(FLOW, 0, resumed_at));
}

/// Guards against datagrams that count as fresh because the timer fired before they were read, and
/// against a process that never trusts arrival times again.
#[test]
fn datagrams_count_as_old_for_a_short_time_after_a_suspension() {
    let arrivals = ArrivalEstimator::new();
    arrivals.tick(at(0));
    arrivals.tick(at(25));
    assert_eq!(arrivals.earliest_arrival(at(30)), at(30));
    assert_eq!(arrivals.earliest_arrival(at(1_400)), at(25));
    arrivals.tick(at(1_400));
    assert_eq!(arrivals.earliest_arrival(at(1_410)), at(25));
    for step in 1..=10 {
        arrivals.tick(at(1_400 + step * 25));
    }
    assert_eq!(arrivals.earliest_arrival(at(1_660)), at(1_660));
}

/// Guards against memory growth from flows that were refused.
#[test]
fn openings_are_forgotten_after_their_callers_have_given_up() {
    let table = OpeningTable::new();
    offer(&table, 0, 0);
    table.expire(at(1_000));
    assert!(table.record_refusal(FLOW, 0, at(50)));
    table.expire(at(2_100));
    assert!(!table.record_refusal(FLOW, 0, at(50)), "unknown");
}

/// Guards against a suspension that is forgotten when two threads notice it at once, which makes
/// waiting segments appear to have just arrived.
#[test]
fn a_suspension_that_two_threads_notice_is_kept() {
    let arrivals = ArrivalEstimator::new();
    arrivals.tick(at(0));
    arrivals.tick(at(25));
    arrivals.tick(at(1_400));
    arrivals.tick(at(1_399));
    assert_eq!(arrivals.earliest_arrival(at(1_401)), at(25));
    assert_eq!(arrivals.suspension(at(1_401)), None);
}
