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
