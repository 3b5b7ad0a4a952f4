//! The life cycle of an agent process.

use {
    crate::{
        admin::Admin,
        announce::Herald,
        chain::Limits,
        desk::Desk,
        endpoint::{self, Acceptor, Certificate},
        errors::{Error, Result},
        handoff::Host,
        operate::Operator,
        owner::Owners,
        packet::Scope,
        records::{PART_BOUNDS, Records},
        service::Service,
        siblings::Siblings,
        socket::{Seals, Socket},
        upstream::Client,
    },
    axum::Router,
    rand::{SeedableRng, rngs::StdRng},
    slog::{Logger, error, info},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        task::JoinSet,
    },
    yuccacroft_core::{
        admission::{self, Gate},
        contract::{Accepted, Contract, Terms},
        flow::Hop,
        ids::{Customer, Domain, Instance, Process as Name, Revision, Service as ServiceName},
        key::{Digest, Secret},
        member::{Entry, Phase},
        ownership::Book,
        placement::ramp::Ramp,
        tag::Owner,
        time::{Moment, Span},
        units::Weight,
    },
    yuccacroft_rpc::{
        admin::Access,
        clock::{self, Clock},
    },
    yuccacroft_wire::{admin::InForce, capsule::Seal, handoff::PURPOSE, message::Sibling},
};

const ANNOUNCE_EVERY: Duration = Duration::from_secs(2);
const FIRST_ANNOUNCE_EVERY: Duration = Duration::from_millis(200);
const FIRST_ANNOUNCE_TRIES: u32 = 150;
/// Pause before a newer contract is asked for, so that a stream of packets causes few calls.
const PULL_PAUSE: Duration = Duration::from_millis(100);
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
    admin: Option<Access>,
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
    acceptor: Arc<Acceptor>,
    book: Arc<Book>,
    herald: Arc<Herald>,
    entry: watch::Sender<Entry>,
    leave: watch::Sender<bool>,
    contract: watch::Receiver<InForce>,
    operator: Arc<Operator>,
    host: Arc<Host>,
    ordered: watch::Receiver<bool>,
    clock: Clock,
    drain: Span,
    log: Logger,
}

impl Process<Starting> {
    /// Prepares a process.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { state: Starting { settings, log, admin: None } }
    }

    /// Opens the administration interface too.
    pub fn with_admin(mut self, admin: Option<Access>) -> Self {
        self.state.admin = admin;
        self
    }

    /// Learns the contract from a balancer, opens the sockets and begins to serve.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log, admin } = self.state;
        let own = Hop { instance: settings.capsules, incarnation: clock::incarnation() };
        let udp = UdpSocket::bind(own.instance.address())
            .await
            .map_err(|cause| Error::Socket { name: "capsules", cause })?;
        let control = listen("control", own.instance.address().into()).await?;
        let admin = match admin {
            Some(access) => Some((listen("admin", access.listen).await?, access)),
            None => None,
        };
        let (name, domain) = (settings.name.clone(), settings.domain.clone());
        let balancers = settings.balancers.clone();
        let herald = Arc::new(Herald::new(balancers, settings.key.clone(), log.clone()));
        let entry = first_entry(&settings, own);
        let contract = first_contract(&herald, &entry).await?;
        let terms = contract.service(&settings.service).ok_or(Error::Contract)?.clone();
        let mut parts = assemble(settings, log, own, udp, herald, entry, &contract, &terms)?;
        let peers = parts.operator.router().merge(parts.host.router());
        spawn_server(&mut parts.tasks, control, peers);
        if let Some((listener, access)) = admin {
            let (clock, operator) = (parts.clock, parts.operator.clone());
            let admin = Admin::new(name, domain, clock, operator, parts.contract.clone());
            spawn_server(&mut parts.tasks, listener, admin.router(&access));
        }
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

    /// Serves until `stop` or an operator's order to drain. After such an order the process keeps
    /// its flows and stays up until `stop`.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        let ordered = tokio::select! {
            () = &mut stop => false,
            () = self.drain_ordered() => true,
        };
        let draining = self.drain().await;
        if ordered {
            stop.await;
        }
        draining.stop().await;
    }

    async fn drain_ordered(&mut self) {
        if self.state.parts.ordered.wait_for(|ordered| *ordered).await.is_err() {
            std::future::pending::<()>().await;
        }
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
        let revision = parts.contract.borrow().revision;
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
            while parts.acceptor.active() > 0 || parts.book.open().get() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        let whole = tokio::time::timeout(parts.drain.into(), idle).await.is_ok();
        parts.entry.send_modify(|entry| {
            entry.phase = Phase::Left;
            entry.version += 1;
        });
        let entry = parts.entry.borrow().clone();
        let revision = parts.contract.borrow().revision;
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
    let ramp = Ramp::new(settings.weight, terms.warmup, clock.now());
    entry.weight = ramp.weight(clock.now());
    let book = Arc::new(Book::new(own, terms.connections, entry.weight));
    let seals =
        Seals { capsule: Seal::new(&derive("capsule")), claim: Seal::new(&derive("claim")) };
    let scope = Arc::new(Scope::new(digest, own));
    scope.apply(contract, terms);
    let socket = Arc::new(Socket::new(udp, seals, scope.clone(), book.clone(), clock));
    let owner = Owner { instance: own.instance, incarnation: own.incarnation };
    let endpoint = quinn::Endpoint::new_with_abstract_socket(
        endpoint::endpoint_config(owner, &derive("tag"), &derive("reset")),
        Some(endpoint::server_config(settings.certificate)?),
        socket.clone(),
        Arc::new(quinn::TokioRuntime),
    )
    .map_err(|cause| Error::Socket { name: "quic", cause })?;
    let (limits, limits_in_force) = watch::channel(Limits::from(terms));
    let Terms { slots, wait, warmup, .. } = *terms;
    let gate = Gate::new(admission::Settings { slots, wait, warmup }, clock.now());
    let desk = Arc::new(Desk::new(gate, clock));
    let records = Arc::new(Records::new(PART_BOUNDS, clock));
    let owners = Arc::new(Owners::new(&derive("owner"), own));
    let handoff = derive(PURPOSE);
    let random = StdRng::from_rng(&mut rand::rng());
    let siblings = Siblings::new(own, handoff.clone(), random, desk.clone(), log.clone());
    let siblings = Arc::new(siblings);
    let service = Arc::new(Service::new(
        desk.clone(),
        records.clone(),
        owners,
        siblings.clone(),
        Client::new(settings.upstream),
        clock,
        limits_in_force,
        log.clone(),
    ));
    let acceptor = Arc::new(Acceptor::new(service.clone(), book.clone(), log.clone()));
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
    let claims = socket.clone();
    tasks.spawn(async move { claims.run_claims().await });
    let host = Host::new(own.incarnation, handoff, service, siblings.clone(), leaving.clone());
    let timed = desk.clone();
    tasks.spawn(async move { timed.run().await });
    tasks.spawn(acceptor.clone().accept(endpoint.clone(), leaving));
    entry.phase = Phase::Serving;
    entry.version += 1;
    let (entry, _) = watch::channel(entry);
    let (known, in_force) = watch::channel(InForce::from(contract));
    let (order, ordered) = watch::channel(false);
    let operator = Operator::new(
        settings.key,
        book.clone(),
        desk.clone(),
        acceptor.clone(),
        entry.subscribe(),
        order,
    );
    let (name, book_followed) = (name.clone(), book.clone());
    let follower = Follower {
        herald: herald.clone(),
        name,
        known,
        limits,
        socket,
        scope,
        ramp,
        book: book_followed,
        entry: entry.clone(),
        desk,
        records,
        siblings,
    };
    tasks.spawn(async move { follower.run(clock).await });
    let drain = terms.drain;
    Ok(Parts {
        tasks,
        endpoint,
        acceptor,
        book,
        herald,
        entry,
        leave,
        contract: in_force,
        operator: Arc::new(operator),
        host: Arc::new(host),
        ordered,
        clock,
        drain,
        log,
    })
}

async fn listen(name: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|cause| Error::Socket { name, cause })
}

fn spawn_server(tasks: &mut JoinSet<()>, listener: TcpListener, router: Router) {
    tasks.spawn(async move {
        // The server ends with the process; its only error is a broken listener.
        let _ = axum::serve(listener, router).await;
    });
}

/// Announces the agent and puts newer contracts in force.
struct Follower {
    herald: Arc<Herald>,
    name: ServiceName,
    known: watch::Sender<InForce>,
    limits: watch::Sender<Limits>,
    socket: Arc<Socket>,
    scope: Arc<Scope>,
    ramp: Ramp,
    book: Arc<Book>,
    entry: watch::Sender<Entry>,
    desk: Arc<Desk>,
    records: Arc<Records>,
    siblings: Arc<Siblings>,
}

impl Follower {
    async fn run(&self, clock: Clock) {
        let mut timer = tokio::time::interval(ANNOUNCE_EVERY);
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = self.socket.newer_contract() => tokio::time::sleep(PULL_PAUSE).await,
            }
            self.grow(clock.now());
            let entry = self.entry.borrow().clone();
            let revision = self.known.borrow().revision;
            let news = self.herald.announce(&entry, revision).await;
            if let Some(contract) = news.contract {
                self.apply(&contract);
            }
            if news.reached > 0 {
                let siblings = news.siblings.iter();
                let hop = |s: &Sibling| Hop { instance: s.instance, incarnation: s.incarnation };
                let hops: Vec<_> = siblings.map(hop).collect();
                self.siblings.replace(&hops);
                self.socket.set_siblings(&hops);
            }
            self.records.expire(clock.now());
            self.socket.expire();
        }
    }

    /// Lets the weight follow the warm-up.
    fn grow(&self, now: Moment) {
        let weight = self.ramp.weight(now);
        self.book.set_weight(weight);
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
            let _ = self.limits.send(Limits::from(terms));
            self.desk.change(terms.slots, terms.wait);
            self.scope.apply(contract, terms);
        } else {
            self.scope.withdraw(contract);
        }
        let _ = self.known.send(InForce::from(contract));
    }
}
