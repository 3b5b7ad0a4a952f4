//! The members for which one balancer is a registrar.
//!
//! A registrar receives the announcements of a member and notices when they stop. Registrars and
//! outage detectors are chosen by rendezvous hashing.

use {
    super::super::{Liveness, MemberRecord},
    crate::{
        gossip::peer::NodeId,
        ids::{Domain, Instance},
        rendezvous,
        time::{Moment, Span},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of registrars of each member. With a single one, a member that fails together with its
/// registrar would go unnoticed.
const REGISTRARS_PER_MEMBER: usize = 2;
/// Number of outage detectors of each failure domain.
const DETECTORS_PER_DOMAIN: usize = 2;
/// Maximum factor by which the timeouts of a member are stretched. The factor doubles after each
/// wrong suspicion, so that a bad link to a single registrar does not change weights repeatedly.
const MAX_TIMEOUT_FACTOR: u64 = 8;

/// The state that a registrar keeps for one of its members.
#[derive(Clone, Copy, Debug)]
pub struct Registration {
    /// When the member last announced itself, or when its silence timeouts were last restarted.
    pub last_heard: Moment,
    /// Whether the member has announced itself since then.
    pub has_announced: bool,
    /// When the member was last reported to the outage detectors.
    pub last_reported: Option<Moment>,
    timeout_factor: u64,
}

/// All registrations of one balancer, with the registrars of all members.
#[derive(Clone, Debug)]
pub struct Registrations {
    own: NodeId,
    peers: Vec<(NodeId, u64, Domain)>,
    ranks: BTreeMap<Instance, Vec<(u64, NodeId)>>,
    registrations: BTreeMap<Instance, Registration>,
}

impl Registration {
    /// Returns true if the member has been silent for `timeout` times the timeout factor.
    pub fn is_silent(&self, timeout: Span, now: Moment) -> bool {
        now.since(self.last_heard) >= timeout.saturating_mul(self.timeout_factor)
    }
}

impl Registrations {
    /// Creates the registrations of a balancer that knows no peers.
    pub fn new(own: NodeId) -> Self {
        Self { own, peers: Vec::new(), ranks: BTreeMap::new(), registrations: BTreeMap::new() }
    }

    /// Returns the members for which this balancer is a registrar.
    pub fn iter(&self) -> impl Iterator<Item = (Instance, Registration)> + '_ {
        self.registrations.iter().map(|(instance, registration)| (*instance, *registration))
    }

    /// Returns the failure domain of this balancer, or `None` before the first peer list.
    pub fn domain(&self) -> Option<&Domain> {
        self.peers.iter().find(|(node, _, _)| *node == self.own).map(|(_, _, domain)| domain)
    }

    /// Returns the registrars of a member, the highest-ranked first.
    pub fn registrars(&self, instance: Instance) -> Vec<NodeId> {
        match self.ranks.get(&instance) {
            Some(ranks) => ranks.iter().map(|(_, node)| *node).collect(),
            None => self.top_ranks(instance).into_iter().map(|(_, node)| node).collect(),
        }
    }

    /// Returns the outage detectors of a failure domain. They are outside of the domain; without
    /// such balancers, this balancer itself is returned.
    pub fn outage_detectors(&self, domain: &Domain) -> Vec<NodeId> {
        let key = rendezvous::digest(domain);
        let outside = self.peers.iter().filter(|(_, _, own)| own != domain);
        let detectors =
            rendezvous::choose(key, outside.map(|(n, d, _)| (*n, *d)), DETECTORS_PER_DOMAIN);
        if detectors.is_empty() { vec![self.own] } else { detectors }
    }

    /// Records that a member was reported to the outage detectors.
    pub fn record_report(&mut self, instance: Instance, now: Moment) {
        if let Some(registration) = self.registrations.get_mut(&instance) {
            registration.last_reported = Some(now);
        }
    }

    /// Records an announcement of a member.
    pub fn record_announcement(&mut self, instance: Instance, now: Moment) {
        if let Some(registration) = self.registrations.get_mut(&instance) {
            registration.last_heard = now;
            registration.has_announced = true;
        }
    }

    /// Records that a newer entry of a member replaces an older one, which proves that the member
    /// is alive. If it was suspected, its timeouts are stretched; a new incarnation resets them.
    pub fn record_update(&mut self, old: &MemberRecord, new: &MemberRecord, now: Moment) {
        let Some(registration) = self.registrations.get_mut(&new.entry.instance) else { return };
        if !new.entry.supersedes(&old.entry) {
            return;
        }
        registration.last_heard = now;
        registration.has_announced = true;
        if old.entry.incarnation < new.entry.incarnation {
            registration.timeout_factor = 1;
        } else if old.standing != Liveness::Trusted {
            registration.timeout_factor = (registration.timeout_factor * 2).min(MAX_TIMEOUT_FACTOR);
        }
    }

    /// Restarts the silence timeouts of a member.
    pub fn restart(&mut self, instance: Instance, now: Moment) {
        if let Some(registration) = self.registrations.get_mut(&instance) {
            registration.last_heard = now;
            registration.has_announced = false;
            registration.last_reported = None;
        }
    }

    /// Adds a member and registers it if this balancer is one of its registrars.
    pub fn add(&mut self, instance: Instance, now: Moment) {
        if !self.ranks.contains_key(&instance) {
            let ranks = self.top_ranks(instance);
            self.ranks.insert(instance, ranks);
        }
        self.update_registration(instance, now);
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: Instance) {
        self.ranks.remove(&instance);
        self.registrations.remove(&instance);
    }

    /// Updates the live balancers. Only members whose registrars change are registered anew.
    pub fn set_peers(
        &mut self,
        peers: &[(NodeId, Domain)],
        members: impl Iterator<Item = Instance>,
        now: Moment,
    ) {
        let before: BTreeSet<NodeId> = self.peers.iter().map(|(node, _, _)| *node).collect();
        let after: BTreeSet<NodeId> = peers.iter().map(|(node, _)| *node).collect();
        let with_digest =
            |(node, domain): &(NodeId, Domain)| (*node, rendezvous::digest(node), domain.clone());
        self.peers = peers.iter().map(with_digest).collect();
        let removed: BTreeSet<NodeId> = before.difference(&after).copied().collect();
        let added: Vec<(NodeId, u64)> =
            after.difference(&before).map(|node| (*node, rendezvous::digest(node))).collect();
        for instance in members {
            if self.update_ranks(instance, &removed, &added) {
                self.update_registration(instance, now);
            }
        }
    }

    fn update_ranks(
        &mut self,
        instance: Instance,
        removed: &BTreeSet<NodeId>,
        added: &[(NodeId, u64)],
    ) -> bool {
        let Some(ranks) = self.ranks.get(&instance) else { return false };
        if ranks.len() < REGISTRARS_PER_MEMBER
            || ranks.iter().any(|(_, node)| removed.contains(node))
        {
            let ranks = self.top_ranks(instance);
            self.ranks.insert(instance, ranks);
            return true;
        }
        let key = rendezvous::digest(&instance);
        let scored = added.iter().map(|(node, digest)| (rendezvous::score(key, *digest), *node));
        let mut merged: Vec<(u64, NodeId)> = ranks.iter().copied().chain(scored).collect();
        merged.sort_by(|a, b| b.cmp(a));
        merged.truncate(REGISTRARS_PER_MEMBER);
        let changed = merged != *ranks;
        self.ranks.insert(instance, merged);
        changed
    }

    fn top_ranks(&self, instance: Instance) -> Vec<(u64, NodeId)> {
        let key = rendezvous::digest(&instance);
        let nodes = self.peers.iter().map(|(node, digest, _)| (*node, *digest));
        let chosen = rendezvous::choose(key, nodes, REGISTRARS_PER_MEMBER);
        let scored = |node| (rendezvous::score(key, rendezvous::digest(&node)), node);
        chosen.into_iter().map(scored).collect()
    }

    fn update_registration(&mut self, instance: Instance, now: Moment) {
        let ranks = self.ranks.get(&instance);
        let is_registrar =
            ranks.is_some_and(|ranks| ranks.iter().any(|(_, node)| *node == self.own));
        if is_registrar {
            let registration = Registration {
                last_heard: now,
                has_announced: false,
                last_reported: None,
                timeout_factor: 1,
            };
            self.registrations.entry(instance).or_insert(registration);
        } else {
            self.registrations.remove(&instance);
        }
    }
}
