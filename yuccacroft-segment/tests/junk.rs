//! Tests of what a balancer records about datagrams that it cannot decode.

mod support;

use {
    crate::support::{Capture, Line},
    metrics_exporter_prometheus::PrometheusBuilder,
    std::{future, io, net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance, Revision},
        pool::AgentLoad,
        route::ConfigVersion,
        segment::{Flow, Format, Outbound, Segment, Sequence},
        time::Span,
    },
    yuccacroft_segment::{
        balancer::relay::{Relay, Setup},
        clock::BootClock,
        errors::Result as StartResult,
        flow_log::FlowLog,
        host::{Socket, SystemHost},
    },
    yuccacroft_wire::relay::{self, Body, Reply},
};

const METRIC: &str = "yuccacroft_balancer_junk_total";

/// A format in which no datagram is valid.
#[derive(Clone, Debug)]
struct InvalidFormat;

/// A socket that receives one datagram.
#[derive(Debug)]
struct FakeSocket(Arc<[u8]>);

impl Format for InvalidFormat {
    type Error = &'static str;

    fn parse_inbound(&self, _: &[u8]) -> Result<Segment, Self::Error> {
        Err("not a segment")
    }

    fn parse_outbound(&self, _: &[u8]) -> Result<Outbound, Self::Error> {
        Err("not a segment")
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }

    fn requests_in_progress(&self, _: &[u8]) -> Option<u32> {
        None
    }

    fn restore_bounced(&self, _: &mut [u8]) {}

    fn encode_reset(&self, _: Flow, _: Sequence) -> Vec<u8> {
        Vec::new()
    }
}

impl Socket for FakeSocket {
    async fn connect(self, _: SocketAddrV4) -> StartResult<Self> {
        Ok(self)
    }

    async fn receive(
        &self,
        mut on_datagram: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        _: impl FnMut(io::Error) + Send,
    ) {
        on_datagram(&mut self.0.to_vec(), address());
        future::pending().await
    }

    fn send(&self, _: &[u8], _: SocketAddrV4) {}

    fn send_connected(&self, _: &[u8]) -> bool {
        true
    }
}

fn address() -> SocketAddrV4 {
    "10.0.0.1:7000".parse().unwrap()
}

/// Encodes a message of an agent with a returned segment that is not valid.
fn encode_reply(body: Body) -> Vec<u8> {
    let from = AgentId { instance: Instance::new(address()), incarnation: Incarnation::new(1) };
    let (load, age, version) = (AgentLoad::default(), Span::ZERO, ConfigVersion::default());
    let newest_entry = Revision::default();
    relay::encode(&Reply { from, load, age, version, newest_entry, body }, b"junk").unwrap()
}

/// Lets a balancer receive one datagram from callers or from agents and returns the lines of the
/// log and the metrics after that.
fn receive(source: &str, datagram: &[u8]) -> (Vec<Line>, String) {
    let capture = Capture::default();
    let setup = Setup {
        callers: FakeSocket(datagram.into()),
        agents: FakeSocket(datagram.into()),
        origin: address(),
        caller_port: 443,
        domain: Domain::new("a").unwrap(),
    };
    let relay = Relay::new(
        InvalidFormat,
        setup,
        BootClock::new(SystemHost),
        FlowLog::new(capture.logger()),
    );
    let recorder = PrometheusBuilder::new().build_recorder();
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    metrics::with_local_recorder(&recorder, || {
        runtime.block_on(async {
            tokio::select! {
                biased;
                () = relay.receive_segments(), if source == "callers" => {}
                () = relay.receive_messages(), if source == "agents" => {}
                () = future::ready(()) => {}
            }
        });
    });
    (capture.take(), recorder.handle().render())
}

/// Guards against datagrams that disappear without a trace, and against lines that do not tell
/// whether a caller or an agent sent the datagram.
#[test]
fn undecodable_datagrams_are_counted_and_logged_with_their_source() {
    let denied = Body::Denies { key: FlowKey::new(1), unsure: false };
    let cases = [
        ("callers", b"junk".to_vec()),
        ("agents", Vec::new()),
        ("agents", encode_reply(Body::Refused)),
        ("agents", encode_reply(denied)),
    ];
    for (position, (source, datagram)) in cases.iter().enumerate() {
        let (lines, metrics) = receive(source, datagram);
        let counter = format!("{METRIC}{{source=\"{source}\"}} 1");
        assert!(metrics.contains(&counter), "case {position}: no {counter} in {metrics}");
        let [line] = &*lines else { panic!("case {position}: {lines:?}") };
        assert_eq!(line.event, "junk dropped", "case {position}");
        assert_eq!(line.fields.get("source").map(String::as_str), Some(*source), "{line:?}");
    }
}
