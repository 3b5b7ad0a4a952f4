//! The packet path of a balancer: sockets around the filter chain.

use {
    super::{
        arrivals::Arrivals,
        chain::{self, Current, Decision, Item},
        searches::{Begin, Searches, Step},
    },
    crate::{host::Socket, journal::Journal},
    slog::info,
    std::{
        net::SocketAddrV4,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::Notify,
    yuccacroft_core::{
        filter::Chain,
        flow::Key,
        ids::{Domain, Instance},
        pool::Pool,
        route::{ConfigVersion, TrafficClass},
        search::Answer,
        segment::{Control, Format, Segment},
        steering::{Record, Table},
        time::{Moment, Span},
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::relay::{self, Body, Reply, Request},
};

const DECISIONS: &str = "yuccacroft_balancer_decisions_total";
const JUNK: &str = "yuccacroft_balancer_junk_total";

/// The sockets and settings of a relay.
#[derive(Debug)]
pub struct Setup<S> {
    /// Where segments of callers arrive.
    pub callers: S,
    /// Where messages of agents arrive.
    pub agents: S,
    /// The address of [`Setup::agents`], as agents reach it.
    pub origin: SocketAddrV4,
    /// The port at which callers are reached.
    pub caller_port: u16,
    /// The failure domain of the balancer.
    pub domain: Domain,
}

/// The packet path.
pub struct Relay<F, S> {
    format: F,
    setup: Setup<S>,
    chain: Chain<Item, Decision>,
    /// The flows that are known.
    pub table: Arc<Table>,
    /// The agents.
    pub pool: Arc<Pool>,
    /// The configuration in force.
    pub current: Arc<Current>,
    /// The searches under way.
    pub searches: Searches,
    /// The segments that came too early.
    arrivals: Arrivals,
    /// Asks for the configuration, when an agent knows of a newer one.
    pub outdated: Notify,
    /// The clock of all decisions.
    pub clock: Clock,
    /// Lines about flows.
    pub journal: Journal,
    /// The last moment at which a segment of a caller came, in microseconds.
    last_segment: AtomicU64,
    /// The moment from which on the list of agents is complete, in microseconds.
    certain_from: AtomicU64,
}

impl<F: Format, S: Socket> Relay<F, S> {
    /// Creates a packet path without agents and configuration.
    pub fn new(format: F, setup: Setup<S>, clock: Clock, journal: Journal) -> Self {
        let (table, pool) = (Arc::new(Table::new()), Arc::new(Pool::new()));
        let current = Arc::new(Current::default());
        let chain = chain::new(table.clone(), pool.clone(), current.clone(), setup.domain.clone());
        Self {
            format,
            setup,
            chain,
            table,
            pool,
            current,
            searches: Searches::default(),
            arrivals: Arrivals::default(),
            outdated: Notify::new(),
            clock,
            journal,
            last_segment: AtomicU64::new(0),
            certain_from: AtomicU64::new(u64::MAX),
        }
    }

    /// Forwards segments of callers for ever.
    pub async fn serve_callers(&self) {
        let take = |datagram: &mut [u8], _| self.take_segment(datagram);
        self.setup.callers.receive(take, |error| self.log_socket("callers", &error)).await;
    }

    /// Takes messages of agents for ever.
    pub async fn serve_agents(&self) {
        let take = |datagram: &mut [u8], _| self.take_message(datagram);
        self.setup.agents.receive(take, |error| self.log_socket("agents", &error)).await;
    }

    /// Sets the moment from which on the list of agents is complete.
    pub fn set_certain_from(&self, moment: Moment) {
        self.certain_from.store(moment.get(), Ordering::Relaxed);
    }

    /// Returns the time since the last segment of a caller.
    pub fn quiet(&self, now: Moment) -> Span {
        now.since(Moment::new(self.last_segment.load(Ordering::Relaxed)))
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> ConfigVersion {
        chain::current(&self.current).map_or_else(ConfigVersion::default, |routes| routes.version)
    }

    /// Returns the number of flows with segments that came too early.
    pub fn early(&self) -> usize {
        self.arrivals.len()
    }

    /// Asks an agent for its state.
    pub fn ping(&self, instance: Instance, now: Moment) {
        let entry = self.pool.get(instance).filter(|member| member.is_listed());
        let listed = entry.map(|member| (member.entry.hop.incarnation, member.entry.edition));
        self.pool.record_query(instance, now);
        self.send(instance, &Request::Ping { listed, version: self.version() }, &[]);
    }

    /// Moves all searches on.
    pub fn tick_searches(&self, now: Moment) {
        for key in self.searches.keys() {
            let steps = self.searches.tick(key, &self.pool, now);
            self.act(key, steps, now);
        }
    }

    fn take_segment(&self, datagram: &[u8]) {
        let now = self.clock.now();
        let segment = match self.format.parse_inbound(datagram) {
            Ok(segment) => segment,
            Err(error) => {
                metrics::counter!(JUNK, "source" => "callers").increment(1);
                if let Some(log) = self.journal.trouble(now) {
                    info!(log, "junk dropped"; "cause" => %error, "bytes" => datagram.len());
                }
                return;
            }
        };
        self.last_segment.store(now.get(), Ordering::Relaxed);
        self.route(segment, datagram, now, now);
    }

    /// Decides about the segments that wait.
    pub fn retry(&self, now: Moment) {
        for arrival in self.arrivals.take() {
            for (segment, datagram) in &arrival.segments {
                if arrival.is_expired(now) {
                    self.log_end(segment, "drop", arrival.cause, now);
                } else {
                    self.route(*segment, datagram, arrival.since, now);
                }
            }
        }
    }

    /// Decides about a segment that came at `since`.
    fn route(&self, segment: Segment, datagram: &[u8], since: Moment, now: Moment) {
        let mut item = Item::new(segment, now);
        let decision = self.chain.run(&mut item).unwrap_or(Decision::Search);
        let Decision::Wait(cause) = decision else {
            return self.carry_out(&item, decision, datagram, now);
        };
        if !self.arrivals.add(&segment, datagram, cause, since) {
            self.log_end(&segment, "drop", cause, now);
        }
    }

    fn carry_out(&self, item: &Item, decision: Decision, datagram: &[u8], now: Moment) {
        let segment = &item.segment;
        match decision {
            Decision::Carry(owner) => {
                metrics::counter!(DECISIONS, "outcome" => "carry").increment(1);
                self.send(owner, &Request::Carry(self.class(segment)), datagram);
            }
            Decision::Offer(target, chosen) => {
                metrics::counter!(DECISIONS, "outcome" => "offer").increment(1);
                let (first, rest) = (chosen[0], chosen[1..].into());
                self.table.record_offer(item.key, first, now);
                self.pool.record_offer(first, now);
                self.log_offer(segment, first, now);
                let origin = self.setup.origin;
                self.send(first, &Request::Offer { target, origin, rest, hops: 0 }, datagram);
            }
            Decision::Search => {
                let certain_from = Moment::new(self.certain_from.load(Ordering::Relaxed));
                let (key, target) = (item.key, item.target);
                let begin = Begin { target, class: self.class(segment), certain_from };
                if self.searches.add(key, *segment, datagram, begin, now) {
                    let steps = self.searches.tick(key, &self.pool, now);
                    self.act(key, steps, now);
                } else {
                    self.log_end(segment, "drop", "no search now", now);
                }
            }
            Decision::Reset(cause) => {
                self.table.mark_lost(item.key, now);
                self.reset(segment, cause, now);
            }
            Decision::Wait(cause) | Decision::Drop(cause) => {
                self.log_end(segment, "drop", cause, now);
            }
        }
    }

    fn act(&self, key: Key, steps: Vec<Step>, now: Moment) {
        for step in steps {
            match step {
                Step::Ask(hop, class, datagram) => {
                    self.pool.record_query(hop.instance, now);
                    self.send(hop.instance, &Request::Search(class), &datagram);
                }
                Step::Probe(hop, class, datagram) => {
                    self.pool.record_query(hop.instance, now);
                    self.send(hop.instance, &Request::Probe(class), &datagram);
                }
                Step::Found(owner, class, rest) => {
                    metrics::counter!(DECISIONS, "outcome" => "found").increment(1);
                    self.table.set_owner(key, owner, now);
                    if let Some(log) = self.journal.usual(now) {
                        info!(log, "owner found"; "key" => %key, "owner" => %owner.instance,
                            "incarnation" => %owner.incarnation);
                    }
                    for datagram in rest {
                        self.send(owner.instance, &Request::Carry(class), &datagram);
                    }
                }
                Step::Nobody(segment) => {
                    self.table.mark_lost(key, now);
                    self.reset(&segment, "all agents denied", now);
                }
                Step::GiveUp(segment) => self.log_end(&segment, "drop", "search without end", now),
            }
        }
    }

    fn take_message(&self, datagram: &[u8]) {
        let now = self.clock.now();
        let (reply, segment) = match relay::decode::<Reply>(datagram) {
            Ok(message) => message,
            Err(error) => {
                metrics::counter!(JUNK, "source" => "agents").increment(1);
                if let Some(log) = self.journal.trouble(now) {
                    info!(log, "junk dropped"; "cause" => %error, "bytes" => datagram.len());
                }
                return;
            }
        };
        self.pool.record_load(reply.from, reply.load, now);
        if reply.version > self.version() {
            self.outdated.notify_one();
        }
        match reply.body {
            Body::Load => {}
            Body::Took(key) => self.table.record_taken(key, reply.from.instance, now),
            Body::Refused => self.refused(segment, now),
            Body::Owns(key) => {
                let steps = self.searches.answer(key, reply.from, Answer::Owns, now);
                match steps {
                    Some(steps) => self.act(key, steps, now),
                    None => self.table.set_owner(key, reply.from, now),
                }
            }
            Body::Denies { key, unsure } => {
                let age = reply.age;
                let answer = if unsure { Answer::Unsure { age } } else { Answer::Denies { age } };
                match self.searches.answer(key, reply.from, answer, now) {
                    Some(steps) => self.act(key, steps, now),
                    // The late answer to a search that has ended.
                    None if segment.is_empty() => {}
                    None => self.returned(key, reply.from.instance, segment, now),
                }
            }
        }
    }

    /// Takes an opening segment back that nobody took.
    fn refused(&self, datagram: &[u8], now: Moment) {
        let Ok(segment) = self.format.parse_inbound(datagram) else {
            metrics::counter!(JUNK, "source" => "agents").increment(1);
            return;
        };
        let key = segment.flow.key();
        if matches!(self.table.get(key), Some(Record::Owned { .. })) {
            return;
        }
        self.table.remove(key);
        if now.get() < self.certain_from.load(Ordering::Relaxed) {
            self.log_end(&segment, "drop", "agents not known yet", now);
            return;
        }
        self.reset(&segment, "no agent took the flow", now);
    }

    /// Takes a segment back that was carried to an agent which does not own its flow.
    fn returned(&self, key: Key, from: Instance, datagram: &[u8], now: Moment) {
        let Ok(segment) = self.format.parse_inbound(datagram) else { return };
        match self.table.get(key) {
            Some(Record::Owned { owner, .. }) if owner.instance != from => {
                let class = self.class(&segment);
                self.send(owner.instance, &Request::Carry(class), datagram);
            }
            Some(Record::Lost { .. }) => {}
            _ => {
                self.table.remove(key);
                let mut item = Item::new(segment, now);
                item.target = chain::current(&self.current)
                    .and_then(|routes| routes.route(&segment.flow.address)?.target(key.get()));
                if let Some(log) = self.journal.trouble(now) {
                    info!(log, "owner denied"; "flow" => %segment.flow, "agent" => %from);
                }
                self.carry_out(&item, Decision::Search, datagram, now);
            }
        }
    }

    /// Ends a flow towards its caller. A caller that resets a flow itself expects no answer.
    fn reset(&self, segment: &Segment, cause: &'static str, now: Moment) {
        self.log_end(segment, "reset", cause, now);
        if segment.control == Control::Reset {
            return;
        }
        let datagram = self.format.encode_reset(segment.flow, segment.acknowledged);
        let caller = SocketAddrV4::new(*segment.flow.caller.ip(), self.setup.caller_port);
        self.setup.callers.send(&datagram, caller);
    }

    fn send(&self, to: Instance, request: &Request, segment: &[u8]) {
        match relay::encode(request, segment) {
            Ok(datagram) => self.setup.agents.send(&datagram, to.address()),
            Err(error) => {
                info!(self.journal.log(), "message not encoded"; "cause" => %error);
            }
        }
    }

    /// Returns the class of the requests of a segment's flow.
    fn class(&self, segment: &Segment) -> TrafficClass {
        let routes = chain::current(&self.current);
        let route = routes.as_ref().and_then(|routes| routes.route(&segment.flow.address));
        route.map_or_else(TrafficClass::default, |route| route.class)
    }

    fn log_offer(&self, segment: &Segment, to: Instance, now: Moment) {
        let Some(log) = self.journal.usual(now) else { return };
        let load = self.pool.get(to).and_then(|member| member.load(now));
        let (load, age) = load.unwrap_or_default();
        info!(log, "offered"; "flow" => %segment.flow, "to" => %to, "active" => load.active,
            "service_time" => %load.service_time, "load_age" => %age,
            "version" => %self.version());
    }

    fn log_end(&self, segment: &Segment, outcome: &'static str, cause: &'static str, now: Moment) {
        metrics::counter!(DECISIONS, "outcome" => outcome, "cause" => cause).increment(1);
        if let Some(log) = self.journal.trouble(now) {
            info!(log, "not forwarded"; "flow" => %segment.flow, "outcome" => outcome,
                "cause" => cause, "control" => ?segment.control, "version" => %self.version(),
                "agents" => self.pool.len());
        }
    }

    fn log_socket(&self, name: &'static str, error: &std::io::Error) {
        metrics::counter!(JUNK, "source" => name).increment(1);
        if let Some(log) = self.journal.trouble(self.clock.now()) {
            info!(log, "socket error"; "socket" => name, "cause" => %error);
        }
    }
}
