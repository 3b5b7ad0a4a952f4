//! Tests of flows that have ended, and of ports that their callers use again.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        handshake::{Decision, FlowTable, ForwardReason, Intake, Offer, Ownership},
        ids::Instance,
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const LIMIT: u32 = 4;
/// The first positions of the caller and of the upstream.
const CALLER_START: u32 = 100;
const UPSTREAM_START: u32 = 500;
/// The first position of the same port's next flow, whose upstream is another one.
const OTHER_CALLER_START: u32 = 3_000_000;
const OTHER_UPSTREAM_START: u32 = 2_000_000_000;

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn balancer() -> SocketAddrV4 {
    address("10.0.0.1:7000")
}

fn other_agent() -> Instance {
    Instance::new(address("10.0.0.9:7000"))
}

fn flow() -> Flow {
    Flow { caller: address("100.64.0.1:40001"), address: address("198.18.0.1:443") }
}

fn segment(control: Control, sequence: u32, acknowledged: u32, length: u16) -> Segment {
    let (sequence, acknowledged) = (Sequence::new(sequence), Sequence::new(acknowledged));
    Segment { flow: flow(), control, sequence, acknowledged, length }
}

fn opening(start: u32) -> Segment {
    segment(Control::Open, start, 0, 0)
}

fn offer() -> Offer {
    Offer { class: None, origin: balancer(), rest: Box::new([other_agent()]), hops: 0 }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn deliver(table: &FlowTable, segment: &Segment, now: Moment) -> Decision {
    table.handle_segment(segment, balancer(), ForwardReason::Owner, false, LIMIT, now)
}

fn ownership(table: &FlowTable, acknowledged: u32, now: Moment) -> Ownership {
    table.ownership(flow().key(), Sequence::new(acknowledged), false, now)
}

fn denied() -> Decision {
    Decision::Deny { origin: balancer(), unsure: false, returned: true }
}

/// Opens a flow, in which one request is answered.
fn served() -> FlowTable {
    let table = FlowTable::new();
    assert_eq!(
        table.handle_opening(&opening(CALLER_START), b"open", offer(), Intake::Unlimited, START),
        Decision::Confirm
    );
    table.handle_reply(&segment(Control::Accept, UPSTREAM_START, CALLER_START + 1, 0), START);
    let request = segment(Control::Continue, CALLER_START + 1, UPSTREAM_START + 1, 50);
    assert_eq!(deliver(&table, &request, at(1)), Decision::Deliver);
    table.handle_reply(
        &segment(Control::Continue, UPSTREAM_START + 1, CALLER_START + 51, 80),
        at(20),
    );
    table
}

fn upstream_finish() -> Segment {
    segment(Control::Finish, UPSTREAM_START + 81, CALLER_START + 51, 0)
}

fn caller_finish() -> Segment {
    segment(Control::Finish, CALLER_START + 51, UPSTREAM_START + 82, 0)
}

/// A flow that both ends have finished.
fn closed() -> FlowTable {
    let table = served();
    table.handle_reply(&upstream_finish(), at(21));
    assert_eq!(deliver(&table, &caller_finish(), at(24)), Decision::Deliver);
    table
}

/// Guards against the reset of an open flow when its caller's port had a flow at another upstream
/// before: a balancer that searches for the owner must not get a claim from the former upstream's
/// agent.
#[test]
fn a_closed_flow_is_not_claimed_for_a_later_one() {
    let table = closed();
    let later = OTHER_UPSTREAM_START + 1;
    assert_eq!(ownership(&table, later, at(12_000)), Ownership::Denies);
    let request = segment(Control::Continue, OTHER_CALLER_START + 1, later, 50);
    assert_eq!(deliver(&closed(), &request, at(100)), denied());
    assert_eq!(table.open_flows().get(), 0);
}

/// Guards against the same when the former flow is only half closed, or its caller has gone without
/// a word: the position of the caller tells the flows apart.
#[test]
fn an_abandoned_flow_is_not_claimed_for_a_later_one() {
    let half_closed = served();
    half_closed.handle_reply(&upstream_finish(), at(21));
    for table in [served(), half_closed] {
        assert_eq!(ownership(&table, OTHER_UPSTREAM_START + 1, at(12_000)), Ownership::Denies);
        assert_eq!(ownership(&table, UPSTREAM_START + 82, at(12_000)), Ownership::Owns);
        let request =
            segment(Control::Continue, OTHER_CALLER_START + 1, OTHER_UPSTREAM_START + 1, 50);
        assert_eq!(deliver(&table, &request, at(12_000)), denied());
    }
}

/// Guards against callers that wait for the end of their flow: a late copy of its last segments
/// still goes to the upstream, which answers it.
#[test]
fn late_copies_of_a_closed_flow_reach_its_upstream() {
    let table = closed();
    assert_eq!(ownership(&table, UPSTREAM_START + 82, at(9_000)), Ownership::Owns);
    assert_eq!(deliver(&table, &caller_finish(), at(9_000)), Decision::Deliver);
    table.tick(at(10_100));
    assert_eq!(ownership(&table, UPSTREAM_START + 82, at(10_100)), Ownership::Denies);
}

/// Guards against a flow that stays claimed after its caller has reset it.
#[test]
fn a_reset_of_the_caller_closes_the_flow() {
    let table = served();
    let reset = segment(Control::Reset, CALLER_START + 51, 0, 0);
    assert_eq!(deliver(&table, &reset, at(30)), Decision::Deliver);
    assert_eq!(table.open_flows().get(), 0);
    assert_eq!(ownership(&table, OTHER_UPSTREAM_START + 1, at(31)), Ownership::Denies);
    table.tick(at(10_100));
    assert_eq!(ownership(&table, UPSTREAM_START + 81, at(10_100)), Ownership::Denies);
}

/// Guards against a reset towards the caller of a later flow: the upstream returns a late segment of
/// a flow that it has forgotten.
#[test]
fn a_returned_segment_of_a_closed_flow_resets_nothing() {
    let decision = closed().handle_bounce(&caller_finish(), at(6_000));
    assert!(matches!(decision, Decision::Drop(_)), "{decision:?}");
}

/// Guards against a late copy of the upstream's last segment that opens the closed flow again.
#[test]
fn a_late_segment_of_the_upstream_leaves_the_flow_closed() {
    let table = closed();
    table.handle_reply(&upstream_finish(), at(400));
    table.handle_reply(&segment(Control::Continue, UPSTREAM_START + 1, 151, 80), at(400));
    assert_eq!(table.open_flows().get(), 0);
    table.tick(at(10_100));
    assert_eq!(ownership(&table, UPSTREAM_START + 82, at(10_100)), Ownership::Denies);
}

/// Guards against new flows at an upstream that takes none, and against a flow that no agent passes
/// on: the port of a closed flow opens a new one, which any agent may take.
#[test]
fn the_port_of_a_closed_flow_opens_a_new_one() {
    let next = opening(OTHER_CALLER_START);
    let draining = closed().handle_opening(&next, b"open", offer(), Intake::Closed, at(4_000));
    assert!(matches!(draining, Decision::Pass(to, _) if to == other_agent()), "{draining:?}");
    let table = closed();
    let accepting = table.handle_opening(&next, b"open", offer(), Intake::Unlimited, at(4_000));
    assert_eq!(accepting, Decision::Confirm);
    let accept = segment(Control::Accept, OTHER_UPSTREAM_START, OTHER_CALLER_START + 1, 0);
    table.handle_reply(&accept, at(4_001));
    assert_eq!(ownership(&table, OTHER_UPSTREAM_START + 1, at(4_002)), Ownership::Owns);
}

/// Guards against the same for a flow whose caller has gone without a word, and against the loss of
/// an open flow by a late copy of its opening segment.
#[test]
fn another_first_position_opens_a_new_flow() {
    let table = served();
    let next = opening(OTHER_CALLER_START);
    let passed = table.handle_opening(&next, b"open", offer(), Intake::Closed, at(4_000));
    assert!(matches!(passed, Decision::Pass(..)), "{passed:?}");
    let copy = opening(CALLER_START);
    let repeated = table.handle_opening(&copy, b"open", offer(), Intake::Closed, at(4_000));
    assert_eq!(repeated, Decision::Deliver);
    assert_eq!(ownership(&table, UPSTREAM_START + 81, at(4_001)), Ownership::Owns);
}

/// Guards against a flow that nobody uses: a late copy of the opening segment of a closed flow opens
/// no new one.
#[test]
fn a_late_copy_of_the_opening_segment_opens_no_flow() {
    let copy = opening(CALLER_START);
    let decision = closed().handle_opening(&copy, b"open", offer(), Intake::Unlimited, at(600));
    assert_eq!(decision, Decision::Drop("late copy"));
}
