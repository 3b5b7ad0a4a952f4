//! The demo: the whole system on the loopback interface, in one process.

use {
    crate::{
        errors::{Error, Result},
        logs,
    },
    bytes::Bytes,
    slog::Logger,
    std::{
        net::{SocketAddr, SocketAddrV4, UdpSocket},
        time::Duration,
    },
    yuccacroft_agent::{endpoint, process as agent},
    yuccacroft_balancer::{
        control::{CONTRACTS, Mesh},
        process as balancer,
    },
    yuccacroft_core::{
        ids::{Instance, Revision},
        key::Secret,
        units::Weight,
    },
    yuccacroft_fakes::{
        caller::{self, Caller},
        certificate::Certificate,
        fabric::Fabric,
        store::Store,
        upstream::Upstream,
    },
    yuccacroft_platform::{etcd::Gateway, store::Store as _},
};

const BALANCERS: usize = 3;
const AGENTS: usize = 3;
const WORK: Duration = Duration::from_millis(20);
const SERVICE_NAME: &str = "booking.kampvuur.example";
const KEY: [u8; 32] = [7; 32];
const MESH_KEY: [u8; 32] = [9; 32];

/// Runs the demo. An error means that an answer was not whole.
pub async fn run() -> Result<()> {
    play().await.map_err(|error| Error::Demo(error.to_string().into()))
}

async fn play() -> std::result::Result<(), caller::Error> {
    let log = logs::silent();
    let service = free_address()?;
    let store = Store::start("127.0.0.1:0".parse()?).await?;
    let gateway = Gateway::new(store.address(), Duration::from_secs(1));
    let key = format!("{CONTRACTS}kampvuur");
    gateway.put(&key, &contract(service), Revision::default()).await?;

    let mut balancers = Vec::new();
    let (mut packets, mut controls) = (Vec::new(), Vec::new());
    let peers = (0..BALANCERS).map(|_| free_tcp()).collect::<std::io::Result<Vec<_>>>()?;
    for index in 0..BALANCERS {
        let settings = balancer_settings(index, &peers, store.address())?;
        packets.push(settings.packets);
        controls.push(settings.control);
        balancers.push(balancer::Process::new(settings, log.clone()).serve().await?);
    }
    let certificate = Certificate::new(SERVICE_NAME);
    let mut agents = Vec::new();
    let mut upstreams = Vec::new();
    for index in 0..AGENTS {
        let upstream =
            Upstream::start(&format!("upstream-{index}"), "127.0.0.1:0".parse()?, WORK).await?;
        agents.push(start_agent(index, &upstream, &controls, &certificate, &log).await?);
        upstreams.push(upstream);
    }
    let _fabric = Fabric::start(&[service], packets, 1).await?;
    let mut caller = Caller::connect(service, SERVICE_NAME, &certificate.certificate).await?;
    let mut board = caller.feed("/board").await?;
    board.next().await?;
    let answer = caller.reserve("seat-1", Bytes::from_static(b"two seats")).await?;
    println!("reservation: {} {}", answer.status, String::from_utf8_lossy(&answer.body));
    println!("demo ok");
    Ok(())
}

async fn start_agent(
    index: usize,
    upstream: &Upstream,
    controls: &[SocketAddr],
    certificate: &Certificate,
    log: &Logger,
) -> std::result::Result<agent::Process<agent::Serving>, caller::Error> {
    let settings = agent::Settings {
        name: format!("agent-{index}").parse()?,
        domain: format!("vlaanderen-{}", index % 3).parse()?,
        customer: "kampvuur".parse()?,
        service: "booking".parse()?,
        key: Secret::new(KEY),
        capsules: Instance::new(free_v4()?),
        balancers: controls.into(),
        upstream: upstream.address(),
        weight: Weight::new(100),
        certificate: endpoint::Certificate {
            chain: vec![certificate.certificate.clone()],
            key: certificate.key.clone_key(),
        },
    };
    Ok(agent::Process::new(settings, log.clone()).serve().await?)
}

fn balancer_settings(
    index: usize,
    peers: &[SocketAddr],
    store: SocketAddr,
) -> std::result::Result<balancer::Settings, caller::Error> {
    Ok(balancer::Settings {
        name: format!("balancer-{index}").parse()?,
        domain: format!("vlaanderen-{}", index % 3).parse()?,
        packets: free_address()?,
        capsules: free_v4()?,
        control: peers[index],
        store,
        mesh: Some(Mesh { key: Secret::new(MESH_KEY), peers: peers.into() }),
        threads: 1,
    })
}

fn contract(service: SocketAddr) -> String {
    let key = Secret::new(KEY);
    format!(
        "[customer]\nname = kampvuur\nkey = {key}\ncapacity = 28\n\n[service booking]\n\
         addresses = {service}\nslots = 4\nconnections = 2000\nupstreams_max = 7\nshare = 28\n"
    )
}

fn free_address() -> std::io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

fn free_tcp() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn free_v4() -> std::result::Result<SocketAddrV4, caller::Error> {
    match free_address()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err("loopback is not IPv4".into()),
    }
}
