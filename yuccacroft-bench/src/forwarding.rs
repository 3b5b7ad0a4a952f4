//! The case `forwarding`: the packet path of a balancer compared with a bare relay, the time of its
//! decisions, its allocations, and the processor time of idle processes.

mod bare;
mod decision;
mod idle;
mod load;

use {
    crate::figure::{Report, Target},
    load::{LoadGenerator, Sinks},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{runtime, task::JoinSet},
    yuccacroft_balancer::{relay::Relay, service::ServiceTable, socket::BatchedSocket},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        flow::AgentId,
        ids::{ChangeId, Incarnation, Instance, Revision},
        key::Secret,
        placement::Candidate,
        tag::{Cipher, Owner},
        time::Moment,
        units::Weight,
    },
};

/// The throughput relative to the bare relay, from `docs/design.md`, section 12.
const RATIO_TARGET: Target = Target::AtLeast(0.8);
/// The number of tasks that forward packets, in the balancer and in the bare relay.
const FORWARDING_TASKS: usize = 2;
const RUNTIME_THREADS: usize = 4;
const SINK_COUNT: usize = 7;
const FLOW_COUNT: usize = 1_000;
const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_millis(100);
const ALLOCATION_RUN_PACKETS: usize = 20_000;
const SERVICE_ADDRESS: &str = "127.0.40.1:4433";

/// A traffic pattern.
struct TrafficPattern {
    name: &'static str,
    payload: usize,
    /// The number of consecutive datagrams of one flow.
    run_length: usize,
    /// The number of datagrams that a source passes to the kernel in one call.
    burst_length: usize,
}

const TRAFFIC_PATTERNS: &[TrafficPattern] = &[
    TrafficPattern { name: "runs_1200", payload: 1_200, run_length: 16, burst_length: 32 },
    TrafficPattern { name: "mixed_1200", payload: 1_200, run_length: 1, burst_length: 32 },
    TrafficPattern { name: "mixed_100", payload: 100, run_length: 1, burst_length: 32 },
    TrafficPattern { name: "single_1200", payload: 1_200, run_length: 1, burst_length: 1 },
];

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("forwarding");
    for pattern in TRAFFIC_PATTERNS {
        measure_throughput(&mut report, pattern, seed);
    }
    decision::measure(&mut report, seed);
    measure_allocations(&mut report, seed);
    idle::measure(&mut report);
    report
}

/// Measures the throughput of the bare relay and of the balancer in short alternating rounds, so that
/// other load on the machine affects both alike.
fn measure_throughput(report: &mut Report, pattern: &TrafficPattern, seed: u64) {
    let sinks = Sinks::start(SINK_COUNT);
    let generator = LoadGenerator::new(
        &contract(),
        pattern.payload,
        flows(&sinks, seed),
        pattern.run_length,
        pattern.burst_length,
    );
    let (mut bare, mut balancer, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let bare_rate = measure_rate(&sinks, &generator, |tasks| spawn_bare(tasks, &sinks));
        let balancer_rate = measure_rate(&sinks, &generator, |tasks| spawn_balancer(tasks, &sinks));
        bare.push(bare_rate);
        balancer.push(balancer_rate);
        ratios.push(balancer_rate / bare_rate);
    }
    report.add(pattern.name, "bare_packets_per_s", median(bare), Target::None);
    report.add(pattern.name, "balancer_packets_per_s", median(balancer), Target::None);
    report.add(pattern.name, "ratio", median(ratios), RATIO_TARGET);
}

/// Starts a relay and returns the datagrams per second that reach the sinks through it.
fn measure_rate(
    sinks: &Sinks,
    generator: &LoadGenerator,
    spawn: impl FnOnce(&mut JoinSet<()>) -> SocketAddr,
) -> f64 {
    let runtime =
        runtime::Builder::new_multi_thread().worker_threads(RUNTIME_THREADS).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let mut tasks = JoinSet::new();
    let guard = runtime.enter();
    let target = spawn(&mut tasks);
    let sources = generator.start_sources(target);
    std::thread::sleep(WARM_UP);
    let rate = sinks.rate(ROUND_DURATION);
    drop((sources, guard, tasks));
    runtime.shutdown_background();
    rate
}

fn spawn_bare(tasks: &mut JoinSet<()>, sinks: &Sinks) -> SocketAddr {
    let relay = Arc::new(bare::Relay::bind(sinks.addresses()));
    for _ in 0..FORWARDING_TASKS {
        let relay = relay.clone();
        tasks.spawn(async move { relay.run().await });
    }
    relay.address()
}

fn spawn_balancer(tasks: &mut JoinSet<()>, sinks: &Sinks) -> SocketAddr {
    let (relay, address) = bind_balancer(sinks);
    for _ in 0..FORWARDING_TASKS {
        let relay = relay.clone();
        tasks.spawn(async move {
            // An error only means that the runtime shuts down and closes the sockets.
            let _ = relay.forward().await;
        });
    }
    address
}

/// Binds the relay of a balancer whose members are the sinks. Returns it with the address at which it
/// receives packets.
fn bind_balancer(sinks: &Sinks) -> (Arc<Relay>, SocketAddr) {
    let loopback = "127.0.0.1:0".parse().expect("the address is valid");
    let packets = BatchedSocket::bind("packets", loopback).expect("loopback has free ports");
    let capsules = BatchedSocket::bind("capsules", loopback).expect("loopback has free ports");
    let address = packets.address().expect("a bound socket has an address");
    let own = match capsules.address() {
        Ok(SocketAddr::V4(own)) => own,
        other => panic!("not bound to IPv4: {other:?}"),
    };
    let relay = Relay::new(packets, capsules, own, Arc::new(routes(sinks.agent_ids())));
    (Arc::new(relay), address)
}

/// Measures the allocations per packet of one forwarding task. The difference between a short and a
/// long run excludes the allocations at the start.
fn measure_allocations(report: &mut Report, seed: u64) {
    let sinks = Sinks::start(SINK_COUNT);
    let generator = LoadGenerator::new(&contract(), 1_200, flows(&sinks, seed), 1, 32);
    let short_run = count_allocations(&sinks, &generator, ALLOCATION_RUN_PACKETS);
    let long_run = count_allocations(&sinks, &generator, 2 * ALLOCATION_RUN_PACKETS);
    let per_packet = long_run.saturating_sub(short_run) as f64 / ALLOCATION_RUN_PACKETS as f64;
    report.add("steady", "allocations_per_packet", per_packet, Target::AtMost(0.0));
}

/// Counts the allocations of a relay until the sinks have received `packets` datagrams.
fn count_allocations(sinks: &Sinks, generator: &LoadGenerator, packets: usize) -> u64 {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let guard = runtime.enter();
    let (relay, address) = bind_balancer(sinks);
    let before = sinks.received();
    let sources = generator.start_sources(address);
    let (sender, all_received) = tokio::sync::oneshot::channel();
    let info = std::thread::scope(|scope| {
        // Another thread waits, so that only the allocations of the relay are counted.
        scope.spawn(move || {
            sinks.wait_until_received(before + packets as u64);
            sender.send(()).expect("the relay runs until it receives this message");
        });
        allocation_counter::measure(|| {
            runtime.block_on(async {
                tokio::select! {
                    _ = relay.forward() => {}
                    _ = all_received => {}
                }
            });
        })
    });
    drop((sources, guard));
    info.count_total
}

fn contract_text() -> String {
    format!(
        "[customer]\nname = kampvuur\nkey = {}\ncapacity = 28\n\n[service booking]\n\
         addresses = {SERVICE_ADDRESS}\nslots = 4\nconnections = 2000\nupstreams_max = 2000\nshare = 28\n",
        Secret::new([7; 32])
    )
}

fn contract() -> Contract<Accepted> {
    let draft = Contract::parse("bench", &contract_text()).expect("the contract is well formed");
    let checked = draft.check("bench").expect("the contract is valid");
    checked.accept(Revision::new(1), ChangeId::default())
}

fn routes(agent_ids: Vec<AgentId>) -> ServiceTable {
    let (contract, routes) = (contract(), ServiceTable::new());
    routes.apply_contract(&contract, None);
    let candidates: Vec<_> = agent_ids
        .into_iter()
        .map(|agent_id| Candidate { agent_id, weight: Weight::new(100) })
        .collect();
    let service = &contract.terms()[0].service;
    routes.update_members(&contract, service, &candidates, &[], Moment::default());
    routes
}

/// Returns random flows, each with the index of its sink and its tag.
fn flows(sinks: &Sinks, seed: u64) -> Vec<load::Flow> {
    let (mut rng, contract) = (StdRng::seed_from_u64(seed), contract());
    let service = &contract.terms()[0].service;
    let cipher = Cipher::new(&contract.key().derive("tag", contract.customer(), service));
    let agent_ids = sinks.agent_ids();
    let draw = |nonce| {
        let sink = rng.random_range(0..agent_ids.len());
        let AgentId { instance, incarnation } = agent_ids[sink];
        let tag = cipher.encode(Owner { instance, incarnation }, nonce);
        load::Flow { sink: sink as u8, tag, port: rng.random_range(32_768..61_000) }
    };
    (0..FLOW_COUNT as u32).map(draw).collect()
}

fn agent_id(address: SocketAddr) -> AgentId {
    let SocketAddr::V4(address) = address else { panic!("not an IPv4 address: {address}") };
    AgentId { instance: Instance::new(address), incarnation: Incarnation::new(1) }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
