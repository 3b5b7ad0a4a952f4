//! The life cycle of an agent process.

use {
    super::{
        announcer::Announcer,
        controllers::Controllers,
        relay::{Relay, Setup},
        state::AgentState,
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
    tokio::{sync::Mutex, task::AbortHandle},
    yuccacroft_core::{
        flow::AgentId,
        ids::{Domain, Instance, Process as Name},
        limits::Tolerance,
        requirements::Requirements,
        route::ServiceName,
        time::Span,
        upstream::Monitor,
    },
    yuccacroft_rpc::tasks::Tasks,
};

/// Time between checks for the upstream's exit during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the grace period that is reserved for the exit of the process.
const SHUTDOWN_RESERVE: Span = Span::from_millis(1_200);
/// Time for which the last segments of an upstream are forwarded after its exit.
const LINGER: Duration = Duration::from_millis(300);

/// The validated settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the process in logs and state dumps.
    pub name: Name,
    /// The failure domain of the agent.
    pub domain: Domain,
    /// The service of the upstream.
    pub service: ServiceName,
    /// The address that receives messages from balancers and other agents.
    pub messages: SocketAddrV4,
    /// The address that receives segments from the upstream.
    pub outbound: SocketAddrV4,
    /// The address at which the upstream receives segments and accepts TCP connections.
    pub upstream: SocketAddrV4,
    /// The address of the endpoints for the upstream's reports.
    pub reports: SocketAddrV4,
    /// The time between reports of the upstream.
    pub report_interval: Span,
    /// The address of the readiness endpoint.
    pub ready: SocketAddrV4,
    /// The port of all callers.
    pub caller_port: u16,
    /// The address of the store.
    pub store: SocketAddrV4,
    /// The time from the stop signal until the process is killed.
    pub grace: Span,
    /// The requirements of the deployment.
    pub requirements: Requirements,
    /// By how much new flows may exceed the rate of an upstream that warms up.
    pub tolerance: Tolerance,
}

/// The state in which the process accepts flows.
pub struct Serving<P: Platform> {
    relay: Arc<Relay<P::Format, Socket<P>>>,
    announcer: Arc<Mutex<Announcer<P>>>,
    announcer_task: AbortHandle,
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
        let incarnation = host.incarnation();
        let agent_id = AgentId { instance: Instance::new(settings.messages), incarnation };
        let setup = Setup {
            messages: host.bind("messages", settings.messages)?,
            outbound: host.bind("outbound", settings.outbound)?,
            upstream: host.connect("upstream", settings.upstream).await?,
            caller_port: settings.caller_port,
            agent_id,
        };
        let target = settings.service.target();
        let monitor = Monitor::new(target, settings.report_interval);
        let state = AgentState::new(target, monitor)
            .with_requirements(settings.requirements)
            .with_tolerance(settings.tolerance);
        let state = Arc::new(state);
        let flow_log = FlowLog::new(log.clone());
        let relay = Arc::new(Relay::new(platform.format(), setup, state, clock, flow_log));
        let controllers =
            Arc::new(Controllers::new(host.clone(), relay.clone(), settings.upstream));
        let report_routes = platform.report_routes(controllers.clone());
        let readiness_routes = platform.readiness_routes(controllers.clone());
        let servers = vec![
            host.serve("reports", settings.reports, report_routes, &log).await?,
            host.serve("ready", settings.ready, readiness_routes, &log).await?,
        ];
        info!(log, "started"; "role" => "agent", "domain" => %settings.domain,
            "service" => %settings.service, "messages" => %settings.messages,
            "upstream" => %settings.upstream, "store" => %settings.store,
            "incarnation" => %incarnation, "release" => env!("CARGO_PKG_VERSION"));
        let mut tasks = Tasks::new(log.clone());
        tasks.supervise("messages", &relay, |relay| async move { relay.receive_messages().await });
        tasks.supervise("outbound", &relay, |relay| async move { relay.receive_outbound().await });
        tasks.supervise(
            "port errors",
            &relay,
            |relay| async move { relay.receive_port_errors().await },
        );
        tasks.supervise("timers", &controllers, |controllers| async move {
            controllers.run_timers().await
        });
        let announcer = Announcer::new(relay.clone(), controllers, &platform, &settings);
        let announcer = Arc::new(Mutex::new(announcer));
        let announcer_task = tasks.supervise("announcer", &announcer, |announcer| async move {
            announcer.lock().await.run().await
        });
        let grace = settings.grace;
        Ok(Process {
            state: Serving { relay, announcer, announcer_task, tasks, servers, grace, log },
        })
    }
}

impl<P: Platform> Process<Serving<P>> {
    /// Returns routes that serve a dump of the process's state.
    pub fn dump(&self) -> Router {
        let relay = self.state.relay.clone();
        dump::routes(move || relay.dump())
    }

    /// Waits until a task has ended that the process cannot serve without.
    pub async fn failed(&mut self) -> Error {
        Error::Task(self.state.tasks.ended().await)
    }

    /// Starts the shutdown: the process accepts no new flows.
    pub fn drain(self) -> Process<Draining<Serving<P>>> {
        let serving = self.state;
        info!(serving.log, "stopping"; "flows" => %serving.relay.state.table.open_flows());
        serving.relay.stop();
        Process { state: Draining { serving } }
    }
}

impl<P: Platform> Process<Draining<Serving<P>>> {
    /// Forwards segments until the upstream has exited or the grace period is nearly over.
    pub async fn stop(self) {
        let Serving { relay, announcer, announcer_task, mut tasks, servers, grace, log } =
            self.state.serving;
        // Cancels a running store call. The calls of the shutdown follow.
        announcer_task.abort();
        let mut announcer = announcer.lock().await;
        let started = relay.clock.now();
        let has_exited = || relay.state.has_no_upstream();
        let in_time = || relay.clock.now().since(started) < grace - SHUTDOWN_RESERVE;
        if !has_exited() {
            announcer.write_last().await;
        }
        while !has_exited() && in_time() {
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = announcer.wait_until_unlisted() => announcer.write_again().await,
            }
        }
        let upstream_gone = has_exited();
        if upstream_gone {
            tokio::time::sleep(LINGER).await;
            announcer.remove(in_time).await;
        }
        tasks.shutdown().await;
        drop(servers);
        info!(log, "stopped"; "flows" => %relay.state.table.open_flows(),
            "upstream_gone" => upstream_gone);
    }
}
