//! The evidence that a search has collected about each agent, for logs.
//!
//! A reset of a flow can rest on answers or on silence. The evidence tells both apart and names the
//! agents, so that a wrong result can be traced to the belief behind it.

use crate::{ids::Instance, pool::indirect::Report, time::Span};

/// What a search knows about one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Finding {
    /// The agent has denied that it owns the flow.
    Denied,
    /// The agent does not know whether its upstream holds the flow.
    Unsure,
    /// The agent was unsure, and is excluded because its flows count as lost.
    UnsureLost,
    /// The agent is excluded without an answer, because its flows count as lost.
    Lost,
    /// The agent is excluded without an answer, because it has not started after a power loss.
    Absent,
    /// The answer of the agent is outstanding.
    Unanswered,
    /// The agent was not queried, since agents of the flow's service had not answered yet.
    Deferred,
    /// The agent left the list of members during the search, without a denial.
    Removed,
}

/// What a search knows about one agent, with the age of this knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentFinding {
    /// The agent.
    pub instance: Instance,
    /// The kind of knowledge.
    pub finding: Finding,
    /// The time since the answer of the agent that counts.
    pub answer_age: Option<Span>,
    /// The time for which the agent has owed an answer to any message of this balancer.
    pub silence: Option<Span>,
    /// What other agents have reported about it during its silence.
    pub indirect: Report,
}

/// The state of a search at its end or in between.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The time since the start of the search.
    pub elapsed: Span,
    /// The findings about all agents that the search has known.
    pub agents: Box<[AgentFinding]>,
    /// The number of first queries and probes.
    pub queries: u32,
    /// The number of repeated queries and probes.
    pub retries: u32,
    /// The number of ticks that were skipped because the query budget was used up.
    pub skipped_ticks: u32,
    /// Whether all agents count as fresh after a power loss, so that absent agents are excluded.
    pub all_fresh: bool,
    /// Whether the list of agents may be incomplete, because the balancer has just started.
    pub list_incomplete: bool,
    /// Whether agents know of an agent that this balancer does not know.
    pub list_outdated: bool,
}

impl Evidence {
    /// Returns the number of agents with this finding.
    pub fn count(&self, finding: Finding) -> usize {
        self.agents_with(finding).count()
    }

    /// Returns the agents with this finding.
    pub fn agents_with(&self, finding: Finding) -> impl Iterator<Item = Instance> + Clone + '_ {
        self.agents.iter().filter(move |agent| agent.finding == finding).map(|agent| agent.instance)
    }

    /// Returns the finding about an agent, or `None` if the search has not known the agent.
    pub fn finding(&self, instance: Instance) -> Option<Finding> {
        let mut agents = self.agents.iter();
        agents.find(|agent| agent.instance == instance).map(|agent| agent.finding)
    }

    /// Sets what other agents have reported about each agent. The search itself only knows whether
    /// an agent counts as lost.
    pub fn with_indirect_reports(mut self, report: impl Fn(Instance) -> Report) -> Self {
        self.agents.iter_mut().for_each(|agent| agent.indirect = report(agent.instance));
        self
    }

    /// Returns the smallest number of indirect pings among the agents that are excluded for their
    /// silence, or `None` if there is no such agent.
    pub fn fewest_indirect_pings(&self) -> Option<u32> {
        let silent = self.agents.iter().filter(|agent| agent.finding.is_excluded_for_silence());
        silent.map(|agent| agent.indirect.pings).min()
    }

    /// Returns the time since the last answer, through other agents, of an agent that is excluded
    /// for its silence, or `None` if there was none.
    pub fn latest_indirect_answer(&self) -> Option<Span> {
        let silent = self.agents.iter().filter(|agent| agent.finding.is_excluded_for_silence());
        silent.filter_map(|agent| agent.indirect.answer_age).min()
    }

    /// Returns the agents without a denial that have answered through other agents only.
    pub fn only_reached_by_others(&self) -> impl Iterator<Item = Instance> + Clone + '_ {
        let others = self.agents.iter().filter(|agent| agent.finding != Finding::Denied);
        others.filter(|agent| agent.indirect.answers > 0).map(|agent| agent.instance)
    }

    /// Returns the age of the oldest denial.
    pub fn oldest_denial(&self) -> Option<Span> {
        let denials = self.agents.iter().filter(|agent| agent.finding == Finding::Denied);
        denials.filter_map(|agent| agent.answer_age).max()
    }

    /// Returns the longest silence among the agents that are excluded without a denial.
    pub fn longest_silence(&self) -> Option<Span> {
        let excluded = self.agents.iter().filter(|agent| agent.finding.is_excluded());
        excluded.filter_map(|agent| agent.silence).max()
    }
}

impl Finding {
    /// All findings.
    pub const ALL: [Self; 8] = [
        Self::Denied,
        Self::Unsure,
        Self::UnsureLost,
        Self::Lost,
        Self::Absent,
        Self::Unanswered,
        Self::Deferred,
        Self::Removed,
    ];

    /// Returns true if the search no longer waits for the agent although it has not denied.
    pub fn is_excluded(self) -> bool {
        matches!(self, Self::UnsureLost | Self::Lost | Self::Absent | Self::Removed)
    }

    /// Returns true if the search no longer waits for the agent because it is silent.
    pub fn is_excluded_for_silence(self) -> bool {
        matches!(self, Self::UnsureLost | Self::Lost | Self::Absent)
    }

    /// Returns a short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Denied => "denied",
            Self::Unsure => "unsure",
            Self::UnsureLost => "unsure_lost",
            Self::Lost => "excluded_lost",
            Self::Absent => "excluded_absent",
            Self::Unanswered => "unanswered",
            Self::Deferred => "not_queried",
            Self::Removed => "removed",
        }
    }
}
