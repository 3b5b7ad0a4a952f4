//! The filter chain for segments from balancers and other agents: service, ownership.

use {
    std::{
        net::SocketAddrV4,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    yuccacroft_core::{
        admission::{
            service_times::ServiceTimes,
            unknown::UnknownRequests,
            workload::{AcceptedFlows, ServiceTime, Workload},
        },
        backlog::Backlog,
        evacuation::Status,
        filter::{Filter, FilterChain, Verdict},
        handshake::{self, Decision, FlowSource, FlowTable, ForwardReason, Intake, Offer},
        ids::Domain,
        limits::{Limiter, Tolerance, UpstreamState},
        outcome::{Labels, Outcomes},
        requirements::Requirements,
        route::{Target, TrafficClass},
        segment::Segment,
        shards::Shards,
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
        upstream::{Monitor, UpstreamReport},
    },
};

/// Time after the start of an agent during which its upstream may hold flows from before that
/// start: the longest lifetime of a flow.
const MAX_FLOW_LIFETIME: Span = Span::from_secs(60);
/// Ticks of the averaging window of open requests, about one second.
const MEAN_TICKS: u32 = 50;
/// Largest sample of open requests, so that the mean does not overflow.
const MAX_SAMPLE: u32 = 10_000;
/// Concurrent requests at an upstream in addition to its slots.
const EXTRA_REQUESTS: u32 = 1;
/// Slots that are assumed until the upstream reports its number. Responses report it as well, so the
/// number is known after the first one.
const DEFAULT_SLOTS: Slots = Slots::new(2);

/// Limit of balancers whose failure domain is kept, so that untrusted senders cannot exhaust the memory.
const MAX_HOMES: usize = 4_096;

/// Metric: number of flows that were passed on because the upstream fails their class or domain.
const DIVERTED_METRIC: &str = "yuccacroft_agent_diverted_flows_total";
/// Metric: number of offered flows, labelled with what their first requests can expect.
const OUTLOOKS_METRIC: &str = "yuccacroft_agent_outlooks_total";

/// The context in which a segment was received.
#[derive(Clone, Debug)]
pub enum Context {
    /// The segment opens a flow of this service. The datagram is kept until the upstream has
    /// accepted the flow.
    NewFlow(Target, Offer, Box<[u8]>),
    /// The segment belongs to an established flow. The address is the balancer that sent it.
    Established(SocketAddrV4, ForwardReason, TrafficClass),
}

/// A segment from a balancer or another agent.
#[derive(Clone, Debug)]
pub struct ReceivedSegment {
    /// The decoded header.
    pub segment: Segment,
    /// The context in which it was received.
    pub context: Context,
    /// The time at which it was received.
    pub now: Moment,
}

/// The state of an agent: its flows, its upstream and the waiting requests.
#[derive(Debug)]
pub struct AgentState {
    /// The service of the upstream.
    pub target: Target,
    /// The requirements of the deployment.
    pub requirements: Requirements,
    /// The open flows.
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

/// Whether a new flow or a request has room under the limits of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reservation {
    /// It needs no room.
    NotNeeded,
    /// Its room is counted.
    Taken,
    /// The upstream has no room for it, or it takes none because it repeats another one.
    Refused,
}

/// Passes new flows of another service on to the next agent: the service at an address can change.
struct Service(Arc<AgentState>);

/// Decides by the flows that the agent owns.
struct Ownership(Arc<AgentState>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Builds the chain.
pub fn build_chain(state: &Arc<AgentState>) -> FilterChain<ReceivedSegment, Decision> {
    FilterChain::new(vec![Box::new(Service(state.clone())), Box::new(Ownership(state.clone()))])
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

    /// Returns the locked count of new flows against the limits of the service.
    pub fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
    }

    /// Returns the number of further flows that the upstream takes now; `None` without a limit.
    pub fn room(&self, now: Moment) -> Option<Connections> {
        if !self.requirements.places {
            return None;
        }
        let upstream = self.upstream_state(now);
        self.limiter().room(upstream, now)
    }

    /// Returns the state of the upstream on which its limits depend. One that may have restarted
    /// counts as cold until it reports.
    fn upstream_state(&self, now: Moment) -> UpstreamState {
        let waiting = self.backlog().len() as u32;
        let monitor = self.monitor();
        let is_warming_up =
            monitor.may_have_restarted() || monitor.remaining_warmup(now) > Span::ZERO;
        UpstreamState {
            is_warming_up: monitor.last_report().map(|_| is_warming_up),
            had_earlier_agent: monitor.may_hold_unknown_flows(),
            held: self.table.held_flows(),
            waiting,
        }
    }

    /// Returns true if the agent accepts new flows and its upstream has room for one.
    pub fn takes_flow(&self, now: Moment) -> bool {
        self.is_accepting() && self.has_room(now)
    }

    fn has_room(&self, now: Moment) -> bool {
        self.room(now) != Some(Connections::new(0))
    }

    /// Returns the limit of concurrent requests that the agent has at the upstream: one more than its
    /// slots, so that a slot that becomes free has its next request at once. Requests that the agent
    /// does not know of take their part of it where the requirements ask for measured numbers.
    /// Without that requirement there is no limit before the first report.
    pub fn max_concurrent(&self, now: Moment) -> u32 {
        if !self.requirements.health {
            let slots = self.reported_slots();
            return slots.map_or(u32::MAX, |slots| slots.get() + EXTRA_REQUESTS);
        }
        let unknown = lock(&self.unknown_requests).count(now);
        (self.slots().get() + EXTRA_REQUESTS).saturating_sub(unknown)
    }

    /// Returns the slots of the upstream, by its report if there is one.
    fn slots(&self) -> Slots {
        let noted = self.noted_slots.load(Ordering::Relaxed);
        let noted = (noted > 0).then_some(Slots::new(noted));
        self.reported_slots().or(noted).unwrap_or(DEFAULT_SLOTS)
    }

    fn reported_slots(&self) -> Option<Slots> {
        let slots = |report: &UpstreamReport| Slots::new(report.slots.get().max(1));
        self.monitor().last_report().map(slots)
    }

    /// Notes the slots of the upstream by a response or by an earlier entry of the agent.
    pub fn note_slots(&self, slots: Slots) {
        self.noted_slots.store(slots.get(), Ordering::Relaxed);
    }

    /// Records the number of requests in progress that the upstream has reported with a response,
    /// before the response itself is recorded.
    pub fn record_requests_in_progress(&self, reported: u32, now: Moment) {
        lock(&self.unknown_requests).record(reported, self.table.active_requests(), now);
        self.table.reconcile_active(reported);
    }

    /// Records the service time of one request.
    pub fn record_service_time(&self, service_time: Span, now: Moment) {
        lock(&self.service_times).record(service_time, now);
    }

    /// Returns the time that a request which arrives now is expected to wait for a slot.
    pub fn expected_wait(&self, now: Moment) -> Span {
        self.workload(self.service_time(), now).wait()
    }

    /// Returns the service time of the upstream by its latest requests.
    pub fn service_time(&self) -> ServiceTime {
        let mean = self.table.service_time();
        let measured = lock(&self.service_times).service_time();
        measured.unwrap_or(ServiceTime { mean, tail: mean })
    }

    fn workload(&self, service: ServiceTime, now: Moment) -> Workload {
        let unknown = lock(&self.unknown_requests).count(now);
        let accepted = lock(&self.accepted_flows).count(now);
        let requests = self.open_requests().saturating_add(unknown).saturating_add(accepted);
        Workload::new(self.slots(), requests, service.mean)
    }

    /// Returns the flows that the agent takes, as far as this one is concerned, and its
    /// on the room of the upstream.
    fn intake(&self, segment: &Segment, offer: &Offer, now: Moment) -> (Intake, Reservation) {
        if !self.is_accepting() || !self.admits(segment, offer, now) {
            return (Intake::Closed, self.limited(Reservation::Refused));
        }
        if !self.requirements.places {
            return (Intake::Unlimited, Reservation::NotNeeded);
        }
        let upstream = self.upstream_state(now);
        let mut limiter = self.limiter();
        let max_flows = limiter.limits().and_then(|limits| limits.max_flows);
        let intake = max_flows.map_or(Intake::Unlimited, Intake::UpTo);
        // The upstream may accept a flow whose opening segment it has already.
        if self.table.offered_flow(segment.flow.key(), now).is_some() {
            return (intake, Reservation::Refused);
        }
        if limiter.take_opening(upstream, now) {
            (intake, Reservation::Taken)
        } else {
            (Intake::Closed, Reservation::Refused)
        }
    }

    /// Returns a reservation where upstreams have limits.
    fn limited(&self, reservation: Reservation) -> Reservation {
        if self.requirements.places { reservation } else { Reservation::NotNeeded }
    }

    /// Reserves room for the request that a segment of a caller begins.
    fn reserve_request(&self, segment: &Segment, unsure: bool, now: Moment) -> Reservation {
        if !self.requirements.places {
            return Reservation::NotNeeded;
        }
        let Some(request) = self.table.new_request(segment, unsure) else {
            return Reservation::NotNeeded;
        };
        let upstream = self.upstream_state(now);
        let is_granted = self.limiter().take_request(upstream, request.opened_at, now);
        if is_granted { Reservation::Taken } else { Reservation::Refused }
    }

    /// Counts what goes to the upstream without room, and gives the room back that is not used.
    fn settle(&self, reservation: Reservation, is_delivered: bool, now: Moment) {
        match reservation {
            Reservation::Taken if !is_delivered => {
                self.limiter().release(now);
            }
            Reservation::Refused if is_delivered => self.limiter().record(now),
            _ => {}
        }
    }

    /// Takes room for a request that waits. Returns false if the upstream has none.
    pub fn take_room(&self, now: Moment) -> bool {
        if !self.requirements.places {
            return true;
        }
        let upstream = self.upstream_state(now);
        self.limiter().take_request(upstream, None, now)
    }

    /// Gives the room back that [`AgentState::take_room`] has taken at this time.
    pub fn return_room(&self, taken_at: Moment) {
        self.settle(self.limited(Reservation::Taken), false, taken_at);
    }

    /// Counts a request that goes to the upstream whether it has room or not.
    pub fn record_unlimited_request(&self, now: Moment) {
        self.settle(self.limited(Reservation::Refused), true, now);
    }

    /// Returns true if the agent accepts a new flow, given what the flow's first request can expect.
    fn admits(&self, segment: &Segment, offer: &Offer, now: Moment) -> bool {
        // The upstream may accept a flow whose opening segment it has already.
        if self.table.offered_flow(segment.flow.key(), now).is_some() {
            return true;
        }
        if !self.has_room(now) || self.diverts(segment, offer) {
            return false;
        }
        let Some(class) = offer.class.filter(|_| self.requirements.health) else { return true };
        let service = self.service_time();
        let workload = self.workload(service, now);
        let outlook = workload.outlook(&class, service);
        metrics::counter!(OUTLOOKS_METRIC, "outlook" => outlook.name()).increment(1);
        offer.turn().takes(outlook, workload.wait(), service)
    }

    /// Returns the number of open requests: those in progress and those that wait.
    pub fn open_requests(&self) -> u32 {
        self.table.active_requests() + self.backlog().len() as u32
    }

    /// Updates the mean of the open requests. It is called once per tick.
    pub fn update_mean_requests(&self) {
        let previous = self.mean_requests.load(Ordering::Relaxed);
        let sum = previous * (MEAN_TICKS - 1) + self.open_requests().min(MAX_SAMPLE) * 100;
        // Rounding up lets the mean reach the sampled value from below.
        self.mean_requests.store(sum.div_ceil(MEAN_TICKS), Ordering::Relaxed);
    }

    /// Returns the mean of the open requests over about the last second.
    pub fn mean_requests(&self) -> Percent {
        Percent::new(self.mean_requests.load(Ordering::Relaxed))
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
    pub fn record_home(&self, balancer: SocketAddrV4, domain: Domain) {
        if self.homes.len() < MAX_HOMES || self.homes.get(&balancer).is_some() {
            self.homes.insert(balancer, domain);
        }
    }

    /// Forgets the failure domains of balancers for which `is_known` returns false.
    pub fn retain_homes(&self, is_known: impl Fn(SocketAddrV4) -> bool) {
        self.homes.retain(|balancer, _| is_known(*balancer));
    }

    /// Returns what the requests of a flow have in common with others.
    pub fn labels(&self, source: Option<FlowSource>) -> Labels {
        let Some(FlowSource { class, origin }) = source else { return Labels::default() };
        Labels { class, domain: self.homes.get(&origin) }
    }

    /// Returns true if the upstream fails the requests of such flows and serves others, and another
    /// agent may take the flow.
    fn diverts(&self, segment: &Segment, offer: &Offer) -> bool {
        if !self.requirements.health || !offer.turn().has_alternatives() {
            return false;
        }
        let labels = self.labels(Some(offer.source()));
        let diverts = self.outcomes().diverts(&labels, segment.flow.key());
        if diverts {
            metrics::counter!(DIVERTED_METRIC).increment(1);
        }
        diverts
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

impl Filter<ReceivedSegment> for Service {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "service"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        match &received.context {
            Context::NewFlow(target, offer, _) if *target != self.0.target => {
                Verdict::Done(handshake::pass_or_refuse(offer.clone()))
            }
            _ => Verdict::Continue,
        }
    }
}

impl Filter<ReceivedSegment> for Ownership {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "ownership"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        let (table, segment, now) = (&self.0.table, &received.segment, received.now);
        Verdict::Done(match &received.context {
            Context::NewFlow(_, offer, datagram) => {
                let (intake, reservation) = self.0.intake(segment, offer, now);
                let decision = table.handle_opening(segment, datagram, offer.clone(), intake, now);
                if decision == Decision::Confirm {
                    lock(&self.0.accepted_flows).record(now);
                }
                self.0.settle(reservation, decision == Decision::Confirm, now);
                decision
            }
            Context::Established(origin, reason, _) => {
                let unsure = self.0.may_hold_unknown_flows(now);
                let reservation = self.0.reserve_request(segment, unsure, now);
                let max_concurrent = if reservation == Reservation::Refused {
                    0
                } else {
                    self.0.max_concurrent(now)
                };
                let decision =
                    table.handle_segment(segment, *origin, *reason, unsure, max_concurrent, now);
                let is_delivered = matches!(decision, Decision::Deliver | Decision::Confirm);
                self.0.settle(reservation, is_delivered, now);
                decision
            }
        })
    }
}
