//! Finds holders of grants that have been absent from the membership for so long that they stopped
//! using their grants.

use {
    super::{Record, holder::GRACE_PERIOD},
    crate::{ids::Instance, shards::Shards, time::Moment},
    std::collections::BTreeSet,
};

/// When each absent holder was first missed, as one balancer saw it.
///
/// A balancer that has just started has missed nobody yet, so that a restart only delays the
/// freeing of a grant.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    missed: Shards<Instance, Moment>,
}

impl AbsenceTracker {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares a record with the present members and returns the holders whose grants may be
    /// freed: those that were never there for the whole grace time.
    pub fn expired_holders(
        &self,
        record: &Record,
        members: &BTreeSet<Instance>,
        now: Moment,
    ) -> BTreeSet<Instance> {
        let holders = record.grants().map(|grant| grant.hop.instance);
        holders.filter(|holder| self.is_gone(*holder, members.contains(holder), now)).collect()
    }

    fn is_gone(&self, holder: Instance, present: bool, now: Moment) -> bool {
        if present {
            self.missed.remove(&holder);
            return false;
        }
        self.missed.update(holder, |missed| {
            let since = *missed.get_or_insert(now);
            now.since(since) >= GRACE_PERIOD
        })
    }
}
