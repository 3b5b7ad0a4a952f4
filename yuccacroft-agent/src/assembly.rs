//! Creates the components of an agent process and starts their tasks.

use {
    crate::{
        admin::Admin,
        announce::Announcer,
        capacity::CapacityClient,
        chain::Limits,
        endpoint::{self, RequestAcceptor},
        errors::{Error, Result},
        handoff::HandoffServer,
        limiter::Limiter,
        operate::OperatorApi,
        owner::OwnerCodec,
        packet::ServiceScope,
        records::{Records, SHARD_BOUNDS},
        service::{Service, Setup},
        settings::Settings,
        siblings::SiblingClient,
        socket::{CapsuleSocket, MacKeys},
        updater::StateUpdater,
        upstream::UpstreamClient,
    },
    rand::{SeedableRng, rngs::StdRng},
    slog::{Logger, error},
    std::{
        fmt::{Debug, Formatter},
        net::SocketAddrV4,
        sync::Arc,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
    },
    yuccacroft_core::{
        admission::{self, AdmissionController},
        contract::{Accepted, Contract, Terms},
        flow::AgentId,
        key::{Secret, ServiceDigest},
        member::{MemberEntry, MemberPhase},
        ownership::OwnershipTable,
        placement::ramp::Ramp,
        tag::Owner,
        units::Slots,
    },
    yuccacroft_rpc::{admin::Access, clock::Clock, errors::SocketError, server, tasks::Tasks},
    yuccacroft_wire::{admin::ActiveContract, capsule::MacKey, handoff::KEY_PURPOSE},
};

/// Number of tasks that receive capsules.
const SOCKET_RECEIVERS: usize = 2;

/// The bound sockets of an agent.
#[derive(Debug)]
pub struct Sockets {
    capsules: UdpSocket,
    control: TcpListener,
    admin: Option<(TcpListener, Access)>,
}

/// Inputs of [`assemble`].
#[derive(Debug)]
pub struct AssemblyInputs {
    /// The checked settings.
    pub settings: Settings,
    /// The logger of the process.
    pub log: Logger,
    /// The clock of the process.
    pub clock: Clock,
    /// The bound sockets.
    pub sockets: Sockets,
    /// Announces the agent.
    pub announcer: Arc<Announcer>,
    /// Claims the agent's share of the customer's capacity.
    pub capacity: Arc<CapacityClient>,
    /// The member entry, whose phase shows that no flow is accepted yet.
    pub entry: MemberEntry,
    /// The contract from a balancer.
    pub contract: Contract<Accepted>,
}

/// The running components that the life cycle controls.
pub struct Components {
    /// All tasks of the process.
    pub tasks: Tasks,
    /// The QUIC endpoint.
    pub endpoint: quinn::Endpoint,
    /// Accepts requests and counts those in progress.
    pub acceptor: Arc<RequestAcceptor>,
    /// The flow table.
    pub table: Arc<OwnershipTable>,
    /// The admission limiter.
    pub limiter: Arc<Limiter>,
    /// Announces the agent.
    pub announcer: Arc<Announcer>,
    /// Claims the agent's share of the customer's capacity.
    pub capacity: Arc<CapacityClient>,
    /// The member entry.
    pub entry: watch::Sender<MemberEntry>,
    /// When true, callers are sent GOAWAY frames.
    pub goaway: watch::Sender<bool>,
    /// Summary of the contract in force.
    pub contract: watch::Receiver<ActiveContract>,
    /// The terms in force.
    pub terms: watch::Receiver<Terms>,
    /// True once an operator has ordered the agent to drain.
    pub drain_ordered: watch::Receiver<bool>,
    /// The logger of the process.
    pub log: Logger,
}

/// The components that process requests.
struct RequestPath {
    limiter: Arc<Limiter>,
    records: Arc<Records>,
    siblings: Arc<SiblingClient>,
    service: Arc<Service>,
    acceptor: Arc<RequestAcceptor>,
    limits: watch::Sender<Limits>,
}

impl Sockets {
    /// Binds all sockets. The control server listens on TCP at the address of the capsules.
    pub async fn open(own: SocketAddrV4, admin: Option<&Access>) -> Result<Self> {
        let capsules = UdpSocket::bind(own).await.map_err(SocketError::with_name("capsules"))?;
        let control = server::bind("control", own.into()).await?;
        let admin = match admin {
            Some(access) => Some((server::bind("admin", access.listen).await?, access.clone())),
            None => None,
        };
        Ok(Self { capsules, control, admin })
    }
}

impl Debug for Components {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Components(..)")
    }
}

/// Creates all components and starts their tasks.
pub fn assemble(inputs: AssemblyInputs) -> Result<Components> {
    let AssemblyInputs { settings, log, clock, sockets, announcer, capacity, mut entry, contract } =
        inputs;
    let terms = contract.service(&settings.service).ok_or(Error::Contract)?;
    let own = entry.agent_id();
    let derive_key = |purpose: &str| derive_key(&settings, purpose);
    let ramp = Ramp::new(settings.weight, terms.warmup, clock.now());
    entry.weight = ramp.weight(clock.now());
    let table = Arc::new(OwnershipTable::new(own, terms.connections, entry.weight));
    let scope =
        Arc::new(ServiceScope::new(ServiceDigest::new(&settings.customer, &settings.service), own));
    scope.apply_contract(&contract, terms);
    let mac_keys = MacKeys {
        capsule: MacKey::new(&derive_key("capsule")),
        claim: MacKey::new(&derive_key("claim")),
    };
    let socket =
        CapsuleSocket::new(sockets.capsules, mac_keys, scope.clone(), table.clone(), clock);
    let socket = Arc::new(socket);
    let slots = terms.slots.min(capacity.usable_slots());
    let request_path = build_request_path(&settings, own, terms, slots, &table, clock, &log);
    let (tag, reset, handoff) = (derive_key("tag"), derive_key("reset"), derive_key(KEY_PURPOSE));
    let endpoint = build_endpoint(own, (&tag, &reset), socket.clone(), settings.certificate)?;

    entry.phase = MemberPhase::Serving;
    entry.version += 1;
    let (entry, entry_receiver) = watch::channel(entry);
    let (goaway, goaway_requests) = watch::channel(false);
    let (drain_order, drain_ordered) = watch::channel(false);
    let (in_force, in_force_receiver) = watch::channel(ActiveContract::from(&contract));
    let (terms, terms_receiver) = watch::channel(terms.clone());
    let operator = Arc::new(OperatorApi::new(
        settings.key.clone(),
        table.clone(),
        request_path.limiter.clone(),
        request_path.acceptor.clone(),
        entry_receiver,
        drain_order,
    ));
    let server = Arc::new(HandoffServer::new(
        own.incarnation,
        handoff,
        request_path.service,
        request_path.siblings.clone(),
        goaway_requests.clone(),
    ));

    let mut tasks = Tasks::new(log.clone());
    spawn_socket_tasks(&mut tasks, &socket, &log);
    let router = server.router().merge(operator.router());
    tasks.spawn("control", server::serve(sockets.control, router));
    if let Some((listener, access)) = sockets.admin {
        let (name, domain) = (settings.name, settings.domain);
        let admin = Admin::new(name, domain, clock, operator, in_force_receiver.clone());
        tasks.spawn("admin", server::serve(listener, admin.router(&access)));
    }
    tasks.supervise("limiter", &request_path.limiter, |limiter| async move { limiter.run().await });
    let accept = request_path.acceptor.clone().accept(endpoint.clone(), goaway_requests);
    tasks.spawn("connections", accept);
    let updater = StateUpdater {
        announcer: announcer.clone(),
        service: settings.service,
        clock,
        in_force,
        terms,
        limits: request_path.limits,
        socket,
        scope,
        ramp,
        table: table.clone(),
        entry: entry.clone(),
        limiter: request_path.limiter.clone(),
        records: request_path.records,
        siblings: request_path.siblings,
        capacity: capacity.clone(),
    };
    updater.spawn(&mut tasks);
    Ok(Components {
        tasks,
        endpoint,
        acceptor: request_path.acceptor,
        table,
        limiter: request_path.limiter,
        announcer,
        capacity,
        entry,
        goaway,
        contract: in_force_receiver,
        terms: terms_receiver,
        drain_ordered,
        log,
    })
}

fn build_request_path(
    settings: &Settings,
    own: AgentId,
    terms: &Terms,
    slots: Slots,
    table: &Arc<OwnershipTable>,
    clock: Clock,
    log: &Logger,
) -> RequestPath {
    let derive_key = |purpose: &str| derive_key(settings, purpose);
    let (limits, limits_receiver) = watch::channel(Limits::from(terms));
    let admission_settings =
        admission::AdmissionSettings { slots, wait: terms.wait, warmup: terms.warmup };
    let limiter =
        Arc::new(Limiter::new(AdmissionController::new(admission_settings, clock.now()), clock));
    let records = Arc::new(Records::new(SHARD_BOUNDS, clock));
    let owner_codec = Arc::new(OwnerCodec::new(&derive_key("owner"), own));
    let random = StdRng::from_rng(&mut rand::rng());
    let siblings =
        SiblingClient::new(own, derive_key(KEY_PURPOSE), random, limiter.clone(), log.clone());
    let siblings = Arc::new(siblings);
    let service = Arc::new(Service::new(Setup {
        limiter: limiter.clone(),
        records: records.clone(),
        owner_codec,
        siblings: siblings.clone(),
        upstream: UpstreamClient::new(settings.upstream),
        clock,
        limits: limits_receiver,
        log: log.clone(),
    }));
    let acceptor = Arc::new(RequestAcceptor::new(service.clone(), table.clone(), log.clone()));
    RequestPath { limiter, records, siblings, service, acceptor, limits }
}

/// Derives the key of the agent's service for one purpose.
fn derive_key(settings: &Settings, purpose: &str) -> Secret {
    settings.key.derive(purpose, &settings.customer, &settings.service)
}

fn build_endpoint(
    own: AgentId,
    (tag, reset): (&Secret, &Secret),
    socket: Arc<CapsuleSocket>,
    certificate: endpoint::Certificate,
) -> Result<quinn::Endpoint> {
    let owner = Owner { instance: own.instance, incarnation: own.incarnation };
    let endpoint = quinn::Endpoint::new_with_abstract_socket(
        endpoint::endpoint_config(owner, tag, reset),
        Some(endpoint::server_config(certificate)?),
        socket,
        Arc::new(quinn::TokioRuntime),
    );
    Ok(endpoint.map_err(SocketError::with_name("quic"))?)
}

fn spawn_socket_tasks(tasks: &mut Tasks, socket: &Arc<CapsuleSocket>, log: &Logger) {
    for _ in 0..SOCKET_RECEIVERS {
        tasks.supervise("capsules", &(socket.clone(), log.clone()), |(socket, log)| async move {
            if let Err(cause) = socket.run().await {
                error!(log, "socket failed"; "error" => %cause);
            }
        });
    }
    tasks.supervise("claims", socket, |socket| async move { socket.run_claims().await });
}
