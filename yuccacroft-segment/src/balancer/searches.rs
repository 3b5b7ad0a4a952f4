//! The searches that a balancer has under way, with the segments that wait for their ends.

use {
    std::sync::{Mutex, MutexGuard, PoisonError},
    yuccacroft_core::{
        controller::Controller,
        flow::{Hop, Key},
        pool::Pool,
        route::{Target, TrafficClass},
        search::{Action, Answer, Budget, Candidate, Event, Search},
        segment::Segment,
        shards::Shards,
        time::{Moment, Span},
    },
};

/// Segments of one flow that wait; a sender has at most 16 in flight and repeats the others.
const MAX_WAITING: usize = 8;
/// Time after a search without a result in which another one for the same flow is not begun: callers
/// repeat their segments more often than the answer to them can change.
const REST: Span = Span::from_millis(1_000);
/// Searches under way at most, so that strangers cannot fill the memory.
const MAX_SEARCHES: usize = 4_096;

/// A flow whose owner is searched.
#[derive(Debug)]
pub struct Waiting {
    /// The head of the newest segment.
    pub segment: Segment,
    /// The segments, the oldest first; agents get this one with the question.
    pub datagrams: Vec<Box<[u8]>>,
    begin: Begin,
    search: Search,
}

/// What is known of a flow when its search begins.
#[derive(Clone, Copy, Debug)]
pub struct Begin {
    /// The service that the route of its address names.
    pub target: Option<Target>,
    /// The class of its requests.
    pub class: TrafficClass,
    /// The moment from which on the list of agents is complete.
    pub certain_from: Moment,
}

/// What the shell does for one search.
#[derive(Debug)]
pub enum Step {
    /// Sends a question with the segment to an agent.
    Ask(Hop, TrafficClass, Box<[u8]>),
    /// Lets an agent probe its upstream with the segment.
    Probe(Hop, TrafficClass, Box<[u8]>),
    /// The owner was found and has the first segment; it gets these too.
    Found(Hop, TrafficClass, Vec<Box<[u8]>>),
    /// Nobody owns the flow: the caller is told.
    Nobody(Segment),
    /// The search ended without a result.
    GiveUp(Segment),
}

/// All searches.
#[derive(Debug, Default)]
pub struct Searches {
    waiting: Shards<Key, Waiting>,
    /// The flows whose searches ended without a result, and when.
    given_up: Shards<Key, Moment>,
    budget: Mutex<Budget>,
}

impl Searches {
    /// Begins the search for the owner of a segment's flow, or adds the segment to the one that is
    /// under way. Returns false when there are too many searches, or when one for this flow has just
    /// ended without a result.
    pub fn add(
        &self,
        key: Key,
        segment: Segment,
        datagram: &[u8],
        begin: Begin,
        now: Moment,
    ) -> bool {
        if self.given_up.get(&key).is_some_and(|at| now.since(at) < REST) {
            return false;
        }
        let full = self.waiting.shard_len(&key) >= MAX_SEARCHES / self.waiting.shard_count();
        self.waiting.update(key, |slot| {
            if slot.is_none() && full {
                return false;
            }
            let waiting = slot.get_or_insert_with(|| Waiting {
                segment,
                datagrams: Vec::new(),
                begin,
                search: Search::new(begin.certain_from, now),
            });
            waiting.segment = segment;
            if waiting.datagrams.len() < MAX_WAITING {
                waiting.datagrams.push(datagram.into());
            }
            true
        })
    }

    /// Takes the answer of an agent. `None` means that there is no such search.
    pub fn answer(&self, key: Key, from: Hop, answer: Answer, now: Moment) -> Option<Vec<Step>> {
        self.step(key, |_| Event::Answered(from, answer), now)
    }

    /// Moves one search on, unless the questions of all searches are used up.
    pub fn tick(&self, key: Key, pool: &Pool, now: Moment) -> Vec<Step> {
        if !self.budget().has_tokens(now) {
            return Vec::new();
        }
        let candidates = |target: Option<Target>| -> Box<[Candidate]> {
            let mut all = Vec::with_capacity(pool.len());
            pool.for_each(|member| {
                let preferred = target.is_none_or(|target| member.entry.target == target);
                let (lost, absent) = (member.is_lost(now), member.is_absent(now));
                let (hop, restarted) = (member.entry.hop, member.has_restarted());
                all.push(Candidate { hop, lost, absent, restarted, preferred });
            });
            all.into()
        };
        self.step(key, |target| Event::Tick(candidates(target)), now).unwrap_or_default()
    }

    /// Forgets the searches that ended long ago.
    pub fn expire(&self, now: Moment) {
        self.given_up.retain(|_, at| now.since(*at) < REST);
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the keys of all searches.
    pub fn keys(&self) -> Vec<Key> {
        self.waiting.fold(Vec::new(), |mut keys, key, _| {
            keys.push(*key);
            keys
        })
    }

    /// Returns the number of searches.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true when there is no search.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn step(
        &self,
        key: Key,
        event: impl FnOnce(Option<Target>) -> Event,
        now: Moment,
    ) -> Option<Vec<Step>> {
        self.waiting.update(key, |slot| {
            let waiting = slot.as_mut()?;
            let actions = waiting.search.step(event(waiting.begin.target), now);
            let class = waiting.begin.class;
            let mut steps = Vec::with_capacity(actions.len());
            for action in actions {
                match action {
                    Action::Query(hop) => {
                        steps.push(Step::Ask(hop, class, waiting.datagrams[0].clone()))
                    }
                    Action::Probe(hop) => {
                        steps.push(Step::Probe(hop, class, waiting.datagrams[0].clone()));
                    }
                    Action::Found(hop) => {
                        let rest = waiting.datagrams.split_off(1);
                        *slot = None;
                        return Some(vec![Step::Found(hop, class, rest)]);
                    }
                    Action::NotFound => {
                        let segment = waiting.segment;
                        *slot = None;
                        return Some(vec![Step::Nobody(segment)]);
                    }
                    Action::TimedOut => {
                        let segment = waiting.segment;
                        *slot = None;
                        self.given_up.insert(key, now);
                        return Some(vec![Step::GiveUp(segment)]);
                    }
                }
            }
            self.budget().spend(steps.len());
            Some(steps)
        })
    }
}
