//! The controller of a balancer's reading of the store.
//!
//! Two balancers of each failure domain watch the store, chosen by rendezvous hashing, so that
//! the number of calls depends on the failure domains and not on the processes. All others learn
//! contracts from their peers.

use {
    super::{Accepted, Contract},
    crate::{
        controller::Controller,
        gossip::peer::Node,
        ids::{Domain, Revision},
        rendezvous,
        time::{Moment, Span},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::sync::Arc,
};

/// Readers of each failure domain. One alone would leave a gap while it is replaced.
const READERS: usize = 2;
const FIRST_BACKOFF: Span = Span::from_millis(500);
/// Longest wait. It bounds how late the readers notice the end of an outage, and spreads them
/// over that time.
const MAX_BACKOFF: Span = Span::from_secs(4);
/// A reader lists all contracts this often, in case a watch has gone silent without an end.
const RELIST: Span = Span::from_secs(300);

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// This balancer has joined the others, or found none.
    Joined,
    /// The balancers that take part, this one included.
    Peers(Vec<(Node, Domain)>),
    /// The store listed all contracts as of a revision.
    Listed {
        /// The contracts.
        contracts: Vec<Arc<Contract<Accepted>>>,
        /// The revision of the store.
        revision: Revision,
    },
    /// The watch told of changes up to a revision.
    Changed {
        /// The new contracts.
        contracts: Vec<Arc<Contract<Accepted>>>,
        /// The revision of the last change.
        revision: Revision,
    },
    /// The history behind the watch's revision is no longer there.
    Compacted,
    /// A call failed or the watch ended.
    Failed,
    /// Time passed.
    Tick,
}

/// What follows for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// List all contracts.
    List,
    /// Watch all contracts from a revision on.
    Watch(Revision),
    /// End the watch.
    Stop,
    /// A contract of the store; it may be an old one.
    Learned(Arc<Contract<Accepted>>),
}

/// The reading of one balancer.
#[derive(Debug)]
pub struct StoreReader {
    own: Node,
    domain: Domain,
    everyone: bool,
    joined: bool,
    peers: Vec<(Node, Domain)>,
    state: State,
    failures: u32,
    rng: StdRng,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Waiting { until: Moment },
    Listing,
    Watching { until: Moment },
}

impl StoreReader {
    /// Creates the reading of a balancer. It does not read before it has joined, since many
    /// balancers that start together would all read.
    pub fn new(own: Node, domain: Domain, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let peers = vec![(own, domain.clone())];
        let (everyone, joined, state) = (false, false, State::Idle);
        Self { own, domain, everyone, joined, peers, state, failures: 0, rng }
    }

    /// Makes the balancer a reader whatever its peers are, as the baseline of the bench.
    pub fn always_reading(mut self) -> Self {
        self.everyone = true;
        self
    }

    /// Returns true when this balancer reads the store.
    pub fn is_reader(&self) -> bool {
        self.state != State::Idle
    }

    fn choose(&mut self, now: Moment) -> Vec<Action> {
        let chosen = self.everyone || is_reader(self.own, &self.domain, &self.peers);
        match (chosen && self.joined, self.state) {
            (true, State::Idle) => {
                let wait = self.jitter(FIRST_BACKOFF);
                self.state = State::Waiting { until: now + wait };
                Vec::new()
            }
            (false, State::Watching { .. } | State::Listing | State::Waiting { .. }) => {
                self.state = State::Idle;
                vec![Action::Stop]
            }
            _ => Vec::new(),
        }
    }

    fn watch(&mut self, revision: Revision, now: Moment) -> Action {
        self.failures = 0;
        let period = RELIST.as_micros();
        let wait = Span::from_micros(self.rng.random_range(period / 2..=period));
        self.state = State::Watching { until: now + wait };
        Action::Watch(Revision::new(revision.get() + 1))
    }

    fn failed(&mut self, now: Moment) -> Vec<Action> {
        if self.state == State::Idle {
            return Vec::new();
        }
        let most = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        let wait = self.jitter(most);
        self.state = State::Waiting { until: now + wait };
        Vec::new()
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        match self.state {
            State::Waiting { until } if now >= until => {
                self.state = State::Listing;
                vec![Action::List]
            }
            State::Watching { until } if now >= until => {
                self.state = State::Listing;
                vec![Action::Stop, Action::List]
            }
            _ => Vec::new(),
        }
    }

    /// Spreads retries over the whole wait: an outage begins for all readers at one moment, and a
    /// fixed wait would bring them back at one moment too.
    fn jitter(&mut self, most: Span) -> Span {
        Span::from_micros(self.rng.random_range(0..=most.as_micros()))
    }
}

/// Tells whether a balancer is one of the readers of its failure domain.
pub fn is_reader(own: Node, domain: &Domain, peers: &[(Node, Domain)]) -> bool {
    let same = peers.iter().filter(|(_, other)| other == domain);
    let nodes = same.map(|(node, _)| (*node, rendezvous::digest(node)));
    rendezvous::choose(rendezvous::digest(domain), nodes, READERS).contains(&own)
}

impl Controller for StoreReader {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Joined => {
                self.joined = true;
                self.choose(now)
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.choose(now)
            }
            Event::Listed { contracts, revision } => {
                let mut actions: Vec<_> = contracts.into_iter().map(Action::Learned).collect();
                if self.state == State::Listing {
                    actions.push(self.watch(revision, now));
                }
                actions
            }
            Event::Changed { contracts, .. } => {
                contracts.into_iter().map(Action::Learned).collect()
            }
            Event::Compacted if self.state != State::Idle => {
                self.state = State::Listing;
                vec![Action::List]
            }
            Event::Compacted => Vec::new(),
            Event::Failed => self.failed(now),
            Event::Tick => self.tick(now),
        }
    }
}
