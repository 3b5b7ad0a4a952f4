//! Contracts under single and combined faults: the accepted revision comes into force on every
//! balancer and is never replaced by a lower one.

mod contracts;

use {
    contracts::{accepted, customer},
    std::{collections::BTreeMap, sync::Arc},
    yuccacroft_core::{
        contract::registry::{Event, Registry},
        controller::Controller,
        gossip::{entry::GossipEntry, exchange},
        ids::Revision,
        time::{Moment, Span},
    },
    yuccacroft_fakes::fleet::{Fleet, FleetConfig},
};

const SEEDS: u64 = 5;
/// Maximum time until a change is in force, from `docs/design.md`, section 1.2, at the present
/// fleet size.
const CHANGE_BOUND: Span = Span::from_secs(5);
const MAX_UPDATE_DELAY: Span = Span::from_secs(5);

fn is_in_force(fleet: &Fleet, nodes: impl IntoIterator<Item = usize>, revision: u64) -> bool {
    let revision = Some(Revision::new(revision));
    nodes.into_iter().all(|node| fleet.contract_revision(node, &customer()) == revision)
}

/// Asserts that no balancer applied a lower revision after a higher one, not even across a restart.
fn assert_never_reverted(fleet: &Fleet) {
    let mut last: BTreeMap<usize, Revision> = BTreeMap::new();
    for (revision, node, _) in fleet.applied() {
        let before = last.insert(*node, *revision);
        assert!(
            before.is_none_or(|before| before <= *revision),
            "balancer {node} reverted to a lower revision"
        );
    }
}

/// Guards against a change that takes longer than the bound while updates are delayed by up to 5 s
/// and a fifth of all messages are lost.
#[test]
fn change_is_in_force_in_time_despite_delays_and_losses() {
    for seed in 0..SEEDS {
        let plan = FleetConfig {
            max_update_delay: MAX_UPDATE_DELAY,
            loss: 0.2,
            seed,
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::new(plan);
        fleet.run(Span::from_secs(10));
        fleet.submit(0, accepted(1));
        fleet.run(CHANGE_BOUND);
        assert!(is_in_force(&fleet, 0..3, 1), "seed {seed}");
    }
}

/// Shows that the gossip exchange delivers a change in time: with it disabled, a lost watch
/// notification leaves at least one balancer without the change.
#[test]
fn watches_without_exchange_miss_the_bound() {
    let mut missed = 0;
    for seed in 0..20 {
        let settings = exchange::GossipSettings {
            urgent_pushes: 0,
            other_pushes: 0,
            repair_interval: Span::ZERO,
            ..Default::default()
        };
        let plan = FleetConfig {
            max_update_delay: MAX_UPDATE_DELAY,
            loss: 0.2,
            all_watch_store: true,
            exchange: settings,
            seed,
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::new(plan);
        fleet.run(Span::from_secs(10));
        fleet.write_contract(accepted(1));
        fleet.run(CHANGE_BOUND);
        missed += u32::from(!is_in_force(&fleet, 0..3, 1));
    }
    assert!(missed > 0);
}

/// Guards against balancers that never learn of a change that the pushes did not reach: with pushes
/// disabled, repair alone delivers it to every balancer.
#[test]
fn repair_delivers_what_pushes_missed() {
    let settings = |repair_interval| exchange::GossipSettings {
        urgent_pushes: 0,
        other_pushes: 0,
        repair_interval,
        ..Default::default()
    };
    let learned = |repair| {
        let plan =
            FleetConfig { balancers: 30, exchange: settings(repair), ..FleetConfig::default() };
        let mut fleet = Fleet::new(plan);
        fleet.run(Span::from_secs(10));
        fleet.submit(0, accepted(1));
        fleet.run(Span::from_secs(60));
        (0..30).filter(|&node| is_in_force(&fleet, [node], 1)).count()
    };
    assert_eq!(learned(Span::from_secs(2)), 30);
    assert!(learned(Span::ZERO) < 30);
}

/// Guards against applying a lower revision from any source. Taking the latest revision received
/// instead of the highest one would go back, so the comparison is what prevents it.
#[test]
fn lower_revision_never_replaces_a_higher_one() {
    let revisions = [3, 7, 5, 7, 1, 9, 8];
    let mut registry = Registry::new();
    let mut in_force = Vec::new();
    let mut received = Vec::new();
    for revision in revisions {
        let event = Event::Learned(Arc::new(accepted(revision)));
        registry.step(event, Moment::default());
        in_force.push(registry.get(&customer()).unwrap().revision().get());
        received.push(revision);
    }
    assert!(in_force.is_sorted());
    assert!(!received.is_sorted());
}

/// Guards against a peer that returns with old entries.
#[test]
fn old_entries_of_a_peer_change_nothing() {
    let mut fleet = Fleet::new(FleetConfig::default());
    fleet.run(Span::from_secs(5));
    fleet.submit(0, accepted(5));
    fleet.run(Span::from_secs(5));
    fleet.push_entry(1, GossipEntry::Contract(Arc::new(accepted(2))));
    fleet.run(Span::from_secs(5));
    assert!(is_in_force(&fleet, 0..3, 5));
    assert_never_reverted(&fleet);
}

/// Guards against a balancer that starts with an old contract or none during an outage of the
/// store, while another balancer stops as planned.
#[test]
fn replacement_in_an_outage_takes_the_highest_revision() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(FleetConfig { balancers: 6, seed, ..FleetConfig::default() });
        fleet.run(Span::from_secs(5));
        fleet.submit(0, accepted(4));
        fleet.run(Span::from_secs(5));
        fleet.set_store_down(true);
        fleet.kill(3);
        fleet.leave(4);
        fleet.run(Span::from_secs(1));
        fleet.replace(3, &[0, 1, 4]);
        fleet.run(CHANGE_BOUND);
        assert!(is_in_force(&fleet, [0, 1, 2, 3, 5], 4), "seed {seed}");
        fleet.set_store_down(false);
        fleet.run(Span::from_secs(10));
        fleet.submit(1, accepted(6));
        fleet.run(CHANGE_BOUND);
        assert!(is_in_force(&fleet, [0, 1, 2, 3, 5], 6), "seed {seed}");
        assert_never_reverted(&fleet);
    }
}

/// Guards against a joining balancer that relies on the snapshot of a single peer: one of its three
/// peers was partitioned and has an old revision.
#[test]
fn snapshot_of_a_stale_peer_does_not_win() {
    let mut fleet = Fleet::new(FleetConfig { balancers: 6, ..FleetConfig::default() });
    fleet.run(Span::from_secs(5));
    fleet.submit(0, accepted(1));
    fleet.run(Span::from_secs(5));
    fleet.set_store_down(true);
    fleet.set_partition(|a, b| a == 5 || b == 5);
    fleet.submit(0, accepted(2));
    fleet.run(Span::from_secs(5));
    assert!(is_in_force(&fleet, [5], 1));
    fleet.set_partition(|_, _| false);
    fleet.replace(4, &[5, 0, 1]);
    fleet.run(CHANGE_BOUND);
    assert!(is_in_force(&fleet, 0..6, 2));
    assert_never_reverted(&fleet);
}

/// Guards against two partitions of a fleet that consider each other lost and never merge again,
/// and against a return to the older contract of one partition.
#[test]
fn partitions_merge_after_minutes() {
    let mut fleet = Fleet::new(FleetConfig { balancers: 8, domains: 4, ..FleetConfig::default() });
    fleet.run(Span::from_secs(5));
    fleet.set_partition(|a, b| (a % 4 == 0) != (b % 4 == 0));
    fleet.set_store_down(true);
    fleet.submit(1, accepted(3));
    fleet.run(Span::from_secs(300));
    assert!(!is_in_force(&fleet, [0], 3));
    assert_eq!(fleet.exchange(0).peers().len(), 2);
    fleet.set_partition(|_, _| false);
    fleet.run(Span::from_secs(30));
    assert!(is_in_force(&fleet, 0..8, 3));
    for node in 0..8 {
        assert_eq!(fleet.exchange(node).peers().len(), 8, "balancer {node}");
    }
    assert_never_reverted(&fleet);
}
