//! Tests of the flow table of an agent whose flows are assigned by the handshake.

use {
    proptest::prelude::*,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        handshake::{
            Action, Decision, EndCause, FlowTable, ForwardReason, Intake, MAX_HOPS, Offer,
            OfferedFlow, Ownership, UpstreamEnd, pass_or_refuse,
        },
        ids::Instance,
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
        units::Connections,
    },
};

const START: Moment = Moment::new(1_000_000);
const LIMIT: u32 = 4;

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
    Offer { class: None, origin: balancer(), rest: rest.into(), hops: 0 }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Opens a flow: offered, accepted with the sequence number 500 and acknowledged.
fn open(table: &FlowTable, port: u16, now: Moment) {
    assert_eq!(
        table.handle_opening(&opening(port), b"open", offer(&[]), Intake::Unlimited, now),
        Decision::Confirm
    );
    table.handle_reply(&segment(port, Control::Accept, 500, 101, 0), now);
    let first = segment(port, Control::Continue, 101, 501, 0);
    let decision =
        table.handle_segment(&first, balancer(), ForwardReason::Owner, false, LIMIT, now);
    assert_eq!(decision, Decision::Deliver);
}

fn request(port: u16) -> Segment {
    segment(port, Control::Continue, 101, 501, 50)
}

fn answer(port: u16) -> Segment {
    segment(port, Control::Continue, 501, 151, 80)
}

fn deliver(table: &FlowTable, segment: &Segment, now: Moment) -> Decision {
    table.handle_segment(segment, balancer(), ForwardReason::Owner, false, LIMIT, now)
}

/// Guards against two owners of one flow when two upstreams have accepted it: only the upstream
/// whose sequence number the caller acknowledges keeps it.
#[test]
fn the_acknowledged_upstream_owns_the_flow() {
    let (first, second) = (FlowTable::new(), FlowTable::new());
    for (table, sequence) in [(&first, 500), (&second, 900)] {
        table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
        table.handle_reply(&segment(1, Control::Accept, sequence, 101, 0), START);
    }
    let acknowledging = segment(1, Control::Continue, 101, 901, 0);
    let denied = Decision::Deny { origin: balancer(), unsure: false, returned: true };
    assert_eq!(deliver(&first, &acknowledging, at(1)), denied);
    assert_eq!(deliver(&second, &acknowledging, at(1)), Decision::Deliver);
}

/// Guards against a new flow at an upstream that takes none: the flow is passed to the next agent,
/// and the last agent reports the refusal to the balancer.
#[test]
fn an_agent_that_takes_no_flow_passes_it_on() {
    let table = FlowTable::new();
    let passed =
        table.handle_opening(&opening(1), b"open", offer(&[other()]), Intake::Closed, START);
    let rest = Offer { rest: Box::new([]), hops: 1, ..offer(&[]) };
    assert_eq!(passed, Decision::Pass(other(), rest));
    let refused = table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Closed, START);
    assert_eq!(refused, Decision::Refuse(balancer()));
    let exhausted = Offer { hops: MAX_HOPS, ..offer(&[other()]) };
    let refused = table.handle_opening(&opening(1), b"open", exhausted, Intake::Closed, START);
    assert_eq!(refused, Decision::Refuse(balancer()));
}

/// Guards against the loss of a new flow whose upstream crashed before it answered the opening
/// segment: after a timeout the segment is passed to the next agent.
#[test]
fn an_unanswered_opening_segment_is_passed_on() {
    let table = FlowTable::new();
    table.handle_opening(&opening(1), b"open", offer(&[other()]), Intake::Unlimited, START);
    assert!(table.tick(at(40)).is_empty());
    let [Action::Pass { to, datagram, .. }] = &table.tick(at(80))[..] else { panic!("not passed") };
    assert_eq!((*to, &**datagram), (other(), &b"open"[..]));
    assert!(table.tick(at(160)).is_empty());
}

/// Guards against the reset of a flow that is about to open at an upstream which accepted it only
/// after its opening segment was passed on: the caller acknowledges that answer if it comes first.
#[test]
fn an_upstream_that_accepts_late_owns_the_flow() {
    let accept = segment(1, Control::Accept, 500, 101, 0);
    let acknowledging = segment(1, Control::Continue, 101, 501, 0);
    for rest in [vec![other()], vec![]] {
        let table = FlowTable::new();
        table.handle_opening(&opening(1), b"open", offer(&rest), Intake::Unlimited, START);
        assert_eq!(table.tick(at(60)).len(), 1);
        table.handle_reply(&accept, at(70));
        let key = flow(1).key();
        let other_answer = Sequence::new(901);
        assert_eq!(table.ownership(key, other_answer, false, at(71)), Ownership::Denies);
        assert_eq!(table.ownership(key, Sequence::new(501), false, at(71)), Ownership::Owns);
        assert_eq!(deliver(&table, &acknowledging, at(72)), Decision::Deliver);
    }
    let passed_on = FlowTable::new();
    passed_on.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
    assert_eq!(passed_on.release_unaccepted(at(5)).len(), 1);
    passed_on.handle_reply(&accept, at(1));
    assert_eq!(deliver(&passed_on, &acknowledging, at(2)), Decision::Deliver);
}

/// Guards against the refusal or loss of an accepted flow because of another copy of its opening
/// segment, which arrives while the upstream takes no new flows or is returned by it.
#[test]
fn a_copy_of_the_opening_segment_does_not_end_an_accepted_flow() {
    let table = FlowTable::new();
    table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), START);
    let copy = table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Closed, at(200));
    assert_eq!(copy, Decision::Confirm);
    assert_eq!(table.handle_bounce(&opening(1), at(201)), Decision::Drop("late copy"));
    let acknowledging = segment(1, Control::Continue, 101, 501, 0);
    assert_eq!(deliver(&table, &acknowledging, at(202)), Decision::Deliver);
}

/// Guards against the denial of an open flow whose opening segment arrives once more at an agent that
/// has just restarted: data of the upstream proves that it holds the flow.
#[test]
fn data_of_the_upstream_proves_an_offered_flow() {
    let table = FlowTable::new();
    table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
    table.handle_reply(&answer(1), at(1));
    let later_segment = segment(1, Control::Continue, 7_000, 9_000, 0);
    assert_eq!(deliver(&table, &later_segment, at(2)), Decision::Deliver);
}

/// Guards against a flow that its upstream has ended and whose end the log does not tell from a wrong
/// reset.
#[test]
fn the_end_of_a_flow_by_its_upstream_can_be_inspected() {
    let table = FlowTable::new();
    let reset = |port| segment(port, Control::Reset, 501, 101, 0);
    let finish = segment(2, Control::Finish, 501, 151, 0);
    let end = |cause, age, busy| {
        let age = Some(Span::from_millis(age));
        Some(UpstreamEnd { cause, age, busy, was_overdue: false })
    };
    let unknown =
        UpstreamEnd { cause: EndCause::UnknownFlow, age: None, busy: false, was_overdue: false };
    assert_eq!(table.upstream_end(&reset(1), at(1)), Some(unknown));
    table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
    assert_eq!(table.upstream_end(&reset(1), at(5)), end(EndCause::Refused, 5, false));
    open(&table, 2, START);
    deliver(&table, &request(2), at(1));
    assert_eq!(table.upstream_end(&reset(2), at(7)), end(EndCause::Reset, 7, true));
    assert_eq!(table.upstream_end(&finish, at(8)), end(EndCause::Closed, 8, true));
    assert_eq!(table.upstream_end(&answer(2), at(8)), None);
    let last_data = Segment { length: 80, ..finish };
    assert_eq!(table.upstream_end(&last_data, at(8)), end(EndCause::Closed, 8, false), "an answer");
    table.handle_reply(&finish, at(8));
    assert_eq!(table.upstream_end(&finish, at(9)), None, "a copy");
}

/// Guards against a second offer of a flow that an upstream has accepted already: it stays until
/// the caller answers.
#[test]
fn an_accepted_opening_segment_is_not_passed_on() {
    let table = FlowTable::new();
    table.handle_opening(&opening(1), b"open", offer(&[other()]), Intake::Unlimited, START);
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), START);
    assert!(table.tick(at(500)).is_empty());
    assert!(table.release_unaccepted(at(5)).is_empty());
}

/// Guards against accepted flows that disappear without a trace although their caller may hold them
/// for open.
#[test]
fn an_accepted_flow_without_a_segment_expires_visibly() {
    let table = FlowTable::new();
    table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), START);
    assert!(table.tick(at(2_990)).is_empty());
    let expired = Action::Expire { flow: flow(1), accepted: Sequence::new(500) };
    assert_eq!(table.tick(at(3_000)), [expired]);
    assert!(table.tick(at(3_010)).is_empty());
}

/// Guards against a denial of an offered flow whose log does not show what the upstream accepted.
#[test]
fn an_offered_flow_can_be_inspected_until_it_opens() {
    let table = FlowTable::new();
    let key = flow(1).key();
    assert_eq!(table.offered_flow(key, START), None);
    table.handle_opening(&opening(1), b"open", offer(&[]), Intake::Unlimited, START);
    let offered = |accepted| Some(OfferedFlow { accepted, age: Span::from_millis(5) });
    assert_eq!(table.offered_flow(key, at(5)), offered(None));
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), at(2));
    assert_eq!(table.offered_flow(key, at(5)), offered(Some(Sequence::new(500))));
    open(&table, 1, at(6));
    assert_eq!(table.offered_flow(key, at(7)), None);
}

/// Guards against an agent that claims or denies flows of another one: it owns an open flow, and an
/// accepted one once the caller acknowledges the answer of its upstream.
#[test]
fn ownership_follows_the_handshake() {
    let table = FlowTable::new();
    let ownership = |acknowledged, unsure, now| {
        table.ownership(flow(1).key(), Sequence::new(acknowledged), unsure, now)
    };
    assert_eq!(ownership(501, false, START), Ownership::Denies);
    assert_eq!(ownership(501, true, START), Ownership::Unsure, "opened before the agent started");
    table.handle_opening(&opening(1), b"open", offer(&[other()]), Intake::Unlimited, START);
    assert_eq!(ownership(501, true, START), Ownership::Denies, "not accepted yet");
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), START);
    assert_eq!(ownership(501, false, START), Ownership::Owns);
    assert_eq!(ownership(901, false, START), Ownership::Denies, "accepted at another upstream");
    deliver(&table, &segment(1, Control::Continue, 101, 501, 10), START);
    assert_eq!(ownership(900, false, at(1)), Ownership::Owns, "later data of an open flow");
}

/// Guards against a decision from a search while the upstream has not yet kept or returned a probe.
#[test]
fn ownership_is_pending_during_a_probe() {
    let table = FlowTable::new();
    let later_segment = segment(1, Control::Continue, 7, 9, 0);
    table.handle_segment(&later_segment, balancer(), ForwardReason::Probe, true, LIMIT, START);
    let ownership = |now| table.ownership(flow(1).key(), Sequence::new(9), true, now);
    assert_eq!(ownership(at(10)), Ownership::Pending);
    table.handle_bounce(&later_segment, at(11));
    assert_eq!(ownership(at(12)), Ownership::Denies);
}

/// Guards against the loss of flows whose agent restarted while the upstream kept running: if the
/// upstream keeps a probe, it owns the flow.
#[test]
fn an_upstream_that_keeps_a_probe_owns_the_flow() {
    let table = FlowTable::new();
    let later_segment = segment(1, Control::Continue, 7, 9, 0);
    let probe = |now| {
        table.handle_segment(&later_segment, balancer(), ForwardReason::Probe, true, LIMIT, now)
    };
    assert_eq!(probe(START), Decision::Deliver);
    assert_eq!(probe(at(10)), Decision::Drop("probing"));
    let confirmed = Action::Confirm { flow: flow(1), origin: balancer() };
    assert_eq!(table.tick(at(40)), [confirmed]);
    assert_eq!(deliver(&table, &later_segment, at(50)), Decision::Deliver);
}

/// Guards against balancers that ask for the owner of a flow again and again, because its upstream
/// answered the probe before it had time to return it: the answer proves the ownership at once.
#[test]
fn an_upstream_that_answers_a_probe_owns_the_flow() {
    let table = FlowTable::new();
    let later_segment = segment(1, Control::Continue, 7, 9, 0);
    table.handle_segment(&later_segment, balancer(), ForwardReason::Probe, true, LIMIT, START);
    assert_eq!(table.handle_reply(&answer(1), at(5)).prober, Some(balancer()));
    assert_eq!(table.handle_reply(&answer(1), at(6)).prober, None);
    assert_eq!(table.tick(at(40)), []);
}

/// Guards against an offer with a count that no agent sends: it overflowed, which ended the handling
/// of the message in builds with checks and sent the segment around without end in others.
#[test]
fn an_offer_with_any_count_is_refused_in_the_end() {
    let rest = [other()];
    for hops in [7, 8, 254, 255] {
        let decision = pass_or_refuse(Offer { hops, ..offer(&rest) });
        assert_eq!(decision, Decision::Refuse(balancer()), "after {hops} agents");
    }
}

/// Guards against repeated probes of an upstream that has already returned one, which would look
/// like a moved flow.
#[test]
fn an_upstream_that_returns_a_probe_is_not_asked_again() {
    let table = FlowTable::new();
    let later_segment = segment(1, Control::Continue, 7, 9, 0);
    let probe = |now| {
        table.handle_segment(&later_segment, balancer(), ForwardReason::Probe, true, LIMIT, now)
    };
    assert_eq!(probe(START), Decision::Deliver);
    let denied = Decision::Deny { origin: balancer(), unsure: false, returned: false };
    assert_eq!(table.handle_bounce(&later_segment, at(1)), denied);
    for later in [2, 100, 2_000] {
        assert_eq!(probe(at(later)), denied);
    }
}

/// Guards against a reset of a flow that another upstream holds: a late bounce of a probe only
/// proves that this upstream does not hold it.
#[test]
fn a_late_bounce_of_a_probe_resets_nothing() {
    let table = FlowTable::new();
    let later_segment = segment(1, Control::Continue, 7, 9, 0);
    table.handle_segment(&later_segment, balancer(), ForwardReason::Probe, true, LIMIT, START);
    table.tick(at(40));
    assert_eq!(
        table.handle_bounce(&later_segment, at(41)),
        Decision::Drop("flow of another upstream")
    );
}

/// Guards against callers that wait for an upstream that no longer holds their flow.
#[test]
fn a_bounce_of_an_owned_flow_resets_it() {
    let table = FlowTable::new();
    open(&table, 1, START);
    table.handle_reply(&answer(1), START);
    let later_segment = segment(1, Control::Continue, 151, 581, 0);
    assert_eq!(deliver(&table, &later_segment, at(1)), Decision::Deliver);
    assert_eq!(table.handle_bounce(&later_segment, at(2)), Decision::Reset(Sequence::new(581)));
    assert_eq!(table.open_flows().get(), 0);
}

/// Guards against a reset that the caller does not accept: it has to carry the position that the
/// caller acknowledged last.
#[test]
fn lost_flows_carry_the_last_acknowledged_position() {
    let table = FlowTable::new();
    open(&table, 1, START);
    deliver(&table, &request(1), START);
    table.handle_opening(&opening(2), b"open", offer(&[]), Intake::Unlimited, START);
    let lost = table.remove_begun_before(at(1));
    assert_eq!(lost.len(), 1);
    let lost = lost[0];
    assert_eq!((lost.flow, lost.acknowledged, lost.busy), (flow(1), Sequence::new(501), true));
    assert_eq!((table.open_flows().get(), table.active_requests()), (0, 0));
}

/// Guards against a reset of flows that a restarted upstream accepted before its first report,
/// which happened in one of ten runs of the restart test.
#[test]
fn flows_of_the_next_incarnation_survive_the_loss_of_the_previous_one() {
    let table = FlowTable::new();
    open(&table, 1, START);
    open(&table, 2, at(50));
    let lost = table.remove_begun_before(at(40));
    assert_eq!(lost.iter().map(|lost| lost.flow).collect::<Vec<_>>(), [flow(1)]);
    assert_eq!(table.open_flows().get(), 1);
    assert_eq!(deliver(&table, &request(2), at(60)), Decision::Deliver);
}

/// Guards against the reset of a flow of another upstream: a probe that is not returned in time makes
/// the agent claim the flow, and the end of its own upstream ends the claim only.
#[test]
fn the_end_of_the_upstream_resets_no_flow_that_it_has_not_answered() {
    let table = FlowTable::new();
    let later_segment = segment(1, Control::Continue, 7, 9, 0);
    table.handle_segment(&later_segment, balancer(), ForwardReason::Probe, true, LIMIT, START);
    table.tick(at(40));
    assert_eq!(table.open_flows().get(), 1, "the flow is not claimed");
    assert_eq!(table.remove_begun_before(at(1_000)), []);
    assert_eq!(table.open_flows().get(), 0);
}

/// Guards against an upstream that gets more requests than it can process.
#[test]
fn requests_beyond_the_limit_wait() {
    let table = FlowTable::new();
    for port in 1..=6 {
        open(&table, port, START);
    }
    let decisions: Vec<_> = (1..=6).map(|port| deliver(&table, &request(port), START)).collect();
    assert_eq!(decisions[..4], [const { Decision::Deliver }; 4]);
    assert_eq!(decisions[4..], [const { Decision::Hold }; 2]);
    // A repeated segment of a waiting request is held even after a slot has become free.
    assert!(table.handle_reply(&answer(1), at(20)).service_time.is_some());
    assert_eq!(deliver(&table, &request(5), at(20)), Decision::Hold);
    assert!(table.start_held(flow(5).key(), at(20)));
    assert!(!table.start_held(flow(5).key(), at(20)));
    assert_eq!(table.active_requests(), 4);
}

/// Guards against an idle upstream whose slots seem in use by requests whose end the agent did not
/// see. This happened after all agents were killed, when callers repeated requests that had been
/// answered before.
#[test]
fn reports_of_the_upstream_correct_the_count_of_active_requests() {
    let table = FlowTable::new();
    for port in 1..=4 {
        open(&table, port, START);
        deliver(&table, &request(port), START);
    }
    assert_eq!(table.active_requests(), 4);
    for _ in 0..3 {
        table.reconcile_active(1);
    }
    assert_eq!(table.active_requests(), 4, "a report may be older than a request in transit");
    table.reconcile_active(1);
    assert_eq!(table.active_requests(), 1);
}

/// Guards against a slot that stays in use if the end of a request is not seen and the upstream
/// does not report its load.
#[test]
fn a_request_without_a_response_stops_counting() {
    let table = FlowTable::new();
    open(&table, 1, START);
    deliver(&table, &request(1), START);
    table.tick(at(100));
    assert_eq!(table.active_requests(), 1);
    table.tick(at(400));
    assert_eq!(table.active_requests(), 0);
    assert!(table.handle_reply(&answer(1), at(900)).service_time.is_some());
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
    /// Guards against counter drift: after any sequence of events, the counts of open flows and of
    /// requests in progress return to zero when the upstream is lost.
    #[test]
    fn counts_return_to_zero(steps in proptest::collection::vec(step(), 0..60)) {
        let table = FlowTable::new();
        let mut now = START;
        for step in steps {
            match step {
                Step::Offer(port) => {
                    table.handle_opening(&opening(port), b"open", offer(&[]), Intake::Unlimited, now);
                }
                Step::Accept(port, sequence) => {
                    table.handle_reply(&segment(port, Control::Accept, sequence, 101, 0), now);
                }
                Step::Caller(port, acknowledged, length, end) => {
                    let control = if end { Control::Finish } else { Control::Continue };
                    let sent = segment(port, control, 101, acknowledged, length);
                    table.handle_segment(&sent, balancer(), ForwardReason::Probe, true, 2, now);
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
            prop_assert!(table.open_flows() <= table.held_flows());
            prop_assert!(table.held_flows().get() <= 5);
            prop_assert!(table.active_requests() <= 5);
        }
        table.remove_begun_before(now + Span::from_millis(1));
        prop_assert_eq!((table.open_flows().get(), table.active_requests()), (0, 0));
        table.release_unaccepted(now);
        prop_assert_eq!(table.held_flows().get(), 0);
    }
}

/// Guards against more flows than an upstream holds when many are offered within one handshake, and
/// against places that stay taken by flows that never open.
#[test]
fn unopened_flows_count_against_the_limit_until_their_end() {
    let table = FlowTable::new();
    let intake = Intake::UpTo(Connections::new(2));
    let offered = |port, now| {
        table.handle_opening(&opening(port), b"open", offer(&[]), intake, now) == Decision::Confirm
    };
    let accept = |port| table.handle_reply(&segment(port, Control::Accept, 500, 101, 0), START);
    let reset = |port| table.handle_reply(&segment(port, Control::Reset, 0, 101, 0), START);
    assert!(offered(1, START) && offered(2, START) && !offered(3, START));
    assert!(offered(1, START), "a copy takes no further place");
    accept(1);
    assert!(!offered(3, START));
    deliver(&table, &segment(1, Control::Continue, 101, 501, 0), START);
    assert_eq!((table.open_flows().get(), table.held_flows().get()), (1, 2));
    reset(2);
    assert!(offered(3, START) && !offered(4, START));
    table.handle_bounce(&opening(3), START);
    assert!(offered(4, START) && !offered(5, START));
    table.tick(at(60));
    assert!(offered(5, at(60)) && !offered(6, at(60)));
    accept(5);
    table.tick(at(3_060));
    assert!(offered(6, at(3_060)) && !offered(7, at(3_060)));
}

/// Guards against a reset that the caller gets although another upstream could take the flow: the
/// upstream has refused the opening segment, so nothing has run.
#[test]
fn an_opening_that_the_upstream_resets_goes_to_the_next_candidate() {
    let reset = segment(1, Control::Reset, 0, 101, 0);
    for (rest, is_passed) in [(&[other()][..], true), (&[], false)] {
        let table = FlowTable::new();
        table.handle_opening(&opening(1), b"open", offer(rest), Intake::Unlimited, START);
        let action = table.handle_reply(&reset, at(1)).refused_opening;
        match action {
            Some(Action::Pass { to, datagram, .. }) if is_passed => {
                assert_eq!((to, &*datagram), (other(), &b"open"[..]));
            }
            Some(Action::Refuse { origin, .. }) if !is_passed => assert_eq!(origin, balancer()),
            action => panic!("{action:?}"),
        }
        assert_eq!(table.handle_reply(&reset, at(2)).refused_opening, None);
    }
}

/// Guards against a second run: once the upstream has accepted the flow, its caller may have sent a
/// request, so the reset goes to the caller.
#[test]
fn a_reset_after_the_acceptance_is_not_passed_on() {
    let table = FlowTable::new();
    table.handle_opening(&opening(1), b"open", offer(&[other()]), Intake::Unlimited, START);
    table.handle_reply(&segment(1, Control::Accept, 500, 101, 0), at(1));
    let reset = segment(1, Control::Reset, 501, 101, 0);
    assert_eq!(table.handle_reply(&reset, at(2)).refused_opening, None);
}

/// Guards against a success that is taken for a failure because the end of the flow overtakes the
/// response: the position of the end shows that data comes before it.
#[test]
fn an_end_after_data_that_is_still_to_come_breaks_no_request_off() {
    let table = FlowTable::new();
    open(&table, 1, START);
    deliver(&table, &request(1), at(1));
    let finish = segment(1, Control::Finish, 581, 151, 0);
    assert!(table.upstream_end(&finish, at(2)).is_some_and(|end| !end.busy));
}

/// Guards against silence that nobody notices, and against a response that comes late being taken
/// for a failure.
#[test]
fn a_request_without_a_response_is_overdue_once() {
    let table = FlowTable::new();
    open(&table, 1, START);
    deliver(&table, &request(1), at(10));
    let is_overdue = |now| table.tick(now).contains(&Action::Overdue { flow: flow(1) });
    assert_eq!([at(100), at(500), at(520)].map(is_overdue), [false, true, false]);
    assert!(table.handle_reply(&answer(1), at(600)).was_overdue);
}
