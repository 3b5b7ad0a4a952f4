//! The controller with which a balancer reads contracts from the store.
//!
//! Two balancers of each failure domain, chosen by rendezvous hashing, watch the store, so that the
//! number of store calls depends on the number of failure domains, not on that of processes. All
//! other balancers receive contracts from their peers.

use {
    super::{Accepted, Contract},
    crate::{
        controller::Controller,
        gossip::peer::NodeId,
        ids::{Domain, Revision},
        rendezvous,
        time::{Moment, Span},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::sync::Arc,
};

/// Number of readers in each failure domain. With a single one, no balancer would read while
/// it is replaced.
const READERS: usize = 2;
/// Maximum random delay before the first read, and backoff after the first failure.
const FIRST_BACKOFF: Span = Span::from_millis(500);
/// Maximum backoff. After an outage the readers resume within this time and spread their calls over
/// it.
const MAX_BACKOFF: Span = Span::from_secs(4);
/// Maximum time between two listings of all contracts, in case a watch stops delivering changes
/// without an error.
const RELIST_INTERVAL: Span = Span::from_secs(300);

/// The input of the store reader.
#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer has received its initial snapshots from peers, or found no other balancer.
    Joined,
    /// The live balancers have changed; the list includes this one.
    Peers(Vec<(NodeId, Domain)>),
    /// A listing of all contracts succeeded.
    Listed {
        /// The contracts.
        contracts: Vec<Arc<Contract<Accepted>>>,
        /// The revision of the store at the time of the listing.
        revision: Revision,
    },
    /// The watch delivered changes.
    Changed {
        /// The changed contracts.
        contracts: Vec<Arc<Contract<Accepted>>>,
        /// The revision of the last change.
        revision: Revision,
    },
    /// The store has compacted the revision from which the watch starts.
    Compacted,
    /// A store call failed or the watch ended.
    Failed,
    /// A timer tick.
    Tick,
}

/// The output of the store reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// List all contracts.
    List,
    /// Watch all contracts from a revision on.
    Watch(Revision),
    /// Cancel the watch or the running call.
    Stop,
    /// Pass on a contract that was read from the store. It may be outdated.
    Learned(Arc<Contract<Accepted>>),
}

/// Decides whether and when one balancer lists and watches the contracts in the store.
#[derive(Debug)]
pub struct StoreReader {
    own: NodeId,
    domain: Domain,
    always_reads: bool,
    joined: bool,
    peers: Vec<(NodeId, Domain)>,
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
    /// Creates the store reader of a balancer. It does not read before [`Event::Joined`]: until
    /// then a balancer knows no peers, and all balancers that start together would read.
    pub fn new(own: NodeId, domain: Domain, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let peers = vec![(own, domain.clone())];
        let (always_reads, joined, state) = (false, false, State::Idle);
        Self { own, domain, always_reads, joined, peers, state, failures: 0, rng }
    }

    /// Makes the balancer read regardless of its peers. Benchmarks use this as a baseline.
    pub fn always_reading(mut self) -> Self {
        self.always_reads = true;
        self
    }

    /// Returns true while this balancer reads the store.
    pub fn is_reader(&self) -> bool {
        self.state != State::Idle
    }

    fn update_role(&mut self, now: Moment) -> Vec<Action> {
        let should_read = self.always_reads || is_reader(self.own, &self.domain, &self.peers);
        match (should_read && self.joined, self.state) {
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

    fn start_watch(&mut self, revision: Revision, now: Moment) -> Action {
        self.failures = 0;
        let period = RELIST_INTERVAL.as_micros();
        let wait = Span::from_micros(self.rng.random_range(period / 2..=period));
        self.state = State::Watching { until: now + wait };
        Action::Watch(Revision::new(revision.get() + 1))
    }

    fn back_off(&mut self, now: Moment) -> Vec<Action> {
        if self.state == State::Idle {
            return Vec::new();
        }
        let max = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        let wait = self.jitter(max);
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

    /// Returns a random duration of up to `max`. An outage begins for all readers at the same time,
    /// so that they would all retry at the same time after a fixed backoff.
    fn jitter(&mut self, max: Span) -> Span {
        Span::from_micros(self.rng.random_range(0..=max.as_micros()))
    }
}

/// Returns true if a balancer is one of the readers of its failure domain.
pub fn is_reader(own: NodeId, domain: &Domain, peers: &[(NodeId, Domain)]) -> bool {
    let in_domain = peers.iter().filter(|(_, other)| other == domain);
    let nodes = in_domain.map(|(node, _)| (*node, rendezvous::digest(node)));
    rendezvous::choose(rendezvous::digest(domain), nodes, READERS).contains(&own)
}

impl Controller for StoreReader {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Joined => {
                self.joined = true;
                self.update_role(now)
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.update_role(now)
            }
            Event::Listed { contracts, revision } => {
                let mut actions: Vec<_> = contracts.into_iter().map(Action::Learned).collect();
                if self.state == State::Listing {
                    actions.push(self.start_watch(revision, now));
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
            Event::Failed => self.back_off(now),
            Event::Tick => self.tick(now),
        }
    }
}
