//! How current this process's list of members is.
//!
//! A flow can only be at a member that some balancer has found in the store. Balancers tell the
//! members the newest entry that they know, and the members pass it on with their answers. So a
//! balancer whose watch lags, is cut or gets stale answers learns that its list lacks an entry, and
//! that denials by the members it knows do not prove that a flow is lost.

use {
    crate::{
        ids::Revision,
        time::{Moment, Span},
    },
    std::sync::atomic::{AtomicU64, Ordering},
};

/// What this process and the members know about the entries in the store.
#[derive(Debug)]
pub(super) struct ListState {
    /// The time from which on the first listing counts as complete, in microseconds.
    complete_at: AtomicU64,
    /// The revision up to which the list contains all entries.
    revision: AtomicU64,
    /// The revision at which the newest entry of the list was created.
    newest_entry: AtomicU64,
    /// The highest revision at which an entry was created, as the members know.
    announced: AtomicU64,
    /// The time since which the list lacks an announced entry, in microseconds; 0 if it lacks none.
    outdated_since: AtomicU64,
}

impl Default for ListState {
    fn default() -> Self {
        Self {
            complete_at: AtomicU64::new(u64::MAX),
            revision: AtomicU64::new(0),
            newest_entry: AtomicU64::new(0),
            announced: AtomicU64::new(0),
            outdated_since: AtomicU64::new(0),
        }
    }
}

impl ListState {
    pub fn set_complete_at(&self, moment: Moment) {
        self.complete_at.store(moment.get(), Ordering::Relaxed);
    }

    pub fn complete_at(&self) -> Moment {
        Moment::new(self.complete_at.load(Ordering::Relaxed))
    }

    pub fn record_revision(&self, revision: Revision) {
        self.revision.fetch_max(revision.get(), Ordering::Relaxed);
        if !self.is_outdated() {
            self.outdated_since.store(0, Ordering::Relaxed);
        }
    }

    pub fn record_entry(&self, created: Revision) {
        self.newest_entry.fetch_max(created.get(), Ordering::Relaxed);
    }

    pub fn newest_entry(&self) -> Revision {
        Revision::new(self.newest_entry.load(Ordering::Relaxed))
    }

    pub fn record_announced(&self, created: Revision, now: Moment) {
        self.announced.fetch_max(created.get(), Ordering::Relaxed);
        if self.is_outdated() {
            // It fails if the list has been outdated before.
            let _ = self.outdated_since.compare_exchange(
                0,
                now.get(),
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
    }

    pub fn is_outdated(&self) -> bool {
        self.announced.load(Ordering::Relaxed) > self.revision.load(Ordering::Relaxed)
    }

    pub fn outdated_time(&self, now: Moment) -> Option<Span> {
        let since = self.outdated_since.load(Ordering::Relaxed);
        (since > 0 && self.is_outdated()).then(|| now.since(Moment::new(since)))
    }
}
