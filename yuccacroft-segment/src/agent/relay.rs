//! The packet path of an agent: sockets around the filter chain.

use {
    super::chain::{self, Beliefs, Item, Way},
    crate::{dump, host::Socket, journal::Journal},
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
        filter::Chain,
        flow::{Hop, Key},
        handshake::{Action, Decision, LostFlow, Offer, Reason},
        ids::Incarnation,
        pool::Load,
        route::{ConfigVersion, Target, TrafficClass},
        segment::{Control, Flow, Format, Outbound, Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
        upstream::{Check, Silence},
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::relay::{self, Body, Reply, Request},
};

const DECISIONS: &str = "yuccacroft_agent_decisions_total";
/// The metric of the open flows.
const OPEN_FLOWS: &str = "yuccacroft_agent_open_flows";
/// The metric of the requests in progress at the upstream.
const ACTIVE: &str = "yuccacroft_agent_active_requests";
/// The metric of the requests that wait for the upstream.
const WAITING: &str = "yuccacroft_agent_waiting_requests";
const JUNK: &str = "yuccacroft_agent_junk_total";
const SERVICE_SECONDS: &str = "yuccacroft_agent_service_seconds";
/// Time for which a balancer that sent something is told the load.
const BALANCER_MEMORY: Span = Span::from_secs(3);
/// Time of an answer that is logged: longer than most answers, shorter than most objectives.
const SLOW_ANSWER: Span = Span::from_millis(100);
/// Time within which an entry that was written reaches the listing of every balancer.
const LISTING_DELAY: Span = Span::from_millis(1_500);

/// The sockets and settings of a relay.
#[derive(Debug)]
pub struct Setup<S> {
    /// Where messages of balancers and other agents arrive.
    pub messages: S,
    /// Where the upstream sends its segments.
    pub outbound: S,
    /// The way to the upstream.
    pub upstream: S,
    /// The port at which callers are reached.
    pub caller_port: u16,
    /// The address and life of the agent.
    pub own: Hop,
}

/// The packet path.
pub struct Relay<F, S> {
    format: F,
    setup: Setup<S>,
    chain: Chain<Item, Decision>,
    /// What the agent knows of its flows and its upstream.
    pub beliefs: Arc<Beliefs>,
    /// Asks for the entry to be checked, since a balancer does not see it.
    pub unlisted: Notify,
    /// The clock of all decisions.
    pub clock: Clock,
    /// Lines about flows.
    pub journal: Journal,
    balancers: Shards<SocketAddrV4, Moment>,
    /// The number of the entry in the store, and when it was written in microseconds.
    written: Mutex<(u32, Moment)>,
    version: AtomicU64,
}

impl<F: Format, S: Socket> Relay<F, S> {
    /// Creates a packet path.
    pub fn new(
        format: F,
        setup: Setup<S>,
        beliefs: Arc<Beliefs>,
        clock: Clock,
        journal: Journal,
    ) -> Self {
        let chain = chain::new(&beliefs);
        Self {
            format,
            setup,
            chain,
            beliefs,
            unlisted: Notify::new(),
            clock,
            journal,
            balancers: Shards::with_shards(1),
            written: Mutex::default(),
            version: AtomicU64::new(0),
        }
    }

    /// Takes messages of balancers and other agents for ever.
    pub async fn serve_messages(&self) {
        let take = |datagram: &mut [u8], from| self.take_message(datagram, from);
        self.setup.messages.receive(take, |error| self.log_socket("messages", &error)).await;
    }

    /// Takes segments of the upstream for ever.
    pub async fn serve_outbound(&self) {
        let take = |datagram: &mut [u8], _| self.take_outbound(datagram);
        self.setup.outbound.receive(take, |error| self.log_socket("outbound", &error)).await;
    }

    /// Learns for ever when the system says that nobody listens at the upstream's address.
    pub async fn serve_refusals(&self) {
        let failed = |error: std::io::Error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                self.checked(Check::Refused, self.clock.now());
            }
        };
        self.setup.upstream.receive(|_, _| {}, failed).await;
    }

    /// Returns the address and life of the agent.
    pub fn own(&self) -> Hop {
        self.setup.own
    }

    /// Notes the number of the entry that is in the store now.
    pub fn set_written(&self, edition: u32) {
        *self.written() = (edition, self.clock.now());
    }

    fn written(&self) -> MutexGuard<'_, (u32, Moment)> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops taking new flows; those that live here stay.
    pub fn stop(&self) {
        self.beliefs.stop();
        self.tell_load(self.clock.now());
    }

    /// Returns the load of the agent.
    pub fn load(&self, now: Moment) -> Load {
        let accepting = self.beliefs.is_accepting();
        let warmup = self.beliefs.monitor().remaining_warmup(now);
        Load {
            accepting,
            active: self.beliefs.active(),
            busy: self.beliefs.busy(),
            open: self.beliefs.table.open_flows(),
            service_time: self.beliefs.table.service_time(),
            warmup,
            stopping: self.beliefs.is_stopping() && !self.beliefs.is_alone(),
        }
    }

    /// Returns what the process believes.
    pub fn dump(&self) -> dump::Agent {
        let now = self.clock.now();
        let (edition, written) = *self.written();
        let upstream = {
            let monitor = self.beliefs.monitor();
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
            incarnation: self.setup.own.incarnation,
            uptime: now.since(Moment::default()),
            stopping: self.beliefs.is_stopping(),
            accepting: self.beliefs.is_accepting(),
            version: ConfigVersion::new(self.version.load(Ordering::Relaxed)),
            edition,
            entry_age: now.since(written),
            upstream,
            load: self.load(now),
            waiting: self.beliefs.backlog().len(),
            balancers: self.balancers.len(),
        }
    }

    /// Shows the sizes of what the process holds.
    pub fn gauge(&self) {
        metrics::gauge!(OPEN_FLOWS).set(f64::from(self.beliefs.table.open_flows().get()));
        metrics::gauge!(ACTIVE).set(f64::from(self.beliefs.table.active_requests()));
        metrics::gauge!(WAITING).set(self.beliefs.backlog().len() as f64);
    }

    /// Tells the load to every balancer that sent something lately.
    pub fn tell_load(&self, now: Moment) {
        self.balancers.retain(|_, seen| now.since(*seen) < BALANCER_MEMORY);
        let all = self.balancers.fold(Vec::new(), |mut all, balancer, _| {
            all.push(*balancer);
            all
        });
        all.into_iter().for_each(|balancer| self.reply(balancer, Body::Load, &[], now));
    }

    /// Lets time pass for the flows.
    pub fn tick(&self, now: Moment) {
        for action in self.beliefs.table.tick(now) {
            self.act(action, now);
        }
        self.release_waiting(now);
        self.beliefs.observe();
    }

    /// Hands the opening segments that wait for the upstream to other agents.
    pub fn release(&self, now: Moment) {
        for action in self.beliefs.table.release_unaccepted() {
            self.act(action, now);
        }
    }

    /// Takes the result of a check of the upstream's port.
    pub fn checked(&self, result: Check, now: Moment) {
        let (before, after) = {
            let mut monitor = self.beliefs.monitor();
            let before = monitor.silence();
            monitor.record_check(result, now);
            (before, monitor.silence())
        };
        if before != after {
            info!(self.journal.log(), "upstream judged"; "silence" => ?after, "before" => ?before,
                "check" => ?result);
        }
        if after == Silence::Dead && before != Silence::Dead {
            self.release(now);
            self.lose("upstream dead", now, now);
            self.tell_load(now);
        }
    }

    /// Ends the flows that an upstream had before a moment at which it ended, so that their callers
    /// need not wait.
    pub fn lose(&self, cause: &'static str, before: Moment, now: Moment) {
        let lost = self.beliefs.table.remove_begun_before(before);
        if !lost.is_empty() {
            info!(self.journal.log(), "flows lost"; "count" => lost.len(), "cause" => cause,
                "busy" => lost.iter().filter(|flow| flow.busy).count());
        }
        for LostFlow { flow, acknowledged, .. } in lost {
            self.beliefs.backlog().remove(flow.key());
            self.reset(flow, acknowledged, cause, now);
        }
    }

    fn take_message(&self, datagram: &[u8], from: SocketAddrV4) {
        let now = self.clock.now();
        let (request, bytes) = match relay::decode::<Request>(datagram) {
            Ok(message) => message,
            Err(error) => return self.log_junk("messages", &error, now),
        };
        let way = match request {
            Request::Ping { listed, version } => return self.answer(from, listed, version, now),
            Request::Offer { target, origin, rest, hops } => {
                self.balancers.insert(origin, now);
                Way::Open(target, Offer { origin, rest, hops }, bytes.into())
            }
            Request::Carry(class) => Way::Flow(from, Reason::Owner, class),
            Request::Search(class) => Way::Flow(from, Reason::Search, class),
            Request::Probe(class) => Way::Flow(from, Reason::Probe, class),
        };
        let segment = match self.format.parse_inbound(bytes) {
            Ok(segment) => segment,
            Err(error) => return self.log_junk("segments", &error, now),
        };
        let mut item = Item { segment, way, now };
        let decision = self.chain.run(&mut item).unwrap_or(Decision::Drop("undecided"));
        let target = match &item.way {
            Way::Open(target, ..) => Some(*target),
            Way::Flow(..) => None,
        };
        let to = match &item.way {
            Way::Open(_, offer, _) => offer.origin,
            Way::Flow(origin, ..) => *origin,
        };
        if let (Decision::Hold, Way::Flow(_, reason, class)) = (&decision, &item.way) {
            return self.hold(&item.segment, to, *reason, *class, bytes, now);
        }
        self.carry_out(&item.segment, target, to, decision, bytes, now);
    }

    /// Carries out a decision about a segment that another process sent. `origin` is the balancer
    /// that is told.
    fn carry_out(
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
                metrics::counter!(DECISIONS, "outcome" => "deny").increment(1);
                let datagram = if returned { datagram } else { &[] };
                self.reply(origin, Body::Denies { key, unsure }, datagram, now);
            }
            Decision::Reset(sequence) => {
                self.reset(segment.flow, sequence, "returned by the upstream", now);
            }
            Decision::Hold => {}
            Decision::Drop(cause) => self.log_end(segment.flow, "drop", cause, now),
        }
    }

    /// Lets a segment of a request wait until the upstream has room for it.
    fn hold(
        &self,
        segment: &Segment,
        origin: SocketAddrV4,
        reason: Reason,
        class: TrafficClass,
        datagram: &[u8],
        now: Moment,
    ) {
        metrics::counter!(DECISIONS, "outcome" => "hold").increment(1);
        let key = segment.flow.key();
        let held = self.beliefs.backlog().add(segment, datagram, class, now);
        if !held {
            self.beliefs.table.drop_held(key);
            self.deliver(segment, datagram, now);
        }
        if reason != Reason::Owner {
            self.reply(origin, Body::Owns(key), &[], now);
        }
        if let Some(log) = self.journal.usual(now) {
            let id = self.format.request_id(datagram).unwrap_or_default();
            info!(log, "held"; "request" => id, "flow" => %segment.flow,
                "priority" => %class.priority, "active" => self.beliefs.table.active_requests(),
                "room" => self.beliefs.room(), "waiting" => self.beliefs.backlog().len());
        }
    }

    /// Hands waiting requests to the upstream while it has room.
    pub fn release_waiting(&self, now: Moment) {
        while self.beliefs.table.active_requests() < self.beliefs.room() {
            let time = self.beliefs.table.service_time();
            let Some(release) = self.beliefs.backlog().release(time, now) else { return };
            match release {
                Release::Start(key, datagrams) => {
                    if self.beliefs.table.start_held(key, now) {
                        datagrams.iter().for_each(|datagram| self.forward(datagram, now));
                        self.log_started(&datagrams, now);
                    }
                }
                Release::Expired(key) => {
                    self.beliefs.table.drop_held(key);
                    metrics::counter!(DECISIONS, "outcome" => "expired").increment(1);
                    if let Some(log) = self.journal.trouble(now) {
                        info!(log, "request expired while it waited"; "key" => %key);
                    }
                }
            }
        }
    }

    fn log_started(&self, datagrams: &[Box<[u8]>], now: Moment) {
        let Some(datagram) = datagrams.first() else { return };
        if let Ok(segment) = self.format.parse_inbound(datagram) {
            self.log_request("request", &segment, datagram, None, now);
        }
    }

    fn forward(&self, datagram: &[u8], now: Moment) {
        self.beliefs.monitor().record_data(now);
        if !self.setup.upstream.send_connected(datagram) {
            self.checked(Check::Refused, now);
        }
    }

    fn act(&self, action: Action, now: Moment) {
        match action {
            Action::Pass { flow, to, offer, datagram } => {
                self.pass(flow, Some(self.beliefs.target), to.address(), offer, &datagram, now);
            }
            Action::Refuse { flow, origin, datagram } => self.refuse(flow, origin, &datagram, now),
            Action::Confirm { flow, origin } => {
                self.reply(origin, Body::Owns(flow.key()), &[], now);
            }
        }
    }

    fn deliver(&self, segment: &Segment, datagram: &[u8], now: Moment) {
        metrics::counter!(DECISIONS, "outcome" => "deliver").increment(1);
        self.log_request("request", segment, datagram, None, now);
        {
            let mut monitor = self.beliefs.monitor();
            match segment.control {
                Control::Open => monitor.record_opening(now),
                _ if segment.length > 0 => monitor.record_data(now),
                _ => {}
            }
        }
        if !self.setup.upstream.send_connected(datagram) {
            self.checked(Check::Refused, now);
        }
    }

    fn take_outbound(&self, datagram: &mut [u8]) {
        let now = self.clock.now();
        match self.format.parse_outbound(datagram) {
            Ok(Outbound::Reply(segment)) => {
                self.hear(now);
                if let Some(progress) = self.format.requests_in_progress(datagram) {
                    self.beliefs.table.reconcile_active(progress);
                }
                if let Some(time) = self.beliefs.table.handle_reply(&segment, now) {
                    metrics::histogram!(SERVICE_SECONDS)
                        .record(std::time::Duration::from(time).as_secs_f64());
                    if time >= SLOW_ANSWER {
                        self.log_request("slow answer", &segment, datagram, Some(time), now);
                    }
                }
                self.send_to_caller(segment.flow, datagram);
                self.release_waiting(now);
            }
            Ok(Outbound::Bounced(segment)) => {
                self.hear(now);
                self.format.restore_bounced(datagram);
                let decision = self.beliefs.table.handle_bounce(&segment, now);
                if let Some(log) = self.journal.trouble(now) {
                    info!(log, "bounced"; "flow" => %segment.flow, "control" => ?segment.control,
                        "decision" => decision.name());
                }
                self.bounced(&segment, decision, datagram, now);
            }
            Err(error) => self.log_junk("outbound", &error, now),
        }
    }

    fn bounced(&self, segment: &Segment, decision: Decision, datagram: &[u8], now: Moment) {
        let origin = match &decision {
            Decision::Pass(_, offer) => offer.origin,
            Decision::Refuse(origin) | Decision::Deny { origin, .. } => *origin,
            // The others tell no balancer anything.
            _ => self.setup.own.instance.address(),
        };
        self.carry_out(segment, Some(self.beliefs.target), origin, decision, datagram, now);
    }

    fn hear(&self, now: Moment) {
        let mut monitor = self.beliefs.monitor();
        let before = monitor.silence();
        monitor.record_reply(now);
        drop(monitor);
        if before != Silence::None {
            info!(self.journal.log(), "upstream answers"; "before" => ?before);
            self.tell_load(now);
        }
    }

    fn answer(
        &self,
        from: SocketAddrV4,
        listed: Option<(Incarnation, u32)>,
        version: ConfigVersion,
        now: Moment,
    ) {
        self.balancers.insert(from, now);
        self.version.fetch_max(version.get(), Ordering::Relaxed);
        let (edition, written) = *self.written();
        let own = (self.setup.own.incarnation, edition);
        if edition > 0 && listed != Some(own) && now.since(written) >= LISTING_DELAY {
            self.unlisted.notify_one();
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
        metrics::counter!(DECISIONS, "outcome" => "pass").increment(1);
        if let Some(log) = self.journal.trouble(now) {
            let silence = self.beliefs.monitor().silence();
            info!(log, "passed on"; "flow" => %flow, "to" => %to, "hops" => offer.hops,
                "silence" => ?silence, "open" => %self.beliefs.table.open_flows());
        }
        let target = target.unwrap_or(self.beliefs.target);
        let Offer { origin, rest, hops } = offer;
        self.send(to, &Request::Offer { target, origin, rest, hops }, datagram);
    }

    fn refuse(&self, flow: Flow, origin: SocketAddrV4, datagram: &[u8], now: Moment) {
        self.log_end(flow, "refuse", "no further agent", now);
        self.reply(origin, Body::Refused, datagram, now);
    }

    fn reset(&self, flow: Flow, sequence: Sequence, cause: &'static str, now: Moment) {
        self.log_end(flow, "reset", cause, now);
        let datagram = self.format.encode_reset(flow, sequence);
        self.send_to_caller(flow, &datagram);
    }

    fn send_to_caller(&self, flow: Flow, datagram: &[u8]) {
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.setup.caller_port);
        self.setup.messages.send(datagram, caller);
    }

    fn reply(&self, to: SocketAddrV4, body: Body, segment: &[u8], now: Moment) {
        let version = ConfigVersion::new(self.version.load(Ordering::Relaxed));
        let age = self.beliefs.age(now);
        let reply = Reply { from: self.setup.own, load: self.load(now), age, version, body };
        self.send(to, &reply, segment);
    }

    fn send<T: serde::Serialize>(&self, to: SocketAddrV4, message: &T, segment: &[u8]) {
        match relay::encode(message, segment) {
            Ok(datagram) => self.setup.messages.send(&datagram, to),
            Err(error) => {
                info!(self.journal.log(), "message not encoded"; "cause" => %error);
            }
        }
    }

    /// Writes a line that ties the id of a request to its flow.
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
        if let Some(log) = self.journal.usual(now) {
            let time = time.unwrap_or_default();
            info!(log, "{}", event; "request" => id, "flow" => %segment.flow,
                "active" => self.beliefs.table.active_requests(), "waiting" => self.beliefs.backlog().len(),
                "time" => %time, "service_time" => %self.beliefs.table.service_time());
        }
    }

    fn log_end(&self, flow: Flow, outcome: &'static str, cause: &'static str, now: Moment) {
        metrics::counter!(DECISIONS, "outcome" => outcome, "cause" => cause).increment(1);
        if let Some(log) = self.journal.trouble(now) {
            let key: Key = flow.key();
            info!(log, "not delivered"; "flow" => %flow, "key" => %key, "outcome" => outcome,
                "cause" => cause);
        }
    }

    fn log_junk(&self, source: &'static str, cause: &dyn std::fmt::Display, now: Moment) {
        metrics::counter!(JUNK, "source" => source).increment(1);
        if let Some(log) = self.journal.trouble(now) {
            info!(log, "junk dropped"; "source" => source, "cause" => %cause);
        }
    }

    fn log_socket(&self, name: &'static str, error: &std::io::Error) {
        self.log_junk(name, error, self.clock.now());
    }
}
