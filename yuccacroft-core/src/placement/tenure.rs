//! The time since which one agent has been a home, for each group of keys.

use {
    super::Homes,
    crate::{
        flow::{AgentId, FlowKey},
        time::Moment,
    },
};

/// The key groups of which one agent is a home.
#[derive(Clone, Debug)]
pub struct Tenure {
    own: AgentId,
    /// Indexed by key group; `None` where the agent is no home.
    since: Box<[Option<Moment>]>,
}

impl Tenure {
    /// Creates the tenure of an agent that is no home yet.
    pub fn new(own: AgentId) -> Self {
        Self { own, since: Box::default() }
    }

    /// Sets the homes of the present members.
    pub fn update(&mut self, homes: &Homes, now: Moment) {
        let before = std::mem::take(&mut self.since);
        let since = |(group, homes): (usize, &[Option<AgentId>])| {
            let earlier = before.get(group).copied().flatten();
            homes.contains(&Some(self.own)).then(|| earlier.unwrap_or(now))
        };
        self.since = homes.groups().enumerate().map(since).collect();
    }

    /// Returns the time since which the agent has been a home of a key without interruption.
    pub fn since(&self, key: FlowKey) -> Option<Moment> {
        self.since.get(super::homes::key_group(key) as usize).copied().flatten()
    }
}
