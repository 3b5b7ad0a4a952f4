//! Messages of agents to balancers and to each other: their bytes and damaged input.

use {
    proptest::prelude::*,
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, fmt::Debug},
    yuccacroft_core::{
        admission::peers::SiblingLoad,
        capacity::{Claim, ClaimNumber},
        flow::AgentId,
        idempotency::{Answer, Header},
        ids::{Incarnation, Instance, RequestId, Revision},
        member::{MemberEntry, MemberPhase},
        request::{Effect, RefusalReason},
        time::Span,
        units::{Slots, Weight},
    },
    yuccacroft_wire::{
        capacity::{CapacityQuery, CapacityReply},
        handoff::{
            Fence, ForwardedRequest, HandoffReply, Offer, RelayOutcome, RelayRequest, RequestState,
        },
        message::{self, Announce, AnnounceReply, Balancers, OperatorRequest, Order, Sibling},
    },
};

/// The name and the bytes of one message per line.
const GOLDEN: &str = include_str!("golden/messages.txt");

const INCARNATION: Incarnation = Incarnation::new(1_700_000_000_000);

fn instance() -> Instance {
    "10.0.0.1:9000".parse().unwrap()
}

fn agent_id() -> AgentId {
    AgentId { instance: instance(), incarnation: INCARNATION }
}

fn entry() -> MemberEntry {
    MemberEntry {
        customer: "kampvuur".parse().unwrap(),
        service: "booking".parse().unwrap(),
        instance: instance(),
        incarnation: INCARNATION,
        version: 2,
        domain: "gent".parse().unwrap(),
        weight: Weight::new(100),
        phase: MemberPhase::Draining,
    }
}

fn forwarded_request() -> ForwardedRequest {
    let header: Header = ("idempotency-key".into(), b"seat-1"[..].into());
    ForwardedRequest {
        method: "POST".into(),
        path: "/reserve?day=2".into(),
        headers: [header].into(),
        body: b"two seats"[..].into(),
    }
}

fn load() -> SiblingLoad {
    let (running, limit) = (Slots::new(3), Slots::new(4));
    SiblingLoad { running, waiting: 2, limit, service: Span::from_millis(40) }
}

fn answer() -> Answer {
    Answer { status: 200, headers: [].into(), body: b"reserved"[..].into() }
}

fn announce() -> Announce {
    Announce { entry: entry(), revision: Revision::new(9), siblings: 7, balancers: u64::MAX }
}

fn announce_reply() -> AnnounceReply {
    let addresses = |text: &str| [text.parse().unwrap()].into();
    let (registrars, others) = (addresses("10.0.1.1:7000"), addresses("[2001:db8::1]:7000"));
    AnnounceReply {
        contract: None,
        siblings: Some([Sibling { instance: instance(), incarnation: INCARNATION }].into()),
        balancers: Some(Balancers { registrars, others }),
        refute: Some(3),
        later: Some(INCARNATION),
    }
}

fn query() -> CapacityQuery {
    let MemberEntry { customer, service, .. } = entry();
    let claim = Claim::Hold(Slots::new(4));
    CapacityQuery { customer, service, agent_id: agent_id(), number: ClaimNumber::new(2), claim }
}

fn offer() -> Offer {
    Offer {
        request_id: RequestId::new(5),
        expected: INCARNATION,
        sender: agent_id(),
        load: load(),
        effect: Effect::Once,
        remaining: Span::from_secs(4),
        hold: Span::from_millis(250),
        work: forwarded_request(),
    }
}

fn fence() -> Fence {
    let (age, hold) = (Span::from_millis(300), Span::ZERO);
    Fence { request_id: RequestId::new(5), expected: INCARNATION, age, hold, cancel: true }
}

fn relay() -> RelayRequest {
    RelayRequest { expected: INCARNATION, remaining: Span::from_secs(4), work: forwarded_request() }
}

/// Compares a message with its golden bytes in both directions.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, message: &T) {
    let golden: BTreeMap<_, _> = GOLDEN.lines().filter_map(|line| line.split_once(' ')).collect();
    let bytes = message::encode(message).unwrap();
    assert_eq!(Some(&*hex::encode(&bytes)), golden.get(name).copied(), "{name}");
    assert_eq!(message::decode::<T>(&bytes).unwrap(), *message);
}

/// Guards against an unnoticed change of the format: different releases run side by side.
#[test]
fn bytes_equal_the_golden_ones() {
    check("announce", &announce());
    check("welcome", &announce_reply());
    check("operate", &OperatorRequest { incarnation: INCARNATION, order: Order::Drain });
    check("capacity_query", &query());
    check("capacity_reply", &CapacityReply::Granted(Slots::new(4)));
    check("offer", &offer());
    check("fence", &fence());
    check("reply", &HandoffReply { load: load(), state: RequestState::Done(answer()) });
    check("relay", &relay());
    check("relayed", &RelayOutcome::NotRun(RefusalReason::Tombstone));
}

/// Decodes bytes as every kind of message; the test checks only that nothing panics.
fn decode_all(bytes: &[u8]) {
    let _ = message::decode::<Announce>(bytes);
    let _ = message::decode::<AnnounceReply>(bytes);
    let _ = message::decode::<OperatorRequest>(bytes);
    let _ = message::decode::<CapacityQuery>(bytes);
    let _ = message::decode::<CapacityReply>(bytes);
    let _ = message::decode::<Offer>(bytes);
    let _ = message::decode::<Fence>(bytes);
    let _ = message::decode::<HandoffReply>(bytes);
    let _ = message::decode::<RelayRequest>(bytes);
    let _ = message::decode::<RelayOutcome>(bytes);
}

proptest! {
    /// Guards against a panic or unbounded memory on arbitrary bytes.
    #[test]
    fn decoders_accept_any_bytes_without_panic(mut bytes in proptest::collection::vec(any::<u8>(), 1..400)) {
        bytes[0] = 1;
        decode_all(&bytes);
    }

    /// Guards against a panic on a damaged message.
    #[test]
    fn decoders_accept_damaged_messages_without_panic(index in any::<prop::sample::Index>(), byte: u8, length in any::<prop::sample::Index>()) {
        for bytes in [message::encode(&offer()), message::encode(&announce_reply())] {
            let mut bytes = bytes.unwrap();
            let position = index.index(bytes.len());
            bytes[position] = byte;
            decode_all(&bytes);
            decode_all(&bytes[..length.index(bytes.len())]);
        }
    }

    /// Guards against ignoring trailing bytes.
    #[test]
    fn rejects_trailing_bytes(extra in proptest::collection::vec(any::<u8>(), 1..9)) {
        let mut bytes = message::encode(&fence()).unwrap();
        bytes.extend(extra);
        prop_assert!(message::decode::<Fence>(&bytes).is_err());
    }
}
