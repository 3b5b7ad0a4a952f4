//! The packet path of an agent: receives datagrams, runs the filter chain and sends the results.

use {
    super::chain::{self, AgentState, Context, ReceivedSegment},
    crate::{dump, flow_log::FlowLog, host::Socket},
    slog::info,
    std::{
        net::SocketAddrV4,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::Notify,
    yuccacroft_core::{
        backlog::Release,
        filter::FilterChain,
        flow::{AgentId, FlowKey},
        handshake::{Action, Decision, ForwardReason, LostFlow, Offer},
        ids::Incarnation,
        pool::AgentLoad,
        route::{ConfigVersion, Target, TrafficClass},
        segment::{Control, Flow, Format, Outbound, Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
        upstream::{ConnectResult, Silence},
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::relay::{self, Body, Reply, Request},
};

/// Metric: number of decisions, labelled with outcome and cause.
const DECISIONS_METRIC: &str = "yuccacroft_agent_decisions_total";
/// Metric: number of open flows.
const OPEN_FLOWS_METRIC: &str = "yuccacroft_agent_open_flows";
/// Metric: number of requests in progress at the upstream.
const ACTIVE_REQUESTS_METRIC: &str = "yuccacroft_agent_active_requests";
/// Metric: number of requests that wait for the upstream.
const WAITING_REQUESTS_METRIC: &str = "yuccacroft_agent_waiting_requests";
/// Metric: number of undecodable datagrams and socket errors, labelled with the source.
const JUNK_METRIC: &str = "yuccacroft_agent_junk_total";
/// Metric: time from a request to the first byte of its response.
const SERVICE_SECONDS_METRIC: &str = "yuccacroft_agent_service_seconds";
/// Time for which a balancer is sent the load after its last message.
const BALANCER_TIMEOUT: Span = Span::from_secs(3);
/// Response time from which on a response is logged as slow: longer than most responses and shorter
/// than most latency objectives.
const SLOW_RESPONSE: Span = Span::from_millis(100);
/// Time within which a written entry is in the listing of every balancer.
const MAX_LISTING_DELAY: Span = Span::from_millis(1_500);

/// The sockets and settings of a relay.
#[derive(Debug)]
pub struct Setup<S> {
    /// The socket for messages from balancers and other agents.
    pub messages: S,
    /// The socket that receives segments from the upstream.
    pub outbound: S,
    /// The socket that is connected to the upstream.
    pub upstream: S,
    /// The port of all callers.
    pub caller_port: u16,
    /// The address and incarnation of the agent.
    pub agent_id: AgentId,
}

/// The packet path of one agent.
pub struct Relay<F, S> {
    format: F,
    setup: Setup<S>,
    chain: FilterChain<ReceivedSegment, Decision>,
    /// The agent's flows, upstream and waiting requests.
    pub state: Arc<AgentState>,
    /// Notified when a balancer's listing lacks the agent's entry.
    pub entry_unlisted: Notify,
    /// The clock that all decisions use.
    pub clock: Clock,
    /// The rate-limited log of flow events.
    pub flow_log: FlowLog,
    /// The balancers and the times of their last messages.
    balancers: Shards<SocketAddrV4, Moment>,
    /// The version of the entry in the store, and when it was written or last found there.
    written_entry: Mutex<(u32, Moment)>,
    /// The highest configuration version that a balancer has sent.
    config_version: AtomicU64,
}

impl<F: Format, S: Socket> Relay<F, S> {
    /// Creates the packet path of an agent.
    pub fn new(
        format: F,
        setup: Setup<S>,
        state: Arc<AgentState>,
        clock: Clock,
        flow_log: FlowLog,
    ) -> Self {
        let chain = chain::build_chain(&state);
        Self {
            format,
            setup,
            chain,
            state,
            entry_unlisted: Notify::new(),
            clock,
            flow_log,
            balancers: Shards::with_shards(1),
            written_entry: Mutex::default(),
            config_version: AtomicU64::new(0),
        }
    }

    /// Receives messages from balancers and other agents. It does not return.
    pub async fn receive_messages(&self) {
        let on_datagram = |datagram: &mut [u8], from| self.handle_message(datagram, from);
        self.setup
            .messages
            .receive(on_datagram, |error| self.log_socket_error("messages", &error))
            .await;
    }

    /// Receives segments from the upstream. It does not return.
    pub async fn receive_outbound(&self) {
        let on_datagram = |datagram: &mut [u8], _| self.handle_outbound(datagram);
        self.setup
            .outbound
            .receive(on_datagram, |error| self.log_socket_error("outbound", &error))
            .await;
    }

    /// Receives the errors that the system reports for a closed port of the upstream. It does not
    /// return.
    pub async fn receive_port_errors(&self) {
        let on_error = |error: std::io::Error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                self.apply_port_check(ConnectResult::Refused, self.clock.now());
            }
        };
        self.setup.upstream.receive(|_, _| {}, on_error).await;
    }

    /// Returns the address and incarnation of the agent.
    pub fn agent_id(&self) -> AgentId {
        self.setup.agent_id
    }

    /// Records the version of the entry that is in the store now.
    pub fn set_written_entry(&self, entry_version: u32) {
        *self.written_entry() = (entry_version, self.clock.now());
    }

    fn written_entry(&self) -> MutexGuard<'_, (u32, Moment)> {
        self.written_entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops accepting new flows and sends the new load to balancers. Open flows stay.
    pub fn stop(&self) {
        self.state.stop();
        self.send_load(self.clock.now());
    }

    /// Returns the present load of the agent.
    pub fn load(&self, now: Moment) -> AgentLoad {
        let accepting = self.state.is_accepting();
        let warmup = self.state.monitor().remaining_warmup(now);
        AgentLoad {
            accepting,
            active: self.state.open_requests(),
            busy: self.state.mean_requests(),
            open: self.state.table.open_flows(),
            service_time: self.state.table.service_time(),
            warmup,
            stopping: self.state.is_stopping() && !self.state.has_no_upstream(),
        }
    }

    /// Returns a dump of the agent's state.
    pub fn dump(&self) -> dump::Agent {
        let now = self.clock.now();
        let (entry_version, written) = *self.written_entry();
        let upstream = {
            let monitor = self.state.monitor();
            let silence = format!("{:?}", monitor.silence());
            monitor.last_report().map(|report| dump::Upstream {
                id: report.id.to_string().into(),
                born: report.incarnation,
                report: report.number.get(),
                phase: format!("{:?}", report.phase).into(),
                slots: report.slots,
                silence: silence.into(),
            })
        };
        dump::Agent {
            incarnation: self.setup.agent_id.incarnation,
            uptime: now.since(Moment::default()),
            stopping: self.state.is_stopping(),
            accepting: self.state.is_accepting(),
            version: ConfigVersion::new(self.config_version.load(Ordering::Relaxed)),
            entry_version,
            entry_age: now.since(written),
            upstream,
            load: self.load(now),
            waiting: self.state.backlog().len(),
            balancers: self.balancers.len(),
        }
    }

    /// Updates the gauges.
    pub fn update_gauges(&self) {
        metrics::gauge!(OPEN_FLOWS_METRIC).set(f64::from(self.state.table.open_flows().get()));
        metrics::gauge!(ACTIVE_REQUESTS_METRIC).set(f64::from(self.state.table.active_requests()));
        metrics::gauge!(WAITING_REQUESTS_METRIC).set(self.state.backlog().len() as f64);
    }

    /// Sends the load to every balancer that sent a message recently.
    pub fn send_load(&self, now: Moment) {
        self.balancers.retain(|_, last_seen| now.since(*last_seen) < BALANCER_TIMEOUT);
        let balancers = self.balancers.fold(Vec::new(), |mut balancers, balancer, _| {
            balancers.push(*balancer);
            balancers
        });
        balancers.into_iter().for_each(|balancer| self.reply(balancer, Body::Load, &[], now));
    }

    /// Runs the timers of the flows and forwards waiting requests.
    pub fn tick(&self, now: Moment) {
        for action in self.state.table.tick(now) {
            self.perform(action, now);
        }
        self.release_waiting(now);
        self.state.update_mean_requests();
    }

    /// Passes the opening segments that the upstream has not accepted yet on to other agents.
    pub fn pass_on_unaccepted(&self, now: Moment) {
        for action in self.state.table.release_unaccepted() {
            self.perform(action, now);
        }
    }

    /// Applies the result of a check of the upstream's port. A dead upstream loses its flows.
    pub fn apply_port_check(&self, result: ConnectResult, now: Moment) {
        let (before, after) = {
            let mut monitor = self.state.monitor();
            let before = monitor.silence();
            monitor.record_check(result, now);
            (before, monitor.silence())
        };
        if before != after {
            info!(self.flow_log.log(), "upstream judged"; "silence" => ?after, "before" => ?before,
                "check" => ?result);
        }
        if after == Silence::Dead && before != Silence::Dead {
            self.pass_on_unaccepted(now);
            self.reset_lost_flows("upstream dead", now, now);
            self.send_load(now);
        }
    }

    /// Removes the flows that were opened before `before`, the time at which the upstream exited,
    /// and resets them, so that their callers need not wait for a timeout.
    pub fn reset_lost_flows(&self, cause: &'static str, before: Moment, now: Moment) {
        let lost = self.state.table.remove_begun_before(before);
        if !lost.is_empty() {
            info!(self.flow_log.log(), "flows lost"; "count" => lost.len(), "cause" => cause,
                "busy" => lost.iter().filter(|flow| flow.busy).count());
        }
        for LostFlow { flow, acknowledged, .. } in lost {
            self.state.backlog().remove(flow.key());
            self.reset(flow, acknowledged, cause, now);
        }
    }

    fn handle_message(&self, datagram: &[u8], from: SocketAddrV4) {
        let now = self.clock.now();
        let (request, bytes) = match relay::decode::<Request>(datagram) {
            Ok(message) => message,
            Err(error) => return self.log_junk("messages", &error, now),
        };
        let context = match request {
            Request::Ping { listed, version } => return self.send_pong(from, listed, version, now),
            Request::Offer { target, origin, rest, hops } => {
                self.balancers.insert(origin, now);
                Context::NewFlow(target, Offer { origin, rest, hops }, bytes.into())
            }
            Request::Carry(class) => Context::Established(from, ForwardReason::Owner, class),
            Request::Search(class) => Context::Established(from, ForwardReason::Search, class),
            Request::Probe(class) => Context::Established(from, ForwardReason::Probe, class),
        };
        let segment = match self.format.parse_inbound(bytes) {
            Ok(segment) => segment,
            Err(error) => return self.log_junk("segments", &error, now),
        };
        let mut received = ReceivedSegment { segment, context, now };
        let decision = self.chain.run(&mut received).unwrap_or(Decision::Drop("undecided"));
        let target = match &received.context {
            Context::NewFlow(target, ..) => Some(*target),
            Context::Established(..) => None,
        };
        let to = match &received.context {
            Context::NewFlow(_, offer, _) => offer.origin,
            Context::Established(origin, ..) => *origin,
        };
        if let (Decision::Hold, Context::Established(_, reason, class)) =
            (&decision, &received.context)
        {
            return self.hold_request(&received.segment, to, *reason, *class, bytes, now);
        }
        self.apply_decision(&received.segment, target, to, decision, bytes, now);
    }

    /// Executes a decision about a segment. `origin` is the balancer that gets the reply.
    fn apply_decision(
        &self,
        segment: &Segment,
        target: Option<Target>,
        origin: SocketAddrV4,
        decision: Decision,
        datagram: &[u8],
        now: Moment,
    ) {
        let key = segment.flow.key();
        match decision {
            Decision::Deliver => self.deliver(segment, datagram, now),
            Decision::Confirm => {
                self.deliver(segment, datagram, now);
                let opening = segment.control == Control::Open;
                let body = if opening { Body::Took(key) } else { Body::Owns(key) };
                self.reply(origin, body, &[], now);
            }
            Decision::Pass(to, offer) => {
                self.pass(segment.flow, target, to.address(), offer, datagram, now);
                self.reply(origin, Body::Load, &[], now);
            }
            Decision::Refuse(origin) => self.refuse(segment.flow, origin, datagram, now),
            Decision::Deny { origin, unsure, returned } => {
                metrics::counter!(DECISIONS_METRIC, "outcome" => "deny").increment(1);
                self.log_offered_denial(segment, origin, now);
                let datagram = if returned { datagram } else { &[] };
                self.reply(origin, Body::Denies { key, unsure }, datagram, now);
            }
            Decision::Reset(sequence) => {
                self.reset(segment.flow, sequence, "returned by the upstream", now);
            }
            Decision::Hold => {}
            Decision::Drop(cause) => self.log_not_delivered(segment.flow, "drop", cause, now),
        }
    }

    /// Queues a segment of a request until the upstream has a free slot.
    fn hold_request(
        &self,
        segment: &Segment,
        origin: SocketAddrV4,
        reason: ForwardReason,
        class: TrafficClass,
        datagram: &[u8],
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "hold").increment(1);
        let key = segment.flow.key();
        let queued = self.state.backlog().add(segment, datagram, class, now);
        if !queued {
            self.state.table.drop_held(key);
            self.deliver(segment, datagram, now);
        }
        if reason != ForwardReason::Owner {
            self.reply(origin, Body::Owns(key), &[], now);
        }
        if let Some(log) = self.flow_log.normal(now) {
            let id = self.format.request_id(datagram).unwrap_or_default();
            info!(log, "held"; "request" => id, "flow" => %segment.flow,
                "priority" => %class.priority, "active" => self.state.table.active_requests(),
                "room" => self.state.max_concurrent(), "waiting" => self.state.backlog().len());
        }
    }

    /// Forwards waiting requests to the upstream while it is below its limit of concurrent
    /// requests.
    pub fn release_waiting(&self, now: Moment) {
        while self.state.table.active_requests() < self.state.max_concurrent() {
            let service_time = self.state.table.service_time();
            let Some(release) = self.state.backlog().release(service_time, now) else { return };
            match release {
                Release::Start(key, datagrams) => {
                    if self.state.table.start_held(key, now) {
                        datagrams.iter().for_each(|datagram| self.forward(datagram, now));
                        self.log_released(&datagrams, now);
                    }
                }
                Release::Expired(key) => {
                    self.state.table.drop_held(key);
                    metrics::counter!(DECISIONS_METRIC, "outcome" => "expired").increment(1);
                    if let Some(log) = self.flow_log.failure(now) {
                        info!(log, "request expired while waiting"; "key" => %key);
                    }
                }
            }
        }
    }

    fn log_released(&self, datagrams: &[Box<[u8]>], now: Moment) {
        let Some(datagram) = datagrams.first() else { return };
        if let Ok(segment) = self.format.parse_inbound(datagram) {
            self.log_request("request", &segment, datagram, None, now);
        }
    }

    fn forward(&self, datagram: &[u8], now: Moment) {
        self.state.monitor().record_data(now);
        if !self.setup.upstream.send_connected(datagram) {
            self.apply_port_check(ConnectResult::Refused, now);
        }
    }

    fn perform(&self, action: Action, now: Moment) {
        match action {
            Action::Pass { flow, to, offer, datagram } => {
                self.pass(flow, Some(self.state.target), to.address(), offer, &datagram, now);
            }
            Action::Refuse { flow, origin, datagram } => self.refuse(flow, origin, &datagram, now),
            Action::Confirm { flow, origin } => {
                self.reply(origin, Body::Owns(flow.key()), &[], now);
            }
            Action::Expire { flow, accepted } => {
                metrics::counter!(DECISIONS_METRIC, "outcome" => "expire").increment(1);
                if let Some(log) = self.flow_log.failure(now) {
                    info!(log, "accepted flow expired"; "flow" => %flow, "accepted" => %accepted);
                }
            }
        }
    }

    /// Logs the denial of a flow that was offered to this agent. The caller has accepted it
    /// elsewhere, unless the acknowledged sequence number follows the accepted one.
    fn log_offered_denial(&self, segment: &Segment, origin: SocketAddrV4, now: Moment) {
        let Some(offered) = self.state.table.offered_flow(segment.flow.key(), now) else { return };
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "offered flow denied"; "flow" => %segment.flow, "to" => %origin,
                "accepted" => ?offered.accepted.map(Sequence::get), "age" => %offered.age,
                "acknowledged" => segment.acknowledged.get(), "control" => ?segment.control);
        }
    }

    fn deliver(&self, segment: &Segment, datagram: &[u8], now: Moment) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "deliver").increment(1);
        self.log_request("request", segment, datagram, None, now);
        {
            let mut monitor = self.state.monitor();
            match segment.control {
                Control::Open => monitor.record_opening(now),
                _ if segment.length > 0 => monitor.record_data(now),
                _ => {}
            }
        }
        if !self.setup.upstream.send_connected(datagram) {
            self.apply_port_check(ConnectResult::Refused, now);
        }
    }

    fn handle_outbound(&self, datagram: &mut [u8]) {
        let now = self.clock.now();
        match self.format.parse_outbound(datagram) {
            Ok(Outbound::Reply(segment)) => {
                self.record_activity(now);
                if let Some(progress) = self.format.requests_in_progress(datagram) {
                    self.state.table.reconcile_active(progress);
                }
                if let Some(time) = self.state.table.handle_reply(&segment, now) {
                    metrics::histogram!(SERVICE_SECONDS_METRIC)
                        .record(std::time::Duration::from(time).as_secs_f64());
                    if time >= SLOW_RESPONSE {
                        self.log_request("slow answer", &segment, datagram, Some(time), now);
                    }
                }
                self.send_to_caller(segment.flow, datagram);
                self.release_waiting(now);
            }
            Ok(Outbound::Bounced(segment)) => {
                self.record_activity(now);
                self.format.restore_bounced(datagram);
                let decision = self.state.table.handle_bounce(&segment, now);
                if let Some(log) = self.flow_log.failure(now) {
                    info!(log, "bounced"; "flow" => %segment.flow, "control" => ?segment.control,
                        "decision" => decision.name());
                }
                self.apply_bounce_decision(&segment, decision, datagram, now);
            }
            Err(error) => self.log_junk("outbound", &error, now),
        }
    }

    fn apply_bounce_decision(
        &self,
        segment: &Segment,
        decision: Decision,
        datagram: &[u8],
        now: Moment,
    ) {
        let origin = match &decision {
            Decision::Pass(_, offer) => offer.origin,
            Decision::Refuse(origin) | Decision::Deny { origin, .. } => *origin,
            // The other decisions send no reply.
            _ => self.setup.agent_id.instance.address(),
        };
        self.apply_decision(segment, Some(self.state.target), origin, decision, datagram, now);
    }

    fn record_activity(&self, now: Moment) {
        let mut monitor = self.state.monitor();
        let before = monitor.silence();
        monitor.record_reply(now);
        drop(monitor);
        if before != Silence::None {
            info!(self.flow_log.log(), "upstream answers"; "before" => ?before);
            self.send_load(now);
        }
    }

    fn send_pong(
        &self,
        from: SocketAddrV4,
        listed: Option<(Incarnation, u32)>,
        version: ConfigVersion,
        now: Moment,
    ) {
        self.balancers.insert(from, now);
        self.config_version.fetch_max(version.get(), Ordering::Relaxed);
        let (entry_version, written) = *self.written_entry();
        let current = (self.setup.agent_id.incarnation, entry_version);
        if entry_version > 0 && listed != Some(current) && now.since(written) >= MAX_LISTING_DELAY {
            self.entry_unlisted.notify_one();
        }
        self.reply(from, Body::Load, &[], now);
    }

    fn pass(
        &self,
        flow: Flow,
        target: Option<Target>,
        to: SocketAddrV4,
        offer: Offer,
        datagram: &[u8],
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "pass").increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            let silence = self.state.monitor().silence();
            info!(log, "passed on"; "flow" => %flow, "to" => %to, "hops" => offer.hops,
                "silence" => ?silence, "open" => %self.state.table.open_flows());
        }
        let target = target.unwrap_or(self.state.target);
        let Offer { origin, rest, hops } = offer;
        self.send(to, &Request::Offer { target, origin, rest, hops }, datagram);
    }

    fn refuse(&self, flow: Flow, origin: SocketAddrV4, datagram: &[u8], now: Moment) {
        self.log_not_delivered(flow, "refuse", "no further agent", now);
        self.reply(origin, Body::Refused, datagram, now);
    }

    fn reset(&self, flow: Flow, sequence: Sequence, cause: &'static str, now: Moment) {
        self.log_not_delivered(flow, "reset", cause, now);
        let datagram = self.format.encode_reset(flow, sequence);
        self.send_to_caller(flow, &datagram);
    }

    fn send_to_caller(&self, flow: Flow, datagram: &[u8]) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.setup.caller_port);
        self.setup.messages.send(datagram, caller);
    }

    fn reply(&self, to: SocketAddrV4, body: Body, segment: &[u8], now: Moment) {
        let version = ConfigVersion::new(self.config_version.load(Ordering::Relaxed));
        let age = self.state.age(now);
        let reply = Reply { from: self.setup.agent_id, load: self.load(now), age, version, body };
        self.send(to, &reply, segment);
    }

    fn send<T: serde::Serialize>(&self, to: SocketAddrV4, message: &T, segment: &[u8]) {
        match relay::encode(message, segment) {
            Ok(datagram) => self.setup.messages.send(&datagram, to),
            Err(error) => {
                info!(self.flow_log.log(), "message not encoded"; "cause" => %error);
            }
        }
    }

    /// Logs an event of a request with its id and its flow.
    fn log_request(
        &self,
        event: &'static str,
        segment: &Segment,
        datagram: &[u8],
        time: Option<Span>,
        now: Moment,
    ) {
        if segment.length == 0 {
            return;
        }
        let Some(id) = self.format.request_id(datagram) else { return };
        if let Some(log) = self.flow_log.normal(now) {
            let time = time.unwrap_or_default();
            info!(log, "{}", event; "request" => id, "flow" => %segment.flow,
                "active" => self.state.table.active_requests(), "waiting" => self.state.backlog().len(),
                "time" => %time, "service_time" => %self.state.table.service_time());
        }
    }

    fn log_not_delivered(
        &self,
        flow: Flow,
        outcome: &'static str,
        cause: &'static str,
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => outcome, "cause" => cause).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            let key: FlowKey = flow.key();
            info!(log, "not delivered"; "flow" => %flow, "key" => %key, "outcome" => outcome,
                "cause" => cause);
        }
    }

    fn log_junk(&self, source: &'static str, cause: &dyn std::fmt::Display, now: Moment) {
        metrics::counter!(JUNK_METRIC, "source" => source).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "junk dropped"; "source" => source, "cause" => %cause);
        }
    }

    fn log_socket_error(&self, name: &'static str, error: &std::io::Error) {
        self.log_junk(name, error, self.clock.now());
    }
}
