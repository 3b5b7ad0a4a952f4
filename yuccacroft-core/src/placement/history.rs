//! The generations of members that a balancer went through.

use {
    super::{Candidate, Chain, Homes, Table, homes::HOMES_PER_KEY},
    crate::{
        flow::{Hop, Key},
        time::{Moment, Span},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Sets of members whose homes stay on chains, the current one included.
const GENERATIONS: usize = 4;
/// Time for which an earlier generation is kept: updates reach the last balancer after 5 s, and
/// its first flows are established and published again soon after.
const GENERATION_MEMORY: Span = Span::from_secs(15);
/// A weight that changes by less than its tenth does not rebuild the table.
const HYSTERESIS_PARTS: u64 = 10;

/// The tables of the last few sets of members, newest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    members: Box<[Candidate]>,
    table: Option<Arc<Table>>,
    generations: VecDeque<Generation>,
}

#[derive(Clone, Debug)]
struct Generation {
    homes: Arc<Homes>,
    replaced: Option<Moment>,
}

impl History {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the current members. Returns false when they differ too little from those in force
    /// for a new table. Homes change only with the set of members, never with weights.
    pub fn update(&mut self, members: &[Candidate], now: Moment) -> bool {
        let mut members = members.to_vec();
        members.sort_unstable();
        let same = self.table.is_some() && same_hops(&self.members, &members);
        if same && self.members.iter().zip(&members).all(|(old, new)| is_close(old, new)) {
            return false;
        }
        if !same {
            self.push(Homes::new(&members), now);
        }
        self.table = Some(Arc::new(Table::new(&members)));
        self.members = members.into();
        true
    }

    /// Takes an agent that said itself that it leaves out of earlier generations. One that is only
    /// suspected stays, since it may be alive and know where flows live.
    pub fn remove_departed(&mut self, left: Hop) {
        for generation in self.generations.iter_mut().skip(1) {
            generation.homes = Arc::new(generation.homes.without(left));
        }
    }

    /// Forgets generations that were replaced long ago.
    pub fn expire(&mut self, now: Moment) {
        let keep = |at: Moment| now.since(at) < GENERATION_MEMORY;
        self.generations.retain(|generation| generation.replaced.is_none_or(keep));
    }

    /// Returns the current table.
    pub fn current(&self) -> Option<&Table> {
        self.table.as_deref()
    }

    /// Returns true when an earlier generation is still kept.
    pub fn has_previous_generation(&self) -> bool {
        self.generations.len() > 1
    }

    /// Returns the candidates of a key. Nothing is allocated.
    pub fn chain(&self, key: Key) -> Chain {
        let Some(table) = &self.table else { return Chain::default() };
        let mut chain = Chain::new(table.first(key), table.second(key));
        for generation in &self.generations {
            generation.homes.of(key).take(HOMES_PER_KEY).for_each(|hop| chain.add_home(key, hop));
        }
        chain.with_front()
    }

    fn push(&mut self, homes: Homes, now: Moment) {
        if let Some(current) = self.generations.front_mut() {
            current.replaced = Some(now);
        }
        self.generations.push_front(Generation { homes: Arc::new(homes), replaced: None });
        self.generations.truncate(GENERATIONS);
    }
}

fn same_hops(old: &[Candidate], new: &[Candidate]) -> bool {
    old.len() == new.len() && old.iter().zip(new).all(|(old, new)| old.hop == new.hop)
}

fn is_close(old: &Candidate, new: &Candidate) -> bool {
    let (old, new) = (u64::from(old.weight.get()), u64::from(new.weight.get()));
    if old == 0 || new == 0 {
        return old == new;
    }
    old.abs_diff(new) * HYSTERESIS_PARTS < old
}
