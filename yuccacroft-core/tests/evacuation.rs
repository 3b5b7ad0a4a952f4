//! Tests of the evacuation of failure domains: what balancers know of it, what agents do with their
//! notices, and where new flows go meanwhile.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        evacuation::{Change, Evacuations, Notice, Status},
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance, Revision},
        pool::{AgentEntry, AgentLoad, AgentPhase, Exclusion, Pool},
        route::{ServiceName, Target},
        time::Moment,
        units::Slots,
    },
};

const START: Moment = Moment::new(1_000_000);

fn domain(name: &str) -> Domain {
    Domain::new(name).unwrap()
}

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn entry(number: u8, name: &str) -> AgentEntry {
    let instance = Instance::new(SocketAddrV4::new([10, 0, 0, number].into(), 7_000));
    AgentEntry {
        agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        entry_version: 1,
        target: target(),
        domain: domain(name),
        slots: Slots::new(2),
        phase: AgentPhase::Ready,
        succeeds: false,
    }
}

fn change(name: &str, is_evacuated: bool) -> Change {
    Change { domain: domain(name), is_evacuated }
}

fn notice(revision: u64, is_evacuated: bool) -> Notice {
    Notice { revision: Revision::new(revision), is_evacuated }
}

fn write(evacuations: &mut Evacuations, name: &str, revision: u64) -> Vec<Change> {
    evacuations.apply_changes([domain(name)], [], Revision::new(revision), START)
}

fn remove(evacuations: &mut Evacuations, name: &str, revision: u64) -> Vec<Change> {
    evacuations.apply_changes([], [domain(name)], Revision::new(revision), START)
}

/// Returns a pool with one member in each of the domains a, b and c.
fn pool() -> Pool {
    let pool = Pool::new();
    for (number, name) in [(1, "a"), (2, "b"), (3, "c")] {
        pool.upsert(entry(number, name), START);
    }
    pool
}

fn choose(pool: &Pool) -> Vec<Instance> {
    let mut chosen = pool.choose(target(), &domain("a"), FlowKey::new(7), 8, START);
    chosen.sort_unstable();
    chosen
}

/// Guards against a domain that stays evacuated because its end was in a part of the history that the
/// store has forgotten.
#[test]
fn a_listing_takes_back_what_it_lacks() {
    let mut evacuations = Evacuations::default();
    assert_eq!(write(&mut evacuations, "a", 5), [change("a", true)]);
    let listed = [domain("b")].into();
    let changes = evacuations.apply_listing(listed, Revision::new(9), START);
    assert_eq!(changes, [change("a", false), change("b", true)]);
    assert_eq!(evacuations.notice(&domain("a")), notice(9, false));
    assert_eq!(evacuations.notice(&domain("b")), notice(9, true));
}

/// Guards against a return to an earlier state by an answer that comes late.
#[test]
fn an_earlier_revision_changes_nothing() {
    let mut evacuations = Evacuations::default();
    write(&mut evacuations, "a", 9);
    assert_eq!(remove(&mut evacuations, "a", 8), []);
    assert_eq!(evacuations.apply_listing([].into(), Revision::new(8), START), []);
    assert!(evacuations.contains(&domain("a")));
}

/// Guards against notices about a domain that was released and evacuated again between two reads.
#[test]
fn only_changes_are_reported() {
    let mut evacuations = Evacuations::default();
    write(&mut evacuations, "a", 5);
    assert_eq!(write(&mut evacuations, "a", 9), []);
    assert_eq!(evacuations.notice(&domain("a")), notice(9, true));
    assert_eq!(remove(&mut evacuations, "b", 10), []);
}

/// Guards against an agent that follows a balancer which has not read the latest change yet.
#[test]
fn an_agent_keeps_the_latest_notice() {
    let mut status = Status::default();
    assert!(status.record(notice(9, true), START));
    assert!(!status.record(notice(8, false), START));
    assert!(!status.record(notice(9, true), START));
    assert_eq!(status.since(), Some(START));
    assert!(status.record(notice(10, false), START));
    assert!(!status.record(notice(9, true), START));
    assert!(!status.is_evacuated());
}

/// Guards against new flows at members of an evacuated domain, also at those that join during the
/// evacuation, and against a domain that gets none after its end.
#[test]
fn new_flows_avoid_an_evacuated_domain() {
    let pool = pool();
    pool.update_evacuations(|evacuations| write(evacuations, "a", 5));
    pool.upsert(entry(4, "a"), START);
    let instance = |number: u8| entry(number, "a").agent_id.instance;
    assert_eq!(choose(&pool), [instance(2), instance(3)]);
    assert_eq!(pool.get(instance(4)).unwrap().exclusion(), Some(Exclusion::Evacuated));
    pool.update_evacuations(|evacuations| remove(evacuations, "a", 6));
    assert_eq!(choose(&pool), [instance(1), instance(2), instance(3), instance(4)]);
}

/// Guards against callers that wait for a service that nobody may serve, and against refusals while
/// one domain is left.
#[test]
fn a_service_is_evacuated_with_its_last_domain() {
    let pool = pool();
    for (revision, name) in [(5, "a"), (6, "b"), (7, "c")] {
        assert!(!pool.is_evacuated(target()));
        pool.update_evacuations(|evacuations| write(evacuations, name, revision));
    }
    assert!(pool.is_evacuated(target()));
    assert!(!pool.is_evacuated(ServiceName::new("packs").target()));
}

/// Guards against agents that have restarted or missed a message: those of evacuated domains are told
/// again, and so are those that take no flow after the end of an evacuation.
#[test]
fn notices_are_repeated_until_agents_confirm() {
    let pool = pool();
    assert_eq!(pool.evacuation_notices(), []);
    pool.update_evacuations(|evacuations| write(evacuations, "a", 5));
    let agent_id = entry(1, "a").agent_id;
    pool.record_load(agent_id, AgentLoad { accepting: true, ..AgentLoad::default() }, START);
    assert_eq!(pool.evacuation_notices(), [(agent_id.instance, notice(5, true))]);
    pool.record_load(agent_id, AgentLoad::default(), START);
    pool.update_evacuations(|evacuations| remove(evacuations, "a", 6));
    assert_eq!(pool.evacuation_notices(), [(agent_id.instance, notice(6, false))]);
    pool.record_load(agent_id, AgentLoad { accepting: true, ..AgentLoad::default() }, START);
    assert_eq!(pool.evacuation_notices(), []);
}
