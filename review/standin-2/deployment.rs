//! A whole deployment: machines, backends, the store and the routers.

use {
    crate::{
        backend::{self, Backend},
        record::Record,
        router::{Node, Router},
        store::{Access, Store},
        system::{APP_PORT, CONTROL_PORT, DATAGRAM_PORT, Machine, OUTBOUND_PORT, READY_PORT},
    },
    std::{
        fs,
        net::{Ipv4Addr, SocketAddrV4},
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
};

pub const SERVICE: &str = "boards";
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Deployment {
    pub store: Store,
    pub router: Router,
    pub balancers: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub backends: Vec<Backend>,
    /// The second part of all addresses of this run.
    net: u8,
    folder: PathBuf,
}

/// A route of a manifest.
pub struct Route {
    pub address: SocketAddrV4,
    pub name: &'static str,
}

/// Writes a manifest with these routes, all to one service.
pub fn manifest(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|Route { address, name }| {
            let (host, port) = (address.ip(), address.port());
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"/{port}/\",\"service\":\"{SERVICE}\",\"routeType\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":2,\"retryAttempts\":2}}"
            )
        })
        .collect();
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxFlows\":2000}}],\"limits\":{{\"idleTimeoutMs\":12000}}}}"
    )
}

impl Deployment {
    /// Starts everything and waits until all balancers are ready.
    pub fn start(record: &Record, balancers: u8, agents: u8) -> Result<Self, String> {
        let error = |cause: std::io::Error| cause.to_string();
        let net = free_net().ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("yuccacroft-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(error)?;
        let zone = |index: u8| format!("zone-{}", (b'a' + index % 3) as char);
        let machine = |role, index: u8| {
            let (class, third) = if role == "agent" { ("side", 2) } else { ("frontend", 1) };
            let ip = Ipv4Addr::new(127, net, third, index + 1);
            let service = if role == "agent" { SERVICE } else { "" };
            Machine::new(
                &format!("{class}-{}", index + 1),
                role,
                ip,
                &zone(index),
                service,
                &folder,
            )
        };
        let balancers: Vec<_> = (0..balancers).map(|index| machine("balancer", index)).collect();
        let agents: Vec<_> = (0..agents).map(|index| machine("agent", index)).collect();
        let store = Store::start();
        store.write("op/config", &manifest(1, &[]));
        for machine in balancers.iter().chain(&agents) {
            store.listen(machine.store).map_err(error)?;
            machine.start(record);
        }
        let nodes = balancers.iter().map(|machine| Node {
            datagrams: machine.at(DATAGRAM_PORT),
            ready: machine.at(READY_PORT),
        });
        let router = Router::start(nodes.collect());
        let backends = agents.iter().map(|machine| {
            let settings = backend::Settings {
                id: format!("backend-{}", machine.name),
                service: SERVICE.into(),
                zone: machine.zone.clone(),
                app: machine.at(APP_PORT),
                outbound: machine.at(OUTBOUND_PORT),
                control: machine.at(CONTROL_PORT),
            };
            Backend::start(settings, record)
        });
        let backends = backends.collect::<Result<Vec<_>, _>>().map_err(error)?;
        let system = Self { store, router, balancers, agents, backends, net, folder };
        system.wait_until_ready()?;
        Ok(system)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let is_listed = |machine: &Machine| self.store.has(&entry_key(machine));
            let is_ready = self.router.in_rotation() == self.balancers.len();
            if is_ready && self.agents.iter().all(is_listed) {
                thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the system did not become ready".into())
    }

    /// Sets how the store treats all machines.
    pub fn set_access_of_all(&self, access: Access) {
        let machines = self.balancers.iter().chain(&self.agents);
        machines.for_each(|machine| self.store.set_access(machine.store, access));
    }

    pub fn consumer_address(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 3, index + 1)
    }

    pub fn route_address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 4, 1), port)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.balancers.iter().chain(&self.agents).for_each(Machine::end);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the key of the entry of an agent.
pub fn entry_key(machine: &Machine) -> String {
    format!("yuccacroft/agents/{}", machine.at(DATAGRAM_PORT))
}

/// Returns the second part of a loopback network in which the ports are free.
fn free_net() -> Option<u8> {
    let seed = backend::random();
    (0..100).map(|step| (20 + (seed.wrapping_add(step * 7)) % 200) as u8).find(|net| {
        let ports = [DATAGRAM_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, 9464];
        let hosts = [1, 2, 101, 102].map(|third| Ipv4Addr::new(127, *net, third, 1));
        hosts.iter().all(|host| {
            ports.iter().all(|port| std::net::TcpListener::bind((*host, *port)).is_ok())
        })
    })
}
