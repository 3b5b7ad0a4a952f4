//! Tests of what an agent records about flows that its upstream or it itself ends.

mod support;

use {
    crate::support::{
        Capture, Line,
        fakes::{FakeFormat, FakeSocket, peer},
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    std::{future, net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        flow::AgentId,
        ids::{Incarnation, Instance},
        route::{ServiceName, TrafficClass},
        segment::{Control, Flow, Outbound, Segment, Sequence},
        time::Span,
        upstream::Monitor,
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

const METRIC: &str = "yuccacroft_agent_upstream_ends_total";
/// The position that the upstream chooses for its side of the flow.
const ACCEPTED: Sequence = Sequence::new(500);

/// An agent between two sockets.
struct Agent {
    relay: Relay<FakeFormat, FakeSocket>,
    messages: FakeSocket,
    outbound: FakeSocket,
    capture: Capture,
}

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn flow() -> Flow {
    Flow { caller: address("100.64.0.1:1025"), address: address("198.18.0.1:443") }
}

fn parse(datagram: &[u8]) -> Result<Segment, &'static str> {
    let (control, acknowledged) = match datagram {
        b"o" => (Control::Open, Sequence::default()),
        b"a" => (Control::Accept, Sequence::new(101)),
        b"r" => (Control::Reset, Sequence::new(101)),
        b"f" => (Control::Finish, Sequence::new(101)),
        b"c" => (Control::Continue, ACCEPTED.next()),
        _ => return Err("not a segment"),
    };
    Ok(Segment { flow: flow(), control, sequence: ACCEPTED, acknowledged, length: 0 })
}

fn parse_outbound(datagram: &[u8]) -> Result<Outbound, &'static str> {
    match datagram {
        b"bo" => parse(b"o").map(Outbound::Bounced),
        b"bc" => parse(b"c").map(Outbound::Bounced),
        _ => parse(datagram).map(Outbound::Reply),
    }
}

impl Agent {
    fn new() -> Self {
        let (messages, outbound) = (FakeSocket::default(), FakeSocket::default());
        let instance = Instance::new(address("10.0.0.2:7000"));
        let setup = Setup {
            messages: messages.clone(),
            outbound: outbound.clone(),
            upstream: FakeSocket::default(),
            caller_port: 443,
            agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        };
        let target = ServiceName::new("booking").target();
        let state = AgentState::new(target, Monitor::new(target, Span::from_secs(1)));
        let capture = Capture::default();
        let (clock, flow_log) = (BootClock::new(SystemHost), FlowLog::new(capture.logger()));
        // The datagrams have one byte that tells the control information.
        let format = FakeFormat { parse_inbound: parse, parse_outbound, ..FakeFormat::default() };
        let relay = Relay::new(format, setup, Arc::new(state), clock, flow_log);
        Self { relay, messages, outbound, capture }
    }

    /// Lets the agent receive one segment: a balancer's if it is one of the caller, and otherwise the
    /// upstream's.
    fn receive(&self, datagram: &[u8]) {
        match datagram {
            b"o" => {
                let target = ServiceName::new("booking").target();
                let origin = peer();
                let offer = Request::Offer { target, origin, rest: Box::new([]), hops: 0 };
                self.messages.push(relay::encode(&offer, datagram).unwrap());
            }
            b"c" => {
                let carry = Request::Carry(TrafficClass::default());
                self.messages.push(relay::encode(&carry, datagram).unwrap());
            }
            _ => self.outbound.push(datagram.into()),
        }
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            tokio::select! {
                biased;
                () = self.relay.receive_messages() => {}
                () = self.relay.receive_outbound() => {}
                () = future::ready(()) => {}
            }
        });
    }
}

/// Lets a new agent receive segments and returns the lines of the log and the metrics after that.
fn receive(datagrams: &[&[u8]]) -> (Vec<Line>, String) {
    let agent = Agent::new();
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        datagrams.iter().for_each(|datagram| agent.receive(datagram));
    });
    (agent.capture.take(), recorder.handle().render())
}

/// Guards against a cut request whose cause the log does not tell: the upstream's own reset, refusal
/// or close looked like a reset that nobody had logged.
#[test]
fn an_end_by_the_upstream_is_logged_and_counted() {
    let cases: [(&[&[u8]], &str); 4] = [
        (&[b"o", b"r"], "opening refused"),
        (&[b"o", b"a", b"c", b"r"], "reset"),
        (&[b"o", b"a", b"c", b"f", b"f"], "closed"),
        (&[b"r"], "reset of an unknown flow"),
    ];
    for (datagrams, cause) in cases {
        let (lines, metrics) = receive(datagrams);
        let counter = format!("{METRIC}{{cause=\"{cause}\"}} 1");
        assert!(metrics.contains(&counter), "no {counter} in {metrics}");
        let [line] = &*lines else { panic!("{cause}: {lines:?}") };
        assert_eq!(line.event, "ended by the upstream");
        let field = |name: &str| line.fields.get(name).map(String::as_str);
        assert_eq!(field("cause"), Some(cause));
        assert_eq!(field("sender"), Some("upstream"));
        assert_eq!(field("key"), Some(&*flow().key().to_string()));
        assert_eq!(
            field("age") == Some("unknown"),
            cause == "reset of an unknown flow",
            "{line:?}"
        );
    }
}

/// Guards against a returned opening segment that no counter shows.
#[test]
fn a_returned_opening_segment_is_logged_and_counted() {
    let (lines, metrics) = receive(&[b"o", b"bo"]);
    assert!(metrics.contains(&format!("{METRIC}{{cause=\"opening returned\"}} 1")), "{metrics}");
    let line = lines.iter().find(|line| line.event == "bounced").unwrap();
    assert_eq!(line.fields.get("key"), Some(&flow().key().to_string()));
}

/// Guards against a reset by the agent that its line does not tell from one by the upstream.
#[test]
fn a_reset_by_the_agent_names_its_sender() {
    let (lines, _) = receive(&[b"o", b"a", b"c", b"bc"]);
    let is_reset = |line: &&Line| line.fields.get("outcome").is_some_and(|text| text == "reset");
    let line = lines.iter().find(is_reset).unwrap();
    assert_eq!(line.event, "not delivered");
    assert_eq!(line.fields.get("sender").map(String::as_str), Some("agent"));
    assert_eq!(line.fields.get("cause").map(String::as_str), Some("returned by the upstream"));
}
