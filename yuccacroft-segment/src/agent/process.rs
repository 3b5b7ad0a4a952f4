//! The life cycle of an agent process.

use {
    super::{
        announcer::Announcer,
        chain::Beliefs,
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
    tokio::{
        sync::Mutex,
        task::{AbortHandle, JoinSet},
    },
    yuccacroft_core::{
        flow::Hop,
        ids::{Domain, Instance, Process as Name},
        route::Name as ServiceName,
        time::Span,
        upstream::Monitor,
    },
    yuccacroft_rpc::clock::Clock,
};

/// Pause between two looks at the upstream while the process ends.
const STEP: Duration = Duration::from_millis(100);
/// Part of the grace period that is left for the end of the process.
const RESERVE: Span = Span::from_millis(1_200);
/// Time for which the last segments of an upstream that has ended are forwarded.
const LINGER: Duration = Duration::from_millis(300);

/// The checked settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name in logs and state dumps.
    pub name: Name,
    /// The failure domain.
    pub domain: Domain,
    /// The service of the upstream.
    pub service: ServiceName,
    /// Where messages of balancers and other agents arrive.
    pub messages: SocketAddrV4,
    /// Where the upstream sends its segments.
    pub outbound: SocketAddrV4,
    /// Where the upstream receives segments and accepts connections.
    pub upstream: SocketAddrV4,
    /// Where the upstream reports.
    pub reports: SocketAddrV4,
    /// Time between two reports of the upstream.
    pub report_interval: Span,
    /// Where the process says whether it is ready.
    pub ready: SocketAddrV4,
    /// The port at which callers are reached.
    pub caller_port: u16,
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

/// The process takes flows.
pub struct Serving<P: Platform> {
    relay: Arc<Relay<P::Format, Socket<P>>>,
    announcer: Arc<Mutex<Announcer<P>>>,
    announcing: AbortHandle,
    tasks: JoinSet<()>,
    servers: Vec<Server>,
    grace: Span,
    log: Logger,
}

/// The process takes no new flows and still forwards for the ones that it has.
pub struct Draining<P: Platform> {
    serving: Serving<P>,
}

/// An agent process in one state of its life cycle.
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
        let incarnation = host.incarnation();
        let own = Hop { instance: Instance::new(settings.messages), incarnation };
        let setup = Setup {
            messages: host.bind("messages", settings.messages)?,
            outbound: host.bind("outbound", settings.outbound)?,
            upstream: host.connect("upstream", settings.upstream).await?,
            caller_port: settings.caller_port,
            own,
        };
        let target = settings.service.target();
        let monitor = Monitor::new(target, settings.report_interval);
        let beliefs = Arc::new(Beliefs::new(target, incarnation, monitor));
        let journal = Journal::new(log.clone());
        let relay = Arc::new(Relay::new(platform.format(), setup, beliefs, clock, journal));
        let control = Arc::new(Controllers::new(host.clone(), relay.clone(), settings.upstream));
        let report_routes = platform.report_routes(control.clone());
        let readiness = platform.readiness_routes(control.clone());
        let servers = vec![
            host.serve("reports", settings.reports, report_routes, &log).await?,
            host.serve("ready", settings.ready, readiness, &log).await?,
        ];
        info!(log, "started"; "role" => "agent", "domain" => %settings.domain,
            "service" => %settings.service, "messages" => %settings.messages,
            "upstream" => %settings.upstream, "store" => %settings.store,
            "incarnation" => %incarnation, "release" => env!("CARGO_PKG_VERSION"));
        let mut tasks = JoinSet::new();
        let path = relay.clone();
        tasks.spawn(async move { path.serve_messages().await });
        let path = relay.clone();
        tasks.spawn(async move { path.serve_outbound().await });
        let path = relay.clone();
        tasks.spawn(async move { path.serve_refusals().await });
        let ticker = control.clone();
        tasks.spawn(async move { ticker.tick().await });
        let announcer = Announcer::new(relay.clone(), control, &platform, &settings);
        let announcer = Arc::new(Mutex::new(announcer));
        let writer = announcer.clone();
        let announcing = tasks.spawn(async move { writer.lock().await.run().await });
        let grace = settings.grace;
        Ok(Process { state: Serving { relay, announcer, announcing, tasks, servers, grace, log } })
    }
}

impl<P: Platform> Process<Serving<P>> {
    /// Returns routes that show what the process believes.
    pub fn dump(&self) -> Router {
        let relay = self.state.relay.clone();
        dump::routes(move || relay.dump())
    }

    /// Begins the shutdown.
    pub fn drain(self) -> Process<Draining<P>> {
        let serving = self.state;
        info!(serving.log, "stopping"; "flows" => %serving.relay.beliefs.table.open());
        serving.relay.stop();
        Process { state: Draining { serving } }
    }
}

impl<P: Platform> Process<Draining<P>> {
    /// Forwards until the upstream has ended, or the grace period is nearly over.
    pub async fn stop(self) {
        let Serving { relay, announcer, announcing, mut tasks, servers, grace, log } =
            self.state.serving;
        // A call under way is given up; the last call follows it.
        announcing.abort();
        let mut announcer = announcer.lock().await;
        let begun = relay.clock.now();
        let ended = || relay.beliefs.is_alone();
        let in_time = || relay.clock.now().since(begun) < grace - RESERVE;
        if !ended() {
            announcer.conclude().await;
        }
        while !ended() && in_time() {
            tokio::time::sleep(STEP).await;
        }
        let gone = ended();
        if gone {
            tokio::time::sleep(LINGER).await;
            announcer.remove(in_time).await;
        }
        tasks.shutdown().await;
        drop(servers);
        info!(log, "stopped"; "flows" => %relay.beliefs.table.open(), "upstream_gone" => gone);
    }
}
