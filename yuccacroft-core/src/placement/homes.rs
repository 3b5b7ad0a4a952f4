//! The homes of a key: the agents at which the owner of the key is registered.
//!
//! Homes are the members of the highest rank for a key (rendezvous hashing; Thaler and Ravishankar,
//! "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking, 1998).
//! Weights play no part. Let two sets of members share at least one member. The best shared member
//! of a key is beaten only by members that one of the sets lacks, so sets that differ by at most
//! three members on each side have a home in common for every key.

use {
    super::{Candidate, mix, mix_instance},
    crate::{
        flow::{Hop, Key},
        ids::Instance,
    },
    std::cmp::Reverse,
};

/// Homes of one set of members: one more than the changes by which two sets may differ.
pub const HOMES_PER_KEY: usize = 4;
/// Keys are ranked in groups, so that lookups need no hash over all members. The number is part of
/// the protocol: all processes must use the same.
const GROUPS: usize = 1_024;

/// The homes of all keys for one set of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    groups: Box<[[Option<Hop>; HOMES_PER_KEY]]>,
}

impl Homes {
    /// Ranks the members for every group of keys.
    pub fn new(members: &[Candidate]) -> Self {
        let hashed: Vec<_> =
            members.iter().map(|m| (mix_instance(m.hop.instance), m.hop)).collect();
        Self { groups: (0..GROUPS as u64).map(|group| best(group, &hashed)).collect() }
    }

    /// Returns the same homes without an agent that left.
    pub fn without(&self, left: Hop) -> Self {
        let keep = |home: Option<Hop>| home.filter(|home| *home != left);
        Self { groups: self.groups.iter().map(|homes| homes.map(keep)).collect() }
    }

    /// Returns the homes of a key, the highest rank first.
    pub fn of(&self, key: Key) -> impl Iterator<Item = Hop> + '_ {
        let homes = self.groups.get(group(key) as usize);
        homes.into_iter().flatten().flatten().copied()
    }
}

/// Returns the rank of a member for a key. It depends on the address alone, so that a restart does
/// not change the order.
pub fn rank(key: Key, instance: Instance) -> u64 {
    mix(mix_instance(instance) ^ mix(group(key)))
}

fn group(key: Key) -> u64 {
    mix(key.get()) % GROUPS as u64
}

fn best(group: u64, members: &[(u64, Hop)]) -> [Option<Hop>; HOMES_PER_KEY] {
    let salt = mix(group);
    let mut best = [None; HOMES_PER_KEY];
    for &(hash, hop) in members {
        insert(&mut best, (Reverse(mix(hash ^ salt)), hop));
    }
    best.map(|entry| entry.map(|(_, hop)| hop))
}

fn insert(best: &mut [Option<(Reverse<u64>, Hop)>], candidate: (Reverse<u64>, Hop)) {
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
