//! Claims on flow keys: held packets, and claim messages between agents.

use {
    std::{net::SocketAddr, sync::Arc},
    yuccacroft_agent::claims::{FlowClaims, HeldPacket, Output},
    yuccacroft_core::{
        directory::ClaimOutcome,
        flow::{AgentId, FlowKey, FlowPhase},
        ids::{Customer, Incarnation, Instance, Revision, Service},
        key::{Secret, ServiceDigest},
        ownership::{Decision, FlowLoad, OwnershipTable, UntaggedPacket},
        placement::{CandidateChain, ChainPosition},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
    yuccacroft_wire::{
        capsule::{CapsuleKind, Header, MacKey},
        claim::{self, ClaimBody, ClaimMessage, OwnerEntry},
        errors::Error,
    },
};

const KEY: FlowKey = FlowKey::new(7);

fn agent_id(number: u64) -> AgentId {
    AgentId {
        instance: Instance::from_bits(number << 16 | 9_000),
        incarnation: Incarnation::new(1),
    }
}

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

fn chain() -> CandidateChain {
    let mut chain = CandidateChain::new(Some(agent_id(1)), Some(agent_id(1)));
    chain.add_home(KEY, agent_id(2));
    chain
}

fn digest() -> ServiceDigest {
    let (customer, service): (Customer, Service) =
        ("kampvuur".parse().unwrap(), "booking".parse().unwrap());
    ServiceDigest::new(&customer, &service)
}

fn held_packet(key: FlowKey) -> HeldPacket {
    let (phase, step, chain) = (FlowPhase::First, ChainPosition::First, chain());
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    let header = Header {
        kind: CapsuleKind::Untagged { key, phase, chain, step, hops: 0, load: None },
        digest: digest(),
        incarnation: agent_id(1).incarnation,
        revision: Revision::new(1),
        caller: address("127.0.0.9:5000"),
        service: address("127.0.40.1:4433"),
        via: address("127.0.0.8:5000"),
        balancer: "127.0.0.7:5000".parse().unwrap(),
    };
    HeldPacket { header, payload: Box::new([1, 2, 3]) }
}

fn agent(number: u64) -> (Arc<OwnershipTable>, FlowClaims) {
    let table =
        Arc::new(OwnershipTable::new(agent_id(number), Connections::new(10_000), Weight::new(1)));
    (table.clone(), FlowClaims::new(table))
}

fn decide(table: &OwnershipTable, key: FlowKey) -> Decision {
    let (phase, step, expected) = (FlowPhase::First, ChainPosition::First, agent_id(1).incarnation);
    let packet =
        UntaggedPacket { key, phase, chain: &chain(), step, expected, hops: 0, load: None };
    table.decide(&packet, at(0))
}

fn load() -> FlowLoad {
    FlowLoad::new(Connections::new(0), Weight::new(1))
}

/// Starts a claim at agent 1.
fn start_claim(table: &OwnershipTable, claims: &FlowClaims) -> Vec<Output> {
    assert_eq!(decide(table, KEY), Decision::Claim);
    claims.hold(KEY, held_packet(KEY), true, at(0))
}

/// Guards against packets that are delivered before their claim is won, or not at all.
#[test]
fn packets_wait_until_the_claim_is_won() {
    let ((table, claims), (_, home)) = (agent(1), agent(2));
    let sent = start_claim(&table, &claims);
    let [Output::Send(to, message)] = &sent[..] else { panic!("{sent:?}") };
    assert_eq!(*to, agent_id(2).instance);
    assert_eq!(decide(&table, KEY), Decision::Wait);
    assert!(claims.hold(KEY, held_packet(KEY), false, at(1)).is_empty());
    let answer = home.receive(agent_id(1), load(), message.clone(), at(1));
    let [Output::Send(_, answer)] = &answer[..] else { panic!("{answer:?}") };
    let won = claims.receive(agent_id(2), load(), answer.clone(), at(2));
    assert!(matches!(&won[..], [Output::Deliver(packets)] if packets.len() == 2), "{won:?}");
    assert_eq!(decide(&table, KEY), Decision::Deliver);
    assert!(!claims.has_open_claims());
}

/// Guards against an agent that loses a claim and does not forward the held packets.
#[test]
fn packets_of_a_lost_claim_go_to_the_owner() {
    let (table, claims) = agent(1);
    start_claim(&table, &claims);
    let answer = ClaimBody::Answer(KEY, ClaimOutcome::Held(agent_id(3)));
    let lost = claims.receive(agent_id(2), load(), answer, at(1));
    assert!(
        matches!(&lost[..], [Output::Forward(to, packets)] if *to == agent_id(3) && packets.len() == 1)
    );
    assert_eq!(decide(&table, KEY), Decision::Pass(agent_id(3), ChainPosition::Owner, None));
}

/// Guards against a packet that is held after its claim has ended and is then never released.
#[test]
fn late_packet_is_processed_again() {
    let (table, claims) = agent(1);
    start_claim(&table, &claims);
    claims.receive(agent_id(2), load(), ClaimBody::Answer(KEY, ClaimOutcome::Granted), at(1));
    let late = claims.hold(KEY, held_packet(KEY), false, at(2));
    assert!(matches!(&late[..], [Output::Decide(packets)] if packets.len() == 1), "{late:?}");
}

/// Guards against a flow that is blocked by a home that does not answer.
#[test]
fn unresponsive_home_is_skipped() {
    let (table, claims) = agent(1);
    start_claim(&table, &claims);
    let outputs: Vec<_> = (1..=20).flat_map(|tick| claims.tick(at(tick * 5))).collect();
    let messages = outputs.iter().filter(|output| matches!(output, Output::Send(..))).count();
    assert_eq!(messages, 3, "three more messages after the first");
    assert!(matches!(outputs.last(), Some(Output::Deliver(packets)) if packets.len() == 1));
}

/// Guards against memory that grows with the number of held packets.
#[test]
fn held_packets_are_bounded() {
    let (table, claims) = agent(1);
    for key in (100..2_000).map(FlowKey::new) {
        assert_eq!(decide(&table, key), Decision::Claim);
        claims.hold(key, held_packet(key), true, at(0));
        claims.hold(key, held_packet(key), false, at(0));
    }
    let outputs: Vec<_> = (1..=20).flat_map(|tick| claims.tick(at(tick * 5))).collect();
    let kept = outputs.iter().map(|output| match output {
        Output::Deliver(packets) => packets.len(),
        _ => 0,
    });
    assert_eq!(kept.sum::<usize>(), 512);
}

/// Guards against a change of members after which new homes do not know the flows of this agent.
#[test]
fn flows_are_published_to_new_homes() {
    let (table, claims) = agent(1);
    start_claim(&table, &claims);
    claims.receive(agent_id(2), load(), ClaimBody::Answer(KEY, ClaimOutcome::Granted), at(1));
    claims.set_members(&[agent_id(2)], at(10));
    let restarted = AgentId { incarnation: Incarnation::new(2), ..agent_id(2) };
    for members in [[agent_id(2), agent_id(3)], [restarted, agent_id(3)]] {
        let outputs = claims.set_members(&members, at(20));
        let entry = OwnerEntry { key: KEY, owner: agent_id(1) };
        let published = |output: &Output| matches!(output, Output::Send(_, ClaimBody::Publish(entries)) if entries == &[entry]);
        assert!(outputs.len() == 1 && outputs.iter().all(published), "{outputs:?}");
        assert!(claims.set_members(&members, at(30)).is_empty());
    }
}

/// Guards against claim messages that were authenticated for another service or modified.
#[test]
fn claim_messages_are_authenticated() {
    let (own, foreign) = (MacKey::new(&Secret::new([1; 32])), MacKey::new(&Secret::new([2; 32])));
    let to = agent_id(2).instance;
    let body =
        ClaimBody::Publish(vec![OwnerEntry { key: KEY, owner: agent_id(1) }; claim::MAX_ENTRIES]);
    let message = ClaimMessage { digest: digest(), from: agent_id(1), to, load: load(), body };
    let datagram = claim::encode(&message, &own).unwrap();
    assert_eq!(claim::decode(&datagram, &own).unwrap(), message);
    assert_eq!(claim::decode(&datagram, &foreign), Err(Error::Unauthenticated));
    for at in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[at] ^= 1;
        assert!(claim::decode(&changed, &own).is_err());
    }
}
