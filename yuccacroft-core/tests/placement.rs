//! Maglev tables, weights, hysteresis and generations of homes.

#[allow(dead_code)]
mod support;

use {
    std::collections::BTreeMap,
    support::{agent_id, members},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        placement::{Candidate, History, PlacementTable, ramp::Ramp},
        time::{Moment, Span},
        units::Weight,
    },
};

fn shares(table: &PlacementTable, keys: u64) -> BTreeMap<AgentId, f64> {
    let mut shares = BTreeMap::new();
    for key in 0..keys {
        let first = table.first(FlowKey::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15))).unwrap();
        *shares.entry(first).or_insert(0.0) += 1.0 / keys as f64;
    }
    shares
}

fn weighted(weights: &[u32]) -> Vec<Candidate> {
    let candidate = |(number, weight): (usize, &u32)| Candidate {
        agent_id: agent_id(number as u64),
        weight: Weight::new(*weight),
    };
    weights.iter().enumerate().map(candidate).collect()
}

/// Guards against shares that do not follow the weights.
#[test]
fn shares_follow_weights() {
    let weights = [100, 50, 25, 400, 0];
    let shares = shares(&PlacementTable::new(&weighted(&weights)), 200_000);
    assert!(!shares.contains_key(&agent_id(4)));
    for (number, weight) in weights.iter().enumerate().take(4) {
        let relative = shares[&agent_id(number as u64)] * 575.0 / f64::from(*weight);
        assert!((0.87..=1.15).contains(&relative), "{number}: {relative}");
    }
}

/// Guards against keys whose two choices are the same member, which may be dead.
#[test]
fn choices_differ() {
    let differ = |weights: &[u32]| {
        let table = PlacementTable::new(&weighted(weights));
        (0..5_000).map(FlowKey::new).filter(|key| table.first(*key) != table.second(*key)).count()
    };
    assert_eq!(differ(&[1_000, 1]), 5_000);
    assert_eq!(differ(&[60, 100, 140]), 5_000);
    assert_eq!(differ(&[100]), 0);
    assert_eq!(PlacementTable::new(&[]).second(FlowKey::new(1)), None);
}

/// Guards against a table that reassigns many keys when one member leaves.
#[test]
fn removing_a_member_moves_few_keys() {
    let (before, after) =
        (PlacementTable::new(&members(0..10)), PlacementTable::new(&members(1..10)));
    let keys = (0..20_000u64).map(|key| FlowKey::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let kept = keys.filter(|key| before.first(*key) != Some(agent_id(0)));
    let (mut moved, mut total) = (0, 0);
    for key in kept {
        total += 1;
        moved += u32::from(before.first(key) != after.first(key));
    }
    assert!(moved * 10 < total, "{moved} of {total}");
}

/// Guards against rebuilding the table for every small change of a weight, and against ignoring a
/// relevant change.
#[test]
fn small_weight_changes_do_not_rebuild() {
    let mut history = History::new();
    let now = Moment::default();
    assert!(history.update(&weighted(&[100, 100]), now));
    assert!(!history.update(&weighted(&[100, 100]), now));
    assert!(!history.update(&weighted(&[91, 109]), now));
    assert!(history.update(&weighted(&[90, 100]), now));
    assert!(history.update(&weighted(&[0, 100]), now));
    assert!(history.update(&weighted(&[1, 100]), now));
    assert!(history.update(&weighted(&[1]), now));
}

/// Guards against small changes that add up without a rebuild.
#[test]
fn hysteresis_is_relative_to_the_present_table() {
    let mut history = History::new();
    let steps =
        (100..=130).map(|weight| history.update(&weighted(&[weight, 100]), Moment::default()));
    assert_eq!(steps.filter(|rebuilt| *rebuilt).count(), 3);
}

/// Guards against weight changes and repeated updates that evict earlier members from the chain.
#[test]
fn earlier_homes_stay_until_they_expire() {
    let mut history = History::new();
    let at = |secs| Moment::default() + Span::from_secs(secs);
    history.update(&members(0..4), at(0));
    history.update(&members(4..8), at(1));
    for _ in 0..20 {
        assert!(!history.update(&members(4..8), at(2)));
    }
    let earlier = |history: &History| {
        history.chain(FlowKey::new(7)).homes().filter(|home| *home < agent_id(4)).count()
    };
    assert_eq!(earlier(&history), 2);
    history.remove_departed(agent_id(0));
    history.remove_departed(agent_id(1));
    assert_eq!(earlier(&history), 2);
    history.remove_departed(agent_id(2));
    assert_eq!(earlier(&history), 1);
    history.expire(at(15));
    assert_eq!(earlier(&history), 1);
    history.expire(at(16));
    assert_eq!(earlier(&history), 0);
    assert!(!history.has_previous_generation());
}

/// Guards against a cold upstream that gets its full weight immediately, and one that never reaches
/// it.
#[test]
fn weight_grows_over_the_warmup() {
    let ramp = Ramp::new(Weight::new(800), Span::from_secs(10), Moment::default());
    let weight = |millis| ramp.weight(Moment::default() + Span::from_millis(millis)).get();
    assert_eq!(weight(0), 100);
    assert_eq!(weight(10_000), 800);
    let grown: Vec<_> = (0..=100).map(|step| weight(step * 100)).collect();
    assert!(grown.is_sorted());
    let distinct: std::collections::BTreeSet<_> = grown.iter().collect();
    assert_eq!(distinct.len(), 8);
    assert_eq!(
        Ramp::new(Weight::new(3), Span::ZERO, Moment::default()).weight(Moment::default()).get(),
        3
    );
}

/// Guards against a caller whose retries all reach the same two dead choices.
#[test]
fn rotation_starts_at_every_agent_of_the_chain() {
    let mut history = History::new();
    history.update(&members(0..7), Moment::default());
    let chain = history.chain(FlowKey::new(7));
    let fronts = |turns| -> std::collections::BTreeSet<_> {
        (0..turns).filter_map(|turn| chain.rotated(turn).first()).collect()
    };
    assert_eq!(fronts(2), [chain.first(), chain.second()].into_iter().flatten().collect());
    let all = chain.homes().chain(chain.first()).chain(chain.second()).collect();
    assert_eq!(fronts(8 * 4), all);
}
