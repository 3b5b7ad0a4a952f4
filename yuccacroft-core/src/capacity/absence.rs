//! Detects grant holders that have been missing from the membership for so long that they no longer
//! use their grants.

use {
    super::{GrantRecord, holder::GRACE_PERIOD},
    crate::{ids::Instance, shards::Shards, time::Moment},
    std::collections::BTreeSet,
};

/// The time at which each missing grant holder was first found missing by one balancer.
///
/// The state is not persisted: after a restart of the balancer all times start anew, which only
/// delays the freeing of a grant.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    missing_since: Shards<Instance, Moment>,
}

impl AbsenceTracker {
    /// Creates a tracker without missing holders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the tracker with the current members and returns the holders whose grants may be
    /// freed: those missing for at least [`GRACE_PERIOD`].
    pub fn expired_holders(
        &self,
        record: &GrantRecord,
        members: &BTreeSet<Instance>,
        now: Moment,
    ) -> BTreeSet<Instance> {
        let holders = record.grants().map(|grant| grant.agent_id.instance);
        holders.filter(|holder| self.is_expired(*holder, members.contains(holder), now)).collect()
    }

    fn is_expired(&self, holder: Instance, present: bool, now: Moment) -> bool {
        if present {
            self.missing_since.remove(&holder);
            return false;
        }
        self.missing_since.update(holder, |entry| {
            let since = *entry.get_or_insert(now);
            now.since(since) >= GRACE_PERIOD
        })
    }
}
