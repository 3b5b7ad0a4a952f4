//! The homes of a flow key: the agents at which the owner of the flow is registered.
//!
//! Homes are the members of the highest rank for a key (rendezvous hashing; Thaler and Ravishankar,
//! "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking, 1998).
//! Weights have no effect. If two sets share a member, the shared member of the highest rank is
//! preceded, in each set, only by members that the other set lacks. Sets that differ by at most
//! three members on each side therefore have a common home for every key.

use {
    super::{Candidate, mix, mix_instance},
    crate::{
        flow::{AgentId, FlowKey},
        ids::Instance,
    },
    std::cmp::Reverse,
};

/// Number of homes per key in one set of members: one more than the number of members by which the
/// sets of two balancers may differ on each side.
pub const HOMES_PER_KEY: usize = 4;
/// Number of key groups. All keys of a group have the same homes, so that a lookup need not hash
/// all members. The number is part of the protocol: all processes must use the same one.
const KEY_GROUPS: usize = 1_024;

/// The homes of all keys for one set of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    groups: Box<[[Option<AgentId>; HOMES_PER_KEY]]>,
}

impl Homes {
    /// Computes the homes of every key group.
    pub fn new(members: &[Candidate]) -> Self {
        let hashed: Vec<_> =
            members.iter().map(|m| (mix_instance(m.agent_id.instance), m.agent_id)).collect();
        Self { groups: (0..KEY_GROUPS as u64).map(|group| top_homes(group, &hashed)).collect() }
    }

    /// Returns a copy without an agent that departed.
    pub fn without(&self, departed: AgentId) -> Self {
        let keep = |home: Option<AgentId>| home.filter(|home| *home != departed);
        Self { groups: self.groups.iter().map(|homes| homes.map(keep)).collect() }
    }

    /// Returns true if no members are known.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the homes of each key group, by number of the group.
    pub(super) fn groups(&self) -> impl Iterator<Item = &[Option<AgentId>]> {
        self.groups.iter().map(<[_; HOMES_PER_KEY]>::as_slice)
    }

    /// Returns the homes of a key in descending order of rank.
    pub fn of(&self, key: FlowKey) -> impl Iterator<Item = AgentId> + '_ {
        let homes = self.groups.get(key_group(key) as usize);
        homes.into_iter().flatten().flatten().copied()
    }
}

/// Returns the rank of a member for a key. It depends on the address only, so that a restart does
/// not change the order.
pub fn rank(key: FlowKey, instance: Instance) -> u64 {
    mix(mix_instance(instance) ^ mix(key_group(key)))
}

pub(super) fn key_group(key: FlowKey) -> u64 {
    mix(key.get()) % KEY_GROUPS as u64
}

fn top_homes(group: u64, members: &[(u64, AgentId)]) -> [Option<AgentId>; HOMES_PER_KEY] {
    let salt = mix(group);
    let mut best = [None; HOMES_PER_KEY];
    for &(hash, agent_id) in members {
        insert_ranked(&mut best, (Reverse(mix(hash ^ salt)), agent_id));
    }
    best.map(|entry| entry.map(|(_, agent_id)| agent_id))
}

fn insert_ranked(best: &mut [Option<(Reverse<u64>, AgentId)>], candidate: (Reverse<u64>, AgentId)) {
    let mut candidate = Some(candidate);
    for slot in best {
        if slot.is_none_or(|held| candidate.is_some_and(|candidate| candidate < held)) {
            std::mem::swap(slot, &mut candidate);
        }
        if candidate.is_none() {
            return;
        }
    }
}
