//! The life cycle of a balancer process.

use {
    super::{
        controllers::Controllers,
        relay::{Relay, Setup},
    },
    crate::{
        dump,
        errors::Result,
        host::{Host, Server},
        journal::Journal,
        platform::{Platform, Socket},
    },
    axum::Router,
    slog::{Logger, info},
    std::{net::SocketAddrV4, sync::Arc, time::Duration},
    tokio::task::JoinSet,
    yuccacroft_core::{
        ids::{Domain, Process as Name},
        time::Span,
    },
    yuccacroft_rpc::clock::Clock,
};

/// Time without a segment after which the routers have moved: they ask twice a second and act
/// after two misses.
const QUIET: Span = Span::from_millis(1_200);
/// Pause between two looks at the routers.
const STEP: Duration = Duration::from_millis(100);
/// Part of the grace period that is left for the end of the process.
const RESERVE: Span = Span::from_millis(800);

/// The checked settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name in logs and state dumps.
    pub name: Name,
    /// The failure domain.
    pub domain: Domain,
    /// Where segments of callers arrive. Its port is the port of the callers too.
    pub segments: SocketAddrV4,
    /// Where messages of agents arrive.
    pub messages: SocketAddrV4,
    /// Where routers ask whether the process is ready.
    pub ready: SocketAddrV4,
    /// The address of the store.
    pub store: SocketAddrV4,
    /// Time from the request to stop until the process is killed.
    pub grace: Span,
}

/// The process has its settings and nothing else.
pub struct Starting<P: Platform> {
    platform: P,
    settings: Settings,
    log: Logger,
}

/// The process forwards segments.
pub struct Serving<P: Platform> {
    control: Arc<Controllers<P>>,
    relay: Arc<Relay<P::Format, Socket<P>>>,
    tasks: JoinSet<()>,
    servers: Vec<Server>,
    grace: Span,
    log: Logger,
}

/// The process still forwards segments and tells routers to send them elsewhere.
pub struct Draining<P: Platform> {
    serving: Serving<P>,
}

/// A balancer process in one state of its life cycle.
pub struct Process<S> {
    state: S,
}

impl<P: Platform> Process<Starting<P>> {
    /// Prepares a process.
    pub fn new(platform: P, settings: Settings, log: Logger) -> Self {
        Self { state: Starting { platform, settings, log } }
    }

    /// Opens the sockets and begins to serve.
    pub async fn serve(self) -> Result<Process<Serving<P>>> {
        let Starting { platform, settings, log } = self.state;
        let (host, clock) = (platform.host(), Clock::new());
        let setup = Setup {
            callers: host.bind("segments", settings.segments)?,
            agents: host.bind("messages", settings.messages)?,
            origin: settings.messages,
            caller_port: settings.segments.port(),
            domain: settings.domain.clone(),
        };
        let relay =
            Arc::new(Relay::new(platform.format(), setup, clock, Journal::new(log.clone())));
        let control = Arc::new(Controllers::new(platform.clone(), relay.clone()));
        let store = platform.store_client(settings.store.into());
        let readiness = platform.readiness_routes(control.clone());
        let servers = vec![host.serve("ready", settings.ready, readiness, &log).await?];
        info!(log, "started"; "role" => "balancer", "domain" => %settings.domain,
            "segments" => %settings.segments, "messages" => %settings.messages,
            "store" => %settings.store, "release" => env!("CARGO_PKG_VERSION"));
        let mut tasks = JoinSet::new();
        let path = relay.clone();
        tasks.spawn(async move { path.serve_callers().await });
        let path = relay.clone();
        tasks.spawn(async move { path.serve_agents().await });
        let (follower, client) = (control.clone(), store.clone());
        tasks.spawn(async move { follower.follow_configuration(&client).await });
        let (follower, client) = (control.clone(), store);
        tasks.spawn(async move { follower.follow_members(&client).await });
        let ticker = control.clone();
        tasks.spawn(async move { ticker.tick().await });
        let grace = settings.grace;
        Ok(Process { state: Serving { control, relay, tasks, servers, grace, log } })
    }
}

impl<P: Platform> Process<Serving<P>> {
    /// Returns routes that show what the process believes.
    pub fn dump(&self) -> Router {
        let control = self.state.control.clone();
        dump::routes(move || control.dump())
    }

    /// Begins the shutdown.
    pub fn drain(self) -> Process<Draining<P>> {
        let serving = self.state;
        info!(serving.log, "stopping"; "flows" => serving.relay.table.len());
        serving.control.stop();
        Process { state: Draining { serving } }
    }
}

impl<P: Platform> Process<Draining<P>> {
    /// Forwards until the routers have moved, or the grace period is nearly over.
    pub async fn stop(self) {
        let Serving { relay, mut tasks, servers, grace, log, .. } = self.state.serving;
        let begun = relay.clock.now();
        loop {
            tokio::time::sleep(STEP).await;
            let now = relay.clock.now();
            let waited = now.since(begun);
            if waited >= grace - RESERVE || (waited >= QUIET && relay.quiet(now) >= QUIET) {
                break;
            }
        }
        tasks.shutdown().await;
        drop(servers);
        info!(log, "stopped"; "flows" => relay.table.len(), "searches" => relay.searches.len());
    }
}
