//! A balancer: its members of each service, and where it sends a packet.

use {
    super::{Variant, script},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, hint::black_box, time::Instant},
    yuccacroft_core::{
        flow::{Hop, Key},
        ids::{Incarnation, Instance},
        placement::{Candidate, Chain, History},
        time::Moment,
        units::Weight,
    },
};

const DECISIONS: u64 = 1_000_000;
const LARGE: u64 = 1_000;

/// What a member says of itself; a later version replaces an earlier one.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub hop: Hop,
    pub version: u32,
    /// `None` means that it left or is taken to be dead.
    pub weight: Option<Weight>,
    /// It said itself that it leaves.
    pub left: bool,
}

/// The members of one service that one process knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<Hop, (u32, Option<Weight>)>,
}

/// One service of one balancer.
#[derive(Clone, Debug, Default)]
pub struct Route {
    pub view: View,
    pub history: History,
}

/// A balancer of one customer.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub alive: bool,
    /// The fabric sends packets to it.
    pub listed: bool,
    pub routes: Vec<Route>,
    turn: usize,
}

impl View {
    /// Takes news in any order.
    pub fn learn(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.hop);
        let newer = known.is_none_or(|(version, _)| *version < entry.version);
        if newer {
            self.entries.insert(entry.hop, (entry.version, entry.weight));
        }
        newer
    }

    /// Returns the members that have not left.
    pub fn members(&self) -> Vec<Candidate> {
        let present = self.entries.iter().filter_map(|(hop, (_, weight))| Some((*hop, (*weight)?)));
        present.map(|(hop, weight)| Candidate { hop, weight }).collect()
    }

    /// Returns true for a member that left.
    pub fn has_left(&self, hop: Hop) -> bool {
        self.entries.get(&hop).is_some_and(|(_, weight)| weight.is_none())
    }
}

impl Balancer {
    pub fn new() -> Self {
        let routes = vec![Route::default(); script::SERVICES.len()];
        Self { alive: true, listed: true, routes, turn: 0 }
    }

    /// Takes the state of a peer.
    pub fn with_routes(self, routes: Vec<Route>) -> Self {
        Self { routes, ..self }
    }

    /// Takes news of a member.
    pub fn learn(&mut self, service: usize, entry: Entry, now: Moment) {
        let route = &mut self.routes[service];
        route.history.expire(now);
        if route.view.learn(entry) {
            route.history.update(&route.view.members(), now);
            if entry.left {
                route.history.remove_departed(entry.hop);
            }
        }
    }

    /// Returns the chain for a key; the baselines use its first choice alone.
    pub fn chain(&mut self, variant: Variant, service: usize, key: Key) -> Chain {
        let route = &self.routes[service];
        if variant == Variant::Modulo {
            let members = route.history.current().map_or(&[][..], |table| table.candidates());
            let at = key.get().checked_rem(members.len() as u64);
            return Chain::new(at.map(|at| members[at as usize].hop), None);
        }
        let chain = route.history.chain(key);
        self.turn += 1;
        if variant == Variant::Directory { chain.rotated(self.turn) } else { chain }
    }
}

/// Measures the decision for a first packet with 1,000 members after some changes.
pub fn first_decision_micros(seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let hop = |number: u64| Hop {
        instance: Instance::from_bits(number << 16 | 9_000),
        incarnation: Incarnation::new(1),
    };
    let mut history = History::new();
    for change in 0..4 {
        let members: Vec<_> = (change..LARGE + change)
            .map(|number| Candidate { hop: hop(number), weight: Weight::new(100) })
            .collect();
        history.update(&members, Moment::default());
    }
    let keys: Vec<_> = (0..DECISIONS).map(|_| Key::new(rng.random())).collect();
    let start = Instant::now();
    for key in &keys {
        black_box(history.chain(black_box(*key)));
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}
