//! The case `slopes`: processor time and memory of a balancer per member, contract and peer, and of
//! an agent per flow, at several sizes.

use {
    crate::{
        control::contract_of,
        figure::{Report, Target},
        memory,
    },
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        sync::Arc,
        time::Instant,
    },
    yuccacroft_core::{
        contract::registry::{self, Registry},
        controller::Controller,
        flow::{AgentId, FlowKey},
        gossip::{
            entry::GossipEntry,
            exchange::{self, Exchange},
            message::GossipMessage,
            peer::{NodeId, Peer},
        },
        ids::{Customer, Domain, Incarnation, Instance, Revision},
        key::Secret,
        member::{
            Liveness, MemberEntry, MemberPhase, MemberRecord,
            membership::{self, FailureTimeouts, Membership},
        },
        ownership,
        placement::table::PlacementTable,
        time::{Moment, Span},
        units::{Connections, Weight},
    },
    yuccacroft_wire::{
        authenticator,
        message::{self, Announce},
    },
};

const MEMBER_COUNTS: [usize; 4] = [10, 150, 1_500, 15_000];
const CONTRACT_COUNTS: [usize; 4] = [10, 100, 1_000, 4_000];
const PEER_COUNTS: [usize; 4] = [3, 30, 300, 1_700];
const FLOW_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const DOMAINS: usize = 13;
/// The memory bound from `docs/design.md`, section 1.7.
const MAX_MEMORY_MB: f64 = 256.0;
const MAX_CORE_PERCENT: f64 = 3.7;
const REPEATS: usize = 200;
/// The announcements that one of 1,700 balancers receives per second: 15,000 agents announce
/// themselves to two registrars every 4 s.
const ANNOUNCEMENTS_PER_S: f64 = 15_000.0 * 2.0 / 4.0 / 1_700.0;
/// The push and repair messages that one balancer sends and receives per second. The case `control`
/// bounds them to 4 KB/s, and each has at least 300 bytes.
const MESSAGES_PER_S: f64 = 14.0;
const TICKS_PER_S: f64 = 10.0;
/// The tables built per second: 3,900 instances are replaced per day, each with eight changes of its
/// phase and weight.
const REBUILDS_PER_S: f64 = 3_900.0 * 8.0 / 86_400.0;
/// The members of the service whose table is built, for 15,000 upstreams behind 4,000 addresses.
const MEMBERS_PER_SERVICE: usize = 300;

/// Runs the case.
pub fn run(_seed: u64) -> Report {
    let mut report = Report::new("slopes");
    // Runs first, so that it cannot reuse memory that other measurements have freed.
    measure_planned_balancer(&mut report);
    for count in PEER_COUNTS {
        measure_peers(&mut report, count);
    }
    for count in CONTRACT_COUNTS {
        measure_contracts(&mut report, count);
    }
    for count in MEMBER_COUNTS {
        measure_members(&mut report, count);
    }
    for count in FLOW_COUNTS {
        measure_flows(&mut report, count);
    }
    report
}

/// The controllers of a balancer without network and tasks.
struct Balancer {
    exchange: Exchange,
    membership: Membership,
    registry: Registry,
}

impl Balancer {
    fn new() -> Self {
        let own = peer(0);
        let membership = Membership::new(own.node, FailureTimeouts::default());
        let exchange = Exchange::new(own, &[], exchange::GossipSettings::default(), 1);
        let mut balancer = Self { exchange, membership, registry: Registry::new() };
        balancer.step(exchange::Event::Tick, Moment::default());
        balancer
    }

    fn step(&mut self, event: exchange::Event, now: Moment) -> Option<GossipMessage> {
        let mut reply = None;
        for action in self.exchange.step(event, now) {
            match action {
                exchange::Action::Learned(GossipEntry::Contract(contract)) => {
                    self.registry.step(registry::Event::Learned(contract), now);
                }
                exchange::Action::Learned(GossipEntry::Member(record)) => {
                    self.membership.step(membership::Event::Learned(record), now);
                }
                exchange::Action::Peers(peers) => {
                    self.membership.step(membership::Event::Peers(peers), now);
                }
                exchange::Action::Reply(message) => reply = Some(message),
                _ => {}
            }
        }
        reply
    }

    /// Learns entries from a snapshot page, as a joining balancer does.
    fn learn(&mut self, items: Vec<GossipEntry>) {
        let message = GossipMessage::Page { items, next: None };
        let event = exchange::Event::Answer { from: peer(1).node, message };
        self.step(event, Moment::default());
    }
}

/// Measures a balancer that knows `count` peers.
fn measure_peers(report: &mut Report, count: usize) {
    let (balancer, bytes, micros) =
        build_balancer(|index| GossipEntry::Peer(Arc::new(peer(index))), count);
    let name = format!("peer_{count}");
    report.add(&name, "bytes_per_peer", bytes, Target::None);
    report.add(&name, "learn_us_per_peer", micros, Target::None);
    measure_digests(report, &name, balancer);
}

/// Measures a balancer that knows `count` contracts.
fn measure_contracts(report: &mut Report, count: usize) {
    let (balancer, bytes, micros) = build_balancer(contract, count);
    let name = format!("contract_{count}");
    report.add(&name, "bytes_per_contract", bytes, Target::None);
    report.add(&name, "learn_us_per_contract", micros, Target::None);
    measure_digests(report, &name, balancer);
}

/// Measures a balancer that knows `count` members.
fn measure_members(report: &mut Report, count: usize) {
    let (mut balancer, bytes, micros) = build_balancer(member, count);
    let name = format!("member_{count}");
    report.add(&name, "bytes_per_member", bytes, Target::None);
    report.add(&name, "learn_us_per_member", micros, Target::None);
    balancer.membership.step(membership::Event::Tick, Moment::default());
    let start = Instant::now();
    for round in 0..REPEATS as u64 {
        let now = Moment::default() + Span::from_millis(round);
        balancer.membership.step(membership::Event::Tick, now);
    }
    // Without peers it is the registrar of all members, which is the worst case.
    report.add(&name, "tick_us", mean_micros_since(start, REPEATS), Target::None);
    measure_digests(report, &name, balancer);
}

/// Builds a balancer that learns `count` entries. Returns it with the bytes and the microseconds per
/// entry.
fn build_balancer(item: fn(usize) -> GossipEntry, count: usize) -> (Balancer, f64, f64) {
    let before = memory::resident_bytes();
    let items = (0..count).map(item).collect();
    let start = Instant::now();
    let mut balancer = Balancer::new();
    balancer.learn(items);
    let micros = mean_micros_since(start, count);
    let bytes = memory::resident_bytes().saturating_sub(before) as f64 / count as f64;
    (balancer, bytes, micros)
}

/// Measures the time to answer a digest, including encoding, authentication and decoding.
fn measure_digests(report: &mut Report, name: &str, mut balancer: Balancer) {
    let start = Instant::now();
    for _ in 0..REPEATS {
        answer_digest(&mut balancer);
    }
    report.add(name, "digest_us", mean_micros_since(start, REPEATS), Target::None);
    // The memory is leaked, so that later measurements cannot reuse it.
    std::mem::forget(balancer);
}

/// Sends a balancer a digest that equals its own and encodes the reply.
fn answer_digest(balancer: &mut Balancer) {
    let message = GossipMessage::Digest(balancer.exchange.table().groups().to_vec());
    let received: GossipMessage = authenticated_round_trip(&message);
    let reply = balancer.step(exchange::Event::Request(received), Moment::default());
    let reply = reply.map(|reply| message::encode(&reply));
    assert!(reply.is_some_and(|reply| reply.is_ok()));
}

/// Encodes, signs, verifies and decodes a message, as its sender and receiver do.
fn authenticated_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let (key, clock) = (Secret::new([9; 32]), Span::from_secs(1));
    let body = message::encode(value).expect("the message is below the size limit");
    let text = authenticator::sign(&key, "/v1/exchange", clock, &body);
    authenticator::verify(&key, "/v1/exchange", clock, &body, &text)
        .expect("both sides use the same key");
    message::decode(&body).expect("the message was encoded above")
}

/// Measures an agent with `count` untagged flows.
fn measure_flows(report: &mut Report, count: usize) {
    let own = AgentId { instance: instance(0), incarnation: Incarnation::new(1) };
    let limit = Connections::new(u32::MAX);
    let before = memory::resident_bytes();
    let start = Instant::now();
    let table = ownership::OwnershipTable::new(own, limit, Weight::new(100));
    for key in 0..count as u64 {
        table.claim_won(FlowKey::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)), Moment::default());
        table.count_opened();
    }
    let name = format!("flow_{count}");
    report.add(&name, "open_us_per_flow", mean_micros_since(start, count), Target::None);
    let bytes = memory::resident_bytes().saturating_sub(before) as f64 / count as f64;
    report.add(&name, "bytes_per_flow", bytes, Target::None);
    // A balancer keeps no state for a flow.
    report.add(&name, "balancer_bytes_per_flow", 0.0, Target::None);
    // The memory is leaked, so that later measurements cannot reuse it.
    std::mem::forget(table);
}

/// Builds one balancer of a fleet of the planned size and sums up its memory and processor time.
fn measure_planned_balancer(report: &mut Report) {
    let before = memory::resident_bytes();
    let mut balancer = Balancer::new();
    let peers = (0..PEER_COUNTS[3]).map(|index| GossipEntry::Peer(Arc::new(peer(index))));
    balancer.learn(peers.collect());
    balancer.learn((0..MEMBER_COUNTS[3]).map(member).collect());
    balancer.learn((0..CONTRACT_COUNTS[3]).map(contract).collect());
    balancer.membership.step(membership::Event::Tick, Moment::default());
    let megabytes = memory::resident_bytes().saturating_sub(before) as f64 / 1e6;
    report.add("whole", "memory_mb", megabytes, Target::AtMost(MAX_MEMORY_MB));
    let tick = mean_micros(|| {
        balancer.membership.step(membership::Event::Tick, Moment::default());
        balancer.step(exchange::Event::Tick, Moment::default());
    });
    let digest = mean_micros(|| answer_digest(&mut balancer));
    let announce = mean_micros(|| receive_announcement(&mut balancer));
    let candidates: Vec<_> = balancer
        .membership
        .candidates(&customer(0), &"booking".parse().expect("the name is well-formed"))
        .into_iter()
        .take(MEMBERS_PER_SERVICE)
        .collect();
    let table = mean_micros(|| drop(PlacementTable::new(&candidates)));
    let remaining_peers: Vec<_> =
        (0..PEER_COUNTS[3] - 1).map(|i| (peer(i).node, peer(i).domain)).collect();
    let start = Instant::now();
    balancer.membership.step(membership::Event::Peers(remaining_peers), Moment::default());
    report.add("whole", "peer_change_us", mean_micros_since(start, 1), Target::None);
    for (name, micros) in
        [("tick_us", tick), ("digest_us", digest), ("announce_us", announce), ("table_us", table)]
    {
        report.add("whole", name, micros, Target::None);
    }
    let micros_per_second = tick * TICKS_PER_S
        + digest * MESSAGES_PER_S
        + announce * ANNOUNCEMENTS_PER_S
        + table * REBUILDS_PER_S;
    report.add("whole", "core_percent", micros_per_second / 1e4, Target::AtMost(MAX_CORE_PERCENT));
    // The memory is leaked, so that later measurements cannot reuse it.
    std::mem::forget(balancer);
}

/// Receives and records the announcement of an agent.
fn receive_announcement(balancer: &mut Balancer) {
    let announce =
        Announce { entry: entry(1), revision: Revision::new(1), siblings: 0, balancers: 0 };
    let received: Announce = authenticated_round_trip(&announce);
    balancer.membership.step(membership::Event::Announced(received.entry), Moment::default());
}

/// Runs `step` repeatedly and returns the mean time of one run in microseconds.
fn mean_micros(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..REPEATS).for_each(|_| step());
    mean_micros_since(start, REPEATS)
}

/// Returns the time since `start` divided by `count`, in microseconds.
fn mean_micros_since(start: Instant, count: usize) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn peer(index: usize) -> Peer {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + index as u32);
    Peer {
        node: NodeId::new(SocketAddr::from((ip, 7_000))),
        domain: domain(index),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 1,
        standing: Liveness::Trusted,
    }
}

fn contract(index: usize) -> GossipEntry {
    GossipEntry::Contract(Arc::new(contract_of(&customer(index), Revision::new(1 + index as u64))))
}

fn member(index: usize) -> GossipEntry {
    GossipEntry::Member(Arc::new(MemberRecord { entry: entry(index), standing: Liveness::Trusted }))
}

fn entry(index: usize) -> MemberEntry {
    MemberEntry {
        customer: customer(index % 50),
        service: "booking".parse().expect("the name is well-formed"),
        instance: instance(index),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 1,
        domain: domain(index),
        weight: Weight::new(100),
        phase: MemberPhase::Serving,
    }
}

fn instance(index: usize) -> Instance {
    let ip = Ipv4Addr::from_bits(0x0a80_0000 + index as u32);
    Instance::new(SocketAddrV4::new(ip, 9_000))
}

fn customer(index: usize) -> Customer {
    format!("customer-{index}").parse().expect("the name is well-formed")
}

fn domain(index: usize) -> Domain {
    format!("domain-{}", index % DOMAINS).parse().expect("the name is well-formed")
}
