//! The life cycle of an agent process.

use {
    crate::{
        announce::Herald,
        chain::Limits,
        desk::Desk,
        endpoint::{self, Certificate, Service},
        errors::{Error, Result},
        packet,
        socket::{Identity, Socket},
        upstream::Client,
    },
    slog::{Logger, error, info},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, sync::watch, task::JoinSet},
    yuccacroft_core::{
        admission::Gate,
        contract::{Accepted, Contract, Terms},
        flow::Hop,
        ids::{Customer, Domain, Instance, Process as Name, Revision, Service as ServiceName},
        key::{Digest, Secret},
        member::{Entry, Phase},
        ownership::Book,
        tag::Owner,
        time::Span,
        units::Weight,
    },
    yuccacroft_rpc::clock::{self, Clock},
    yuccacroft_wire::capsule::Seal,
};

const ANNOUNCE_EVERY: Duration = Duration::from_secs(2);
const FIRST_ANNOUNCE_EVERY: Duration = Duration::from_millis(200);
const FIRST_ANNOUNCE_TRIES: u32 = 150;
const DRAIN_POLL: Duration = Duration::from_millis(20);
const RECEIVERS: usize = 2;

/// The checked settings of an agent.
#[derive(Debug)]
pub struct Settings {
    /// The name in logs and state dumps.
    pub name: Name,
    /// The failure domain.
    pub domain: Domain,
    /// The customer.
    pub customer: Customer,
    /// The service that the upstream runs.
    pub service: ServiceName,
    /// The customer's key.
    pub key: Secret,
    /// Where capsules arrive; also the identity of the agent.
    pub capsules: Instance,
    /// The control addresses of some balancers.
    pub balancers: Box<[SocketAddr]>,
    /// The address of the upstream.
    pub upstream: SocketAddr,
    /// The share of new flows relative to the other upstreams of the service.
    pub weight: Weight,
    /// The certificate of the service.
    pub certificate: Certificate,
}

/// The process has its settings and nothing else.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
    log: Logger,
}

/// The process takes flows and requests.
pub struct Serving {
    parts: Parts,
}

/// The process takes no new flows and finishes what it has.
pub struct Draining {
    parts: Parts,
}

/// An agent process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    state: S,
}

struct Parts {
    tasks: JoinSet<()>,
    endpoint: quinn::Endpoint,
    service: Arc<Service>,
    book: Arc<Book>,
    herald: Arc<Herald>,
    entry: watch::Sender<Entry>,
    leave: watch::Sender<bool>,
    revision: watch::Receiver<Revision>,
    drain: Span,
    log: Logger,
}

impl Process<Starting> {
    /// Prepares a process.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { state: Starting { settings, log } }
    }

    /// Learns the contract from a balancer, opens the sockets and begins to serve.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log } = self.state;
        let own = Hop { instance: settings.capsules, incarnation: clock::incarnation() };
        let udp = UdpSocket::bind(own.instance.address())
            .await
            .map_err(|cause| Error::Socket { name: "capsules", cause })?;
        let balancers = settings.balancers.clone();
        let herald = Arc::new(Herald::new(balancers, settings.key.clone(), log.clone()));
        let entry = first_entry(&settings, own);
        let contract = first_contract(&herald, &entry).await?;
        let terms = contract.service(&settings.service).ok_or(Error::Contract)?.clone();
        let parts = assemble(settings, log, own, udp, herald, entry, &contract, &terms)?;
        info!(parts.log, "serving";
            "instance" => %own.instance, "incarnation" => %own.incarnation);
        Ok(Process { state: Serving { parts } })
    }
}

impl Process<Serving> {
    /// Returns the number of open connections.
    pub fn connections(&self) -> u32 {
        self.state.parts.book.open().get()
    }

    /// Stops taking new flows, tells balancers, and asks callers to move.
    pub async fn drain(self) -> Process<Draining> {
        let parts = self.state.parts;
        parts.book.drain();
        parts.entry.send_modify(|entry| {
            entry.phase = Phase::Draining;
            entry.version += 1;
        });
        let entry = parts.entry.borrow().clone();
        let revision = *parts.revision.borrow();
        parts.herald.announce(&entry, revision).await;
        // A receiver exists as long as a connection does.
        let _ = parts.leave.send(true);
        info!(parts.log, "draining");
        Process { state: Draining { parts } }
    }
}

impl Process<Draining> {
    /// Waits until all requests have ended and all connections have moved, or the drain time of
    /// the contract is over; then the process ends.
    pub async fn stop(self) {
        let mut parts = self.state.parts;
        let idle = async {
            while parts.service.active() > 0 || parts.book.open().get() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        let whole = tokio::time::timeout(parts.drain.into(), idle).await.is_ok();
        parts.entry.send_modify(|entry| {
            entry.phase = Phase::Left;
            entry.version += 1;
        });
        let entry = parts.entry.borrow().clone();
        let revision = *parts.revision.borrow();
        parts.herald.announce(&entry, revision).await;
        parts.endpoint.close(quinn::VarInt::from_u32(0), b"stop");
        parts.endpoint.wait_idle().await;
        parts.tasks.shutdown().await;
        info!(parts.log, "stopped"; "whole" => whole);
    }
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Parts(..)")
    }
}

fn first_entry(settings: &Settings, own: Hop) -> Entry {
    Entry {
        customer: settings.customer.clone(),
        service: settings.service.clone(),
        instance: own.instance,
        incarnation: own.incarnation,
        version: 0,
        domain: settings.domain.clone(),
        weight: settings.weight,
        phase: Phase::Draining,
    }
}

/// Asks for the contract while the entry still says that no flow is taken.
async fn first_contract(herald: &Herald, entry: &Entry) -> Result<Contract<Accepted>> {
    for _ in 0..FIRST_ANNOUNCE_TRIES {
        let news = herald.announce(entry, Revision::default()).await;
        if let Some(contract) = news.contract {
            return Ok(contract);
        }
        tokio::time::sleep(FIRST_ANNOUNCE_EVERY).await;
    }
    Err(Error::Contract)
}

#[expect(clippy::too_many_arguments)]
fn assemble(
    settings: Settings,
    log: Logger,
    own: Hop,
    udp: UdpSocket,
    herald: Arc<Herald>,
    mut entry: Entry,
    contract: &Contract<Accepted>,
    terms: &Terms,
) -> Result<Parts> {
    let clock = Clock::new();
    let (customer, name) = (&settings.customer, &settings.service);
    let derive = |purpose| settings.key.derive(purpose, customer, name);
    let digest = Digest::new(customer, name);
    let book = Arc::new(Book::new(own, terms.connections));
    let identity = Identity { own, digest, seal: Seal::new(&derive("capsule")) };
    let chain = packet::chain(digest, book.clone());
    let socket = Arc::new(Socket::new(udp, identity, chain, clock));
    socket.set_revision(contract.revision());
    let owner = Owner { instance: own.instance, incarnation: own.incarnation };
    let endpoint = quinn::Endpoint::new_with_abstract_socket(
        endpoint::endpoint_config(owner, &derive("tag"), &derive("reset")),
        Some(endpoint::server_config(settings.certificate)?),
        socket.clone(),
        Arc::new(quinn::TokioRuntime),
    )
    .map_err(|cause| Error::Socket { name: "quic", cause })?;
    let (limits, limits_in_force) = watch::channel((Limits::from(terms), terms.wait));
    let desk = Arc::new(Desk::new(Gate::new(terms.slots), clock));
    let upstream = Client::new(settings.upstream);
    let service = Service::new(desk, upstream, book.clone(), clock, limits_in_force, log.clone());
    let service = Arc::new(service);
    let (leave, leaving) = watch::channel(false);
    let mut tasks = JoinSet::new();
    for _ in 0..RECEIVERS {
        let (socket, log) = (socket.clone(), log.clone());
        tasks.spawn(async move {
            if let Err(cause) = socket.run().await {
                error!(log, "socket_failed"; "error" => %cause);
            }
        });
    }
    tasks.spawn(service.clone().accept(endpoint.clone(), leaving));
    entry.phase = Phase::Serving;
    entry.version += 1;
    let (entry, _) = watch::channel(entry);
    let (known, revision) = watch::channel(contract.revision());
    let follower = Follower { herald: herald.clone(), name: name.clone(), known, limits, socket };
    let entries = entry.clone();
    let follow_book = book.clone();
    tasks.spawn(async move { follower.run(entries, &follow_book, clock).await });
    let drain = terms.drain;
    Ok(Parts { tasks, endpoint, service, book, herald, entry, leave, revision, drain, log })
}

/// Announces the agent and puts newer contracts in force.
struct Follower {
    herald: Arc<Herald>,
    name: ServiceName,
    known: watch::Sender<Revision>,
    limits: watch::Sender<(Limits, Span)>,
    socket: Arc<Socket>,
}

impl Follower {
    async fn run(&self, entries: watch::Sender<Entry>, book: &Book, clock: Clock) {
        let mut timer = tokio::time::interval(ANNOUNCE_EVERY);
        loop {
            timer.tick().await;
            let entry = entries.borrow().clone();
            let revision = *self.known.borrow();
            let news = self.herald.announce(&entry, revision).await;
            if let Some(contract) = news.contract {
                self.apply(&contract);
            }
            if let Some(version) = news.refute {
                self.refute(&entries, version).await;
            }
            book.expire(clock.now());
            self.socket.expire();
        }
    }

    /// Answers a suspicion at once with a newer version of the entry.
    async fn refute(&self, entries: &watch::Sender<Entry>, version: u32) {
        entries.send_modify(|entry| entry.version = entry.version.max(version) + 1);
        let entry = entries.borrow().clone();
        let revision = *self.known.borrow();
        self.herald.announce(&entry, revision).await;
    }

    fn apply(&self, contract: &Contract<Accepted>) {
        if contract.revision() <= *self.known.borrow() {
            return;
        }
        if let Some(terms) = contract.service(&self.name) {
            let _ = self.limits.send((Limits::from(terms), terms.wait));
        }
        self.socket.set_revision(contract.revision());
        let _ = self.known.send(contract.revision());
    }
}
