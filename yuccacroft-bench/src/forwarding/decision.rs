//! The time of one decision, without I/O.

use {
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{hint::black_box, net::SocketAddr, sync::Arc, time::Instant},
    yuccacroft_balancer::packet::{self, Decision, PacketInfo},
    yuccacroft_core::{
        flow::Hop,
        tag::{Cipher, Owner},
    },
    yuccacroft_wire::invariant::InvariantHeader,
};

/// `docs/design.md`, section 12.
const TAGGED: Target = Target::AtMost(300.0);
const FIRST: Target = Target::AtMost(1_500.0);
const MEMBERS: u16 = 1_000;
const PACKETS: usize = 4_096;
const ROUNDS: usize = 101;
/// RFC 9000, section 17.2: form and fixed bit of an Initial packet of version 1.
const INITIAL: [u8; 5] = [0xc0, 0, 0, 0, 1];

/// Measures both kinds of decision.
pub fn measure(report: &mut Report, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let hops: Vec<Hop> =
        (0..MEMBERS).map(|n| super::hop(([127, 0, 1, 1], 1_024 + n).into())).collect();
    let tagged: Vec<_> = (0..PACKETS as u32).map(|nonce| tagged(&hops, nonce)).collect();
    let first: Vec<_> = (0..PACKETS).map(|_| first(&mut random)).collect();
    let chain = packet::chain(Arc::new(super::routes(hops).snapshot()));
    let run = |packets: &[Vec<u8>]| time(packets, |item| chain.run(item));
    report.add("tagged", "decision_ns", run(&tagged), TAGGED);
    report.add("first_of_1000", "decision_ns", run(&first), FIRST);
}

fn tagged(hops: &[Hop], nonce: u32) -> Vec<u8> {
    let contract = super::contract();
    let service = &contract.terms()[0].service;
    let cipher = Cipher::new(&contract.key().derive("tag", contract.customer(), service));
    let Hop { instance, incarnation } = hops[nonce as usize % hops.len()];
    let mut packet = vec![0x40];
    packet.extend_from_slice(&cipher.encode(Owner { instance, incarnation }, nonce));
    packet.resize(64, 0);
    packet
}

fn first(random: &mut StdRng) -> Vec<u8> {
    let mut packet = INITIAL.to_vec();
    packet.push(8);
    packet.extend_from_slice(&random.random::<[u8; 8]>());
    packet.resize(64, 0);
    packet
}

/// Returns the median over rounds of the mean time of one packet in nanoseconds.
fn time(packets: &[Vec<u8>], mut run: impl FnMut(&mut PacketInfo) -> Option<Decision>) -> f64 {
    let service: SocketAddr = super::SERVICE.parse().expect("the address is valid");
    let caller = SocketAddr::from(([10, 0, 0, 1], 40_000));
    let mut round = || {
        let begin = Instant::now();
        for packet in packets {
            let invariant =
                InvariantHeader::decode(black_box(packet)).expect("the packet is valid");
            let decision = run(&mut PacketInfo::new(caller, service, caller, invariant));
            assert!(matches!(black_box(decision), Some(Decision::Forward { .. })));
        }
        begin.elapsed().as_nanos() as f64 / packets.len() as f64
    };
    super::median((0..ROUNDS).map(|_| round()).collect())
}
