//! Whether the refusal of an opening segment proves that no agent took its flow.
//!
//! A caller repeats an opening segment that is not answered. Its copies may reach several
//! balancers, and each of them offers its copy to the agents that it knows. All agents of one
//! balancer may refuse a copy while an agent has taken another copy from another balancer. A reset
//! would then break an open flow. So a refusal is a proof only if every copy that the caller can
//! have sent by now came to this balancer and was refused.

use crate::{
    flow::FlowKey,
    shards::Shards,
    time::{Moment, Span},
};

/// Age of a copy up to which its refusal is a proof. Callers send the second copy 200 ms after the
/// first. An agent passes a copy on after 60 ms without an answer of its upstream, which may still
/// accept it, so a later refusal may rest on that silence.
const MAX_LATEST_AGE: Span = Span::from_millis(60);
/// Time for which the copies of a flow are remembered. Callers give up after 1.4 s.
const OPENING_TTL: Span = Span::from_secs(2);
/// Maximum number of flows, which bounds the memory to 4 MB at 64 bytes per flow.
const MAX_FLOWS: usize = 1 << 16;

/// The opening segments that one balancer has offered to agents.
#[derive(Debug, Default)]
pub struct OpeningTable {
    flows: Shards<FlowKey, Copies>,
}

/// The copies of the opening segment of one flow. The first copy has the number 0.
#[derive(Clone, Copy, Debug)]
struct Copies {
    /// The highest number of a copy.
    latest: u32,
    /// The earliest time at which the latest copy may have arrived.
    latest_arrived_at: Moment,
    /// The number of copies that were refused before the first one that was not.
    refused: u32,
    offered_at: Moment,
}

impl OpeningTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a copy of an opening segment, which arrived at `arrived_at` at the earliest, is
    /// offered to agents. A full table records no new flow, so its refusal will prove nothing.
    pub fn record_offer(&self, key: FlowKey, copy: u32, arrived_at: Moment, now: Moment) {
        let is_full = self.flows.shard_len(&key) >= MAX_FLOWS / self.flows.shard_count();
        self.flows.update(key, |slot| {
            if slot.is_none() && is_full {
                return;
            }
            let copies = slot.get_or_insert(Copies {
                latest: copy,
                latest_arrived_at: arrived_at,
                refused: 0,
                offered_at: now,
            });
            copies.offered_at = now;
            if copy > copies.latest {
                copies.latest = copy;
                copies.latest_arrived_at = arrived_at;
            }
        });
    }

    /// Records that all agents refused a copy. Returns true if this proves that no agent took the
    /// flow.
    pub fn record_refusal(&self, key: FlowKey, copy: u32, now: Moment) -> bool {
        self.flows.update(key, |slot| {
            let Some(copies) = slot else { return false };
            if copy == copies.refused {
                copies.refused = copies.refused.saturating_add(1);
            }
            copies.refused > copies.latest && now.since(copies.latest_arrived_at) < MAX_LATEST_AGE
        })
    }

    /// Removes expired entries.
    pub fn expire(&self, now: Moment) {
        self.flows.retain(|_, copies| now.since(copies.offered_at) < OPENING_TTL);
    }
}
