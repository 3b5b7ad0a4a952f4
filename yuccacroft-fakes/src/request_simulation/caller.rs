//! Callers, which retry a request with the same key, and the outcomes that they receive.

use {
    super::{AGENTS, Attempt, Event, Simulation},
    rand::RngExt,
    yuccacroft_core::{
        flow::AgentId,
        ids::Incarnation,
        time::{Moment, Span},
    },
};

const MAX_ATTEMPTS: u32 = 5;
/// Time without an outcome after which a caller retries.
const RETRY_TIMEOUT: Span = Span::from_millis(700);
/// Pause before a retry after the outcome `Unknown`.
const RETRY_PAUSE_MICROS: std::ops::Range<u64> = 10_000..300_000;
/// Probability that a caller knows the owner before its first attempt, from an earlier answer.
const KNOWN_OWNER_RATE: f64 = 0.5;

/// One request of a caller.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Job {
    /// Number of runs at the upstream.
    pub runs: u32,
    /// Whether any attempt returned that the request did not run.
    pub refused: bool,
    /// The final outcome, or `Unknown` until a retry ends.
    pub outcome: Option<Outcome>,
    attempts: u32,
    connection: Option<(usize, Incarnation)>,
    owner: Option<(AgentId, Moment)>,
}

/// The outcome of an attempt in the answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The answer, with the index of the request that it belongs to.
    Answered(usize),
    /// The request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

impl Simulation {
    pub(super) fn send_first_attempt(&mut self, job: usize) {
        let agent = self.random.random_range(0..AGENTS);
        let own_id = self.agents[agent].own_id;
        self.jobs[job].connection = Some((agent, own_id.incarnation));
        if self.random.random_bool(KNOWN_OWNER_RATE) {
            self.jobs[job].owner = Some((own_id, self.now));
        }
        self.send_attempt(job);
    }

    pub(super) fn handle_outcome(
        &mut self,
        job: usize,
        outcome: Outcome,
        owner: (AgentId, Moment),
    ) {
        let state = &mut self.jobs[job];
        state.refused |= outcome == Outcome::NotRun;
        state.owner.get_or_insert(owner);
        if matches!(state.outcome, Some(Outcome::Answered(_) | Outcome::NotRun)) {
            return;
        }
        let was_unknown = state.outcome == Some(Outcome::Unknown);
        state.outcome = Some(outcome);
        if outcome == Outcome::Unknown && !was_unknown {
            let pause = Span::from_micros(self.random.random_range(RETRY_PAUSE_MICROS));
            let attempts = self.jobs[job].attempts;
            self.schedule(self.now + pause, Event::RetryTimeout { job, attempts });
        }
    }

    pub(super) fn handle_retry_timeout(&mut self, job: usize, attempts: u32) {
        let state = &self.jobs[job];
        let is_settled = matches!(state.outcome, Some(Outcome::Answered(_) | Outcome::NotRun));
        if !is_settled && state.attempts == attempts && attempts < MAX_ATTEMPTS {
            self.send_attempt(job);
        }
    }

    /// Sends the next attempt. A retry goes to a random agent if the caller knows the owner, and
    /// otherwise on the first connection: without the owner, another agent would treat it as a new
    /// request.
    fn send_attempt(&mut self, job: usize) {
        self.jobs[job].attempts += 1;
        let Job { attempts, owner, connection, .. } = self.jobs[job];
        let Some((mut agent, mut incarnation)) = connection else { return };
        let may_change_agent = owner.is_some() || !self.mechanisms.owner_routing;
        if attempts > 1 && may_change_agent {
            agent = self.random.random_range(0..AGENTS);
            incarnation = self.agents[agent].own_id.incarnation;
        }
        let owner = owner.filter(|_| self.mechanisms.owner_routing);
        self.send(Event::Request(Attempt { job, agent, incarnation, owner }));
        self.schedule(self.now + RETRY_TIMEOUT, Event::RetryTimeout { job, attempts });
    }
}
