//! What a balancer remembers of flows: where each one was offered, who owns it, or that it is lost.
//!
//! The memory is a cache. Without an entry the owner is searched; see [`crate::search`].

use {
    crate::{
        flow::{Hop, Key},
        ids::Instance,
        shards::Shards,
        time::{Moment, Span},
    },
    std::collections::BTreeMap,
};

/// Longest time after which an unused entry is forgotten; flows that are silent for longer are rare
/// and are searched.
const LONGEST_MEMORY: Span = Span::from_secs(60);
/// Time for which the segments of a lost flow are answered with a reset: longer than callers try.
const LOSS_MEMORY: Span = Span::from_secs(10);
/// Entries at most, so that memory stays bounded: 64 MB with 64 bytes an entry.
const MAX_ENTRIES: usize = 1 << 20;

/// What is known of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// An opening segment was offered to an agent.
    Offered {
        /// The agent that took it, or the first one that it was sent to.
        to: Instance,
        /// Whether an agent said that it took it.
        taken: bool,
        /// When it was sent.
        at: Moment,
    },
    /// An agent owns the flow.
    Owned {
        /// The agent.
        owner: Hop,
        /// When a segment of the flow was seen last.
        at: Moment,
    },
    /// Its upstream is gone.
    Lost {
        /// When that was found out.
        at: Moment,
    },
}

/// The flows of one balancer.
#[derive(Debug, Default)]
pub struct Table {
    records: Shards<Key, Record>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is known of a flow that has a segment now.
    pub fn touch(&self, key: Key, now: Moment) -> Option<Record> {
        self.records.update(key, |record| {
            if let Some(Record::Owned { at, .. }) = record {
                *at = now;
            }
            *record
        })
    }

    /// Returns what is known of a flow.
    pub fn get(&self, key: Key) -> Option<Record> {
        self.records.get(&key)
    }

    /// Notes that an opening segment was sent to an agent.
    pub fn offer(&self, key: Key, to: Instance, now: Moment) {
        self.set(key, Record::Offered { to, taken: false, at: now });
    }

    /// Notes that an agent took an opening segment. A flow that has an owner keeps it.
    pub fn take(&self, key: Key, by: Instance, now: Moment) {
        self.records.update(key, |record| match record {
            Some(Record::Owned { .. }) => {}
            _ => *record = Some(Record::Offered { to: by, taken: true, at: now }),
        });
    }

    /// Notes the owner of a flow.
    pub fn own(&self, key: Key, owner: Hop, now: Moment) {
        self.set(key, Record::Owned { owner, at: now });
    }

    /// Notes that a flow is lost.
    pub fn lose(&self, key: Key, now: Moment) {
        self.set(key, Record::Lost { at: now });
    }

    /// Forgets a flow.
    pub fn forget(&self, key: Key) {
        self.records.remove(&key);
    }

    /// Forgets what is old. `idle` is the time after which the operator lets a silent flow be
    /// forgotten.
    pub fn expire(&self, idle: Option<Span>, now: Moment) {
        let memory = idle.map_or(LONGEST_MEMORY, |idle| idle.min(LONGEST_MEMORY));
        self.records.retain(|_, record| match *record {
            Record::Owned { at, .. } => now.since(at) < memory,
            Record::Offered { at, .. } | Record::Lost { at } => now.since(at) < LOSS_MEMORY,
        });
    }

    /// Returns the number of flows of each agent that owns them or was offered them, and the number
    /// of lost ones.
    pub fn owners(&self) -> (BTreeMap<Instance, usize>, usize) {
        self.records.fold((BTreeMap::new(), 0), |(mut owners, lost), _, record| match record {
            Record::Owned { owner, .. } => {
                *owners.entry(owner.instance).or_default() += 1;
                (owners, lost)
            }
            Record::Offered { to, .. } => {
                *owners.entry(*to).or_default() += 1;
                (owners, lost)
            }
            Record::Lost { .. } => (owners, lost + 1),
        })
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true when no flow is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// A full table takes no further flow: its segments are searched each time, which is slower but
    /// right.
    fn set(&self, key: Key, new: Record) {
        let full = self.records.shard_len(&key) >= MAX_ENTRIES / self.records.shard_count();
        self.records.update(key, |record| {
            if record.is_some() || !full {
                *record = Some(new);
            }
        });
    }
}
