//! The sets of members that a balancer has used recently, as generations of homes.

use {
    super::{Candidate, CandidateChain, Homes, PlacementTable, homes::HOMES_PER_KEY},
    crate::{
        flow::{AgentId, FlowKey},
        time::{Moment, Span},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of generations whose homes are on chains, including the current one.
const MAX_GENERATIONS: usize = 4;
/// Time for which an earlier generation is kept. Updates reach the last balancer after 5 s, and the
/// first flows that it places are established and published again soon after.
const GENERATION_RETENTION: Span = Span::from_secs(15);
/// A change of a weight by less than the weight divided by this number does not rebuild the table.
const HYSTERESIS_DIVISOR: u64 = 10;

/// The current table, and the homes of the last few sets of members, newest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    members: Box<[Candidate]>,
    table: Option<Arc<PlacementTable>>,
    generations: VecDeque<Generation>,
}

#[derive(Clone, Debug)]
struct Generation {
    homes: Arc<Homes>,
    replaced_at: Option<Moment>,
}

impl History {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the current members. Returns false if they differ too little from those of the
    /// present table to rebuild it. Homes change only with the set of members, not with their
    /// weights.
    pub fn update(&mut self, members: &[Candidate], now: Moment) -> bool {
        let mut members = members.to_vec();
        members.sort_unstable();
        let same = self.table.is_some() && have_same_agents(&self.members, &members);
        if same
            && self.members.iter().zip(&members).all(|(old, new)| is_within_hysteresis(old, new))
        {
            return false;
        }
        if !same {
            self.push(Homes::new(&members), now);
        }
        self.table = Some(Arc::new(PlacementTable::new(&members)));
        self.members = members.into();
        true
    }

    /// Removes an agent that announced its own departure from earlier generations. An agent that is
    /// only suspected stays, since it may be alive and know the owners of flows.
    pub fn remove_departed(&mut self, departed: AgentId) {
        for generation in self.generations.iter_mut().skip(1) {
            generation.homes = Arc::new(generation.homes.without(departed));
        }
    }

    /// Removes generations that were replaced longer ago than the retention time.
    pub fn expire(&mut self, now: Moment) {
        let keep = |at: Moment| now.since(at) < GENERATION_RETENTION;
        self.generations.retain(|generation| generation.replaced_at.is_none_or(keep));
    }

    /// Returns the current table.
    pub fn current(&self) -> Option<&PlacementTable> {
        self.table.as_deref()
    }

    /// Returns true if an earlier generation is still kept.
    pub fn has_previous_generation(&self) -> bool {
        self.generations.len() > 1
    }

    /// Returns the chain of a key, without allocating memory.
    pub fn chain(&self, key: FlowKey) -> CandidateChain {
        let Some(table) = &self.table else { return CandidateChain::default() };
        let mut chain = CandidateChain::new(table.first(key), table.second(key));
        for generation in &self.generations {
            generation
                .homes
                .of(key)
                .take(HOMES_PER_KEY)
                .for_each(|agent_id| chain.add_home(key, agent_id));
        }
        chain.with_fallback()
    }

    fn push(&mut self, homes: Homes, now: Moment) {
        if let Some(current) = self.generations.front_mut() {
            current.replaced_at = Some(now);
        }
        self.generations.push_front(Generation { homes: Arc::new(homes), replaced_at: None });
        self.generations.truncate(MAX_GENERATIONS);
    }
}

fn have_same_agents(old: &[Candidate], new: &[Candidate]) -> bool {
    old.len() == new.len() && old.iter().zip(new).all(|(old, new)| old.agent_id == new.agent_id)
}

fn is_within_hysteresis(old: &Candidate, new: &Candidate) -> bool {
    let (old, new) = (u64::from(old.weight.get()), u64::from(new.weight.get()));
    if old == 0 || new == 0 {
        return old == new;
    }
    old.abs_diff(new) * HYSTERESIS_DIVISOR < old
}
