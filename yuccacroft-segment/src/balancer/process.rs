//! The life cycle of a balancer process.

use {
    super::{
        controllers::Controllers,
        relay::{Relay, Setup},
    },
    crate::{
        clock::BootClock,
        dump,
        errors::{Error, Result},
        flow_log::FlowLog,
        host::{Host, Server},
        platform::{Platform, Socket},
        process::{Draining, Process, Starting},
    },
    axum::Router,
    slog::{Logger, info},
    std::{net::SocketAddrV4, sync::Arc, time::Duration},
    yuccacroft_core::{
        ids::{Domain, Process as Name},
        requirements::Requirements,
        time::Span,
    },
    yuccacroft_rpc::tasks::Tasks,
};

/// Time without a segment after which the routers no longer use this process: they query its
/// readiness twice a second and react to the second failure.
const IDLE_THRESHOLD: Span = Span::from_millis(1_200);
/// Time between checks for the last segment during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the grace period that is reserved for the exit of the process.
const SHUTDOWN_RESERVE: Span = Span::from_millis(800);

/// The validated settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the process in logs and state dumps.
    pub name: Name,
    /// The failure domain of the balancer.
    pub domain: Domain,
    /// The address that receives segments from callers. Callers use the same port.
    pub segments: SocketAddrV4,
    /// The address that receives messages from agents.
    pub messages: SocketAddrV4,
    /// The address of the readiness endpoint for routers.
    pub ready: SocketAddrV4,
    /// The address of the store.
    pub store: SocketAddrV4,
    /// The time from the stop signal until the process is killed.
    pub grace: Span,
    /// The requirements of the deployment.
    pub requirements: Requirements,
    /// The time that a flow has to gain to be worth its bytes between failure domains.
    pub crossing_price: Span,
}

/// The state in which the process forwards segments.
pub struct Serving<P: Platform> {
    controllers: Arc<Controllers<P>>,
    relay: Arc<Relay<P::Format, Socket<P>>>,
    tasks: Tasks,
    servers: Vec<Server>,
    grace: Span,
    log: Logger,
}

impl<P: Platform> Process<Starting<P, Settings>> {
    /// Binds the sockets and starts all tasks.
    pub async fn serve(self) -> Result<Process<Serving<P>>> {
        let Starting { platform, settings, log } = self.state;
        let host = platform.host();
        let clock = BootClock::new(host.clone());
        let setup = Setup {
            callers: host.bind("segments", settings.segments)?,
            agents: host.bind("messages", settings.messages)?,
            origin: settings.messages,
            caller_port: settings.segments.port(),
            domain: settings.domain.clone(),
            requirements: settings.requirements,
            crossing_price: settings.crossing_price,
        };
        let relay =
            Arc::new(Relay::new(platform.format(), setup, clock, FlowLog::new(log.clone())));
        let controllers = Arc::new(Controllers::new(platform.clone(), relay.clone()));
        let store = platform.store_client(settings.store.into());
        let readiness_routes = platform.readiness_routes(controllers.clone());
        let servers = vec![host.serve("ready", settings.ready, readiness_routes, &log).await?];
        info!(log, "started"; "role" => "balancer", "domain" => %settings.domain,
            "segments" => %settings.segments, "messages" => %settings.messages,
            "store" => %settings.store, "release" => env!("CARGO_PKG_VERSION"));
        let mut tasks = Tasks::new(log.clone());
        tasks.supervise("segments", &relay, |relay| async move { relay.receive_segments().await });
        tasks.supervise("messages", &relay, |relay| async move { relay.receive_messages().await });
        tasks.supervise(
            "configuration",
            &(controllers.clone(), store.clone()),
            |(controllers, store)| async move { controllers.watch_configuration(&store).await },
        );
        tasks.supervise(
            "members",
            &(controllers.clone(), store),
            |(controllers, store)| async move { controllers.watch_members(&store).await },
        );
        tasks.supervise("timers", &controllers, |controllers| async move {
            controllers.run_timers().await
        });
        let grace = settings.grace;
        Ok(Process { state: Serving { controllers, relay, tasks, servers, grace, log } })
    }
}

impl<P: Platform> Process<Serving<P>> {
    /// Returns routes that serve a dump of the process's state.
    pub fn dump(&self) -> Router {
        let controllers = self.state.controllers.clone();
        dump::routes(move || controllers.dump())
    }

    /// Waits until a task has ended that the process cannot serve without.
    pub async fn failed(&mut self) -> Error {
        Error::Task(self.state.tasks.ended().await)
    }

    /// Starts the shutdown: the readiness endpoint reports that the process is not ready.
    pub fn drain(self) -> Process<Draining<Serving<P>>> {
        let serving = self.state;
        info!(serving.log, "stopping"; "flows" => serving.relay.table.len());
        serving.controllers.stop();
        Process { state: Draining { serving } }
    }
}

impl<P: Platform> Process<Draining<Serving<P>>> {
    /// Forwards segments until routers send no more, or the grace period is nearly over.
    pub async fn stop(self) {
        let Serving { relay, mut tasks, servers, grace, log, .. } = self.state.serving;
        let started = relay.clock.now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = relay.clock.now();
            let waited = now.since(started);
            if waited >= grace - SHUTDOWN_RESERVE
                || (waited >= IDLE_THRESHOLD && relay.idle_time(now) >= IDLE_THRESHOLD)
            {
                break;
            }
        }
        tasks.shutdown().await;
        drop(servers);
        info!(log, "stopped"; "flows" => relay.table.len(), "searches" => relay.searches.len());
    }
}
