//! The search for the owner of a flow that has no entry in a balancer's flow cache.
//!
//! Agents are queried in waves: first those that the flow was most likely placed at, then the other
//! agents of the route's service, then all others, since the route may have named another service
//! when the flow began. A query carries the key of the flow and no data, so that its cost does not
//! depend on the segment. An agent that has run at least as long
//! as its upstream denies ownership reliably. An agent that started after its upstream is unsure,
//! since the upstream may hold flows that it accepted before; the segment is handed to its upstream
//! as a probe only after all other agents have denied, because a segment at the wrong upstream
//! looks like a moved flow. Probes are sent in the same waves as queries: after a restart of all
//! agents each of them is unsure, and a probe carries a whole segment. A flow is lost once every agent has denied it or is known to have failed.
//! It is not lost while its owner may merely be unreachable.

pub mod budget;
pub mod candidates;
pub mod evidence;

pub use self::{
    budget::QueryBudget,
    candidates::list_candidates,
    evidence::{AgentFinding, Evidence, Finding},
};

use {
    crate::{
        controller::Controller,
        flow::AgentId,
        ids::Instance,
        pool::indirect::Report,
        time::{Moment, Span},
    },
    std::collections::BTreeMap,
};

/// Time after which an unanswered query is sent again. It doubles with each retry, so that searches
/// do not add to the load that delays their answers.
const INITIAL_RETRY_INTERVAL: Span = Span::from_millis(60);
/// Number of times that the retry interval doubles, up to 960 ms.
const MAX_DOUBLINGS: u32 = 4;
/// Time after a query from which on an answer to any message shows that the query was lost: longer
/// than a round trip between failure domains.
const LATER_ANSWER: Span = Span::from_millis(20);
/// Time after which the next wave starts although some agents have not answered: several round
/// trips and one repeated query.
const WAVE_TIMEOUT: Span = Span::from_millis(120);
/// Time after which a search ends without a result. The next segment of the flow starts a new one.
const SEARCH_TIMEOUT: Span = Span::from_secs(3);

/// Age up to which an agent and its upstream count as fresh. If all agents are fresh and the
/// listing showed an earlier incarnation of each, the whole system has lost power, so no older
/// agent can be missing from the listing.
const MAX_FRESH_AGE: Span = Span::from_secs(10);
/// Half of the known agents must have answered that they are fresh. Fewer may have restarted by
/// themselves, while the others cannot be reached.
const MIN_FRESH_FRACTION: usize = 2;

/// The answer of an agent to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryAnswer {
    /// The agent owns the flow.
    Owns,
    /// The agent does not own the flow, and its table is complete since its start.
    Denies {
        /// The time since the start of the agent or its upstream, whichever is longer.
        age: Span,
    },
    /// The agent does not know, because its upstream started before it did.
    Unsure {
        /// The time since the start of the agent or its upstream, whichever is longer.
        age: Span,
    },
}

/// An event that drives a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An agent answered.
    Answered(AgentId, QueryAnswer),
    /// An agent's list of its flows does not contain this one. The search need not have queried it.
    Listed(AgentId, QueryAnswer),
    /// Time has passed. Carries the current list of agents.
    Tick(Box<[SearchCandidate]>),
    /// Time has passed, and all agents that have not been queried are to be queried now, without waves.
    /// Carries the current list of agents.
    Sweep(Box<[SearchCandidate]>),
    /// Time has passed, but the query budget has no tokens for this search.
    SkippedTick,
}

/// An agent that may own the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchCandidate {
    /// The agent.
    pub agent_id: AgentId,
    /// Whether its flows count as lost, because it has answered no message for too long.
    pub lost: bool,
    /// Whether it has never answered, although it would have by now if it had started together with
    /// the other agents.
    pub absent: bool,
    /// Whether the listing showed an earlier incarnation of it.
    pub restarted: bool,
    /// When it is queried.
    pub wave: Wave,
    /// The time since which it has owed an answer.
    pub unanswered_since: Option<Moment>,
    /// The time of its last answer to any message, if that is to speed up the retry of queries.
    pub answered_at: Option<Moment>,
}

/// The order in which agents are queried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wave {
    /// The flow was probably placed at the agent.
    #[default]
    Likely,
    /// The agent serves the service of the flow's route.
    Service,
    /// The agent serves another service.
    Other,
}

/// An action that the caller of the controller carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an agent whether it owns the flow.
    Query(AgentId),
    /// Ask an agent that is unsure to hand the segment to its upstream.
    Probe(AgentId),
    /// End the search: this agent owns the flow.
    Found(AgentId),
    /// End the search: no agent owns the flow.
    NotFound,
    /// End the search without a result.
    TimedOut,
}

/// The controller of one search.
#[derive(Clone, Debug)]
pub struct Search {
    started: Moment,
    list_complete_at: Moment,
    /// Whether some agent is missing from the list of agents.
    list_outdated: bool,
    /// Whether the last step would have found no owner if the list were not outdated.
    awaits_list: bool,
    /// The time of the last tick, which brought the present state of the agents.
    updated_at: Moment,
    queries: BTreeMap<Instance, AgentQuery>,
    /// The wave that is being queried, and the time at which it started.
    wave: Wave,
    wave_started: Moment,
    /// The time at which the latest probes were sent first.
    probes_started: Moment,
    /// The agents of later waves.
    deferred: Vec<SearchCandidate>,
    /// The agents that have left the list of members.
    removed: BTreeMap<Instance, RemovedAgent>,
    /// The number of first queries and probes.
    sent_queries: u32,
    sent_retries: u32,
    /// The number of ticks for which the query budget had no tokens.
    skipped_ticks: u32,
}

#[derive(Clone, Copy, Debug)]
struct AgentQuery {
    agent_id: AgentId,
    wave: Wave,
    sent_at: Moment,
    /// The number of retries of the current query or probe.
    retries: u32,
    probed: bool,
    answer: Option<QueryAnswer>,
    lost: bool,
    absent: bool,
    restarted: bool,
    answered_at: Option<Moment>,
    /// The time since which the agent has owed an answer to any message.
    unanswered_since: Option<Moment>,
}

/// An agent that has left the list of members during the search.
#[derive(Clone, Copy, Debug)]
struct RemovedAgent {
    denied: bool,
    answered_at: Option<Moment>,
    unanswered_since: Option<Moment>,
}

impl QueryAnswer {
    fn is_denial(self) -> bool {
        matches!(self, Self::Denies { .. })
    }

    fn age(self) -> Option<Span> {
        match self {
            Self::Owns => None,
            Self::Denies { age } | Self::Unsure { age } => Some(age),
        }
    }
}

impl Search {
    /// Starts a search. Until `list_complete_at` the list of agents may be incomplete, so denials
    /// do not prove that the flow is lost.
    pub fn new(list_complete_at: Moment, now: Moment) -> Self {
        Self {
            started: now,
            list_complete_at,
            list_outdated: false,
            awaits_list: false,
            updated_at: now,
            queries: BTreeMap::new(),
            wave: Wave::default(),
            wave_started: now,
            probes_started: now,
            deferred: Vec::new(),
            removed: BTreeMap::new(),
            sent_queries: 0,
            sent_retries: 0,
            skipped_ticks: 0,
        }
    }

    fn handle_answer(&mut self, from: AgentId, answer: QueryAnswer, now: Moment) -> Vec<Action> {
        if answer == QueryAnswer::Owns {
            return vec![Action::Found(from)];
        }
        // If all agents counted as lost, this balancer itself was isolated until now.
        if self.queries.values().all(|query| query.lost) {
            self.queries.values_mut().for_each(|query| (query.lost, query.absent) = (false, false));
        }
        if let Some(query) = self.queries.get_mut(&from.instance) {
            query.agent_id = from;
            query.lost = false;
            query.absent = false;
            query.unanswered_since = None;
            // After a probe only a denial counts: the bounce of the probe is reported as one, while
            // a late answer to the earlier query proves nothing.
            if !query.probed || answer.is_denial() {
                query.answer = Some(answer);
                query.answered_at = Some(now);
            }
        }
        self.conclude(now)
    }

    /// Counts an agent of a later wave as queried, since it has answered before its turn.
    fn mark_deferred_as_queried(&mut self, instance: Instance, now: Moment) {
        let is_answering = |candidate: &SearchCandidate| candidate.agent_id.instance == instance;
        let Some(position) = self.deferred.iter().position(is_answering) else { return };
        let candidate = self.deferred.swap_remove(position);
        let query = AgentQuery::new(candidate, now);
        self.queries.insert(instance, query);
    }

    fn sweep(&mut self, candidates: &[SearchCandidate], now: Moment) -> Vec<Action> {
        let mut actions = self.tick(candidates, now);
        if actions.contains(&Action::TimedOut) {
            return actions;
        }
        while !self.deferred.is_empty() {
            actions.extend(self.start_next_wave(now));
        }
        actions
    }

    fn tick(&mut self, candidates: &[SearchCandidate], now: Moment) -> Vec<Action> {
        if self.has_timed_out(now) {
            return vec![Action::TimedOut];
        }
        self.updated_at = now;
        // An agent that is no longer a member has no flows.
        self.remove_unlisted(candidates);
        let mut actions = Vec::new();
        for &candidate in candidates {
            let known = self.queries.get_mut(&candidate.agent_id.instance);
            match known {
                Some(query) => {
                    query.lost = candidate.lost;
                    query.absent = candidate.absent;
                    query.restarted = candidate.restarted;
                    query.unanswered_since = candidate.unanswered_since;
                    let retry = query.retry(candidate, now);
                    self.sent_retries += u32::from(retry.is_some());
                    actions.extend(retry);
                }
                None if candidate.wave <= self.wave => actions.push(self.query(candidate, now)),
                None => self.deferred.push(candidate),
            }
        }
        if now.since(self.wave_started) >= WAVE_TIMEOUT {
            actions.extend(self.start_next_wave(now));
        }
        actions.extend(self.conclude(now));
        actions
    }

    fn remove_unlisted(&mut self, candidates: &[SearchCandidate]) {
        let mut listed: Vec<_> = candidates.iter().map(|c| c.agent_id.instance).collect();
        listed.sort_unstable();
        let is_listed = |instance: Instance| listed.binary_search(&instance).is_ok();
        self.removed.retain(|instance, _| !is_listed(*instance));
        for (instance, query) in self.queries.extract_if(.., |instance, _| !is_listed(*instance)) {
            let AgentQuery { answered_at, unanswered_since, .. } = query;
            let denied = query.answer.is_some_and(QueryAnswer::is_denial);
            self.removed.insert(instance, RemovedAgent { denied, answered_at, unanswered_since });
        }
        for candidate in self.deferred.drain(..) {
            let SearchCandidate { agent_id, unanswered_since, .. } = candidate;
            if !is_listed(agent_id.instance) {
                let agent = RemovedAgent { denied: false, answered_at: None, unanswered_since };
                self.removed.insert(agent_id.instance, agent);
            }
        }
    }

    /// Queries the agents of the next wave that has any.
    fn start_next_wave(&mut self, now: Moment) -> Vec<Action> {
        let Some(next) = self.deferred.iter().map(|candidate| candidate.wave).min() else {
            return Vec::new();
        };
        (self.wave, self.wave_started) = (next, now);
        let (due, later) =
            std::mem::take(&mut self.deferred).into_iter().partition(|c| c.wave <= next);
        self.deferred = later;
        let due: Vec<SearchCandidate> = due;
        due.into_iter().map(|candidate| self.query(candidate, now)).collect()
    }

    fn query(&mut self, candidate: SearchCandidate, now: Moment) -> Action {
        let agent_id = candidate.agent_id;
        let query = AgentQuery::new(candidate, now);
        self.sent_queries += 1;
        self.queries.insert(agent_id.instance, query);
        Action::Query(agent_id)
    }

    fn conclude(&mut self, now: Moment) -> Vec<Action> {
        let all_fresh = self.are_all_fresh();
        // A silent agent may have answered another message since the last tick.
        let is_current = self.updated_at == now;
        let is_excluded =
            |query: &AgentQuery| is_current && (query.lost || (all_fresh && query.absent));
        if self.queries.values().any(|query| query.answer.is_none() && !is_excluded(query)) {
            return Vec::new();
        }
        if !self.deferred.is_empty() {
            return self.start_next_wave(now);
        }
        let is_open = |query: &AgentQuery| query.is_unsure() && !(is_current && query.lost);
        if self.queries.values().any(is_open) {
            return self.probe_next_wave(is_open, now);
        }
        // Silence alone is no evidence, since this balancer itself may be isolated.
        let has_denial =
            self.queries.values().any(|query| query.answer.is_some_and(QueryAnswer::is_denial));
        let is_list_complete = now >= self.list_complete_at || all_fresh;
        self.awaits_list = has_denial && is_list_complete && self.list_outdated;
        let is_certain = is_list_complete && !self.list_outdated;
        if has_denial && is_certain { vec![Action::NotFound] } else { Vec::new() }
    }

    /// Probes the unsure agents of the next wave that has any, once those probed before have denied
    /// or had time to do so.
    fn probe_next_wave(
        &mut self,
        is_open: impl Fn(&AgentQuery) -> bool,
        now: Moment,
    ) -> Vec<Action> {
        let is_pending = |query: &AgentQuery| query.probed && is_open(query);
        let has_time = now.since(self.probes_started) < WAVE_TIMEOUT;
        if has_time && self.queries.values().any(is_pending) {
            return Vec::new();
        }
        let is_unprobed = |query: &&mut AgentQuery| !query.probed && is_open(query);
        let mut unprobed: Vec<_> = self.queries.values_mut().filter(is_unprobed).collect();
        let Some(wave) = unprobed.iter().map(|query| query.wave).min() else { return Vec::new() };
        unprobed.retain(|query| query.wave == wave);
        self.probes_started = now;
        self.sent_queries += unprobed.len() as u32;
        unprobed.into_iter().map(|query| query.start_probe(now)).collect()
    }

    /// Returns true if the search has asked an agent and waits for its answer, or has still to ask it.
    pub fn awaits(&self, instance: Instance) -> bool {
        let query = self.queries.get(&instance);
        query.is_none_or(|query| query.answer.is_none() && !query.probed)
    }

    /// Returns true if only an agent that is missing from the list can still own the flow.
    pub fn awaits_list(&self) -> bool {
        self.awaits_list
    }

    /// Sets whether some agent is missing from the list of agents. Until it is listed, denials do not
    /// prove that the flow is lost.
    pub fn set_list_outdated(&mut self, is_outdated: bool) {
        self.list_outdated = is_outdated;
    }

    fn skip_tick(&mut self, now: Moment) -> Vec<Action> {
        self.skipped_ticks += 1;
        if self.has_timed_out(now) { vec![Action::TimedOut] } else { Vec::new() }
    }

    fn has_timed_out(&self, now: Moment) -> bool {
        now.since(self.started) >= SEARCH_TIMEOUT
    }

    /// Returns true if the last query or probe to this agent was a retry.
    pub fn is_retry(&self, instance: Instance) -> bool {
        self.queries.get(&instance).is_some_and(|query| query.retries > 0)
    }

    /// Returns what the search knows about each agent.
    pub fn evidence(&self, now: Moment) -> Evidence {
        let all_fresh = self.are_all_fresh();
        let describe = |instance, finding, answered_at: Option<Moment>, since: Option<Moment>| {
            let age = |at| now.since(at);
            let (answer_age, silence) = (answered_at.map(age), since.map(age));
            AgentFinding { instance, finding, answer_age, silence, indirect: Report::default() }
        };
        let queried = self.queries.iter().map(|(instance, query)| {
            let finding = query.finding(all_fresh);
            describe(*instance, finding, query.answered_at, query.unanswered_since)
        });
        let deferred = self.deferred.iter().map(|candidate| {
            let instance = candidate.agent_id.instance;
            describe(instance, Finding::Deferred, None, candidate.unanswered_since)
        });
        let removed = self.removed.iter().map(|(instance, agent)| {
            let finding = if agent.denied { Finding::Denied } else { Finding::Removed };
            describe(*instance, finding, agent.answered_at, agent.unanswered_since)
        });
        Evidence {
            elapsed: now.since(self.started),
            agents: queried.chain(deferred).chain(removed).collect(),
            queries: self.sent_queries,
            retries: self.sent_retries,
            skipped_ticks: self.skipped_ticks,
            all_fresh,
            list_incomplete: now < self.list_complete_at,
            list_outdated: self.list_outdated,
        }
    }

    /// Returns true if at least half of all agents that the search has known have answered, and every
    /// agent that has is fresh and was listed with an earlier incarnation.
    fn are_all_fresh(&self) -> bool {
        let is_fresh = |query: &AgentQuery| {
            let age = query.answer.and_then(QueryAnswer::age);
            query.restarted && age.is_some_and(|age| age < MAX_FRESH_AGE)
        };
        let (mut answered, mut fresh) = (0, 0);
        for query in self.queries.values().filter(|query| query.answer.is_some()) {
            answered += 1;
            fresh += usize::from(is_fresh(query));
        }
        let known = self.queries.len() + self.deferred.len() + self.removed.len();
        fresh > 0 && fresh == answered && fresh * MIN_FRESH_FRACTION >= known
    }
}

impl AgentQuery {
    fn new(candidate: SearchCandidate, now: Moment) -> Self {
        let SearchCandidate { agent_id, lost, absent, restarted, wave, unanswered_since, .. } =
            candidate;
        Self {
            agent_id,
            wave,
            sent_at: now,
            retries: 0,
            probed: false,
            answer: None,
            lost,
            absent,
            restarted,
            answered_at: None,
            unanswered_since,
        }
    }

    fn is_unsure(&self) -> bool {
        matches!(self.answer, Some(QueryAnswer::Unsure { .. }))
    }

    fn start_probe(&mut self, now: Moment) -> Action {
        self.probed = true;
        self.retries = 0;
        self.sent_at = now;
        Action::Probe(self.agent_id)
    }

    fn finding(&self, all_fresh: bool) -> Finding {
        match self.answer {
            Some(QueryAnswer::Unsure { .. }) if self.lost => Finding::UnsureLost,
            Some(QueryAnswer::Unsure { .. }) => Finding::Unsure,
            Some(_) => Finding::Denied,
            None if self.lost => Finding::Lost,
            None if self.absent && all_fresh => Finding::Absent,
            None => Finding::Unanswered,
        }
    }

    /// Returns the query or probe again if its answer is overdue, or the query if the agent has answered
    /// a later message.
    fn retry(&mut self, candidate: SearchCandidate, now: Moment) -> Option<Action> {
        let agent_id = candidate.agent_id;
        let is_denied = self.answer.is_some_and(QueryAnswer::is_denial);
        let is_pending = self.answer.is_none() || self.probed;
        let interval = INITIAL_RETRY_INTERVAL.saturating_mul(1 << self.retries.min(MAX_DOUBLINGS));
        // An agent that has answered a later message but not this query did not get the query, or has
        // started since.
        let later = self.sent_at + LATER_ANSWER;
        let answered_later = !self.probed && candidate.answered_at.is_some_and(|at| at >= later);
        if is_denied || !is_pending || (now.since(self.sent_at) < interval && !answered_later) {
            return None;
        }
        self.retries += 1;
        self.sent_at = now;
        Some(if self.probed { Action::Probe(agent_id) } else { Action::Query(agent_id) })
    }
}

impl Controller for Search {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        self.awaits_list = false;
        match event {
            Event::Answered(from, answer) => self.handle_answer(from, answer, now),
            Event::Listed(from, answer) => {
                self.mark_deferred_as_queried(from.instance, now);
                self.handle_answer(from, answer, now)
            }
            Event::Tick(candidates) => self.tick(&candidates, now),
            Event::Sweep(candidates) => self.sweep(&candidates, now),
            Event::SkippedTick => self.skip_tick(now),
        }
    }
}
