//! Tests of an agent whose upstream fails the callers of one failure domain, or one class of requests.

mod support;

use {
    crate::support::{
        agent::{Agent, Kind, encode, offers, other_agent},
        fakes::peer,
    },
    std::net::SocketAddrV4,
    yuccacroft_core::{
        ids::Domain,
        route::{Priority, TrafficClass},
        time::Span,
        units::Percent,
    },
    yuccacroft_wire::relay::Request,
};

const REQUESTS: u16 = 40;

fn other_balancer() -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 1, 1].into(), 7_000)
}

fn class(priority: u8) -> TrafficClass {
    TrafficClass { priority: Priority::new(priority), ..TrafficClass::default() }
}

/// Serves a flow of one request from this balancer, unless it goes to the next agent.
fn serve(agent: &Agent, port: u16, origin: SocketAddrV4, class: TrafficClass, answer: Kind) {
    agent.take_delivered();
    agent.offer_from(port, origin, class, &[other_agent()]);
    if agent.take_delivered().is_empty() {
        return;
    }
    agent.receive_upstream(Kind::Accept, port, 0);
    agent.carry(Kind::Request, port, 0);
    agent.receive_upstream(answer, port, 0);
    agent.advance(Span::from_millis(20));
    agent.take_sent();
}

/// Returns the number of new flows, of twenty, that go to the next agent.
fn count_passed(agent: &Agent, origin: SocketAddrV4, class: TrafficClass) -> usize {
    let passes = |port: &u16| {
        agent.take_sent();
        agent.offer_from(*port, origin, class, &[other_agent()]);
        let passed = offers(&agent.take_sent().1);
        passed == [(other_agent(), encode(Kind::Open, *port, 0))]
    };
    (50_000..50_020).filter(passes).count()
}

fn new_agent() -> Agent {
    let agent = Agent::new();
    agent.receive_request(&Request::Home(Domain::new("a").unwrap()));
    agent.relay.state.record_balancer_domain(other_balancer(), Domain::new("b").unwrap());
    agent
}

/// Guards against callers of one domain whose requests fail at an upstream that serves all others and
/// is not ejected for that.
#[test]
fn flows_of_a_failing_domain_go_to_the_next_agent() {
    let agent = new_agent();
    for port in 1..=REQUESTS {
        serve(&agent, 2 * port, peer(), class(1), Kind::ServerError);
        serve(&agent, 2 * port + 1, other_balancer(), class(1), Kind::Success);
    }
    assert!(count_passed(&agent, peer(), class(1)) >= 16);
    assert_eq!(count_passed(&agent, other_balancer(), class(1)), 0);
    assert!(agent.failures() < Percent::new(8));
    agent.take_delivered();
    agent.offer_from(60_001, peer(), class(1), &[]);
    assert_eq!(agent.take_delivered(), [encode(Kind::Open, 60_001, 0)], "the last agent takes it");
}

/// Guards against the same for one class of requests, by resets and by silence as well.
#[test]
fn flows_of_a_failing_class_go_to_the_next_agent() {
    for answer in [Kind::ServerError, Kind::Reset, Kind::Acknowledge] {
        let agent = new_agent();
        for port in 1..=REQUESTS {
            serve(&agent, 2 * port, peer(), class(1), answer);
            serve(&agent, 2 * port + 1, peer(), class(2), Kind::Success);
        }
        agent.advance(Span::from_millis(500));
        assert!(count_passed(&agent, peer(), class(1)) >= 16, "{answer:?}");
        assert_eq!(count_passed(&agent, peer(), class(2)), 0, "{answer:?}");
    }
}

/// Guards against a judgement by the domain of a balancer that the agent does not know any more.
#[test]
fn the_domain_of_a_balancer_that_is_gone_is_forgotten() {
    let agent = new_agent();
    assert!(agent.domain_of(peer()).is_some());
    agent.advance(Span::from_secs(4));
    agent.relay.send_load(agent.now());
    assert_eq!(agent.domain_of(peer()), None);
}
