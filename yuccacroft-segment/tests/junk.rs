//! Tests of what a balancer records about datagrams that it cannot decode.

mod support;

use {
    crate::support::{
        Capture, Line,
        fakes::{FakeFormat, FakeSocket, peer},
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    std::future,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance, Revision},
        pool::AgentLoad,
        requirements::Requirements,
        route::ConfigVersion,
        time::Span,
    },
    yuccacroft_segment::{
        balancer::relay::{Relay, Setup},
        clock::BootClock,
        flow_log::FlowLog,
        host::SystemHost,
    },
    yuccacroft_wire::relay::{self, Body, Reply},
};

const METRIC: &str = "yuccacroft_balancer_junk_total";

/// Encodes a message of an agent with a returned segment that is not valid.
fn encode_reply(body: Body) -> Vec<u8> {
    let from = AgentId { instance: Instance::new(peer()), incarnation: Incarnation::new(1) };
    let (load, age, version) = (AgentLoad::default(), Span::ZERO, ConfigVersion::default());
    let newest_entry = Revision::default();
    relay::encode(&Reply { from, load, age, version, newest_entry, body }, b"junk").unwrap()
}

/// Lets a balancer receive datagrams from callers or from agents and returns the lines of the log
/// and the metrics after that.
fn receive(format: FakeFormat, source: &str, datagrams: &[&[u8]]) -> (Vec<Line>, String) {
    let capture = Capture::default();
    let (callers, agents) = (FakeSocket::default(), FakeSocket::default());
    for datagram in datagrams {
        callers.push((*datagram).into());
        agents.push((*datagram).into());
    }
    let setup = Setup {
        callers,
        agents,
        origin: peer(),
        caller_port: 443,
        domain: Domain::new("a").unwrap(),
        requirements: Requirements::default(),
        crossing_price: Span::ZERO,
    };
    let relay =
        Relay::new(format, setup, BootClock::new(SystemHost), FlowLog::new(capture.logger()));
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
        let (lines, metrics) = receive(FakeFormat::default(), source, &[datagram]);
        let counter = format!("{METRIC}{{source=\"{source}\"}} 1");
        assert!(metrics.contains(&counter), "case {position}: no {counter} in {metrics}");
        let [line] = &*lines else { panic!("case {position}: {lines:?}") };
        assert_eq!(line.event, "junk dropped", "case {position}");
        assert_eq!(line.fields.get("source").map(String::as_str), Some(*source), "{line:?}");
    }
}

/// Guards against a balancer that forwards nothing any more after a datagram whose handling panics.
#[test]
fn a_panic_loses_one_datagram() {
    let parse_inbound = |datagram: &[u8]| match datagram {
        b"panic" => panic!("malformed segment"),
        _ => Err("not a segment"),
    };
    let format = FakeFormat { parse_inbound, ..FakeFormat::default() };
    let (lines, _) = receive(format, "callers", &[b"panic", b"junk"]);
    let events: Vec<&str> = lines.iter().map(|line| &*line.event).collect();
    assert_eq!(events, ["datagram not handled", "junk dropped"]);
}
