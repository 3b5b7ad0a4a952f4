//! Reading contracts from the store: the choice of readers, the number of calls and outages.

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

/// Counts the store calls of a fleet that starts and receives one contract change.
fn count_calls(balancers: usize, all_watch_store: bool) -> usize {
    let mut fleet = fleet(balancers, all_watch_store);
    fleet.run(Span::from_secs(10));
    fleet.submit(0, accepted(1));
    fleet.run(Span::from_secs(20));
    fleet.contract_store().calls().len()
}

/// Guards against store calls that increase with the number of processes. The baseline in which
/// every process watches the store shows that the choice of readers keeps them constant.
#[test]
fn store_calls_do_not_depend_on_fleet_size() {
    let (small, middle, large) =
        (count_calls(6, false), count_calls(30, false), count_calls(300, false));
    assert_eq!((small, middle, large), (12, 12, 12));
    assert_eq!(count_calls(300, true), 600);
}

/// Guards against a number of readers other than two in each failure domain.
#[test]
fn two_balancers_per_domain_read() {
    for balancers in [3, 30, 300] {
        let mut fleet = fleet(balancers, false);
        fleet.run(Span::from_secs(5));
        assert_eq!(fleet.reader_count(), (2 * DOMAINS).min(balancers));
    }
}

/// Returns the maximum number of calls in a window of 100 ms.
fn max_calls_in_window(calls: &[Moment], after: Moment) -> usize {
    let mut windows: BTreeMap<u64, usize> = BTreeMap::new();
    for call in calls.iter().filter(|call| **call >= after) {
        *windows.entry(call.get() / 100_000).or_default() += 1;
    }
    windows.into_values().max().unwrap_or(0)
}

/// Guards against readers that all resume at the same time when the store becomes available.
#[test]
fn returning_store_receives_no_burst() {
    let mut fleet =
        Fleet::new(FleetConfig { balancers: 300, domains: 13, ..FleetConfig::default() });
    fleet.run(Span::from_secs(10));
    fleet.set_store_down(true);
    fleet.run(Span::from_secs(120));
    fleet.set_store_down(false);
    let returned = fleet.now();
    fleet.run(Span::from_secs(10));
    let burst = max_calls_in_window(fleet.contract_store().calls(), returned);
    // The 26 readers spread over four seconds. Without jitter, all 26 listings would be in one
    // window.
    assert!(burst <= 8, "{burst} calls within 100 ms");
    fleet.write_contract(accepted(9));
    fleet.run(Span::from_secs(5));
    let customer = contracts::customer();
    assert!(
        (0..300).all(|node| fleet.contract_revision(node, &customer) == Some(Revision::new(9)))
    );
}

/// Guards against a backoff without jitter. Readers with the same random seed represent it: they
/// resume at the same time, while those with different seeds do not.
#[test]
fn readers_without_jitter_resume_together() {
    let node = FleetConfig::node(0);
    let domain = yuccacroft_fakes::fleet::domain(0);
    let resumed_at = |seed: u64| {
        let mut reader = StoreReader::new(node, domain.clone(), seed);
        reader.step(Event::Joined, Moment::default());
        let mut now = Moment::default() + Span::from_secs(1);
        reader.step(Event::Tick, now);
        for _ in 0..5 {
            reader.step(Event::Failed, now);
            while reader.step(Event::Tick, now).is_empty() {
                now = now + Span::from_millis(10);
            }
        }
        now
    };
    let same: Vec<_> = (0..20).map(|_| resumed_at(1)).collect();
    assert!(same.iter().all(|moment| *moment == same[0]));
    let mut different: Vec<_> = (0..20).map(resumed_at).collect();
    different.sort();
    different.dedup();
    assert!(different.len() >= 19);
}

/// Guards against a reader that receives no more changes after the store has compacted the revision
/// of its watch.
#[test]
fn compacted_history_leads_to_new_listing() {
    let mut reader = StoreReader::new(FleetConfig::node(0), yuccacroft_fakes::fleet::domain(0), 1);
    reader.step(Event::Joined, Moment::default());
    let now = Moment::default() + Span::from_secs(1);
    assert_eq!(reader.step(Event::Tick, now), [Action::List]);
    let listed = Event::Listed { contracts: Vec::new(), revision: Revision::new(4) };
    let watch = reader.step(listed.clone(), Moment::default());
    assert_eq!(watch, [Action::Watch(Revision::new(5))]);
    assert_eq!(reader.step(Event::Compacted, Moment::default()), [Action::List]);
    let watch = reader.step(listed, Moment::default());
    assert_eq!(watch, [Action::Watch(Revision::new(5))]);
}
