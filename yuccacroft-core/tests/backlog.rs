//! Tests of the order in which waiting requests go to an upstream.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        backlog::{Backlog, Release},
        flow::FlowKey,
        route::{Priority, TrafficClass},
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const SERVICE_TIME: Span = Span::from_millis(20);

fn segment(port: u16, sequence: u32) -> Segment {
    let caller = SocketAddrV4::new([100, 64, 0, 1].into(), port);
    let address = SocketAddrV4::new([198, 18, 0, 1].into(), 443);
    let (sequence, acknowledged) = (Sequence::new(sequence), Sequence::new(1));
    Segment {
        flow: Flow { caller, address },
        control: Control::Continue,
        sequence,
        acknowledged,
        length: 9,
    }
}

fn class(priority: u8, objective: u64) -> TrafficClass {
    TrafficClass {
        priority: Priority::new(priority),
        objective: Span::from_millis(objective),
        timeout: Span::from_millis(2_000),
    }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn key(port: u16) -> FlowKey {
    segment(port, 0).flow.key()
}

fn next(backlog: &mut Backlog, now: Moment) -> Option<FlowKey> {
    match backlog.release(SERVICE_TIME, now)? {
        Release::Start(key, _) => Some(key),
        Release::Expired(key) => panic!("{key} has expired"),
    }
}

/// Guards against requests that wait behind ones of lower priority, and against requests that are
/// answered late because an earlier one, which can no longer meet its objective, goes first.
#[test]
fn requests_that_can_meet_their_objective_go_first_by_priority() {
    let mut backlog = Backlog::default();
    backlog.add(&segment(1, 0), b"late", class(1, 50), START);
    backlog.add(&segment(2, 0), b"plain", class(2, 300), START);
    backlog.add(&segment(3, 0), b"important", class(1, 300), at(10));
    backlog.add(&segment(4, 0), b"due", class(2, 200), at(20));
    let order: Vec<_> = std::iter::from_fn(|| next(&mut backlog, at(100))).collect();
    assert_eq!(order, [key(3), key(4), key(2), key(1)]);
}

/// Guards against a request that reaches the upstream incomplete or twice.
#[test]
fn a_request_keeps_its_segments_once_and_in_order() {
    let mut backlog = Backlog::default();
    for (sequence, datagram) in [(0, b"a"), (9, b"b"), (0, b"a"), (18, b"c")] {
        assert!(backlog.add(&segment(1, sequence), datagram, class(1, 100), START));
    }
    let expected: Vec<Box<[u8]>> = [b"a", b"b", b"c"].map(|text| Box::from(&text[..])).into();
    let released = backlog.release(SERVICE_TIME, START);
    assert_eq!(released, Some(Release::Start(key(1), expected)));
    assert!(backlog.is_empty());
}

/// Guards against work on requests whose callers no longer wait.
#[test]
fn an_expired_request_does_not_start() {
    let mut backlog = Backlog::default();
    backlog.add(&segment(1, 0), b"a", class(1, 100), START);
    assert_eq!(backlog.release(SERVICE_TIME, at(2_000)), Some(Release::Expired(key(1))));
    assert_eq!(backlog.release(SERVICE_TIME, at(2_000)), None);
}

/// Guards against a backlog that grows without bound.
#[test]
fn a_full_backlog_takes_no_further_request() {
    let mut backlog = Backlog::default();
    let taken =
        (1..2_000).filter(|port| backlog.add(&segment(*port, 0), b"a", class(1, 100), START));
    assert_eq!(taken.count(), 1_024);
    assert!(
        backlog.add(&segment(5, 9), b"b", class(1, 100), START),
        "further segments of a known request are added"
    );
}
