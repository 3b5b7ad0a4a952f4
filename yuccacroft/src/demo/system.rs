//! Balancers, agents and everything around them, in one process.

use {
    super::{Outcome, serving},
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

/// The customer.
pub const CUSTOMER: &str = "kampvuur";
/// Bytes of one chunk of a pack, as the stand-in of upstreams sends them.
pub const PACK_CHUNK_BYTES: usize = 16 << 10;

const BALANCERS: usize = 3;
const BOOKING_UPSTREAMS: usize = 3;
const PACK_UPSTREAMS: usize = 2;
const WORK: Duration = Duration::from_millis(20);
const KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [9; 32];
const TOKEN: &str = "token-of-the-demo";
const READY_WITHIN: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// The services of the customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// The booking desk.
    Booking,
    /// The pack service.
    Pack,
}

/// The whole system.
pub struct System {
    services: [Service; 2],
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    line: AtomicU64,
    fabric: Fabric,
    log: Logger,
    _store: Store,
}

struct Service {
    address: SocketAddr,
    certificate: Certificate,
}

struct Balancer {
    settings: balancer::Settings,
    access: Access,
    process: balancer::Process<balancer::Serving>,
}

struct Agent {
    site: Site,
    instance: Instance,
    upstream: Upstream,
    stop: oneshot::Sender<()>,
    running: JoinHandle<()>,
}

impl Site {
    /// Returns the name of the site in its certificate.
    pub fn name(self) -> &'static str {
        match self {
            Self::Booking => "booking.kampvuur.example",
            Self::Pack => "pack.kampvuur.example",
        }
    }

    fn service(self) -> &'static str {
        match self {
            Self::Booking => "booking",
            Self::Pack => "pack",
        }
    }
}

impl System {
    /// Starts everything and waits until all balancers know all upstreams.
    pub async fn start(log: &Logger) -> Outcome<Self> {
        let services = [Service::new(Site::Booking)?, Service::new(Site::Pack)?];
        let store = Store::start("127.0.0.1:0".parse()?).await?;
        let gateway = EtcdClient::new(store.address(), Duration::from_secs(1));
        let value = contract(&services);
        gateway
            .put(&format!("{CONTRACT_KEY_PREFIX}{CUSTOMER}"), &value, Revision::default())
            .await?;
        let mut balancers = Vec::new();
        let peers = (0..BALANCERS).map(|_| free_tcp()).collect::<std::io::Result<Vec<_>>>()?;
        for index in 0..BALANCERS {
            balancers.push(Balancer::start(index, &peers, store.address(), log).await?);
        }
        let packets = balancers.iter().map(|balancer| balancer.settings.packets).collect();
        let addresses = services.each_ref().map(|service| service.address);
        let fabric = Fabric::start(&addresses, packets, 1).await?;
        let controls: Vec<_> = balancers.iter().map(|b| b.settings.control).collect();
        let mut agents = Vec::new();
        for index in 0..BOOKING_UPSTREAMS + PACK_UPSTREAMS {
            let site = if index < BOOKING_UPSTREAMS { Site::Booking } else { Site::Pack };
            let certificate = &services[site as usize].certificate;
            agents.push(Agent::start(index, site, &controls, certificate, log).await?);
        }
        let line = AtomicU64::new(0);
        let log = log.clone();
        let system = Self { services, balancers, agents, line, fabric, log, _store: store };
        for balancer in 0..system.balancers() {
            system.ready(balancer, system.agents.len()).await?;
        }
        Ok(system)
    }

    /// Returns the address of a site and the certificate that callers trust.
    pub fn entry(&self, site: Site) -> (SocketAddr, CertificateDer<'static>) {
        let service = &self.services[site as usize];
        (service.address, service.certificate.certificate.clone())
    }

    /// Returns an operator at one balancer.
    pub fn operator(&self, balancer: usize) -> Client {
        let access = &self.balancers[balancer].access;
        Client::new(access.listen, access.token.clone())
    }

    /// Returns the number of balancers.
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// Returns the site that an agent serves.
    pub fn site(&self, instance: Instance) -> Option<Site> {
        self.agents.iter().find(|agent| agent.instance == instance).map(|agent| agent.site)
    }

    /// Sends the next line to all boards and returns it.
    pub fn update_boards(&self) -> u64 {
        let line = self.line.fetch_add(1, Ordering::Relaxed) + 1;
        for agent in &self.agents {
            agent.upstream.update_board(line);
        }
        line
    }

    /// Returns how often each reservation ran, over all upstreams.
    pub fn runs(&self) -> BTreeMap<Box<str>, u32> {
        let mut total = BTreeMap::new();
        for (key, runs) in self.agents.iter().flat_map(|agent| agent.upstream.runs()) {
            *total.entry(key).or_default() += runs;
        }
        total
    }

    /// Takes one balancer out of the fabric, stops it, and puts a new process in its place.
    pub async fn replace_balancer(&mut self) -> Outcome<()> {
        // A balancer may still count an upstream whose drain it has not heard of.
        let mut wanted = usize::MAX;
        for index in 0..self.balancers.len() {
            wanted = wanted.min(serving(&self.operator(index)).await);
        }
        let old = self.balancers.remove(0);
        self.spray();
        old.process.drain().stop().await;
        let process = balancer::Process::new(old.settings.clone(), self.log.clone());
        let process = process.with_admin(Some(old.access.clone())).serve().await?;
        self.balancers.push(Balancer { process, ..old });
        self.ready(self.balancers.len() - 1, wanted).await?;
        self.spray();
        Ok(())
    }

    /// Stops all processes gracefully.
    pub async fn stop(self) {
        let running = self.agents.into_iter().map(|agent| async move {
            // An agent that has ended already needs no word to stop.
            let _ = agent.stop.send(());
            let _ = agent.running.await;
        });
        futures::future::join_all(running).await;
        let stopping = self.balancers.into_iter().map(|b| b.process.drain().stop());
        futures::future::join_all(stopping).await;
    }

    fn spray(&self) {
        self.fabric.set_balancers(self.balancers.iter().map(|b| b.settings.packets).collect());
    }

    /// Waits until a balancer knows a number of serving upstreams.
    async fn ready(&self, balancer: usize, wanted: usize) -> Outcome<()> {
        let begin = Instant::now();
        let operator = self.operator(balancer);
        while serving(&operator).await < wanted {
            if begin.elapsed() > READY_WITHIN {
                return Err("a balancer did not learn of all upstreams".into());
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }
}

impl Service {
    fn new(site: Site) -> Outcome<Self> {
        Ok(Self { address: free_udp()?, certificate: Certificate::new(site.name()) })
    }
}

impl Balancer {
    async fn start(
        index: usize,
        peers: &[SocketAddr],
        store: SocketAddr,
        log: &Logger,
    ) -> Outcome<Self> {
        let settings = balancer::Settings {
            name: format!("balancer-{index}").parse()?,
            domain: format!("vlaanderen-{index}").parse()?,
            packets: free_udp()?,
            capsules: free_v4()?,
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
        site: Site,
        controls: &[SocketAddr],
        certificate: &Certificate,
        log: &Logger,
    ) -> Outcome<Self> {
        let name = format!("upstream-{index}");
        let upstream = Upstream::start(&name, "127.0.0.1:0".parse()?, WORK).await?;
        let instance = Instance::new(free_v4()?);
        let settings = Settings {
            name: format!("agent-{index}").parse()?,
            domain: format!("vlaanderen-{}", index % 3).parse()?,
            customer: CUSTOMER.parse()?,
            service: site.service().parse()?,
            key: Secret::new(KEY),
            capsules: instance,
            balancers: controls.into(),
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
            // A sender that is gone asks for the stop as well.
            let _ = stopped.await;
        }));
        Ok(Self { site, instance, upstream, stop, running })
    }
}

fn contract(services: &[Service; 2]) -> String {
    let key = Secret::new(KEY);
    let [booking, pack] = services.each_ref().map(|service| service.address);
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

/// Finds a port that is free for UDP and TCP, as an agent uses both.
fn free_v4() -> Outcome<SocketAddrV4> {
    for _ in 0..100 {
        if let SocketAddr::V4(address) = free_tcp()?
            && UdpSocket::bind(address).is_ok()
        {
            return Ok(address);
        }
    }
    Err("no port is free for UDP and TCP".into())
}
