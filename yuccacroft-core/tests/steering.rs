//! Tests of the flow cache of a balancer.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Incarnation, Instance},
        pool::EvidenceVersion,
        segment::{Control, Flow, Segment, Sequence},
        steering::{CachedFlow, LossVerdict, SteeringTable},
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const FLOW: FlowKey = FlowKey::new(7);

fn instance(number: u8) -> Instance {
    Instance::new(SocketAddrV4::new([10, 0, 0, number].into(), 7000))
}

fn owner() -> AgentId {
    AgentId { instance: instance(1), incarnation: Incarnation::new(1) }
}

fn at(seconds: u64) -> Moment {
    START + Span::from_secs(seconds)
}

fn segment(acknowledged: u32) -> Segment {
    Segment {
        flow: Flow { caller: instance(8).address(), address: instance(9).address() },
        control: Control::Continue,
        sequence: Sequence::new(1),
        acknowledged: Sequence::new(acknowledged),
        length: 0,
    }
}

fn owned_since(at: Moment, acknowledged: Option<Sequence>) -> CachedFlow {
    CachedFlow::Owned { owner: owner(), at, acknowledged }
}

fn verdict(detected_at: Moment) -> LossVerdict {
    let (acknowledged, evidence) = (Sequence::new(1), EvidenceVersion::new(3));
    LossVerdict { detected_at, acknowledged, evidence }
}

/// Guards against memory growth from flows that have exceeded the operator's idle timeout, and
/// against the removal of flows that are in use.
#[test]
fn idle_flows_are_removed_after_the_timeout() {
    let table = SteeringTable::new();
    let idle_timeout = Some(Span::from_secs(15));
    table.set_owner(FLOW, owner(), START);
    table.touch(FLOW, &segment(1), at(10));
    table.expire(idle_timeout, at(20));
    assert_eq!(table.get(FLOW), Some(owned_since(at(10), Some(Sequence::new(1)))));
    table.expire(idle_timeout, at(26));
    assert!(table.is_empty());
    table.set_owner(FLOW, owner(), START);
    table.expire(None, at(59));
    assert_eq!(table.len(), 1);
    table.expire(Some(Span::from_secs(3_600)), at(61));
    assert!(table.is_empty(), "a large idle timeout does not raise the bound");
}

/// Guards against a late answer to an offer that takes a flow away from its owner.
#[test]
fn an_owner_stays_when_an_offer_is_taken_late() {
    let table = SteeringTable::new();
    table.record_offer(FLOW, instance(2), START);
    table.set_owner(FLOW, owner(), at(1));
    table.record_taken(FLOW, instance(2), at(2));
    assert_eq!(table.get(FLOW), Some(owned_since(at(1), None)));
}

/// Guards against a wrong verdict that segments of the flow extend without end, and that stays when
/// the owner is found.
#[test]
fn the_time_of_a_loss_stays_when_segments_arrive() {
    let table = SteeringTable::new();
    assert!(table.mark_lost(FLOW, verdict(START)));
    assert_eq!(table.touch(FLOW, &segment(1), at(9)), Some(CachedFlow::Lost(verdict(START))));
    table.expire(None, at(10));
    assert_eq!(table.get(FLOW), None);
    assert!(table.mark_lost(FLOW, verdict(at(20))));
    assert_eq!(table.get(FLOW).and_then(CachedFlow::agent), None);
    assert!(table.mark_lost(FLOW, verdict(at(21))), "a second search found no owner");
    assert_eq!(table.get(FLOW), Some(CachedFlow::Lost(verdict(at(21)))));
    table.set_owner(FLOW, owner(), at(22));
    assert_eq!(table.get(FLOW).and_then(CachedFlow::agent), Some(instance(1)));
}

/// Guards against a search for an earlier flow that takes a later one with the same key for lost.
#[test]
fn a_verdict_replaces_no_offer_and_no_owner() {
    let table = SteeringTable::new();
    table.mark_lost(FLOW, verdict(START));
    table.record_offer(FLOW, instance(2), at(1));
    assert!(!table.mark_lost(FLOW, verdict(at(1))));
    assert_eq!(table.get(FLOW).and_then(CachedFlow::agent), Some(instance(2)));
    table.set_owner(FLOW, owner(), at(2));
    assert!(!table.mark_lost(FLOW, verdict(at(3))));
    assert_eq!(table.get(FLOW).and_then(CachedFlow::agent), Some(instance(1)));
}

/// Guards against a verdict that outlasts its evidence, and against one that resets a later flow
/// with the same key: its segments acknowledge other positions, also across the wrap-around.
#[test]
fn a_verdict_holds_for_one_flow_and_one_version_of_the_evidence() {
    let verdict = LossVerdict { acknowledged: Sequence::new(u32::MAX - 10), ..verdict(START) };
    let applies = |acknowledged, evidence| {
        verdict.applies_to(&segment(acknowledged), EvidenceVersion::new(evidence))
    };
    assert!(applies(u32::MAX - 10, 3) && applies(19_200, 3) && applies(u32::MAX - 19_200, 3));
    assert!(!applies(u32::MAX - 10, 4));
    assert!(!applies(100_000, 3) && !applies(u32::MAX - 100_000, 3) && !applies(1 << 31, 3));
}

/// Guards against a search for each segment of a lost flow, and against a loss that is kept
/// permanently, since callers reuse their ports.
#[test]
fn a_lost_flow_is_kept_for_a_limited_time() {
    let table = SteeringTable::new();
    table.mark_lost(FLOW, verdict(START));
    table.expire(None, at(9));
    assert_eq!(table.touch(FLOW, &segment(1), at(9)), Some(CachedFlow::Lost(verdict(START))));
    table.expire(None, at(11));
    assert_eq!(table.get(FLOW), None);
}

/// Guards against the silence of an owner that is held against a later flow with the same key. The
/// positions of one flow advance in small steps, and those of the later one change nothing.
#[test]
fn segments_of_another_flow_are_told_from_those_of_the_owned_one() {
    let table = SteeringTable::new();
    table.set_owner(FLOW, owner(), START);
    for acknowledged in [1, 40_000, 80_000, 4_000_000, 120_000] {
        table.touch(FLOW, &segment(acknowledged), START);
    }
    let opening = Segment { control: Control::Open, ..segment(100_000) };
    let flow = table.touch(FLOW, &opening, START).unwrap();
    assert_eq!(flow, owned_since(START, Some(Sequence::new(120_000))));
    assert!(flow.is_other_flow(&segment(4_000_000)));
    assert!(!flow.is_other_flow(&segment(121_000)));
    assert!(!owned_since(START, None).is_other_flow(&segment(4_000_000)), "nothing is known");
}
