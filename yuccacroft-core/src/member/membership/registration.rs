//! The members for which one balancer is a registrar.

use {
    super::super::{Record, Standing},
    crate::{
        gossip::peer::Node,
        ids::{Domain, Instance},
        rendezvous,
        time::{Moment, Span},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Registrars of each member; with one, its death would hide the death of the member.
const REGISTRARS: usize = 2;
/// Judges of each failure domain.
const JUDGES: usize = 2;
/// A member whose suspicion turned out wrong gets up to this many times the patience, so that a
/// link that fails for one registrar only does not change weights again and again.
const MAX_PATIENCE: u64 = 8;

/// What a registrar remembers of one of its members.
#[derive(Clone, Copy, Debug)]
pub struct Registration {
    /// When it was last heard from, or when the duty began.
    pub heard: Moment,
    /// Whether it was heard at all since the duty began.
    pub spoke: bool,
    /// When it was last reported to the judges.
    pub reported: Option<Moment>,
    patience: u64,
}

/// All duties of one balancer.
#[derive(Clone, Debug)]
pub struct Registrations {
    own: Node,
    peers: Vec<(Node, u64, Domain)>,
    ranks: BTreeMap<Instance, Vec<(u64, Node)>>,
    duties: BTreeMap<Instance, Registration>,
}

impl Registration {
    /// Returns true when the silence is longer than a span, stretched by the patience.
    pub fn is_silent(&self, span: Span, now: Moment) -> bool {
        now.since(self.heard) >= span.saturating_mul(self.patience)
    }
}

impl Registrations {
    /// Creates the duties of a balancer that knows no other.
    pub fn new(own: Node) -> Self {
        Self { own, peers: Vec::new(), ranks: BTreeMap::new(), duties: BTreeMap::new() }
    }

    /// Returns the members of this balancer.
    pub fn iter(&self) -> impl Iterator<Item = (Instance, Registration)> + '_ {
        self.duties.iter().map(|(instance, duty)| (*instance, *duty))
    }

    /// Returns the failure domain of this balancer, once it is known.
    pub fn domain(&self) -> Option<&Domain> {
        self.peers.iter().find(|(node, _, _)| *node == self.own).map(|(_, _, domain)| domain)
    }

    /// Returns the registrars of a member.
    pub fn registrars(&self, instance: Instance) -> Vec<Node> {
        match self.ranks.get(&instance) {
            Some(ranks) => ranks.iter().map(|(_, node)| *node).collect(),
            None => self.rank(instance).into_iter().map(|(_, node)| node).collect(),
        }
    }

    /// Returns the judges of a failure domain, which are outside of it when possible.
    pub fn judges(&self, domain: &Domain) -> Vec<Node> {
        let key = rendezvous::digest(domain);
        let outside = self.peers.iter().filter(|(_, _, own)| own != domain);
        let judges = rendezvous::choose(key, outside.map(|(n, d, _)| (*n, *d)), JUDGES);
        if judges.is_empty() { vec![self.own] } else { judges }
    }

    /// Notes a report.
    pub fn note_report(&mut self, instance: Instance, now: Moment) {
        if let Some(duty) = self.duties.get_mut(&instance) {
            duty.reported = Some(now);
        }
    }

    /// Notes an announcement.
    pub fn heard(&mut self, instance: Instance, now: Moment) {
        if let Some(duty) = self.duties.get_mut(&instance) {
            duty.heard = now;
            duty.spoke = true;
        }
    }

    /// Notes that a newer entry of a member replaces an older one. The member is alive, and when
    /// it was suspected the suspicion was wrong.
    pub fn spoke(&mut self, old: &Record, new: &Record, now: Moment) {
        let Some(duty) = self.duties.get_mut(&new.entry.instance) else { return };
        if !new.entry.supersedes(&old.entry) {
            return;
        }
        duty.heard = now;
        duty.spoke = true;
        if old.entry.incarnation < new.entry.incarnation {
            duty.patience = 1;
        } else if old.standing != Standing::Trusted {
            duty.patience = (duty.patience * 2).min(MAX_PATIENCE);
        }
    }

    /// Starts the silence of a member over.
    pub fn restart(&mut self, instance: Instance, now: Moment) {
        if let Some(duty) = self.duties.get_mut(&instance) {
            duty.heard = now;
            duty.spoke = false;
            duty.reported = None;
        }
    }

    /// Adds a member; this balancer watches it when it is one of its registrars.
    pub fn add(&mut self, instance: Instance, now: Moment) {
        if !self.ranks.contains_key(&instance) {
            let ranks = self.rank(instance);
            self.ranks.insert(instance, ranks);
        }
        self.settle(instance, now);
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: Instance) {
        self.ranks.remove(&instance);
        self.duties.remove(&instance);
    }

    /// Takes the balancers that take part. Only members whose registrars change are ranked anew.
    pub fn set_peers(
        &mut self,
        peers: &[(Node, Domain)],
        members: impl Iterator<Item = Instance>,
        now: Moment,
    ) {
        let before: BTreeSet<Node> = self.peers.iter().map(|(node, _, _)| *node).collect();
        let after: BTreeSet<Node> = peers.iter().map(|(node, _)| *node).collect();
        let digested =
            |(node, domain): &(Node, Domain)| (*node, rendezvous::digest(node), domain.clone());
        self.peers = peers.iter().map(digested).collect();
        let removed: BTreeSet<Node> = before.difference(&after).copied().collect();
        let added: Vec<(Node, u64)> =
            after.difference(&before).map(|node| (*node, rendezvous::digest(node))).collect();
        for instance in members {
            if self.rerank(instance, &removed, &added) {
                self.settle(instance, now);
            }
        }
    }

    fn rerank(&mut self, instance: Instance, gone: &BTreeSet<Node>, new: &[(Node, u64)]) -> bool {
        let Some(ranks) = self.ranks.get(&instance) else { return false };
        if ranks.len() < REGISTRARS || ranks.iter().any(|(_, node)| gone.contains(node)) {
            let ranks = self.rank(instance);
            self.ranks.insert(instance, ranks);
            return true;
        }
        let key = rendezvous::digest(&instance);
        let scored = new.iter().map(|(node, digest)| (rendezvous::score(key, *digest), *node));
        let mut merged: Vec<(u64, Node)> = ranks.iter().copied().chain(scored).collect();
        merged.sort_by(|a, b| b.cmp(a));
        merged.truncate(REGISTRARS);
        let changed = merged != *ranks;
        self.ranks.insert(instance, merged);
        changed
    }

    fn rank(&self, instance: Instance) -> Vec<(u64, Node)> {
        let key = rendezvous::digest(&instance);
        let nodes = self.peers.iter().map(|(node, digest, _)| (*node, *digest));
        let chosen = rendezvous::choose(key, nodes, REGISTRARS);
        let scored = |node| (rendezvous::score(key, rendezvous::digest(&node)), node);
        chosen.into_iter().map(scored).collect()
    }

    fn settle(&mut self, instance: Instance, now: Moment) {
        let ranks = self.ranks.get(&instance);
        let own = ranks.is_some_and(|ranks| ranks.iter().any(|(_, node)| *node == self.own));
        if own {
            let duty = Registration { heard: now, spoke: false, reported: None, patience: 1 };
            self.duties.entry(instance).or_insert(duty);
        } else {
            self.duties.remove(&instance);
        }
    }
}
