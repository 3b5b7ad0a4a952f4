//! The state of an agent: its flows, its upstream and the waiting requests.

mod admission;
mod workload;

pub use self::admission::Reservation;

use {
    std::{
        net::SocketAddrV4,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    yuccacroft_core::{
        admission::{
            service_times::ServiceTimes, unknown::UnknownRequests, workload::AcceptedFlows,
        },
        backlog::Backlog,
        evacuation::Status,
        handshake::{FlowSource, FlowTable},
        ids::Domain,
        limits::{Limiter, Tolerance},
        outcome::{Labels, Outcomes},
        requirements::Requirements,
        route::Target,
        shards::Shards,
        time::{Moment, Span},
        upstream::Monitor,
    },
};

/// Time after the start of an agent during which its upstream may hold flows from before that
/// start: the longest lifetime of a flow.
const MAX_FLOW_LIFETIME: Span = Span::from_secs(60);
/// Limit of balancers whose failure domain is kept, so that untrusted senders cannot exhaust the memory.
const MAX_BALANCER_DOMAINS: usize = 4_096;

/// The state of an agent: its flows, its upstream and the waiting requests.
#[derive(Debug)]
pub struct AgentState {
    /// The service of the upstream.
    pub target: Target,
    /// The requirements of the deployment.
    pub requirements: Requirements,
    /// The flows, offered ones included.
    pub table: FlowTable,
    monitor: Mutex<Monitor>,
    backlog: Mutex<Backlog>,
    outcomes: Mutex<Outcomes>,
    /// The failure domains of the balancers, as far as they have told them.
    homes: Shards<SocketAddrV4, Domain>,
    service_times: Mutex<ServiceTimes>,
    unknown_requests: Mutex<UnknownRequests>,
    accepted_flows: Mutex<AcceptedFlows>,
    /// The slots of the upstream by another source than its reports, or zero.
    noted_slots: AtomicU32,
    stopping: AtomicBool,
    evacuation: Mutex<Status>,
    limiter: Mutex<Limiter>,
    /// The mean of the open requests, in hundredths.
    mean_requests: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AgentState {
    /// Creates the state of an agent without flows.
    pub fn new(target: Target, monitor: Monitor) -> Self {
        Self {
            target,
            requirements: Requirements::default(),
            table: FlowTable::new(),
            monitor: Mutex::new(monitor),
            backlog: Mutex::default(),
            outcomes: Mutex::default(),
            homes: Shards::with_shards(1),
            service_times: Mutex::default(),
            unknown_requests: Mutex::default(),
            accepted_flows: Mutex::default(),
            noted_slots: AtomicU32::new(0),
            stopping: AtomicBool::new(false),
            evacuation: Mutex::default(),
            limiter: Mutex::new(Limiter::new(Tolerance::default())),
            mean_requests: AtomicU32::new(0),
        }
    }

    /// Sets the requirements of the deployment.
    pub fn with_requirements(self, requirements: Requirements) -> Self {
        let backlog = if requirements.health {
            Mutex::new(Backlog::default().with_shares())
        } else {
            self.backlog
        };
        Self { requirements, backlog, ..self }
    }

    /// Sets by how much new flows may exceed the rate of an upstream that warms up.
    pub fn with_tolerance(self, tolerance: Tolerance) -> Self {
        Self { limiter: Mutex::new(Limiter::new(tolerance)), ..self }
    }

    /// Returns the locked monitor of the upstream.
    pub fn monitor(&self) -> MutexGuard<'_, Monitor> {
        lock(&self.monitor)
    }

    /// Stops accepting new flows. Open flows stay.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns true once the agent accepts no new flows because it shuts down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns true if the upstream has exited or has not reported yet.
    pub fn has_no_upstream(&self) -> bool {
        let monitor = self.monitor();
        monitor.is_gone() || monitor.last_report().is_none()
    }

    /// Returns true if the agent accepts new flows.
    pub fn is_accepting(&self) -> bool {
        let is_evacuated = self.evacuation().is_evacuated();
        !self.is_stopping() && !is_evacuated && self.monitor().is_accepting()
    }

    /// Returns the locked state of the evacuation of the agent's failure domain.
    pub fn evacuation(&self) -> MutexGuard<'_, Status> {
        lock(&self.evacuation)
    }

    /// Returns the locked count of flows and requests against the limits of the service.
    pub fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
    }

    /// Returns the locked queue of waiting requests.
    pub fn backlog(&self) -> MutexGuard<'_, Backlog> {
        lock(&self.backlog)
    }

    /// Returns the locked record of the outcomes of requests.
    pub fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        lock(&self.outcomes)
    }

    /// Records the failure domain of a balancer.
    pub fn record_balancer_domain(&self, balancer: SocketAddrV4, domain: Domain) {
        if self.homes.len() < MAX_BALANCER_DOMAINS || self.homes.get(&balancer).is_some() {
            self.homes.insert(balancer, domain);
        }
    }

    /// Forgets the failure domains of balancers for which `is_known` returns false.
    pub fn retain_balancer_domains(&self, is_known: impl Fn(SocketAddrV4) -> bool) {
        self.homes.retain(|balancer, _| is_known(*balancer));
    }

    /// Returns what the requests of a flow have in common with others.
    pub fn labels(&self, source: Option<FlowSource>) -> Labels {
        let Some(FlowSource { class, origin }) = source else { return Labels::default() };
        Labels { class, domain: self.homes.get(&origin) }
    }

    /// Returns the time since the start of the agent or of its upstream, whichever is longer.
    pub fn age(&self, now: Moment) -> Span {
        now.since(Moment::default()).max(self.monitor().age(now))
    }

    /// Returns true if the upstream may hold flows that the agent does not know because they were
    /// opened before the agent started.
    pub fn may_hold_unknown_flows(&self, now: Moment) -> bool {
        let monitor = self.monitor();
        monitor.may_hold_unknown_flows()
            && !monitor.is_gone()
            && now.since(Moment::default()) < MAX_FLOW_LIFETIME
    }
}
