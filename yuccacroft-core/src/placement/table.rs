//! Weighted Maglev tables.
//!
//! Source: Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer", NSDI
//! 2016, section 3.4, with weights as shares of the turns.

use {
    super::{Candidate, SECOND_CHOICE, mix, mix_instance},
    crate::flow::{Hop, Key},
};

/// Table sizes are primes, so that every step visits all entries.
const SIZES: [usize; 6] = [251, 1_021, 4_093, 16_381, 65_537, 262_139];
/// Entries a member at least, which bounds the error of its share to about 1%.
const ENTRIES_PER_MEMBER: usize = 100;
const VACANT: u16 = u16::MAX;

/// The lookup table of one set of members.
#[derive(Clone, Debug)]
pub struct Table {
    candidates: Box<[Candidate]>,
    entries: Box<[u16]>,
}

impl Table {
    /// Builds the table. Members of weight zero get no entry; the order of `candidates` does not
    /// matter. More than 65,535 members are cut off.
    pub fn new(candidates: &[Candidate]) -> Self {
        let mut candidates: Vec<_> =
            candidates.iter().filter(|c| c.weight.get() > 0).copied().collect();
        candidates.sort_by_key(|candidate| candidate.hop);
        candidates.truncate(usize::from(VACANT));
        let entries = fill(&candidates);
        Self { candidates: candidates.into(), entries: entries.into() }
    }

    /// Returns the first choice for a key.
    pub fn first(&self, key: Key) -> Option<Hop> {
        self.entries.get(self.position(key.get())).map(|entry| self.hop(*entry))
    }

    /// Returns a second choice for a key, which differs from the first when there are two members.
    /// Otherwise the death of one member would leave some keys without any live choice.
    pub fn second(&self, key: Key) -> Option<Hop> {
        let first = *self.entries.get(self.position(key.get()))?;
        let (before, after) = self.entries.split_at(self.position(mix(key.get() ^ SECOND_CHOICE)));
        let other = after.iter().chain(before).find(|entry| **entry != first);
        Some(self.hop(*other.unwrap_or(&first)))
    }

    /// Returns the members that take new flows.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns zero for an empty table.
    fn position(&self, hash: u64) -> usize {
        hash.checked_rem(self.entries.len() as u64).unwrap_or_default() as usize
    }

    fn hop(&self, entry: u16) -> Hop {
        self.candidates[usize::from(entry)].hop
    }
}

fn fill(candidates: &[Candidate]) -> Vec<u16> {
    let Some(max) = candidates.iter().map(|c| c.weight.get()).max() else { return Vec::new() };
    let wanted = candidates.len() * ENTRIES_PER_MEMBER;
    let size = SIZES.iter().copied().find(|&size| size >= wanted).unwrap_or(SIZES[5]);
    let mut turns: Vec<Turn> = candidates.iter().map(|c| Turn::new(c, size, max)).collect();
    let mut entries = vec![VACANT; size];
    let mut left = size;
    while left > 0 {
        for (index, turn) in turns.iter_mut().enumerate() {
            // Each round grants a member its weight over the largest one; a whole turn is an entry.
            turn.credit += u64::from(candidates[index].weight.get());
            if turn.credit < u64::from(max) {
                continue;
            }
            turn.credit -= u64::from(max);
            turn.take(&mut entries, index as u16);
            left -= 1;
            if left == 0 {
                break;
            }
        }
    }
    entries
}

/// The position of one member in its permutation of the table.
struct Turn {
    position: usize,
    skip: usize,
    credit: u64,
}

impl Turn {
    /// Everyone begins with enough credit for one entry in the first round, so that a member of a
    /// very small weight is not left out.
    fn new(candidate: &Candidate, size: usize, max: u32) -> Self {
        let hash = mix_instance(candidate.hop.instance);
        let position = (hash % size as u64) as usize;
        let skip = (mix(hash) % (size as u64 - 1)) as usize + 1;
        let credit = u64::from(max - candidate.weight.get());
        Self { position, skip, credit }
    }

    fn take(&mut self, entries: &mut [u16], index: u16) {
        while entries[self.position] != VACANT {
            self.position = (self.position + self.skip) % entries.len();
        }
        entries[self.position] = index;
    }
}
