//! The flow cache of a balancer: which agent each flow was offered to, which agent owns it, or that
//! it is lost.
//!
//! The owner of a flow that has no entry is searched for; see [`crate::search`].

use {
    crate::{
        flow::{AgentId, FlowKey},
        ids::Instance,
        pool::EvidenceVersion,
        segment::{Control, Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
    },
    std::collections::BTreeMap,
};

/// Upper bound of the idle time after which the entry of an owned flow is removed. Flows that are
/// silent for longer are rare, and their owners are searched for again.
const MAX_IDLE_TIME: Span = Span::from_secs(60);
/// Time for which offered and lost flows are kept. The segments of a lost flow are answered with a
/// reset during this time, which is longer than callers retry. They do not extend it, so that a
/// wrong verdict ends while the flow is in use.
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
        /// The position that the last segment of the flow acknowledged, if one has been seen.
        acknowledged: Option<Sequence>,
    },
    /// The flow is lost: no reachable agent owns it.
    Lost(LossVerdict),
}

/// The result of a search that found no owner. It holds for one flow and for as long as the evidence
/// does not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossVerdict {
    /// The time at which the loss was detected.
    pub detected_at: Moment,
    /// The position that the segments of the flow acknowledge. It tells the flow from a later one
    /// with the same key, which a segment at another balancer has opened.
    pub acknowledged: Sequence,
    /// The version of the evidence that the search rests on.
    pub evidence: EvidenceVersion,
}

impl CachedFlow {
    /// Returns true if the flow is owned, and a segment with the same key belongs to another one.
    pub fn is_other_flow(self, segment: &Segment) -> bool {
        match self {
            Self::Owned { acknowledged: Some(known), .. } => !segment.acknowledged.is_near(known),
            _ => false,
        }
    }

    /// Returns the agent that owns the flow or was offered it.
    pub fn agent(self) -> Option<Instance> {
        match self {
            Self::Offered { to, .. } => Some(to),
            Self::Owned { owner, .. } => Some(owner.instance),
            Self::Lost(_) => None,
        }
    }
}

impl LossVerdict {
    /// Returns true if the verdict holds for a segment, given the present version of the evidence.
    /// If it does not, the owner of the segment's flow is searched for.
    pub fn applies_to(&self, segment: &Segment, evidence: EvidenceVersion) -> bool {
        self.evidence == evidence && segment.acknowledged.is_near(self.acknowledged)
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

    /// Returns the state of the flow of a segment and restarts its idle time.
    pub fn touch(&self, key: FlowKey, segment: &Segment, now: Moment) -> Option<CachedFlow> {
        self.records.update(key, |record| {
            if let Some(CachedFlow::Owned { at, acknowledged, .. }) = record {
                *at = now;
                let is_opening = segment.control == Control::Open;
                if !is_opening
                    && acknowledged.is_none_or(|known| segment.acknowledged.is_near(known))
                {
                    *acknowledged = Some(segment.acknowledged);
                }
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
        self.insert(key, CachedFlow::Owned { owner, at: now, acknowledged: None });
    }

    /// Records that a flow is lost. Returns false and changes nothing if an agent owns the flow or
    /// was offered it since the search began: the verdict is about an earlier flow with this key.
    pub fn mark_lost(&self, key: FlowKey, verdict: LossVerdict) -> bool {
        let is_full = self.is_full(&key);
        self.records.update(key, |record| match record {
            Some(CachedFlow::Owned { .. } | CachedFlow::Offered { .. }) => false,
            None if is_full => true,
            None | Some(CachedFlow::Lost(_)) => {
                *record = Some(CachedFlow::Lost(verdict));
                true
            }
        })
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
            CachedFlow::Offered { at, .. } => now.since(at) < UNOWNED_TTL,
            CachedFlow::Lost(verdict) => now.since(verdict.detected_at) < UNOWNED_TTL,
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
            CachedFlow::Lost(_) => (owners, lost + 1),
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
        let is_full = self.is_full(&key);
        self.records.update(key, |record| {
            if record.is_some() || !is_full {
                *record = Some(new);
            }
        });
    }

    fn is_full(&self, key: &FlowKey) -> bool {
        self.records.shard_len(key) >= MAX_ENTRIES / self.records.shard_count()
    }
}
