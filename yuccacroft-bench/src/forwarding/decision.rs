//! The time of one forwarding decision without I/O.

use {
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{hint::black_box, net::SocketAddr, sync::Arc, time::Instant},
    yuccacroft_balancer::packet::{self, Decision, PacketInfo},
    yuccacroft_core::{
        flow::AgentId,
        tag::{Cipher, Owner},
    },
    yuccacroft_wire::invariant::InvariantHeader,
};

/// The bounds of the time of a decision in nanoseconds, from `docs/design.md`, section 12.
const TAGGED_TARGET: Target = Target::AtMost(300.0);
const FIRST_TARGET: Target = Target::AtMost(1_500.0);
const MEMBER_COUNT: u16 = 1_000;
const PACKET_COUNT: usize = 4_096;
const ROUNDS: usize = 101;
/// The first byte and the version of an Initial packet of QUIC version 1 (RFC 9000, section 17.2).
const INITIAL_PREFIX: [u8; 5] = [0xc0, 0, 0, 0, 1];

/// Measures the decision about packets with an owner tag and about the first packets of flows.
pub fn measure(report: &mut Report, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let agent_ids: Vec<AgentId> =
        (0..MEMBER_COUNT).map(|n| super::agent_id(([127, 0, 1, 1], 1_024 + n).into())).collect();
    let tagged: Vec<_> =
        (0..PACKET_COUNT as u32).map(|nonce| tagged_packet(&agent_ids, nonce)).collect();
    let first: Vec<_> = (0..PACKET_COUNT).map(|_| first_packet(&mut rng)).collect();
    let chain = packet::chain(Arc::new(super::routes(agent_ids).snapshot()));
    let run = |packets: &[Vec<u8>]| median_nanos(packets, |item| chain.run(item));
    report.add("tagged", "decision_ns", run(&tagged), TAGGED_TARGET);
    report.add("first_of_1000", "decision_ns", run(&first), FIRST_TARGET);
}

/// Encodes a packet with a short header whose owner tag names one of the members.
fn tagged_packet(agent_ids: &[AgentId], nonce: u32) -> Vec<u8> {
    let contract = super::contract();
    let service = &contract.terms()[0].service;
    let cipher = Cipher::new(&contract.key().derive("tag", contract.customer(), service));
    let AgentId { instance, incarnation } = agent_ids[nonce as usize % agent_ids.len()];
    let mut packet = vec![0x40];
    packet.extend_from_slice(&cipher.encode(Owner { instance, incarnation }, nonce));
    packet.resize(64, 0);
    packet
}

/// Encodes an Initial packet with a random connection ID.
fn first_packet(rng: &mut StdRng) -> Vec<u8> {
    let mut packet = INITIAL_PREFIX.to_vec();
    packet.push(8);
    packet.extend_from_slice(&rng.random::<[u8; 8]>());
    packet.resize(64, 0);
    packet
}

/// Returns the mean time per packet in nanoseconds, as the median of all rounds.
fn median_nanos(
    packets: &[Vec<u8>],
    mut run: impl FnMut(&mut PacketInfo) -> Option<Decision>,
) -> f64 {
    let service: SocketAddr = super::SERVICE_ADDRESS.parse().expect("the address is valid");
    let caller = SocketAddr::from(([10, 0, 0, 1], 40_000));
    let mut round = || {
        let start = Instant::now();
        for packet in packets {
            let invariant =
                InvariantHeader::decode(black_box(packet)).expect("the packet is valid");
            let decision = run(&mut PacketInfo::new(caller, service, caller, invariant));
            assert!(matches!(black_box(decision), Some(Decision::Forward { .. })));
        }
        start.elapsed().as_nanos() as f64 / packets.len() as f64
    };
    super::median((0..ROUNDS).map(|_| round()).collect())
}
