//! Puts the parts of an agent process together.

use {
    crate::{
        admin::Admin,
        announce::Announcer,
        capacity::Claimant,
        chain::Limits,
        endpoint::{self, Acceptor},
        errors::{Error, Result},
        follower::Follower,
        handoff::Host,
        limiter::Limiter,
        operate::Operator,
        owner::Owners,
        packet::Scope,
        records::{PART_BOUNDS, Records},
        service::{Service, Setup},
        settings::Settings,
        siblings::Siblings,
        socket::{Seals, Socket},
        upstream::Client,
    },
    axum::Router,
    rand::{SeedableRng, rngs::StdRng},
    slog::{Logger, error},
    std::{
        fmt::{Debug, Formatter},
        net::{SocketAddr, SocketAddrV4},
        sync::Arc,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        task::JoinSet,
    },
    yuccacroft_core::{
        admission::{self, AdmissionController},
        contract::{Accepted, Contract, Terms},
        flow::Hop,
        key::{Secret, ServiceDigest},
        member::{Entry, Phase},
        ownership::Table,
        placement::ramp::Ramp,
        tag::Owner,
        units::Slots,
    },
    yuccacroft_rpc::{admin::Access, clock::Clock},
    yuccacroft_wire::{admin::InForce, capsule::Seal, handoff::PURPOSE},
};

const RECEIVERS: usize = 2;

/// The sockets of an agent.
#[derive(Debug)]
pub struct Sockets {
    capsules: UdpSocket,
    control: TcpListener,
    admin: Option<(TcpListener, Access)>,
}

/// Everything that a process needs before its parts exist.
#[derive(Debug)]
pub struct Plan {
    /// The checked settings.
    pub settings: Settings,
    /// The logger of the process.
    pub log: Logger,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The open sockets.
    pub sockets: Sockets,
    /// Announces the agent.
    pub announcer: Arc<Announcer>,
    /// Holds the agent's part of the customer's capacity.
    pub claimant: Arc<Claimant>,
    /// The member entry, which says that no flow is taken yet.
    pub entry: Entry,
    /// The contract that a balancer told.
    pub contract: Contract<Accepted>,
}

/// The running parts that the life cycle needs.
pub struct Parts {
    /// All tasks; they end with the process.
    pub tasks: JoinSet<()>,
    /// The QUIC endpoint.
    pub endpoint: quinn::Endpoint,
    /// Counts the requests in progress.
    pub acceptor: Arc<Acceptor>,
    /// The flows.
    pub table: Arc<Table>,
    /// The admission gate.
    pub limiter: Arc<Limiter>,
    /// Announces the agent.
    pub announcer: Arc<Announcer>,
    /// Holds the agent's part of the customer's capacity.
    pub claimant: Arc<Claimant>,
    /// The member entry.
    pub entry: watch::Sender<Entry>,
    /// Asks callers to move when it becomes true.
    pub leave: watch::Sender<bool>,
    /// The contract in force, in short.
    pub contract: watch::Receiver<InForce>,
    /// The terms in force.
    pub terms: watch::Receiver<Terms>,
    /// Becomes true when an operator orders the agent to drain.
    pub ordered: watch::Receiver<bool>,
    /// The logger of the process.
    pub log: Logger,
}

/// The decisions about requests with their shells.
struct Front {
    limiter: Arc<Limiter>,
    records: Arc<Records>,
    siblings: Arc<Siblings>,
    service: Arc<Service>,
    acceptor: Arc<Acceptor>,
    limits: watch::Sender<Limits>,
}

impl Sockets {
    /// Opens all sockets. Control messages arrive at the TCP port of the capsule address.
    pub async fn open(own: SocketAddrV4, admin: Option<&Access>) -> Result<Self> {
        let capsules = UdpSocket::bind(own)
            .await
            .map_err(|cause| Error::Socket { name: "capsules", cause })?;
        let control = listen("control", own.into()).await?;
        let admin = match admin {
            Some(access) => Some((listen("admin", access.listen).await?, access.clone())),
            None => None,
        };
        Ok(Self { capsules, control, admin })
    }
}

impl Debug for Parts {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Parts(..)")
    }
}

/// Creates all parts and starts their tasks.
pub fn assemble(plan: Plan) -> Result<Parts> {
    let Plan { settings, log, clock, sockets, announcer, claimant, mut entry, contract } = plan;
    let terms = contract.service(&settings.service).ok_or(Error::Contract)?;
    let own = entry.hop();
    let derive = |purpose: &str| derive(&settings, purpose);
    let ramp = Ramp::new(settings.weight, terms.warmup, clock.now());
    entry.weight = ramp.weight(clock.now());
    let table = Arc::new(Table::new(own, terms.connections, entry.weight));
    let scope =
        Arc::new(Scope::new(ServiceDigest::new(&settings.customer, &settings.service), own));
    scope.apply(&contract, terms);
    let seals =
        Seals { capsule: Seal::new(&derive("capsule")), claim: Seal::new(&derive("claim")) };
    let socket = Socket::new(sockets.capsules, seals, scope.clone(), table.clone(), clock);
    let socket = Arc::new(socket);
    let slots = terms.slots.min(claimant.allowed());
    let front = front(&settings, own, terms, slots, &table, clock, &log);
    let (tag, reset, handoff) = (derive("tag"), derive("reset"), derive(PURPOSE));
    let endpoint = quic(own, (&tag, &reset), socket.clone(), settings.certificate)?;

    entry.phase = Phase::Serving;
    entry.version += 1;
    let (entry, entries) = watch::channel(entry);
    let (leave, leaving) = watch::channel(false);
    let (order, ordered) = watch::channel(false);
    let (known, in_force) = watch::channel(InForce::from(&contract));
    let (terms, terms_in_force) = watch::channel(terms.clone());
    let operator = Arc::new(Operator::new(
        settings.key.clone(),
        table.clone(),
        front.limiter.clone(),
        front.acceptor.clone(),
        entries,
        order,
    ));
    let host = Arc::new(Host::new(
        own.incarnation,
        handoff,
        front.service,
        front.siblings.clone(),
        leaving.clone(),
    ));

    let mut tasks = JoinSet::new();
    spawn_socket(&mut tasks, &socket, &log);
    let router = host.router().merge(operator.router());
    spawn_server(&mut tasks, sockets.control, router);
    if let Some((listener, access)) = sockets.admin {
        let (name, domain) = (settings.name, settings.domain);
        let admin = Admin::new(name, domain, clock, operator, in_force.clone());
        spawn_server(&mut tasks, listener, admin.router(&access));
    }
    let timed = front.limiter.clone();
    tasks.spawn(async move { timed.run().await });
    tasks.spawn(front.acceptor.clone().accept(endpoint.clone(), leaving));
    let follower = Follower {
        announcer: announcer.clone(),
        name: settings.service,
        clock,
        known,
        terms,
        limits: front.limits,
        socket,
        scope,
        ramp,
        table: table.clone(),
        entry: entry.clone(),
        limiter: front.limiter.clone(),
        records: front.records,
        siblings: front.siblings,
        claimant: claimant.clone(),
    };
    follower.spawn(&mut tasks);
    Ok(Parts {
        tasks,
        endpoint,
        acceptor: front.acceptor,
        table,
        limiter: front.limiter,
        announcer,
        claimant,
        entry,
        leave,
        contract: in_force,
        terms: terms_in_force,
        ordered,
        log,
    })
}

fn front(
    settings: &Settings,
    own: Hop,
    terms: &Terms,
    slots: Slots,
    table: &Arc<Table>,
    clock: Clock,
    log: &Logger,
) -> Front {
    let derive = |purpose: &str| derive(settings, purpose);
    let (limits, limits_in_force) = watch::channel(Limits::from(terms));
    let gate = admission::Settings { slots, wait: terms.wait, warmup: terms.warmup };
    let limiter = Arc::new(Limiter::new(AdmissionController::new(gate, clock.now()), clock));
    let records = Arc::new(Records::new(PART_BOUNDS, clock));
    let owners = Arc::new(Owners::new(&derive("owner"), own));
    let random = StdRng::from_rng(&mut rand::rng());
    let siblings = Siblings::new(own, derive(PURPOSE), random, limiter.clone(), log.clone());
    let siblings = Arc::new(siblings);
    let service = Arc::new(Service::new(Setup {
        limiter: limiter.clone(),
        records: records.clone(),
        owners,
        siblings: siblings.clone(),
        upstream: Client::new(settings.upstream),
        clock,
        limits: limits_in_force,
        log: log.clone(),
    }));
    let acceptor = Arc::new(Acceptor::new(service.clone(), table.clone(), log.clone()));
    Front { limiter, records, siblings, service, acceptor, limits }
}

/// Derives the key of one purpose for the agent's service.
fn derive(settings: &Settings, purpose: &str) -> Secret {
    settings.key.derive(purpose, &settings.customer, &settings.service)
}

fn quic(
    own: Hop,
    (tag, reset): (&Secret, &Secret),
    socket: Arc<Socket>,
    certificate: endpoint::Certificate,
) -> Result<quinn::Endpoint> {
    let owner = Owner { instance: own.instance, incarnation: own.incarnation };
    quinn::Endpoint::new_with_abstract_socket(
        endpoint::endpoint_config(owner, tag, reset),
        Some(endpoint::server_config(certificate)?),
        socket,
        Arc::new(quinn::TokioRuntime),
    )
    .map_err(|cause| Error::Socket { name: "quic", cause })
}

fn spawn_socket(tasks: &mut JoinSet<()>, socket: &Arc<Socket>, log: &Logger) {
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
