//! Messages between balancers and agents: their bytes, and those that a process without indirect
//! pings does not know.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Incarnation, Instance, Revision},
        pool::{AgentLoad, indirect::Condition},
        route::{ConfigVersion, Target, TrafficClass},
        segment::Sequence,
        time::{Moment, Span},
        units::{Connections, Percent},
    },
    yuccacroft_wire::{
        errors::Error,
        relay::{self, Body, FlowQuery, MAX_FLOW_QUERIES, MAX_LISTED_FLOWS, Reply, Request},
    },
};

/// The kinds of messages to agents of a process without indirect pings.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
enum EarlierRequest {
    Offer { target: Target, origin: SocketAddrV4, rest: Box<[Instance]>, hops: u8 },
    Carry(TrafficClass),
    Search { key: FlowKey, acknowledged: Sequence },
    Probe(TrafficClass),
    Ping { listed: Option<(Incarnation, u32)>, version: ConfigVersion, newest_entry: Revision },
}

/// A message to a balancer without indirect pings.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
struct EarlierReply {
    from: AgentId,
    load: AgentLoad,
    age: Span,
    version: ConfigVersion,
    newest_entry: Revision,
    body: EarlierBody,
}

/// The kinds of messages to balancers without indirect pings.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
enum EarlierBody {
    Load,
    Pong,
    Took(FlowKey),
    Refused,
    Owns(FlowKey),
    Denies { key: FlowKey, unsure: bool },
}

fn origin() -> SocketAddrV4 {
    "10.0.0.9:21006".parse().unwrap()
}

fn agent_id() -> AgentId {
    let instance = "10.0.0.1:21001".parse().unwrap();
    AgentId { instance, incarnation: Incarnation::new(1_700_000_000_000) }
}

fn reply(body: Body) -> Reply {
    let (load, age) = (AgentLoad::default(), Span::from_secs(1));
    let (version, newest_entry) = (ConfigVersion::new(3), Revision::new(4));
    Reply { from: agent_id(), load, age, version, newest_entry, body }
}

fn earlier_requests() -> [Request; 5] {
    let (key, class) = (FlowKey::new(5), TrafficClass::default());
    let rest = [agent_id().instance].into();
    [
        Request::Offer { target: Target::new(1), origin: origin(), rest, hops: 0 },
        Request::Carry(class),
        Request::Search { key, acknowledged: Sequence::new(7) },
        Request::Probe(class),
        Request::Ping {
            listed: None,
            version: ConfigVersion::new(3),
            newest_entry: Revision::new(4),
        },
    ]
}

fn earlier_bodies() -> [Body; 6] {
    let key = FlowKey::new(5);
    [
        Body::Load,
        Body::Pong,
        Body::Took(key),
        Body::Refused,
        Body::Owns(key),
        Body::Denies { key, unsure: true },
    ]
}

fn indirect_requests() -> [Request; 3] {
    let (origin, from) = (origin(), agent_id());
    [
        Request::IndirectPing { suspect: from.instance },
        Request::RelayedPing { origin },
        Request::RelayedPong { origin, from, condition: Condition::Stopping },
    ]
}

fn indirect_pong() -> Reply {
    let condition = Condition::Running;
    reply(Body::IndirectPong { agent_id: agent_id(), condition })
}

/// Returns the place of a message's kind in its enum, which is the first byte of its header.
fn kind<T: Serialize>(message: &T) -> u8 {
    relay::encode(message, b"").unwrap()[2]
}

/// Guards against messages that lose a field, and against agents that pass on messages so long that
/// they fill a slow link.
#[test]
fn messages_of_indirect_pings_round_trip() {
    for request in indirect_requests() {
        let datagram = relay::encode(&request, b"").unwrap();
        assert_eq!(relay::decode::<Request>(&datagram), Ok((request, &b""[..])));
        assert!(datagram.len() <= 32, "{}", datagram.len());
    }
    let datagram = relay::encode(&indirect_pong(), b"").unwrap();
    assert_eq!(relay::decode::<Reply>(&datagram), Ok((indirect_pong(), &b""[..])));
    assert!(datagram.len() <= 64, "{}", datagram.len());
}

/// Guards against a new kind between the earlier ones, which processes that do not know it
/// would take for another kind.
#[test]
fn processes_without_indirect_pings_decode_all_other_kinds() {
    for (number, request) in (0..).zip(earlier_requests()) {
        assert_eq!(kind(&request), number, "{request:?}");
        let datagram = relay::encode(&request, b"segment").unwrap();
        let (decoded, segment) = relay::decode::<EarlierRequest>(&datagram).unwrap();
        assert_eq!(segment, b"segment");
        assert_eq!(format!("{decoded:?}"), format!("{request:?}"));
    }
    for body in earlier_bodies() {
        let datagram = relay::encode(&reply(body.clone()), b"").unwrap();
        let (decoded, _) = relay::decode::<EarlierReply>(&datagram).unwrap();
        assert_eq!(format!("{:?}", decoded.body), format!("{body:?}"));
    }
}

/// Guards against a process without indirect pings that acts on a message which it does not know: it
/// must drop it as malformed.
#[test]
fn processes_without_indirect_pings_drop_them() {
    for request in indirect_requests() {
        let datagram = relay::encode(&request, b"").unwrap();
        let decoded = relay::decode::<EarlierRequest>(&datagram);
        assert!(matches!(decoded, Err(Error::Malformed)), "{decoded:?}");
    }
    let datagram = relay::encode(&indirect_pong(), b"").unwrap();
    assert!(matches!(relay::decode::<EarlierReply>(&datagram), Err(Error::Malformed)));
}

/// Guards against queries or denials of a full batch that do not fit into one message: their flows
/// would never be found.
#[test]
fn full_batches_fit_into_a_message() {
    let query = FlowQuery { key: FlowKey::new(u64::MAX), acknowledged: Sequence::new(u32::MAX) };
    let request = Request::SearchMany([query; MAX_FLOW_QUERIES].into());
    let datagram = relay::encode(&request, b"").unwrap();
    assert_eq!(relay::decode::<Request>(&datagram), Ok((request, &b""[..])));
    let load = AgentLoad {
        active: u32::MAX,
        busy: Percent::new(u32::MAX),
        open: Connections::new(u32::MAX),
        service_time: Span::from_secs(100_000),
        warmup: Span::from_secs(100_000),
        ..AgentLoad::default()
    };
    let keys = [query.key; MAX_FLOW_QUERIES].into();
    let reply = Reply {
        load,
        age: Span::from_secs(100_000_000),
        version: ConfigVersion::new(u64::MAX),
        newest_entry: Revision::new(u64::MAX),
        ..reply(Body::DeniesMany { keys, unsure: true })
    };
    let datagram = relay::encode(&reply, b"").unwrap();
    assert_eq!(relay::decode::<Reply>(&datagram), Ok((reply, &b""[..])));
}

/// The data of a datagram that passes a link with the usual packet size, beside the headers of IP and
/// UDP.
const MAX_DATAGRAM_BYTES: usize = 1_472;

/// Guards against lists of flows that lose a key, which would reset its flow, and against full ones
/// that are fragmented.
#[test]
fn a_full_list_of_flows_fits_into_a_datagram() {
    let keys: Vec<_> = (0..MAX_LISTED_FLOWS as u64).map(|n| FlowKey::new(u64::MAX - n)).collect();
    let (first, last) = (FlowKey::new(u64::MAX), FlowKey::new(u64::MAX));
    let asked_at = Moment::new(u64::MAX);
    let list = reply(Body::Flows { asked_at, first, last, unsure: true });
    let datagram = relay::encode(&list, &relay::encode_keys(&keys)).unwrap();
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
    let (decoded, rest) = relay::decode::<Reply>(&datagram).unwrap();
    assert_eq!((decoded, relay::decode_keys(rest)), (list, Ok(keys)));
}

/// Guards against a list that was cut off and is taken for a complete one.
#[test]
fn a_list_with_a_part_of_a_key_is_malformed() {
    let bytes = relay::encode_keys(&[FlowKey::new(1), FlowKey::new(2)]);
    assert_eq!(relay::decode_keys(&bytes[..12]), Err(Error::Truncated));
    assert_eq!(relay::decode_keys(&[]), Ok(Vec::new()));
}
