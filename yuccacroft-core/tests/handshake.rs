//! What an agent does with the flows of its upstream, as the handshake settles them.

use {
    proptest::prelude::*,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        handshake::{Action, Decision, MAX_HOPS, Offer, Reason, Table},
        ids::Instance,
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const ROOM: u32 = 4;

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn balancer() -> SocketAddrV4 {
    address("10.0.0.1:7000")
}

fn other() -> Instance {
    Instance::new(address("10.0.0.9:7000"))
}

fn flow(port: u16) -> Flow {
    let caller = SocketAddrV4::new([100, 64, 0, 1].into(), port);
    Flow { caller, address: address("198.18.0.1:443") }
}

fn segment(port: u16, control: Control, sequence: u32, acknowledged: u32, length: u16) -> Segment {
    let (sequence, acknowledged) = (Sequence::new(sequence), Sequence::new(acknowledged));
    Segment { flow: flow(port), control, sequence, acknowledged, length }
}

fn opening(port: u16) -> Segment {
    segment(port, Control::Open, 100, 0, 0)
}

fn offer(rest: &[Instance]) -> Offer {
    Offer { origin: balancer(), rest: rest.into(), hops: 0 }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Opens a flow: offered, accepted with the sequence number 500 and acknowledged.
fn open(table: &Table, port: u16, now: Moment) {
    assert_eq!(
        table.handle_opening(&opening(port), b"open", offer(&[]), true, now),
        Decision::Confirm
    );
    table.handle_reply(&segment(port, Control::Accept, 500, 101, 0), now);
    let first = segment(port, Control::Continue, 101, 501, 0);
    let decision = table.handle_segment(&first, balancer(), Reason::Owner, false, ROOM, now);
    assert_eq!(decision, Decision::Deliver);
}

fn request(port: u16) -> Segment {
    segment(port, Control::Continue, 101, 501, 50)
}

fn answer(port: u16) -> Segment {
    segment(port, Control::Continue, 501, 151, 80)
}

fn carry(table: &Table, segment: &Segment, now: Moment) -> Decision {
    table.handle_segment(segment, balancer(), Reason::Owner, false, ROOM, now)
}

/// Guards against two owners of one flow when two upstreams accepted it: only the one whose
/// sequence number the caller acknowledges keeps it.
#[test]
fn the_acknowledged_upstream_owns_the_flow() {
    let (first, second) = (Table::new(), Table::new());
    for (table, sequence) in [(&first, 500), (&second, 900)] {
        table.handle_opening(&opening(1), b"open", offer(&[]), true, START);
        table.handle_reply(&segment(1, Control::Accept, sequence, 101, 0), START);
    }
    let acknowledging = segment(1, Control::Continue, 101, 901, 0);
    let denied = Decision::Deny { origin: balancer(), unsure: false, returned: true };
    assert_eq!(carry(&first, &acknowledging, at(1)), denied);
    assert_eq!(carry(&second, &acknowledging, at(1)), Decision::Deliver);
}

/// Guards against a new flow at an upstream that takes none: it goes to the next agent, and the
/// last one tells the balancer.
#[test]
fn an_agent_that_takes_no_flow_passes_it_on() {
    let table = Table::new();
    let passed = table.handle_opening(&opening(1), b"open", offer(&[other()]), false, START);
    let rest = Offer { origin: balancer(), rest: Box::new([]), hops: 1 };
    assert_eq!(passed, Decision::Pass(other(), rest));
    let refused = table.handle_opening(&opening(1), b"open", offer(&[]), false, START);
    assert_eq!(refused, Decision::Refuse(balancer()));
    let worn = Offer { hops: MAX_HOPS, ..offer(&[other()]) };
    let refused = table.handle_opening(&opening(1), b"open", worn, false, START);
    assert_eq!(refused, Decision::Refuse(balancer()));
}

/// Guards against a flow that is lost with an upstream that crashed between two segments: an
/// opening segment that stays without an answer goes on by itself.
#[test]
fn an_unanswered_opening_segment_goes_on() {
    let table = Table::new();
    table.handle_opening(&opening(1), b"open", offer(&[other()]), true, START);
    assert!(table.tick(at(40)).is_empty());
    let [Action::Pass { to, datagram, .. }] = &table.tick(at(80))[..] else { panic!("not passed") };
    assert_eq!((*to, &**datagram), (other(), &b"open"[..]));
    assert!(table.tick(at(160)).is_empty());
}

/// Guards against two offers of one flow: an accepted one waits for the caller.
#[test]
fn an_accepted_opening_segment_stays() {
    let table = Table::new();
    table.handle_opening(&opening(1), b"open", offer(&[other()]), true, START);
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), START);
    assert!(table.tick(at(500)).is_empty());
    assert!(table.release_unaccepted().is_empty());
}

/// Guards against segments of a foreign flow at an upstream while others have not been asked.
#[test]
fn a_search_touches_no_upstream() {
    let table = Table::new();
    let middle = segment(1, Control::Continue, 7, 9, 0);
    let search =
        |unsure| table.handle_segment(&middle, balancer(), Reason::Search, unsure, ROOM, START);
    let denied = |unsure| Decision::Deny { origin: balancer(), unsure, returned: false };
    assert_eq!(search(false), denied(false));
    assert_eq!(search(true), denied(true));
}

/// Guards against an agent that restarted beside a living upstream and cuts its flows: the upstream
/// keeps the segment, so the flow is its own.
#[test]
fn an_upstream_that_keeps_a_probe_owns_the_flow() {
    let table = Table::new();
    let middle = segment(1, Control::Continue, 7, 9, 0);
    let probe = |now| table.handle_segment(&middle, balancer(), Reason::Probe, true, ROOM, now);
    assert_eq!(probe(START), Decision::Deliver);
    assert_eq!(probe(at(10)), Decision::Drop("probing"));
    let confirmed = Action::Confirm { flow: flow(1), origin: balancer() };
    assert_eq!(table.tick(at(40)), [confirmed]);
    assert_eq!(carry(&table, &middle, at(50)), Decision::Deliver);
}

/// Guards against a moved flow: an upstream that returned a probe is not asked again.
#[test]
fn an_upstream_that_returns_a_probe_is_not_asked_again() {
    let table = Table::new();
    let middle = segment(1, Control::Continue, 7, 9, 0);
    let probe = |now| table.handle_segment(&middle, balancer(), Reason::Probe, true, ROOM, now);
    assert_eq!(probe(START), Decision::Deliver);
    let denied = Decision::Deny { origin: balancer(), unsure: false, returned: false };
    assert_eq!(table.handle_bounce(&middle, at(1)), denied);
    for later in [2, 100, 2_000] {
        assert_eq!(probe(at(later)), denied);
    }
}

/// Guards against a reset of a flow that lives elsewhere: a late bounce of a probe proves nothing
/// but that the flow is not here.
#[test]
fn a_late_bounce_of_a_probe_resets_nothing() {
    let table = Table::new();
    let middle = segment(1, Control::Continue, 7, 9, 0);
    table.handle_segment(&middle, balancer(), Reason::Probe, true, ROOM, START);
    table.tick(at(40));
    assert_eq!(table.handle_bounce(&middle, at(41)), Decision::Drop("flow of another upstream"));
}

/// Guards against callers that wait for an upstream which has forgotten their flow.
#[test]
fn a_bounce_of_an_owned_flow_resets_it() {
    let table = Table::new();
    open(&table, 1, START);
    table.handle_reply(&answer(1), START);
    let middle = segment(1, Control::Continue, 151, 581, 0);
    assert_eq!(carry(&table, &middle, at(1)), Decision::Deliver);
    assert_eq!(table.handle_bounce(&middle, at(2)), Decision::Reset(Sequence::new(581)));
    assert_eq!(table.open_flows().get(), 0);
}

/// Guards against a reset that its caller does not accept: it carries the position that the caller
/// acknowledged last.
#[test]
fn lost_flows_know_what_their_callers_acknowledged() {
    let table = Table::new();
    open(&table, 1, START);
    carry(&table, &request(1), START);
    table.handle_opening(&opening(2), b"open", offer(&[]), true, START);
    let lost = table.remove_begun_before(at(1));
    assert_eq!(lost.len(), 1);
    let lost = lost[0];
    assert_eq!((lost.flow, lost.acknowledged, lost.busy), (flow(1), Sequence::new(501), true));
    assert_eq!((table.open_flows().get(), table.active_requests()), (0, 0));
}

/// Guards against a reset of flows that a restarted upstream took before its first report: so it
/// was once in ten runs of the test of a restarted upstream.
#[test]
fn flows_of_the_next_life_are_not_lost_with_the_earlier_one() {
    let table = Table::new();
    open(&table, 1, START);
    open(&table, 2, at(50));
    let lost = table.remove_begun_before(at(40));
    assert_eq!(lost.iter().map(|lost| lost.flow).collect::<Vec<_>>(), [flow(1)]);
    assert_eq!(table.open_flows().get(), 1);
    assert_eq!(carry(&table, &request(2), at(60)), Decision::Deliver);
}

/// Guards against an upstream that gets more requests than it can work on.
#[test]
fn requests_beyond_the_room_wait() {
    let table = Table::new();
    for port in 1..=6 {
        open(&table, port, START);
    }
    let decisions: Vec<_> = (1..=6).map(|port| carry(&table, &request(port), START)).collect();
    assert_eq!(decisions[..4], [const { Decision::Deliver }; 4]);
    assert_eq!(decisions[4..], [const { Decision::Hold }; 2]);
    // A repeated segment of a waiting request does not slip through when there is room.
    assert!(table.handle_reply(&answer(1), at(20)).is_some());
    assert_eq!(carry(&table, &request(5), at(20)), Decision::Hold);
    assert!(table.start_held(flow(5).key(), at(20)));
    assert!(!table.start_held(flow(5).key(), at(20)));
    assert_eq!(table.active_requests(), 4);
}

/// Guards against an upstream that stays idle because requests that ended unseen count as running:
/// so it was after a kill of all agents, when callers repeated requests that had been answered.
#[test]
fn the_upstreams_own_count_corrects_the_number_of_requests() {
    let table = Table::new();
    for port in 1..=4 {
        open(&table, port, START);
        carry(&table, &request(port), START);
    }
    assert_eq!(table.active_requests(), 4);
    for _ in 0..3 {
        table.reconcile_active(1);
    }
    assert_eq!(table.active_requests(), 4, "one answer may have crossed a request");
    table.reconcile_active(1);
    assert_eq!(table.active_requests(), 1);
}

/// Guards against a room that stays taken when the upstream does not tell its load.
#[test]
fn a_request_without_an_end_stops_counting() {
    let table = Table::new();
    open(&table, 1, START);
    carry(&table, &request(1), START);
    table.tick(at(100));
    assert_eq!(table.active_requests(), 1);
    table.tick(at(400));
    assert_eq!(table.active_requests(), 0);
    assert!(table.handle_reply(&answer(1), at(900)).is_some());
    assert_eq!(table.active_requests(), 0);
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u16),
    Accept(u16, u32),
    Caller(u16, u32, u16, bool),
    Upstream(u16, u16, bool),
    Bounce(u16),
    Start(u16),
    Lose,
    Tick(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let port = 1..6u16;
    prop_oneof![
        port.clone().prop_map(Step::Offer),
        (port.clone(), 0..3u32).prop_map(|(port, sequence)| Step::Accept(port, sequence)),
        (port.clone(), 0..4u32, 0..3u16, any::<bool>())
            .prop_map(|(port, ack, length, end)| Step::Caller(port, ack, length, end)),
        (port.clone(), 0..2u16, any::<bool>())
            .prop_map(|(port, length, end)| Step::Upstream(port, length, end)),
        port.clone().prop_map(Step::Bounce),
        port.prop_map(Step::Start),
        Just(Step::Lose),
        (1..500u64).prop_map(Step::Tick),
    ]
}

proptest! {
    /// Guards against counters that drift: whatever happens, the number of open flows and of
    /// requests in progress returns to zero when the upstream is lost.
    #[test]
    fn counts_return_to_zero(steps in proptest::collection::vec(step(), 0..60)) {
        let table = Table::new();
        let mut now = START;
        for step in steps {
            match step {
                Step::Offer(port) => {
                    table.handle_opening(&opening(port), b"open", offer(&[]), true, now);
                }
                Step::Accept(port, sequence) => {
                    table.handle_reply(&segment(port, Control::Accept, sequence, 101, 0), now);
                }
                Step::Caller(port, acknowledged, length, end) => {
                    let control = if end { Control::Finish } else { Control::Continue };
                    let sent = segment(port, control, 101, acknowledged, length);
                    table.handle_segment(&sent, balancer(), Reason::Probe, true, 2, now);
                }
                Step::Upstream(port, length, end) => {
                    let control = if end { Control::Finish } else { Control::Continue };
                    table.handle_reply(&segment(port, control, 500, 101, length), now);
                }
                Step::Bounce(port) => {
                    table.handle_bounce(&segment(port, Control::Continue, 101, 1, 0), now);
                }
                Step::Start(port) => {
                    table.start_held(flow(port).key(), now);
                }
                Step::Lose => {
                    table.remove_begun_before(now + Span::from_millis(1));
                    prop_assert_eq!((table.open_flows().get(), table.active_requests()), (0, 0));
                }
                Step::Tick(millis) => {
                    now = now + Span::from_millis(millis);
                    table.tick(now);
                }
            }
            prop_assert!(table.open_flows().get() <= 5);
            prop_assert!(table.active_requests() <= 5);
        }
        table.remove_begun_before(now + Span::from_millis(1));
        prop_assert_eq!((table.open_flows().get(), table.active_requests()), (0, 0));
    }
}
