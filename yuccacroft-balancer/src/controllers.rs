//! The shell of the balancer's controllers.
//!
//! Each controller has its own lock, and no two locks are held at a time. What changes the table
//! of the packet path goes through one queue in the order of the decisions, so that an older
//! contract is never put in force behind a newer one.

mod announcements;
mod mesh;
mod store;

pub use self::{
    announcements::ANNOUNCE_PATH,
    store::{CONTRACT_KEY_PREFIX, Submission},
};

use {
    crate::service::ServiceTable,
    axum::Router,
    rand::random,
    slog::{Logger, info},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::mpsc,
    yuccacroft_core::{
        contract::{
            Accepted, Contract,
            registry::{self, Registry},
            store_reader::{self, StoreReader},
        },
        controller::Controller,
        gossip::{
            entry::Item,
            exchange::{self, Exchange},
            message::Message,
            peer::{Node, Peer},
        },
        ids::{Customer, Domain, Service},
        key::Secret,
        member::{
            Entry, Standing,
            membership::{self, FailureTimeouts, Membership},
        },
    },
    yuccacroft_rpc::{
        client::Client,
        clock::{self, Clock},
    },
};

const TICK: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How a balancer reaches the others.
#[derive(Clone, Debug)]
pub struct Mesh {
    /// The key that authenticates balancers to each other.
    pub key: Secret,
    /// The control addresses of some balancers.
    pub peers: Box<[SocketAddr]>,
}

/// What the controllers of a balancer start with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The control address of this balancer.
    pub control: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its mesh; a balancer without one knows no other.
    pub mesh: Option<Mesh>,
}

/// The controllers of one balancer with their locks.
pub struct Controllers {
    clock: Clock,
    log: Logger,
    routes: Arc<ServiceTable>,
    client: Client,
    key: Option<Secret>,
    register: Mutex<Registry>,
    roster: Mutex<Membership>,
    exchange: Mutex<Exchange>,
    follower: Mutex<StoreReader>,
    changes: mpsc::UnboundedSender<Change>,
    pending: Mutex<Option<mpsc::UnboundedReceiver<Change>>>,
    reading: store::ReadQueue,
}

/// A change of the table of the packet path.
#[derive(Debug)]
enum Change {
    Apply { contract: Arc<Contract<Accepted>>, replaced: Option<Arc<Contract<Accepted>>> },
    Rebuild { customer: Customer, service: Service },
}

impl Controllers {
    /// Creates the controllers over the table that the packet path reads.
    pub fn new(setup: Setup, routes: Arc<ServiceTable>, clock: Clock, log: Logger) -> Self {
        let node = Node::new(setup.control);
        let own = Peer {
            node,
            domain: setup.domain.clone(),
            incarnation: clock::new_incarnation(),
            version: 0,
            standing: Standing::Trusted,
        };
        let seeds: Vec<Node> =
            setup.mesh.iter().flat_map(|mesh| mesh.peers.iter()).copied().map(Node::new).collect();
        let exchange = Exchange::new(own, &seeds, exchange::Settings::default(), random());
        let (changes, pending) = mpsc::unbounded_channel();
        let control = Self {
            clock,
            log,
            routes,
            client: Client::new(CALL_TIMEOUT),
            key: setup.mesh.map(|mesh| mesh.key),
            register: Mutex::new(Registry::new()),
            roster: Mutex::new(Membership::new(node, FailureTimeouts::default())),
            follower: Mutex::new(StoreReader::new(node, setup.domain, random())),
            exchange: Mutex::new(exchange),
            changes,
            pending: Mutex::new(Some(pending)),
            reading: store::ReadQueue::default(),
        };
        let peers = locked(&control.exchange).peers();
        control.step_roster_quietly(membership::Event::Peers(peers));
        control
    }

    /// Returns the routes of messages from agents and balancers.
    pub fn router(self: &Arc<Self>) -> Router {
        announcements::router(self).merge(mesh::router(self))
    }

    /// Lets time pass for all controllers.
    pub async fn tick(self: &Arc<Self>) {
        let mut timer = tokio::time::interval(TICK);
        loop {
            timer.tick().await;
            self.step_roster(membership::Event::Tick);
            self.step_follower(store_reader::Event::Tick);
            self.step_exchange(exchange::Event::Tick);
            let contracts = self.contracts();
            contracts.iter().for_each(|contract| self.routes.expire(contract, self.clock.now()));
        }
    }

    /// Carries out the changes of the packet path's table in their order.
    pub async fn apply(&self) {
        let Some(mut pending) = locked(&self.pending).take() else { return };
        while let Some(change) = pending.recv().await {
            match change {
                Change::Apply { contract, replaced } => {
                    self.put_in_force(&contract, replaced.as_deref());
                }
                Change::Rebuild { customer, service } => self.rebuild(&customer, &service),
            }
        }
    }

    /// Returns the contract of a customer that is in force.
    pub fn contract(&self, customer: &Customer) -> Option<Arc<Contract<Accepted>>> {
        locked(&self.register).get(customer).cloned()
    }

    /// Returns all contracts in force.
    pub fn contracts(&self) -> Vec<Arc<Contract<Accepted>>> {
        locked(&self.register).iter().cloned().collect()
    }

    /// Returns all member entries.
    pub fn members(&self) -> Vec<Entry> {
        locked(&self.roster).iter().cloned().collect()
    }

    /// Puts a contract of the store in force unless a newer one is, and spreads it.
    pub fn learn(self: &Arc<Self>, contract: Arc<Contract<Accepted>>) {
        self.step_exchange(exchange::Event::Local(Item::Contract(contract)));
    }

    /// Returns the balancers that this one knows, itself included.
    pub fn peers(&self) -> Vec<(Node, Domain)> {
        locked(&self.exchange).peers()
    }

    fn put_in_force(&self, contract: &Contract<Accepted>, replaced: Option<&Contract<Accepted>>) {
        self.routes.apply(contract, replaced);
        let (customer, revision) = (contract.customer(), contract.revision());
        info!(self.log, "contract_in_force"; "customer" => %customer, "revision" => %revision);
        for terms in contract.terms() {
            self.rebuild(customer, &terms.service);
        }
    }

    fn rebuild(&self, customer: &Customer, service: &Service) {
        let Some(contract) = self.contract(customer) else { return };
        let candidates = locked(&self.roster).candidates(customer, service);
        let left = locked(&self.roster).departed(customer, service);
        let serving = candidates.iter().filter(|c| c.weight.get() > 0).count();
        info!(self.log, "members_changed"; "serving" => serving,
            "members" => candidates.len(), "service" => %service, "customer" => %customer);
        self.routes.rebuild(&contract, service, &candidates, &left, self.clock.now());
    }

    /// Feeds the exchange and carries out what follows, except for the answer of a request.
    fn step_exchange(self: &Arc<Self>, event: exchange::Event) -> Option<Message> {
        let actions = locked(&self.exchange).step(event, self.clock.now());
        let mut reply = None;
        for action in actions {
            match action {
                exchange::Action::Send { to, message } => self.send(to, message),
                exchange::Action::Reply(message) => reply = Some(message),
                exchange::Action::Learned(item) => self.learned(item),
                exchange::Action::Peers(peers) => {
                    self.step_roster(membership::Event::Peers(peers.clone()));
                    self.step_follower(store_reader::Event::Peers(peers));
                }
                exchange::Action::Joined => {
                    info!(self.log, "joined");
                    self.step_follower(store_reader::Event::Joined);
                }
            }
        }
        reply
    }

    fn learned(&self, item: Item) {
        match item {
            Item::Contract(contract) => self.step_register(contract),
            Item::Member(record) => {
                self.step_roster_quietly(membership::Event::Learned(record));
            }
            Item::Outage(outage) => {
                info!(self.log, "domain_changed";
                    "lost" => outage.is_lost(), "domain" => %outage.domain);
                self.step_roster_quietly(membership::Event::Outage(outage));
            }
            Item::Peer(_) => {}
        }
    }

    fn step_register(&self, contract: Arc<Contract<Accepted>>) {
        let mut register = locked(&self.register);
        let event = registry::Event::Learned(contract);
        for registry::Action::Apply { contract, replaced } in register.step(event, self.clock.now())
        {
            // The receiver lives as long as the process.
            let _ = self.changes.send(Change::Apply { contract, replaced });
        }
    }

    fn step_roster(self: &Arc<Self>, event: membership::Event) {
        for action in self.step_roster_quietly(event) {
            match action {
                membership::Action::Publish(item) => {
                    self.step_exchange(exchange::Event::Local(item));
                }
                membership::Action::Report { to, reports } => self.report(to, reports),
                membership::Action::Rebuild { .. } => {}
            }
        }
    }

    /// Feeds the roster, queues what concerns the packet path and returns the rest.
    fn step_roster_quietly(&self, event: membership::Event) -> Vec<membership::Action> {
        let mut roster = locked(&self.roster);
        let mut rest = Vec::new();
        for action in roster.step(event, self.clock.now()) {
            match action {
                membership::Action::Rebuild { customer, service, .. } => {
                    // The receiver lives as long as the process.
                    let _ = self.changes.send(Change::Rebuild { customer, service });
                }
                other => rest.push(other),
            }
        }
        rest
    }

    fn step_follower(self: &Arc<Self>, event: store_reader::Event) {
        let actions = locked(&self.follower).step(event, self.clock.now());
        for action in actions {
            match action {
                store_reader::Action::Learned(contract) => self.learn(contract),
                other => self.reading.push(other),
            }
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
