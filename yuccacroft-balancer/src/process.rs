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
    tokio::task::AbortHandle,
    yuccacroft_core::ids::{Domain, Process as Name},
    yuccacroft_rpc::{admin::Access, clock::Clock, server, tasks::Tasks},
    yuccacroft_store::etcd::EtcdClient,
};

/// Time for which a balancer continues to forward after the stop signal. Agents send their
/// replies to another balancer after one second without a packet from this one.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The validated settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the process in logs and state dumps.
    pub name: Name,
    /// The failure domain of the balancer.
    pub domain: Domain,
    /// The address of the socket for packets from the fabric.
    pub packets: SocketAddr,
    /// The address of the socket for capsules from agents.
    pub capsules: SocketAddrV4,
    /// The address for control messages.
    pub control: SocketAddr,
    /// The address of the JSON gateway of etcd.
    pub store: SocketAddr,
    /// The mesh settings; without them all contracts come from the store.
    pub mesh: Option<Mesh>,
    /// Number of worker tasks for each direction of the packet path.
    pub threads: usize,
}

/// The process has its settings and no sockets yet.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
    log: Logger,
    admin: Option<Access>,
}

/// The process forwards packets and handles control messages.
pub struct Serving {
    tasks: Tasks,
    server: AbortHandle,
    controllers: Arc<Controllers>,
    log: Logger,
}

/// The process forwards packets and accepts no control messages.
#[derive(Debug)]
pub struct Draining {
    tasks: Tasks,
    log: Logger,
}

/// A balancer process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    state: S,
}

impl Process<Starting> {
    /// Creates a process that has not started yet.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { state: Starting { settings, log, admin: None } }
    }

    /// Sets the access to the administration interface; `None` leaves it closed.
    pub fn with_admin(mut self, admin: Option<Access>) -> Self {
        self.state.admin = admin;
        self
    }

    /// Opens the sockets and starts to serve. Fails when a socket cannot be bound.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log, admin } = self.state;
        let services = Arc::new(ServiceTable::new());
        let clock = Clock::new();
        let setup = Setup {
            control: settings.control,
            domain: settings.domain.clone(),
            mesh: settings.mesh.clone(),
        };
        let controllers = Arc::new(Controllers::new(setup, services.clone(), clock, log.clone()));
        let packets = BatchedSocket::bind("packets", settings.packets)?;
        let capsules = BatchedSocket::bind("capsules", settings.capsules.into())?;
        let relay = Arc::new(Relay::new(packets, capsules, settings.capsules, services));
        let listener = server::bind("control", settings.control).await?;
        let mut tasks = Tasks::new(log.clone());
        for _ in 0..settings.threads.max(1) {
            spawn_relay(&mut tasks, &relay, &log);
        }
        let store = Arc::new(EtcdClient::new(settings.store, STORE_TIMEOUT));
        let capacity_server =
            Arc::new(CapacityServer::new(store.clone(), controllers.clone(), clock, log.clone()));
        tasks.supervise(
            "contracts",
            &(controllers.clone(), store),
            |(controllers, store)| async move { controllers.watch_contracts(&*store).await },
        );
        tasks.supervise("timers", &controllers, |controllers| async move {
            controllers.run_timers().await
        });
        tasks.supervise("tables", &controllers, |controllers| async move {
            controllers.run_table_updates().await
        });
        let router = controllers.router().merge(capacity_server.router());
        let server = tasks.spawn("control", server::serve(listener, router));
        if let Some(access) = admin {
            let (name, domain) = (settings.name.clone(), settings.domain.clone());
            let store = EtcdClient::new(settings.store, STORE_TIMEOUT);
            let admin = Admin::new(name, domain, clock, controllers.clone(), store);
            spawn_admin(&mut tasks, admin, access).await?;
        }
        info!(log, "serving"; "name" => %settings.name, "domain" => %settings.domain);
        Ok(Process { state: Serving { tasks, server, controllers, log } })
    }
}

impl std::fmt::Debug for Serving {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Serving(..)")
    }
}

impl Process<Serving> {
    /// Returns the controllers.
    pub fn controllers(&self) -> &Arc<Controllers> {
        &self.state.controllers
    }

    /// Waits until a task has ended that the process cannot serve without.
    pub async fn failed(&mut self) -> Error {
        Error::Task(self.state.tasks.ended().await)
    }

    /// Stops accepting announcements, so that agents and the fabric use the other balancers, and
    /// continues to forward.
    pub fn drain(self) -> Process<Draining> {
        let Serving { mut tasks, server, controllers, log } = self.state;
        tasks.spawn("leave", async move { controllers.leave().await });
        server.abort();
        info!(log, "draining");
        Process { state: Draining { tasks, log } }
    }
}

impl Process<Draining> {
    /// Forwards the remaining packets for a short time, then ends. Flows continue through the other
    /// balancers, since this one keeps no state that they need.
    pub async fn stop(mut self) {
        tokio::time::sleep(DRAIN_TIME).await;
        self.state.tasks.shutdown().await;
        info!(self.state.log, "stopped");
    }
}

async fn spawn_admin(tasks: &mut Tasks, admin: Admin<EtcdClient>, access: Access) -> Result<()> {
    let listener = server::bind("admin", access.listen).await?;
    let router = admin.router(&access);
    tasks.spawn("admin", server::serve(listener, router));
    Ok(())
}

/// Starts a task for each direction of the packet path. Their errors can be of short duration, so
/// they are started again.
fn spawn_relay(tasks: &mut Tasks, relay: &Arc<Relay>, log: &Logger) {
    tasks.supervise("packets", &(relay.clone(), log.clone()), |(relay, log)| async move {
        if let Err(cause) = relay.forward().await {
            error!(log, "relay failed"; "error" => %cause);
        }
    });
    tasks.supervise("capsules", &(relay.clone(), log.clone()), |(relay, log)| async move {
        if let Err(cause) = relay.return_replies().await {
            error!(log, "relay failed"; "error" => %cause);
        }
    });
}
