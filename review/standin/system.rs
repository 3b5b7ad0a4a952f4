//! A small deployment: the store, balancers on `frontend` machines, agents and backends on `side`
//! machines, and routers.

use {
    crate::{
        backend::{Backend, HEARTBEAT_INTERVAL, Place, unix_ms},
        consumer::Consumer,
        packet::Record,
        platform::{Folder, GRACE, Node, Ports, Routers},
        store::Store,
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// The address of the platform that the route of the first service has.
pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), 443);
const ZONE: &str = "zone-a";
/// Traffic starts this long after the machines at the latest.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A running deployment.
pub struct System {
    pub ports: Ports,
    pub store: Store,
    pub fronts: Vec<Node>,
    pub sides: Vec<Node>,
    pub backends: Vec<Backend>,
    pub places: Vec<Place>,
    pub routers: Arc<Routers>,
    pub record: Arc<Record>,
    consumers: u8,
    // Dropped last, after the processes.
    _folder: Folder,
}

impl System {
    /// Starts balancers and agents with their backends, and waits until every balancer is ready.
    pub fn start(fronts: u8, services: &[&str], record: Arc<Record>) -> Option<Self> {
        let ports = Ports::find();
        let folder = Folder::create();
        let store = Store::start(ports.store_address());
        let config = format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{}\",\"prefix\":\"/{}/\",\
             \"routeType\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":200,\"priority\":1,\
             \"service\":\"{}\",\"retryAttempts\":2}}],\"services\":[{{\"name\":\"{}\",\
             \"healthPath\":\"/health\",\"maxFlows\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"idleTimeoutMs\":15000}}}}",
            ROUTE.ip(),
            ROUTE.port(),
            services[0],
            services[0]
        );
        store.write("op/config", config.as_bytes());
        let common = |name: &str, ip: Ipv4Addr| {
            vec![
                ("nodeName", name.to_owned()),
                ("zone", ZONE.to_owned()),
                ("ip", ip.to_string()),
                ("bounds.graceS", GRACE.as_secs().to_string()),
                ("platform.address", ports.store_address().to_string()),
                ("listen.datagramAddr", format!("{ip}:{}", ports.datagram)),
                ("listen.ready", format!("{ip}:{}", ports.ready)),
                ("internalPortRange.0", ports.internal.to_string()),
            ]
        };
        let mut front_nodes = Vec::new();
        for number in 1..=fronts {
            let name = format!("frontend-{ZONE}-{number}");
            let fields = common(&name, ports.front(number));
            front_nodes.push(Node::start("balancer", &name, &fields, &folder, &record));
        }
        let (mut side_nodes, mut places) = (Vec::new(), Vec::new());
        for (number, service) in (1..).zip(services) {
            let (name, ip) = (format!("side-{ZONE}-{number}"), ports.side(number));
            let place = Place {
                service: service.to_string(),
                zone: ZONE.to_owned(),
                app: SocketAddrV4::new(ip, ports.app),
                outbound: SocketAddrV4::new(ip, ports.outbound),
                control: SocketAddrV4::new(ip, ports.control),
            };
            let mut fields = common(&name, ip);
            fields.extend([
                ("service", place.service.clone()),
                ("app", place.app.to_string()),
                ("listen.outbound", place.outbound.to_string()),
                ("listen.control", place.control.to_string()),
                ("heartbeatIntervalMs", HEARTBEAT_INTERVAL.as_millis().to_string()),
            ]);
            side_nodes.push(Node::start("agent", &name, &fields, &folder, &record));
            places.push(place);
        }
        // Backends start after the nodes of their machines.
        thread::sleep(Duration::from_millis(500));
        let backends =
            places.iter().map(|place| Backend::start(place, unix_ms(), &record)).collect();
        let addresses =
            (1..=fronts).map(|n| SocketAddrV4::new(ports.front(n), ports.datagram)).collect();
        let routers = Routers::start(addresses, ports.ready);
        let system = Self {
            ports,
            store,
            fronts: front_nodes,
            sides: side_nodes,
            backends,
            places,
            routers,
            record,
            consumers: 0,
            _folder: folder,
        };
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let listed = system.store.keys("yuccacroft/agents/").len();
            if system.routers.ready() == usize::from(fronts) && listed == services.len() {
                // The list of agents counts as complete two seconds after the first listing.
                thread::sleep(Duration::from_secs(3));
                return Some(system);
            }
            thread::sleep(Duration::from_millis(50));
        }
        system.record.add("the system did not start");
        None
    }

    /// Creates a consumer with an address of its own.
    pub fn consumer(&mut self) -> Consumer {
        self.consumers += 1;
        let ip = self.ports.consumer(self.consumers);
        Consumer::new(ip, self.ports.datagram, &self.routers, &self.record)
    }
}
