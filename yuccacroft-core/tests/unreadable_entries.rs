//! Tests of agents whose entries in the store cannot be read.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        controller::Controller,
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance},
        pool::{AgentEntry, AgentLoad, AgentPhase, Pool, UpsertResult},
        route::{ServiceName, Target},
        search::{Action, Event, QueryAnswer, Search, candidates::list_candidates},
        time::{Moment, Span},
        units::Slots,
    },
};

const START: Moment = Moment::new(10_000_000);
const KEY: FlowKey = FlowKey::new(7);

fn domain() -> Domain {
    Domain::new("a").unwrap()
}

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn agent(number: u8) -> AgentId {
    let address = SocketAddrV4::new([10, 0, 0, number].into(), 7_000);
    AgentId { instance: Instance::new(address), incarnation: Incarnation::new(5) }
}

fn load() -> AgentLoad {
    AgentLoad { accepting: true, ..AgentLoad::default() }
}

fn entry(agent_id: AgentId) -> AgentEntry {
    AgentEntry {
        agent_id,
        entry_version: 1,
        target: target(),
        domain: domain(),
        slots: Slots::new(4),
        phase: AgentPhase::Ready,
        succeeds: false,
    }
}

/// Returns a pool with one listed agent and one whose entry cannot be read, which both answer.
fn pool() -> Pool {
    let pool = Pool::new();
    pool.upsert(entry(agent(1)), START);
    pool.record_unreadable(agent(2).instance, &domain(), START);
    for number in [1, 2] {
        pool.record_query(agent(number).instance, START);
        pool.record_answer(agent(number), load(), START);
    }
    pool
}

/// Guards against a verdict that a flow is lost without the agent whose entry cannot be read.
#[test]
fn an_agent_with_an_unreadable_entry_is_asked() {
    let pool = pool();
    let mut search = Search::new(Moment::default(), START);
    let candidates = list_candidates(&pool, Some(target()), KEY, START);
    search.step(Event::Tick(candidates), START);
    let denial = QueryAnswer::Denies { age: Span::from_secs(60) };
    let actions = search.step(Event::Answered(agent(1), denial), START);
    assert!(!actions.contains(&Action::NotFound), "{actions:?}");
    let actions = search.step(Event::Answered(agent(2), QueryAnswer::Owns), START);
    assert_eq!(actions, [Action::Found(agent(2))]);
}

/// Guards against new flows at an agent of which only the address is known, and against an agent
/// that counts as restarted when its first entry is read.
#[test]
fn an_agent_with_an_unreadable_entry_gets_flows_once_it_is_read() {
    let pool = pool();
    let chosen = || pool.choose(target(), &domain(), KEY, 2, START);
    assert_eq!(chosen(), [agent(1).instance]);
    assert!(pool.get(agent(2).instance).is_some_and(|member| !member.is_listed()));
    assert_eq!(pool.upsert(entry(agent(2)), START), UpsertResult::Joined);
    assert_eq!(chosen().len(), 2);
    let member = pool.get(agent(2).instance).unwrap();
    assert!(member.is_listed() && !member.has_restarted());
}

/// Guards against searches that wait for ever for an address at which no agent is.
#[test]
fn an_address_without_an_agent_does_not_stay() {
    let pool = pool();
    let nobody = agent(3).instance;
    pool.record_unreadable(nobody, &domain(), START);
    for tenth in 0..60 {
        let now = START + Span::from_millis(tenth * 100);
        pool.record_query(nobody, now);
        for number in [1, 2] {
            pool.record_query(agent(number).instance, now);
            pool.record_answer(agent(number), load(), now);
        }
        pool.expire(now);
    }
    assert!(pool.get(nobody).is_none());
    assert!(pool.get(agent(2).instance).is_some(), "an agent that answers stays");
}

/// Guards against a known agent that is not told that its entry cannot be read.
#[test]
fn a_known_agent_counts_as_unlisted() {
    let pool = pool();
    pool.record_unreadable(agent(1).instance, &domain(), START);
    let member = pool.get(agent(1).instance).unwrap();
    assert!(!member.is_listed());
    assert_eq!(member.entry, entry(agent(1)));
}
