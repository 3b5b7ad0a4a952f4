//! The directory that records which agent owns a flow key.
//!
//! The directory entries of a key are stored at a few agents, the homes of the key. [`Entries`]
//! holds the entries that one agent stores as a home. [`ClaimController`] controls the claims that
//! one agent makes: a claim visits the homes of a key one after the other, in an order that is the
//! same for all balancers. Each home that grants the claim relays it to the next one. If no answer
//! arrives, the claimant asks the homes itself and skips those that do not respond. Of two
//! claimants with a common home, the one that reaches the first common home later loses there and
//! does not reach the homes after it, so exactly one of them owns the key.

use {
    crate::{
        controller::Controller,
        flow::{AgentId, FlowKey},
        ids::Instance,
        placement::CandidateChain,
        shards::Shards,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Time after which an entry that was neither used nor published again is removed. Owners publish
/// entries every 20 s.
const ENTRY_TTL: Span = Span::from_secs(60);
/// Timeout for the answer of one home: several times the round trip between failure domains.
const ANSWER_TIMEOUT: Span = Span::from_millis(10);
/// Timeout for a relayed claim, after which the claimant asks the homes itself.
const RELAY_TIMEOUT: Span = Span::from_millis(25);
/// Number of unanswered requests after which a home counts as unresponsive. With fewer, packet loss
/// would look like a dead home.
const MAX_TRIES: u8 = 4;
/// Time for which an unresponsive home is asked only once per claim.
const UNRESPONSIVE_TTL: Span = Span::from_secs(2);

/// The answer of a home to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant is registered.
    Granted,
    /// Another agent is already registered.
    Held(AgentId),
}

/// The entries that one agent stores as a home.
#[derive(Debug, Default)]
pub struct Entries {
    entries: Shards<FlowKey, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    owner: AgentId,
    last_used: Moment,
}

impl Entries {
    /// Registers a claimant unless another agent is registered. A later incarnation of the
    /// registered agent replaces it, since the flow ended with the earlier one.
    pub fn claim(&self, key: FlowKey, claimant: AgentId, now: Moment) -> ClaimOutcome {
        self.entries.update(key, |entry| match entry {
            Some(held) if !may_replace(claimant, held.owner) => {
                held.last_used = now;
                ClaimOutcome::Held(held.owner)
            }
            _ => {
                *entry = Some(Entry { owner: claimant, last_used: now });
                ClaimOutcome::Granted
            }
        })
    }

    /// Stores an entry that `from` published. It replaces only an entry of `from` itself, so that a
    /// delayed message cannot undo the claim of another agent.
    pub fn record(&self, key: FlowKey, owner: AgentId, from: AgentId, now: Moment) {
        self.entries.update(key, |entry| {
            if entry.is_none_or(|held| may_replace(from, held.owner)) {
                *entry = Some(Entry { owner, last_used: now });
            } else if let Some(held) = entry
                && held.owner == owner
            {
                held.last_used = now;
            }
        });
    }

    /// Returns the owner of a key and restarts the entry's time to live.
    pub fn find(&self, key: FlowKey, now: Moment) -> Option<AgentId> {
        self.entries.read(&key, |entry| entry.map(|entry| entry.owner)).inspect(|_| {
            self.entries.update(key, |entry| {
                if let Some(entry) = entry {
                    entry.last_used = now;
                }
            });
        })
    }

    /// Removes expired entries and those of agents for which `is_gone` returns true.
    pub fn retain(&self, is_gone: impl Fn(AgentId) -> bool, now: Moment) {
        self.entries.retain(|_, e| now.since(e.last_used) < ENTRY_TTL && !is_gone(e.owner));
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn may_replace(claimant: AgentId, holder: AgentId) -> bool {
    claimant.instance == holder.instance && claimant.incarnation >= holder.incarnation
}

/// An event that drives the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The agent starts to claim a key.
    Begin {
        /// The key.
        key: FlowKey,
        /// The chain with the homes of the key.
        chain: CandidateChain,
    },
    /// A home answered a claim.
    Answered {
        /// The key.
        key: FlowKey,
        /// The address of the home.
        home: Instance,
        /// The answer.
        outcome: ClaimOutcome,
    },
    /// Time has passed.
    Tick,
}

/// An action that the caller of the controller carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the claim to the first home, from where each home relays it to the next. Any of the
    /// homes may be this agent itself.
    Relay {
        /// The key.
        key: FlowKey,
        /// The chain with the homes of the key.
        chain: CandidateChain,
    },
    /// Send the claim to one home, which may be this agent itself.
    Claim {
        /// The home.
        home: AgentId,
        /// The key.
        key: FlowKey,
    },
    /// The agent owns the key.
    Won {
        /// The key.
        key: FlowKey,
    },
    /// Another agent owns the key.
    Lost {
        /// The key.
        key: FlowKey,
        /// Its owner.
        winner: AgentId,
    },
    /// Publish the owner to a home that had granted the claim before another home refused it.
    Publish {
        /// The home.
        home: AgentId,
        /// The key.
        key: FlowKey,
        /// The owner.
        owner: AgentId,
    },
}

/// The controller of the claims that one agent makes. An agent may run several, each for a subset
/// of the keys.
#[derive(Clone, Debug)]
pub struct ClaimController {
    own: AgentId,
    claims: BTreeMap<FlowKey, PendingClaim>,
    unresponsive: BTreeMap<Instance, Moment>,
}

#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    chain: CandidateChain,
    is_relayed: bool,
    position: usize,
    tries: u8,
    asked_at: Moment,
}

impl ClaimController {
    /// Creates the controller of an agent.
    pub fn new(own: AgentId) -> Self {
        Self { own, claims: BTreeMap::new(), unresponsive: BTreeMap::new() }
    }

    /// Returns the number of open claims.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    fn begin_claim(&mut self, key: FlowKey, chain: CandidateChain, now: Moment) -> Vec<Action> {
        if self.claims.contains_key(&key) {
            return Vec::new();
        }
        let claim = PendingClaim { chain, is_relayed: true, position: 0, tries: 1, asked_at: now };
        if chain.homes().any(|home| self.unresponsive.contains_key(&home.instance)) {
            return self.ask_home(key, PendingClaim { is_relayed: false, tries: 0, ..claim }, now);
        }
        self.claims.insert(key, claim);
        vec![Action::Relay { key, chain }]
    }

    /// Sends the claim to the home at its current position. After the last home the claim is won.
    fn ask_home(&mut self, key: FlowKey, mut claim: PendingClaim, now: Moment) -> Vec<Action> {
        let Some(home) = claim.chain.home(claim.position) else {
            self.claims.remove(&key);
            return vec![Action::Won { key }];
        };
        claim.tries += 1;
        claim.asked_at = now;
        self.claims.insert(key, claim);
        vec![Action::Claim { home, key }]
    }

    fn handle_answer(
        &mut self,
        key: FlowKey,
        home: Instance,
        outcome: ClaimOutcome,
        now: Moment,
    ) -> Vec<Action> {
        self.unresponsive.remove(&home);
        let Some(claim) = self.claims.get(&key).copied() else { return Vec::new() };
        if claim.is_relayed {
            return self.handle_relayed_answer(key, claim, home, outcome);
        }
        // The answer of a home that was skipped after its timeout is ignored.
        if claim.chain.home(claim.position).is_none_or(|asked| asked.instance != home) {
            return Vec::new();
        }
        match outcome {
            ClaimOutcome::Held(winner) if winner.instance != self.own.instance => {
                self.end_lost(key, &claim, winner)
            }
            _ => self.ask_next_home(key, claim, now),
        }
    }

    /// Handles the answer to a relayed claim, which comes from the last home or from one where
    /// another agent is registered.
    fn handle_relayed_answer(
        &mut self,
        key: FlowKey,
        mut claim: PendingClaim,
        home: Instance,
        outcome: ClaimOutcome,
    ) -> Vec<Action> {
        let homes = claim.chain.homes();
        let Some(position) = homes.map(|home| home.instance).position(|at| at == home) else {
            return Vec::new();
        };
        match outcome {
            ClaimOutcome::Held(winner) if winner.instance != self.own.instance => {
                claim.position = position;
                self.end_lost(key, &claim, winner)
            }
            _ if position + 1 == claim.chain.homes().count() => {
                self.claims.remove(&key);
                vec![Action::Won { key }]
            }
            _ => Vec::new(),
        }
    }

    fn ask_next_home(&mut self, key: FlowKey, claim: PendingClaim, now: Moment) -> Vec<Action> {
        self.ask_home(key, PendingClaim { position: claim.position + 1, tries: 0, ..claim }, now)
    }

    fn end_lost(&mut self, key: FlowKey, claim: &PendingClaim, winner: AgentId) -> Vec<Action> {
        self.claims.remove(&key);
        let granted = claim.chain.homes().take(claim.position);
        let publish = granted.map(|home| Action::Publish { home, key, owner: winner });
        publish.chain([Action::Lost { key, winner }]).collect()
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.unresponsive.retain(|_, since| now.since(*since) < UNRESPONSIVE_TTL);
        let timeout = |is_relayed| if is_relayed { RELAY_TIMEOUT } else { ANSWER_TIMEOUT };
        let is_overdue =
            |claim: &PendingClaim| now.since(claim.asked_at) >= timeout(claim.is_relayed);
        let overdue: Vec<_> = self
            .claims
            .iter()
            .filter(|(_, claim)| is_overdue(claim))
            .map(|(key, claim)| (*key, *claim))
            .collect();
        overdue.into_iter().flat_map(|(key, claim)| self.retry_or_skip(key, claim, now)).collect()
    }

    fn retry_or_skip(&mut self, key: FlowKey, claim: PendingClaim, now: Moment) -> Vec<Action> {
        let Some(home) = claim.chain.home(claim.position) else { return Vec::new() };
        let claim = PendingClaim { is_relayed: false, ..claim };
        let max_tries = if self.unresponsive.contains_key(&home.instance) { 1 } else { MAX_TRIES };
        if claim.tries < max_tries {
            return self.ask_home(key, claim, now);
        }
        self.unresponsive.insert(home.instance, now);
        self.ask_next_home(key, claim, now)
    }
}

impl Controller for ClaimController {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Begin { key, chain } => self.begin_claim(key, chain, now),
            Event::Answered { key, home, outcome } => self.handle_answer(key, home, outcome, now),
            Event::Tick => self.tick(now),
        }
    }
}
