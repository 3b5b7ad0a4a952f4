//! The platform: addresses, settings, processes and routers.

use {
    crate::{http, packet::Record},
    std::{
        collections::hash_map::DefaultHasher,
        fs,
        hash::{Hash, Hasher},
        net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
        os::unix::process::CommandExt,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

pub const GRACE: Duration = Duration::from_secs(6);
/// The pause before a process that has ended is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The port of the metrics in the templates of the deploy file.
const METRICS_PORT: u16 = 9464;

/// The ports of all machines of a run, and the network part of their addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    pub net: u8,
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub internal: u16,
    pub store: u16,
}

impl Ports {
    /// Finds ports that are free on the addresses of the run.
    pub fn find() -> Self {
        for _ in 0..100 {
            let random = crate::packet::random();
            let (net, base) = (20 + (random % 200) as u8, 10_000 + (random >> 8) as u16 % 10_000);
            let at = |offset| base + offset;
            let ports = Self {
                net,
                datagram: at(0),
                ready: at(1),
                control: at(2),
                outbound: at(3),
                app: at(4),
                internal: at(5),
                store: at(6),
            };
            let is_free = |address: Ipv4Addr, port: u16| {
                TcpListener::bind((address, port)).is_ok()
                    && UdpSocket::bind((address, port)).is_ok()
            };
            // The settings give the metrics a fixed port on each machine.
            let has_net = is_free(ports.front(1), METRICS_PORT);
            if has_net && (0..7).all(|offset| is_free(Ipv4Addr::UNSPECIFIED, at(offset))) {
                return ports;
            }
        }
        panic!("no free ports");
    }

    pub fn front(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, number)
    }

    pub fn side(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, number)
    }

    pub fn consumer(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 100, number)
    }

    pub fn store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 200, 1), self.store)
    }
}

/// A process of the system on a machine of its own.
pub struct Node {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    record: Arc<Record>,
}

/// The temporary folder of a run, which is removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{:016x}", crate::packet::random()));
        fs::create_dir(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Node {
    /// Starts a node with the command and the template of the deploy file. `fields` are the values
    /// of the placeholders.
    pub fn start(
        role: &'static str,
        name: &str,
        fields: &[(&str, String)],
        folder: &Folder,
        record: &Arc<Record>,
    ) -> Self {
        let mut text = fs::read_to_string(format!("deploy/{role}.ini")).expect("template");
        for (placeholder, value) in fields {
            text = text.replace(&format!("{{{{{placeholder}}}}}"), value);
        }
        assert!(!text.contains("{{"), "placeholder without a value in {text}");
        let settings = folder.0.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("settings file");
        let log = folder.0.join(format!("{name}.log"));
        let child = spawn(role, &settings, &log);
        record.add(&format!("process {name} starts with id {}", child.id()));
        Self { name: name.to_owned(), role, settings, log, child, record: record.clone() }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let _ =
            Command::new("kill").args([format!("-{signal}"), self.child.id().to_string()]).status();
        self.record.add(&format!("process {} gets SIG{signal}", self.name));
    }

    /// Waits for the end of the process, and kills it when the grace time is over.
    pub fn wait(&mut self, limit: Duration) {
        let started = Instant::now();
        while matches!(self.child.try_wait(), Ok(None)) {
            if started.elapsed() >= limit {
                self.signal("KILL");
                let _ = self.child.wait();
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.add(&format!("process {} has ended", self.name));
    }

    /// Starts the process again after the usual delay.
    pub fn restart(&mut self) {
        thread::sleep(RESTART_DELAY);
        self.child = spawn(self.role, &self.settings, &self.log);
        self.record.add(&format!("process {} starts with id {}", self.name, self.child.id()));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

fn spawn(role: &str, settings: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("log file");
    let mut command = Command::new("target/release/yuccacroft");
    command.arg(role).env_clear().env("YUCCACROFT_BOOT", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    // The process ends with this one, also if this one is killed.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
    command.spawn().expect("the program is not built")
}

/// The routers of a zone: they forward packets to the nodes that are ready.
pub struct Routers {
    nodes: Vec<SocketAddrV4>,
    in_rotation: Mutex<Vec<SocketAddrV4>>,
}

impl Routers {
    /// Starts the status checks: twice a second for each node, out of rotation after two misses.
    pub fn start(nodes: Vec<SocketAddrV4>, ready_port: u16) -> Arc<Self> {
        let routers = Arc::new(Self { nodes: nodes.clone(), in_rotation: Mutex::default() });
        let checking = routers.clone();
        thread::spawn(move || {
            let mut misses = vec![2; nodes.len()];
            loop {
                for (node, misses) in nodes.iter().zip(&mut misses) {
                    let address = SocketAddrV4::new(*node.ip(), ready_port);
                    let timeout = Duration::from_millis(250);
                    let is_ready =
                        http::call(address, "GET", "/api/ready", "", timeout) == Some(200);
                    *misses = if is_ready { 0 } else { *misses + 1 };
                }
                let ready = nodes.iter().zip(&misses).filter(|(_, misses)| **misses < 2);
                *checking.in_rotation.lock().unwrap() = ready.map(|(node, _)| *node).collect();
                thread::sleep(Duration::from_millis(500));
            }
        });
        routers
    }

    /// Returns the node for a packet. If fewer than half are in rotation, all are used.
    pub fn choose(&self, from: SocketAddrV4, to: SocketAddrV4) -> Option<SocketAddrV4> {
        let in_rotation = self.in_rotation.lock().unwrap();
        let nodes =
            if in_rotation.len() * 2 < self.nodes.len() { &self.nodes } else { &*in_rotation };
        let mut hasher = DefaultHasher::new();
        (from, to).hash(&mut hasher);
        nodes.get(hasher.finish() as usize % nodes.len().max(1)).copied()
    }

    /// Returns the number of nodes in rotation.
    pub fn ready(&self) -> usize {
        self.in_rotation.lock().unwrap().len()
    }
}
