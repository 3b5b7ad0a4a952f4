//! Rounds among callers: the requests that one caller has waiting are spread over as many rounds, so
//! that a caller with many flows does not delay those with one.

use {
    crate::route::Priority,
    std::{collections::HashMap, net::Ipv4Addr},
};

newtype! {
    /// The number of a round, counted for each priority.
    Round(u64), "the number of a round"
}

/// The rounds of one backlog. Callers are told apart by their addresses without the ports.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    current: HashMap<Priority, Round>,
    waiting: HashMap<(Priority, Ipv4Addr), u32>,
}

impl Rounds {
    /// Returns the round of the next request of a caller.
    pub fn next(&self, priority: Priority, caller: Ipv4Addr) -> Round {
        let waiting = self.waiting.get(&(priority, caller)).copied().unwrap_or_default();
        Round::new(self.current(priority).get() + u64::from(waiting))
    }

    /// Returns the number of rounds from the current one to this one.
    pub fn distance(&self, priority: Priority, round: Round) -> u64 {
        round.get().saturating_sub(self.current(priority).get())
    }

    /// Records a request that waits.
    pub fn add(&mut self, priority: Priority, caller: Ipv4Addr) {
        *self.waiting.entry((priority, caller)).or_default() += 1;
    }

    /// Records that a request no longer waits.
    pub fn remove(&mut self, priority: Priority, caller: Ipv4Addr) {
        let Some(waiting) = self.waiting.get_mut(&(priority, caller)) else { return };
        *waiting -= 1;
        if *waiting == 0 {
            self.waiting.remove(&(priority, caller));
        }
    }

    /// Records that a request of this round has started.
    pub fn advance(&mut self, priority: Priority, round: Round) {
        let current = self.current.entry(priority).or_default();
        *current = round.max(*current);
    }

    fn current(&self, priority: Priority) -> Round {
        self.current.get(&priority).copied().unwrap_or_default()
    }
}
