//! Property tests of malformed and unexpected messages. `PROPTEST_CASES` sets the length of a run.

mod support;

use {
    crate::support::{
        Capture,
        balancer::{Balancer, opening, segment},
        fakes::{FakeFormat, FakeSocket, peer},
    },
    proptest::{collection::vec, prelude::*},
    std::{future, net::SocketAddrV4, sync::Arc},
    yuccacroft_core::{
        evacuation::Notice,
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance, Revision},
        limits::{FlowRate, ServiceLimits},
        pool::{AgentLoad, Measures, indirect::Condition},
        route::{ConfigVersion, ServiceName, TrafficClass},
        segment::{Control, Outbound, Segment, Sequence},
        time::{Moment, Span},
        units::{Connections, Percent},
        upstream::Monitor,
    },
    yuccacroft_segment::{
        agent::{
            relay::{Relay, Setup},
            state::AgentState,
        },
        clock::BootClock,
        flow_log::FlowLog,
        host::SystemHost,
    },
    yuccacroft_wire::relay::{self, Body, FlowQuery, Reply, Request},
};

const AGENTS: u8 = 3;
const CALLER: u16 = 40_001;
const POSITION: u32 = 7_000_000;
/// Time in which a balancer pings all agents.
const PING_TIME: Span = Span::from_millis(1_100);
/// The line of a panic that was confined to one datagram.
const PANIC_EVENT: &str = "datagram not handled";
/// Messages of one case.
const MAX_MESSAGES: usize = 12;

fn any_key() -> impl Strategy<Value = FlowKey> {
    prop_oneof![Just(segment(CALLER, POSITION).flow.key()), any::<u64>().prop_map(FlowKey::new)]
}

fn any_instance() -> impl Strategy<Value = Instance> {
    (0..=AGENTS, prop_oneof![Just(7_000u16), any::<u16>()])
        .prop_map(|(host, port)| Instance::new(SocketAddrV4::new([10, 0, 0, host].into(), port)))
}

fn any_agent_id() -> impl Strategy<Value = AgentId> {
    (any_instance(), 0..4u64).prop_map(|(instance, incarnation)| AgentId {
        instance,
        incarnation: Incarnation::new(incarnation),
    })
}

fn any_condition() -> impl Strategy<Value = Condition> {
    prop_oneof![Just(Condition::Running), Just(Condition::Stopping), Just(Condition::Ended)]
}

fn any_body() -> impl Strategy<Value = Body> {
    prop_oneof![
        Just(Body::Load),
        any::<u32>().prop_map(|n| Body::Measures(Measures {
            wait: Span::from_micros(n.into()),
            failures: Percent::new(n),
            room: (n % 2 == 0).then_some(Connections::new(n)),
        })),
        Just(Body::Pong),
        Just(Body::Refused),
        any_key().prop_map(Body::Took),
        any_key().prop_map(Body::Owns),
        (any_key(), any::<bool>()).prop_map(|(key, unsure)| Body::Denies { key, unsure }),
        (any_agent_id(), any_condition())
            .prop_map(|(agent_id, condition)| Body::IndirectPong { agent_id, condition }),
        (vec(any_key(), 0..16), any::<bool>())
            .prop_map(|(keys, unsure)| Body::DeniesMany { keys: keys.into(), unsure }),
        (any::<u64>(), any_key(), any_key(), any::<bool>()).prop_map(
            |(asked_at, first, last, unsure)| {
                let asked_at = Moment::new(asked_at);
                Body::Flows { asked_at, first, last, unsure }
            }
        ),
    ]
}

fn any_reply() -> impl Strategy<Value = Reply> {
    (any_agent_id(), any_body(), any::<u32>(), any::<u64>()).prop_map(|(from, body, n, m)| Reply {
        from,
        load: AgentLoad { accepting: n % 2 == 0, active: n, ..AgentLoad::default() },
        age: Span::from_micros(m),
        version: ConfigVersion::new(m),
        newest_entry: Revision::new(m),
        body,
    })
}

fn any_query() -> impl Strategy<Value = FlowQuery> {
    (any_key(), any::<u32>()).prop_map(|(key, n)| FlowQuery { key, acknowledged: Sequence::new(n) })
}

fn any_request() -> impl Strategy<Value = Request> {
    let class = TrafficClass::default();
    let target = ServiceName::new("booking").target();
    prop_oneof![
        (vec(any_instance(), 0..16), any::<u8>()).prop_map(move |(rest, hops)| Request::Offer {
            target,
            origin: peer(),
            rest: rest.into(),
            hops
        }),
        (vec(any_instance(), 0..16), any::<u8>()).prop_map(move |(rest, hops)| {
            let (origin, rest) = (peer(), rest.into());
            Request::ClassifiedOffer { class, target, origin, rest, hops }
        }),
        (any::<u64>(), any::<bool>()).prop_map(|(revision, is_evacuated)| {
            let revision = Revision::new(revision);
            Request::Evacuation(Notice { revision, is_evacuated })
        }),
        (any::<u32>(), any::<bool>()).prop_map(|(n, has_rate)| {
            let max_flows = Some(Connections::new(n));
            let warmup_rate = has_rate.then_some(FlowRate::from_hundredths(n));
            Request::Limits(ServiceLimits { max_flows, warmup_rate })
        }),
        Just(Request::Home(Domain::new("a").unwrap())),
        Just(Request::Carry(class)),
        Just(Request::Probe(class)),
        any_query()
            .prop_map(|query| Request::Search { key: query.key, acknowledged: query.acknowledged }),
        vec(any_query(), 0..16).prop_map(|queries| Request::SearchMany(queries.into())),
        any::<u64>().prop_map(|n| Request::ListFlows { asked_at: Moment::new(n) }),
        any::<u64>().prop_map(|n| Request::Ping {
            listed: Some((Incarnation::new(n), n as u32)),
            version: ConfigVersion::new(n),
            newest_entry: Revision::new(n),
        }),
        any_instance().prop_map(|suspect| Request::IndirectPing { suspect }),
        Just(Request::RelayedPing { origin: peer() }),
        (any_agent_id(), any_condition()).prop_map(|(from, condition)| Request::RelayedPong {
            origin: peer(),
            from,
            condition
        }),
    ]
}

/// Returns a message as it was sent, with one byte changed, or cut short.
fn damaged(message: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    (Just(message), any::<prop::sample::Index>(), any::<u8>(), 0..3u8).prop_map(
        |(mut message, index, value, damage)| {
            match damage {
                0 => {}
                1 if !message.is_empty() => {
                    let position = index.index(message.len());
                    message[position] = value;
                }
                _ => message.truncate(index.index(message.len() + 1)),
            }
            message
        },
    )
}

/// Returns the bytes of a segment that the formats of these tests decode, or any others.
fn any_payload() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..10),
        (0..6u8, any::<u32>()).prop_map(|(control, position)| {
            let mut payload = vec![control];
            payload.extend_from_slice(&CALLER.to_le_bytes());
            payload.extend_from_slice(&position.to_le_bytes());
            payload
        }),
    ]
}

fn any_message<M>(message: M) -> impl Strategy<Value = Vec<u8>>
where
    M: Strategy,
    M::Value: serde::Serialize,
{
    let valid = (message, any_payload())
        .prop_map(|(message, payload)| relay::encode(&message, &payload).unwrap_or_default());
    prop_oneof![4 => valid.prop_flat_map(damaged), 1 => vec(any::<u8>(), 0..64)]
}

fn parse(datagram: &[u8]) -> Result<Segment, &'static str> {
    let [control, rest @ ..] = datagram else { return Err("empty") };
    let [_, _, position @ ..] = rest else { return Err("too short") };
    let position = position.try_into().map(u32::from_le_bytes).map_err(|_| "wrong length")?;
    let control = [Control::Open, Control::Accept, Control::Continue, Control::Finish]
        .get(usize::from(*control))
        .copied()
        .unwrap_or(Control::Reset);
    Ok(Segment { control, length: (position % 3) as u16, ..segment(CALLER, position) })
}

fn parse_outbound(datagram: &[u8]) -> Result<Outbound, &'static str> {
    let segment = parse(datagram)?;
    let is_bounced = segment.acknowledged.get() % 2 == 0;
    Ok(if is_bounced { Outbound::Bounced(segment) } else { Outbound::Reply(segment) })
}

/// Lets an agent receive messages and segments of its upstream, and returns the events of its log.
fn run_agent(messages: &[Vec<u8>], outbound: &[Vec<u8>]) -> Vec<String> {
    let (message_socket, outbound_socket) = (FakeSocket::default(), FakeSocket::default());
    messages.iter().for_each(|datagram| message_socket.push(datagram.clone()));
    outbound.iter().for_each(|datagram| outbound_socket.push(datagram.clone()));
    let agent_id = AgentId { instance: Instance::new(peer()), incarnation: Incarnation::new(1) };
    let setup = Setup {
        messages: message_socket,
        outbound: outbound_socket,
        upstream: FakeSocket::default(),
        caller_port: 443,
        agent_id,
    };
    let target = ServiceName::new("booking").target();
    let state = Arc::new(AgentState::new(target, Monitor::new(target, Span::from_secs(1))));
    let capture = Capture::default();
    let (clock, flow_log) = (BootClock::new(SystemHost), FlowLog::new(capture.logger()));
    let format = FakeFormat { parse_inbound: parse, parse_outbound, ..FakeFormat::default() };
    let relay = Relay::new(format, setup, state, clock, flow_log);
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        tokio::select! {
            biased;
            () = relay.receive_messages() => {}
            () = relay.receive_outbound() => {}
            () = future::ready(()) => {}
        }
    });
    relay.tick(relay.clock.now());
    capture.take().into_iter().map(|line| line.event).collect()
}

proptest! {
    /// Guards against a message of an agent, or bytes of a caller, that end the handling of a
    /// datagram with a panic, and against a balancer that no longer opens flows afterwards.
    #[test]
    fn no_message_stops_a_balancer(
        messages in vec(any_message(any_reply()), 0..MAX_MESSAGES),
        segments in vec(any_payload(), 0..MAX_MESSAGES),
    ) {
        let mut balancer = Balancer::new(AGENTS);
        balancer.receive(&segment(CALLER, POSITION));
        for datagram in segments {
            balancer.receive_bytes(datagram);
        }
        for datagram in messages {
            balancer.receive_message(datagram);
        }
        // The messages may say that no agent takes flows, until the agents answer the next ping.
        balancer.advance(PING_TIME);
        balancer.receive(&opening(CALLER + 1));
        let events: Vec<_> = balancer.log.take().into_iter().map(|line| line.event).collect();
        prop_assert!(!events.iter().any(|event| event == PANIC_EVENT), "{events:?}");
        prop_assert!(events.iter().any(|event| event == "offered"), "{events:?}");
    }

    /// Guards against a message of a balancer or another agent, or a segment of the upstream, that
    /// ends the handling of a datagram with a panic.
    #[test]
    fn no_message_stops_an_agent(
        messages in vec(any_message(any_request()), 0..MAX_MESSAGES),
        outbound in vec(any_payload(), 0..MAX_MESSAGES),
    ) {
        let events = run_agent(&messages, &outbound);
        prop_assert!(!events.iter().any(|event| event == PANIC_EVENT), "{events:?}");
    }
}
