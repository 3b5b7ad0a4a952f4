//! Tests of the packet paths while failure domains are evacuated or upstreams warm up.

mod support;

use {
    crate::support::{
        Capture,
        balancer::{Balancer, opening, segment},
        fakes::{FakeFormat, FakeSocket, peer},
    },
    std::{future, net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        evacuation::Notice,
        flow::AgentId,
        ids::{Incarnation, Instance, Revision},
        limits::{FlowRate, ServiceLimits},
        requirements::Requirements,
        route::{ServiceName, Target, TrafficClass},
        segment::{Control, Flow, Outbound, Segment, Sequence},
        time::{Moment, Span},
        units::{Connections, Slots},
        upstream::{
            ConnectResult, Monitor, ReportNumber, UpstreamId, UpstreamPhase, UpstreamReport,
        },
    },
    yuccacroft_segment::{
        agent::{
            relay::{Relay, Setup},
            state::AgentState,
        },
        clock::BootClock,
        flow_log::FlowLog,
        host::SystemHost,
    },
    yuccacroft_wire::relay::{self, Request},
};

const WARMUP: Span = Span::from_secs(60);
const REQUEST_BYTES: u16 = 10;
const CALLER: u16 = 40_001;
/// The position that the upstream chooses for its side of a flow.
const ACCEPTED: Sequence = Sequence::new(500);

/// An agent between fake sockets.
struct Agent {
    relay: Relay<FakeFormat, FakeSocket>,
    messages: FakeSocket,
    outbound: FakeSocket,
}

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn target() -> Target {
    ServiceName::new("booking").target()
}

/// Decodes a datagram: the control information, the last byte of the caller's address, and the number
/// of a request if the segment has data.
fn parse(datagram: &[u8]) -> Result<Segment, &'static str> {
    let [control, caller, request @ ..] = datagram else { return Err("not a segment") };
    let caller = SocketAddrV4::new([100, 64, 0, *caller].into(), 1_025);
    let (control, acknowledged) = match control {
        b'o' => (Control::Open, Sequence::default()),
        b'a' => (Control::Accept, Sequence::new(101)),
        _ => (Control::Continue, ACCEPTED.next()),
    };
    let flow = Flow { caller, address: address("198.18.0.1:443") };
    let Some(request) = request.first() else {
        return Ok(Segment { flow, control, sequence: ACCEPTED, acknowledged, length: 0 });
    };
    let sequence = Sequence::new(101 + u32::from(*request) * u32::from(REQUEST_BYTES));
    Ok(Segment { flow, control, sequence, acknowledged, length: REQUEST_BYTES })
}

/// Decodes a datagram of the upstream. One that begins with `b` is returned.
fn parse_outbound(datagram: &[u8]) -> Result<Outbound, &'static str> {
    match datagram {
        [b'b', returned @ ..] => parse(returned).map(Outbound::Bounced),
        _ => parse(datagram).map(Outbound::Reply),
    }
}

/// Runs a receiver until its socket has no more datagrams.
fn run_until_idle(receiver: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        tokio::select! {
            biased;
            () = receiver => {}
            () = future::ready(()) => {}
        }
    });
}

impl Agent {
    fn new(requirements: Requirements) -> Self {
        let messages = FakeSocket::default();
        let instance = Instance::new(address("10.0.0.2:7000"));
        let setup = Setup {
            messages: messages.clone(),
            outbound: FakeSocket::default(),
            upstream: FakeSocket::default(),
            caller_port: 443,
            agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        };
        let state = AgentState::new(target(), Monitor::new(target(), Span::from_secs(1)))
            .with_requirements(requirements);
        let outbound = setup.outbound.clone();
        let (clock, flow_log) =
            (BootClock::new(SystemHost), FlowLog::new(Capture::default().logger()));
        let format = FakeFormat { parse_inbound: parse, parse_outbound, ..FakeFormat::default() };
        let relay = Relay::new(format, setup, Arc::new(state), clock, flow_log);
        Self { relay, messages, outbound }
    }

    /// Receives a segment from the upstream.
    fn receive_outbound(&self, datagram: &[u8]) {
        self.outbound.push(datagram.to_vec());
        run_until_idle(self.relay.receive_outbound());
    }

    fn receive(&self, request: &Request, datagram: &[u8]) {
        self.messages.push(relay::encode(request, datagram).unwrap());
        run_until_idle(self.relay.receive_messages());
    }

    fn offer(&self, caller: u8) {
        let offer = Request::Offer { target: target(), origin: peer(), rest: [].into(), hops: 0 };
        self.receive(&offer, &[b'o', caller]);
    }

    /// Opens a flow that the upstream accepts.
    fn open(&self, caller: u8) {
        self.offer(caller);
        let accepted = parse(&[b'a', caller]).unwrap();
        self.relay.state.table.handle_reply(&accepted, Moment::default());
        self.receive(&Request::Carry(TrafficClass::default()), &[b'c', caller]);
    }

    /// Sends a request on an open flow. Returns true if it waits at the agent.
    fn request(&self, caller: u8, number: u8) -> bool {
        let waiting = self.relay.state.backlog().len();
        self.receive(&Request::Carry(TrafficClass::default()), &[b'c', caller, number]);
        self.relay.state.backlog().len() > waiting
    }

    /// Answers the request in progress on a flow.
    fn answer(&self, caller: u8) {
        self.receive_outbound(&[b'c', caller, 0]);
    }

    fn notify(&self, revision: u64, is_evacuated: bool) {
        let notice = Notice { revision: Revision::new(revision), is_evacuated };
        self.receive(&Request::Evacuation(notice), &[]);
    }

    /// Sets the rate of upstreams that warm up, in flows per second.
    fn limit_warmup(&self, per_second: u32) {
        let warmup_rate = Some(FlowRate::from_hundredths(per_second * 100));
        self.receive(&Request::Limits(ServiceLimits { max_flows: None, warmup_rate }), &[]);
    }

    /// Lets a run of the upstream report the rest of its warm-up.
    fn report(&self, incarnation: u64, number: u64, warmup: Span) {
        let report = UpstreamReport {
            id: UpstreamId::new("upstream"),
            incarnation: Incarnation::new(incarnation),
            number: ReportNumber::new(number),
            target: target(),
            phase: UpstreamPhase::Ready,
            slots: Slots::new(2),
            warmup,
        };
        let age = Some(Span::from_millis(1));
        self.relay.state.monitor().handle_report(report, age, self.relay.clock.now());
    }

    /// Returns true if an opening waits for the answer of the upstream.
    fn is_offered(&self, caller: u8) -> bool {
        let key = parse(&[b'o', caller]).unwrap().flow.key();
        self.relay.state.table.offered_flow(key, Moment::default()).is_some()
    }
}

/// Guards against new flows at an upstream of an evacuated domain, also by offers that were on their
/// way, and against the loss of open flows.
#[test]
fn an_evacuated_agent_keeps_its_flows_and_takes_none() {
    let agent = Agent::new(Requirements { places: true, ..Requirements::default() });
    agent.open(1);
    agent.offer(2);
    assert!(agent.is_offered(2));
    agent.notify(5, true);
    agent.offer(3);
    assert!(!agent.is_offered(2) && !agent.is_offered(3));
    assert!(!agent.relay.load(Moment::default()).accepting);
    assert_eq!(agent.relay.state.table.open_flows().get(), 1);
    agent.notify(6, false);
    agent.offer(4);
    assert!(agent.is_offered(4));
}

/// Guards against an effect on deployments that evacuate nothing.
#[test]
fn a_notice_needs_the_requirement() {
    let agent = Agent::new(Requirements::default());
    agent.notify(5, true);
    assert!(agent.relay.state.is_accepting());
}

/// Guards against more new flows than a cold upstream bears: with the first one too many the agent
/// passes flows on, and says so in its load.
#[test]
fn a_cold_upstream_takes_its_allowance() {
    let agent = Agent::new(Requirements { places: true, ..Requirements::default() });
    agent.report(1, 1, WARMUP);
    agent.limit_warmup(2);
    // The default tolerance is one flow.
    (1..=3).for_each(|caller| agent.offer(caller));
    assert!(agent.is_offered(3) && !agent.relay.load(agent.relay.clock.now()).accepting);
    agent.offer(4);
    assert!(!agent.is_offered(4));
}

/// Guards against more requests than a cold upstream bears when they come on flows that are open
/// already, and against new flows that take the room of requests which wait.
#[test]
fn requests_on_open_flows_count_against_the_limit_of_a_cold_upstream() {
    let agent = Agent::new(Requirements { places: true, ..Requirements::default() });
    agent.report(1, 1, WARMUP);
    agent.limit_warmup(2);
    // The default tolerance is one request.
    (1..=2).for_each(|caller| agent.open(caller));
    assert!(!agent.request(1, 0));
    agent.answer(1);
    assert!(!agent.request(1, 1));
    agent.answer(1);
    agent.offer(3);
    assert!(!agent.is_offered(3));
    assert!(!agent.request(2, 0), "a first request has the room of its flow");
    assert!(agent.request(1, 2));
    let later = agent.relay.clock.now() + Span::from_millis(1_100);
    assert_eq!(agent.relay.state.room(later).map(Connections::get), Some(2));
    agent.relay.release_waiting(later);
    assert!(agent.relay.state.backlog().is_empty());
}

/// Guards against a burst at an upstream that has restarted beside a running agent and has not
/// reported yet: what shows that it is a new run makes it cold, until a report says otherwise.
#[test]
fn an_upstream_is_cold_from_the_first_sign_of_a_new_run() {
    let signs: [fn(&Agent); 3] = [
        // Its port was closed and answers again.
        |agent| {
            let now = agent.relay.clock.now();
            agent.relay.apply_port_check(now, ConnectResult::Refused, now);
            agent.receive_outbound(b"a\x01");
        },
        // It returns a segment of an open flow.
        |agent| agent.receive_outbound(b"bc\x01"),
        // A run that appears to be older reports.
        |agent| agent.report(1, 1, WARMUP),
    ];
    for (number, sign) in signs.iter().enumerate() {
        let agent = Agent::new(Requirements { places: true, ..Requirements::default() });
        agent.report(2, 1, Span::ZERO);
        agent.limit_warmup(1);
        agent.open(1);
        sign(&agent);
        // The default tolerance is one flow, and that of before the sign counts as well.
        agent.offer(2);
        agent.offer(3);
        assert!(agent.is_offered(2) && !agent.is_offered(3), "sign {number}");
        agent.report(2, 2, Span::ZERO);
        agent.offer(3);
        assert!(agent.is_offered(3), "sign {number}");
    }
}

/// Guards against more flows than an upstream holds when a burst arrives within one handshake: each
/// offer beyond the limit is passed on at once.
#[test]
fn a_burst_within_a_handshake_keeps_the_limit_of_flows() {
    let agent = Agent::new(Requirements { places: true, ..Requirements::default() });
    let max_flows = Some(Connections::new(3));
    agent.receive(&Request::Limits(ServiceLimits { max_flows, warmup_rate: None }), &[]);
    agent.open(1);
    (2..=3).for_each(|caller| agent.offer(caller));
    assert!(!agent.relay.load(agent.relay.clock.now()).accepting);
    agent.offer(4);
    assert!(agent.is_offered(3) && !agent.is_offered(4));
}

/// Guards against callers that wait until they give up while no domain may serve them.
#[test]
fn a_flow_is_refused_at_once_if_all_domains_are_evacuated() {
    let mut balancer = Balancer::new(4);
    balancer.evacuate();
    assert!(balancer.receive(&opening(CALLER)));
}

/// Guards against the reset of a flow that has opened by an earlier copy of its opening segment, which
/// another balancer forwarded before the evacuation.
#[test]
fn a_later_copy_is_not_refused_alone() {
    let mut balancer = Balancer::new(4);
    balancer.evacuate();
    let copy = Segment { control: Control::Open, ..segment(CALLER, 1) };
    assert!(!balancer.receive(&copy));
}
