//! Tests of members that do not answer one balancer but answer other members.

use {
    std::collections::{BTreeMap, BTreeSet},
    yuccacroft_core::{
        flow::AgentId,
        ids::{Domain, Incarnation, Instance},
        pool::{
            AgentEntry, AgentLoad, AgentPhase, Pool, Reachability,
            indirect::{Condition, Ping, Report},
        },
        route::ServiceName,
        time::{Moment, Span},
        units::Slots,
    },
};

const START: Moment = Moment::new(1_000_000);
/// Time between two calls of a balancer for indirect pings.
const ROUND_MS: u64 = 100;

fn instance(number: u8) -> Instance {
    Instance::new(std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000))
}

fn agent_id(number: u8, incarnation: u64) -> AgentId {
    AgentId { instance: instance(number), incarnation: Incarnation::new(incarnation) }
}

fn domain(name: &str) -> Domain {
    Domain::new(name).unwrap()
}

fn entry(number: u8, domain_name: &str) -> AgentEntry {
    AgentEntry {
        agent_id: agent_id(number, 2),
        entry_version: 1,
        target: ServiceName::new("booking").target(),
        domain: domain(domain_name),
        slots: Slots::new(4),
        phase: AgentPhase::Ready,
        succeeds: false,
    }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn pool(count: u8) -> Pool {
    let pool = Pool::new();
    for number in 1..=count {
        pool.upsert(entry(number, "a"), START);
    }
    pool
}

/// Lets members answer a ping at once.
fn answer(pool: &Pool, numbers: impl Iterator<Item = u8>, millis: u64) {
    for number in numbers {
        pool.record_query(instance(number), at(millis));
        pool.record_answer(agent_id(number, 2), AgentLoad::default(), at(millis + 1));
    }
}

fn is_lost(pool: &Pool, number: u8, now: Moment) -> bool {
    let loss_timeout = pool.loss_timeout(now);
    pool.get(instance(number)).unwrap().is_lost(loss_timeout, now)
}

/// Silences the first `silent` of `count` members from the start on, while the others answer every
/// 100 ms. The members in `alive` answer indirect pings. Returns all pings with their times.
fn run(pool: &Pool, silent: u8, count: u8, alive: &[u8], until: u64) -> Vec<(u64, Ping)> {
    let mut sent = Vec::new();
    (1..=silent).for_each(|number| pool.record_query(instance(number), START));
    for millis in (ROUND_MS..=until).step_by(ROUND_MS as usize) {
        answer(pool, silent + 1..=count, millis - 2);
        for ping in pool.indirect_pings(&domain("a"), at(millis)) {
            sent.push((millis, ping));
            let answering = alive.iter().find(|number| instance(**number) == ping.suspect);
            if let Some(&number) = answering {
                let id = agent_id(number, 2);
                pool.record_indirect_answer(id, Condition::Running, ping.via, at(millis));
            }
        }
        pool.loss_timeout(at(millis));
    }
    sent
}

/// Guards against resets of flows whose agent does not answer one balancer, although other agents
/// reach it.
#[test]
fn a_member_that_others_reach_is_not_lost() {
    let pool = pool(8);
    run(&pool, 2, 8, &[1], 5_000);
    let now = at(5_000);
    assert!(!is_lost(&pool, 1, now));
    assert!(is_lost(&pool, 2, now), "it answers nobody");
    let member = |number| pool.get(instance(number)).unwrap();
    assert!(member(1).is_only_reached_by_others(now) && !member(2).is_only_reached_by_others(now));
    // New flows avoid it nevertheless.
    assert_eq!(member(1).reachability(now), Reachability::Lost);
    let Report { pings, answers, answer_age, via } = member(1).indirect_report(now);
    assert!(pings >= 20 && answers == pings && via.is_some());
    assert!(answer_age.is_some_and(|age| age <= Span::from_millis(300)));
    let report = member(2).indirect_report(now);
    assert!(report.pings >= 20);
    assert_eq!((report.answers, report.answer_age, report.via), (0, None, None));
}

/// Guards against flows of a failed agent that stay for longer because others are asked about it,
/// also if it fails after its path to this balancer has.
#[test]
fn a_member_that_answers_nobody_is_lost_as_soon_as_before() {
    let dead = pool(20);
    run(&dead, 1, 20, &[], 1_000);
    let timeout = Span::from_millis(1_075);
    assert_eq!(dead.loss_timeout(at(1_000)), Some(timeout));
    assert!(!is_lost(&dead, 1, at(1_074)) && is_lost(&dead, 1, at(1_075)));
    let cut = pool(20);
    let pings = run(&cut, 1, 20, &[1], 2_000);
    let last = pings.last().unwrap().0;
    answer(&cut, 2..=20, last + 1_000);
    assert!(!is_lost(&cut, 1, at(last + 1_074)) && is_lost(&cut, 1, at(last + 1_075)));
}

/// Guards against a balancer that forgets an agent which the store has lost and only others reach:
/// its flows would count as lost, since no search asks it.
#[test]
fn an_unlisted_member_that_others_reach_stays() {
    let pool = pool(4);
    pool.sync_listing(|listed| listed != instance(1) && listed != instance(2), START);
    run(&pool, 2, 4, &[1], 4_000);
    assert_eq!(pool.expire(at(4_000)), [agent_id(2, 2)]);
}

/// Guards against an agent that is left out after a power loss as one that has not started, though
/// others reach it.
#[test]
fn a_member_that_others_reach_is_not_absent() {
    let pool = pool(4);
    run(&pool, 2, 4, &[1], 600);
    let absent = |number| pool.get(instance(number)).unwrap().is_absent(at(600));
    assert!(!absent(1) && absent(2));
}

/// Guards against flows that stay because an earlier process at the address was alive, or although
/// the upstream has announced its end, and against resets while a stopped agent restarts.
#[test]
fn the_incarnation_and_the_condition_of_the_answer_count() {
    let pool = pool(8);
    (1..=4).for_each(|number| pool.record_query(instance(number), START));
    let answers = [
        (agent_id(1, 1), Condition::Running),
        (agent_id(2, 3), Condition::Running),
        (agent_id(3, 2), Condition::Ended),
        (agent_id(4, 2), Condition::Stopping),
    ];
    for (agent_id, condition) in answers {
        pool.record_indirect_answer(agent_id, condition, instance(8), at(1_000));
    }
    answer(&pool, 5..=8, 1_750);
    let lost = |now| [1, 2, 3, 4].map(|number| is_lost(&pool, number, now));
    assert_eq!(lost(at(1_760)), [true, false, true, false]);
    assert!(pool.get(instance(2)).unwrap().has_restarted());
    answer(&pool, 5..=8, 4_000);
    assert_eq!(lost(at(4_010)), [true, true, true, false]);
}

/// Guards against an earlier silence that makes a later one inconclusive.
#[test]
fn a_message_of_the_member_ends_its_indirect_contact() {
    let pool = pool(4);
    run(&pool, 1, 4, &[1], 1_000);
    answer(&pool, 1..=4, 1_050);
    assert_eq!(pool.get(instance(1)).unwrap().indirect_report(at(1_060)), Report::default());
    assert!(pool.indirect_pings(&domain("a"), at(1_200)).is_empty());
}

/// Guards against a link that indirect pings fill while many members are silent, and against
/// members that count as lost before any other member was asked.
#[test]
fn indirect_pings_are_limited_and_reach_every_suspect_before_its_loss() {
    let pool = pool(62);
    let pings = run(&pool, 46, 62, &[], 10_000);
    let mut per_second = BTreeMap::<u64, usize>::new();
    pings.iter().for_each(|(millis, _)| *per_second.entry(millis / 1_000).or_default() += 1);
    assert!(per_second.values().all(|pings| *pings <= 200), "{per_second:?}");
    let before_loss = pings.iter().filter(|(millis, _)| *millis < 1_000);
    let mut asked = BTreeMap::<Instance, BTreeSet<Instance>>::new();
    for (_, ping) in before_loss {
        asked.entry(ping.suspect).or_default().insert(ping.via);
    }
    assert!(asked.len() == 46 && asked.values().all(|via| via.len() >= 2), "{asked:?}");
    let alone = run(&self::pool(62), 1, 62, &[], 10_000);
    assert!((80..=120).contains(&alone.len()), "{}", alone.len());
}

/// Guards against members that are asked although they are silent or late themselves, and against
/// pings while nobody can be asked.
#[test]
fn only_members_that_answer_in_time_are_asked() {
    let pool = pool(4);
    for number in 1..=4 {
        pool.record_query(instance(number), START);
    }
    pool.record_answer(agent_id(3, 2), AgentLoad::default(), at(10));
    pool.record_answer(agent_id(4, 2), AgentLoad::default(), at(200));
    let pings = pool.indirect_pings(&domain("a"), at(400));
    let expected = [1, 2].map(|number| Ping { via: instance(3), suspect: instance(number) });
    assert_eq!(pings, expected);
    let silent = self::pool(3);
    (1..=3).for_each(|number| silent.record_query(instance(number), START));
    assert!(silent.indirect_pings(&domain("a"), at(900)).is_empty());
}

/// Guards against a partition between failure domains that hides an agent from all that are asked:
/// they must be in several domains, others first.
#[test]
fn members_of_other_failure_domains_are_asked_first() {
    let pool = Pool::new();
    for number in 1..=30 {
        let name = ["a", "a", "a", "b", "c"][usize::from(number) % 5];
        pool.upsert(entry(number, name), START);
    }
    let pings = run(&pool, 1, 30, &[], 5_000);
    let mut domains = BTreeMap::<u64, Vec<Domain>>::new();
    for (millis, ping) in &pings {
        let member = pool.get(ping.via).unwrap();
        domains.entry(*millis).or_default().push(member.entry.domain);
    }
    let has = |round: &[Domain], name| round.contains(&domain(name));
    assert!(domains.values().all(|round| has(round, "b") && has(round, "c")), "{domains:?}");
    let asked: BTreeSet<Instance> = pings.iter().map(|(_, ping)| ping.via).collect();
    assert!(asked.len() >= 10, "other members are asked in each round");
}
