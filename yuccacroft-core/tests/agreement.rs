//! Balancers with different views of the members deliver all packets of a flow to one upstream.

#[allow(dead_code)]
mod support;

use {
    proptest::prelude::*,
    std::collections::BTreeSet,
    support::{Delivery, Fleet, agent_id, members},
    yuccacroft_core::{
        flow::{FlowKey, FlowPhase},
        placement::{Candidate, History, Homes, PlacementTable, homes::HOMES_PER_KEY},
        time::Moment,
        units::Weight,
    },
};

/// Maximum number of members that the view of a balancer lacks.
const MAX_MISSING: usize = HOMES_PER_KEY - 1;
const AGENTS: u64 = 12;

/// Generates the members that one balancer knows: some are missing, and the weights vary.
fn view() -> impl Strategy<Value = Vec<Candidate>> {
    let missing = proptest::collection::btree_set(0..AGENTS, 0..=MAX_MISSING);
    (missing, proptest::collection::vec(1..8u32, AGENTS as usize)).prop_map(|(missing, weights)| {
        let weight = |number: u64| Weight::new(weights[number as usize] * 25);
        let present = (0..AGENTS).filter(|number| !missing.contains(number));
        present
            .map(|number| Candidate { agent_id: agent_id(number), weight: weight(number) })
            .collect()
    })
}

fn history(members: &[Candidate]) -> History {
    let mut history = History::new();
    history.update(members, Moment::default());
    history
}

fn owners(fleet: &Fleet) -> BTreeSet<Delivery> {
    fleet.results.iter().copied().collect()
}

/// Sends a first packet through each of two balancers and carries the messages in the given order,
/// then sends a later packet through each. Returns the fleet with the outcomes of all packets.
fn run(views: [&[Candidate]; 2], key: FlowKey, order: &[usize], claims: bool) -> Fleet {
    let chains = views.map(|view| history(view).chain(key));
    let mut fleet = Fleet::new(0..AGENTS);
    fleet.claims = claims;
    for chain in chains {
        fleet.send(key, FlowPhase::First, chain);
    }
    for &index in order {
        fleet.deliver_one(index);
    }
    fleet.deliver_all();
    for chain in chains {
        fleet.send(key, FlowPhase::Middle, chain);
    }
    fleet.deliver_all();
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against two owners of one flow when its first packets arrive through balancers with
    /// different members and weights, for any order of the messages.
    #[test]
    fn two_balancers_find_one_owner(
        first in view(),
        second in view(),
        key: u64,
        order in proptest::collection::vec(0usize..8, 0..40),
    ) {
        let fleet = run([&first, &second], FlowKey::new(key), &order, true);
        let owners = owners(&fleet);
        prop_assert_eq!(owners.len(), 1, "{:?}", fleet.results);
        prop_assert!(matches!(owners.first(), Some(Delivery::Delivered(_))), "{:?}", fleet.results);
    }

    /// Guards against two views whose homes have no common member, on which agreement on one owner
    /// depends.
    #[test]
    fn homes_of_two_views_share_a_member(first in view(), second in view(), key: u64) {
        let key = FlowKey::new(key);
        let (first, second) = (Homes::new(&first), Homes::new(&second));
        prop_assert!(first.of(key).any(|home| second.of(key).any(|other| other == home)));
    }

    /// Guards against an order of claims that depends on the view of the balancer.
    #[test]
    fn homes_have_the_same_order(first in view(), second in view(), key: u64) {
        let key = FlowKey::new(key);
        let chains = [history(&first).chain(key), history(&second).chain(key)];
        let common = |chain: &yuccacroft_core::placement::CandidateChain, other: &yuccacroft_core::placement::CandidateChain| {
            chain.homes().filter(|home| other.homes().any(|h| h == *home)).collect::<Vec<_>>()
        };
        prop_assert_eq!(common(&chains[0], &chains[1]), common(&chains[1], &chains[0]));
    }
}

/// Shows that the agreement depends on claims: without them the same packets find two owners.
#[test]
fn two_balancers_find_two_owners_without_claims() {
    let (first, second) = (members(0..10), members(2..12));
    let split = |claims| {
        let run = |key: u64| run([&first, &second], FlowKey::new(key * 7_919), &[], claims);
        (0..500).filter(|key| owners(&run(*key)).len() != 1).count()
    };
    assert!(split(false) > 0);
    assert_eq!(split(true), 0);
}

/// Shows why homes are not the first choices of table generations: two balancers that learn the
/// same changes in a different order share no generation, and the first choices of their tables can
/// be disjoint, while their homes are not.
#[test]
fn generations_can_have_disjoint_first_choices() {
    let without = |removed: &[u64]| members((0..AGENTS).filter(|number| !removed.contains(number)));
    let sets = |order: [u64; 3]| [without(&order[..1]), without(&order[..2]), without(&order)];
    let views = [sets([0, 1, 2]), sets([5, 4, 3])];
    let tables = views.each_ref().map(|view| view.each_ref().map(|set| PlacementTable::new(set)));
    let homes = views.each_ref().map(|view| Homes::new(&view[2]));
    let keys = || (0..20_000).map(|key| FlowKey::new(key * 7_919));
    let firsts = |view: &[PlacementTable; 3], key| -> BTreeSet<_> {
        view.iter().filter_map(|table| table.first(key)).collect()
    };
    let of = |homes: &Homes, key| homes.of(key).collect::<BTreeSet<_>>();
    let apart = |key: &FlowKey| firsts(&tables[0], *key).is_disjoint(&firsts(&tables[1], *key));
    assert!(keys().filter(apart).count() > 0);
    assert!(!keys().any(|key| of(&homes[0], key).is_disjoint(&of(&homes[1], key))));
}
