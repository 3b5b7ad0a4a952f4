//! Tests of the opening segments that an upstream refuses, which an agent passes on while nothing can
//! have run.

mod support;

use {
    crate::support::agent::{Agent, Kind, encode, offers, other_agent, refusals},
    proptest::prelude::*,
    yuccacroft_core::{requirements::Requirements, time::Span},
};

const PORT: u16 = 40_001;
/// Longer than an upstream takes to answer an opening segment.
const NO_ANSWER: Span = Span::from_millis(100);

fn opening() -> Vec<u8> {
    encode(Kind::Open, PORT, 0)
}

/// Guards against a caller whose flow is reset by an upstream that refuses it, although another one
/// takes it.
#[test]
fn a_refused_opening_goes_to_the_next_agent() {
    for refusal in [Kind::Reset, Kind::ReturnedOpening] {
        let agent = Agent::new();
        agent.offer(PORT, &[other_agent()]);
        assert_eq!(agent.take_delivered(), [opening()]);
        agent.receive_upstream(refusal, PORT, 0);
        let (callers, processes) = agent.take_sent();
        assert_eq!(offers(&processes), [(other_agent(), opening())], "{refusal:?}");
        assert!(callers.is_empty(), "{refusal:?}: {callers:?}");
        assert!(agent.failures().get() > 0, "{refusal:?}");
    }
}

/// Guards against a flow that ends in silence: without a further candidate the balancer gets the
/// opening segment back, which resets the flow if no other copy may have been taken.
#[test]
fn the_last_agent_returns_a_refused_opening_to_the_balancer() {
    for refusal in [Kind::Reset, Kind::ReturnedOpening] {
        let agent = Agent::new();
        agent.offer(PORT, &[]);
        agent.receive_upstream(refusal, PORT, 0);
        let (callers, processes) = agent.take_sent();
        assert_eq!(refusals(&processes), [opening()], "{refusal:?}");
        assert!(callers.is_empty(), "{refusal:?}: {callers:?}");
    }
}

/// Guards against a request that runs twice: once the upstream has accepted the flow its caller may
/// have sent the request, so the flow ends with the reset.
#[test]
fn a_reset_after_the_acceptance_goes_to_the_caller() {
    for is_acknowledged in [false, true] {
        let agent = Agent::new();
        agent.offer(PORT, &[other_agent()]);
        agent.receive_upstream(Kind::Accept, PORT, 0);
        if is_acknowledged {
            agent.carry(Kind::Request, PORT, 0);
        }
        agent.take_sent();
        agent.receive_upstream(Kind::Reset, PORT, 0);
        let (callers, processes) = agent.take_sent();
        assert_eq!(callers, [encode(Kind::Reset, PORT, 0)]);
        assert!(offers(&processes).is_empty());
    }
}

/// Guards against a second owner of a flow: the upstream returns a late copy of an opening segment
/// that it has accepted.
#[test]
fn a_late_copy_of_an_accepted_opening_is_not_passed_on() {
    let agent = Agent::new();
    agent.offer(PORT, &[other_agent()]);
    agent.receive_upstream(Kind::Accept, PORT, 0);
    agent.offer(PORT, &[other_agent()]);
    agent.receive_upstream(Kind::ReturnedOpening, PORT, 0);
    let (_, processes) = agent.take_sent();
    assert!(offers(&processes).is_empty());
    assert!(refusals(&processes).is_empty());
}

/// Guards against a caller whose flow is reset although another agent has it: an upstream answers so
/// late that its agent has passed the opening segment on, and then refuses it.
#[test]
fn a_late_refusal_does_not_reach_the_caller() {
    let agent = Agent::new();
    agent.offer(PORT, &[other_agent()]);
    agent.advance(NO_ANSWER);
    let (_, processes) = agent.take_sent();
    assert_eq!(offers(&processes), [(other_agent(), opening())]);
    agent.receive_upstream(Kind::Reset, PORT, 0);
    let (callers, processes) = agent.take_sent();
    assert!(callers.is_empty(), "{callers:?}");
    assert!(offers(&processes).is_empty());
}

/// Guards against a caller that waits for an upstream which no longer holds its flow: it accepted late,
/// and the caller may have answered it.
#[test]
fn a_reset_after_a_late_acceptance_goes_to_the_caller() {
    let agent = Agent::new();
    agent.offer(PORT, &[other_agent()]);
    agent.advance(NO_ANSWER);
    agent.receive_upstream(Kind::Accept, PORT, 0);
    agent.take_sent();
    agent.receive_upstream(Kind::Reset, PORT, 0);
    assert_eq!(agent.take_sent().0, [encode(Kind::Reset, PORT, 0)]);
}

/// Guards against a reset that is dropped because an earlier flow from the same port was passed on.
#[test]
fn the_reset_of_a_later_flow_goes_to_the_caller() {
    let agent = Agent::new();
    agent.offer(PORT, &[other_agent()]);
    agent.advance(NO_ANSWER);
    agent.open(PORT);
    agent.take_sent();
    agent.receive_upstream(Kind::Reset, PORT, 0);
    assert_eq!(agent.take_sent().0, [encode(Kind::Reset, PORT, 0)]);
    agent.receive_upstream(Kind::Reset, PORT, 0);
    assert_eq!(agent.take_sent().0, [encode(Kind::Reset, PORT, 0)]);
}

/// Guards against a change for deployments that do not ask for measured outcomes.
#[test]
fn without_the_requirement_the_refusal_goes_to_the_caller() {
    let agent = Agent::with_requirements(Requirements::default());
    agent.offer(PORT, &[other_agent()]);
    agent.receive_upstream(Kind::Reset, PORT, 0);
    let (callers, processes) = agent.take_sent();
    assert_eq!(callers, [encode(Kind::Reset, PORT, 0)]);
    assert!(offers(&processes).is_empty());
}

/// What happens at the agent next.
#[derive(Clone, Copy, Debug)]
enum Event {
    Offer,
    Request,
    Upstream(Kind),
    Silence,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Offer),
        Just(Event::Request),
        Just(Event::Upstream(Kind::Accept)),
        Just(Event::Upstream(Kind::Reset)),
        Just(Event::Upstream(Kind::ReturnedOpening)),
        Just(Event::Upstream(Kind::Success)),
        Just(Event::Silence),
    ]
}

proptest! {
    /// Guards against a flow that is offered to another agent while its upstream holds it, by any order
    /// of copies, answers and timeouts, and against two offers for one refusal.
    #[test]
    fn a_flow_that_the_upstream_holds_is_never_passed_on(
        events in proptest::collection::vec(event(), 1..24),
    ) {
        let agent = Agent::new();
        let mut is_held = false;
        for event in events {
            match event {
                Event::Offer => agent.offer(PORT, &[other_agent()]),
                Event::Request => agent.carry(Kind::Request, PORT, 0),
                Event::Upstream(kind) => agent.receive_upstream(kind, PORT, 0),
                Event::Silence => agent.advance(NO_ANSWER),
            }
            match event {
                Event::Upstream(Kind::Accept | Kind::Success) => is_held = true,
                Event::Upstream(Kind::Reset) => is_held = false,
                _ => {}
            }
            let (_, processes) = agent.take_sent();
            let offers = offers(&processes);
            prop_assert!(offers.len() <= 1, "{event:?}");
            prop_assert!(!is_held || offers.is_empty(), "{event:?}");
        }
    }
}
