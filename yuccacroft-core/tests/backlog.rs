//! Tests of the order in which waiting requests go to an upstream.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        admission::workload::ServiceTime,
        backlog::{Backlog, Release},
        flow::FlowKey,
        route::{Priority, TrafficClass},
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const SERVICE_TIME: Span = Span::from_millis(20);
/// An upstream whose requests all take the same time.
const SERVICE: ServiceTime = ServiceTime { mean: SERVICE_TIME, tail: SERVICE_TIME };

fn segment(port: u16, sequence: u32) -> Segment {
    segment_of(1, port, sequence)
}

fn segment_of(host: u8, port: u16, sequence: u32) -> Segment {
    let caller = SocketAddrV4::new([100, 64, 0, host].into(), port);
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
    match backlog.release(SERVICE, now)? {
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

/// Guards against an outage after which every request is late: those whose callers have waited for it
/// to end would go first, by their order of arrival, and keep later ones from being on time.
#[test]
fn a_request_that_was_late_on_arrival_does_not_delay_others() {
    let mut backlog = Backlog::default().with_shares();
    backlog.add(&segment(1, 0), b"repeated", class(1, 300).after(Span::from_millis(600)), START);
    backlog.add(&segment(2, 0), b"repeated", class(1, 300).after(Span::from_millis(200)), START);
    backlog.add(&segment(3, 0), b"new", class(1, 300), START);
    let order: Vec<_> = std::iter::from_fn(|| next(&mut backlog, at(10))).collect();
    assert_eq!(order, [key(2), key(3), key(1)]);
}

/// Guards against a request that reaches the upstream incomplete or twice.
#[test]
fn a_request_keeps_its_segments_once_and_in_order() {
    let mut backlog = Backlog::default();
    for (sequence, datagram) in [(0, b"a"), (9, b"b"), (0, b"a"), (18, b"c")] {
        assert!(backlog.add(&segment(1, sequence), datagram, class(1, 100), START));
    }
    let expected: Vec<Box<[u8]>> = [b"a", b"b", b"c"].map(|text| Box::from(&text[..])).into();
    let released = backlog.release(SERVICE, START);
    assert_eq!(released, Some(Release::Start(key(1), expected)));
    assert!(backlog.is_empty());
}

/// Guards against work on requests whose callers no longer wait.
#[test]
fn an_expired_request_does_not_start() {
    let mut backlog = Backlog::default();
    backlog.add(&segment(1, 0), b"a", class(1, 100), START);
    assert_eq!(backlog.release(SERVICE, at(2_000)), Some(Release::Expired(key(1))));
    assert_eq!(backlog.release(SERVICE, at(2_000)), None);
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

/// Returns the flows that start, one every `SERVICE_TIME` from `now` on, until the backlog is empty.
/// Expired requests are left out.
fn started(backlog: &mut Backlog, mut now: Moment) -> Vec<FlowKey> {
    let mut started = Vec::new();
    while let Some(release) = backlog.release(SERVICE, now) {
        if let Release::Start(key, _) = release {
            started.push(key);
            now = now + SERVICE_TIME;
        }
    }
    started
}

/// Guards against a burst of the most important class that starves the others: one start in five is
/// theirs while both wait.
#[test]
fn a_burst_of_one_class_leaves_the_others_a_share() {
    let mut backlog = Backlog::default().with_shares();
    (1..=40).for_each(|port| {
        backlog.add(&segment_of(port as u8, port, 0), b"burst", class(1, 1_900), START);
    });
    (101..=104).for_each(|port| {
        backlog.add(&segment_of(port as u8, port, 0), b"other", class(2, 1_900), START);
    });
    let order = started(&mut backlog, START);
    let ports = 101..=104;
    let places: Vec<_> = ports
        .map(|port| order.iter().position(|k| *k == segment_of(port as u8, port, 0).flow.key()))
        .collect();
    let last = places.iter().flatten().max().copied();
    assert_eq!(order.len(), 44);
    assert!(last.is_some_and(|last| last < 4 * 5 + 1), "places of the other class: {places:?}");
}

/// Guards against shares that slow the most important class down while all classes have bursts.
#[test]
fn a_burst_of_all_classes_serves_the_important_ones_first() {
    let mut backlog = Backlog::default().with_shares();
    for priority in 1..=3u8 {
        for port in 1..=20u16 {
            let segment = segment_of(priority * 20 + port as u8, port, 0);
            backlog.add(&segment, b"a", class(priority, 1_900), START);
        }
    }
    let order = started(&mut backlog, START);
    let is_important =
        |key: &&FlowKey| (1..=20).any(|p| segment_of(20 + p as u8, p, 0).flow.key() == **key);
    assert!(order.iter().take(20).filter(is_important).count() >= 15);
}

/// Guards against one caller with many flows that delays the callers with one.
#[test]
fn a_greedy_caller_delays_no_caller_with_one_flow() {
    let mut backlog = Backlog::default().with_shares();
    (1..=100).for_each(|port| {
        backlog.add(&segment_of(1, port, 0), b"greedy", class(1, 1_900), START);
    });
    (2..=9).for_each(|host| {
        backlog.add(&segment_of(host, 1, 0), b"modest", class(1, 1_900), at(1));
    });
    let order = started(&mut backlog, at(1));
    let modest = (2..=9).map(|host| segment_of(host, 1, 0).flow.key());
    let latest = modest.filter_map(|key| order.iter().position(|other| *other == key)).max();
    assert_eq!(latest, Some(8), "one request of the greedy caller goes first");
}

/// Guards against a greedy caller that fills the backlog, so that no other caller finds a place.
#[test]
fn a_full_backlog_makes_room_for_a_caller_with_one_flow() {
    let mut backlog = Backlog::default().with_shares();
    let class = class(1, 1_900);
    while backlog.add(&segment_of(1, backlog.len() as u16 + 1, 0), b"greedy", class, START) {}
    let modest = segment_of(2, 1, 0);
    let last = segment_of(1, backlog.len() as u16, 0).flow.key();
    let displaced = backlog.displace(&modest, class).map(|(key, _)| key);
    assert_eq!(displaced, Some(last), "the last request of the greedy caller gives way");
    assert!(backlog.add(&modest, b"modest", class, START));
    assert_eq!(backlog.displace(&segment_of(1, 9_999, 0), class), None);
}

/// Guards against work on requests that cannot be answered in time any more while others can, as
/// after a loss of power, when all callers come back at once.
#[test]
fn requests_that_miss_their_timeout_go_last() {
    let mut backlog = Backlog::default().with_shares();
    backlog.add(&segment(1, 0), b"overdue", class(1, 100), START);
    backlog.add(&segment(2, 0), b"late", class(2, 100), at(500));
    backlog.add(&segment(3, 0), b"on time", class(3, 1_900), at(500));
    let order: Vec<_> = std::iter::from_fn(|| next(&mut backlog, at(1_990))).collect();
    assert_eq!(order, [key(3), key(2), key(1)]);
}

/// Guards against a backlog that large requests fill beyond its bound in bytes.
#[test]
fn large_requests_do_not_exceed_the_bound_in_bytes() {
    let mut backlog = Backlog::default();
    let datagram = vec![0; 60_000];
    let taken =
        (1..200).filter(|p| backlog.add(&segment(*p, 0), &datagram, class(1, 1_900), START));
    let taken = taken.count();
    assert!((50..60).contains(&taken), "{taken} requests taken");
    while backlog.release(SERVICE, START).is_some() {}
    assert!(backlog.add(&segment(1, 0), &datagram, class(1, 1_900), START));
}

/// Guards against an overload in which every request starts at the last moment and half of them are
/// late, since half of the requests take longer than the mean.
#[test]
fn requests_that_would_probably_be_late_give_way() {
    let service = ServiceTime { mean: SERVICE_TIME, tail: Span::from_millis(60) };
    let mut backlog = Backlog::default().with_shares();
    backlog.add(&segment_of(1, 1, 0), b"earlier", class(1, 1_900), START);
    backlog.add(&segment_of(2, 2, 0), b"later", class(1, 1_900), at(80));
    let objective = class(1, 1_900).objective;
    let now = START + (objective - Span::from_millis(40));
    let release = backlog.release(service, now);
    assert!(
        matches!(release, Some(Release::Start(key, _)) if key == segment_of(2, 2, 0).flow.key())
    );
    let release = backlog.release(service, now);
    assert!(
        matches!(release, Some(Release::Start(key, _)) if key == segment_of(1, 1, 0).flow.key())
    );
}
