//! Contracts under faults, alone and in pairs: the accepted version comes into force everywhere
//! and never goes back.

mod contracts;

use {
    contracts::{accepted, customer},
    std::{collections::BTreeMap, sync::Arc},
    yuccacroft_core::{
        contract::registry::{Event, Registry},
        controller::Controller,
        gossip::{entry::Item, exchange},
        ids::Revision,
        time::{Moment, Span},
    },
    yuccacroft_fakes::fleet::{Fleet, Plan},
};

const SEEDS: u64 = 5;
/// Bound of `docs/design.md`, section 1.2, at today's sizes.
const TODAY: Span = Span::from_secs(5);
const LATE: Span = Span::from_secs(5);

fn everywhere(fleet: &Fleet, nodes: impl IntoIterator<Item = usize>, revision: u64) -> bool {
    let revision = Some(Revision::new(revision));
    nodes.into_iter().all(|node| fleet.revision(node, &customer()) == revision)
}

/// Asserts that no balancer put a lower revision in force behind a higher one, also
/// not across a restart.
fn never_back(fleet: &Fleet) {
    let mut last: BTreeMap<usize, Revision> = BTreeMap::new();
    for (revision, node, _) in fleet.applied() {
        let before = last.insert(*node, *revision);
        assert!(before.is_none_or(|before| before <= *revision), "balancer {node} went back");
    }
}

/// Guards against a change that takes longer than the bound while updates are up to 5 s late and
/// a fifth of all messages are lost.
#[test]
fn change_is_in_force_in_time_with_late_and_lost_updates() {
    for seed in 0..SEEDS {
        let plan = Plan { late: LATE, loss: 0.2, seed, ..Plan::default() };
        let mut fleet = Fleet::new(plan);
        fleet.run(Span::from_secs(10));
        fleet.submit(0, accepted(1));
        fleet.run(TODAY);
        assert!(everywhere(&fleet, 0..3, 1), "seed {seed}");
    }
}

/// Shows that the exchange is what carries a change in time: with it switched off, a lost notice
/// of a watch leaves some balancer behind.
#[test]
fn watches_alone_miss_the_bound() {
    let mut missed = 0;
    for seed in 0..20 {
        let settings = exchange::Settings {
            urgent_pushes: 0,
            other_pushes: 0,
            repair_interval: Span::ZERO,
            ..Default::default()
        };
        let plan = Plan {
            late: LATE,
            loss: 0.2,
            everyone: true,
            exchange: settings,
            seed,
            ..Plan::default()
        };
        let mut fleet = Fleet::new(plan);
        fleet.run(Span::from_secs(10));
        fleet.store(accepted(1));
        fleet.run(TODAY);
        missed += u32::from(!everywhere(&fleet, 0..3, 1));
    }
    assert!(missed > 0);
}

/// Guards against balancers that the pushes missed and that never learn of a change: with pushes
/// switched off, repair alone brings it everywhere.
#[test]
fn repair_brings_what_pushes_missed() {
    let settings = |repair_interval| exchange::Settings {
        urgent_pushes: 0,
        other_pushes: 0,
        repair_interval,
        ..Default::default()
    };
    let learned = |repair| {
        let plan = Plan { balancers: 30, exchange: settings(repair), ..Plan::default() };
        let mut fleet = Fleet::new(plan);
        fleet.run(Span::from_secs(10));
        fleet.submit(0, accepted(1));
        fleet.run(Span::from_secs(60));
        (0..30).filter(|&node| everywhere(&fleet, [node], 1)).count()
    };
    assert_eq!(learned(Span::from_secs(2)), 30);
    assert!(learned(Span::ZERO) < 30);
}

/// Guards against a lower revision from any source. A register that takes the latest word instead
/// of the highest revision goes back, so that the comparison is what prevents it.
#[test]
fn lower_revision_never_replaces_a_higher_one() {
    let words = [3, 7, 5, 7, 1, 9, 8];
    let mut register = Registry::new();
    let mut in_force = Vec::new();
    let mut naive = Vec::new();
    for revision in words {
        let event = Event::Learned(Arc::new(accepted(revision)));
        register.step(event, Moment::default());
        in_force.push(register.get(&customer()).unwrap().revision().get());
        naive.push(revision);
    }
    assert!(in_force.is_sorted());
    assert!(!naive.is_sorted());
}

/// Guards against a peer that comes back with old entries, and a restarted balancer that reaches
/// such a peer first.
#[test]
fn old_entries_of_a_peer_change_nothing() {
    let mut fleet = Fleet::new(Plan::default());
    fleet.run(Span::from_secs(5));
    fleet.submit(0, accepted(5));
    fleet.run(Span::from_secs(5));
    fleet.offer(1, Item::Contract(Arc::new(accepted(2))));
    fleet.run(Span::from_secs(5));
    assert!(everywhere(&fleet, 0..3, 5));
    never_back(&fleet);
}

/// Guards against a balancer that starts in an outage and serves an old contract or none, while
/// another balancer drains: store outage, replacement and planned stop at the same time.
#[test]
fn replacement_in_an_outage_takes_the_highest_revision() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(Plan { balancers: 6, seed, ..Plan::default() });
        fleet.run(Span::from_secs(5));
        fleet.submit(0, accepted(4));
        fleet.run(Span::from_secs(5));
        fleet.set_store_down(true);
        fleet.kill(3);
        fleet.leave(4);
        fleet.run(Span::from_secs(1));
        fleet.replace(3, &[0, 1, 4]);
        fleet.run(TODAY);
        assert!(everywhere(&fleet, [0, 1, 2, 3, 5], 4), "seed {seed}");
        fleet.set_store_down(false);
        fleet.run(Span::from_secs(10));
        fleet.submit(1, accepted(6));
        fleet.run(TODAY);
        assert!(everywhere(&fleet, [0, 1, 2, 3, 5], 6), "seed {seed}");
        never_back(&fleet);
    }
}

/// Guards against a joining balancer that takes the word of a single peer: one of the three has
/// been cut off and is behind.
#[test]
fn snapshot_of_a_stale_peer_does_not_win() {
    let mut fleet = Fleet::new(Plan { balancers: 6, ..Plan::default() });
    fleet.run(Span::from_secs(5));
    fleet.submit(0, accepted(1));
    fleet.run(Span::from_secs(5));
    fleet.set_store_down(true);
    fleet.set_cut(|a, b| a == 5 || b == 5);
    fleet.submit(0, accepted(2));
    fleet.run(Span::from_secs(5));
    assert!(everywhere(&fleet, [5], 1));
    fleet.set_cut(|_, _| false);
    fleet.replace(4, &[5, 0, 1]);
    fleet.run(TODAY);
    assert!(everywhere(&fleet, 0..6, 2));
    never_back(&fleet);
}

/// Guards against two parts of a fleet that each think the other lost and never meet again, and
/// against a return to the older contract of one part.
#[test]
fn parts_meet_again_after_minutes() {
    let mut fleet = Fleet::new(Plan { balancers: 8, domains: 4, ..Plan::default() });
    fleet.run(Span::from_secs(5));
    fleet.set_cut(|a, b| (a % 4 == 0) != (b % 4 == 0));
    fleet.set_store_down(true);
    fleet.submit(1, accepted(3));
    fleet.run(Span::from_secs(300));
    assert!(!everywhere(&fleet, [0], 3));
    assert_eq!(fleet.exchange(0).peers().len(), 2);
    fleet.set_cut(|_, _| false);
    fleet.run(Span::from_secs(30));
    assert!(everywhere(&fleet, 0..8, 3));
    for node in 0..8 {
        assert_eq!(fleet.exchange(node).peers().len(), 8, "balancer {node}");
    }
    never_back(&fleet);
}
