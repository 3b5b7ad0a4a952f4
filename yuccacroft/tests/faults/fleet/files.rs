//! Settings files, logs and addresses of a fleet.

use {
    std::{
        fs::{self, OpenOptions},
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU16, AtomicU32, Ordering},
    },
    yuccacroft_core::key::Secret,
};

const KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [8; 32];

/// Below the range from which the system takes ports of outgoing connections.
const FIRST_PORT: u16 = 20_000;

static FLEETS: AtomicU32 = AtomicU32::new(0);
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder for settings and logs, removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("yuccacroft-fleet-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Starts a process; its log begins anew.
    pub fn run(&self, role: &str, name: &str, settings: &str) -> Child {
        let file = self.0.join(format!("{name}.ini"));
        fs::write(&file, settings).unwrap();
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(true);
        let log = options.open(self.0.join(format!("{name}.log"))).unwrap();
        // Log lines go to standard output, a fault in the settings to standard error.
        let lines = log.try_clone().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccacroft"));
        command.arg(role).arg("--settings").arg(file);
        command.stdin(Stdio::null()).stdout(lines).stderr(log).spawn().unwrap()
    }

    pub fn log(&self, node: &super::Node) -> String {
        fs::read_to_string(self.0.join(format!("{}.log", node.name))).unwrap_or_default()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn contract(booking: SocketAddr, packs: SocketAddr, drain: &str) -> String {
    let key = Secret::new(KEY);
    let service = |name, address| {
        format!(
            "[service {name}]\naddresses = {address}\nslots = 4\nconnections = 2000\n\
             upstreams_max = 7\nshare = 28\ndeadline = 5 s\ndrain = {drain}\n\n"
        )
    };
    let (booking, packs) = (service("booking", booking), service("packs", packs));
    format!("[customer]\nname = kampvuur\nkey = {key}\ncapacity = 56\n\n{booking}{packs}")
}

pub fn balancer(
    index: usize,
    packets: SocketAddr,
    capsules: SocketAddr,
    control: SocketAddr,
    store: SocketAddr,
    peers: Option<&[SocketAddr]>,
) -> String {
    let mesh = peers.map(|peers| {
        let (key, peers) = (Secret::new(MESH_KEY), list(peers));
        format!("\n[mesh]\nkey = {key}\npeers = {peers}\n")
    });
    let mesh = mesh.unwrap_or_default();
    format!(
        "[process]\nname = balancer-{index}\ndomain = vlaanderen-{index}\n\n[listen]\n\
         packets = {packets}\ncapsules = {capsules}\ncontrol = {control}\n\n[store]\n\
         address = {store}\n{mesh}"
    )
}

pub fn agent(
    name: &str,
    service: &str,
    instance: SocketAddr,
    controls: &[SocketAddr],
    upstream: SocketAddr,
) -> String {
    format!(
        "[process]\nname = {name}\ndomain = vlaanderen-0\n\n[service]\ncustomer = kampvuur\n\
         name = {service}\nkey = {}\n\n[listen]\ncapsules = {instance}\n\n[mesh]\n\
         balancers = {}\n\n[upstream]\naddress = {upstream}\n\n[tls]\n\
         certificate = service.pem\nkey = service.key\n",
        Secret::new(KEY),
        list(controls)
    )
}

fn list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}

/// Addresses of one fleet: an IP address of its own on the loopback interface with ports in turn.
/// A free port of a shared address could be taken by another process before it is bound.
pub struct Addresses {
    ip: Ipv4Addr,
    next: AtomicU16,
}

impl Addresses {
    pub fn new() -> Self {
        let process = std::process::id();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = process.to_be_bytes();
        // The first 64 networks are left to other programs.
        let ip = Ipv4Addr::new(127, 64 | high, low, number as u8 + 1);
        Self { ip, next: AtomicU16::new(FIRST_PORT) }
    }

    pub fn next(&self) -> SocketAddr {
        (self.ip, self.next.fetch_add(1, Ordering::Relaxed)).into()
    }
}
