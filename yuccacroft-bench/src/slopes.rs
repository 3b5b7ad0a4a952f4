//! Processor time and memory of a balancer for each member, contract and peer, and of an agent
//! for each flow.

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
        flow::{Hop, Key},
        gossip::{
            entry::Item,
            exchange::{self, Exchange},
            message::Message,
            peer::{Node, Peer},
        },
        ids::{Customer, Domain, Incarnation, Instance, Revision},
        key::Secret,
        member::{
            Entry, Phase, Record, Standing,
            membership::{self, FailureTimeouts, Membership},
        },
        ownership,
        placement::table::Table,
        time::{Moment, Span},
        units::{Connections, Weight},
    },
    yuccacroft_wire::{
        authenticator,
        message::{self, Announce},
    },
};

const MEMBERS: [usize; 4] = [10, 150, 1_500, 15_000];
const CONTRACTS: [usize; 4] = [10, 100, 1_000, 4_000];
const PEERS: [usize; 4] = [3, 30, 300, 1_700];
const FLOWS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const DOMAINS: usize = 13;
/// Bound of `docs/design.md`, section 1.7.
const MEMORY_MB: f64 = 256.0;
const CORE_PERCENT: f64 = 3.7;
const REPEATS: usize = 200;
/// Announcements that one balancer receives a second: 15,000 agents, two registrars, 4 s.
const ANNOUNCEMENTS_PER_S: f64 = 15_000.0 * 2.0 / 4.0 / 1_700.0;
/// Messages of pushes and repair that one balancer sends and receives a second, from the bench
/// `control`: at most 4 KB/s of at least 300 bytes each.
const MESSAGES_PER_S: f64 = 14.0;
const TICKS_PER_S: f64 = 10.0;
/// Tables built a second: replaced instances and weight changes of 3,900 replacements a day.
const REBUILDS_PER_S: f64 = 3_900.0 * 8.0 / 86_400.0;
/// Members of the service whose table is built, at 15,000 upstreams behind 4,000 addresses.
const MEMBERS_PER_SERVICE: usize = 300;

/// Runs the case.
pub fn run(_seed: u64) -> Report {
    let mut report = Report::new("slopes");
    // First, so that no memory of the others is used again.
    whole(&mut report);
    for count in PEERS {
        peers(&mut report, count);
    }
    for count in CONTRACTS {
        contracts(&mut report, count);
    }
    for count in MEMBERS {
        members(&mut report, count);
    }
    for count in FLOWS {
        flows(&mut report, count);
    }
    report
}

/// A balancer's controllers without their shell.
struct Balancer {
    exchange: Exchange,
    roster: Membership,
    register: Registry,
}

impl Balancer {
    fn new() -> Self {
        let own = peer(0);
        let roster = Membership::new(own.node, FailureTimeouts::default());
        let exchange = Exchange::new(own, &[], exchange::Settings::default(), 1);
        let mut balancer = Self { exchange, roster, register: Registry::new() };
        balancer.step(exchange::Event::Tick, Moment::default());
        balancer
    }

    fn step(&mut self, event: exchange::Event, now: Moment) -> Option<Message> {
        let mut reply = None;
        for action in self.exchange.step(event, now) {
            match action {
                exchange::Action::Learned(Item::Contract(contract)) => {
                    self.register.step(registry::Event::Learned(contract), now);
                }
                exchange::Action::Learned(Item::Member(record)) => {
                    self.roster.step(membership::Event::Learned(record), now);
                }
                exchange::Action::Peers(peers) => {
                    self.roster.step(membership::Event::Peers(peers), now);
                }
                exchange::Action::Reply(message) => reply = Some(message),
                _ => {}
            }
        }
        reply
    }

    /// Learns entries as a joining balancer does.
    fn learn(&mut self, items: Vec<Item>) {
        let message = Message::Page { items, next: None };
        let event = exchange::Event::Answer { from: peer(1).node, message };
        self.step(event, Moment::default());
    }
}

fn peers(report: &mut Report, count: usize) {
    let (balancer, bytes, micros) = learned(|index| Item::Peer(Arc::new(peer(index))), count);
    let name = format!("peer_{count}");
    report.add(&name, "bytes_per_peer", bytes, Target::None);
    report.add(&name, "learn_us_per_peer", micros, Target::None);
    digests(report, &name, balancer);
}

fn contracts(report: &mut Report, count: usize) {
    let (balancer, bytes, micros) = learned(contract, count);
    let name = format!("contract_{count}");
    report.add(&name, "bytes_per_contract", bytes, Target::None);
    report.add(&name, "learn_us_per_contract", micros, Target::None);
    digests(report, &name, balancer);
}

fn members(report: &mut Report, count: usize) {
    let (mut balancer, bytes, micros) = learned(member, count);
    let name = format!("member_{count}");
    report.add(&name, "bytes_per_member", bytes, Target::None);
    report.add(&name, "learn_us_per_member", micros, Target::None);
    balancer.roster.step(membership::Event::Tick, Moment::default());
    let begin = Instant::now();
    for round in 0..REPEATS as u64 {
        let now = Moment::default() + Span::from_millis(round);
        balancer.roster.step(membership::Event::Tick, now);
    }
    // Alone it is the registrar of all members, which is the worst case.
    report.add(&name, "tick_us", per(begin, REPEATS), Target::None);
    digests(report, &name, balancer);
}

/// Builds a balancer with entries and returns its memory and time for each of them.
fn learned(item: fn(usize) -> Item, count: usize) -> (Balancer, f64, f64) {
    let before = memory::resident();
    let items = (0..count).map(item).collect();
    let begin = Instant::now();
    let mut balancer = Balancer::new();
    balancer.learn(items);
    let micros = per(begin, count);
    let bytes = memory::resident().saturating_sub(before) as f64 / count as f64;
    (balancer, bytes, micros)
}

/// Measures the answer to a digest exchange, with encoding, authentication and decoding.
fn digests(report: &mut Report, name: &str, mut balancer: Balancer) {
    let begin = Instant::now();
    for _ in 0..REPEATS {
        exchange_once(&mut balancer);
    }
    report.add(name, "digest_us", per(begin, REPEATS), Target::None);
    // The memory stays in use, so that later figures do not reuse it.
    std::mem::forget(balancer);
}

fn exchange_once(balancer: &mut Balancer) {
    let message = Message::Digest(balancer.exchange.table().groups().to_vec());
    let opened: Message = sealed(&message);
    let reply = balancer.step(exchange::Event::Request(opened), Moment::default());
    let reply = reply.map(|reply| message::encode(&reply));
    assert!(reply.is_some_and(|reply| reply.is_ok()));
}

/// Encodes, signs, verifies and decodes a message, as its two ends do.
fn sealed<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let (key, clock) = (Secret::new([9; 32]), Span::from_secs(1));
    let body = message::encode(value).expect("the message is small");
    let text = authenticator::sign(&key, "/v1/exchange", clock, &body);
    authenticator::verify(&key, "/v1/exchange", clock, &body, &text).expect("the key is the same");
    message::decode(&body).expect("the message is whole")
}

fn flows(report: &mut Report, count: usize) {
    let own = Hop { instance: instance(0), incarnation: Incarnation::new(1) };
    let limit = Connections::new(u32::MAX);
    let before = memory::resident();
    let begin = Instant::now();
    let table = ownership::Table::new(own, limit, Weight::new(100));
    for key in 0..count as u64 {
        table.claim_won(Key::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)), Moment::default());
        table.count_opened();
    }
    let name = format!("flow_{count}");
    report.add(&name, "open_us_per_flow", per(begin, count), Target::None);
    let bytes = memory::resident().saturating_sub(before) as f64 / count as f64;
    report.add(&name, "bytes_per_flow", bytes, Target::None);
    // A balancer holds nothing for a flow.
    report.add(&name, "balancer_bytes_per_flow", 0.0, Target::None);
    // The memory stays in use, so that later figures do not reuse it.
    std::mem::forget(table);
}

/// Builds one balancer of the coming size and adds up its processor time.
fn whole(report: &mut Report) {
    let before = memory::resident();
    let mut balancer = Balancer::new();
    let peers = (0..PEERS[3]).map(|index| Item::Peer(Arc::new(peer(index))));
    balancer.learn(peers.collect());
    balancer.learn((0..MEMBERS[3]).map(member).collect());
    balancer.learn((0..CONTRACTS[3]).map(contract).collect());
    balancer.roster.step(membership::Event::Tick, Moment::default());
    let megabytes = memory::resident().saturating_sub(before) as f64 / 1e6;
    report.add("whole", "memory_mb", megabytes, Target::AtMost(MEMORY_MB));
    let tick = timed(|| {
        balancer.roster.step(membership::Event::Tick, Moment::default());
        balancer.step(exchange::Event::Tick, Moment::default());
    });
    let digest = timed(|| exchange_once(&mut balancer));
    let announce = timed(|| announced(&mut balancer));
    let candidates: Vec<_> = balancer
        .roster
        .candidates(&customer(0), &"booking".parse().expect("the name is well-formed"))
        .into_iter()
        .take(MEMBERS_PER_SERVICE)
        .collect();
    let table = timed(|| drop(Table::new(&candidates)));
    let without: Vec<_> = (0..PEERS[3] - 1).map(|i| (peer(i).node, peer(i).domain)).collect();
    let begin = Instant::now();
    balancer.roster.step(membership::Event::Peers(without), Moment::default());
    report.add("whole", "peer_change_us", per(begin, 1), Target::None);
    for (name, micros) in
        [("tick_us", tick), ("digest_us", digest), ("announce_us", announce), ("table_us", table)]
    {
        report.add("whole", name, micros, Target::None);
    }
    let busy = tick * TICKS_PER_S
        + digest * MESSAGES_PER_S
        + announce * ANNOUNCEMENTS_PER_S
        + table * REBUILDS_PER_S;
    report.add("whole", "core_percent", busy / 1e4, Target::AtMost(CORE_PERCENT));
    // The memory stays in use, so that later figures do not reuse it.
    std::mem::forget(balancer);
}

fn announced(balancer: &mut Balancer) {
    let announce =
        Announce { entry: entry(1), revision: Revision::new(1), siblings: 0, balancers: 0 };
    let opened: Announce = sealed(&announce);
    balancer.roster.step(membership::Event::Announced(opened.entry), Moment::default());
}

fn timed(mut step: impl FnMut()) -> f64 {
    let begin = Instant::now();
    (0..REPEATS).for_each(|_| step());
    per(begin, REPEATS)
}

fn per(begin: Instant, count: usize) -> f64 {
    begin.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn peer(index: usize) -> Peer {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + index as u32);
    Peer {
        node: Node::new(SocketAddr::from((ip, 7_000))),
        domain: domain(index),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 1,
        standing: Standing::Trusted,
    }
}

fn contract(index: usize) -> Item {
    Item::Contract(Arc::new(contract_of(&customer(index), Revision::new(1 + index as u64))))
}

fn member(index: usize) -> Item {
    Item::Member(Arc::new(Record { entry: entry(index), standing: Standing::Trusted }))
}

fn entry(index: usize) -> Entry {
    Entry {
        customer: customer(index % 50),
        service: "booking".parse().expect("the name is well-formed"),
        instance: instance(index),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 1,
        domain: domain(index),
        weight: Weight::new(100),
        phase: Phase::Serving,
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
