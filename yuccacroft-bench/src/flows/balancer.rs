//! The state of a balancer: the members of each service that it knows, and the targets of packets.

use {
    super::{Variant, script},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, hint::black_box, time::Instant},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Incarnation, Instance},
        placement::{Candidate, CandidateChain, History},
        time::Moment,
        units::Weight,
    },
};

const DECISION_COUNT: u64 = 1_000_000;
const MEMBER_COUNT: u64 = 1_000;

/// The entry of a member. A later version replaces an earlier one.
#[derive(Clone, Copy, Debug)]
pub struct MemberEntry {
    pub agent_id: AgentId,
    pub version: u32,
    /// The weight, or `None` if the member has left or is considered dead.
    pub weight: Option<Weight>,
    /// Whether the member itself has announced that it leaves.
    pub has_announced_leave: bool,
}

/// The entries of the members of one service that a process knows.
#[derive(Clone, Debug, Default)]
pub struct KnownMembers {
    entries: BTreeMap<AgentId, (u32, Option<Weight>)>,
}

/// The members of one service at one balancer.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoute {
    pub known_members: KnownMembers,
    pub history: History,
}

/// A balancer of one customer.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub is_alive: bool,
    /// Whether the fabric sends packets to it.
    pub is_listed: bool,
    pub routes: Vec<ServiceRoute>,
    turn: usize,
}

impl KnownMembers {
    /// Applies an entry unless the same or a later version is known. Returns true if it was applied.
    pub fn apply(&mut self, entry: MemberEntry) -> bool {
        let known = self.entries.get(&entry.agent_id);
        let newer = known.is_none_or(|(version, _)| *version < entry.version);
        if newer {
            self.entries.insert(entry.agent_id, (entry.version, entry.weight));
        }
        newer
    }

    /// Returns the members that have not left.
    pub fn members(&self) -> Vec<Candidate> {
        let present =
            self.entries.iter().filter_map(|(agent_id, (_, weight))| Some((*agent_id, (*weight)?)));
        present.map(|(agent_id, weight)| Candidate { agent_id, weight }).collect()
    }

    /// Returns true for a member that has left or is considered dead.
    pub fn has_left(&self, agent_id: AgentId) -> bool {
        self.entries.get(&agent_id).is_some_and(|(_, weight)| weight.is_none())
    }
}

impl Balancer {
    /// Creates a balancer that knows no members.
    pub fn new() -> Self {
        let routes = vec![ServiceRoute::default(); script::SERVICES.len()];
        Self { is_alive: true, is_listed: true, routes, turn: 0 }
    }

    /// Replaces the known members and their history, for a balancer that joins with the state of a peer.
    pub fn with_routes(self, routes: Vec<ServiceRoute>) -> Self {
        Self { routes, ..self }
    }

    /// Applies the entry of a member and updates the history of the service.
    pub fn apply(&mut self, service: usize, entry: MemberEntry, now: Moment) {
        let route = &mut self.routes[service];
        route.history.expire(now);
        if route.known_members.apply(entry) {
            route.history.update(&route.known_members.members(), now);
            if entry.has_announced_leave {
                route.history.remove_departed(entry.agent_id);
            }
        }
    }

    /// Returns the chain for a key. The baselines use only its first choice.
    pub fn chain(&mut self, variant: Variant, service: usize, key: FlowKey) -> CandidateChain {
        let route = &self.routes[service];
        if variant == Variant::Modulo {
            let members = route.history.current().map_or(&[][..], |table| table.candidates());
            let at = key.get().checked_rem(members.len() as u64);
            return CandidateChain::new(at.map(|at| members[at as usize].agent_id), None);
        }
        let chain = route.history.chain(key);
        self.turn += 1;
        if variant == Variant::Directory { chain.rotated(self.turn) } else { chain }
    }
}

/// Returns the mean time of the decision about a first packet in microseconds, with 1,000 members after
/// several changes.
pub fn first_decision_micros(seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let agent_id = |number: u64| AgentId {
        instance: Instance::from_bits(number << 16 | 9_000),
        incarnation: Incarnation::new(1),
    };
    let mut history = History::new();
    for change in 0..4 {
        let members: Vec<_> = (change..MEMBER_COUNT + change)
            .map(|number| Candidate { agent_id: agent_id(number), weight: Weight::new(100) })
            .collect();
        history.update(&members, Moment::default());
    }
    let keys: Vec<_> = (0..DECISION_COUNT).map(|_| FlowKey::new(rng.random())).collect();
    let start = Instant::now();
    for key in &keys {
        black_box(history.chain(black_box(*key)));
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISION_COUNT as f64
}
