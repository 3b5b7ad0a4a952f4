//! The announcement of the upstream to balancers.

use {
    slog::{Logger, warn},
    std::{net::SocketAddr, time::Duration},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::Revision,
        key::Secret,
        member::Entry,
    },
    yuccacroft_rpc::client::Client,
    yuccacroft_wire::message::{Announce, Sibling, Welcome},
};

/// The path of announcements at a balancer.
const PATH: &str = "/v1/announce";
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces one agent to the balancers of its settings.
#[derive(Debug)]
pub struct Herald {
    client: Client,
    balancers: Box<[SocketAddr]>,
    key: Secret,
    log: Logger,
}

/// What balancers told.
#[derive(Debug, Default)]
pub struct News {
    /// The newest contract that is newer than the one in force.
    pub contract: Option<Contract<Accepted>>,
    /// Other agents of the service.
    pub siblings: Vec<Sibling>,
    /// Balancers that answered.
    pub reached: usize,
}

impl Herald {
    /// Creates the herald of an agent whose customer has this key.
    pub fn new(balancers: Box<[SocketAddr]>, key: Secret, log: Logger) -> Self {
        Self { client: Client::new(TIMEOUT), balancers, key, log }
    }

    /// Announces the entry to all balancers at once and gathers their answers.
    pub async fn announce(&self, entry: &Entry, revision: Revision) -> News {
        let message = Announce { entry: entry.clone(), revision };
        let calls = self.balancers.iter().map(|&balancer| self.call(balancer, &message));
        let answers = futures::future::join_all(calls).await;
        answers.into_iter().flatten().fold(News::default(), News::with_answer)
    }

    async fn call(&self, balancer: SocketAddr, message: &Announce) -> Option<Welcome> {
        match self.client.call(balancer, PATH, &self.key, message).await {
            Ok(welcome) => Some(welcome),
            Err(error) => {
                warn!(self.log, "announce_failed"; "error" => %error, "balancer" => balancer);
                None
            }
        }
    }
}

impl News {
    fn with_answer(mut self, welcome: Welcome) -> Self {
        self.reached += 1;
        if let Some(contract) = welcome.contract {
            let newest = self.contract.as_ref().map(Contract::revision);
            if newest.is_none_or(|newest| newest < contract.revision()) {
                self.contract = Some(contract);
            }
        }
        if welcome.siblings.len() >= self.siblings.len() {
            self.siblings = welcome.siblings.into_vec();
        }
        self
    }
}
