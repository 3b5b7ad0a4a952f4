//! Weighted fair queueing among the priorities of waiting requests.

use {crate::route::Priority, std::collections::BTreeMap};

/// Number of requests of a priority that start for each request of the next lower one while both
/// wait. Of two neighboring priorities that always have requests waiting the lower one gets a fifth
/// of the starts.
const WEIGHT_PER_PRIORITY: u64 = 4;
/// Largest number of priorities by which weights differ, so that the lowest one is not starved.
const MAX_WEIGHT_STEPS: u8 = 3;

/// The start times of the priorities in the virtual time of start-time fair queueing.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// The virtual time at which the next request of each priority may start.
    next_start: BTreeMap<Priority, u64>,
    /// The virtual time of the latest start.
    virtual_time: u64,
}

impl Shares {
    /// Returns which of the priorities with waiting requests goes next.
    pub fn choose(&self, waiting: impl Iterator<Item = Priority>) -> Option<Priority> {
        waiting.min_by_key(|&priority| (self.start(priority), priority))
    }

    /// Records that a request of this priority has started.
    pub fn record_start(&mut self, priority: Priority) {
        let start = self.start(priority);
        self.virtual_time = start;
        self.next_start.insert(priority, start + self.cost(priority));
    }

    /// A priority without waiting requests saves up no share for later.
    fn start(&self, priority: Priority) -> u64 {
        let next = self.next_start.get(&priority).copied().unwrap_or_default();
        next.max(self.virtual_time)
    }

    fn cost(&self, priority: Priority) -> u64 {
        let highest = self.next_start.keys().next().map_or(priority, |first| priority.min(*first));
        let steps = priority.get().saturating_sub(highest.get()).min(MAX_WEIGHT_STEPS);
        WEIGHT_PER_PRIORITY.pow(steps.into())
    }
}
