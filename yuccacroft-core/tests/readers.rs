//! The reading of the store: who reads, how often, and what happens behind an outage.

mod contracts;

use {
    contracts::accepted,
    std::collections::BTreeMap,
    yuccacroft_core::{
        contract::store_reader::{Action, Event, StoreReader},
        controller::Controller,
        ids::Revision,
        time::{Moment, Span},
    },
    yuccacroft_fakes::fleet::{Fleet, FleetConfig},
};

const DOMAINS: usize = 3;

fn fleet(balancers: usize, all_watch_store: bool) -> Fleet {
    Fleet::new(FleetConfig {
        balancers,
        domains: DOMAINS,
        all_watch_store,
        ..FleetConfig::default()
    })
}

/// Runs a fleet through an outage and counts its store calls.
fn calls(balancers: usize, all_watch_store: bool) -> usize {
    let mut fleet = fleet(balancers, all_watch_store);
    fleet.run(Span::from_secs(10));
    fleet.submit(0, accepted(1));
    fleet.run(Span::from_secs(20));
    fleet.contract_store().calls().len()
}

/// Guards against store calls that grow with the processes. The baseline in which every process
/// watches the store shows that the choice of readers is what keeps them constant.
#[test]
fn calls_stay_constant_as_the_fleet_grows() {
    let (small, middle, large) = (calls(6, false), calls(30, false), calls(300, false));
    assert_eq!((small, middle, large), (12, 12, 12));
    assert_eq!(calls(300, true), 600);
}

/// Guards against a number of readers other than two in each failure domain.
#[test]
fn two_balancers_of_each_domain_read() {
    for balancers in [3, 30, 300] {
        let mut fleet = fleet(balancers, false);
        fleet.run(Span::from_secs(5));
        assert_eq!(fleet.reader_count(), (2 * DOMAINS).min(balancers));
    }
}

/// Counts the most calls within a window of 100 ms.
fn most_at_once(calls: &[Moment], after: Moment) -> usize {
    let mut windows: BTreeMap<u64, usize> = BTreeMap::new();
    for call in calls.iter().filter(|call| **call >= after) {
        *windows.entry(call.get() / 100_000).or_default() += 1;
    }
    windows.into_values().max().unwrap_or(0)
}

/// Guards against readers that all return at the moment at which the store returns.
#[test]
fn return_of_the_store_brings_no_burst() {
    let mut fleet =
        Fleet::new(FleetConfig { balancers: 300, domains: 13, ..FleetConfig::default() });
    fleet.run(Span::from_secs(10));
    fleet.set_store_down(true);
    fleet.run(Span::from_secs(120));
    fleet.set_store_down(false);
    let returned = fleet.now();
    fleet.run(Span::from_secs(10));
    let burst = most_at_once(fleet.contract_store().calls(), returned);
    // Twenty-six readers over four seconds; all at once would be 26 listings in one window.
    assert!(burst <= 8, "{burst} calls within 100 ms");
    fleet.write_contract(accepted(9));
    fleet.run(Span::from_secs(5));
    let customer = contracts::customer();
    assert!(
        (0..300).all(|node| fleet.contract_revision(node, &customer) == Some(Revision::new(9)))
    );
}

/// Guards against a fixed wait: readers with the same generator stand for it, and they come back
/// in one burst.
#[test]
fn readers_without_jitter_come_back_together() {
    let node = FleetConfig::node(0);
    let domain = yuccacroft_fakes::fleet::domain(0);
    let waits = |seed: u64| {
        let mut follower = StoreReader::new(node, domain.clone(), seed);
        follower.step(Event::Joined, Moment::default());
        let mut now = Moment::default() + Span::from_secs(1);
        follower.step(Event::Tick, now);
        for _ in 0..5 {
            follower.step(Event::Failed, now);
            while follower.step(Event::Tick, now).is_empty() {
                now = now + Span::from_millis(10);
            }
        }
        now
    };
    let same: Vec<_> = (0..20).map(|_| waits(1)).collect();
    assert!(same.iter().all(|moment| *moment == same[0]));
    let mut different: Vec<_> = (0..20).map(waits).collect();
    different.sort();
    different.dedup();
    assert!(different.len() >= 19);
}

/// Guards against a reader that stays blind when the history behind its watch is gone.
#[test]
fn compacted_history_leads_to_a_fresh_listing() {
    let mut follower =
        StoreReader::new(FleetConfig::node(0), yuccacroft_fakes::fleet::domain(0), 1);
    follower.step(Event::Joined, Moment::default());
    let now = Moment::default() + Span::from_secs(1);
    assert_eq!(follower.step(Event::Tick, now), [Action::List]);
    let listed = Event::Listed { contracts: Vec::new(), revision: Revision::new(4) };
    let watch = follower.step(listed.clone(), Moment::default());
    assert_eq!(watch, [Action::Watch(Revision::new(5))]);
    assert_eq!(follower.step(Event::Compacted, Moment::default()), [Action::List]);
    let watch = follower.step(listed, Moment::default());
    assert_eq!(watch, [Action::Watch(Revision::new(5))]);
}
