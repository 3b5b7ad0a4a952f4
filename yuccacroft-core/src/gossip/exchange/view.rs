//! The peers that one balancer knows, and the byte budget of its pushes.

use {
    super::super::peer::{NodeId, Peer},
    crate::{
        ids::Domain,
        member::Liveness,
        time::{Moment, Span},
        units::{Rate, Size},
    },
    rand::{RngExt, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// A token bucket that limits bytes over time and allows bursts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteBudget {
    rate: Rate,
    burst: Size,
    available_bytes: u64,
    refilled_at: Moment,
}

impl ByteBudget {
    /// Creates a full bucket with a rate in bytes per second and a burst size.
    pub const fn new(rate: Rate, burst: Size) -> Self {
        Self { rate, burst, available_bytes: burst.get(), refilled_at: Moment::new(0) }
    }

    /// Returns the number of bytes that may be sent now.
    pub fn available(&mut self, now: Moment) -> usize {
        let accrued = self.rate.amount_in(now.since(self.refilled_at));
        // Time in which less than one byte accrues is carried over to the next call.
        if accrued > 0 {
            self.available_bytes = (self.available_bytes + accrued).min(self.burst.get());
            self.refilled_at = now;
        }
        self.available_bytes as usize
    }

    /// Deducts sent bytes.
    pub fn spend(&mut self, bytes: usize) {
        self.available_bytes = self.available_bytes.saturating_sub(bytes as u64);
    }
}

impl Default for ByteBudget {
    /// Returns half of the 4 KB/s of `docs/design.md`, section 1.7; the other half is left for
    /// announcements and repair. The burst allows ten contracts at 18 copies of 500 bytes.
    fn default() -> Self {
        Self::new(Rate::new(2_000), Size::new(90_000))
    }
}

/// The consecutive failed exchanges with one peer.
#[derive(Clone, Copy, Debug, Default)]
struct ExchangeFailures {
    count: u8,
    /// Whether a retry was sent whose result is pending.
    retry_pending: bool,
}

/// The known peers with their health as observed by this balancer.
#[derive(Clone, Debug)]
pub struct View {
    own: NodeId,
    seeds: Vec<NodeId>,
    peers: BTreeMap<NodeId, Arc<Peer>>,
    changed: bool,
    targets: Vec<NodeId>,
    reconnect_targets: Vec<NodeId>,
    lost_domains: BTreeSet<Domain>,
    failures: BTreeMap<NodeId, ExchangeFailures>,
    suspected_since: BTreeMap<NodeId, Moment>,
}

impl View {
    /// Creates the view of a balancer with the addresses of some seeds.
    pub fn new(own: NodeId, seeds: &[NodeId]) -> Self {
        let seeds = seeds.iter().copied().filter(|&seed| seed != own).collect();
        let mut view = Self {
            own,
            seeds,
            peers: BTreeMap::new(),
            changed: false,
            targets: Vec::new(),
            reconnect_targets: Vec::new(),
            lost_domains: BTreeSet::new(),
            failures: BTreeMap::new(),
            suspected_since: BTreeMap::new(),
        };
        view.rebuild_targets();
        view
    }

    /// Stores the latest entry of a peer.
    pub fn update(&mut self, peer: &Arc<Peer>, now: Moment) {
        self.suspected_since.remove(&peer.node);
        if peer.standing == Liveness::Suspected {
            self.suspected_since.insert(peer.node, now);
        }
        let known = self.peers.insert(peer.node, peer.clone());
        let lost = |peer: &Peer| peer.standing == Liveness::Lost;
        let changed = match &known {
            None => true,
            Some(known) => lost(known) != lost(peer) || known.domain != peer.domain,
        };
        if changed {
            self.failures.remove(&peer.node);
            self.changed = true;
        }
    }

    /// Rebuilds the targets after changes. Returns true if the live balancers may have changed.
    pub fn apply_changes(&mut self) -> bool {
        let changed = std::mem::take(&mut self.changed);
        if changed {
            self.rebuild_targets();
        }
        changed
    }

    /// Marks a failure domain as lost or restored.
    pub fn set_lost(&mut self, domain: &Domain, lost: bool) {
        if lost {
            self.lost_domains.insert(domain.clone());
        } else {
            self.lost_domains.remove(domain);
        }
        self.changed = true;
    }

    /// Returns all live balancers, including this one.
    pub fn live(&self) -> Vec<(NodeId, Domain)> {
        let live = self.peers.values().filter(|peer| self.is_live(peer));
        live.map(|peer| (peer.node, peer.domain.clone())).collect()
    }

    /// Picks up to `count` distinct random peers.
    pub fn pick(&self, count: usize, rng: &mut StdRng) -> Vec<NodeId> {
        let count = count.min(self.targets.len());
        let mut picked: Vec<NodeId> = Vec::with_capacity(count);
        while picked.len() < count {
            let node = self.targets[rng.random_range(0..self.targets.len())];
            if !picked.contains(&node) {
                picked.push(node);
            }
        }
        picked
    }

    /// Picks a random lost balancer or seed, to reconnect after a partition.
    pub fn pick_reconnect(&self, rng: &mut StdRng) -> Option<NodeId> {
        (!self.reconnect_targets.is_empty())
            .then(|| self.reconnect_targets[rng.random_range(0..self.reconnect_targets.len())])
    }

    /// Returns the peers whose last exchange failed and marks them as being retried.
    pub fn take_retries(&mut self) -> Vec<NodeId> {
        let due = self.failures.iter_mut().filter(|(_, failure)| !failure.retry_pending);
        due.map(|(node, failure)| {
            failure.retry_pending = true;
            *node
        })
        .collect()
    }

    /// Records a response of a peer.
    pub fn record_response(&mut self, node: NodeId) {
        self.failures.remove(&node);
    }

    /// Records a failed exchange with a peer. Returns its entry as suspected when the number of
    /// consecutive failures reaches `limit`. Peers in a lost failure domain are not counted, since
    /// the record of the domain covers them.
    pub fn record_failure(&mut self, node: NodeId, limit: u8) -> Option<Peer> {
        let peer = self.peers.get(&node).filter(|peer| self.is_live(peer))?;
        let failure = self.failures.entry(node).or_default();
        failure.count += 1;
        failure.retry_pending = false;
        if failure.count < limit {
            return None;
        }
        let suspect = Peer { standing: Liveness::Suspected, ..Peer::clone(peer) };
        self.failures.remove(&node);
        (peer.standing == Liveness::Trusted).then_some(suspect)
    }

    /// Returns the entries of the peers that have been suspected for at least `timeout`, as lost.
    pub fn overdue(&self, now: Moment, timeout: Span) -> Vec<Peer> {
        let overdue =
            self.suspected_since.iter().filter(|(_, since)| now.since(**since) >= timeout);
        let peers = overdue.filter_map(|(node, _)| self.peers.get(node));
        peers.map(|peer| Peer { standing: Liveness::Lost, ..Peer::clone(peer) }).collect()
    }

    fn is_live(&self, peer: &Peer) -> bool {
        let domain_lost = self.lost_domains.contains(&peer.domain) && peer.node != self.own;
        peer.standing != Liveness::Lost && !domain_lost
    }

    fn rebuild_targets(&mut self) {
        let others = || self.peers.values().filter(|peer| peer.node != self.own);
        // Balancers in a lost domain stay targets: they may be alive and need the record of the
        // outage first.
        let lost = |peer: &&Arc<Peer>| peer.standing == Liveness::Lost;
        let live: Vec<NodeId> = others().filter(|p| !lost(p)).map(|peer| peer.node).collect();
        let lost = others().filter(lost).map(|peer| peer.node);
        let reconnect_targets: BTreeSet<NodeId> = lost.chain(self.seeds.iter().copied()).collect();
        self.targets = if live.is_empty() { self.seeds.clone() } else { live };
        self.reconnect_targets =
            reconnect_targets.into_iter().filter(|node| !self.targets.contains(node)).collect();
    }
}
