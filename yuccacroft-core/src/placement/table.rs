//! Weighted Maglev tables.
//!
//! Source: Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer", NSDI
//! 2016, section 3.4. A member takes turns in proportion to its weight.

use {
    super::{Candidate, GOLDEN_GAMMA, mix, mix_instance},
    crate::flow::{AgentId, FlowKey},
};

/// Table sizes. They are primes, so that every skip visits all entries.
const SIZES: [usize; 6] = [251, 1_021, 4_093, 16_381, 65_537, 262_139];
/// Minimum number of entries per member, up to the largest table size. It bounds the error of a
/// member's share to about 1%.
const MIN_ENTRIES_PER_MEMBER: usize = 100;
const VACANT: u16 = u16::MAX;

/// The lookup table of one set of members.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    candidates: Box<[Candidate]>,
    entries: Box<[u16]>,
}

impl PlacementTable {
    /// Builds the table. Members of weight zero get no entry. The order of `candidates` has no
    /// effect. Members beyond the first 65,535, in the order of their addresses, are left out.
    pub fn new(candidates: &[Candidate]) -> Self {
        let mut candidates: Vec<_> =
            candidates.iter().filter(|c| c.weight.get() > 0).copied().collect();
        candidates.sort_by_key(|candidate| candidate.agent_id);
        candidates.truncate(usize::from(VACANT));
        let entries = fill_entries(&candidates);
        Self { candidates: candidates.into(), entries: entries.into() }
    }

    /// Returns the first choice for a key.
    pub fn first(&self, key: FlowKey) -> Option<AgentId> {
        self.entries.get(self.position(key.get())).map(|entry| self.agent_id(*entry))
    }

    /// Returns the second choice for a key. It differs from the first if the table has two or more
    /// members; otherwise the failure of one member would leave some keys without a live choice.
    pub fn second(&self, key: FlowKey) -> Option<AgentId> {
        let first = *self.entries.get(self.position(key.get()))?;
        let (before, after) = self.entries.split_at(self.position(mix(key.get() ^ GOLDEN_GAMMA)));
        let other = after.iter().chain(before).find(|entry| **entry != first);
        Some(self.agent_id(*other.unwrap_or(&first)))
    }

    /// Returns the members that receive new flows.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the table position of a hash, zero for an empty table.
    fn position(&self, hash: u64) -> usize {
        hash.checked_rem(self.entries.len() as u64).unwrap_or_default() as usize
    }

    fn agent_id(&self, entry: u16) -> AgentId {
        self.candidates[usize::from(entry)].agent_id
    }
}

fn fill_entries(candidates: &[Candidate]) -> Vec<u16> {
    let Some(max) = candidates.iter().map(|c| c.weight.get()).max() else { return Vec::new() };
    let wanted = candidates.len() * MIN_ENTRIES_PER_MEMBER;
    let size = SIZES.iter().copied().find(|&size| size >= wanted).unwrap_or(SIZES[5]);
    let mut permutations: Vec<Permutation> =
        candidates.iter().map(|c| Permutation::new(c, size, max)).collect();
    let mut entries = vec![VACANT; size];
    let mut vacant = size;
    while vacant > 0 {
        for (index, permutation) in permutations.iter_mut().enumerate() {
            // Each round credits a member with its weight relative to the largest one; a full
            // credit yields an entry.
            permutation.credit += u64::from(candidates[index].weight.get());
            if permutation.credit < u64::from(max) {
                continue;
            }
            permutation.credit -= u64::from(max);
            permutation.claim_entry(&mut entries, index as u16);
            vacant -= 1;
            if vacant == 0 {
                break;
            }
        }
    }
    entries
}

/// The iteration of one member over its permutation of the table positions.
struct Permutation {
    position: usize,
    skip: usize,
    credit: u64,
}

impl Permutation {
    /// Starts with enough credit for one entry in the first round, so that a member of very small
    /// weight is not left out.
    fn new(candidate: &Candidate, size: usize, max: u32) -> Self {
        let hash = mix_instance(candidate.agent_id.instance);
        let position = (hash % size as u64) as usize;
        let skip = (mix(hash) % (size as u64 - 1)) as usize + 1;
        let credit = u64::from(max - candidate.weight.get());
        Self { position, skip, credit }
    }

    fn claim_entry(&mut self, entries: &mut [u16], index: u16) {
        while entries[self.position] != VACANT {
            self.position = (self.position + self.skip) % entries.len();
        }
        entries[self.position] = index;
    }
}
