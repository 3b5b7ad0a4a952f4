//! The flow cache of a balancer: which agent each flow was offered to, which agent owns it, or that
//! it is lost.
//!
//! The owner of a flow that has no entry is searched for; see [`crate::search`].

use {
    crate::{
        flow::{AgentId, FlowKey},
        ids::Instance,
        shards::Shards,
        time::{Moment, Span},
    },
    std::collections::BTreeMap,
};

/// Upper bound of the idle time after which the entry of an owned flow is removed. Flows that are
/// silent for longer are rare, and their owners are searched for again.
const MAX_IDLE_TIME: Span = Span::from_secs(60);
/// Time for which offered and lost flows are kept. The segments of a lost flow are answered with a
/// reset during this time, which is longer than callers retry.
const UNOWNED_TTL: Span = Span::from_secs(10);
/// Maximum number of entries, which bounds the memory to 64 MB at 64 bytes per entry.
const MAX_ENTRIES: usize = 1 << 20;

/// The cached state of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedFlow {
    /// An opening segment was offered to an agent.
    Offered {
        /// The agent that took the flow, or else the first one that it was offered to.
        to: Instance,
        /// Whether an agent reported that it took the flow.
        taken: bool,
        /// The time of the offer or of the report.
        at: Moment,
    },
    /// An agent owns the flow.
    Owned {
        /// The owner.
        owner: AgentId,
        /// The time of the last segment of the flow.
        at: Moment,
    },
    /// The flow is lost: no reachable agent owns it.
    Lost {
        /// The time of the latest reset, from which the entry expires.
        at: Moment,
        /// The time at which the loss was detected.
        detected_at: Moment,
    },
}

impl CachedFlow {
    /// Returns the agent that owns the flow or was offered it.
    pub fn agent(self) -> Option<Instance> {
        match self {
            Self::Offered { to, .. } => Some(to),
            Self::Owned { owner, .. } => Some(owner.instance),
            Self::Lost { .. } => None,
        }
    }
}

/// The flow cache of one balancer.
#[derive(Debug, Default)]
pub struct SteeringTable {
    records: Shards<FlowKey, CachedFlow>,
}

impl SteeringTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state of a flow and restarts its idle time.
    pub fn touch(&self, key: FlowKey, now: Moment) -> Option<CachedFlow> {
        self.records.update(key, |record| {
            if let Some(CachedFlow::Owned { at, .. }) = record {
                *at = now;
            }
            *record
        })
    }

    /// Returns the state of a flow without restarting its idle time.
    pub fn get(&self, key: FlowKey) -> Option<CachedFlow> {
        self.records.get(&key)
    }

    /// Records that an opening segment was sent to an agent.
    pub fn record_offer(&self, key: FlowKey, to: Instance, now: Moment) {
        self.insert(key, CachedFlow::Offered { to, taken: false, at: now });
    }

    /// Records that an agent took an opening segment. A flow that has an owner keeps it.
    pub fn record_taken(&self, key: FlowKey, by: Instance, now: Moment) {
        self.records.update(key, |record| match record {
            Some(CachedFlow::Owned { .. }) => {}
            _ => *record = Some(CachedFlow::Offered { to: by, taken: true, at: now }),
        });
    }

    /// Records the owner of a flow.
    pub fn set_owner(&self, key: FlowKey, owner: AgentId, now: Moment) {
        self.insert(key, CachedFlow::Owned { owner, at: now });
    }

    /// Records that a flow is lost. A flow that is lost already is kept for longer.
    pub fn mark_lost(&self, key: FlowKey, now: Moment) {
        let detected_at = match self.get(key) {
            Some(CachedFlow::Lost { detected_at, .. }) => detected_at,
            _ => now,
        };
        self.insert(key, CachedFlow::Lost { at: now, detected_at });
    }

    /// Removes the entry of a flow.
    pub fn remove(&self, key: FlowKey) {
        self.records.remove(&key);
    }

    /// Removes expired entries. `idle` is the operator's idle timeout for owned flows, which can
    /// only shorten the built-in one.
    pub fn expire(&self, idle: Option<Span>, now: Moment) {
        let idle_timeout = idle.map_or(MAX_IDLE_TIME, |idle| idle.min(MAX_IDLE_TIME));
        self.records.retain(|_, record| match *record {
            CachedFlow::Owned { at, .. } => now.since(at) < idle_timeout,
            CachedFlow::Offered { at, .. } | CachedFlow::Lost { at, .. } => {
                now.since(at) < UNOWNED_TTL
            }
        });
    }

    /// Returns the number of flows that each agent owns or was offered, and the number of lost
    /// flows.
    pub fn count_by_agent(&self) -> (BTreeMap<Instance, usize>, usize) {
        self.records.fold((BTreeMap::new(), 0), |(mut owners, lost), _, record| match record {
            CachedFlow::Owned { owner, .. } => {
                *owners.entry(owner.instance).or_default() += 1;
                (owners, lost)
            }
            CachedFlow::Offered { to, .. } => {
                *owners.entry(*to).or_default() += 1;
                (owners, lost)
            }
            CachedFlow::Lost { .. } => (owners, lost + 1),
        })
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there is no entry.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Inserts or replaces the entry of a flow. A full table takes no new flow: the owner of such a
    /// flow is searched for with each segment, which is slower but correct.
    fn insert(&self, key: FlowKey, new: CachedFlow) {
        let is_full = self.records.shard_len(&key) >= MAX_ENTRIES / self.records.shard_count();
        self.records.update(key, |record| {
            if record.is_some() || !is_full {
                *record = Some(new);
            }
        });
    }
}
