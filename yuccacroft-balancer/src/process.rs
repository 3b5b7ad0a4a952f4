//! The life cycle of a balancer process.

use {
    crate::{
        control::{Control, Mesh, Setup},
        errors::{Error, Result},
        relay::{Port, Relay},
        service::Routes,
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
    yuccacroft_platform::etcd::Gateway,
    yuccacroft_rpc::clock::Clock,
};

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
}

/// The process forwards packets.
pub struct Serving {
    tasks: JoinSet<()>,
    server: JoinHandle<()>,
    control: Arc<Control>,
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
        Self { state: Starting { settings, log } }
    }

    /// Opens the sockets and begins to serve.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log } = self.state;
        let routes = Arc::new(Routes::new());
        let setup = Setup {
            control: settings.control,
            domain: settings.domain.clone(),
            mesh: settings.mesh.clone(),
        };
        let control = Arc::new(Control::new(setup, routes.clone(), Clock::new(), log.clone()));
        let packets = Port::bind("packets", settings.packets)?;
        let capsules = Port::bind("capsules", settings.capsules.into())?;
        let relay = Arc::new(Relay::new(packets, capsules, settings.capsules, routes));
        let listener = TcpListener::bind(settings.control)
            .await
            .map_err(|cause| Error::Socket { name: "control", cause })?;
        let mut tasks = JoinSet::new();
        for _ in 0..settings.threads.max(1) {
            spawn_relay(&mut tasks, &relay, &log);
        }
        let store = Gateway::new(settings.store, STORE_TIMEOUT);
        let follower = control.clone();
        tasks.spawn(async move { follower.follow(&store).await });
        let ticker = control.clone();
        tasks.spawn(async move { ticker.tick().await });
        let applier = control.clone();
        tasks.spawn(async move { applier.apply().await });
        let router = control.router();
        let server = tokio::spawn(async move {
            // The server ends with the process; its only error is a broken listener.
            let _ = axum::serve(listener, router).await;
        });
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
    pub fn control(&self) -> &Arc<Control> {
        &self.state.control
    }

    /// Stops the process. Flows go on through the other balancers, since none lives here.
    pub async fn stop(mut self) {
        self.state.control.leave().await;
        self.state.server.abort();
        self.state.tasks.shutdown().await;
        info!(self.state.log, "stopped");
    }
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
