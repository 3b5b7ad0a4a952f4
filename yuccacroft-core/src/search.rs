//! The search for the owner of a flow that a balancer knows nothing of.
//!
//! The agents of the service are asked first, and all others when none of those owns the flow: a
//! route can have named another service when the flow began. An agent that owns the flow delivers
//! the segment and says so. An agent that lived all the while its upstream did denies with
//! certainty. An agent that began after its upstream cannot know: its upstream is asked only when
//! everybody else has denied, because a segment that reaches a wrong upstream looks like a moved
//! flow. A flow is lost when every agent has denied it, and a flow whose owner may just be
//! unreachable is not.

use {
    crate::{
        controller::Controller,
        flow::Hop,
        ids::Instance,
        time::{Moment, Span},
    },
    std::collections::BTreeMap,
};

/// Time after which an agent that did not answer is asked again; it doubles, so that searches do not
/// add to the load that delays their answers.
const REPEAT: Span = Span::from_millis(60);
/// Repeats after which the pause does not grow any more: 960 ms.
const MAX_DOUBLINGS: u32 = 4;
/// Questions a second that the searches of one balancer may ask: 16 KB/s for each of 60 agents at
/// most, which a link of 10 Mbit/s carries beside its segments.
const QUESTIONS_PER_SECOND: u64 = 2_500;
/// Questions that may be asked at once after a quiet time: those for a hundred flows among ten
/// agents.
const BURST: u64 = 1_000;
/// Time after which a search ends without a result. The next segment of the flow begins another.
const LIMIT: Span = Span::from_secs(3);

/// Age up to which an agent and its upstream count as fresh. When all agents are fresh, and the list
/// shows an earlier life of each, the whole system has lost power, and there is no older agent that
/// the list could lack.
const FRESH: Span = Span::from_secs(10);

/// What an agent says of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It owns the flow and has delivered the segment.
    Owns,
    /// It does not own the flow, as far as it has known since its start.
    Denies {
        /// The time since the start of the agent or its upstream, whichever is longer.
        age: Span,
    },
    /// It cannot tell: its upstream is older than itself.
    Unsure {
        /// The time since the start of the agent or its upstream, whichever is longer.
        age: Span,
    },
}

/// What happens to a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An agent answered.
    Answered(Hop, Answer),
    /// Time passed; these are the agents at present.
    Tick(Box<[Candidate]>),
}

/// An agent that may own the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The agent.
    pub hop: Hop,
    /// Whether its flows are taken to be lost, since it has not answered anything for long.
    pub lost: bool,
    /// Whether it has never answered, though it would have by now if it had started with all others.
    pub absent: bool,
    /// Whether the list showed an earlier life of it.
    pub revived: bool,
    /// Whether it serves the service of the flow's route.
    pub likely: bool,
}

/// What the shell is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an agent whether it owns the flow.
    Ask(Hop),
    /// Let an agent that is unsure hand the segment to its upstream.
    Probe(Hop),
    /// The owner is found; the search has ended.
    Found(Hop),
    /// Nobody owns the flow; the search has ended.
    Nobody,
    /// The search has ended without a result.
    GiveUp,
}

/// How many questions the searches of one balancer may ask now.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The questions that are left.
    left: u64,
    filled: Moment,
}

/// One search.
#[derive(Clone, Debug)]
pub struct Search {
    begun: Moment,
    certain_from: Moment,
    asked: BTreeMap<Instance, Asked>,
    /// The agents that are asked when all others have answered.
    unlikely: Vec<Candidate>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    hop: Hop,
    at: Moment,
    /// How often the present question was repeated.
    repeats: u32,
    probed: bool,
    answer: Option<Answer>,
    lost: bool,
    absent: bool,
    revived: bool,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: BURST, filled: Moment::default() }
    }
}

impl Budget {
    /// Adds what time has brought and returns true when questions may be asked.
    pub fn has_room(&mut self, now: Moment) -> bool {
        let gained = now.since(self.filled).as_micros() * QUESTIONS_PER_SECOND / 1_000_000;
        if gained > 0 {
            self.left = (self.left + gained).min(BURST);
            self.filled = now;
        }
        self.left > 0
    }

    /// Takes questions off that were asked. One search may go over what is left, so that it can ask
    /// all agents however many there are.
    pub fn spend(&mut self, questions: usize) {
        self.left = self.left.saturating_sub(questions as u64);
    }
}

impl Answer {
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
    /// Begins a search. Until `certain_from` the list of agents may be incomplete, so that no
    /// number of denials means that the flow is lost.
    pub fn new(certain_from: Moment, now: Moment) -> Self {
        Self { begun: now, certain_from, asked: BTreeMap::new(), unlikely: Vec::new() }
    }

    fn answered(&mut self, from: Hop, answer: Answer, now: Moment) -> Vec<Action> {
        if answer == Answer::Owns {
            return vec![Action::Found(from)];
        }
        // When all were lost, it was this balancer that was cut off until now.
        if self.asked.values().all(|asked| asked.lost) {
            self.asked.values_mut().for_each(|asked| (asked.lost, asked.absent) = (false, false));
        }
        if let Some(asked) = self.asked.get_mut(&from.instance) {
            asked.hop = from;
            asked.lost = false;
            asked.absent = false;
            // The bounce of a probe is as good as a denial, and a late answer to the question
            // before it is not.
            if !asked.probed || answer.is_denial() {
                asked.answer = Some(answer);
            }
        }
        self.conclude(now)
    }

    fn tick(&mut self, candidates: &[Candidate], now: Moment) -> Vec<Action> {
        if now.since(self.begun) >= LIMIT {
            return vec![Action::GiveUp];
        }
        // An agent that is no member any more has no flows.
        self.asked.retain(|instance, _| candidates.iter().any(|c| c.hop.instance == *instance));
        self.unlikely.clear();
        let mut actions = Vec::new();
        for &candidate in candidates {
            let known = self.asked.get_mut(&candidate.hop.instance);
            match known {
                Some(asked) => {
                    asked.lost = candidate.lost;
                    asked.absent = candidate.absent;
                    asked.revived = candidate.revived;
                    actions.extend(asked.repeat(candidate.hop, now));
                }
                None if candidate.likely => actions.push(self.ask(candidate, now)),
                None => self.unlikely.push(candidate),
            }
        }
        actions.extend(self.conclude(now));
        actions
    }

    fn ask(&mut self, candidate: Candidate, now: Moment) -> Action {
        let Candidate { hop, lost, absent, revived, .. } = candidate;
        let asked =
            Asked { hop, at: now, repeats: 0, probed: false, answer: None, lost, absent, revived };
        self.asked.insert(hop.instance, asked);
        Action::Ask(hop)
    }

    fn conclude(&mut self, now: Moment) -> Vec<Action> {
        let fresh = self.is_fresh();
        let gone = |asked: &Asked| asked.lost || (fresh && asked.absent);
        if self.asked.values().any(|asked| asked.answer.is_none() && !gone(asked)) {
            return Vec::new();
        }
        if !self.unlikely.is_empty() {
            let unlikely = std::mem::take(&mut self.unlikely);
            return unlikely.into_iter().map(|candidate| self.ask(candidate, now)).collect();
        }
        let unsure: Vec<&mut Asked> =
            self.asked.values_mut().filter(|a| a.is_unsure() && !a.lost).collect();
        if !unsure.is_empty() {
            let fresh = unsure.into_iter().filter(|asked| !asked.probed);
            return fresh
                .map(|asked| {
                    asked.probed = true;
                    asked.repeats = 0;
                    asked.at = now;
                    Action::Probe(asked.hop)
                })
                .collect();
        }
        // With no denial at all it is this balancer that is cut off.
        let denied = self.asked.values().any(|asked| asked.answer.is_some());
        let certain = now >= self.certain_from || fresh;
        if denied && certain { vec![Action::Nobody] } else { Vec::new() }
    }

    /// Returns true when every agent that has answered is fresh and was listed with an earlier life,
    /// and at least one has.
    fn is_fresh(&self) -> bool {
        let mut answered = self.asked.values().filter(|asked| asked.answer.is_some()).peekable();
        let fresh = |asked: &Asked| {
            let age = asked.answer.and_then(Answer::age);
            asked.revived && age.is_some_and(|age| age < FRESH)
        };
        answered.peek().is_some() && answered.all(fresh)
    }
}

impl Asked {
    fn is_unsure(&self) -> bool {
        matches!(self.answer, Some(Answer::Unsure { .. }))
    }

    /// Returns the question again when its answer is overdue.
    fn repeat(&mut self, hop: Hop, now: Moment) -> Option<Action> {
        let denied = self.answer.is_some_and(Answer::is_denial);
        let open = self.answer.is_none() || self.probed;
        let pause = REPEAT.saturating_mul(1 << self.repeats.min(MAX_DOUBLINGS));
        if denied || !open || now.since(self.at) < pause {
            return None;
        }
        self.repeats += 1;
        self.at = now;
        Some(if self.probed { Action::Probe(hop) } else { Action::Ask(hop) })
    }
}

impl Controller for Search {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Answered(from, answer) => self.answered(from, answer, now),
            Event::Tick(candidates) => self.tick(&candidates, now),
        }
    }
}
