//! Follows the contract: announcements, the contract in force, the grant of capacity.

use {
    crate::{
        announce::{Announcer, Answers},
        capacity::Claimant,
        chain::Limits,
        limiter::Limiter,
        packet::Scope,
        records::Records,
        siblings::Siblings,
        socket::Socket,
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinSet},
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        flow::Hop,
        ids::Service as ServiceName,
        member::{Entry, Phase},
        ownership::Table,
        placement::ramp::Ramp,
        time::Moment,
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::{admin::InForce, message::Sibling},
};

const ANNOUNCE_EVERY: Duration = Duration::from_secs(2);
/// Pause before a newer contract is asked for, so that a stream of packets causes few calls.
const PULL_PAUSE: Duration = Duration::from_millis(100);
/// Time between two claims of an agent that has not got its whole portion.
const CLAIM_EVERY: Duration = Duration::from_secs(1);
/// Longest time between two such claims, so that agents beyond the contract's number cost little.
const CLAIM_EVERY_MAX: Duration = Duration::from_secs(30);

/// Everything that a newer contract changes.
pub struct Follower {
    /// Announces the agent.
    pub announcer: Arc<Announcer>,
    /// The service that the upstream runs.
    pub name: ServiceName,
    /// The clock of the process.
    pub clock: Clock,
    /// The contract in force, in short.
    pub known: watch::Sender<InForce>,
    /// The terms in force.
    pub terms: watch::Sender<Terms>,
    /// The limits of requests.
    pub limits: watch::Sender<Limits>,
    /// The QUIC socket.
    pub socket: Arc<Socket>,
    /// What packets are checked against.
    pub scope: Arc<Scope>,
    /// The growth of the weight.
    pub ramp: Ramp,
    /// The flows.
    pub table: Arc<Table>,
    /// The member entry.
    pub entry: watch::Sender<Entry>,
    /// The admission gate.
    pub limiter: Arc<Limiter>,
    /// The record of keys.
    pub records: Arc<Records>,
    /// The other agents of the service.
    pub siblings: Arc<Siblings>,
    /// The grant of capacity.
    pub claimant: Arc<Claimant>,
}

impl Follower {
    /// Starts the tasks.
    pub fn spawn(self, tasks: &mut JoinSet<()>) {
        let announcing = Arc::new(self);
        let claiming = announcing.clone();
        tasks.spawn(async move { announcing.announce().await });
        tasks.spawn(async move { claiming.claim().await });
    }

    async fn announce(&self) {
        let mut timer = tokio::time::interval(ANNOUNCE_EVERY);
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = self.socket.newer_contract() => tokio::time::sleep(PULL_PAUSE).await,
            }
            self.grow(self.clock.now());
            let entry = self.entry.borrow().clone();
            let revision = self.known.borrow().revision;
            let asked = self.clock.now();
            let news = self.announcer.announce(&entry, revision).await;
            self.take(&news, asked);
            if let Some(version) = news.refute {
                self.refute(version).await;
            }
            self.admit();
            self.records.expire(self.clock.now());
            self.socket.expire();
        }
    }

    /// Answers a suspicion at once with a newer version of the entry.
    async fn refute(&self, version: u32) {
        self.entry.send_modify(|entry| entry.version = entry.version.max(version) + 1);
        let entry = self.entry.borrow().clone();
        let revision = self.known.borrow().revision;
        self.announcer.announce(&entry, revision).await;
    }

    /// Claims capacity until the whole portion is granted, then only when the contract changes.
    async fn claim(&self) {
        let mut terms = self.terms.subscribe();
        let mut pause = CLAIM_EVERY;
        loop {
            let wanted = terms.borrow_and_update().clone();
            let serving = self.entry.borrow().phase == Phase::Serving;
            let whole = !serving || self.claimant.claim(&wanted).await;
            self.admit();
            if whole {
                pause = CLAIM_EVERY;
            } else {
                pause = (pause * 2).min(CLAIM_EVERY_MAX);
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                // The sender lives as long as this task.
                _ = terms.changed() => {}
            }
        }
    }

    fn take(&self, news: &Answers, asked: Moment) {
        if let Some(contract) = &news.contract {
            self.apply(contract);
        }
        // Without a balancer the siblings of the last answer are kept.
        if news.reached > 0 {
            let hop = |s: &Sibling| Hop { instance: s.instance, incarnation: s.incarnation };
            let hops: Vec<_> = news.siblings.iter().map(hop).collect();
            self.socket.set_siblings(&hops);
            self.siblings.replace(&hops);
            self.claimant.contact(asked);
        }
    }

    /// Puts the lower of the contract's slots and the granted ones in force.
    fn admit(&self) {
        let terms = self.terms.borrow();
        self.limiter.change(terms.slots.min(self.claimant.allowed()), terms.wait);
    }

    /// Lets the weight follow the warm-up.
    fn grow(&self, now: Moment) {
        let weight = self.ramp.weight(now);
        self.table.set_weight(weight);
        self.entry.send_if_modified(|entry| {
            let changed = entry.weight != weight;
            if changed {
                entry.weight = weight;
                entry.version += 1;
            }
            changed
        });
    }

    fn apply(&self, contract: &Contract<Accepted>) {
        if contract.revision() <= self.known.borrow().revision {
            return;
        }
        if let Some(terms) = contract.service(&self.name) {
            self.limits.send_replace(Limits::from(terms));
            self.terms.send_replace(terms.clone());
            self.scope.apply(contract, terms);
        } else {
            self.scope.withdraw(contract);
        }
        self.known.send_replace(InForce::from(contract));
    }
}
