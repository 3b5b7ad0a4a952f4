//! Tests of the flows that an agent accepts by what their first requests can expect.

use {
    std::{net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        handshake::{Decision, Offer},
        ids::Instance,
        requirements::Requirements,
        route::{Priority, ServiceName, Target, TrafficClass},
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
        units::Slots,
        upstream::Monitor,
    },
    yuccacroft_segment::agent::{
        chain::{self, Context, ReceivedSegment},
        state::AgentState,
    },
};

const NOW: Moment = Moment::new(1_000_000);
const CLASS: TrafficClass = TrafficClass {
    priority: Priority::new(1),
    objective: Span::from_millis(300),
    timeout: Span::from_millis(1_500),
};
/// With three slots and 60 ms for each request, these numbers of waiting requests make a further one
/// late, or its caller give up.
const LATE: u16 = 20;
/// This number makes a further one wait for longer than 60 ms.
const BUSY: u16 = 8;
const HOPELESS: u16 = 90;

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn balancer() -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, 1].into(), 7_000)
}

fn other_agent() -> Instance {
    Instance::new(SocketAddrV4::new([10, 0, 0, 2].into(), 7_000))
}

fn segment(port: u16, control: Control) -> Segment {
    let caller = SocketAddrV4::new([100, 64, 0, 1].into(), port);
    let address = SocketAddrV4::new([198, 18, 0, 1].into(), 443);
    let flow = Flow { caller, address };
    let zero = Sequence::new(0);
    Segment { flow, control, sequence: zero, acknowledged: zero, length: 0 }
}

/// Creates the state of an agent with three slots, a service time of 60 ms and waiting requests.
fn agent(requirements: Requirements, waiting: u16) -> Arc<AgentState> {
    let monitor = Monitor::new(target(), Span::from_secs(1));
    let state = AgentState::new(target(), monitor).with_requirements(requirements);
    state.note_slots(Slots::new(3));
    (0..20).for_each(|_| state.record_service_time(Span::from_millis(60), NOW));
    (1..=waiting).for_each(|port| {
        state.backlog().add(&segment(port, Control::Continue), b"data", CLASS, NOW);
    });
    Arc::new(state)
}

fn offer(state: &Arc<AgentState>, rest: &[Instance]) -> Decision {
    offer_after(state, rest, 0)
}

/// Offers a flow to an agent after this number of others.
fn offer_after(state: &Arc<AgentState>, rest: &[Instance], hops: u8) -> Decision {
    let offer = Offer { class: Some(CLASS), origin: balancer(), rest: rest.into(), hops };
    let context = Context::NewFlow(target(), offer, b"open".as_slice().into());
    let segment = segment(60_000, Control::Open);
    let mut received = ReceivedSegment { segment, context, now: NOW };
    chain::build_chain(state).run(&mut received).expect("the chain decides")
}

fn health() -> Requirements {
    Requirements { health: true, ..Requirements::default() }
}

/// Guards against requests that wait at a busy agent while another one is free, and against refusals
/// of requests that can be served, late or not.
#[test]
fn a_flow_whose_request_would_be_late_goes_to_another_agent_while_one_is_left() {
    let state = agent(health(), LATE);
    assert!(
        matches!(offer(&state, &[other_agent()]), Decision::Pass(to, _) if to == other_agent())
    );
    assert_eq!(offer(&state, &[]), Decision::Confirm);
    assert_eq!(offer(&agent(health(), 0), &[other_agent()]), Decision::Confirm);
}

/// Guards against requests that wait at a busy agent while the next one is free, and against flows that
/// many busy agents pass on, to the last and worst choice of the balancer.
#[test]
fn a_flow_whose_request_would_wait_goes_on_a_few_times() {
    let state = agent(health(), BUSY);
    let rest = [other_agent()];
    assert!(matches!(offer_after(&state, &rest, 0), Decision::Pass(..)));
    assert!(matches!(offer_after(&state, &rest, 1), Decision::Pass(..)));
    assert_eq!(offer_after(&state, &rest, 2), Decision::Confirm);
    assert_eq!(offer(&agent(health(), BUSY), &[]), Decision::Confirm);
}

/// Guards against requests that wait until their callers give up, although the last agent knows that
/// it cannot serve them.
#[test]
fn the_last_agent_refuses_a_flow_whose_request_would_miss_its_timeout() {
    let state = agent(health(), HOPELESS);
    assert_eq!(offer(&state, &[]), Decision::Refuse(balancer()));
}

/// Guards against the refusal of a flow that the upstream may accept: the first copy of its opening
/// segment has reached it.
#[test]
fn a_copy_of_an_accepted_opening_is_not_refused() {
    let state = agent(health(), 0);
    assert_eq!(offer(&state, &[]), Decision::Confirm);
    (1..=HOPELESS).for_each(|port| {
        state.backlog().add(&segment(port, Control::Continue), b"data", CLASS, NOW);
    });
    assert_eq!(offer(&state, &[]), Decision::Confirm);
}

/// Guards against a change for deployments that do not ask for measured outcomes.
#[test]
fn without_the_requirement_every_flow_is_accepted() {
    let state = agent(Requirements::default(), HOPELESS);
    assert_eq!(offer(&state, &[other_agent()]), Decision::Confirm);
    assert_eq!(state.max_concurrent(NOW), u32::MAX);
}

/// Guards against a flood after a restart of all agents: before its first report an upstream gets few
/// requests at a time, and those that it still works on take their part.
#[test]
fn an_upstream_without_a_report_gets_few_requests() {
    let monitor = Monitor::new(target(), Span::from_secs(1));
    let state = AgentState::new(target(), monitor).with_requirements(health());
    assert_eq!(state.max_concurrent(NOW), 3);
    state.note_slots(Slots::new(8));
    assert_eq!(state.max_concurrent(NOW), 9);
    state.record_requests_in_progress(7, NOW);
    assert_eq!(state.max_concurrent(NOW), 2);
    state.record_requests_in_progress(20, NOW);
    assert_eq!(state.max_concurrent(NOW), 0);
}
