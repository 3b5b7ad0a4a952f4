//! Isolation of services: no packet reaches another service, even when a balancer's state is stale
//! or a caller forges a tag.

use {
    std::{net::SocketAddr, sync::Arc},
    yuccacroft_agent::packet::{self, Decision, ReceivedCapsule, ServiceScope},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        filter::FilterChain,
        flow::{AgentId, FlowKey, FlowPhase},
        ids::{ChangeId, Customer, Incarnation, Instance, Revision, Service},
        key::{Secret, ServiceDigest},
        ownership::OwnershipTable,
        placement::{CandidateChain, ChainPosition},
        tag::{Cipher, Owner},
        time::Moment,
        units::{Connections, Weight},
    },
    yuccacroft_wire::{
        capsule::{self, CapsuleKind, Header, MacKey},
        errors::Error,
    },
};

const BOOKING_ADDRESS: &str = "127.0.40.1:4433";
const PACK_ADDRESS: &str = "127.0.40.2:4433";

fn own() -> AgentId {
    AgentId { instance: Instance::from_bits(1 << 16 | 9_000), incarnation: Incarnation::new(5) }
}

fn other() -> AgentId {
    AgentId { instance: Instance::from_bits(2 << 16 | 9_000), incarnation: Incarnation::new(6) }
}

fn digest(customer: &str, service: &str) -> ServiceDigest {
    let (customer, service): (Customer, Service) =
        (customer.parse().unwrap(), service.parse().unwrap());
    ServiceDigest::new(&customer, &service)
}

fn contract(revision: u64, booking: &str, pack: &str) -> Contract<Accepted> {
    let service = |name, address| {
        format!(
            "[service {name}]\naddresses = {address}\nslots = 4\nconnections = 2000\n\
             upstreams_max = 2\nshare = 8\n"
        )
    };
    let key = Secret::new([7; 32]);
    let head = format!("[customer]\nname = kampvuur\nkey = {key}\ncapacity = 16\n");
    let text = format!("{head}{}{}", service("booking", booking), service("pack", pack));
    let contract = Contract::parse("test", &text).unwrap().check("test").unwrap();
    contract.accept(Revision::new(revision), ChangeId::default())
}

struct Agent {
    scope: Arc<ServiceScope>,
    chain: FilterChain<ReceivedCapsule, Decision>,
}

impl Agent {
    /// Creates an agent of the booking service with this contract in force.
    fn new(contract: &Contract<Accepted>) -> Self {
        let scope = Arc::new(ServiceScope::new(digest("kampvuur", "booking"), own()));
        let table = Arc::new(OwnershipTable::new(own(), Connections::new(10), Weight::new(100)));
        let chain = packet::build_chain(scope.clone(), table);
        let agent = Self { scope, chain };
        agent.apply(contract);
        agent
    }

    fn apply(&self, contract: &Contract<Accepted>) {
        self.scope.apply_contract(contract, contract.service(&"booking".parse().unwrap()).unwrap());
    }

    fn decide(&self, header: Header) -> Decision {
        let mut capsule = ReceivedCapsule { header, now: Moment::default() };
        self.chain.run(&mut capsule).unwrap()
    }
}

fn header(kind: CapsuleKind) -> Header {
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    Header {
        kind,
        digest: digest("kampvuur", "booking"),
        incarnation: own().incarnation,
        revision: Revision::new(3),
        caller: address("127.0.0.9:5000"),
        service: address(BOOKING_ADDRESS),
        via: address("127.0.0.8:5000"),
        balancer: "127.0.0.7:5000".parse().unwrap(),
    }
}

fn untagged(phase: FlowPhase) -> CapsuleKind {
    let chain = CandidateChain::new(Some(own()), Some(other()));
    CapsuleKind::Untagged {
        key: FlowKey::new(7),
        phase,
        chain,
        step: ChainPosition::First,
        hops: 0,
        load: None,
    }
}

/// Guards against a capsule for the service that used this agent address before, sent by a balancer
/// with a stale member table.
#[test]
fn capsule_of_former_service_is_dropped() {
    let agent = Agent::new(&contract(3, BOOKING_ADDRESS, PACK_ADDRESS));
    for kind in [CapsuleKind::Tagged, untagged(FlowPhase::First), untagged(FlowPhase::Middle)] {
        assert!(!matches!(agent.decide(header(kind)), Decision::Drop("service")));
        for former_digest in [digest("kampvuur", "pack"), digest("snow", "booking")] {
            let header = Header { digest: former_digest, ..header(kind) };
            assert_eq!(agent.decide(header), Decision::Drop("service"));
        }
    }
}

/// Guards against a capsule that was authenticated with the key of another service.
#[test]
fn capsule_with_foreign_mac_is_rejected() {
    let (own, foreign) = (MacKey::new(&Secret::new([1; 32])), MacKey::new(&Secret::new([2; 32])));
    let mut buffer = [0; 2_048];
    let header = header(CapsuleKind::Tagged);
    let length = capsule::encode(&header, b"packet", &foreign, &mut buffer).unwrap();
    let received = capsule::decode(&buffer[..length]).unwrap();
    assert_eq!(received.verify(&own), Err(Error::Unauthenticated));
    assert_eq!(received.verify(&foreign), Ok(()));
}

/// Guards against a caller that addresses another customer's agents: tags are decoded with the key
/// of the service address that the caller sends to, so a tag of another service is invalid there.
#[test]
fn tag_of_another_customer_is_rejected() {
    let (kampvuur, snow) = (Cipher::new(&Secret::new([1; 32])), Cipher::new(&Secret::new([2; 32])));
    let owner = Owner { instance: own().instance, incarnation: own().incarnation };
    for nonce in 0..100_000 {
        let tag = kampvuur.encode(owner, nonce);
        assert_eq!(kampvuur.decode(&tag), Some(owner));
        // A forged tag passes the 24-bit check once in 16 million attempts and then names a random
        // address, where an agent of another service drops the capsule by its digest.
        assert_ne!(snow.decode(&tag), Some(owner));
    }
}

/// Guards against a replayed tag of an earlier process at this address: the flow is reset, and the
/// flows of the new process are not affected.
#[test]
fn tag_of_earlier_incarnation_is_reset() {
    let agent = Agent::new(&contract(3, BOOKING_ADDRESS, PACK_ADDRESS));
    assert_eq!(agent.decide(header(CapsuleKind::Tagged)), Decision::Deliver);
    let stale = Header { incarnation: Incarnation::new(4), ..header(CapsuleKind::Tagged) };
    assert_eq!(agent.decide(stale), Decision::Reset);
}

/// Guards against a reset of a live flow by a process that was replaced: the later process at this
/// address may run on another machine, and this one gets a packet of its flow.
#[test]
fn tag_of_later_incarnation_is_dropped() {
    let agent = Agent::new(&contract(3, BOOKING_ADDRESS, PACK_ADDRESS));
    let incarnation = Incarnation::new(own().incarnation.get() + 1);
    let later = Header { incarnation, ..header(CapsuleKind::Tagged) };
    assert_eq!(agent.decide(later), Decision::Drop("incarnation"));
    let CapsuleKind::Untagged { key, phase, chain, hops, load, .. } = untagged(FlowPhase::Middle)
    else {
        unreachable!("the kind was built as untagged");
    };
    let step = ChainPosition::Owner;
    let kind = CapsuleKind::Untagged { key, phase, chain, step, hops, load };
    assert_eq!(agent.decide(header(kind)), Decision::Reset);
    let later = Header { incarnation, ..header(kind) };
    assert_eq!(agent.decide(later), Decision::Drop("owner_unknown"));
}

/// Guards against a new flow that was placed by a stale member table: it is forwarded to an agent
/// whose current incarnation the balancer knows.
#[test]
fn flow_for_earlier_incarnation_is_forwarded() {
    let agent = Agent::new(&contract(3, BOOKING_ADDRESS, PACK_ADDRESS));
    let stale = Header { incarnation: Incarnation::new(4), ..header(untagged(FlowPhase::First)) };
    assert!(matches!(agent.decide(stale), Decision::Pass(next, _) if next == other()));
}

/// Guards against a balancer with an older contract that still assigns an address to this service
/// after it has moved to another one.
#[test]
fn capsule_for_moved_address_is_dropped() {
    let agent = Agent::new(&contract(3, BOOKING_ADDRESS, PACK_ADDRESS));
    let kind = untagged(FlowPhase::First);
    assert!(!matches!(agent.decide(header(kind)), Decision::Drop(_)));
    agent.apply(&contract(4, "127.0.40.3:4433", BOOKING_ADDRESS));
    assert_eq!(agent.decide(header(kind)), Decision::Drop("address"));
    assert_eq!(agent.decide(header(CapsuleKind::Tagged)), Decision::Drop("address"));
    // A contract newer than the agent's may have assigned the address to this service.
    let newer = Header { revision: Revision::new(5), ..header(CapsuleKind::Tagged) };
    assert_eq!(agent.decide(newer), Decision::Deliver);
}

/// Guards against replies that an agent handles as packets of callers.
#[test]
fn reply_capsule_is_dropped() {
    let agent = Agent::new(&contract(3, BOOKING_ADDRESS, PACK_ADDRESS));
    assert_eq!(agent.decide(header(CapsuleKind::Reply)), Decision::Drop("kind"));
}
