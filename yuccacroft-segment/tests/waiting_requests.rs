//! Tests of the order in which the requests that wait at an agent go to its upstream.

mod support;

use {
    crate::support::agent::{Agent, COPY_DELAY, Kind, encode},
    yuccacroft_core::{
        route::{Priority, TrafficClass},
        time::Span,
    },
};

/// The requests that go to an upstream that has not reported its slots.
const IN_PROGRESS: [u16; 3] = [1, 2, 3];
const REPEATED: u16 = 4;
const NEW: u16 = 5;
const SERVICE_TIME: Span = Span::from_millis(20);
/// Shorter than the delay of the second copy of an opening segment.
const CLASS: TrafficClass = TrafficClass {
    priority: Priority::new(1),
    objective: Span::from_millis(300),
    timeout: Span::from_millis(2_000),
};

/// Returns the first waiting request that the upstream gets, of two that arrive in this order: one
/// whose caller has repeated its opening segment twice, and one whose caller has not.
fn first_released() -> Vec<Vec<u8>> {
    let agent = Agent::new();
    for port in IN_PROGRESS {
        agent.open(port);
        agent.request(port, CLASS);
    }
    for (port, copy_number) in [(REPEATED, 2), (NEW, 0)] {
        agent.open_with_copy(port, copy_number);
        agent.request(port, CLASS);
    }
    agent.advance(SERVICE_TIME);
    agent.take_delivered();
    agent.receive_upstream(Kind::Success, IN_PROGRESS[0], 0);
    agent.take_delivered()
}

/// Guards against an outage after which all requests are late: those that have waited for its end
/// would go first and keep the later ones from being on time.
#[test]
fn a_request_that_is_late_already_waits_for_those_that_are_not() {
    assert!(COPY_DELAY.saturating_mul(2) > CLASS.objective);
    assert_eq!(first_released(), [encode(Kind::Request, NEW, 0)]);
}
