//! The packet path of a balancer on a virtual clock, among agents that answer at once.

#![allow(dead_code, reason = "each test file uses a part of the module")]

use {
    super::{
        Capture,
        fakes::FakeFormat,
        host::{ClockHost, QueueSocket, run},
    },
    std::{collections::HashMap, net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance, Revision},
        pool::{AgentEntry, AgentLoad, AgentPhase},
        requirements::Requirements,
        route::{ConfigVersion, Route, RouteShare, RoutingTable, ServiceName, TrafficClass},
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
        units::Slots,
    },
    yuccacroft_segment::{
        balancer::relay::{Relay, Setup},
        clock::BootClock,
        flow_log::FlowLog,
    },
    yuccacroft_wire::relay::{self, Body, FlowQuery, Reply, Request},
};

/// Time between two ticks of the controllers of a balancer.
const TICK: Span = Span::from_millis(25);
/// Ticks between the checks for overdue answers.
const CHECK_TICKS: u64 = 4;
/// Ticks between pings of all members.
const PING_TICKS: u64 = 40;

/// The format, whose datagrams are the header of a segment in little-endian bytes.
const FORMAT: FakeFormat = FakeFormat {
    parse_inbound: parse,
    parse_outbound: |_| Err("not sent by upstreams"),
    encode_reset: |flow| flow.caller.port().to_le_bytes().to_vec(),
    response: |_| None,
    restore_bounced: |_| {},
    copy_delay: |_| Span::ZERO,
};

/// An agent that answers each message at once while it runs.
#[derive(Debug)]
pub struct Agent {
    pub id: AgentId,
    pub running: bool,
    /// The positions that the callers of its flows acknowledge.
    pub flows: HashMap<FlowKey, Sequence>,
}

/// A balancer and its agents.
pub struct Balancer {
    relay: Relay<FakeFormat, QueueSocket>,
    callers: QueueSocket,
    messages: QueueSocket,
    clock: ClockHost,
    ticks: u64,
    pub agents: Vec<Agent>,
    /// The number of queries that the agents were sent.
    pub queries: usize,
    /// The carried segments, with the agents that they were sent to.
    pub carried: Vec<(Instance, Segment)>,
    pub log: Capture,
}

pub fn address() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

/// The failure domain of all processes.
fn domain() -> Domain {
    Domain::new("a").unwrap()
}

pub fn instance(number: u8) -> Instance {
    Instance::new(SocketAddrV4::new([10, 0, 0, number].into(), 7_000))
}

/// Returns a segment of a flow that acknowledges a position.
pub fn segment(caller: u16, acknowledged: u32) -> Segment {
    Segment {
        flow: Flow {
            caller: SocketAddrV4::new([100, 64, 0, 1].into(), caller),
            address: address(),
        },
        control: Control::Continue,
        sequence: Sequence::new(1),
        acknowledged: Sequence::new(acknowledged),
        length: 0,
    }
}

/// Returns the first copy of the segment that opens a flow.
pub fn opening(caller: u16) -> Segment {
    Segment { control: Control::Open, ..segment(caller, 0) }
}

fn parse(datagram: &[u8]) -> Result<Segment, &'static str> {
    let [control, a, b, acknowledged @ ..] = datagram else { return Err("too short") };
    let acknowledged = acknowledged.try_into().map_err(|_| "wrong length")?;
    let found = segment(u16::from_le_bytes([*a, *b]), u32::from_le_bytes(acknowledged));
    let control = if *control == 0 { Control::Open } else { Control::Continue };
    Ok(Segment { control, ..found })
}

fn encode(segment: &Segment) -> Vec<u8> {
    let mut datagram = vec![u8::from(segment.control != Control::Open)];
    datagram.extend(segment.flow.caller.port().to_le_bytes());
    datagram.extend(segment.acknowledged.get().to_le_bytes());
    datagram
}

impl Agent {
    fn answer(&mut self, request: &Request, datagram: &[u8]) -> Vec<(Body, Vec<u8>)> {
        let segment = parse(datagram).ok();
        let key = segment.map(|segment| segment.flow.key());
        let denial = |key| Body::Denies { key, unsure: false };
        let answer = match (request, key) {
            (Request::Ping { .. }, _) => (Body::Pong, Vec::new()),
            (Request::Offer { .. }, Some(key)) => (Body::Took(key), Vec::new()),
            (Request::Search { key, acknowledged }, _) => {
                let owns = self.flows.get(key) == Some(acknowledged);
                (if owns { Body::Owns(*key) } else { denial(*key) }, Vec::new())
            }
            (Request::SearchMany(queries), _) => return self.answer_many(queries),
            (Request::Carry(_), Some(key)) if self.flows.contains_key(&key) => return Vec::new(),
            (Request::Carry(_) | Request::Probe(_), Some(key)) => (denial(key), datagram.to_vec()),
            _ => return Vec::new(),
        };
        vec![answer]
    }

    fn answer_many(&self, queries: &[FlowQuery]) -> Vec<(Body, Vec<u8>)> {
        let owns = |query: &&FlowQuery| self.flows.get(&query.key) == Some(&query.acknowledged);
        let (owned, denied): (Vec<&FlowQuery>, Vec<&FlowQuery>) = queries.iter().partition(owns);
        let keys = denied.iter().map(|query| query.key).collect();
        let mut answers = vec![(Body::DeniesMany { keys, unsure: false }, Vec::new())];
        answers.extend(owned.iter().map(|query| (Body::Owns(query.key), Vec::new())));
        answers
    }
}

impl Balancer {
    /// Creates a balancer with agents that have answered it, and a complete list of them.
    pub fn new(agents: u8) -> Self {
        let (callers, messages) = (QueueSocket::default(), QueueSocket::default());
        let (clock, log) = (ClockHost::default(), Capture::default());
        let setup = Setup {
            callers: callers.clone(),
            agents: messages.clone(),
            origin: address(),
            caller_port: 443,
            domain: domain(),
            requirements: Requirements::default(),
            crossing_price: Span::ZERO,
        };
        let boot_clock = BootClock::new(clock.clone());
        let relay = Relay::new(FORMAT, setup, boot_clock, FlowLog::new(log.logger()));
        relay.pool.set_list_complete_at(Moment::default());
        let share = RouteShare { target: ServiceName::new("booking").target(), weight: 1 };
        let route = Route { shares: [share].into(), class: TrafficClass::default() };
        let routes = RoutingTable::new(ConfigVersion::default(), [(address(), route)].into());
        *relay.current_routes.write().unwrap() = Some(Arc::new(routes));
        let agents = (1..=agents).map(|number| Agent {
            id: AgentId { instance: instance(number), incarnation: Incarnation::new(1) },
            running: true,
            flows: HashMap::new(),
        });
        let mut balancer = Self {
            relay,
            callers,
            messages,
            clock,
            ticks: 0,
            agents: agents.collect(),
            queries: 0,
            carried: Vec::new(),
            log,
        };
        for number in 0..balancer.agents.len() {
            balancer.list(number);
        }
        balancer.advance(Span::from_millis(1_200));
        balancer
    }

    pub fn now(&self) -> Moment {
        self.relay.clock.now()
    }

    /// Lists the entry of an agent.
    pub fn list(&self, number: usize) {
        let entry = AgentEntry {
            agent_id: self.agents[number].id,
            entry_version: 1,
            target: ServiceName::new("booking").target(),
            domain: domain(),
            slots: Slots::new(4),
            phase: AgentPhase::Ready,
            succeeds: false,
        };
        self.relay.pool.upsert(entry, self.now());
    }

    /// Evacuates the failure domain of all agents.
    pub fn evacuate(&self) {
        self.relay.pool.update_evacuations(|evacuations| {
            evacuations.apply_changes([domain()], [], Revision::new(1), self.now())
        });
    }

    /// Lets time pass, in ticks of the controllers.
    pub fn advance(&mut self, span: Span) {
        for _ in 0..span.as_micros() / TICK.as_micros() {
            self.clock.advance(TICK);
            let now = self.now();
            self.ticks += 1;
            self.relay.record_running(now);
            self.relay.tick_searches(now);
            if self.ticks.is_multiple_of(CHECK_TICKS) {
                self.check_members(now);
            }
            self.exchange_messages();
        }
    }

    /// Lets time pass while the balancer is paused.
    pub fn stall(&self, span: Span) {
        self.clock.advance(span);
    }

    /// Sends a ping to an agent, which gets lost.
    pub fn lose_ping(&mut self, number: usize) {
        self.agents[number].running = false;
        self.relay.ping(self.agents[number].id.instance, self.now());
        self.exchange_messages();
        self.agents[number].running = true;
    }

    fn check_members(&self, now: Moment) {
        let ping_all = self.ticks.is_multiple_of(PING_TICKS);
        let max_wait = TICK.saturating_mul(CHECK_TICKS);
        for agent in &self.agents {
            let instance = agent.id.instance;
            let is_overdue =
                self.relay.pool.get(instance).is_some_and(|m| m.is_answer_overdue(max_wait, now));
            if ping_all || is_overdue {
                self.relay.ping(instance, now);
            }
        }
        self.relay.pool.expire(now);
        self.relay.table.expire(None, now);
        self.relay.searches.expire(now);
    }

    /// Lets the balancer receive a segment and returns true if it resets its flow before time
    /// passes.
    pub fn receive(&mut self, segment: &Segment) -> bool {
        self.callers.push(encode(segment));
        run(self.relay.receive_segments());
        self.exchange_messages();
        self.has_reset()
    }

    /// Lets the balancer receive any bytes from its agents.
    pub fn receive_message(&mut self, datagram: Vec<u8>) {
        self.messages.push(datagram);
        run(self.relay.receive_messages());
        self.exchange_messages();
    }

    /// Lets the balancer receive any bytes from callers.
    pub fn receive_bytes(&mut self, datagram: Vec<u8>) {
        self.callers.push(datagram);
        run(self.relay.receive_segments());
        self.exchange_messages();
    }

    /// Returns the number of resets that the balancer has sent since the last call.
    pub fn take_resets(&self) -> usize {
        self.callers.take_sent().len()
    }

    /// Returns true if the balancer has sent a reset since the last call.
    pub fn has_reset(&self) -> bool {
        !self.callers.take_sent().is_empty()
    }

    /// Delivers messages between the balancer and its agents until there are none.
    fn exchange_messages(&mut self) {
        loop {
            let sent = self.messages.take_sent();
            if sent.is_empty() {
                return;
            }
            sent.iter().for_each(|(to, datagram)| self.deliver(Instance::new(*to), datagram));
            run(self.relay.receive_messages());
        }
    }

    fn deliver(&mut self, to: Instance, datagram: &[u8]) {
        let (request, segment) = relay::decode::<Request>(datagram).unwrap();
        match &request {
            Request::Search { .. } => self.queries += 1,
            Request::SearchMany(queries) => self.queries += queries.len(),
            Request::Carry(_) => {
                self.carried.push((to, parse(segment).unwrap()));
            }
            _ => {}
        }
        let agent = self.agents.iter_mut().find(|a| a.id.instance == to && a.running);
        let Some(agent) = agent else { return };
        for (body, returned) in agent.answer(&request, segment) {
            let load = AgentLoad { accepting: true, ..AgentLoad::default() };
            let (from, age, version) = (agent.id, Span::from_secs(60), ConfigVersion::default());
            let newest_entry = Revision::default();
            let reply = Reply { from, load, age, version, newest_entry, body };
            let datagram = relay::encode(&reply, &returned).unwrap();
            self.messages.push(datagram);
        }
    }
}
