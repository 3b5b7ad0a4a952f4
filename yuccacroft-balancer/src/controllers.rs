//! The controllers of a balancer, with the I/O that carries out their actions.
//!
//! Each controller has its own lock, and no two locks are held at a time. Updates of the service
//! table go through one queue in the order of the decisions, so that an older contract never
//! replaces a newer one.

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
            entry::GossipEntry,
            exchange::{self, Exchange},
            message::GossipMessage,
            peer::{NodeId, Peer},
        },
        ids::{Customer, Domain, Service},
        key::Secret,
        member::{
            Liveness, MemberEntry,
            membership::{self, FailureTimeouts, Membership},
        },
    },
    yuccacroft_rpc::{
        client::Client,
        clock::{self, Clock},
    },
};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The settings with which a balancer reaches the others.
#[derive(Clone, Debug)]
pub struct Mesh {
    /// The key that authenticates balancers to each other.
    pub key: Secret,
    /// The control addresses of some other balancers.
    pub peers: Box<[SocketAddr]>,
}

/// The settings of the controllers of a balancer.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The control address of this balancer.
    pub control: SocketAddr,
    /// The failure domain of this balancer.
    pub domain: Domain,
    /// The mesh settings; without them the balancer knows no other.
    pub mesh: Option<Mesh>,
}

/// The controllers of one balancer, each with its lock.
pub struct Controllers {
    clock: Clock,
    log: Logger,
    services: Arc<ServiceTable>,
    client: Client,
    key: Option<Secret>,
    registry: Mutex<Registry>,
    membership: Mutex<Membership>,
    exchange: Mutex<Exchange>,
    store_reader: Mutex<StoreReader>,
    table_updates: mpsc::UnboundedSender<TableUpdate>,
    update_receiver: Mutex<Option<mpsc::UnboundedReceiver<TableUpdate>>>,
    read_queue: store::ReadQueue,
}

/// An update of the service table.
#[derive(Debug)]
enum TableUpdate {
    Apply { contract: Arc<Contract<Accepted>>, replaced: Option<Arc<Contract<Accepted>>> },
    Rebuild { customer: Customer, service: Service },
}

impl Controllers {
    /// Creates the controllers over the service table of the packet path.
    pub fn new(setup: Setup, services: Arc<ServiceTable>, clock: Clock, log: Logger) -> Self {
        let node = NodeId::new(setup.control);
        let own_peer = Peer {
            node,
            domain: setup.domain.clone(),
            incarnation: clock::new_incarnation(),
            version: 0,
            standing: Liveness::Trusted,
        };
        let seeds: Vec<NodeId> = setup
            .mesh
            .iter()
            .flat_map(|mesh| mesh.peers.iter())
            .copied()
            .map(NodeId::new)
            .collect();
        let exchange =
            Exchange::new(own_peer, &seeds, exchange::GossipSettings::default(), random());
        let (table_updates, update_receiver) = mpsc::unbounded_channel();
        let controllers = Self {
            clock,
            log,
            services,
            client: Client::new(CALL_TIMEOUT),
            key: setup.mesh.map(|mesh| mesh.key),
            registry: Mutex::new(Registry::new()),
            membership: Mutex::new(Membership::new(node, FailureTimeouts::default())),
            store_reader: Mutex::new(StoreReader::new(node, setup.domain, random())),
            exchange: Mutex::new(exchange),
            table_updates,
            update_receiver: Mutex::new(Some(update_receiver)),
            read_queue: store::ReadQueue::default(),
        };
        let peers = lock(&controllers.exchange).peers();
        controllers.update_membership(membership::Event::Peers(peers));
        controllers
    }

    /// Returns the HTTP routes of messages from agents and balancers.
    pub fn router(self: &Arc<Self>) -> Router {
        announcements::router(self).merge(mesh::router(self))
    }

    /// Runs the timers of all controllers and removes expired placement generations.
    pub async fn run_timers(self: &Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        loop {
            timer.tick().await;
            self.step_membership(membership::Event::Tick);
            self.step_store_reader(store_reader::Event::Tick);
            self.step_exchange(exchange::Event::Tick);
            let contracts = self.contracts();
            contracts.iter().for_each(|contract| self.services.expire(contract, self.clock.now()));
        }
    }

    /// Applies the queued updates of the service table in their order.
    pub async fn run_table_updates(&self) {
        let Some(mut update_receiver) = lock(&self.update_receiver).take() else { return };
        while let Some(update) = update_receiver.recv().await {
            match update {
                TableUpdate::Apply { contract, replaced } => {
                    self.put_in_force(&contract, replaced.as_deref());
                }
                TableUpdate::Rebuild { customer, service } => {
                    self.update_members(&customer, &service)
                }
            }
        }
    }

    /// Returns the contract of a customer in force.
    pub fn contract(&self, customer: &Customer) -> Option<Arc<Contract<Accepted>>> {
        lock(&self.registry).get(customer).cloned()
    }

    /// Returns all contracts in force.
    pub fn contracts(&self) -> Vec<Arc<Contract<Accepted>>> {
        lock(&self.registry).iter().cloned().collect()
    }

    /// Returns all member entries.
    pub fn members(&self) -> Vec<MemberEntry> {
        lock(&self.membership).iter().cloned().collect()
    }

    /// Adds a contract from the store: puts it in force unless a newer one is, and spreads it to
    /// the other balancers.
    pub fn add_contract(self: &Arc<Self>, contract: Arc<Contract<Accepted>>) {
        self.step_exchange(exchange::Event::Local(GossipEntry::Contract(contract)));
    }

    /// Returns the balancers that this one knows, itself included.
    pub fn peers(&self) -> Vec<(NodeId, Domain)> {
        lock(&self.exchange).peers()
    }

    fn put_in_force(&self, contract: &Contract<Accepted>, replaced: Option<&Contract<Accepted>>) {
        self.services.apply_contract(contract, replaced);
        let (customer, revision) = (contract.customer(), contract.revision());
        info!(self.log, "contract in force"; "customer" => %customer, "revision" => %revision);
        for terms in contract.terms() {
            self.update_members(customer, &terms.service);
        }
    }

    fn update_members(&self, customer: &Customer, service: &Service) {
        let Some(contract) = self.contract(customer) else { return };
        let candidates = lock(&self.membership).candidates(customer, service);
        let departed = lock(&self.membership).departed(customer, service);
        let serving = candidates.iter().filter(|c| c.weight.get() > 0).count();
        info!(self.log, "members_changed"; "serving" => serving,
            "members" => candidates.len(), "service" => %service, "customer" => %customer);
        self.services.update_members(&contract, service, &candidates, &departed, self.clock.now());
    }

    /// Passes an event to the exchange and carries out its actions. Returns the reply if the event
    /// is a request.
    fn step_exchange(self: &Arc<Self>, event: exchange::Event) -> Option<GossipMessage> {
        let actions = lock(&self.exchange).step(event, self.clock.now());
        let mut reply = None;
        for action in actions {
            match action {
                exchange::Action::Send { to, message } => self.send_message(to, message),
                exchange::Action::Reply(message) => reply = Some(message),
                exchange::Action::Learned(item) => self.apply_item(item),
                exchange::Action::Peers(peers) => {
                    self.step_membership(membership::Event::Peers(peers.clone()));
                    self.step_store_reader(store_reader::Event::Peers(peers));
                }
                exchange::Action::Joined => {
                    info!(self.log, "joined the mesh");
                    self.step_store_reader(store_reader::Event::Joined);
                }
            }
        }
        reply
    }

    fn apply_item(&self, item: GossipEntry) {
        match item {
            GossipEntry::Contract(contract) => self.step_registry(contract),
            GossipEntry::Member(record) => {
                self.update_membership(membership::Event::Learned(record));
            }
            GossipEntry::Outage(outage) => {
                info!(self.log, "failure domain changed";
                    "lost" => outage.is_lost(), "domain" => %outage.domain);
                self.update_membership(membership::Event::Outage(outage));
            }
            GossipEntry::Peer(_) => {}
        }
    }

    fn step_registry(&self, contract: Arc<Contract<Accepted>>) {
        let mut registry = lock(&self.registry);
        let event = registry::Event::Learned(contract);
        for registry::Action::Apply { contract, replaced } in registry.step(event, self.clock.now())
        {
            // The receiver is dropped only when the process ends.
            let _ = self.table_updates.send(TableUpdate::Apply { contract, replaced });
        }
    }

    fn step_membership(self: &Arc<Self>, event: membership::Event) {
        for action in self.update_membership(event) {
            match action {
                membership::Action::Publish(item) => {
                    self.step_exchange(exchange::Event::Local(item));
                }
                membership::Action::Report { to, reports } => self.send_reports(to, reports),
                membership::Action::Rebuild { .. } => {}
            }
        }
    }

    /// Passes an event to the membership, queues its updates of the service table and returns the
    /// other actions.
    fn update_membership(&self, event: membership::Event) -> Vec<membership::Action> {
        let mut membership = lock(&self.membership);
        let mut remaining = Vec::new();
        for action in membership.step(event, self.clock.now()) {
            match action {
                membership::Action::Rebuild { customer, service, .. } => {
                    // The receiver is dropped only when the process ends.
                    let _ = self.table_updates.send(TableUpdate::Rebuild { customer, service });
                }
                other => remaining.push(other),
            }
        }
        remaining
    }

    fn step_store_reader(self: &Arc<Self>, event: store_reader::Event) {
        let actions = lock(&self.store_reader).step(event, self.clock.now());
        for action in actions {
            match action {
                store_reader::Action::Learned(contract) => self.add_contract(contract),
                other => self.read_queue.push(other),
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
