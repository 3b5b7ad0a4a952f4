//! The system of the demo: balancers and agents with a fake store, fabric and upstreams.

use {
    super::{DemoResult, count_serving},
    crate::client::Client,
    rustls_pki_types::CertificateDer,
    slog::Logger,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, task::JoinHandle},
    yuccacroft_agent::{endpoint, process as agent, settings::Settings},
    yuccacroft_balancer::{
        controllers::{CONTRACT_KEY_PREFIX, Mesh},
        process as balancer,
    },
    yuccacroft_core::{
        ids::{Instance, Revision},
        key::Secret,
        units::Weight,
    },
    yuccacroft_fakes::{
        certificate::Certificate, fabric::Fabric, store::Store, upstream::Upstream,
    },
    yuccacroft_rpc::admin::Access,
    yuccacroft_store::{etcd::EtcdClient, store::Store as _},
};

/// The only customer of the demo.
pub const CUSTOMER: &str = "kampvuur";
/// Bytes of one chunk of a pack, as the fake upstream sends them.
pub const PACK_CHUNK_BYTES: usize = 16 << 10;

const BALANCERS: usize = 3;
const BOOKING_UPSTREAMS: usize = 3;
const PACK_UPSTREAMS: usize = 2;
/// Time that an upstream works on a reservation.
const WORK_TIME: Duration = Duration::from_millis(20);
const CUSTOMER_KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [9; 32];
const TOKEN: &str = "token-of-the-demo";
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The services of the customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Reservations and seat boards.
    Booking,
    /// Downloads of camp packs.
    Pack,
}

/// All parts of the system.
pub struct System {
    endpoints: [ServiceEndpoint; 2],
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    board_line: AtomicU64,
    fabric: Fabric,
    log: Logger,
    _store: Store,
}

struct ServiceEndpoint {
    address: SocketAddr,
    certificate: Certificate,
}

struct Balancer {
    settings: balancer::Settings,
    access: Access,
    process: balancer::Process<balancer::Serving>,
}

struct Agent {
    service: Service,
    instance: Instance,
    upstream: Upstream,
    stop: oneshot::Sender<()>,
    running: JoinHandle<yuccacroft_agent::errors::Result<()>>,
}

impl Service {
    /// Returns the host name in the certificate of the service.
    pub fn host_name(self) -> &'static str {
        match self {
            Self::Booking => "booking.kampvuur.example",
            Self::Pack => "pack.kampvuur.example",
        }
    }

    fn contract_name(self) -> &'static str {
        match self {
            Self::Booking => "booking",
            Self::Pack => "pack",
        }
    }
}

impl System {
    /// Starts all parts and waits until every balancer knows all upstreams.
    pub async fn start(log: &Logger) -> DemoResult<Self> {
        let endpoints =
            [ServiceEndpoint::new(Service::Booking)?, ServiceEndpoint::new(Service::Pack)?];
        let store = Store::start("127.0.0.1:0".parse()?).await?;
        let store_client = EtcdClient::new(store.address(), Duration::from_secs(1));
        let value = contract_text(&endpoints);
        store_client
            .put(&format!("{CONTRACT_KEY_PREFIX}{CUSTOMER}"), &value, Revision::default())
            .await?;
        let mut balancers = Vec::new();
        let peers = (0..BALANCERS).map(|_| free_tcp()).collect::<std::io::Result<Vec<_>>>()?;
        for index in 0..BALANCERS {
            balancers.push(Balancer::start(index, &peers, store.address(), log).await?);
        }
        let packets = balancers.iter().map(|balancer| balancer.settings.packets).collect();
        let addresses = endpoints.each_ref().map(|endpoint| endpoint.address);
        let fabric = Fabric::start(&addresses, packets, 1).await?;
        let control_addresses: Vec<_> = balancers.iter().map(|b| b.settings.control).collect();
        let mut agents = Vec::new();
        for index in 0..BOOKING_UPSTREAMS + PACK_UPSTREAMS {
            let service = if index < BOOKING_UPSTREAMS { Service::Booking } else { Service::Pack };
            let certificate = &endpoints[service as usize].certificate;
            agents.push(Agent::start(index, service, &control_addresses, certificate, log).await?);
        }
        let board_line = AtomicU64::new(0);
        let log = log.clone();
        let system = Self { endpoints, balancers, agents, board_line, fabric, log, _store: store };
        for balancer in 0..system.balancer_count() {
            system.wait_until_ready(balancer, system.agents.len()).await?;
        }
        Ok(system)
    }

    /// Returns the address of a service and the certificate that callers trust.
    pub fn endpoint(&self, service: Service) -> (SocketAddr, CertificateDer<'static>) {
        let endpoint = &self.endpoints[service as usize];
        (endpoint.address, endpoint.certificate.certificate.clone())
    }

    /// Returns a client of the administration interface of one balancer.
    pub fn operator(&self, balancer: usize) -> Client {
        let access = &self.balancers[balancer].access;
        Client::new(access.listen, access.token.clone())
    }

    /// Returns the number of balancers.
    pub fn balancer_count(&self) -> usize {
        self.balancers.len()
    }

    /// Returns the service of an agent.
    pub fn service(&self, instance: Instance) -> Option<Service> {
        self.agents.iter().find(|agent| agent.instance == instance).map(|agent| agent.service)
    }

    /// Sends the next line to all boards and returns its number.
    pub fn update_boards(&self) -> u64 {
        let line = self.board_line.fetch_add(1, Ordering::Relaxed) + 1;
        for agent in &self.agents {
            agent.upstream.update_board(line);
        }
        line
    }

    /// Returns the number of runs of each reservation, summed over all upstreams.
    pub fn runs(&self) -> BTreeMap<Box<str>, u32> {
        let mut total = BTreeMap::new();
        for (key, runs) in self.agents.iter().flat_map(|agent| agent.upstream.runs()) {
            *total.entry(key).or_default() += runs;
        }
        total
    }

    /// Takes one balancer out of the fabric, stops it, and starts a new process in its place.
    pub async fn replace_balancer(&mut self) -> DemoResult<()> {
        // A balancer that has not yet learned of a drain still counts the drained upstream.
        let mut expected = usize::MAX;
        for index in 0..self.balancers.len() {
            expected = expected.min(count_serving(&self.operator(index)).await);
        }
        let old = self.balancers.remove(0);
        self.route_to_all();
        old.process.drain().stop().await;
        let process = balancer::Process::new(old.settings.clone(), self.log.clone());
        let process = process.with_admin(Some(old.access.clone())).serve().await?;
        self.balancers.push(Balancer { process, ..old });
        self.wait_until_ready(self.balancers.len() - 1, expected).await?;
        self.route_to_all();
        Ok(())
    }

    /// Stops all processes gracefully.
    pub async fn stop(self) {
        let running = self.agents.into_iter().map(|agent| async move {
            // Sending fails if the agent has already ended.
            let _ = agent.stop.send(());
            if let Ok(Err(error)) = agent.running.await {
                eprintln!("agent: {error}");
            }
        });
        futures::future::join_all(running).await;
        let stopping = self.balancers.into_iter().map(|b| b.process.drain().stop());
        futures::future::join_all(stopping).await;
    }

    /// Makes the fabric spread packets over all present balancers.
    fn route_to_all(&self) {
        self.fabric.set_balancers(self.balancers.iter().map(|b| b.settings.packets).collect());
    }

    /// Waits until a balancer knows at least `expected` serving upstreams.
    async fn wait_until_ready(&self, balancer: usize, expected: usize) -> DemoResult<()> {
        let started_at = Instant::now();
        let operator = self.operator(balancer);
        while count_serving(&operator).await < expected {
            if started_at.elapsed() > READY_TIMEOUT {
                return Err("a balancer did not learn of all upstreams".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl ServiceEndpoint {
    fn new(service: Service) -> DemoResult<Self> {
        Ok(Self { address: free_udp()?, certificate: Certificate::new(service.host_name()) })
    }
}

impl Balancer {
    async fn start(
        index: usize,
        peers: &[SocketAddr],
        store: SocketAddr,
        log: &Logger,
    ) -> DemoResult<Self> {
        let settings = balancer::Settings {
            name: format!("balancer-{index}").parse()?,
            domain: format!("vlaanderen-{index}").parse()?,
            packets: free_udp()?,
            capsules: free_tcp_udp_v4()?,
            control: peers[index],
            store,
            mesh: Some(Mesh { key: Secret::new(MESH_KEY), peers: peers.into() }),
            threads: 1,
        };
        let access = Access { listen: free_tcp()?, token: TOKEN.parse()? };
        let process = balancer::Process::new(settings.clone(), log.clone());
        let process = process.with_admin(Some(access.clone())).serve().await?;
        Ok(Self { settings, access, process })
    }
}

impl Agent {
    async fn start(
        index: usize,
        service: Service,
        control_addresses: &[SocketAddr],
        certificate: &Certificate,
        log: &Logger,
    ) -> DemoResult<Self> {
        let name = format!("upstream-{index}");
        let upstream = Upstream::start(&name, "127.0.0.1:0".parse()?, WORK_TIME).await?;
        let instance = Instance::new(free_tcp_udp_v4()?);
        let settings = Settings {
            name: format!("agent-{index}").parse()?,
            domain: format!("vlaanderen-{}", index % 3).parse()?,
            customer: CUSTOMER.parse()?,
            service: service.contract_name().parse()?,
            key: Secret::new(CUSTOMER_KEY),
            capsules: instance,
            balancers: control_addresses.into(),
            upstream: upstream.address(),
            weight: Weight::new(100),
            certificate: endpoint::Certificate {
                chain: vec![certificate.certificate.clone()],
                key: certificate.key.clone_key(),
            },
        };
        let process = agent::Process::new(settings, log.clone()).serve().await?;
        let (stop, stopped) = oneshot::channel();
        let running = tokio::spawn(process.run(async move {
            // A dropped sender stops the agent as well.
            let _ = stopped.await;
        }));
        Ok(Self { service, instance, upstream, stop, running })
    }
}

fn contract_text(endpoints: &[ServiceEndpoint; 2]) -> String {
    let key = Secret::new(CUSTOMER_KEY);
    let [booking, pack] = endpoints.each_ref().map(|endpoint| endpoint.address);
    format!(
        "[customer]\nname = {CUSTOMER}\nkey = {key}\ncapacity = 40\n\n\
         [service booking]\naddresses = {booking}\nslots = 4\nconnections = 2000\n\
         upstreams_max = 7\nshare = 28\nwait = 500 ms\nwarmup = 0 s\n\n\
         [service pack]\naddresses = {pack}\nslots = 4\nconnections = 2000\n\
         upstreams_max = 3\nshare = 12\nwait = 2 s\ndeadline = 30 s\nwarmup = 0 s\n"
    )
}

fn free_udp() -> std::io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

fn free_tcp() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns an address whose port is free for both UDP and TCP, as an agent uses both.
fn free_tcp_udp_v4() -> DemoResult<SocketAddrV4> {
    for _ in 0..100 {
        if let SocketAddr::V4(address) = free_tcp()?
            && UdpSocket::bind(address).is_ok()
        {
            return Ok(address);
        }
    }
    Err("no port is free for UDP and TCP".into())
}
