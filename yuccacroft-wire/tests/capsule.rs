//! Capsules and PROXY headers: round trips, damaged input and forged input.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        flow::{AgentId, FlowKey, FlowPhase},
        ids::{Customer, Incarnation, Instance, Revision, Service},
        key::{Secret, ServiceDigest},
        ownership::FlowLoad,
        placement::{CandidateChain, ChainPosition, MAX_HOMES},
        units::{Connections, Weight},
    },
    yuccacroft_wire::{
        capsule::{self, CapsuleKind, Header, MacKey},
        errors::Error,
        proxy::{self, AddressPair},
    },
};

fn header() -> Header {
    let agent_id = |bits: u64| AgentId {
        instance: Instance::from_bits(bits << 16 | 65_535),
        incarnation: Incarnation::new((1 << 48) - 1),
    };
    let mut chain = CandidateChain::new(Some(agent_id(1)), Some(agent_id(2)));
    (0..MAX_HOMES as u64).for_each(|bits| chain.add_home(FlowKey::new(u64::MAX), agent_id(bits)));
    assert_eq!(chain.homes().count(), MAX_HOMES);
    let load = Some(FlowLoad::new(Connections::new(u32::MAX), Weight::new(u32::MAX)));
    let step = ChainPosition::Home(5);
    let customer: Customer = "kampvuur".parse().unwrap();
    let service: Service = "booking".parse().unwrap();
    Header {
        kind: CapsuleKind::Untagged {
            key: FlowKey::new(u64::MAX),
            phase: FlowPhase::First,
            chain,
            step,
            hops: u8::MAX,
            load,
        },
        digest: ServiceDigest::new(&customer, &service),
        incarnation: Incarnation::new(1 << 47),
        revision: Revision::new(u64::MAX),
        caller: "[2001:db8::1]:65535".parse().unwrap(),
        service: "[2001:db8::2]:65535".parse().unwrap(),
        via: "[2001:db8::3]:65535".parse().unwrap(),
        balancer: "127.0.0.1:65535".parse().unwrap(),
    }
}

fn mac_key(byte: u8) -> MacKey {
    MacKey::new(&Secret::new([byte; 32]))
}

/// Guards against a header that exceeds its upper bound; the test encodes the longest one.
#[test]
fn longest_header_fits_and_round_trips() {
    let mut buffer = [0; 2_048];
    let length = capsule::encode(&header(), &[9; 1_200], &mac_key(1), &mut buffer).unwrap();
    assert!(length <= 1_200 + 9 + capsule::MAX_HEADER_BYTES);
    let unverified = capsule::decode(&buffer[..length]).unwrap();
    unverified.verify(&mac_key(1)).unwrap();
    assert_eq!((unverified.header, unverified.payload), (header(), &[9; 1_200][..]));
}

/// Guards against accepting a capsule that a process of another service made.
#[test]
fn rejects_another_key() {
    let mut buffer = [0; 2_048];
    let length = capsule::encode(&header(), b"packet", &mac_key(1), &mut buffer).unwrap();
    let unverified = capsule::decode(&buffer[..length]).unwrap();
    assert_eq!(unverified.verify(&mac_key(2)), Err(Error::Unauthenticated));
}

/// Guards against a header writer that deviates from the published protocol.
#[test]
fn proxy_header_equals_the_output_of_the_library() {
    use ppp::v2::{Builder, Command, IPv4, Protocol, Version};
    let pair = AddressPair {
        source: "10.1.2.3:4000".parse().unwrap(),
        destination: "10.4.5.6:443".parse().unwrap(),
    };
    let addresses = IPv4::new([10, 1, 2, 3], [10, 4, 5, 6], 4_000, 443);
    let expected =
        Builder::with_addresses(Version::Two | Command::Proxy, Protocol::Datagram, addresses)
            .build()
            .unwrap();
    let mut buffer = [0; 128];
    let length = proxy::encode(pair, b"", &mut buffer).unwrap();
    assert_eq!(buffer[..length], expected);
    assert_eq!(proxy::decode(&buffer[..length]).unwrap(), (pair, &b""[..]));
}

proptest! {
    /// Guards against a panic on arbitrary datagrams.
    #[test]
    fn decoders_accept_any_datagram_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = capsule::decode(&bytes).map(|unverified| unverified.verify(&mac_key(1)));
        let _ = proxy::decode(&bytes);
        let _ = yuccacroft_wire::invariant::InvariantHeader::decode(&bytes);
    }
}
