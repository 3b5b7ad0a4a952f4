//! Callers, which retry under one key, and what they were told.

use {
    super::{AGENTS, Ask, Event, World},
    rand::RngExt,
    yuccacroft_core::{
        flow::Hop,
        ids::Incarnation,
        time::{Moment, Span},
    },
};

const ATTEMPTS: u32 = 5;
const PATIENCE: Span = Span::from_millis(700);
/// Shortest and longest pause before a retry after `unknown`.
const PAUSE_MICROS: std::ops::Range<u64> = 10_000..300_000;
/// Share of callers that know an owner before their first request, from an earlier answer.
const PREPARED: f64 = 0.5;

/// One request of a caller.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Job {
    /// How often it ran; only the fake upstream writes this.
    pub runs: u32,
    /// Whether any attempt was told that the request did not run.
    pub refused: bool,
    /// The last word.
    pub told: Option<Told>,
    attempt: u32,
    connection: Option<(usize, Incarnation)>,
    owner: Option<(Hop, Moment)>,
}

/// What an outcome says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Told {
    /// The answer, which names its request.
    Answered(usize),
    /// The request did not run.
    NotRun,
    /// Nobody knows.
    Unknown,
}

impl World {
    pub(super) fn begin(&mut self, job: usize) {
        let agent = self.random.random_range(0..AGENTS);
        let own = self.agents[agent].own;
        self.jobs[job].connection = Some((agent, own.incarnation));
        if self.random.random_bool(PREPARED) {
            self.jobs[job].owner = Some((own, self.now));
        }
        self.attempt(job);
    }

    pub(super) fn outcome(&mut self, job: usize, told: Told, owner: (Hop, Moment)) {
        let state = &mut self.jobs[job];
        state.refused |= told == Told::NotRun;
        state.owner.get_or_insert(owner);
        if matches!(state.told, Some(Told::Answered(_) | Told::NotRun)) {
            return;
        }
        let repeated = state.told == Some(Told::Unknown);
        state.told = Some(told);
        if told == Told::Unknown && !repeated {
            let pause = Span::from_micros(self.random.random_range(PAUSE_MICROS));
            let attempt = self.jobs[job].attempt;
            self.push(self.now + pause, Event::Patience { job, attempt });
        }
    }

    pub(super) fn patience(&mut self, job: usize, attempt: u32) {
        let state = &self.jobs[job];
        let ended = matches!(state.told, Some(Told::Answered(_) | Told::NotRun));
        if !ended && state.attempt == attempt && attempt < ATTEMPTS {
            self.attempt(job);
        }
    }

    /// Sends the request, to any agent when its owner is known, else on its first connection
    /// only: without the owner another agent would take it for a first attempt.
    fn attempt(&mut self, job: usize) {
        self.jobs[job].attempt += 1;
        let Job { attempt, owner, connection, .. } = self.jobs[job];
        let Some((mut agent, mut life)) = connection else { return };
        let is_free = owner.is_some() || !self.switches.owner;
        if attempt > 1 && is_free {
            agent = self.random.random_range(0..AGENTS);
            life = self.agents[agent].own.incarnation;
        }
        let owner = owner.filter(|_| self.switches.owner);
        self.send(Event::Request(Ask { job, agent, life, owner }));
        self.push(self.now + PATIENCE, Event::Patience { job, attempt });
    }
}
