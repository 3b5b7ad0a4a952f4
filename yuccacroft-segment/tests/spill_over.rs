//! Tests of what a balancer records about flows that leave its failure domain.

mod support;

use {
    crate::support::{
        Capture, Line,
        fakes::{FakeFormat, FakeSocket, peer},
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    std::sync::Arc,
    yuccacroft_core::{
        flow::AgentId,
        ids::{Domain, Incarnation, Instance},
        pool::{AgentEntry, AgentLoad, AgentPhase},
        requirements::Requirements,
        route::{ConfigVersion, Route, RouteShare, RoutingTable, ServiceName, TrafficClass},
        time::{Moment, Span},
        units::{Percent, Slots},
    },
    yuccacroft_segment::{
        balancer::relay::{Relay, Setup},
        clock::BootClock,
        flow_log::FlowLog,
        host::SystemHost,
    },
};

/// Runs a balancer in a full domain beside an idle one for three seconds, and returns the lines of
/// its log and its metrics after that.
fn run(requirements: Requirements) -> (Vec<Line>, String) {
    let target = ServiceName::new("booking").target();
    let capture = Capture::default();
    let setup = Setup {
        callers: FakeSocket::default(),
        agents: FakeSocket::default(),
        origin: peer(),
        caller_port: 443,
        domain: Domain::new("a").unwrap(),
        requirements,
        crossing_price: Span::ZERO,
    };
    let clock = BootClock::new(SystemHost);
    let relay = Relay::new(FakeFormat::default(), setup, clock, FlowLog::new(capture.logger()));
    let share = RouteShare { target, weight: 1 };
    let route = Route { shares: [share].into(), class: TrafficClass::default() };
    let routes = RoutingTable::new(ConfigVersion::default(), [(peer(), route)].into());
    *relay.current_routes.write().unwrap() = Some(Arc::new(routes));
    for (number, domain, busy) in [(1, "a", 200), (2, "b", 0)] {
        let instance = Instance::new(std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000));
        let agent_id = AgentId { instance, incarnation: Incarnation::new(1) };
        let entry = AgentEntry {
            agent_id,
            entry_version: 1,
            target,
            domain: Domain::new(domain).unwrap(),
            slots: Slots::new(2),
            phase: AgentPhase::Ready,
            succeeds: false,
        };
        relay.pool.upsert(entry, Moment::default());
        let load = AgentLoad {
            accepting: true,
            active: busy / 100,
            busy: Percent::new(busy),
            service_time: Span::from_millis(30),
            ..AgentLoad::default()
        };
        relay.pool.record_load(agent_id, load, Moment::default());
    }
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        for number in 0..30 {
            let now = Moment::default() + Span::from_millis(100).saturating_mul(number);
            relay.update_spill_over(now);
        }
    });
    (capture.take(), recorder.handle().render())
}

/// Guards against flows that leave their domain without a trace of why.
#[test]
fn a_balancer_records_that_flows_leave_and_why() {
    let (lines, metrics) = run(Requirements { health: true, ..Requirements::default() });
    let [line] = &*lines else { panic!("{lines:?}") };
    assert_eq!(line.event, "spill-over changed");
    let field = |name| line.fields.get(name).map(String::as_str);
    assert_eq!((field("sending"), field("receivers")), (Some("true"), Some("b")));
    assert_eq!((field("home_utilization"), field("room")), (Some("1.00"), Some("1.5")));
    let share = metrics.lines().find(|line| line.starts_with("yuccacroft_balancer_spill_over"));
    let share = share.unwrap_or_else(|| panic!("no share in {metrics}"));
    assert!(share.contains("domain=\"a\"") && !share.ends_with(" 0"), "{share}");
}

/// Guards against spill-over in deployments that do not ask for it.
#[test]
fn without_the_requirement_nothing_is_decided() {
    let (lines, metrics) = run(Requirements::default());
    assert!(lines.is_empty() && !metrics.contains("spill_over"), "{lines:?} {metrics}");
}
