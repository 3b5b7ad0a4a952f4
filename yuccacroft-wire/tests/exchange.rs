//! Messages between balancers: their bytes, their bounds, and damaged input.

use {
    proptest::prelude::*,
    std::sync::Arc,
    yuccacroft_core::{
        contract::Contract,
        gossip::{
            entry::{Item, Version},
            message::{GROUPS, Group, KeyVersion, Message},
            peer::Peer,
        },
        ids::{ChangeId, Incarnation, Revision},
        key::Secret,
        member::{Entry, Outage, Phase, Record, Standing, membership::Report},
        time::Span,
        units::Weight,
    },
    yuccacroft_wire::{
        authenticator,
        errors::Error,
        exchange::{EXCHANGE_PATH, Exchange, Reports, Snapshot, path},
        message,
    },
};

fn items() -> Vec<Item> {
    let key = Secret::new([7; 32]);
    let text = format!(
        "[customer]\nname = kampvuur\nkey = {key}\ncapacity = 40\n\n[service booking]\n\
         addresses = 127.0.40.1:4433\nslots = 4\nconnections = 2000\nupstreams_max = 7\nshare = 28\n"
    );
    let contract = Contract::parse("golden", &text).unwrap().check("golden").unwrap();
    let contract = contract.accept(Revision::new(9), ChangeId::new(3));
    let entry = Entry {
        customer: "kampvuur".parse().unwrap(),
        service: "booking".parse().unwrap(),
        instance: "10.0.0.1:9000".parse().unwrap(),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 2,
        domain: "gent".parse().unwrap(),
        weight: Weight::new(100),
        phase: Phase::Serving,
    };
    let peer = Peer {
        node: "10.0.1.1:7000".parse().unwrap(),
        domain: "gent".parse().unwrap(),
        incarnation: Incarnation::new(1_700_000_000_001),
        version: 1,
        standing: Standing::Trusted,
    };
    vec![
        Item::Contract(Arc::new(contract)),
        Item::Member(Arc::new(Record { entry, standing: Standing::Suspected })),
        Item::Peer(Arc::new(peer)),
        Item::Outage(Outage { domain: "gent".parse().unwrap(), epoch: 1 }),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    let group = Group { group: 3, buckets: (0..GROUPS as u64).collect() };
    let line = KeyVersion { key: 7, version: Version { major: 9, minor: 4 } };
    vec![
        ("push", Message::Push(items())),
        ("digest", Message::Digest((0..GROUPS as u64).map(|n| n << 40).collect())),
        ("groups", Message::Groups(vec![group])),
        ("lines", Message::Lines { buckets: vec![1, 9], lines: vec![line] }),
        ("delta", Message::Delta { items: items(), wanted: vec![7] }),
        ("snapshot", Message::Snapshot { after: Some(u64::MAX) }),
        ("page", Message::Page { items: items(), next: None }),
        ("known", Message::Known(vec![line])),
        ("done", Message::Done),
    ]
}

fn decode(bytes: &[u8]) -> Result<Message, Error> {
    match Exchange::decode(bytes) {
        Err(Error::Malformed) => Snapshot::decode(bytes).map(|message| message.0),
        other => other.map(|message| message.0),
    }
}

/// Guards against a change of the format that goes unnoticed: releases run side by side.
#[test]
fn bytes_equal_the_golden_ones() {
    for (name, message) in messages() {
        let file = format!("{}/tests/golden/{name}.hex", env!("CARGO_MANIFEST_DIR"));
        let golden = std::fs::read_to_string(&file).unwrap();
        let golden: String = golden.split_whitespace().collect();
        assert_eq!(hex::encode(message::encode(&message).unwrap()), golden, "{name}");
        assert_eq!(decode(&hex::decode(golden).unwrap()).unwrap(), message);
    }
}

/// Guards against messages that are out of bounds in themselves.
#[test]
fn refuses_messages_out_of_bounds() {
    let line = |key| KeyVersion { key, version: Version::default() };
    let wrong = [
        Message::Digest(vec![0; GROUPS - 1]),
        Message::Groups(vec![Group { group: 32, buckets: vec![0; GROUPS].into() }]),
        Message::Groups(vec![Group { group: 0, buckets: vec![0; GROUPS + 1].into() }]),
        Message::Lines { buckets: vec![1_024], lines: Vec::new() },
        Message::Lines { buckets: vec![2, 1], lines: Vec::new() },
        Message::Lines { buckets: vec![1], lines: vec![line(2), line(1)] },
    ];
    for message in wrong {
        let bytes = message::encode(&message).unwrap();
        assert_eq!(Exchange::decode(&bytes), Err(Error::Malformed), "{message:?}");
    }
}

/// Guards against an exchange with processes that do not have the mesh key, or whose message was
/// changed or recorded for another path.
#[test]
fn refuses_unauthenticated_messages() {
    let (key, other) = (Secret::new([1; 32]), Secret::new([2; 32]));
    let clock = Span::from_secs(1_000);
    for (_, message) in messages() {
        let body = message::encode(&message).unwrap();
        let text = authenticator::sign(&key, path(&message), clock, &body);
        authenticator::verify(&key, path(&message), clock, &body, &text).unwrap();
        let wrong = [
            authenticator::verify(&other, path(&message), clock, &body, &text),
            authenticator::verify(&key, "/v1/announce", clock, &body, &text),
            authenticator::verify(&key, path(&message), clock, &body[1..], &text),
            authenticator::verify(&key, path(&message), clock + Span::from_secs(61), &body, &text),
        ];
        assert!(wrong.iter().all(|result| *result == Err(Error::Unauthenticated)));
    }
    assert_eq!(EXCHANGE_PATH, "/v1/exchange");
}

/// Guards against a message that another version sent.
#[test]
fn refuses_another_version() {
    let mut bytes = message::encode(&Message::Done).unwrap();
    bytes[0] += 1;
    assert_eq!(Exchange::decode(&bytes), Err(Error::Version));
}

/// Guards against reports that do not return as they were sent.
#[test]
fn reports_return() {
    let (instance, domain) = ("10.0.0.1:9000".parse().unwrap(), "gent".parse().unwrap());
    let reports = Reports(vec![Report { instance, domain, alive: false }]);
    let bytes = message::encode(&reports).unwrap();
    assert_eq!(Reports::decode(&bytes).unwrap(), reports);
}

proptest! {
    /// Guards against a panic on any bytes behind a valid version.
    #[test]
    fn survives_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let bytes = [&[1], &bytes[..]].concat();
        let _ = (Exchange::decode(&bytes), Snapshot::decode(&bytes), Reports::decode(&bytes));
    }

    /// Guards against a panic, or a message out of bounds, on damaged messages.
    #[test]
    fn survives_damage(which in 0..9_usize, at in any::<u16>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut bytes = message::encode(&messages()[which].1).unwrap();
        let at = usize::from(at) % bytes.len();
        if cut {
            bytes.truncate(at);
            prop_assert!(decode(&bytes).is_err());
        } else {
            bytes[at] = byte;
            let _ = decode(&bytes).map(|message| message::encode(&message).unwrap());
        }
    }
}
