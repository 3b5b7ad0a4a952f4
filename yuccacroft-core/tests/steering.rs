//! Tests of the flow cache of a balancer.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Incarnation, Instance},
        steering::{CachedFlow, SteeringTable},
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

/// Guards against memory growth from flows that have exceeded the operator's idle timeout, and
/// against the removal of flows that are in use.
#[test]
fn idle_flows_are_removed_after_the_timeout() {
    let table = SteeringTable::new();
    let idle_timeout = Some(Span::from_secs(15));
    table.set_owner(FLOW, owner(), START);
    table.touch(FLOW, at(10));
    table.expire(idle_timeout, at(20));
    assert_eq!(table.get(FLOW), Some(CachedFlow::Owned { owner: owner(), at: at(10) }));
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
    assert_eq!(table.get(FLOW), Some(CachedFlow::Owned { owner: owner(), at: at(1) }));
}

/// Guards against a search for each segment of a lost flow, and against a loss that is kept
/// permanently, since callers reuse their ports.
#[test]
fn a_lost_flow_is_kept_for_a_limited_time() {
    let table = SteeringTable::new();
    table.mark_lost(FLOW, START);
    table.expire(None, at(9));
    assert_eq!(table.touch(FLOW, at(9)), Some(CachedFlow::Lost { at: START, detected_at: START }));
    table.expire(None, at(11));
    assert_eq!(table.get(FLOW), None);
}
