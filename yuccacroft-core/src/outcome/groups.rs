//! Groups of requests that an upstream may fail although it serves all others.

use {
    super::{Outcome, Record},
    crate::time::{Moment, Span},
};

/// Limit of groups of one kind, so that the memory is bounded.
pub const MAX_GROUPS: usize = 16;
/// Number of requests outside of a group from which on the group can be compared with them.
const MIN_OTHER_REQUESTS: f64 = 8.0;
/// Time without an outcome after which the requests of another group count half in a comparison. Those
/// from before a fault of the whole upstream must not make one group look like the only failing one.
const OTHERS_HALF_LIFE: Span = Span::from_millis(500);
/// Distance between the share of failures of a group and that of all others, in hundredths, from which
/// on the upstream fails the group. The share of the few requests of a group varies more than that of
/// a whole upstream.
const FAILING_DISTANCE: u32 = 30;
/// Distance below which the upstream serves the group again, so that a group near the other distance
/// does not go back and forth. It also counts as served while there are too few other requests to
/// compare it with.
const RECOVERED_DISTANCE: u32 = 15;

/// The outcomes of the groups of one kind. Those without a recent outcome make room for new ones.
#[derive(Clone, Debug)]
pub struct Groups<K> {
    groups: Vec<Group<K>>,
}

#[derive(Clone, Debug)]
struct Group<K> {
    key: K,
    record: Record,
    is_failing: bool,
}

impl<K> Default for Groups<K> {
    fn default() -> Self {
        Self { groups: Vec::new() }
    }
}

impl<K: Clone + PartialEq> Groups<K> {
    /// Records the outcome of a request of a group. Returns whether the upstream fails the group, if
    /// that has changed.
    pub fn record(&mut self, key: &K, outcome: Outcome, now: Moment) -> Option<bool> {
        let index = self.find_or_insert(key);
        self.groups[index].record.record(outcome, now);
        self.update(index, now)
    }

    /// Records that an overdue request of a group has another outcome.
    pub fn withdraw_overdue(&mut self, key: &K, now: Moment) {
        if let Some(group) = self.groups.iter_mut().find(|group| group.key == *key) {
            group.record.withdraw_overdue(now);
        }
    }

    /// Returns true if the upstream fails the group and serves others.
    pub fn is_failing(&self, key: &K) -> bool {
        self.groups.iter().any(|group| group.is_failing && group.key == *key)
    }

    /// Returns the number of groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns true if there is no group.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    fn find_or_insert(&mut self, key: &K) -> usize {
        if let Some(index) = self.groups.iter().position(|group| group.key == *key) {
            return index;
        }
        if self.groups.len() >= MAX_GROUPS {
            // A failing group gets few flows, so its outcomes are the oldest ones, and it is kept.
            let age = |index: &usize| {
                let group = &self.groups[*index];
                (group.is_failing, group.record.updated_at)
            };
            let oldest = (0..MAX_GROUPS).min_by_key(age);
            self.groups.swap_remove(oldest.unwrap_or_default());
        }
        self.groups.push(Group { key: key.clone(), record: Record::default(), is_failing: false });
        self.groups.len() - 1
    }

    /// Returns the outcomes of all other groups that the upstream serves. What fails one group alone
    /// tells nothing about another.
    pub(super) fn others(&self, key: &K, now: Moment) -> Record {
        let others = self.groups.iter().filter(|group| group.key != *key && !group.is_failing);
        others.fold(Record::default(), |sum, group| {
            sum.plus(&group.record.faded(OTHERS_HALF_LIFE, now))
        })
    }

    fn update(&mut self, index: usize, now: Moment) -> Option<bool> {
        let others = self.others(&self.groups[index].key, now);
        let group = &mut self.groups[index];
        let distance = group.record.failures().get().saturating_sub(others.failures().get());
        let is_comparable = others.weight() >= MIN_OTHER_REQUESTS;
        let limit = if group.is_failing { RECOVERED_DISTANCE } else { FAILING_DISTANCE };
        let is_failing = is_comparable && distance >= limit;
        let has_changed = std::mem::replace(&mut group.is_failing, is_failing) != is_failing;
        has_changed.then_some(is_failing)
    }
}
