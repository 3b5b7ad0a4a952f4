//! Periodic work of a serving agent: announces the entry, applies newer contracts and claims
//! capacity.

use {
    crate::{
        announce::{Announcer, Update},
        capacity::CapacityClient,
        chain::Limits,
        limiter::Limiter,
        packet::ServiceScope,
        records::Records,
        siblings::SiblingClient,
        socket::CapsuleSocket,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        flow::AgentId,
        ids::Service as ServiceName,
        member::{MemberEntry, MemberPhase},
        ownership::OwnershipTable,
        placement::ramp::Ramp,
        time::Moment,
    },
    yuccacroft_rpc::{clock::Clock, tasks::Tasks},
    yuccacroft_wire::{admin::ActiveContract, message::Sibling},
};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Pause before a newer contract is fetched, so that a burst of capsules causes one call.
const REFRESH_DELAY: Duration = Duration::from_millis(100);
/// Time between two checks of a complete grant. The time doubles with each claim that is not
/// granted completely.
const CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two claims. It limits the calls of agents beyond the number of upstreams in
/// the contract, which get no grant.
const MAX_CLAIM_INTERVAL: Duration = Duration::from_secs(30);

/// Updates the components of a serving agent from announcements, contracts and capacity grants.
pub struct StateUpdater {
    /// Announces the agent.
    pub announcer: Arc<Announcer>,
    /// The service that the upstream runs.
    pub service: ServiceName,
    /// The clock of the process.
    pub clock: Clock,
    /// Summary of the contract in force.
    pub in_force: watch::Sender<ActiveContract>,
    /// The terms in force.
    pub terms: watch::Sender<Terms>,
    /// The limits of requests.
    pub limits: watch::Sender<Limits>,
    /// The QUIC socket.
    pub socket: Arc<CapsuleSocket>,
    /// The service addresses that capsules are checked against.
    pub scope: Arc<ServiceScope>,
    /// The weight over the warm-up time.
    pub ramp: Ramp,
    /// The flow table.
    pub table: Arc<OwnershipTable>,
    /// The member entry.
    pub entry: watch::Sender<MemberEntry>,
    /// The admission limiter.
    pub limiter: Arc<Limiter>,
    /// The idempotency keys and their outcomes.
    pub records: Arc<Records>,
    /// The other agents of the service.
    pub siblings: Arc<SiblingClient>,
    /// Claims the agent's share of the customer's capacity.
    pub capacity: Arc<CapacityClient>,
}

impl StateUpdater {
    /// Starts the tasks for announcements and for claims.
    pub fn spawn(self, tasks: &mut Tasks) {
        let shared = Arc::new(self);
        tasks.supervise("announcements", &shared, |updater| async move {
            updater.run_announcements().await
        });
        tasks.supervise("capacity", &shared, |updater| async move { updater.run_claims().await });
    }

    async fn run_announcements(&self) {
        let mut timer = tokio::time::interval(ANNOUNCE_INTERVAL);
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = self.socket.newer_contract() => tokio::time::sleep(REFRESH_DELAY).await,
            }
            self.update_weight(self.clock.now());
            let entry = self.entry.borrow().clone();
            let revision = self.in_force.borrow().revision;
            let sent_at = self.clock.now();
            let update = self.announcer.announce(&entry, revision).await;
            self.apply_update(&update, sent_at);
            if let Some(version) = update.suspected_version {
                self.refute_suspicion(version).await;
            }
            self.update_admission_limit();
            self.records.expire(self.clock.now());
            self.socket.expire();
        }
    }

    /// Refutes a suspicion at once by announcing a newer version of the entry.
    async fn refute_suspicion(&self, version: u32) {
        self.entry.send_modify(|entry| entry.version = entry.version.max(version) + 1);
        let entry = self.entry.borrow().clone();
        let revision = self.in_force.borrow().revision;
        self.announcer.announce(&entry, revision).await;
    }

    /// Claims capacity with an exponential backoff until the full share is granted, then checks
    /// the grant every [`CLAIM_INTERVAL`] and when the contract changes.
    async fn run_claims(&self) {
        let mut terms = self.terms.subscribe();
        let mut pause = CLAIM_INTERVAL;
        loop {
            let current = terms.borrow_and_update().clone();
            let is_serving = self.entry.borrow().phase == MemberPhase::Serving;
            let has_full_share = !is_serving || self.capacity.claim_share(&current).await;
            self.update_admission_limit();
            if has_full_share {
                pause = CLAIM_INTERVAL;
            } else {
                pause = (pause * 2).min(MAX_CLAIM_INTERVAL);
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                // The sender belongs to `self`, so this cannot fail.
                _ = terms.changed() => {}
            }
        }
    }

    fn apply_update(&self, update: &Update, sent_at: Moment) {
        if let Some(contract) = &update.contract {
            self.apply_contract(contract);
        }
        if update.answered == 0 {
            self.socket.keep_siblings();
        } else {
            let agent_id =
                |s: &Sibling| AgentId { instance: s.instance, incarnation: s.incarnation };
            let agent_ids: Vec<_> = update.siblings.iter().map(agent_id).collect();
            self.socket.set_siblings(&agent_ids);
            self.siblings.set_siblings(&agent_ids);
            self.capacity.record_contact(sent_at);
        }
    }

    /// Sets the admission limit to the lower of the contract's slots and the granted ones.
    fn update_admission_limit(&self) {
        let terms = self.terms.borrow();
        self.limiter.set_limits(terms.slots.min(self.capacity.usable_slots()), terms.wait);
    }

    /// Sets the weight for the elapsed warm-up time.
    fn update_weight(&self, now: Moment) {
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

    fn apply_contract(&self, contract: &Contract<Accepted>) {
        if contract.revision() <= self.in_force.borrow().revision {
            return;
        }
        if let Some(terms) = contract.service(&self.service) {
            self.limits.send_replace(Limits::from(terms));
            self.terms.send_replace(terms.clone());
            self.scope.apply_contract(contract, terms);
        } else {
            self.scope.remove_service(contract);
        }
        self.in_force.send_replace(ActiveContract::from(contract));
    }
}
