//! The packet path of an agent on a virtual clock. The test plays its balancers and its upstream.

#![allow(dead_code, reason = "each test file uses a part of the module")]

use {
    super::{
        Capture,
        fakes::{FakeFormat, peer},
        host::{ClockHost, QueueSocket, Sent, run},
    },
    std::{net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        flow::AgentId,
        handshake::FlowSource,
        ids::{Domain, Incarnation, Instance},
        requirements::Requirements,
        route::{ServiceName, Target, TrafficClass},
        segment::{Control, Flow, Outbound, Response, Segment, Sequence},
        time::{Moment, Span},
        units::Percent,
        upstream::Monitor,
    },
    yuccacroft_segment::{
        agent::{
            relay::{Relay, Setup},
            state::AgentState,
        },
        clock::BootClock,
        flow_log::FlowLog,
    },
    yuccacroft_wire::relay::{self, Body, Reply, Request},
};

/// The positions at which caller and upstream begin.
const CALLER_START: u32 = 100;
const UPSTREAM_START: u32 = 500;
const REQUEST_BYTES: u16 = 50;
const RESPONSE_BYTES: u16 = 80;
const CALLER_PORT: u16 = 443;
/// Time between two copies of an opening segment.
pub const COPY_DELAY: Span = Span::from_millis(200);
/// Time between two ticks of the timers of an agent.
const TICK: Span = Span::from_millis(20);

/// The format, whose datagrams are a [`Kind`], the port of the caller and the number of the request.
const FORMAT: FakeFormat = FakeFormat {
    parse_inbound: |datagram| parse(datagram).ok_or("not a segment"),
    parse_outbound,
    encode_reset: |flow| encode(Kind::Reset, flow.caller.port(), 0),
    response,
    restore_bounced: |datagram| datagram[0] = Kind::Open as u8,
    copy_delay: |number| COPY_DELAY.saturating_mul(number.into()),
};

/// What a segment does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Open,
    Accept,
    Acknowledge,
    Request,
    /// A segment of the first request, after as many others as its number tells.
    Part,
    Success,
    ServerError,
    Reset,
    /// The upstream returns an opening segment.
    ReturnedOpening,
}

const KINDS: [Kind; 9] = [
    Kind::Open,
    Kind::Accept,
    Kind::Acknowledge,
    Kind::Request,
    Kind::Part,
    Kind::Success,
    Kind::ServerError,
    Kind::Reset,
    Kind::ReturnedOpening,
];

/// An agent between its balancers and its upstream.
pub struct Agent {
    pub relay: Relay<FakeFormat, QueueSocket>,
    messages: QueueSocket,
    outbound: QueueSocket,
    upstream: QueueSocket,
    clock: ClockHost,
    pub log: Capture,
}

pub fn target() -> Target {
    ServiceName::new("booking").target()
}

/// Returns an agent beside the one that is tested.
pub fn other_agent() -> Instance {
    Instance::new(SocketAddrV4::new([10, 0, 0, 9].into(), 7_000))
}

pub fn encode(kind: Kind, port: u16, number: u8) -> Vec<u8> {
    let [low, high] = port.to_le_bytes();
    vec![kind as u8, low, high, number]
}

fn decode(datagram: &[u8]) -> Option<(Kind, u16, u32)> {
    let &[kind, low, high, number] = datagram else { return None };
    let kind = KINDS.get(usize::from(kind))?;
    Some((*kind, u16::from_le_bytes([low, high]), number.into()))
}

fn parse(datagram: &[u8]) -> Option<Segment> {
    let (kind, port, number) = decode(datagram)?;
    let caller = SocketAddrV4::new([100, 64, 0, 1].into(), port);
    let address = SocketAddrV4::new([198, 18, 0, 1].into(), CALLER_PORT);
    let sent = CALLER_START + 1 + number * u32::from(REQUEST_BYTES);
    let answered = UPSTREAM_START + 1 + number * u32::from(RESPONSE_BYTES);
    let (control, sequence, acknowledged, length) = match kind {
        Kind::Open | Kind::ReturnedOpening => (Control::Open, CALLER_START, number, 0),
        Kind::Accept => (Control::Accept, UPSTREAM_START, CALLER_START + 1, 0),
        Kind::Acknowledge => (Control::Continue, sent, answered, 0),
        Kind::Request => (Control::Continue, sent, answered, REQUEST_BYTES),
        Kind::Part => (Control::Continue, sent, UPSTREAM_START + 1, REQUEST_BYTES),
        Kind::Success | Kind::ServerError => {
            (Control::Continue, answered, sent + u32::from(REQUEST_BYTES), RESPONSE_BYTES)
        }
        Kind::Reset => (Control::Reset, answered, sent, 0),
    };
    let (sequence, acknowledged) = (Sequence::new(sequence), Sequence::new(acknowledged));
    Some(Segment { flow: Flow { caller, address }, control, sequence, acknowledged, length })
}

fn parse_outbound(datagram: &[u8]) -> Result<Outbound, &'static str> {
    let segment = parse(datagram).ok_or("not a segment")?;
    let is_returned = segment.control == Control::Open;
    Ok(if is_returned { Outbound::Bounced(segment) } else { Outbound::Reply(segment) })
}

fn response(datagram: &[u8]) -> Option<Response> {
    match decode(datagram)?.0 {
        Kind::Success => Some(Response::Success),
        Kind::ServerError => Some(Response::ServerError),
        _ => None,
    }
}

impl Agent {
    /// Creates an agent of a deployment whose requirements call for measured outcomes.
    pub fn new() -> Self {
        Self::with_requirements(Requirements { health: true, ..Requirements::default() })
    }

    pub fn with_requirements(requirements: Requirements) -> Self {
        let (clock, log) = (ClockHost::default(), Capture::default());
        let (messages, outbound, upstream) =
            (QueueSocket::default(), QueueSocket::default(), QueueSocket::default());
        let instance = Instance::new(SocketAddrV4::new([10, 0, 0, 2].into(), 7_000));
        let setup = Setup {
            messages: messages.clone(),
            outbound: outbound.clone(),
            upstream: upstream.clone(),
            caller_port: CALLER_PORT,
            agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        };
        let monitor = Monitor::new(target(), Span::from_secs(1));
        let state = AgentState::new(target(), monitor).with_requirements(requirements);
        let flow_log = FlowLog::new(log.logger());
        let boot_clock = BootClock::new(clock.clone());
        let relay = Relay::new(FORMAT, setup, Arc::new(state), boot_clock, flow_log);
        let agent = Self { relay, messages, outbound, upstream, clock, log };
        agent.clock.advance(Span::from_secs(1));
        agent
    }

    pub fn now(&self) -> Moment {
        self.relay.clock.now()
    }

    /// Lets time pass, in ticks of the timers.
    pub fn advance(&self, span: Span) {
        for _ in 0..span.as_micros() / TICK.as_micros() {
            self.clock.advance(TICK);
            self.relay.tick(self.now());
        }
    }

    /// Lets the agent receive an opening segment with the agents to offer it to next.
    pub fn offer(&self, port: u16, rest: &[Instance]) {
        self.offer_from(port, peer(), TrafficClass::default(), rest);
    }

    pub fn offer_from(
        &self,
        port: u16,
        origin: SocketAddrV4,
        class: TrafficClass,
        rest: &[Instance],
    ) {
        self.offer_copy(port, 0, origin, class, rest);
    }

    fn offer_copy(
        &self,
        port: u16,
        copy_number: u8,
        origin: SocketAddrV4,
        class: TrafficClass,
        rest: &[Instance],
    ) {
        let (rest, hops) = (rest.into(), 0);
        let offer = Request::ClassifiedOffer { class, target: target(), origin, rest, hops };
        self.receive_message(&offer, Kind::Open, port, copy_number);
    }

    /// Lets the agent receive a segment of an open flow.
    pub fn carry(&self, kind: Kind, port: u16, number: u8) {
        self.receive_message(&Request::Carry(TrafficClass::default()), kind, port, number);
    }

    /// Lets the agent receive the first request of a flow, of this class.
    pub fn request(&self, port: u16, class: TrafficClass) {
        self.receive_message(&Request::Carry(class), Kind::Request, port, 0);
    }

    /// Lets the agent receive a message without a segment.
    pub fn receive_request(&self, request: &Request) {
        self.messages.push(relay::encode(request, &[]).unwrap());
        run(self.relay.receive_messages());
    }

    fn receive_message(&self, request: &Request, kind: Kind, port: u16, number: u8) {
        self.messages.push(relay::encode(request, &encode(kind, port, number)).unwrap());
        run(self.relay.receive_messages());
    }

    /// Lets the agent receive a segment of its upstream.
    pub fn receive_upstream(&self, kind: Kind, port: u16, number: u8) {
        self.outbound.push(encode(kind, port, number));
        run(self.relay.receive_outbound());
    }

    /// Opens a flow at the upstream.
    pub fn open(&self, port: u16) {
        self.open_with_copy(port, 0);
    }

    /// Opens a flow at the upstream with a copy of its opening segment.
    pub fn open_with_copy(&self, port: u16, copy_number: u8) {
        self.offer_copy(port, copy_number, peer(), TrafficClass::default(), &[]);
        self.receive_upstream(Kind::Accept, port, 0);
        self.carry(Kind::Acknowledge, port, 0);
    }

    /// Returns what the upstream got since the last call.
    pub fn take_delivered(&self) -> Vec<Vec<u8>> {
        self.upstream.take_sent_connected()
    }

    /// Returns the datagrams that callers got since the last call, and those to processes with their
    /// receivers.
    pub fn take_sent(&self) -> (Vec<Vec<u8>>, Vec<Sent>) {
        let (callers, processes): (Vec<_>, Vec<_>) =
            self.messages.take_sent().into_iter().partition(|(to, _)| to.port() == CALLER_PORT);
        (callers.into_iter().map(|(_, datagram)| datagram).collect(), processes)
    }

    /// Returns the failure domain of a balancer, as far as the agent knows it.
    pub fn domain_of(&self, balancer: SocketAddrV4) -> Option<Domain> {
        let source = FlowSource { class: None, origin: balancer };
        self.relay.state.labels(Some(source)).domain
    }

    /// Returns the share of the latest requests that failed.
    pub fn failures(&self) -> Percent {
        self.relay.measures(self.now()).failures
    }
}

/// Returns the offers among messages, with their receivers and segments.
pub fn offers(messages: &[Sent]) -> Vec<(Instance, Vec<u8>)> {
    let offer = |(to, datagram): &Sent| {
        let (request, segment) = relay::decode::<Request>(datagram).ok()?;
        let is_offer = matches!(request, Request::ClassifiedOffer { .. });
        is_offer.then(|| (Instance::new(*to), segment.to_vec()))
    };
    messages.iter().filter_map(offer).collect()
}

/// Returns the refusals among messages, as segments that go back to the balancer.
pub fn refusals(messages: &[Sent]) -> Vec<Vec<u8>> {
    let refusal = |(_, datagram): &Sent| {
        let (reply, segment) = relay::decode::<Reply>(datagram).ok()?;
        (reply.body == Body::Refused).then(|| segment.to_vec())
    };
    messages.iter().filter_map(refusal).collect()
}
