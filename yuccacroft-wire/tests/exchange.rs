//! Messages between balancers: their bytes, their bounds and damaged input.

use {
    proptest::prelude::*,
    std::sync::Arc,
    yuccacroft_core::{
        contract::Contract,
        gossip::{
            entry::{EntryVersion, GossipEntry},
            message::{GROUPS, GossipMessage, Group, KeyVersion},
            peer::Peer,
        },
        ids::{ChangeId, Incarnation, Revision},
        key::Secret,
        member::{
            Liveness, MemberEntry, MemberPhase, MemberRecord, Outage, membership::MemberReport,
        },
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

fn items() -> Vec<GossipEntry> {
    let key = Secret::new([7; 32]);
    let text = format!(
        "[customer]\nname = kampvuur\nkey = {key}\ncapacity = 40\n\n[service booking]\n\
         addresses = 127.0.40.1:4433\nslots = 4\nconnections = 2000\nupstreams_max = 7\nshare = 28\n"
    );
    let contract = Contract::parse("golden", &text).unwrap().check("golden").unwrap();
    let contract = contract.accept(Revision::new(9), ChangeId::new(3));
    let entry = MemberEntry {
        customer: "kampvuur".parse().unwrap(),
        service: "booking".parse().unwrap(),
        instance: "10.0.0.1:9000".parse().unwrap(),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 2,
        domain: "gent".parse().unwrap(),
        weight: Weight::new(100),
        phase: MemberPhase::Serving,
    };
    let peer = Peer {
        node: "10.0.1.1:7000".parse().unwrap(),
        domain: "gent".parse().unwrap(),
        incarnation: Incarnation::new(1_700_000_000_001),
        version: 1,
        standing: Liveness::Trusted,
    };
    vec![
        GossipEntry::Contract(Arc::new(contract)),
        GossipEntry::Member(Arc::new(MemberRecord { entry, standing: Liveness::Suspected })),
        GossipEntry::Peer(Arc::new(peer)),
        GossipEntry::Outage(Outage { domain: "gent".parse().unwrap(), epoch: 1 }),
    ]
}

fn messages() -> Vec<(&'static str, GossipMessage)> {
    let group = Group { group: 3, buckets: (0..GROUPS as u64).collect() };
    let key_version = KeyVersion { key: 7, version: EntryVersion { major: 9, minor: 4 } };
    vec![
        ("push", GossipMessage::Push(items())),
        ("digest", GossipMessage::Digest((0..GROUPS as u64).map(|n| n << 40).collect())),
        ("groups", GossipMessage::Groups(vec![group])),
        ("lines", GossipMessage::Lines { buckets: vec![1, 9], lines: vec![key_version] }),
        ("delta", GossipMessage::Delta { items: items(), wanted: vec![7] }),
        ("snapshot", GossipMessage::Snapshot { after: Some(u64::MAX) }),
        ("page", GossipMessage::Page { items: items(), next: None }),
        ("known", GossipMessage::Known(vec![key_version])),
        ("done", GossipMessage::Done),
    ]
}

fn decode(bytes: &[u8]) -> Result<GossipMessage, Error> {
    match Exchange::decode(bytes) {
        Err(Error::Malformed) => Snapshot::decode(bytes).map(|message| message.0),
        other => other.map(|message| message.0),
    }
}

/// Guards against an unnoticed change of the format: different releases run side by side.
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

/// Guards against accepting messages whose content is out of bounds.
#[test]
fn rejects_messages_out_of_bounds() {
    let key_version = |key| KeyVersion { key, version: EntryVersion::default() };
    let rejected = [
        GossipMessage::Digest(vec![0; GROUPS - 1]),
        GossipMessage::Groups(vec![Group { group: 32, buckets: vec![0; GROUPS].into() }]),
        GossipMessage::Groups(vec![Group { group: 0, buckets: vec![0; GROUPS + 1].into() }]),
        GossipMessage::Lines { buckets: vec![1_024], lines: Vec::new() },
        GossipMessage::Lines { buckets: vec![2, 1], lines: Vec::new() },
        GossipMessage::Lines { buckets: vec![1], lines: vec![key_version(2), key_version(1)] },
    ];
    for message in rejected {
        let bytes = message::encode(&message).unwrap();
        assert_eq!(Exchange::decode(&bytes), Err(Error::Malformed), "{message:?}");
    }
}

/// Guards against accepting a message from a process without the mesh key, a changed message, or
/// one that was recorded for another path or too long ago.
#[test]
fn rejects_unauthenticated_messages() {
    let (key, other) = (Secret::new([1; 32]), Secret::new([2; 32]));
    let clock = Span::from_secs(1_000);
    for (_, message) in messages() {
        let body = message::encode(&message).unwrap();
        let text = authenticator::sign(&key, path(&message), clock, &body);
        authenticator::verify(&key, path(&message), clock, &body, &text).unwrap();
        let rejected = [
            authenticator::verify(&other, path(&message), clock, &body, &text),
            authenticator::verify(&key, "/v1/announce", clock, &body, &text),
            authenticator::verify(&key, path(&message), clock, &body[1..], &text),
            authenticator::verify(&key, path(&message), clock + Span::from_secs(61), &body, &text),
        ];
        assert!(rejected.iter().all(|result| *result == Err(Error::Unauthenticated)));
    }
    assert_eq!(EXCHANGE_PATH, "/v1/exchange");
}

/// Guards against decoding a message of another version.
#[test]
fn rejects_another_version() {
    let mut bytes = message::encode(&GossipMessage::Done).unwrap();
    bytes[0] += 1;
    assert_eq!(Exchange::decode(&bytes), Err(Error::Version));
}

/// Guards against reports that change in a round trip.
#[test]
fn reports_round_trip() {
    let (instance, domain) = ("10.0.0.1:9000".parse().unwrap(), "gent".parse().unwrap());
    let reports = Reports(vec![MemberReport { instance, domain, alive: false }]);
    let bytes = message::encode(&reports).unwrap();
    assert_eq!(Reports::decode(&bytes).unwrap(), reports);
}

proptest! {
    /// Guards against a panic on arbitrary bytes after a valid version.
    #[test]
    fn decoders_accept_any_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let bytes = [&[1], &bytes[..]].concat();
        let _ = (Exchange::decode(&bytes), Snapshot::decode(&bytes), Reports::decode(&bytes));
    }

    /// Guards against a panic, or a message that cannot be encoded again, on damaged messages.
    #[test]
    fn decoders_accept_damaged_messages_without_panic(index in 0..9_usize, position in any::<u16>(), byte in any::<u8>(), truncate in any::<bool>()) {
        let mut bytes = message::encode(&messages()[index].1).unwrap();
        let position = usize::from(position) % bytes.len();
        if truncate {
            bytes.truncate(position);
            prop_assert!(decode(&bytes).is_err());
        } else {
            bytes[position] = byte;
            let _ = decode(&bytes).map(|message| message::encode(&message).unwrap());
        }
    }
}
