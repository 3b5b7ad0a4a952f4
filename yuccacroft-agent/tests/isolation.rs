//! No packet reaches another service, whatever a balancer believes or a caller forges.

use {
    std::{net::SocketAddr, sync::Arc},
    yuccacroft_agent::packet::{self, Decision, ReceivedCapsule, ServiceScope},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        filter::Chain as Filters,
        flow::{Hop, Key, Phase},
        ids::{Change, Customer, Incarnation, Instance, Revision, Service},
        key::{Digest, Secret},
        ownership::Table,
        placement::{Chain, Step},
        tag::{Cipher, Owner},
        time::Moment,
        units::{Connections, Weight},
    },
    yuccacroft_wire::{
        capsule::{self, Header, Kind, Seal},
        errors::Error,
    },
};

const BOOKING: &str = "127.0.40.1:4433";
const PACK: &str = "127.0.40.2:4433";

fn own() -> Hop {
    Hop { instance: Instance::from_bits(1 << 16 | 9_000), incarnation: Incarnation::new(5) }
}

fn other() -> Hop {
    Hop { instance: Instance::from_bits(2 << 16 | 9_000), incarnation: Incarnation::new(6) }
}

fn digest(customer: &str, service: &str) -> Digest {
    let (customer, service): (Customer, Service) =
        (customer.parse().unwrap(), service.parse().unwrap());
    Digest::new(&customer, &service)
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
    contract.accept(Revision::new(revision), Change::default())
}

struct Agent {
    scope: Arc<ServiceScope>,
    chain: Filters<ReceivedCapsule, Decision>,
}

impl Agent {
    /// An agent of the booking service that follows this contract.
    fn new(contract: &Contract<Accepted>) -> Self {
        let scope = Arc::new(ServiceScope::new(digest("kampvuur", "booking"), own()));
        let table = Arc::new(Table::new(own(), Connections::new(10), Weight::new(100)));
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

fn header(kind: Kind) -> Header {
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    Header {
        kind,
        digest: digest("kampvuur", "booking"),
        incarnation: own().incarnation,
        revision: Revision::new(3),
        caller: address("127.0.0.9:5000"),
        service: address(BOOKING),
        via: address("127.0.0.8:5000"),
        balancer: "127.0.0.7:5000".parse().unwrap(),
    }
}

fn untagged(phase: Phase) -> Kind {
    let chain = Chain::new(Some(own()), Some(other()));
    Kind::Untagged { key: Key::new(7), phase, chain, step: Step::First, hops: 0, load: None }
}

/// Guards against a capsule for the service that had this address before: a balancer with a stale
/// member table still sends it here.
#[test]
fn address_reused_by_another_service() {
    let agent = Agent::new(&contract(3, BOOKING, PACK));
    for kind in [Kind::Tagged, untagged(Phase::First), untagged(Phase::Middle)] {
        assert!(!matches!(agent.decide(header(kind)), Decision::Drop("service")));
        for former in [digest("kampvuur", "pack"), digest("snow", "booking")] {
            let header = Header { digest: former, ..header(kind) };
            assert_eq!(agent.decide(header), Decision::Drop("service"));
        }
    }
}

/// Guards against a capsule that a process of another service sealed, or that was changed.
#[test]
fn capsule_of_another_key() {
    let (own, foreign) = (Seal::new(&Secret::new([1; 32])), Seal::new(&Secret::new([2; 32])));
    let mut buffer = [0; 2_048];
    let header = header(Kind::Tagged);
    let length = capsule::encode(&header, b"packet", &foreign, &mut buffer).unwrap();
    let opened = capsule::decode(&buffer[..length]).unwrap();
    assert_eq!(opened.verify(&own), Err(Error::Unauthenticated));
    assert_eq!(opened.verify(&foreign), Ok(()));
}

/// Guards against a caller that aims at another customer: the key of a tag comes from the address
/// that the caller sends to, so a tag of another service says nothing there.
#[test]
fn tag_of_another_customer_or_forged() {
    let (kampvuur, snow) = (Cipher::new(&Secret::new([1; 32])), Cipher::new(&Secret::new([2; 32])));
    let owner = Owner { instance: own().instance, incarnation: own().incarnation };
    for nonce in 0..100_000 {
        let tag = kampvuur.encode(owner, nonce);
        assert_eq!(kampvuur.decode(&tag), Some(owner));
        // A forged tag passes the 24-bit check once in 16 million tries and then names a random
        // address, whose capsule another service refuses by its digest.
        assert_ne!(snow.decode(&tag), Some(owner));
    }
}

/// Guards against a replayed tag of an earlier process at this address: the caller learns that its
/// flow is gone, and no flow of the new process is touched.
#[test]
fn replayed_tag_of_an_earlier_life() {
    let agent = Agent::new(&contract(3, BOOKING, PACK));
    assert_eq!(agent.decide(header(Kind::Tagged)), Decision::Deliver);
    let stale = Header { incarnation: Incarnation::new(4), ..header(Kind::Tagged) };
    assert_eq!(agent.decide(stale), Decision::Reset);
}

/// Guards against a new flow that was placed by a stale member table: it goes on to an agent that
/// the balancer really knows.
#[test]
fn stale_member_table_begins_no_flow() {
    let agent = Agent::new(&contract(3, BOOKING, PACK));
    let stale = Header { incarnation: Incarnation::new(4), ..header(untagged(Phase::First)) };
    assert!(matches!(agent.decide(stale), Decision::Pass(next, _) if next == other()));
}

/// Guards against a balancer with an older contract that still gives this service an address which
/// moved to another one.
#[test]
fn address_moved_by_a_newer_contract() {
    let agent = Agent::new(&contract(3, BOOKING, PACK));
    let kind = untagged(Phase::First);
    assert!(!matches!(agent.decide(header(kind)), Decision::Drop(_)));
    agent.apply(&contract(4, "127.0.40.3:4433", BOOKING));
    assert_eq!(agent.decide(header(kind)), Decision::Drop("address"));
    assert_eq!(agent.decide(header(Kind::Tagged)), Decision::Drop("address"));
    // A newer contract than the own one may have given the address to this service.
    let newer = Header { revision: Revision::new(5), ..header(Kind::Tagged) };
    assert_eq!(agent.decide(newer), Decision::Deliver);
}

/// Guards against replies that an agent takes for packets of callers.
#[test]
fn reply_is_no_packet() {
    let agent = Agent::new(&contract(3, BOOKING, PACK));
    assert_eq!(agent.decide(header(Kind::Reply)), Decision::Drop("kind"));
}
