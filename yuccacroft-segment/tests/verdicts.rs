//! Tests of how long a balancer holds on to a verdict about a flow.

mod support;

use {
    crate::support::balancer::{Balancer, instance, opening, segment},
    yuccacroft_core::time::Span,
};

const CALLER: u16 = 40_001;
/// The position that the segments of the flow acknowledge.
const POSITION: u32 = 7_000_000;
/// The position that the segments of a later flow between the same addresses acknowledge.
const LATER_POSITION: u32 = 3_500_000_000;
const AGENTS: u8 = 8;

/// Returns a balancer that knows that agent 1 owns the flow.
fn balancer_with_owner() -> Balancer {
    let mut balancer = Balancer::new(AGENTS);
    let segment = segment(CALLER, POSITION);
    balancer.agents[0].flows.insert(segment.flow.key(), segment.acknowledged);
    assert!(!balancer.receive(&segment));
    balancer.advance(Span::from_millis(100));
    balancer.carried.clear();
    balancer
}

/// Lets agent 1 fall silent until the balancer resets its flow.
fn silence_owner(balancer: &mut Balancer) {
    balancer.agents[0].running = false;
    assert!(!balancer.receive(&segment(CALLER, POSITION)), "nothing is overdue yet");
    balancer.advance(Span::from_millis(2_400));
    assert!(balancer.receive(&segment(CALLER, POSITION)), "the owner is silent");
}

/// Guards against resets of all later segments of a flow whose owner was silent for a while, though
/// it answers again 100 ms after the verdict.
#[test]
fn flows_of_an_owner_that_answers_again_are_forwarded() {
    let mut balancer = balancer_with_owner();
    silence_owner(&mut balancer);
    balancer.agents[0].running = true;
    balancer.advance(Span::from_millis(100));
    balancer.carried.clear();
    assert!(!balancer.receive(&segment(CALLER, POSITION)));
    assert_eq!(balancer.carried, [(instance(1), segment(CALLER, POSITION))]);
}

/// Guards against callers that wait for a flow whose agent has failed, because the reset got lost,
/// and against a search for each of their retransmissions.
#[test]
fn each_segment_of_a_lost_owner_is_reset_at_once() {
    let mut balancer = balancer_with_owner();
    silence_owner(&mut balancer);
    balancer.queries = 0;
    for _ in 0..40 {
        balancer.advance(Span::from_millis(200));
        assert!(balancer.receive(&segment(CALLER, POSITION)));
    }
    assert_eq!(balancer.queries, 0);
}

/// Guards against a verdict that outlasts its evidence: an agent that was left out for its silence
/// owns the flow and answers again.
#[test]
fn an_excluded_agent_that_answers_again_is_asked_again() {
    let mut balancer = Balancer::new(AGENTS);
    let segment = segment(CALLER, POSITION);
    balancer.agents[0].flows.insert(segment.flow.key(), segment.acknowledged);
    balancer.agents[0].running = false;
    balancer.advance(Span::from_millis(2_400));
    assert!(balancer.receive(&segment), "the owner is left out for its silence");
    assert!(balancer.receive(&segment));
    balancer.agents[0].running = true;
    balancer.advance(Span::from_millis(100));
    assert!(!balancer.receive(&segment));
    assert_eq!(balancer.carried, [(instance(1), segment)]);
    let late = balancer.log.take();
    assert!(late.iter().any(|line| line.event == "owner found late"), "{late:?}");
}

/// Guards against a verdict that outlasts its evidence: the owner was not listed and joins.
#[test]
fn a_member_that_joins_is_asked() {
    let mut balancer = Balancer::new(AGENTS);
    let segment = segment(CALLER, POSITION);
    assert!(balancer.receive(&segment), "no listed agent owns the flow");
    let mut owner = support::balancer::Agent {
        id: balancer.agents[0].id,
        running: true,
        flows: Default::default(),
    };
    owner.id.instance = instance(AGENTS + 1);
    owner.flows.insert(segment.flow.key(), segment.acknowledged);
    balancer.agents.push(owner);
    balancer.list(usize::from(AGENTS));
    assert!(!balancer.receive(&segment));
    assert_eq!(balancer.carried, [(instance(AGENTS + 1), segment)]);
}

/// Guards against a verdict that segments of the flow extend without end, and against a search for
/// each of them.
#[test]
fn segments_do_not_extend_a_verdict() {
    let mut balancer = Balancer::new(AGENTS);
    let segment = segment(CALLER, POSITION);
    assert!(balancer.receive(&segment));
    for _ in 0..45 {
        balancer.advance(Span::from_millis(200));
        assert!(balancer.receive(&segment));
    }
    assert_eq!(balancer.queries, usize::from(AGENTS), "one search in nine seconds");
    // Nothing tells the balancer that the agent has learned the flow from its upstream.
    balancer.agents[0].flows.insert(segment.flow.key(), segment.acknowledged);
    balancer.advance(Span::from_millis(1_500));
    assert!(!balancer.receive(&segment));
}

/// Guards against resets of a later flow between the same addresses that was opened at another
/// balancer. Late segments of the earlier flow are still reset.
#[test]
fn a_verdict_does_not_hold_for_a_later_flow() {
    let mut balancer = Balancer::new(AGENTS);
    let (earlier, later) = (segment(CALLER, POSITION), segment(CALLER, LATER_POSITION));
    assert!(balancer.receive(&earlier));
    balancer.agents[1].flows.insert(later.flow.key(), later.acknowledged);
    assert!(balancer.receive(&earlier));
    assert!(!balancer.receive(&later));
    assert_eq!(balancer.carried, [(instance(2), later)]);
}

/// Guards against a reset of a flow that was opened anew: an opening segment replaces the verdict,
/// and its copies go to the same agent.
#[test]
fn an_opening_segment_replaces_a_verdict() {
    let mut balancer = Balancer::new(AGENTS);
    assert!(balancer.receive(&segment(CALLER, POSITION)));
    assert!(!balancer.receive(&opening(CALLER)));
    let key = opening(CALLER).flow.key();
    let position = segment(CALLER, LATER_POSITION).acknowledged;
    balancer.agents.iter_mut().for_each(|agent| _ = agent.flows.insert(key, position));
    assert!(!balancer.receive(&segment(CALLER, LATER_POSITION)));
    assert_eq!(balancer.carried.len(), 1);
    assert!(!balancer.receive(&opening(CALLER)), "a late copy");
    assert!(!balancer.receive(&segment(CALLER, LATER_POSITION)));
    assert_eq!(balancer.carried[0], balancer.carried[1]);
}

/// Guards against a reset of a flow that was opened anew while the search for the owner of the
/// earlier flow between the same addresses was running.
#[test]
fn a_search_for_an_earlier_flow_resets_no_later_one() {
    let mut balancer = Balancer::new(AGENTS);
    balancer.agents[0].running = false;
    assert!(!balancer.receive(&segment(CALLER, POSITION)), "one agent has not answered");
    assert!(!balancer.receive(&opening(CALLER)));
    balancer.agents[0].running = true;
    balancer.advance(Span::from_millis(500));
    assert!(!balancer.has_reset());
    let key = opening(CALLER).flow.key();
    let position = segment(CALLER, LATER_POSITION).acknowledged;
    balancer.agents.iter_mut().for_each(|agent| _ = agent.flows.insert(key, position));
    assert!(!balancer.receive(&segment(CALLER, LATER_POSITION)));
}

/// Guards against a reset of a flow whose agent answers, because an earlier flow between the same
/// addresses was at an agent that has failed. Another balancer forwarded the opening segment.
#[test]
fn the_loss_of_an_owner_does_not_hold_for_a_later_flow() {
    let mut balancer = balancer_with_owner();
    balancer.receive(&segment(CALLER, POSITION));
    silence_owner(&mut balancer);
    let later = segment(CALLER, LATER_POSITION);
    balancer.agents[1].flows.insert(later.flow.key(), later.acknowledged);
    balancer.carried.clear();
    assert!(!balancer.receive(&later));
    balancer.advance(Span::from_millis(200));
    assert!(!balancer.has_reset());
    assert_eq!(balancer.carried, [(instance(2), later)]);
}
