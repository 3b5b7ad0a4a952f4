//! The case `segments`: decisions of the segment front end. It measures time and memory per flow,
//! the cost of a pool by its number of agents, and the placement of flows within and between failure
//! domains compared with other policies.

mod changes;
mod domains;
mod placement;

use {
    crate::{
        figure::{Report, Target},
        memory,
    },
    std::{hint::black_box, net::SocketAddrV4, time::Instant},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        handshake::{FlowTable, ForwardReason, Intake, Offer},
        ids::{Domain, Incarnation, Instance},
        pool::{AgentEntry, AgentLoad, AgentPhase, Pool},
        route::{ServiceName, Target as Service},
        segment::{Control, Flow, Segment, Sequence},
        steering::SteeringTable,
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
};

const FLOW_COUNT: u32 = 1_000_000;
const POOL_SIZES: [u32; 4] = [16, 300, 1_700, 15_000];
const REPEATS: u32 = 2_000;
const NOW: Moment = Moment::new(1_000_000);
/// The open flows of one balancer at the planned size: 12 million flows over 1,700 balancers, where
/// two balancers know each flow after a change of the routers.
const FLOWS_PER_BALANCER: f64 = 12e6 / 1_700.0 * 2.0;
/// The open flows of one agent at the planned size: 12 million flows over 15,000 agents.
const FLOWS_PER_AGENT: f64 = 12e6 / 15_000.0;
/// The memory bound from `docs/design.md`, section 1.7.
const MAX_MEMORY_MB: f64 = 256.0;

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("segments");
    measure_balancer(&mut report);
    measure_agent(&mut report);
    for agents in POOL_SIZES {
        measure_pool(agents, &mut report);
    }
    placement::measure(seed, &mut report);
    changes::measure(seed, &mut report);
    domains::measure(seed, &mut report);
    report
}

/// Returns the service that all agents belong to.
fn service() -> Service {
    ServiceName::new("booking").target()
}

/// Returns the pool entry of the agent with this number.
fn entry(number: u32) -> AgentEntry {
    let address = SocketAddrV4::new((0x0a00_0000 + number).into(), 7_000);
    AgentEntry {
        agent_id: AgentId { instance: Instance::new(address), incarnation: Incarnation::new(1) },
        entry_version: 1,
        target: service(),
        domain: domain(number),
        slots: Slots::new(4),
        phase: AgentPhase::Ready,
        succeeds: false,
    }
}

fn domain(number: u32) -> Domain {
    let text = format!("domain-{}", number % 3);
    text.parse().unwrap_or_else(|error| unreachable!("the name is valid: {error}"))
}

fn flow(number: u32) -> Flow {
    Flow {
        caller: SocketAddrV4::new((0x6440_0000 + number / 50_000).into(), (number % 50_000) as u16),
        address: SocketAddrV4::new([198, 18, 0, 1].into(), 443),
    }
}

fn segment(number: u32, control: Control, acknowledged: u32) -> Segment {
    let (sequence, acknowledged) = (Sequence::new(101), Sequence::new(acknowledged));
    Segment { flow: flow(number), control, sequence, acknowledged, length: 0 }
}

/// Runs `step` for each number below `count` and returns the mean time of one run in nanoseconds.
fn mean_nanos(count: u32, mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut step);
    start.elapsed().as_nanos() as f64 / f64::from(count)
}

/// Measures the flow cache of a balancer.
fn measure_balancer(report: &mut Report) {
    let table = SteeringTable::new();
    let owner = entry(1).agent_id;
    let before = memory::resident_bytes();
    let learn_nanos =
        mean_nanos(FLOW_COUNT, |number| table.set_owner(flow(number).key(), owner, NOW));
    let bytes = (memory::resident_bytes() - before) as f64 / f64::from(FLOW_COUNT);
    let lookup_nanos = mean_nanos(FLOW_COUNT, |number| {
        let segment = segment(number, Control::Continue, 102);
        black_box(table.touch(segment.flow.key(), &segment, NOW));
    });
    report.add("balancer", "learn_ns_per_flow", learn_nanos, Target::None);
    report.add("balancer", "lookup_ns_per_segment", lookup_nanos, Target::None);
    report.add("balancer", "bytes_per_flow", bytes, Target::None);
    let megabytes = FLOWS_PER_BALANCER * bytes / 1e6;
    report.add("balancer", "flows_mb_at_coming_size", megabytes, Target::AtMost(MAX_MEMORY_MB));
}

/// Measures the flow table of an agent.
fn measure_agent(report: &mut Report) {
    let table = FlowTable::new();
    let origin = SocketAddrV4::new([10, 0, 0, 1].into(), 7_000);
    let before = memory::resident_bytes();
    let open_nanos = mean_nanos(FLOW_COUNT, |number| {
        let offer = Offer { class: None, origin, rest: Box::new([]), hops: 0 };
        table.handle_opening(
            &segment(number, Control::Open, 0),
            &[0; 32],
            offer,
            Intake::Unlimited,
            NOW,
        );
        table.handle_reply(&segment(number, Control::Accept, 0), NOW);
        let first = segment(number, Control::Continue, 102);
        black_box(table.handle_segment(&first, origin, ForwardReason::Owner, false, 5, NOW));
    });
    let bytes = (memory::resident_bytes() - before) as f64 / f64::from(FLOW_COUNT);
    let decide_nanos = mean_nanos(FLOW_COUNT, |number| {
        let later = segment(number, Control::Continue, 102);
        black_box(table.handle_segment(&later, origin, ForwardReason::Owner, false, 5, NOW));
    });
    report.add("agent", "open_ns_per_flow", open_nanos, Target::None);
    report.add("agent", "decide_ns_per_segment", decide_nanos, Target::None);
    report.add("agent", "bytes_per_flow", bytes, Target::None);
    let megabytes = FLOWS_PER_AGENT * bytes / 1e6;
    report.add("agent", "flows_mb_at_coming_size", megabytes, Target::AtMost(MAX_MEMORY_MB));
}

/// Measures a pool with this number of agents.
fn measure_pool(agents: u32, report: &mut Report) {
    let variant = format!("{agents} agents");
    let pool = Pool::new();
    let upsert_nanos = mean_nanos(agents, |number| {
        pool.upsert(entry(number), NOW);
    });
    for number in 0..agents {
        let load = AgentLoad {
            accepting: true,
            active: number % 4,
            busy: Percent::new(100),
            open: Connections::new(10),
            service_time: Span::from_millis(20),
            warmup: Span::ZERO,
            stopping: false,
        };
        pool.record_load(entry(number).agent_id, load, NOW);
    }
    let own_domain = domain(0);
    let choose_nanos = mean_nanos(REPEATS, |number| {
        black_box(pool.choose(service(), &own_domain, FlowKey::new(number.into()), 8, NOW));
    });
    let search_nanos = mean_nanos(REPEATS, |_| {
        let mut preferred = 0u32;
        pool.for_each(|member| preferred += u32::from(member.entry.target == service()));
        black_box(preferred);
    });
    report.add(&variant, "list_ns_per_agent", upsert_nanos, Target::None);
    report.add(&variant, "choose_ns", choose_nanos, Target::None);
    report.add(&variant, "search_list_ns", search_nanos, Target::None);
}
