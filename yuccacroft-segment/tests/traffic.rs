//! Tests of the counts of messages and of response times that the line about traffic shows.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Incarnation, Instance},
        pool::indirect::Condition,
        route::{Target, TrafficClass},
        segment::Sequence,
        time::{Moment, Span},
    },
    yuccacroft_segment::{
        balancer::response_times::ResponseTimes,
        traffic::{Direction, Kind, Traffic, Volume},
    },
    yuccacroft_wire::relay::{Body, Request},
};

fn address() -> SocketAddrV4 {
    "10.0.0.1:7000".parse().unwrap()
}

/// Guards against messages that are counted under another kind or in the other direction, so that
/// the volume of searches is taken for that of flows.
#[test]
fn messages_are_counted_by_direction_and_kind() {
    let traffic = Traffic::default();
    for (position, kind) in Kind::ALL.into_iter().enumerate() {
        (0..=position).for_each(|_| traffic.record(Direction::Sent, kind, 100));
    }
    traffic.record(Direction::Received, Kind::Denies, 40);
    let report = traffic.take("messages", "bytes");
    for (position, kind) in (1u64..).zip(Kind::ALL) {
        let volume = Volume { messages: position, bytes: position * 100 };
        assert_eq!(report.volume(Direction::Sent, kind), volume, "{kind:?}");
    }
    let denies = Volume { messages: 1, bytes: 40 };
    assert_eq!(report.volume(Direction::Received, Kind::Denies), denies);
    assert_eq!(report.total(Direction::Received), denies);
    assert_eq!(report.total(Direction::Sent), Volume { messages: 300, bytes: 30_000 });
}

/// Guards against reports that repeat the messages of earlier seconds.
#[test]
fn a_report_starts_a_new_interval() {
    let traffic = Traffic::default();
    traffic.record(Direction::Sent, Kind::Ping, 40);
    traffic.take("messages", "bytes");
    assert_eq!(traffic.take("messages", "bytes").total(Direction::Sent), Volume::default());
}

/// Guards against two kinds with one name in metrics and against retries of searches that are
/// counted as first queries.
#[test]
fn each_message_has_a_kind_of_its_own() {
    let class = TrafficClass::default();
    let offer = Request::Offer {
        target: Target::new(1),
        origin: address(),
        rest: [Instance::new(address())].into(),
        hops: 0,
    };
    let ping = Request::Ping {
        listed: None,
        version: Default::default(),
        newest_entry: Default::default(),
    };
    let key = FlowKey::new(1);
    let search = Request::Search { key, acknowledged: Sequence::new(7) };
    let (suspect, origin) = (Instance::new(address()), address());
    let agent_id = AgentId { instance: suspect, incarnation: Incarnation::new(1) };
    let condition = Condition::Running;
    let relayed_pong = Request::RelayedPong { origin, from: agent_id, condition };
    let kinds = [
        Kind::of_request(&ping, false),
        Kind::of_request(&offer, false),
        Kind::of_request(&Request::Carry(class), false),
        Kind::of_request(&search, false),
        Kind::of_request(&search, true),
        Kind::of_request(&Request::Probe(class), false),
        Kind::of_request(&Request::Probe(class), true),
        Kind::of_reply(&Body::Load),
        Kind::of_reply(&Body::Pong),
        Kind::of_reply(&Body::Took(key)),
        Kind::of_reply(&Body::Refused),
        Kind::of_reply(&Body::Owns(key)),
        Kind::of_reply(&Body::Denies { key, unsure: true }),
        Kind::Caller,
        Kind::Upstream,
        Kind::Reset,
        Kind::of_request(&Request::IndirectPing { suspect }, false),
        Kind::of_request(&Request::RelayedPing { origin }, false),
        Kind::of_request(&relayed_pong, false),
        Kind::of_reply(&Body::IndirectPong { agent_id, condition }),
        Kind::of_request(&Request::SearchMany([].into()), false),
        Kind::of_reply(&Body::DeniesMany { keys: [].into(), unsure: false }),
        Kind::of_request(&Request::ListFlows { asked_at: Moment::new(1) }, false),
        Kind::of_reply(&Body::Flows {
            asked_at: Moment::new(1),
            first: key,
            last: key,
            unsure: false,
        }),
    ];
    assert_eq!(kinds, Kind::ALL);
    let mut names = Kind::ALL.map(Kind::name).to_vec();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Kind::ALL.len());
}

/// Guards against one slow agent that a mean hides, and against times of earlier seconds.
#[test]
fn response_times_have_a_median_and_a_maximum() {
    let times = ResponseTimes::default();
    for millis in [2, 900, 1, 3, 2] {
        times.record(Span::from_millis(millis));
    }
    let summary = times.take();
    assert_eq!(summary.samples, 5);
    assert_eq!(summary.median, Span::from_millis(2));
    assert_eq!(summary.max, Span::from_millis(900));
    assert_eq!(times.take().samples, 0);
}

/// Guards against memory that grows with the number of messages in one second.
#[test]
fn the_number_of_response_times_is_limited() {
    let times = ResponseTimes::default();
    (0..100_000).for_each(|_| times.record(Span::from_millis(1)));
    assert!(times.take().samples <= 1_024);
}
