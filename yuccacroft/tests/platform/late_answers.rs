//! Agents whose answers to one balancer are late, as on a full link, while everything is alive.

use {
    crate::deployment::{AGENT_KEY_PREFIX, Deployment, REQUEST_TIMEOUT, booking_address},
    std::{
        net::{IpAddr, SocketAddrV4},
        time::Duration,
    },
    tokio::task::JoinSet,
    yuccacroft_core::ids::Instance,
    yuccacroft_emulator::{
        caller::{Connection, Failure},
        store::Store,
    },
    yuccacroft_fakes::udp_relay::UdpRelay,
    yuccacroft_wire::relay::{self, Reply, Request},
};

const AGENTS: u8 = 8;
/// The agents, the first ones, whose answers are always in time.
const PROMPT_AGENTS: usize = 2;
const FLOWS: usize = 24;
/// Delay of the answers: longer than the time after which an agent without an answer counts as
/// lost.
const ANSWER_DELAY: Duration = Duration::from_millis(1_800);
/// Time from the start of the delay until every late agent has been without an answer for more
/// than one second, but for less than the delay.
const SILENCE: Duration = Duration::from_millis(1_400);
/// Delay of answers that arrive only after every agent without an answer counts as lost, however
/// many there are.
const LONG_ANSWER_DELAY: Duration = Duration::from_millis(6_000);
/// Time from the start of the long delay until every late agent has been without an answer for
/// longer than the loss timeout, which is at most 2.5 s.
const LONG_SILENCE: Duration = Duration::from_millis(3_500);

/// A balancer that reaches the agents through relays.
struct RelayedBalancer {
    machine: IpAddr,
    relays: Vec<UdpRelay>,
    /// The store of this balancer, in which the agents have the addresses of their relays.
    _store: Store,
}

/// Starts a relay in front of an agent. Answers to the balancer and to other agents name the relay as
/// their sender.
async fn start_relay(address: SocketAddrV4, agent: SocketAddrV4) -> UdpRelay {
    let translate = move |datagram: &[u8]| {
        let instance = Instance::new(address);
        if let Ok((Request::RelayedPong { origin, mut from, condition }, _)) =
            relay::decode(datagram)
        {
            from.instance = instance;
            return relay::encode(&Request::RelayedPong { origin, from, condition }, &[]).ok();
        }
        let (mut reply, segment) = relay::decode::<Reply>(datagram).ok()?;
        reply.from.instance = instance;
        relay::encode(&reply, segment).ok()
    };
    UdpRelay::start(address.into(), agent.into(), Box::new(translate)).await.unwrap()
}

/// Restarts the first balancer with a store of its own, in which each agent has the address of a
/// relay.
async fn insert_relays(deployment: &mut Deployment) -> RelayedBalancer {
    let store = deployment.start_store(3).await;
    let (mut relays, mut addresses) = (Vec::new(), Vec::new());
    for (number, agent) in (0..).zip(&deployment.agents) {
        let address = deployment.machine(200 + number).segments();
        let agent = agent.node.machine.segments();
        relays.push(start_relay(address, agent).await);
        addresses.push((agent.to_string(), address.to_string()));
    }
    let translate = |text: &str| {
        let replace = |text: String, (agent, relay): &(String, String)| text.replace(agent, relay);
        addresses.iter().fold(text.to_owned(), replace)
    };
    let mut keys = deployment.store.keys(AGENT_KEY_PREFIX);
    keys.extend(deployment.store.keys("op/"));
    for key in keys {
        let value = deployment.store.read(&key).unwrap();
        store.write(&translate(&key), &translate(&value));
    }
    let (shared, own) = (deployment.store_proxy.address(), deployment.machine(3).store());
    let balancer = &mut deployment.balancers[0];
    balancer.edit_settings(|text| text.replace(&shared.to_string(), &own.to_string()));
    let joined = |log: String| log.matches("change=Joined").count();
    let joined_before = joined(balancer.log());
    balancer.restart();
    deployment.wait_for_readiness(0, true).await;
    let knows_agents =
        || joined(deployment.balancers[0].log()) == joined_before + usize::from(AGENTS);
    deployment.wait_until("knowledge of all relays", knows_agents).await;
    let machine = deployment.balancers[0].machine.ip().into();
    RelayedBalancer { machine, relays, _store: store }
}

/// Sends a request on each flow at the same time. Returns the flows and the failures.
async fn request_on_all(
    flows: Vec<Connection>,
    text: &str,
) -> (Vec<Connection>, Vec<(String, Failure)>) {
    let mut requests = JoinSet::new();
    for mut flow in flows {
        let text = format!("{text} on {}", flow.flow());
        requests.spawn(async move {
            let answer = flow.request(&text, REQUEST_TIMEOUT).await;
            (flow, answer.err().map(|failure| (text, failure)))
        });
    }
    let (flows, failures): (Vec<_>, Vec<_>) = requests.join_all().await.into_iter().unzip();
    (flows, failures.into_iter().flatten().collect())
}

/// Opens flows through the second balancer and returns them after a first request.
async fn open_flows(deployment: &Deployment) -> Vec<Connection> {
    deployment.callers.set_balancers(&[deployment.balancers[1].machine]);
    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        flows.push(deployment.callers.open(booking_address()).await.unwrap());
    }
    let (flows, failures) = request_on_all(flows, "opening").await;
    assert_eq!(failures, [], "{}", deployment.logs());
    let late = (PROMPT_AGENTS..usize::from(AGENTS)).filter(|&index| {
        let runs = deployment.upstream(index).observations().runs;
        runs.iter().any(|run| run.starts_with("opening"))
    });
    assert!(late.count() > 1, "the flows are at too few upstreams");
    flows
}

/// Starts two balancers, of which the first reaches its agents through relays.
async fn start(name: &str) -> (Deployment, RelayedBalancer) {
    let mut deployment = Deployment::start(name, 2, AGENTS).await;
    let balancer = insert_relays(&mut deployment).await;
    // The first balancer searches for owners only when its list of agents counts as complete.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    (deployment, balancer)
}

impl RelayedBalancer {
    fn delay_answers(&self, delay: Duration) {
        let late = self.relays[PROMPT_AGENTS..].iter();
        late.for_each(|relay| relay.set_answer_delay(self.machine, delay));
    }
}

/// Guards against a balancer that takes agents for lost whose answers are late, and resets the
/// flows that it knows them to own.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reset_no_known_flow() {
    check_known_flows("late-known", ANSWER_DELAY, SILENCE).await;
}

/// Guards against a balancer that takes agents for lost whose answers it alone does not get, and
/// resets the flows that it knows them to own.
#[tokio::test(flavor = "multi_thread")]
async fn missing_answers_reset_no_known_flow() {
    check_known_flows("missing-known", LONG_ANSWER_DELAY, LONG_SILENCE).await;
}

/// Checks that flows known to be owned by late agents continue, with answers that are late by
/// `delay`, after a silence of these agents.
async fn check_known_flows(name: &str, delay: Duration, silence: Duration) {
    let (deployment, balancer) = start(name).await;
    let mut flows = open_flows(&deployment).await;
    deployment.callers.set_balancers(&[deployment.balancers[0].machine]);
    let unknown = flows.split_off(FLOWS - 1);
    let (flows, failures) = request_on_all(flows, "moved").await;
    assert_eq!(failures, [], "before the delay\n{}", deployment.logs());
    balancer.delay_answers(delay);
    // The search for a flow that the balancer does not know begins the silence of all late agents.
    let _ = tokio::join!(request_on_all(unknown, "unknown"), tokio::time::sleep(silence));
    let (flows, mut failures) = request_on_all(flows, "silent").await;
    balancer.delay_answers(Duration::ZERO);
    tokio::time::sleep(delay).await;
    failures.extend(request_on_all(flows, "recovered").await.1);
    assert_eq!(failures, [], "{}", deployment.balancers[0].log());
    deployment.assert_packets_intact();
}

/// Guards against a balancer that gives a verdict about a flow it searches for while the answer of
/// the owner is late, because it takes the owner for lost.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reset_no_moved_flow() {
    let (deployment, balancer) = start("late-moved").await;
    let flows = open_flows(&deployment).await;
    balancer.delay_answers(ANSWER_DELAY);
    deployment.callers.set_balancers(&[deployment.balancers[0].machine]);
    let (flows, mut failures) = request_on_all(flows, "moved").await;
    tokio::time::sleep(SILENCE).await;
    let (flows, later_failures) = request_on_all(flows, "silent").await;
    failures.extend(later_failures);
    balancer.delay_answers(Duration::ZERO);
    tokio::time::sleep(ANSWER_DELAY).await;
    failures.extend(request_on_all(flows, "recovered").await.1);
    assert_eq!(failures, [], "{}", deployment.balancers[0].log());
    deployment.assert_packets_intact();
}
