//! The announcement of the upstream to balancers.

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
        member::Entry,
    },
    yuccacroft_rpc::client::Client,
    yuccacroft_wire::message::{self, Announce, Balancers, Sibling, Welcome},
};

/// The path of announcements at a balancer.
const PATH: &str = "/v1/announce";
const TIMEOUT: Duration = Duration::from_secs(1);
/// Balancers that an agent turns to at the same time.
const TARGETS: usize = 2;

/// Announces one agent to its two registrars, or to other balancers while it knows none.
#[derive(Debug)]
pub struct Announcer {
    client: Client,
    balancers: Box<[SocketAddr]>,
    key: Secret,
    known: Mutex<Known>,
    log: Logger,
}

/// What the last answers told.
#[derive(Debug, Default)]
struct Known {
    balancers: Balancers,
    siblings: Vec<Sibling>,
    /// Counts the turns to other balancers, so that each goes to the next ones.
    turns: usize,
}

/// What balancers told.
#[derive(Debug, Default)]
pub struct Answers {
    /// The newest contract that is newer than the one in force.
    pub contract: Option<Contract<Accepted>>,
    /// Other agents of the service.
    pub siblings: Vec<Sibling>,
    /// Balancers that answered.
    pub reached: usize,
    /// The version that the entry has to exceed, when balancers suspect this agent.
    pub refute: Option<u32>,
    /// The life that this agent has to exceed, when balancers know a later one at its address.
    pub later: Option<Incarnation>,
}

impl Announcer {
    /// Creates the announcer of an agent whose customer has this key.
    pub fn new(balancers: Box<[SocketAddr]>, key: Secret, log: Logger) -> Self {
        let known = Mutex::new(Known::default());
        Self { client: Client::new(TIMEOUT), balancers, key, known, log }
    }

    /// Announces the entry to the registrars. When none of them answers, it goes to other
    /// balancers, which tell of new registrars once they have noticed the loss themselves.
    pub async fn announce(&self, entry: &Entry, revision: Revision) -> Answers {
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut news = Answers::default();
        let registrars = self.known().balancers.registrars.clone();
        self.ask(&registrars, &mut asked, entry, revision, &mut news).await;
        let mut turns = self.balancers.len().div_ceil(TARGETS) + 1;
        while news.reached == 0 && turns > 0 {
            let others = self.next_others();
            self.ask(&others, &mut asked, entry, revision, &mut news).await;
            turns -= 1;
        }
        // The first answer names registrars that have not heard of this agent yet.
        let registrars = self.known().balancers.registrars.clone();
        self.ask(&registrars, &mut asked, entry, revision, &mut news).await;
        news.siblings = self.known().siblings.clone();
        news
    }

    async fn ask(
        &self,
        balancers: &[SocketAddr],
        asked: &mut BTreeSet<SocketAddr>,
        entry: &Entry,
        revision: Revision,
        news: &mut Answers,
    ) {
        let message = self.message(entry, revision);
        let new = balancers.iter().copied().filter(|&balancer| asked.insert(balancer));
        let calls: Vec<_> = new.map(|balancer| self.call(balancer, &message)).collect();
        for welcome in futures::future::join_all(calls).await.into_iter().flatten() {
            self.learn(&welcome);
            news.add(welcome);
        }
    }

    fn message(&self, entry: &Entry, revision: Revision) -> Announce {
        let known = self.known();
        let siblings = message::siblings_digest(&known.siblings);
        Announce { entry: entry.clone(), revision, siblings, balancers: known.balancers.digest() }
    }

    async fn call(&self, balancer: SocketAddr, message: &Announce) -> Option<Welcome> {
        match self.client.call_again(balancer, PATH, &self.key, message).await {
            Ok(welcome) => Some(welcome),
            Err(error) => {
                warn!(self.log, "announce_failed"; "error" => %error, "balancer" => balancer);
                None
            }
        }
    }

    fn learn(&self, welcome: &Welcome) {
        let mut known = self.known();
        if let Some(balancers) = &welcome.balancers {
            known.balancers = balancers.clone();
        }
        if let Some(siblings) = &welcome.siblings {
            known.siblings = siblings.to_vec();
        }
    }

    fn next_others(&self) -> Vec<SocketAddr> {
        let mut known = self.known();
        let all: Vec<SocketAddr> =
            known.balancers.others.iter().chain(&self.balancers).copied().collect();
        let first = known.turns * TARGETS;
        known.turns += 1;
        let count = TARGETS.min(all.len());
        (0..count).map(|offset| all[(first + offset) % all.len()]).collect()
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Answers {
    fn add(&mut self, welcome: Welcome) {
        self.reached += 1;
        self.refute = self.refute.max(welcome.refute);
        self.later = self.later.max(welcome.later);
        if let Some(contract) = welcome.contract {
            let newest = self.contract.as_ref().map(Contract::revision);
            if newest.is_none_or(|newest| newest < contract.revision()) {
                self.contract = Some(contract);
            }
        }
    }
}
