//! Starts balancers and agents as processes, and fakes of the services around them.

use {
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            LazyLock,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    yuccacroft_balancer::controllers::CONTRACT_KEY_PREFIX,
    yuccacroft_core::{ids::Revision, key::Secret},
    yuccacroft_fakes::{
        caller::Caller, certificate::Certificate, fabric::Fabric, loopback::Addresses,
        store::Store, upstream::Upstream,
    },
    yuccacroft_store::{etcd::EtcdClient, store::Store as _},
};

/// The host name of the service in certificates.
pub const HOST_NAME: &str = "booking.kampvuur.example";
/// Time that an upstream works on a request.
const WORK_TIME: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);
const CUSTOMER_KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [9; 32];

/// Number of the next folder, so that the systems of one test program do not share files.
static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// The token of all administration interfaces.
pub const TOKEN: &str = "token-for-tests-only";

/// Three balancers and a number of agents, each as a process.
pub struct System {
    /// The fake upstreams and the requests that they recorded; empty if the test runs its own.
    pub upstreams: Vec<Upstream>,
    /// The addresses of the administration interfaces of the balancers.
    pub admins: Vec<SocketAddr>,
    /// The addresses of the administration interfaces of the agents.
    pub agent_admins: Vec<SocketAddr>,
    /// The capsule addresses of the agents.
    pub agents: Vec<SocketAddr>,
    certificate: Certificate,
    service: SocketAddr,
    processes: Vec<Child>,
    _fabric: Fabric,
    _store: Store,
    folder: PathBuf,
}

impl System {
    /// Starts the system with three fake upstreams.
    pub async fn start() -> Self {
        let mut upstreams = Vec::new();
        for index in 0..3 {
            let name = format!("upstream-{index}");
            let upstream = Upstream::start(&name, "127.0.0.1:0".parse().unwrap(), WORK_TIME);
            upstreams.push(upstream.await.unwrap());
        }
        let addresses: Vec<_> = upstreams.iter().map(Upstream::address).collect();
        let mut system = Self::with_upstreams(&addresses, 4).await;
        system.upstreams = upstreams;
        system
    }

    /// Starts the system with running upstreams, each of which has `slots` slots.
    pub async fn with_upstreams(addresses: &[SocketAddr], slots: u32) -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("yuccacroft-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let service = free_address();
        let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let store_client = EtcdClient::new(store.address(), Duration::from_secs(1));
        let key = format!("{CONTRACT_KEY_PREFIX}kampvuur");
        store_client.put(&key, &contract_text(service, slots), Revision::default()).await.unwrap();
        let certificate = Certificate::new(HOST_NAME);
        fs::write(folder.join("service.pem"), certificate.certificate_pem.as_bytes()).unwrap();
        fs::write(folder.join("service.key"), certificate.key_pem.as_bytes()).unwrap();
        let (mut processes, mut packets, mut control_addresses) =
            (Vec::new(), Vec::new(), Vec::new());
        let (mut admins, mut agents, mut agent_admins) = (Vec::new(), Vec::new(), Vec::new());
        let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        for (index, &control) in peers.iter().enumerate() {
            let (packet, admin) = (free_address(), free_address());
            let text = balancer_settings(index, packet, &peers, store.address());
            let text = format!("{text}\n[admin]\nlisten = {admin}\ntoken = {TOKEN}\n");
            admins.push(admin);
            processes.push(spawn_process(&folder, "balancer", index, &text));
            packets.push(packet);
            control_addresses.push(control);
        }
        for (index, upstream) in addresses.iter().enumerate() {
            let capsules = free_address();
            let text = agent_settings(index, capsules, &control_addresses, *upstream);
            let admin = free_address();
            let text = format!("{text}\n[admin]\nlisten = {admin}\ntoken = {TOKEN}\n");
            agent_admins.push(admin);
            processes.push(spawn_process(&folder, "agent", index, &text));
            agents.push(capsules);
        }
        let fabric = Fabric::start(&[service], packets, 1).await.unwrap();
        Self {
            upstreams: Vec::new(),
            admins,
            agent_admins,
            agents,
            certificate,
            service,
            processes,
            _fabric: fabric,
            _store: store,
            folder,
        }
    }

    /// Opens a connection, and repeats attempts since the processes may still be starting.
    pub async fn caller(&self) -> Caller {
        let started_at = Instant::now();
        loop {
            let attempt = Caller::connect(self.service, HOST_NAME, &self.certificate.certificate);
            match tokio::time::timeout(Duration::from_secs(2), attempt).await {
                Ok(Ok(caller)) => return caller,
                _ => assert!(
                    started_at.elapsed() < CONNECT_TIMEOUT,
                    "no connection was established in time"
                ),
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Both calls may fail if the process has already ended.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Writes the settings file of a process and starts it.
fn spawn_process(folder: &Path, role: &str, index: usize, text: &str) -> Child {
    let file = folder.join(format!("{role}-{index}.ini"));
    fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccacroft"));
    command.arg(role).arg("--settings").arg(file);
    command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap()
}

fn contract_text(service: SocketAddr, slots: u32) -> String {
    let key = Secret::new(CUSTOMER_KEY);
    format!(
        "[customer]\nname = kampvuur\nkey = {key}\ncapacity = 28\n\n[service booking]\n\
         addresses = {service}\nslots = {slots}\nconnections = 2000\nupstreams_max = 7\nshare = 28\nwarmup = 0 s\n"
    )
}

fn balancer_settings(
    index: usize,
    packets: SocketAddr,
    peers: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let control = peers[index];
    let key = Secret::new(MESH_KEY);
    let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
    format!(
        "[process]\nname = balancer-{index}\ndomain = vlaanderen-{index}\n\n[listen]\n\
         packets = {packets}\ncapsules = {}\ncontrol = {control}\n\n[store]\naddress = {store}\n\n\
         [mesh]\nkey = {key}\npeers = {}\n",
        free_address(),
        peers.join(", ")
    )
}

fn agent_settings(
    index: usize,
    capsules: SocketAddr,
    control_addresses: &[SocketAddr],
    upstream: SocketAddr,
) -> String {
    let control_addresses: Vec<_> = control_addresses.iter().map(ToString::to_string).collect();
    format!(
        "[process]\nname = agent-{index}\ndomain = vlaanderen-{index}\n\n[service]\n\
         customer = kampvuur\nname = booking\nkey = {}\n\n[listen]\ncapsules = {capsules}\n\n[mesh]\n\
         balancers = {}\n\n[upstream]\naddress = {upstream}\n\n[tls]\n\
         certificate = service.pem\nkey = service.key\n",
        Secret::new(CUSTOMER_KEY),
        control_addresses.join(", ")
    )
}

/// Returns a loopback address that no other socket uses.
fn free_address() -> SocketAddr {
    static ADDRESSES: LazyLock<Addresses> = LazyLock::new(|| Addresses::new().unwrap());
    ADDRESSES.allocate()
}
