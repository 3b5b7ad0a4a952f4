//! The balancers that one balancer knows, and the bytes that it may send them.

use {
    super::super::peer::{Node, Peer},
    crate::{
        ids::Domain,
        member::Standing,
        time::{Moment, Span},
        units::{Rate, Size},
    },
    rand::{RngExt, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// A bound of bytes over time that lets short bursts pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    rate: Rate,
    burst: Size,
    left: u64,
    filled: Moment,
}

impl Budget {
    /// Creates a budget of bytes a second with a burst of bytes.
    pub const fn new(rate: Rate, burst: Size) -> Self {
        Self { rate, burst, left: burst.get(), filled: Moment::new(0) }
    }

    /// Returns the bytes that may be sent now.
    pub fn allowed(&mut self, now: Moment) -> usize {
        let gained = self.rate.amount_in(now.since(self.filled));
        // A time too short for one byte stays uncounted until it is long enough.
        if gained > 0 {
            self.left = (self.left + gained).min(self.burst.get());
            self.filled = now;
        }
        self.left as usize
    }

    /// Notes that bytes were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.left = self.left.saturating_sub(bytes as u64);
    }
}

impl Default for Budget {
    /// Half of the 4 KB/s of `docs/design.md`, section 1.7: the other half carries announcements
    /// and repair. The burst holds ten contracts at 18 copies of 500 bytes.
    fn default() -> Self {
        Self::new(Rate::new(2_000), Size::new(90_000))
    }
}

/// Exchanges with one peer that failed in a row.
#[derive(Clone, Copy, Debug, Default)]
struct ExchangeFailures {
    failures: u8,
    /// Whether the next exchange is under way.
    asked: bool,
}

/// Peers with what this balancer thinks of them.
#[derive(Clone, Debug)]
pub struct View {
    own: Node,
    seeds: Vec<Node>,
    peers: BTreeMap<Node, Arc<Peer>>,
    changed: bool,
    targets: Vec<Node>,
    strays: Vec<Node>,
    lost_domains: BTreeSet<Domain>,
    failures: BTreeMap<Node, ExchangeFailures>,
    suspects: BTreeMap<Node, Moment>,
}

impl View {
    /// Creates the view of a balancer that knows some addresses.
    pub fn new(own: Node, seeds: &[Node]) -> Self {
        let seeds = seeds.iter().copied().filter(|&seed| seed != own).collect();
        let mut view = Self {
            own,
            seeds,
            peers: BTreeMap::new(),
            changed: false,
            targets: Vec::new(),
            strays: Vec::new(),
            lost_domains: BTreeSet::new(),
            failures: BTreeMap::new(),
            suspects: BTreeMap::new(),
        };
        view.sort();
        view
    }

    /// Takes the newest entry of a peer.
    pub fn note(&mut self, peer: &Arc<Peer>, now: Moment) {
        self.suspects.remove(&peer.node);
        if peer.standing == Standing::Suspected {
            self.suspects.insert(peer.node, now);
        }
        let known = self.peers.insert(peer.node, peer.clone());
        let lost = |peer: &Peer| peer.standing == Standing::Lost;
        let changed = match &known {
            None => true,
            Some(known) => lost(known) != lost(peer) || known.domain != peer.domain,
        };
        if changed {
            self.failures.remove(&peer.node);
            self.changed = true;
        }
    }

    /// Brings the choices up to date after changes. Returns true when the live ones have changed.
    pub fn settle(&mut self) -> bool {
        let changed = std::mem::take(&mut self.changed);
        if changed {
            self.sort();
        }
        changed
    }

    /// Marks a failure domain as lost or back.
    pub fn set_lost(&mut self, domain: &Domain, lost: bool) {
        if lost {
            self.lost_domains.insert(domain.clone());
        } else {
            self.lost_domains.remove(domain);
        }
        self.changed = true;
    }

    /// Returns all live balancers, this one included.
    pub fn live(&self) -> Vec<(Node, Domain)> {
        let live = self.peers.values().filter(|peer| self.is_live(peer));
        live.map(|peer| (peer.node, peer.domain.clone())).collect()
    }

    /// Returns the number of peers that can be picked.
    pub fn choices(&self) -> usize {
        self.targets.len()
    }

    /// Picks different random peers.
    pub fn pick(&self, count: usize, rng: &mut StdRng) -> Vec<Node> {
        let count = count.min(self.targets.len());
        let mut picked: Vec<Node> = Vec::with_capacity(count);
        while picked.len() < count {
            let node = self.targets[rng.random_range(0..self.targets.len())];
            if !picked.contains(&node) {
                picked.push(node);
            }
        }
        picked
    }

    /// Picks a balancer that is thought lost, or a seed.
    pub fn stray(&self, rng: &mut StdRng) -> Option<Node> {
        (!self.strays.is_empty()).then(|| self.strays[rng.random_range(0..self.strays.len())])
    }

    /// Returns the peers that failed to answer lately and are to be asked again.
    pub fn doubted(&mut self) -> Vec<Node> {
        let due = self.failures.iter_mut().filter(|(_, doubt)| !doubt.asked);
        due.map(|(node, doubt)| {
            doubt.asked = true;
            *node
        })
        .collect()
    }

    /// Notes that a peer answered.
    pub fn answered(&mut self, node: Node) {
        self.failures.remove(&node);
    }

    /// Notes that a peer did not answer, and returns its entry as suspected after too many
    /// failures. The peers of a lost failure domain are covered by the record of the domain.
    pub fn failed(&mut self, node: Node, limit: u8) -> Option<Peer> {
        let peer = self.peers.get(&node).filter(|peer| self.is_live(peer))?;
        let doubt = self.failures.entry(node).or_default();
        doubt.failures += 1;
        doubt.asked = false;
        if doubt.failures < limit {
            return None;
        }
        let suspect = Peer { standing: Standing::Suspected, ..Peer::clone(peer) };
        self.failures.remove(&node);
        (peer.standing == Standing::Trusted).then_some(suspect)
    }

    /// Returns the entries of the peers that were suspected for too long, as lost.
    pub fn overdue(&self, now: Moment, loss: Span) -> Vec<Peer> {
        let overdue = self.suspects.iter().filter(|(_, since)| now.since(**since) >= loss);
        let peers = overdue.filter_map(|(node, _)| self.peers.get(node));
        peers.map(|peer| Peer { standing: Standing::Lost, ..Peer::clone(peer) }).collect()
    }

    fn is_live(&self, peer: &Peer) -> bool {
        let domain_lost = self.lost_domains.contains(&peer.domain) && peer.node != self.own;
        peer.standing != Standing::Lost && !domain_lost
    }

    fn sort(&mut self) {
        let others = || self.peers.values().filter(|peer| peer.node != self.own);
        // Balancers of a lost domain may be alive, and then they need the record of its loss first.
        let lost = |peer: &&Arc<Peer>| peer.standing == Standing::Lost;
        let live: Vec<Node> = others().filter(|p| !lost(p)).map(|peer| peer.node).collect();
        let lost = others().filter(lost).map(|peer| peer.node);
        let strays: BTreeSet<Node> = lost.chain(self.seeds.iter().copied()).collect();
        self.targets = if live.is_empty() { self.seeds.clone() } else { live };
        self.strays = strays.into_iter().filter(|node| !self.targets.contains(node)).collect();
    }
}
