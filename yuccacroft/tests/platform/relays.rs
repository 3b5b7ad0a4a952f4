//! Relays between all balancers and all agents of a deployment, with faults of the paths.

use {
    crate::deployment::{AGENT_KEY_PREFIX, Deployment},
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
        time::Duration,
    },
    tokio::task::JoinSet,
    yuccacroft_emulator::store::{Fault as StoreFault, Store},
    yuccacroft_fakes::{
        tcp_proxy::TcpProxy,
        udp_relay::{Fault, Paths, UdpRelay},
    },
};

/// Number of the machine of the balancers' store.
const STORE_MACHINE: u8 = 3;
/// Difference between the numbers of the machines of a relay and of its agent.
const RELAY_OFFSET: u8 = 100;
/// Interval at which changes of the agents' store are copied to that of the balancers.
const COPY_INTERVAL: Duration = Duration::from_millis(10);
/// Prefixes of the keys that balancers read.
const COPIED_PREFIXES: [&str; 2] = [AGENT_KEY_PREFIX, "op/"];
/// Time after which the list of agents of a started balancer counts as complete, so that it searches
/// for owners.
const LISTING_TIME: Duration = Duration::from_millis(2_200);
/// Loss of all datagrams.
const ALL_LOST: u8 = 100;

/// Relays in front of all agents. The balancers have a store of their own, a copy of that of the
/// agents, in which each agent has the address of its relay.
pub struct Relays {
    /// The proxy through which the balancers reach their store.
    pub store_proxy: TcpProxy,
    paths: Arc<Paths>,
    store: Arc<Store>,
    agents: Vec<Ipv4Addr>,
    _relays: Vec<UdpRelay>,
    _copying: JoinSet<()>,
}

impl Relays {
    /// Starts the relays and restarts all balancers with the store that lists them. The seed selects
    /// the datagrams that are lost.
    pub async fn start(deployment: &mut Deployment, seed: u64) -> Self {
        let paths = Arc::new(Paths::new(seed));
        let (mut relays, mut addresses) = (Vec::new(), Vec::new());
        let agents: Vec<_> = deployment.agents.iter().map(|agent| agent.node.machine).collect();
        for agent in &agents {
            let relay = deployment.machine(agent.ip().octets()[3] + RELAY_OFFSET).segments();
            relays.push(UdpRelay::start(relay, agent.segments(), paths.clone()).await.unwrap());
            addresses.push((agent.segments().to_string(), relay.to_string()));
        }
        let store = Arc::new(deployment.start_store(STORE_MACHINE).await);
        let mut copying = JoinSet::new();
        copying.spawn(copy_entries(deployment.store.clone(), store.clone(), addresses));
        let own = deployment.machine(STORE_MACHINE).store();
        let store_proxy = TcpProxy::start(own.into()).await.unwrap();
        let relays = Self {
            store_proxy,
            paths,
            store,
            agents: agents.iter().map(|machine| machine.ip()).collect(),
            _relays: relays,
            _copying: copying,
        };
        relays.restart_balancers(deployment).await;
        relays
    }

    async fn restart_balancers(&self, deployment: &mut Deployment) {
        let shared = deployment.store_proxy.address().to_string();
        let own = self.store_proxy.address().to_string();
        let joined = |log: String| log.matches("change=Joined").count();
        let mut expected = Vec::new();
        for balancer in &mut deployment.balancers {
            balancer.edit_settings(|text| text.replace(&shared, &own));
            balancer.kill();
            expected.push(joined(balancer.log()) + self.agents.len());
            balancer.restart();
        }
        for index in 0..deployment.balancers.len() {
            deployment.wait_for_readiness(index, true).await;
        }
        let knows_all = || {
            let mut balancers = deployment.balancers.iter().zip(&expected);
            balancers.all(|(balancer, expected)| joined(balancer.log()) >= *expected)
        };
        deployment.wait_until("knowledge of all relays", knows_all).await;
        tokio::time::sleep(LISTING_TIME).await;
    }

    /// Sets the fault of the path between a balancer and an agent.
    pub fn set_fault(&self, balancer: Ipv4Addr, agent: usize, fault: Fault) {
        self.paths.set_fault(IpAddr::V4(balancer), IpAddr::V4(self.agents[agent]), fault);
    }

    /// Limits the rate of the link of a balancer to all agents.
    pub fn set_rate(&self, balancer: Ipv4Addr, bytes_per_second: u32) {
        self.paths.set_rate(IpAddr::V4(balancer), Some(bytes_per_second));
    }

    /// Ends all faults of the paths of a balancer.
    pub fn repair(&self, balancer: Ipv4Addr) {
        (0..self.agents.len()).for_each(|agent| self.set_fault(balancer, agent, Fault::default()));
        self.paths.set_rate(IpAddr::V4(balancer), None);
    }

    /// Sets the fault of the store of the balancers.
    pub fn set_store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }
}

/// Returns the fault of a path on which no datagram reaches the agent.
pub fn silent_requests() -> Fault {
    Fault { lost_requests: ALL_LOST, ..Fault::default() }
}

/// Returns the fault of a path on which no datagram of the agent arrives.
pub fn silent_answers() -> Fault {
    Fault { lost_answers: ALL_LOST, ..Fault::default() }
}

/// Copies changes from one store to another and replaces the addresses of agents by those of their
/// relays. It does not return.
async fn copy_entries(from: Arc<Store>, to: Arc<Store>, addresses: Vec<(String, String)>) {
    let translate = |text: &str| {
        let replace = |text: String, (agent, relay): &(String, String)| text.replace(agent, relay);
        addresses.iter().fold(text.to_owned(), replace)
    };
    let mut copied: BTreeMap<String, String> = BTreeMap::new();
    loop {
        let keys = COPIED_PREFIXES.into_iter().flat_map(|prefix| from.keys(prefix));
        let entries: BTreeMap<String, String> =
            keys.filter_map(|key| Some((translate(&key), translate(&from.read(&key)?)))).collect();
        for (key, value) in entries.iter().filter(|(key, value)| copied.get(*key) != Some(*value)) {
            to.write(key, value);
        }
        copied.keys().filter(|key| !entries.contains_key(*key)).for_each(|key| to.remove(key));
        copied = entries;
        tokio::time::sleep(COPY_INTERVAL).await;
    }
}
