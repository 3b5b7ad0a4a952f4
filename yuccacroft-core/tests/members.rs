//! Members under faults: suspicion, later lives, entries that return, and lost failure domains.

mod contracts;

use {
    contracts::{customer, entry, instance},
    std::sync::Arc,
    yuccacroft_core::{
        controller::Controller,
        gossip::entry::Item,
        ids::{Incarnation, Instance},
        member::{
            self, Entry, Phase, Record, Standing,
            membership::{Event, FailureTimeouts, Membership},
        },
        placement::Candidate,
        time::{Moment, Span},
        units::Weight,
    },
    yuccacroft_fakes::fleet::{self, Fleet, FleetConfig},
};

const SEEDS: u64 = 3;

fn at(seconds: u64) -> Moment {
    Moment::default() + Span::from_secs(seconds)
}

/// A roster that is the only registrar.
fn alone() -> Membership {
    let mut roster = Membership::new(FleetConfig::node(0), FailureTimeouts::default());
    roster.step(Event::Peers(vec![(FleetConfig::node(0), fleet::domain(0))]), at(0));
    roster
}

fn candidates(roster: &Membership) -> Vec<Candidate> {
    roster.candidates(&customer(), &"booking".parse().unwrap())
}

fn weight(roster: &Membership, instance: Instance) -> Option<u32> {
    let found = candidates(roster).into_iter().find(|c| c.hop.instance == instance);
    found.map(|candidate| candidate.weight.get())
}

/// Guards against a removal without warning: suspicion lowers the weight first. A roster without
/// a suspicion would show the full weight in between.
#[test]
fn silence_lowers_the_weight_and_then_removes() {
    let mut roster = alone();
    roster.step(Event::Announced(entry(1, 1)), at(0));
    roster.step(Event::Announced(entry(2, 2)), at(0));
    for second in 1..=12 {
        roster.step(Event::Announced(entry(2, 2)), at(second));
        roster.step(Event::Tick, at(second));
        let expected = match second {
            0..5 => Some(100),
            5..10 => Some(25),
            _ => None,
        };
        assert_eq!(weight(&roster, instance(1)), expected, "after {second} s");
        assert_eq!(weight(&roster, instance(2)), Some(100));
    }
}

/// Guards against a member that stays suspected although it is heard: a newer version of its
/// entry is trusted, the same version is not.
#[test]
fn newer_version_refutes_a_suspicion() {
    let mut roster = alone();
    roster.step(Event::Announced(entry(1, 1)), at(0));
    roster.step(Event::Tick, at(6));
    assert_eq!(roster.refutation(instance(1), at(6)), Some(1));
    roster.step(Event::Announced(entry(1, 1)), at(7));
    assert_eq!(roster.standing(instance(1)), Some(Standing::Suspected));
    roster.step(Event::Announced(Entry { version: 2, ..entry(1, 1) }), at(7));
    assert_eq!(roster.standing(instance(1)), Some(Standing::Trusted));
}

/// Guards against a registrar with a bad link that suspects the same member again and again.
#[test]
fn wrong_suspicion_makes_a_registrar_patient() {
    let mut roster = alone();
    roster.step(Event::Announced(entry(1, 1)), at(0));
    roster.step(Event::Tick, at(5));
    let refuted =
        Record { entry: Entry { version: 2, ..entry(1, 1) }, standing: Standing::Trusted };
    roster.step(Event::Learned(Arc::new(refuted)), at(6));
    roster.step(Event::Tick, at(15));
    assert_eq!(roster.standing(instance(1)), Some(Standing::Trusted));
    roster.step(Event::Tick, at(16));
    assert_eq!(roster.standing(instance(1)), Some(Standing::Suspected));
}

/// Guards against an earlier life at the same address that replaces the later one, also when it
/// belonged to another service.
#[test]
fn later_life_replaces_the_earlier() {
    let mut roster = alone();
    let earlier = Entry { service: "pack".parse().unwrap(), version: 90, ..entry(1, 1) };
    let later = Entry { incarnation: Incarnation::new(2_000), version: 0, ..entry(1, 1) };
    roster.step(Event::Announced(earlier.clone()), at(0));
    roster.step(Event::Announced(later), at(1));
    roster.step(Event::Announced(earlier.clone()), at(2));
    let record = Record { entry: earlier, standing: Standing::Trusted };
    roster.step(Event::Learned(Arc::new(record)), at(3));
    assert_eq!(weight(&roster, instance(1)), Some(100));
    assert!(roster.candidates(&customer(), &"pack".parse().unwrap()).is_empty());
}

/// Guards against an old entry that brings a member back that has left. Behind the time for which
/// the entry is kept it does come back, so that the kept entry is what prevents it.
#[test]
fn member_that_left_does_not_return() {
    let mut roster = alone();
    let old = Arc::new(Record { entry: entry(1, 1), standing: Standing::Trusted });
    roster.step(Event::Announced(entry(1, 1)), at(0));
    let left = Entry { phase: Phase::Left, version: 2, ..entry(1, 1) };
    roster.step(Event::Announced(left), at(1));
    roster.step(Event::Tick, at(500));
    roster.step(Event::Learned(old.clone()), at(500));
    assert_eq!(weight(&roster, instance(1)), None);
    roster.step(Event::Tick, at(700));
    roster.step(Event::Learned(old), at(700));
    assert_eq!(weight(&roster, instance(1)), Some(100));
}

/// Guards against a balancer without any upstream because it is itself cut off.
#[test]
fn balancer_that_hears_nobody_goes_on() {
    let mut roster = alone();
    roster.step(Event::Announced(entry(1, 1)), at(0));
    roster.step(Event::Announced(entry(2, 2)), at(0));
    roster.step(Event::Tick, at(6));
    roster.step(Event::Tick, at(20));
    assert_eq!(roster.standing(instance(1)), Some(Standing::Lost));
    assert_eq!(candidates(&roster).len(), 2);
}

/// Guards against a member that drains and gets new flows, or is forgotten while it has flows.
#[test]
fn draining_member_stays_with_weight_zero() {
    let mut roster = alone();
    roster.step(Event::Announced(entry(1, 1)), at(0));
    roster.step(Event::Announced(entry(2, 2)), at(0));
    let draining = Entry { phase: Phase::Draining, version: 2, ..entry(1, 1) };
    roster.step(Event::Announced(draining), at(1));
    assert_eq!(weight(&roster, instance(1)), Some(0));
}

fn fleet(balancers: usize, domains: usize, members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig { balancers, domains, seed, ..FleetConfig::default() });
    fleet.run(Span::from_secs(2));
    for index in 0..members {
        fleet.add_agent(entry(index, index % domains));
    }
    fleet.run(Span::from_secs(15));
    fleet
}

fn suspicions(fleet: &Fleet, node: usize) -> usize {
    let items = fleet.exchange(node).table().iter();
    let members = items.filter_map(|item| match item {
        Item::Member(record) => Some(record),
        _ => None,
    });
    members.filter(|record| record.standing != Standing::Trusted).count()
}

fn outages(fleet: &Fleet, node: usize) -> Vec<bool> {
    let items = fleet.exchange(node).table().iter();
    let outages = items.filter_map(|item| match item {
        Item::Outage(outage) => Some(outage.is_lost()),
        _ => None,
    });
    outages.collect()
}

/// Guards against members that some balancers never learn of, and against a death that only the
/// registrars notice.
#[test]
fn death_of_a_member_is_known_everywhere() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(6, 3, 12, seed);
        for node in 0..6 {
            assert_eq!(candidates(fleet.membership(node)).len(), 12);
        }
        fleet.set_agent_alive(instance(4), false);
        fleet.run(Span::from_secs(25));
        for node in 0..6 {
            assert_eq!(weight(fleet.membership(node), instance(4)), None, "seed {seed}");
            assert_eq!(candidates(fleet.membership(node)).len(), 11, "seed {seed}");
        }
    }
}

/// Guards against a death that nobody notices because the registrars died with the member.
#[test]
fn new_registrars_notice_a_death_with_the_old_ones() {
    let mut fleet = fleet(6, 3, 6, 1);
    let registrars = fleet.membership(0).registrars(instance(2));
    fleet.set_agent_alive(instance(2), false);
    let survivors: Vec<usize> =
        (0..6).filter(|&node| !registrars.contains(&FleetConfig::node(node))).collect();
    (0..6).filter(|node| !survivors.contains(node)).for_each(|node| fleet.kill(node));
    fleet.run(Span::from_secs(60));
    for node in survivors {
        assert_eq!(weight(fleet.membership(node), instance(2)), None);
    }
}

/// Guards against one record a member when a whole failure domain is lost with its balancers, and
/// against its members staying away when it returns. A single dead member of the domain is found
/// afterwards.
#[test]
fn loss_of_a_domain_is_one_record() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(9, 3, 60, seed);
        let lost: Vec<usize> = (0..60).filter(|index| index % 3 == 1).collect();
        lost.iter().for_each(|&index| fleet.set_agent_alive(instance(index), false));
        fleet.set_partition(|a, b| (a % 3 == 1) != (b % 3 == 1));
        fleet.run(Span::from_secs(40));
        for node in [0, 2, 3, 5, 6, 8] {
            assert_eq!(outages(&fleet, node), [true], "seed {seed}");
            assert_eq!(suspicions(&fleet, node), 0, "seed {seed}");
            assert_eq!(candidates(fleet.membership(node)).len(), 40, "seed {seed}");
        }
        fleet.set_partition(|_, _| false);
        lost.iter().skip(1).for_each(|&index| fleet.set_agent_alive(instance(index), true));
        fleet.run(Span::from_secs(90));
        for node in 0..9 {
            assert_eq!(candidates(fleet.membership(node)).len(), 59, "seed {seed} balancer {node}");
        }
    }
}

/// Guards against weights that are unequal on balancers for long: all hold the same entries.
#[test]
fn all_balancers_agree_on_the_members() {
    let mut fleet = fleet(30, 3, 50, 2);
    let changed = Entry { weight: Weight::new(7), version: 5, ..entry(3, 0) };
    fleet.add_agent(changed);
    fleet.run(Span::from_secs(10));
    for node in 0..30 {
        assert_eq!(weight(fleet.membership(node), instance(3)), Some(7), "balancer {node}");
        assert_eq!(candidates(fleet.membership(node)).len(), 50);
    }
}

/// Shows that the record of the domain is what keeps the members from being suspected one by one:
/// a domain below the size for which it exists has one record a member.
#[test]
fn small_domain_is_suspected_member_by_member() {
    let mut fleet = fleet(9, 3, 12, 1);
    (0..12).filter(|index| index % 3 == 1).for_each(|i| fleet.set_agent_alive(instance(i), false));
    fleet.run(Span::from_secs(40));
    assert!(outages(&fleet, 0).is_empty());
    assert_eq!(suspicions(&fleet, 0), 4);
}

/// Guards against judges of a large domain that receive a report a member, and against members
/// suspected one by one because a sample of them decides: 600 members are lost at once. Reports
/// of all of them by two registrars to two judges would be 2,400.
#[test]
fn loss_of_a_large_domain_is_told_by_a_sample() {
    // At most 128 members, two registrars, two judges, told again once before the decision.
    const MOST_REPORTS: usize = 128 * 2 * 2 * 2;
    let mut fleet = fleet(6, 3, 0, 1);
    fleet.add_known_agents((0..1_800).map(|index| entry(index, index % 3)).collect());
    fleet.run(Span::from_secs(15));
    (0..1_800)
        .filter(|index| index % 3 == 1)
        .for_each(|i| fleet.set_agent_alive(instance(i), false));
    fleet.run(Span::from_secs(30));
    assert_eq!(outages(&fleet, 0), [true]);
    assert_eq!(suspicions(&fleet, 0), 0);
    assert_eq!(candidates(fleet.membership(0)).len(), 1_200);
    assert!(fleet.report_count() < MOST_REPORTS, "{} reports", fleet.report_count());
}

/// Guards against a return of a lost domain that brings a new version of each member's entry to
/// all balancers, and against a member that stays out although the rest of its domain does not
/// return.
#[test]
fn return_of_a_domain_changes_no_entry() {
    let mut fleet = fleet(6, 3, 60, 1);
    let lost: Vec<usize> = (0..60).filter(|index| index % 3 == 1).collect();
    lost.iter().for_each(|&index| fleet.set_agent_alive(instance(index), false));
    fleet.run(Span::from_secs(30));
    let versions = |fleet: &Fleet| -> Vec<u32> {
        let entries = fleet.membership(0).iter();
        entries.map(|entry| entry.version).collect()
    };
    assert_eq!(outages(&fleet, 0), [true]);
    fleet.set_agent_alive(instance(1), true);
    fleet.run(Span::from_secs(30));
    assert_eq!(weight(fleet.membership(0), instance(1)), Some(100));
    let before = versions(&fleet);
    lost.iter().for_each(|&index| fleet.set_agent_alive(instance(index), true));
    fleet.run(Span::from_secs(30));
    assert_eq!(outages(&fleet, 0), [false]);
    assert_eq!(candidates(fleet.membership(0)).len(), 60);
    assert_eq!(versions(&fleet), before);
}

/// Guards against an agent that is ignored for good after its wall clock stepped back, and against
/// one that follows a number no clock can have shown.
#[test]
fn later_life_exceeds_the_known_one_behind_a_clock_step() {
    let next_incarnation = |own, known| {
        member::next_incarnation(Incarnation::new(own), Incarnation::new(known))
            .map(Incarnation::get)
    };
    assert_eq!(next_incarnation(1_000, 999), Some(1_000));
    assert_eq!(next_incarnation(1_000, 1_000), Some(1_001));
    assert_eq!(next_incarnation(1_000, 31_000), Some(31_001));
    assert_eq!(next_incarnation(1_000, u64::MAX), None);
}
