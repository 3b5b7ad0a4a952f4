//! The packet path of a balancer next to a bare relay, its decisions and its idle cost.

mod bare;
mod decision;
mod idle;
mod load;

use {
    crate::figure::{Report, Target},
    load::{Load, Sinks},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{runtime, task::JoinSet},
    yuccacroft_balancer::{relay::Relay, service::ServiceTable, socket::BatchedSocket},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        flow::Hop,
        ids::{ChangeId, Incarnation, Instance, Revision},
        key::Secret,
        placement::Candidate,
        tag::{Cipher, Owner},
        time::Moment,
        units::Weight,
    },
};

/// `docs/design.md`, section 12.
const RATIO: Target = Target::AtLeast(0.8);
/// Tasks of one direction, for the balancer and for the bare relay.
const WORKERS: usize = 2;
const THREADS: usize = 4;
const SINKS: usize = 7;
const FLOWS: usize = 1_000;
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_millis(100);
const ALLOCATION_PACKETS: usize = 20_000;
const SERVICE: &str = "127.0.40.1:4433";

/// One shape of traffic.
struct Shape {
    name: &'static str,
    payload: usize,
    /// Datagrams of one flow in a row.
    run: usize,
    /// Datagrams that the source hands to the kernel at a time.
    burst: usize,
}

const SHAPES: &[Shape] = &[
    Shape { name: "runs_1200", payload: 1_200, run: 16, burst: 32 },
    Shape { name: "mixed_1200", payload: 1_200, run: 1, burst: 32 },
    Shape { name: "mixed_100", payload: 100, run: 1, burst: 32 },
    Shape { name: "single_1200", payload: 1_200, run: 1, burst: 1 },
];

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("forwarding");
    for shape in SHAPES {
        throughput(&mut report, shape, seed);
    }
    decision::measure(&mut report, seed);
    allocations(&mut report, seed);
    idle::measure(&mut report);
    report
}

/// Alternates short rounds, so that other load on the machine meets both alike.
fn throughput(report: &mut Report, shape: &Shape, seed: u64) {
    let sinks = Sinks::start(SINKS);
    let load = Load::new(&contract(), shape.payload, flows(&sinks, seed), shape.run, shape.burst);
    let (mut bare, mut balancer, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let one = rate(&sinks, &load, |tasks| spawn_bare(tasks, &sinks));
        let two = rate(&sinks, &load, |tasks| spawn_balancer(tasks, &sinks));
        bare.push(one);
        balancer.push(two);
        ratios.push(two / one);
    }
    report.add(shape.name, "bare_packets_per_s", median(bare), Target::None);
    report.add(shape.name, "balancer_packets_per_s", median(balancer), Target::None);
    report.add(shape.name, "ratio", median(ratios), RATIO);
}

fn rate(sinks: &Sinks, load: &Load, spawn: impl FnOnce(&mut JoinSet<()>) -> SocketAddr) -> f64 {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    let runtime = runtime.expect("a runtime needs threads only");
    let mut tasks = JoinSet::new();
    let guard = runtime.enter();
    let target = spawn(&mut tasks);
    let flood = load.flood(target);
    std::thread::sleep(WARM_UP);
    let rate = sinks.rate(ROUND);
    drop((flood, guard, tasks));
    runtime.shutdown_background();
    rate
}

fn spawn_bare(tasks: &mut JoinSet<()>, sinks: &Sinks) -> SocketAddr {
    let relay = Arc::new(bare::Relay::bind(sinks.addresses()));
    for _ in 0..WORKERS {
        let relay = relay.clone();
        tasks.spawn(async move { relay.run().await });
    }
    relay.address()
}

fn spawn_balancer(tasks: &mut JoinSet<()>, sinks: &Sinks) -> SocketAddr {
    let (relay, address) = balancer(sinks);
    for _ in 0..WORKERS {
        let relay = relay.clone();
        tasks.spawn(async move {
            // The sockets are closed with the runtime.
            let _ = relay.forward().await;
        });
    }
    address
}

fn balancer(sinks: &Sinks) -> (Arc<Relay>, SocketAddr) {
    let loopback = "127.0.0.1:0".parse().expect("the address is valid");
    let packets = BatchedSocket::bind("packets", loopback).expect("loopback has free ports");
    let capsules = BatchedSocket::bind("capsules", loopback).expect("loopback has free ports");
    let address = packets.address().expect("a bound socket has an address");
    let own = match capsules.address() {
        Ok(SocketAddr::V4(own)) => own,
        other => panic!("not bound to IPv4: {other:?}"),
    };
    let relay = Relay::new(packets, capsules, own, Arc::new(routes(sinks.hops())));
    (Arc::new(relay), address)
}

/// Counts the allocations of one worker while it forwards; start-up is taken out by a second,
/// longer run.
fn allocations(report: &mut Report, seed: u64) {
    let sinks = Sinks::start(SINKS);
    let load = Load::new(&contract(), 1_200, flows(&sinks, seed), 1, 32);
    let short = count_allocations(&sinks, &load, ALLOCATION_PACKETS);
    let long = count_allocations(&sinks, &load, 2 * ALLOCATION_PACKETS);
    let each = long.saturating_sub(short) as f64 / ALLOCATION_PACKETS as f64;
    report.add("steady", "allocations_per_packet", each, Target::AtMost(0.0));
}

fn count_allocations(sinks: &Sinks, load: &Load, packets: usize) -> u64 {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime needs threads only");
    let guard = runtime.enter();
    let (relay, address) = balancer(sinks);
    let before = sinks.received();
    let flood = load.flood(address);
    let (sender, reached) = tokio::sync::oneshot::channel();
    let info = std::thread::scope(|scope| {
        // The wait runs on another thread, so that only the relay is counted.
        scope.spawn(move || {
            sinks.wait_for(before + packets as u64);
            sender.send(()).expect("the relay runs until it is told to stop");
        });
        allocation_counter::measure(|| {
            runtime.block_on(async {
                tokio::select! {
                    _ = relay.forward() => {}
                    _ = reached => {}
                }
            });
        })
    });
    drop((flood, guard));
    info.count_total
}

fn contract_text() -> String {
    format!(
        "[customer]\nname = kampvuur\nkey = {}\ncapacity = 28\n\n[service booking]\n\
         addresses = {SERVICE}\nslots = 4\nconnections = 2000\nupstreams_max = 2000\nshare = 28\n",
        Secret::new([7; 32])
    )
}

fn contract() -> Contract<Accepted> {
    let draft = Contract::parse("bench", &contract_text()).expect("the contract is well formed");
    let checked = draft.check("bench").expect("the contract is valid");
    checked.accept(Revision::new(1), ChangeId::default())
}

fn routes(hops: Vec<Hop>) -> ServiceTable {
    let (contract, routes) = (contract(), ServiceTable::new());
    routes.apply_contract(&contract, None);
    let candidates: Vec<_> =
        hops.into_iter().map(|hop| Candidate { hop, weight: Weight::new(100) }).collect();
    let service = &contract.terms()[0].service;
    routes.update_members(&contract, service, &candidates, &[], Moment::default());
    routes
}

/// Draws flows with the index of their sink and their tag.
fn flows(sinks: &Sinks, seed: u64) -> Vec<load::Flow> {
    let (mut random, contract) = (StdRng::seed_from_u64(seed), contract());
    let service = &contract.terms()[0].service;
    let cipher = Cipher::new(&contract.key().derive("tag", contract.customer(), service));
    let hops = sinks.hops();
    let draw = |nonce| {
        let sink = random.random_range(0..hops.len());
        let Hop { instance, incarnation } = hops[sink];
        let tag = cipher.encode(Owner { instance, incarnation }, nonce);
        load::Flow { sink: sink as u8, tag, port: random.random_range(32_768..61_000) }
    };
    (0..FLOWS as u32).map(draw).collect()
}

fn hop(address: SocketAddr) -> Hop {
    let SocketAddr::V4(address) = address else { panic!("not an IPv4 address: {address}") };
    Hop { instance: Instance::new(address), incarnation: Incarnation::new(1) }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
