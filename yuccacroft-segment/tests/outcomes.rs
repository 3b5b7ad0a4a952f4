//! Tests of the outcomes that an agent records of the requests at its upstream.

mod support;

use {
    crate::support::agent::{Agent, Kind},
    yuccacroft_core::{time::Span, units::Percent},
};

/// Longer than a request without a response counts as in progress.
const OVERDUE: Span = Span::from_millis(500);
/// The reported share after one failure among no other requests.
const ONE_FAILURE: Percent = Percent::new(20);

/// Guards against an upstream whose hanging requests weigh twice: one that is overdue and whose flow
/// the upstream then resets has failed once.
#[test]
fn an_overdue_request_that_is_reset_fails_once() {
    let agent = Agent::new();
    agent.open(1);
    agent.carry(Kind::Request, 1, 0);
    agent.advance(OVERDUE);
    assert!(agent.failures() > Percent::new(0));
    agent.receive_upstream(Kind::Reset, 1, 0);
    assert_eq!(agent.failures(), ONE_FAILURE);
}

/// Guards against the same when the upstream exits.
#[test]
fn an_overdue_request_that_is_lost_fails_once() {
    let agent = Agent::new();
    agent.open(1);
    agent.carry(Kind::Request, 1, 0);
    agent.advance(OVERDUE);
    agent.relay.reset_lost_flows("upstream restarted", agent.now(), agent.now());
    assert_eq!(agent.failures(), ONE_FAILURE);
}

/// Guards against an overdue request that is forgotten with its reset, or not counted at all.
#[test]
fn a_request_that_is_reset_fails() {
    let agent = Agent::new();
    agent.open(1);
    agent.carry(Kind::Request, 1, 0);
    agent.receive_upstream(Kind::Reset, 1, 0);
    assert_eq!(agent.failures(), ONE_FAILURE);
}

/// Guards against blame for an upstream whose caller's link loses a segment of a long request: the
/// upstream cannot respond before it has all.
#[test]
fn a_request_with_a_missing_segment_is_not_overdue() {
    let agent = Agent::new();
    agent.open(1);
    agent.carry(Kind::Request, 1, 0);
    agent.carry(Kind::Part, 1, 2);
    agent.advance(OVERDUE);
    assert_eq!(agent.failures(), Percent::new(0));
    agent.carry(Kind::Part, 1, 1);
    agent.advance(OVERDUE);
    assert_eq!(agent.failures(), ONE_FAILURE, "the upstream has all of it");
}

/// Guards against the same on a slow link, over which the segments of a long request come one by one.
#[test]
fn a_request_that_still_arrives_is_not_overdue() {
    let agent = Agent::new();
    agent.open(1);
    agent.carry(Kind::Request, 1, 0);
    for part in 1..=6 {
        agent.advance(Span::from_millis(140));
        agent.carry(Kind::Part, 1, part);
    }
    assert_eq!(agent.failures(), Percent::new(0));
    agent.advance(OVERDUE);
    assert_eq!(agent.failures(), ONE_FAILURE);
}

/// Guards against blame for the upstream when the machine of the agent is slow: its responses wait in
/// the agent's socket. A reset is the upstream's own answer and counts.
#[test]
fn silence_on_a_slow_machine_is_no_failure() {
    let agent = Agent::new();
    agent.open(1);
    agent.carry(Kind::Request, 1, 0);
    agent.relay.state.outcomes().record_pause(agent.now());
    agent.advance(Span::from_millis(300));
    assert_eq!(agent.failures(), Percent::new(0));
    agent.receive_upstream(Kind::Reset, 1, 0);
    assert_eq!(agent.failures(), ONE_FAILURE);
}
