//! Failure detection of members: suspicion, restarts, outdated entries and lost failure domains.

mod contracts;

use {
    contracts::{customer, entry, instance},
    std::sync::Arc,
    yuccacroft_core::{
        controller::Controller,
        gossip::entry::GossipEntry,
        ids::{Incarnation, Instance},
        member::{
            self, Liveness, MemberEntry, MemberPhase, MemberRecord,
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

/// Returns the membership of a balancer without peers, which is the registrar of all members.
fn single_registrar() -> Membership {
    let mut membership = Membership::new(FleetConfig::node(0), FailureTimeouts::default());
    membership.step(Event::Peers(vec![(FleetConfig::node(0), fleet::domain(0))]), at(0));
    membership
}

fn candidates(membership: &Membership) -> Vec<Candidate> {
    membership.candidates(&customer(), &"booking".parse().unwrap())
}

fn weight(membership: &Membership, instance: Instance) -> Option<u32> {
    let found = candidates(membership).into_iter().find(|c| c.agent_id.instance == instance);
    found.map(|candidate| candidate.weight.get())
}

/// Guards against removing a silent member at once: suspicion lowers its weight first. Without the
/// suspicion, the weight would stay full until the removal.
#[test]
fn silent_member_is_suspected_then_removed() {
    let mut membership = single_registrar();
    membership.step(Event::Announced(entry(1, 1)), at(0));
    membership.step(Event::Announced(entry(2, 2)), at(0));
    for second in 1..=12 {
        membership.step(Event::Announced(entry(2, 2)), at(second));
        membership.step(Event::Tick, at(second));
        let expected = match second {
            0..5 => Some(100),
            5..10 => Some(25),
            _ => None,
        };
        assert_eq!(weight(&membership, instance(1)), expected, "after {second} s");
        assert_eq!(weight(&membership, instance(2)), Some(100));
    }
}

/// Guards against a member that stays suspected although it announces itself. A newer version of
/// its entry refutes the suspicion; the same version does not.
#[test]
fn newer_version_refutes_suspicion() {
    let mut membership = single_registrar();
    membership.step(Event::Announced(entry(1, 1)), at(0));
    membership.step(Event::Tick, at(6));
    assert_eq!(membership.refutation(instance(1), at(6)), Some(1));
    membership.step(Event::Announced(entry(1, 1)), at(7));
    assert_eq!(membership.liveness(instance(1)), Some(Liveness::Suspected));
    membership.step(Event::Announced(MemberEntry { version: 2, ..entry(1, 1) }), at(7));
    assert_eq!(membership.liveness(instance(1)), Some(Liveness::Trusted));
}

/// Guards against repeated suspicions of the same member by a registrar with a bad link: a wrong
/// suspicion doubles the timeouts.
#[test]
fn wrong_suspicion_doubles_the_timeouts() {
    let mut membership = single_registrar();
    membership.step(Event::Announced(entry(1, 1)), at(0));
    membership.step(Event::Tick, at(5));
    let refuted = MemberRecord {
        entry: MemberEntry { version: 2, ..entry(1, 1) },
        standing: Liveness::Trusted,
    };
    membership.step(Event::Learned(Arc::new(refuted)), at(6));
    membership.step(Event::Tick, at(15));
    assert_eq!(membership.liveness(instance(1)), Some(Liveness::Trusted));
    membership.step(Event::Tick, at(16));
    assert_eq!(membership.liveness(instance(1)), Some(Liveness::Suspected));
}

/// Guards against an entry of an earlier incarnation that replaces that of a later one, even if it
/// belongs to another service.
#[test]
fn later_incarnation_replaces_earlier_one() {
    let mut membership = single_registrar();
    let earlier = MemberEntry { service: "pack".parse().unwrap(), version: 90, ..entry(1, 1) };
    let later = MemberEntry { incarnation: Incarnation::new(2_000), version: 0, ..entry(1, 1) };
    membership.step(Event::Announced(earlier.clone()), at(0));
    membership.step(Event::Announced(later), at(1));
    membership.step(Event::Announced(earlier.clone()), at(2));
    let record = MemberRecord { entry: earlier, standing: Liveness::Trusted };
    membership.step(Event::Learned(Arc::new(record)), at(3));
    assert_eq!(weight(&membership, instance(1)), Some(100));
    assert!(membership.candidates(&customer(), &"pack".parse().unwrap()).is_empty());
}

/// Guards against an outdated entry that restores a member that has left. After the tombstone is
/// dropped the entry does restore it, which shows that the tombstone prevents it before.
#[test]
fn outdated_entry_does_not_restore_departed_member() {
    let mut membership = single_registrar();
    let old = Arc::new(MemberRecord { entry: entry(1, 1), standing: Liveness::Trusted });
    membership.step(Event::Announced(entry(1, 1)), at(0));
    let left = MemberEntry { phase: MemberPhase::Left, version: 2, ..entry(1, 1) };
    membership.step(Event::Announced(left), at(1));
    membership.step(Event::Tick, at(500));
    membership.step(Event::Learned(old.clone()), at(500));
    assert_eq!(weight(&membership, instance(1)), None);
    membership.step(Event::Tick, at(700));
    membership.step(Event::Learned(old), at(700));
    assert_eq!(weight(&membership, instance(1)), Some(100));
}

/// Guards against a partitioned balancer that drops all upstreams because it receives no
/// announcements.
#[test]
fn partitioned_balancer_keeps_its_members() {
    let mut membership = single_registrar();
    membership.step(Event::Announced(entry(1, 1)), at(0));
    membership.step(Event::Announced(entry(2, 2)), at(0));
    membership.step(Event::Tick, at(6));
    membership.step(Event::Tick, at(20));
    assert_eq!(membership.liveness(instance(1)), Some(Liveness::Lost));
    assert_eq!(candidates(&membership).len(), 2);
}

/// Guards against a draining member that receives new flows, or that is removed while it still has
/// flows.
#[test]
fn draining_member_has_weight_zero() {
    let mut membership = single_registrar();
    membership.step(Event::Announced(entry(1, 1)), at(0));
    membership.step(Event::Announced(entry(2, 2)), at(0));
    let draining = MemberEntry { phase: MemberPhase::Draining, version: 2, ..entry(1, 1) };
    membership.step(Event::Announced(draining), at(1));
    assert_eq!(weight(&membership, instance(1)), Some(0));
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
        GossipEntry::Member(record) => Some(record),
        _ => None,
    });
    members.filter(|record| record.standing != Liveness::Trusted).count()
}

fn outages(fleet: &Fleet, node: usize) -> Vec<bool> {
    let items = fleet.exchange(node).table().iter();
    let outages = items.filter_map(|item| match item {
        GossipEntry::Outage(outage) => Some(outage.is_lost()),
        _ => None,
    });
    outages.collect()
}

/// Guards against members that do not reach all balancers, and against a failure that only the
/// registrars detect.
#[test]
fn failed_member_is_removed_on_all_balancers() {
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

/// Guards against an undetected failure of a member whose registrars fail at the same time.
#[test]
fn failure_is_detected_when_registrars_fail_too() {
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

/// Guards against one record per member when a whole failure domain is lost with its balancers, and
/// against members that stay excluded after its return. A member that does not return with the
/// domain is detected afterwards.
#[test]
fn lost_domain_produces_one_record() {
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

/// Guards against balancers that keep different weights: all receive the same entries.
#[test]
fn all_balancers_agree_on_the_members() {
    let mut fleet = fleet(30, 3, 50, 2);
    let changed = MemberEntry { weight: Weight::new(7), version: 5, ..entry(3, 0) };
    fleet.add_agent(changed);
    fleet.run(Span::from_secs(10));
    for node in 0..30 {
        assert_eq!(weight(fleet.membership(node), instance(3)), Some(7), "balancer {node}");
        assert_eq!(candidates(fleet.membership(node)).len(), 50);
    }
}

/// Shows that the outage record prevents suspicions of single members: a domain below the minimum
/// size for an outage record has one record per member.
#[test]
fn members_of_small_domain_are_suspected_individually() {
    let mut fleet = fleet(9, 3, 12, 1);
    (0..12).filter(|index| index % 3 == 1).for_each(|i| fleet.set_agent_alive(instance(i), false));
    fleet.run(Span::from_secs(40));
    assert!(outages(&fleet, 0).is_empty());
    assert_eq!(suspicions(&fleet, 0), 4);
}

/// Guards against one report per member to the outage detectors of a large domain, and against
/// suspicions of single members that are not in the sample. 600 members are lost at once; reports
/// about all of them by two registrars to two outage detectors would be 2,400.
#[test]
fn loss_of_large_domain_is_detected_by_sampling() {
    // At most 128 members, two registrars, two outage detectors, and one repetition before the
    // decision.
    const MAX_REPORTS: usize = 128 * 2 * 2 * 2;
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
    assert!(fleet.report_count() < MAX_REPORTS, "{} reports", fleet.report_count());
}

/// Guards against a new version of the entry of each member when a lost domain returns, and against
/// a member that stays excluded when it returns without the rest of its domain.
#[test]
fn returning_domain_keeps_entry_versions() {
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

/// Guards against an agent that stays ignored after its wall clock has stepped back, and against
/// one that continues from an incarnation too high for a clock step.
#[test]
fn incarnation_exceeds_known_one_after_clock_step() {
    let next_incarnation = |own, known| {
        member::next_incarnation(Incarnation::new(own), Incarnation::new(known))
            .map(Incarnation::get)
    };
    assert_eq!(next_incarnation(1_000, 999), Some(1_000));
    assert_eq!(next_incarnation(1_000, 1_000), Some(1_001));
    assert_eq!(next_incarnation(1_000, 31_000), Some(31_001));
    assert_eq!(next_incarnation(1_000, u64::MAX), None);
}
