//! The life cycle of a balancer process.

use {
    crate::{
        admin::Admin,
        capacity::CapacityServer,
        controllers::{Controllers, Mesh, Setup},
        errors::{Error, Result},
        relay::Relay,
        service::ServiceTable,
        socket::BatchedSocket,
    },
    slog::{Logger, error, info},
    std::{
        net::{SocketAddr, SocketAddrV4},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
    },
    yuccacroft_core::ids::{Domain, Process as Name},
    yuccacroft_rpc::{admin::Access, clock::Clock},
    yuccacroft_store::etcd::EtcdClient,
};

/// Time for which a balancer forwards after it was told to stop. Agents choose another balancer
/// for their replies after one second without a packet from this one.
const SETTLE: Duration = Duration::from_secs(2);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The checked settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name in logs and state dumps.
    pub name: Name,
    /// The failure domain.
    pub domain: Domain,
    /// Where packets from the fabric arrive.
    pub packets: SocketAddr,
    /// Where capsules from agents arrive.
    pub capsules: SocketAddrV4,
    /// Where control messages arrive.
    pub control: SocketAddr,
    /// The address of the store's gateway.
    pub store: SocketAddr,
    /// The other balancers; without them every contract comes from the store.
    pub mesh: Option<Mesh>,
    /// Threads of each direction of the packet path.
    pub threads: usize,
}

/// The process has its settings and nothing else.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
    log: Logger,
    admin: Option<Access>,
}

/// The process forwards packets.
pub struct Serving {
    tasks: JoinSet<()>,
    server: JoinHandle<()>,
    control: Arc<Controllers>,
    log: Logger,
}

/// The process forwards packets and takes no control messages.
#[derive(Debug)]
pub struct Draining {
    tasks: JoinSet<()>,
    log: Logger,
}

/// A balancer process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    state: S,
}

impl Process<Starting> {
    /// Prepares a process.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { state: Starting { settings, log, admin: None } }
    }

    /// Opens the administration interface too.
    pub fn with_admin(mut self, admin: Option<Access>) -> Self {
        self.state.admin = admin;
        self
    }

    /// Opens the sockets and begins to serve.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log, admin } = self.state;
        let routes = Arc::new(ServiceTable::new());
        let clock = Clock::new();
        let setup = Setup {
            control: settings.control,
            domain: settings.domain.clone(),
            mesh: settings.mesh.clone(),
        };
        let control = Arc::new(Controllers::new(setup, routes.clone(), clock, log.clone()));
        let packets = BatchedSocket::bind("packets", settings.packets)?;
        let capsules = BatchedSocket::bind("capsules", settings.capsules.into())?;
        let relay = Arc::new(Relay::new(packets, capsules, settings.capsules, routes));
        let listener = TcpListener::bind(settings.control)
            .await
            .map_err(|cause| Error::Socket { name: "control", cause })?;
        let mut tasks = JoinSet::new();
        for _ in 0..settings.threads.max(1) {
            spawn_relay(&mut tasks, &relay, &log);
        }
        let store = Arc::new(EtcdClient::new(settings.store, STORE_TIMEOUT));
        let capacity =
            Arc::new(CapacityServer::new(store.clone(), control.clone(), clock, log.clone()));
        let follower = control.clone();
        tasks.spawn(async move { follower.follow(&*store).await });
        let ticker = control.clone();
        tasks.spawn(async move { ticker.tick().await });
        let applier = control.clone();
        tasks.spawn(async move { applier.apply().await });
        let router = control.router().merge(capacity.router());
        let server = tokio::spawn(async move {
            // The server ends with the process; its only error is a broken listener.
            let _ = axum::serve(listener, router).await;
        });
        if let Some(access) = admin {
            let (name, domain) = (settings.name.clone(), settings.domain.clone());
            let store = EtcdClient::new(settings.store, STORE_TIMEOUT);
            let admin = Admin::new(name, domain, clock, control.clone(), store);
            spawn_admin(&mut tasks, admin, access).await?;
        }
        info!(log, "serving"; "name" => %settings.name, "domain" => %settings.domain);
        Ok(Process { state: Serving { tasks, server, control, log } })
    }
}

impl std::fmt::Debug for Serving {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Serving(..)")
    }
}

impl Process<Serving> {
    /// Returns the controllers.
    pub fn control(&self) -> &Arc<Controllers> {
        &self.state.control
    }

    /// Stops taking announcements, so that agents and the fabric turn to the other balancers, and
    /// goes on forwarding.
    pub fn drain(self) -> Process<Draining> {
        let Serving { mut tasks, server, control, log } = self.state;
        tasks.spawn(async move { control.leave().await });
        server.abort();
        info!(log, "draining");
        Process { state: Draining { tasks, log } }
    }
}

impl Process<Draining> {
    /// Forwards what is still on its way, then ends. Flows go on through the other balancers,
    /// since none lives here.
    pub async fn stop(mut self) {
        tokio::time::sleep(SETTLE).await;
        self.state.tasks.shutdown().await;
        info!(self.state.log, "stopped");
    }
}

async fn spawn_admin(
    tasks: &mut JoinSet<()>,
    admin: Admin<EtcdClient>,
    access: Access,
) -> Result<()> {
    let listener = TcpListener::bind(access.listen)
        .await
        .map_err(|cause| Error::Socket { name: "admin", cause })?;
    let router = admin.router(&access);
    tasks.spawn(async move {
        // The server ends with the process; its only error is a broken listener.
        let _ = axum::serve(listener, router).await;
    });
    Ok(())
}

fn spawn_relay(tasks: &mut JoinSet<()>, relay: &Arc<Relay>, log: &Logger) {
    let (forward, back) = (relay.clone(), relay.clone());
    let (log, other) = (log.clone(), log.clone());
    tasks.spawn(async move {
        if let Err(cause) = forward.forward().await {
            error!(log, "relay_failed"; "error" => %cause);
        }
    });
    tasks.spawn(async move {
        if let Err(cause) = back.return_replies().await {
            error!(other, "relay_failed"; "error" => %cause);
        }
    });
}
