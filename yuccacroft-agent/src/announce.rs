//! Announces the agent's member entry to balancers.

use {
    slog::{Logger, warn},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{Incarnation, Revision},
        key::Secret,
        member::MemberEntry,
    },
    yuccacroft_rpc::client::Client,
    yuccacroft_wire::message::{self, Announce, AnnounceReply, Balancers, Sibling},
};

/// HTTP path of announcements at a balancer.
const ANNOUNCE_PATH: &str = "/v1/announce";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of fallback balancers that are called concurrently.
const FALLBACK_BATCH_SIZE: usize = 2;

/// Announces one agent to its two registrars, the balancers that hold its registration, or to other
/// balancers while no registrar is known.
#[derive(Debug)]
pub struct Announcer {
    client: Client,
    balancers: Box<[SocketAddr]>,
    key: Secret,
    state: Mutex<State>,
    log: Logger,
}

/// State from the latest answers of balancers.
#[derive(Debug, Default)]
struct State {
    balancers: Balancers,
    siblings: Vec<Sibling>,
    /// Number of fallback batches called so far; each batch continues where the last one ended.
    batches: usize,
}

/// Merged answers of the balancers that were called in one round.
#[derive(Debug, Default)]
pub struct Update {
    /// The newest of the returned contracts. A balancer returns its contract when the announced
    /// revision differs from its own.
    pub contract: Option<Contract<Accepted>>,
    /// Other agents of the service.
    pub siblings: Vec<Sibling>,
    /// Number of balancers that answered.
    pub answered: usize,
    /// The suspected version of the entry, when balancers suspect this agent. Announcing a newer
    /// version refutes the suspicion.
    pub suspected_version: Option<u32>,
    /// The incarnation that this agent has to exceed, when balancers know a later one at its
    /// address.
    pub later_incarnation: Option<Incarnation>,
}

impl Announcer {
    /// Creates an announcer that authenticates with the customer's key.
    pub fn new(balancers: Box<[SocketAddr]>, key: Secret, log: Logger) -> Self {
        let state = Mutex::new(State::default());
        Self { client: Client::new(CALL_TIMEOUT), balancers, key, state, log }
    }

    /// Announces the entry to the registrars. When none of them answers, other balancers are
    /// called; they return new registrars once they have detected the failure themselves.
    pub async fn announce(&self, entry: &MemberEntry, revision: Revision) -> Update {
        let mut contacted: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut update = Update::default();
        let registrars = self.state().balancers.registrars.clone();
        self.announce_to(&registrars, &mut contacted, entry, revision, &mut update).await;
        let mut batches = self.balancers.len().div_ceil(FALLBACK_BATCH_SIZE) + 1;
        while update.answered == 0 && batches > 0 {
            let fallbacks = self.next_fallbacks();
            self.announce_to(&fallbacks, &mut contacted, entry, revision, &mut update).await;
            batches -= 1;
        }
        // The answers may name registrars that have not been called yet.
        let registrars = self.state().balancers.registrars.clone();
        self.announce_to(&registrars, &mut contacted, entry, revision, &mut update).await;
        update.siblings = self.state().siblings.clone();
        update
    }

    async fn announce_to(
        &self,
        balancers: &[SocketAddr],
        contacted: &mut BTreeSet<SocketAddr>,
        entry: &MemberEntry,
        revision: Revision,
        update: &mut Update,
    ) {
        let message = self.message(entry, revision);
        let new = balancers.iter().copied().filter(|&balancer| contacted.insert(balancer));
        let calls: Vec<_> = new.map(|balancer| self.call(balancer, &message)).collect();
        for reply in futures::future::join_all(calls).await.into_iter().flatten() {
            self.store_reply(&reply);
            update.merge(reply);
        }
    }

    fn message(&self, entry: &MemberEntry, revision: Revision) -> Announce {
        let state = self.state();
        let siblings = message::siblings_digest(&state.siblings);
        Announce { entry: entry.clone(), revision, siblings, balancers: state.balancers.digest() }
    }

    async fn call(&self, balancer: SocketAddr, message: &Announce) -> Option<AnnounceReply> {
        match self.client.call_with_retry(balancer, ANNOUNCE_PATH, &self.key, message).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                warn!(self.log, "announcement failed"; "error" => %error, "balancer" => balancer);
                None
            }
        }
    }

    fn store_reply(&self, reply: &AnnounceReply) {
        let mut state = self.state();
        if let Some(balancers) = &reply.balancers {
            state.balancers = balancers.clone();
        }
        if let Some(siblings) = &reply.siblings {
            state.siblings = siblings.to_vec();
        }
    }

    fn next_fallbacks(&self) -> Vec<SocketAddr> {
        let mut state = self.state();
        let all: Vec<SocketAddr> =
            state.balancers.others.iter().chain(&self.balancers).copied().collect();
        let first = state.batches * FALLBACK_BATCH_SIZE;
        state.batches += 1;
        let count = FALLBACK_BATCH_SIZE.min(all.len());
        (0..count).map(|offset| all[(first + offset) % all.len()]).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Update {
    fn merge(&mut self, reply: AnnounceReply) {
        self.answered += 1;
        self.suspected_version = self.suspected_version.max(reply.refute);
        self.later_incarnation = self.later_incarnation.max(reply.later);
        if let Some(contract) = reply.contract {
            let newest = self.contract.as_ref().map(Contract::revision);
            if newest.is_none_or(|newest| newest < contract.revision()) {
                self.contract = Some(contract);
            }
        }
    }
}
