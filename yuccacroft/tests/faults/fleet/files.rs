//! Settings files, logs and addresses of the processes of a fleet.

use {
    std::{
        fs::{self, OpenOptions},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
    },
    yuccacroft_core::key::Secret,
};

const CUSTOMER_KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [8; 32];

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A temporary folder for settings and logs; removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("yuccacroft-fleet-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Starts a process, whose log replaces an earlier one of the same name.
    pub fn spawn(&self, role: &str, name: &str, settings: &str) -> Child {
        let file = self.0.join(format!("{name}.ini"));
        fs::write(&file, settings).unwrap();
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(true);
        let log = options.open(self.0.join(format!("{name}.log"))).unwrap();
        // Log lines go to standard output, faults in the settings to standard error.
        let output = log.try_clone().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccacroft"));
        command.arg(role).arg("--settings").arg(file);
        command.stdin(Stdio::null()).stdout(output).stderr(log).spawn().unwrap()
    }

    /// Returns the log of a process.
    pub fn read_log(&self, node: &super::Node) -> String {
        fs::read_to_string(self.0.join(format!("{}.log", node.name))).unwrap_or_default()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the contract of the customer with its two services.
pub fn contract_text(booking: SocketAddr, packs: SocketAddr, drain: &str) -> String {
    let key = Secret::new(CUSTOMER_KEY);
    let service = |name, address| {
        format!(
            "[service {name}]\naddresses = {address}\nslots = 4\nconnections = 2000\n\
             upstreams_max = 7\nshare = 28\ndeadline = 5 s\ndrain = {drain}\n\n"
        )
    };
    let (booking, packs) = (service("booking", booking), service("packs", packs));
    format!("[customer]\nname = kampvuur\nkey = {key}\ncapacity = 56\n\n{booking}{packs}")
}

/// Returns the settings of a balancer; without `peers` they have no section `mesh`.
pub fn balancer_settings(
    index: usize,
    packets: SocketAddr,
    capsules: SocketAddr,
    control: SocketAddr,
    store: SocketAddr,
    peers: Option<&[SocketAddr]>,
) -> String {
    let mesh = peers.map(|peers| {
        let (key, peers) = (Secret::new(MESH_KEY), comma_separated(peers));
        format!("\n[mesh]\nkey = {key}\npeers = {peers}\n")
    });
    let mesh = mesh.unwrap_or_default();
    format!(
        "[process]\nname = balancer-{index}\ndomain = vlaanderen-{index}\n\n[listen]\n\
         packets = {packets}\ncapsules = {capsules}\ncontrol = {control}\n\n[store]\n\
         address = {store}\n{mesh}"
    )
}

/// Returns the settings of an agent.
pub fn agent_settings(
    name: &str,
    service: &str,
    instance: SocketAddr,
    control_addresses: &[SocketAddr],
    upstream: SocketAddr,
) -> String {
    format!(
        "[process]\nname = {name}\ndomain = vlaanderen-0\n\n[service]\ncustomer = kampvuur\n\
         name = {service}\nkey = {}\n\n[listen]\ncapsules = {instance}\n\n[mesh]\n\
         balancers = {}\n\n[upstream]\naddress = {upstream}\n\n[tls]\n\
         certificate = service.pem\nkey = service.key\n",
        Secret::new(CUSTOMER_KEY),
        comma_separated(control_addresses)
    )
}

fn comma_separated(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}
