//! Starts balancers and agents as processes and everything around them as stand-ins.

use {
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU16, AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    yuccacroft_balancer::controllers::CONTRACT_KEY_PREFIX,
    yuccacroft_core::{ids::Revision, key::Secret},
    yuccacroft_fakes::{
        caller::Caller, certificate::Certificate, fabric::Fabric, store::Store, upstream::Upstream,
    },
    yuccacroft_store::{etcd::EtcdClient, store::Store as _},
};

/// The name of the service in certificates.
pub const SERVICE: &str = "booking.kampvuur.example";
const WORK: Duration = Duration::from_millis(5);
const CONNECT_DEADLINE: Duration = Duration::from_secs(30);
const KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [9; 32];

static FOLDERS: AtomicU32 = AtomicU32::new(0);
static PORTS: AtomicU16 = AtomicU16::new(20_000);

/// The token of all administration interfaces.
pub const TOKEN: &str = "token-for-tests-only";

/// Three balancers and some agents as processes.
pub struct System {
    /// The upstreams with their records.
    pub upstreams: Vec<Upstream>,
    /// The administration interfaces of the balancers.
    pub admins: Vec<SocketAddr>,
    /// The administration interfaces of the agents.
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
    /// Starts everything with three upstreams.
    pub async fn start() -> Self {
        let mut upstreams = Vec::new();
        for index in 0..3 {
            let name = format!("upstream-{index}");
            let upstream = Upstream::start(&name, "127.0.0.1:0".parse().unwrap(), WORK);
            upstreams.push(upstream.await.unwrap());
        }
        let addresses: Vec<_> = upstreams.iter().map(Upstream::address).collect();
        let mut system = Self::start_over(&addresses, 4).await;
        system.upstreams = upstreams;
        system
    }

    /// Starts everything over upstreams that run already. Each has a number of slots.
    pub async fn start_over(addresses: &[SocketAddr], slots: u32) -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("yuccacroft-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let service = free_address();
        let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let gateway = EtcdClient::new(store.address(), Duration::from_secs(1));
        let key = format!("{CONTRACT_KEY_PREFIX}kampvuur");
        gateway.put(&key, &contract(service, slots), Revision::default()).await.unwrap();
        let certificate = Certificate::new(SERVICE);
        fs::write(folder.join("service.pem"), certificate.certificate_pem.as_bytes()).unwrap();
        fs::write(folder.join("service.key"), certificate.key_pem.as_bytes()).unwrap();
        let (mut processes, mut packets, mut controls) = (Vec::new(), Vec::new(), Vec::new());
        let (mut admins, mut agents, mut agent_admins) = (Vec::new(), Vec::new(), Vec::new());
        let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        for (index, &control) in peers.iter().enumerate() {
            let (packet, admin) = (free_address(), free_address());
            let text = balancer(index, packet, &peers, store.address());
            let text = format!("{text}\n[admin]\nlisten = {admin}\ntoken = {TOKEN}\n");
            admins.push(admin);
            processes.push(run(&folder, "balancer", index, &text));
            packets.push(packet);
            controls.push(control);
        }
        for (index, upstream) in addresses.iter().enumerate() {
            let capsules = free_address();
            let text = agent(index, capsules, &controls, *upstream);
            let admin = free_address();
            let text = format!("{text}\n[admin]\nlisten = {admin}\ntoken = {TOKEN}\n");
            agent_admins.push(admin);
            processes.push(run(&folder, "agent", index, &text));
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

    /// Opens a connection; processes may still be starting.
    pub async fn caller(&self) -> Caller {
        let begin = Instant::now();
        loop {
            let attempt = Caller::connect(self.service, SERVICE, &self.certificate.certificate);
            match tokio::time::timeout(Duration::from_secs(2), attempt).await {
                Ok(Ok(caller)) => return caller,
                _ => assert!(begin.elapsed() < CONNECT_DEADLINE, "no connection came about"),
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // A process that has ended already is no fault.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn run(folder: &Path, role: &str, index: usize, text: &str) -> Child {
    let file = folder.join(format!("{role}-{index}.ini"));
    fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccacroft"));
    command.arg(role).arg("--settings").arg(file);
    command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap()
}

fn contract(service: SocketAddr, slots: u32) -> String {
    let key = Secret::new(KEY);
    format!(
        "[customer]\nname = kampvuur\nkey = {key}\ncapacity = 28\n\n[service booking]\n\
         addresses = {service}\nslots = {slots}\nconnections = 2000\nupstreams_max = 7\nshare = 28\nwarmup = 0 s\n"
    )
}

fn balancer(index: usize, packets: SocketAddr, peers: &[SocketAddr], store: SocketAddr) -> String {
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

fn agent(
    index: usize,
    capsules: SocketAddr,
    controls: &[SocketAddr],
    upstream: SocketAddr,
) -> String {
    let controls: Vec<_> = controls.iter().map(ToString::to_string).collect();
    format!(
        "[process]\nname = agent-{index}\ndomain = vlaanderen-{index}\n\n[service]\n\
         customer = kampvuur\nname = booking\nkey = {}\n\n[listen]\ncapsules = {capsules}\n\n[mesh]\n\
         balancers = {}\n\n[upstream]\naddress = {upstream}\n\n[tls]\n\
         certificate = service.pem\nkey = service.key\n",
        Secret::new(KEY),
        controls.join(", ")
    )
}

/// Returns an address that no other socket uses. The loopback address belongs to this test program
/// and ports count up, since a port that was free once may be taken before a process binds it.
fn free_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 | high >> 2, high << 6 | low >> 2, 1 + (low & 3)], port))
}
