//! Placement of untagged flows: weighted Maglev tables and candidate chains.
//!
//! Source of the table: Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load
//! Balancer", NSDI 2016, section 3.4, with weights as shares of the turns.

use {
    crate::{
        flow::{Hop, Key},
        units::Weight,
    },
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher13,
    std::{collections::VecDeque, hash::Hasher, sync::Arc},
};

/// Table sizes are primes, so that every step visits all entries.
const SIZES: [usize; 6] = [251, 1_021, 4_093, 16_381, 65_537, 262_139];
/// Entries a member at least, which bounds the error of its share to about 1%.
const ENTRIES_PER_MEMBER: usize = 100;
/// Generations whose first choices stay on the chain, the current one included.
const GENERATIONS: usize = 4;
/// Longest chain: two choices of the current generation and one of each earlier one.
pub const MAX_CHAIN: usize = GENERATIONS + 1;
const SECOND_CHOICE: u64 = 0x9e37_79b9_7f4a_7c15;

/// A member that may take new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The address and life of the agent.
    pub hop: Hop,
    /// Its share of new flows.
    pub weight: Weight,
}

/// The agents that a packet may go to, in order. Its length is at most [`MAX_CHAIN`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    hops: [Option<Hop>; MAX_CHAIN],
}

/// The lookup table of one set of members.
#[derive(Clone, Debug)]
pub struct Table {
    candidates: Box<[Candidate]>,
    entries: Box<[u16]>,
}

/// The tables of the last few sets of members, newest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    tables: VecDeque<Arc<Table>>,
}

impl Chain {
    /// Appends a hop unless it is there already or the chain is full.
    pub fn push(&mut self, hop: Hop) {
        for slot in &mut self.hops {
            match slot {
                Some(known) if *known == hop => return,
                Some(_) => {}
                None => {
                    *slot = Some(hop);
                    return;
                }
            }
        }
    }

    /// Returns the hops in order.
    pub fn iter(&self) -> impl Iterator<Item = Hop> + '_ {
        self.hops.iter().flatten().copied()
    }

    /// Returns the first hop.
    pub fn first(&self) -> Option<Hop> {
        self.hops[0]
    }

    /// Returns the hop at a position.
    pub fn get(&self, position: usize) -> Option<Hop> {
        self.hops.get(position).copied().flatten()
    }

    /// Returns the number of hops.
    pub fn len(&self) -> usize {
        self.iter().count()
    }

    /// Returns true when no member is left.
    pub fn is_empty(&self) -> bool {
        self.hops[0].is_none()
    }
}

impl Table {
    /// Builds the table. Members of weight zero get no entry; the order of `candidates` does not
    /// matter. More than 65,535 members are cut off.
    pub fn new(candidates: &[Candidate]) -> Self {
        let mut candidates: Vec<_> =
            candidates.iter().filter(|c| c.weight.get() > 0).copied().collect();
        candidates.sort_by_key(|candidate| candidate.hop);
        candidates.truncate(usize::from(u16::MAX));
        let entries = fill(&candidates);
        Self { candidates: candidates.into(), entries: entries.into() }
    }

    /// Returns the first choice for a key.
    pub fn first(&self, key: Key) -> Option<Hop> {
        self.choose(key.get())
    }

    /// Returns an independent second choice for a key, which may equal the first.
    pub fn second(&self, key: Key) -> Option<Hop> {
        self.choose(mix(key.get() ^ SECOND_CHOICE))
    }

    /// Returns the members that take new flows.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    fn choose(&self, hash: u64) -> Option<Hop> {
        if self.candidates.is_empty() {
            return None;
        }
        let entry = self.entries[(hash % self.entries.len() as u64) as usize];
        Some(self.candidates[usize::from(entry)].hop)
    }
}

impl History {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a table the current one. A table with the same members and weights is ignored, so
    /// that repeated news does not push out an older generation.
    pub fn push(&mut self, table: Table) {
        if self.tables.front().is_some_and(|current| current.candidates == table.candidates) {
            return;
        }
        self.tables.push_front(Arc::new(table));
        self.tables.truncate(GENERATIONS);
    }

    /// Returns the current table.
    pub fn current(&self) -> Option<&Table> {
        self.tables.front().map(|table| &**table)
    }

    /// Returns the candidates of a key: two choices of the current generation, then the first
    /// choices of the earlier ones.
    pub fn chain(&self, key: Key) -> Chain {
        let mut chain = Chain::default();
        let Some(current) = self.tables.front() else { return chain };
        let choices = [current.first(key), current.second(key)];
        let earlier = self.tables.iter().skip(1).map(|table| table.first(key));
        choices.into_iter().chain(earlier).flatten().for_each(|hop| chain.push(hop));
        chain
    }
}

fn fill(candidates: &[Candidate]) -> Vec<u16> {
    let Some(max) = candidates.iter().map(|c| c.weight.get()).max() else { return Vec::new() };
    let wanted = candidates.len() * ENTRIES_PER_MEMBER;
    let size = SIZES.iter().copied().find(|&size| size >= wanted).unwrap_or(SIZES[5]);
    let mut turns: Vec<Turn> = candidates.iter().map(|c| Turn::new(c, size)).collect();
    let mut entries = vec![u16::MAX; size];
    let mut left = size;
    while left > 0 {
        for (index, turn) in turns.iter_mut().enumerate() {
            // Each round grants a member its weight over the largest one; a whole turn is an entry.
            turn.credit += candidates[index].weight.get();
            if turn.credit < max {
                continue;
            }
            turn.credit -= max;
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
    credit: u32,
}

impl Turn {
    fn new(candidate: &Candidate, size: usize) -> Self {
        let instance = candidate.hop.instance.to_bits();
        let position = (mix(instance) % size as u64) as usize;
        let skip = (mix(instance ^ SECOND_CHOICE) % (size as u64 - 1)) as usize + 1;
        Self { position, skip, credit: 0 }
    }

    fn take(&mut self, entries: &mut [u16], index: u16) {
        while entries[self.position] != u16::MAX {
            self.position = (self.position + self.skip) % entries.len();
        }
        entries[self.position] = index;
    }
}

/// Hashes without a secret: all balancers must agree, and the key itself is a keyed hash.
fn mix(value: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(value);
    hasher.finish()
}
