//! The packet path of a balancer: receives datagrams, runs the filter chain and sends the results.

mod log;
mod messages;

use {
    super::{
        chain::{self, CurrentRoutes, Decision, ReceivedSegment},
        controllers::TICK_INTERVAL,
        freshness::Freshness,
        grounds::Grounds,
        pending::PendingSegments,
        query_batch::QueryMessage,
        response_times::ResponseTimes,
        searches::{Query, QueryKind, SearchParams, Searches, Step},
    },
    crate::{
        clock::BootClock,
        flow_log::FlowLog,
        host::Socket,
        ticker::STALL_THRESHOLD,
        traffic::{Direction, Kind, Traffic},
    },
    slog::info,
    std::{
        net::SocketAddrV4,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::Notify,
    yuccacroft_core::{
        arrival::ArrivalEstimator,
        evacuation::Notice,
        filter::FilterChain,
        flow::FlowKey,
        ids::{Domain, Instance},
        limits::ServiceLimits,
        opening::OpeningTable,
        pool::{Pool, indirect::Ping},
        requirements::Requirements,
        route::{ConfigVersion, TrafficClass},
        segment::{Control, Format, Segment},
        steering::{LossVerdict, SteeringTable},
        time::{Moment, Span},
    },
    yuccacroft_wire::relay::{self, Request},
};

/// Metric: number of decisions, labelled with outcome and cause.
const DECISIONS_METRIC: &str = "yuccacroft_balancer_decisions_total";

/// The sockets and settings of a relay.
#[derive(Debug)]
pub struct Setup<S> {
    /// The socket for segments from and to callers.
    pub callers: S,
    /// The socket for messages from and to agents.
    pub agents: S,
    /// The address of [`Setup::agents`], to which agents reply.
    pub origin: SocketAddrV4,
    /// The port of all callers.
    pub caller_port: u16,
    /// The failure domain of the balancer.
    pub domain: Domain,
    /// The requirements of the deployment.
    pub requirements: Requirements,
    /// The time that a flow has to gain to be worth its bytes between failure domains.
    pub crossing_price: Span,
}

/// The packet path of one balancer.
pub struct Relay<F, S> {
    format: F,
    setup: Setup<S>,
    chain: FilterChain<ReceivedSegment, Decision>,
    /// The known flows.
    pub table: Arc<SteeringTable>,
    /// The opening segments that were offered to agents.
    pub openings: OpeningTable,
    /// The known agents.
    pub pool: Arc<Pool>,
    /// The configuration in force.
    pub current_routes: Arc<CurrentRoutes>,
    /// The running owner searches.
    pub searches: Searches,
    /// The segments that wait for a configuration or an agent.
    pending: PendingSegments,
    /// Notified when an agent reports a newer configuration version, so that the configuration is
    /// read again.
    pub config_outdated: Notify,
    /// Notified when agents keep reporting an agent that is not listed, so that the list is read
    /// again.
    pub list_outdated: Notify,
    /// Notified when a decision about a flow waits for an agent that is not listed, so that the
    /// changes of the list are read at once.
    pub list_needed: Notify,
    /// The highest configuration version that agents have reported.
    reported_version: AtomicU64,
    /// The clock that all decisions use.
    pub clock: BootClock,
    /// Estimates when the segments arrived that are read now.
    pub arrivals: ArrivalEstimator,
    /// Held while the timeouts are corrected after a pause of the process.
    running: Mutex<()>,
    /// The rate-limited log of flow events.
    pub flow_log: FlowLog,
    /// The ages of what the decisions rest on.
    pub freshness: Freshness,
    /// The messages since the last line about traffic.
    traffic: Traffic,
    response_times: ResponseTimes,
    /// The time of the last segment from a caller, in microseconds.
    last_segment: AtomicU64,
}

impl<F: Format, S: Socket> Relay<F, S> {
    /// Creates a packet path without agents and without a configuration.
    pub fn new(format: F, setup: Setup<S>, clock: BootClock, flow_log: FlowLog) -> Self {
        let (table, pool) = (
            Arc::new(SteeringTable::new()),
            Arc::new(
                Pool::new().with_requirements(setup.requirements).with_domain(setup.domain.clone()),
            ),
        );
        let current_routes = Arc::new(CurrentRoutes::default());
        let uses_lists = setup.requirements.health;
        let chain = chain::build_chain(
            table.clone(),
            pool.clone(),
            current_routes.clone(),
            setup.domain.clone(),
        );
        Self {
            format,
            setup,
            chain,
            table,
            openings: OpeningTable::new(),
            pool,
            current_routes,
            searches: Searches::default().with_lists(uses_lists),
            pending: PendingSegments::default(),
            config_outdated: Notify::new(),
            list_outdated: Notify::new(),
            list_needed: Notify::new(),
            reported_version: AtomicU64::new(0),
            clock,
            arrivals: ArrivalEstimator::new(),
            running: Mutex::default(),
            flow_log,
            freshness: Freshness::default(),
            traffic: Traffic::default(),
            response_times: ResponseTimes::default(),
            last_segment: AtomicU64::new(0),
        }
    }

    /// Receives segments from callers. It does not return.
    pub async fn receive_segments(&self) {
        let on_datagram = |datagram: &mut [u8], _| {
            self.contain("callers", || self.handle_segment(datagram));
        };
        self.setup
            .callers
            .receive(on_datagram, |error| self.log_socket_error("callers", &error))
            .await;
    }

    /// Receives messages from agents. It does not return.
    pub async fn receive_messages(&self) {
        let on_datagram = |datagram: &mut [u8], _| {
            self.contain("agents", || self.handle_message(datagram));
        };
        self.setup
            .agents
            .receive(on_datagram, |error| self.log_socket_error("agents", &error))
            .await;
    }

    /// Returns the time since the last segment from a caller.
    pub fn idle_time(&self, now: Moment) -> Span {
        now.since(Moment::new(self.last_segment.load(Ordering::Relaxed)))
    }

    /// Returns the failure domain of the balancer.
    pub(super) fn domain(&self) -> &Domain {
        &self.setup.domain
    }

    /// Returns the time that a flow has to gain to be worth its bytes between failure domains.
    pub(super) fn crossing_price(&self) -> Span {
        self.setup.crossing_price
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> ConfigVersion {
        chain::current_routes(&self.current_routes)
            .map_or_else(ConfigVersion::default, |routes| routes.version)
    }

    /// Returns the highest configuration version that agents have reported.
    pub fn newest_version(&self) -> ConfigVersion {
        ConfigVersion::new(self.reported_version.load(Ordering::Relaxed))
    }

    /// Returns the number of flows with waiting segments.
    pub fn pending_flows(&self) -> usize {
        self.pending.len()
    }

    /// Sends a ping to an agent, which replies with its load.
    pub fn ping(&self, instance: Instance, now: Moment) {
        let listed_member = self.pool.get(instance).filter(|member| member.is_listed());
        let listed = listed_member
            .map(|member| (member.entry.agent_id.incarnation, member.entry.entry_version));
        self.pool.record_query(instance, now);
        let (version, newest_entry) = (self.version(), self.pool.newest_entry());
        self.send(instance, &Request::Ping { listed, version, newest_entry }, &[]);
    }

    /// Tells agents whether their failure domain is evacuated. They confirm with their load.
    pub fn send_notices(&self, notices: impl IntoIterator<Item = (Instance, Notice)>) {
        for (instance, notice) in notices {
            self.send(instance, &Request::Evacuation(notice), &[]);
        }
    }

    /// Records that the entry of an agent cannot be read, and tells the agent that it is not listed.
    pub fn record_unreadable(&self, instance: Instance, now: Moment) {
        self.pool.record_unreadable(instance, &self.setup.domain, now);
        self.ping(instance, now);
    }

    /// Tells an agent the failure domain of this process, in which its callers are.
    pub fn send_home(&self, instance: Instance) {
        if self.pool.requirements().health {
            self.send(instance, &Request::Home(self.setup.domain.clone()), &[]);
        }
    }

    /// Tells an agent the limits of its service.
    pub fn send_limits(&self, instance: Instance, limits: ServiceLimits) {
        self.send(instance, &Request::Limits(limits), &[]);
    }

    /// Asks agents that answer in time to ping those that do not.
    pub fn ping_indirectly(&self, now: Moment) {
        for Ping { via, suspect } in self.pool.indirect_pings(&self.setup.domain, now) {
            // The asked agent owes no answer, since the other one may be dead.
            self.send(via, &Request::IndirectPing { suspect }, &[]);
        }
    }

    /// Runs the timers of all searches and sends their queries.
    pub fn tick_searches(&self, now: Moment) {
        for key in self.searches.start_round(&self.pool, now) {
            let steps = self.searches.tick(key, &self.pool, now);
            self.perform(key, steps, now);
        }
        for QueryMessage { to, request, retry } in self.searches.end_round(&self.pool, now) {
            self.pool.record_query(to, now);
            self.send_as(Kind::of_request(&request, retry), to, &request, &[]);
        }
    }

    /// Records that the process runs. After a stall all timeouts start again. A shorter pause does
    /// not count in the silence of agents, since they were asked nothing meanwhile: otherwise the
    /// loss of one message makes an agent lost while the process is paused by turns.
    pub fn record_running(&self, now: Moment) {
        let _running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        match self.arrivals.suspension(now) {
            Some(pause) if pause >= STALL_THRESHOLD => {
                self.pool.restart_timeouts(now);
                self.freshness.record_stall(now);
            }
            Some(pause) => self.pool.extend_timeouts(pause - Span::from(TICK_INTERVAL), now),
            None => {}
        }
        // Until this tick other threads see the pause, and wait for the corrected timeouts.
        self.arrivals.tick(now);
    }

    /// Returns the time at which a datagram is read. After a pause of the process datagrams are read
    /// before the timer fires, so the timeouts are corrected here.
    fn reading_time(&self) -> Moment {
        let now = self.clock.now();
        if self.arrivals.suspension(now).is_some() {
            self.record_running(now);
        }
        now
    }

    fn handle_segment(&self, datagram: &[u8]) {
        let now = self.reading_time();
        self.traffic.record(Direction::Received, Kind::Caller, datagram.len());
        let segment = match self.format.parse_inbound(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.log_junk("callers", &error, datagram, now),
        };
        self.last_segment.store(now.get(), Ordering::Relaxed);
        self.process(segment, datagram, self.arrivals.earliest_arrival(now), now);
    }

    /// Runs the filter chain again for all waiting segments. Expired ones are dropped.
    pub fn retry_pending(&self, now: Moment) {
        for flow in self.pending.take() {
            for (segment, datagram) in &flow.segments {
                if flow.is_expired(now) {
                    self.log_not_forwarded(segment, "drop", flow.cause, now);
                } else {
                    self.process(*segment, datagram, flow.received_at, now);
                }
            }
        }
    }

    /// Runs the filter chain for a segment that arrived at `arrived_at` at the earliest.
    fn process(&self, segment: Segment, datagram: &[u8], arrived_at: Moment, now: Moment) {
        let mut received = ReceivedSegment::new(segment, now).with_arrival(arrived_at);
        let decision = self.chain.run(&mut received).unwrap_or(Decision::Search);
        let Decision::Wait(cause) = decision else {
            return self.apply_decision(&received, decision, datagram, now);
        };
        if !self.pending.add(&segment, datagram, cause, arrived_at) {
            self.log_not_forwarded(&segment, "drop", cause, now);
        }
    }

    fn apply_decision(
        &self,
        received: &ReceivedSegment,
        decision: Decision,
        datagram: &[u8],
        now: Moment,
    ) {
        let segment = &received.segment;
        match decision {
            Decision::Carry(owner) => {
                metrics::counter!(DECISIONS_METRIC, "outcome" => "carry").increment(1);
                self.send(owner, &Request::Carry(self.class(segment)), datagram);
            }
            Decision::Offer(target, candidates) => {
                metrics::counter!(DECISIONS_METRIC, "outcome" => "offer").increment(1);
                let (first, rest) = (candidates[0], candidates[1..].into());
                self.table.record_offer(received.key, first, now);
                let copy = segment.copy_number();
                self.openings.record_offer(received.key, copy, received.arrived_at, now);
                self.pool.record_offer(first, now);
                self.log_offer(segment, first, now);
                let (class, origin) = (self.class(segment), self.setup.origin);
                let offer = if self.setup.requirements.health {
                    Request::ClassifiedOffer { class, target, origin, rest, hops: 0 }
                } else {
                    Request::Offer { target, origin, rest, hops: 0 }
                };
                self.send(first, &offer, datagram);
            }
            Decision::Search => {
                let (key, target) = (received.key, received.target);
                let (class, last_agent) = (self.class(segment), received.last_agent);
                let params = SearchParams { target, class, last_agent };
                if self.searches.add(key, *segment, datagram, params, &self.pool, now) {
                    let steps = self.searches.begin(key, &self.pool, now);
                    self.perform(key, steps, now);
                } else {
                    self.log_not_forwarded(segment, "drop", "no search now", now);
                }
            }
            Decision::Refuse(cause) => {
                let (key, copy) = (received.key, segment.copy_number());
                self.openings.record_offer(key, copy, received.arrived_at, now);
                self.refuse(segment, cause, now);
            }
            Decision::Reset(cause) => {
                let grounds = Grounds::of_cached(self.table.get(received.key), &self.pool, now);
                self.reset(segment, cause, &grounds, now);
            }
            Decision::Wait(cause) | Decision::Drop(cause) => {
                self.log_not_forwarded(segment, "drop", cause, now);
            }
        }
    }

    fn perform(&self, key: FlowKey, steps: Vec<Step>, now: Moment) {
        for step in steps {
            match step {
                Step::Query(query) => self.query(key, query, now),
                Step::Found(owner, class, datagrams) => {
                    metrics::counter!(DECISIONS_METRIC, "outcome" => "found").increment(1);
                    self.log_late_owner(key, owner, now);
                    self.table.set_owner(key, owner, now);
                    if let Some(log) = self.flow_log.normal(now) {
                        info!(log, "owner found"; "key" => %key, "owner" => %owner.instance,
                            "incarnation" => %owner.incarnation);
                    }
                    for datagram in datagrams {
                        self.send(owner.instance, &Request::Carry(class), &datagram);
                    }
                }
                Step::NotFound(segment, evidence, grounds) => {
                    let acknowledged = segment.acknowledged;
                    let verdict = LossVerdict { detected_at: now, acknowledged, evidence };
                    if self.table.mark_lost(key, verdict) {
                        self.reset(&segment, "all agents denied", &grounds, now);
                    } else {
                        self.log_outcome(&segment, "drop", "opened again", &grounds, now);
                    }
                }
                Step::ReadList => self.list_needed.notify_one(),
                Step::TimedOut(segment, grounds) => {
                    self.log_outcome(&segment, "drop", "search without end", &grounds, now)
                }
            }
        }
    }

    fn query(&self, key: FlowKey, query: Query, now: Moment) {
        let Query { to, kind, retry } = query;
        let (request, datagram) = match kind {
            QueryKind::Ownership(acknowledged) => {
                (Request::Search { key, acknowledged }, Box::default())
            }
            QueryKind::Probe(class, datagram) => (Request::Probe(class), datagram),
        };
        self.pool.record_query(to.instance, now);
        self.send_as(Kind::of_request(&request, retry), to.instance, &request, &datagram);
    }

    /// Sends a reset to the caller. A caller that resets a flow itself expects no reply.
    fn reset(&self, segment: &Segment, cause: &'static str, grounds: &Grounds, now: Moment) {
        self.log_outcome(segment, "reset", cause, grounds, now);
        if segment.control == Control::Reset {
            return;
        }
        let datagram = self.format.encode_reset(segment.flow, segment.acknowledged);
        let caller = SocketAddrV4::new(*segment.flow.caller.ip(), self.setup.caller_port);
        self.traffic.record(Direction::Sent, Kind::Reset, datagram.len());
        self.setup.callers.send(&datagram, caller);
    }

    fn send(&self, to: Instance, request: &Request, segment: &[u8]) {
        self.send_as(Kind::of_request(request, false), to, request, segment);
    }

    /// Sends a message and counts it as this kind.
    fn send_as(&self, kind: Kind, to: Instance, request: &Request, segment: &[u8]) {
        match relay::encode(request, segment) {
            Ok(datagram) => {
                self.traffic.record(Direction::Sent, kind, datagram.len());
                self.setup.agents.send(&datagram, to.address());
            }
            Err(error) => {
                info!(self.flow_log.log(), "message not encoded"; "cause" => %error);
            }
        }
    }

    /// Returns the class of the requests of a segment's flow.
    fn class(&self, segment: &Segment) -> TrafficClass {
        let routes = chain::current_routes(&self.current_routes);
        let route = routes.as_ref().and_then(|routes| routes.route(&segment.flow.address));
        route.map_or_else(TrafficClass::default, |route| route.class)
    }
}
