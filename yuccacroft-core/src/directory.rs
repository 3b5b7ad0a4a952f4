//! The directory: which agent owns a key.
//!
//! [`Entries`] is what one agent remembers as a home. [`Directory`] is the controller of the claims
//! that one agent makes: the homes of a key are asked one after the other, in the order that all
//! balancers share. Each home that grants hands the claim to the next one; when no answer comes, the
//! claimant asks the homes itself and leaves out dead ones. Of two claimants with a home in common, the one that reaches the first common
//! home later loses there and claims nothing behind it, so exactly one of them owns the key.

use {
    crate::{
        controller::Controller,
        flow::{Hop, Key},
        ids::Instance,
        placement::Chain,
        shards::Shards,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Time after which an entry that was neither used nor published again is forgotten. Owners publish
/// entries every 20 s.
const ENTRY_MEMORY: Span = Span::from_secs(60);
/// Time for one answer of a home: several times the round trip between failure domains.
const ANSWER_TIMEOUT: Span = Span::from_millis(10);
/// Time for a claim that all homes hand on, by when the claimant asks them itself.
const RELAY_TIMEOUT: Span = Span::from_millis(25);
/// Calls before a home counts as dead. Fewer would make loss of packets look like a dead home.
const TRIES: u8 = 4;
/// Time for which a home that did not answer is asked only once per claim.
const SILENCE_MEMORY: Span = Span::from_secs(2);

/// What a home says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The claimant is registered.
    Granted,
    /// Another agent was there before.
    Held(Hop),
}

/// The owners that one agent remembers as a home.
#[derive(Debug, Default)]
pub struct Entries {
    entries: Shards<Key, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    owner: Hop,
    seen: Moment,
}

impl Entries {
    /// Registers a claimant unless another one is registered. A later life of the registered agent
    /// replaces it, since the flow ended with the earlier one.
    pub fn claim(&self, key: Key, claimant: Hop, now: Moment) -> Outcome {
        self.entries.update(key, |entry| match entry {
            Some(held) if !replaces(claimant, held.owner) => {
                held.seen = now;
                Outcome::Held(held.owner)
            }
            _ => {
                *entry = Some(Entry { owner: claimant, seen: now });
                Outcome::Granted
            }
        })
    }

    /// Takes an entry that `from` published. It replaces only an entry of `from` itself, so that a
    /// late message cannot undo the claim of another agent.
    pub fn record(&self, key: Key, owner: Hop, from: Hop, now: Moment) {
        self.entries.update(key, |entry| {
            if entry.is_none_or(|held| replaces(from, held.owner)) {
                *entry = Some(Entry { owner, seen: now });
            } else if let Some(held) = entry
                && held.owner == owner
            {
                held.seen = now;
            }
        });
    }

    /// Returns the owner of a key and keeps the entry for longer.
    pub fn find(&self, key: Key, now: Moment) -> Option<Hop> {
        self.entries.read(&key, |entry| entry.map(|entry| entry.owner)).inspect(|_| {
            self.entries.update(key, |entry| {
                if let Some(entry) = entry {
                    entry.seen = now;
                }
            });
        })
    }

    /// Forgets entries of agents that are gone, and old ones.
    pub fn retain(&self, is_gone: impl Fn(Hop) -> bool, now: Moment) {
        self.entries.retain(|_, e| now.since(e.seen) < ENTRY_MEMORY && !is_gone(e.owner));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn replaces(claimant: Hop, held: Hop) -> bool {
    claimant.instance == held.instance && claimant.incarnation >= held.incarnation
}

/// What happened to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The agent wants to own a key.
    Begin {
        /// The key.
        key: Key,
        /// The chain with the homes of the key.
        chain: Chain,
    },
    /// A home answered.
    Answered {
        /// The key.
        key: Key,
        /// The instance of the home.
        home: Instance,
        /// What it said.
        outcome: Outcome,
    },
    /// Time passed.
    Tick,
}

/// What the shell is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the first home for the key and have each home hand the claim to the next. Any of them
    /// may be this agent itself.
    Relay {
        /// The key.
        key: Key,
        /// The chain with the homes of the key.
        chain: Chain,
    },
    /// Ask a home, which may be this agent itself, for the key.
    Claim {
        /// The home.
        home: Hop,
        /// The key.
        key: Key,
    },
    /// The agent owns the key.
    Won {
        /// The key.
        key: Key,
    },
    /// Another agent owns the key.
    Lost {
        /// The key.
        key: Key,
        /// Its owner.
        winner: Hop,
    },
    /// Tell a home that was claimed before the claim was lost.
    Publish {
        /// The home.
        home: Hop,
        /// The key.
        key: Key,
        /// The owner.
        owner: Hop,
    },
}

/// The claims that one agent makes. A shell may run several of them, each for a part of the keys.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Hop,
    attempts: BTreeMap<Key, Attempt>,
    silent: BTreeMap<Instance, Moment>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    chain: Chain,
    relayed: bool,
    position: usize,
    tries: u8,
    asked: Moment,
}

impl Directory {
    /// Creates the controller of an agent.
    pub fn new(own: Hop) -> Self {
        Self { own, attempts: BTreeMap::new(), silent: BTreeMap::new() }
    }

    /// Returns the number of open claims.
    pub fn open_claims(&self) -> usize {
        self.attempts.len()
    }

    fn begin(&mut self, key: Key, chain: Chain, now: Moment) -> Vec<Action> {
        if self.attempts.contains_key(&key) {
            return Vec::new();
        }
        let attempt = Attempt { chain, relayed: true, position: 0, tries: 1, asked: now };
        if chain.homes().any(|home| self.silent.contains_key(&home.instance)) {
            return self.ask(key, Attempt { relayed: false, tries: 0, ..attempt }, now);
        }
        self.attempts.insert(key, attempt);
        vec![Action::Relay { key, chain }]
    }

    /// Asks the home at the position of the attempt, or ends the claim behind the last one.
    fn ask(&mut self, key: Key, mut attempt: Attempt, now: Moment) -> Vec<Action> {
        let Some(home) = attempt.chain.home(attempt.position) else {
            self.attempts.remove(&key);
            return vec![Action::Won { key }];
        };
        attempt.tries += 1;
        attempt.asked = now;
        self.attempts.insert(key, attempt);
        vec![Action::Claim { home, key }]
    }

    fn answered(&mut self, key: Key, home: Instance, outcome: Outcome, now: Moment) -> Vec<Action> {
        self.silent.remove(&home);
        let Some(attempt) = self.attempts.get(&key).copied() else { return Vec::new() };
        if attempt.relayed {
            return self.relayed(key, attempt, home, outcome);
        }
        // An answer of a home that was given up comes too late.
        if attempt.chain.home(attempt.position).is_none_or(|asked| asked.instance != home) {
            return Vec::new();
        }
        match outcome {
            Outcome::Held(winner) if winner.instance != self.own.instance => {
                self.lose(key, &attempt, winner)
            }
            _ => self.advance(key, attempt, now),
        }
    }

    /// Takes the answer of the last home, or of one where another agent is registered.
    fn relayed(
        &mut self,
        key: Key,
        mut attempt: Attempt,
        home: Instance,
        outcome: Outcome,
    ) -> Vec<Action> {
        let homes = attempt.chain.homes();
        let Some(position) = homes.map(|home| home.instance).position(|at| at == home) else {
            return Vec::new();
        };
        match outcome {
            Outcome::Held(winner) if winner.instance != self.own.instance => {
                attempt.position = position;
                self.lose(key, &attempt, winner)
            }
            _ if position + 1 == attempt.chain.homes().count() => {
                self.attempts.remove(&key);
                vec![Action::Won { key }]
            }
            _ => Vec::new(),
        }
    }

    fn advance(&mut self, key: Key, attempt: Attempt, now: Moment) -> Vec<Action> {
        self.ask(key, Attempt { position: attempt.position + 1, tries: 0, ..attempt }, now)
    }

    fn lose(&mut self, key: Key, attempt: &Attempt, winner: Hop) -> Vec<Action> {
        self.attempts.remove(&key);
        let claimed = attempt.chain.homes().take(attempt.position);
        let publish = claimed.map(|home| Action::Publish { home, key, owner: winner });
        publish.chain([Action::Lost { key, winner }]).collect()
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.silent.retain(|_, since| now.since(*since) < SILENCE_MEMORY);
        let timeout = |relayed| if relayed { RELAY_TIMEOUT } else { ANSWER_TIMEOUT };
        let late = |attempt: &Attempt| now.since(attempt.asked) >= timeout(attempt.relayed);
        let late: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| late(attempt))
            .map(|(key, attempt)| (*key, *attempt))
            .collect();
        late.into_iter().flat_map(|(key, attempt)| self.repeat(key, attempt, now)).collect()
    }

    fn repeat(&mut self, key: Key, attempt: Attempt, now: Moment) -> Vec<Action> {
        let Some(home) = attempt.chain.home(attempt.position) else { return Vec::new() };
        let attempt = Attempt { relayed: false, ..attempt };
        let tries = if self.silent.contains_key(&home.instance) { 1 } else { TRIES };
        if attempt.tries < tries {
            return self.ask(key, attempt, now);
        }
        self.silent.insert(home.instance, now);
        self.advance(key, attempt, now)
    }
}

impl Controller for Directory {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Begin { key, chain } => self.begin(key, chain, now),
            Event::Answered { key, home, outcome } => self.answered(key, home, outcome, now),
            Event::Tick => self.tick(now),
        }
    }
}
