//! Agents whose answers to one balancer are late, as on a full link, or do not arrive, while
//! everything is alive.

use {
    crate::{
        deployment::{Deployment, REQUEST_TIMEOUT, booking_address},
        relays::{self, Relays},
    },
    std::{ops::Range, time::Duration},
    tokio::task::JoinSet,
    yuccacroft_emulator::caller::{Connection, Failure},
    yuccacroft_fakes::udp_relay::Fault,
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
/// The agents, the first ones, that one balancer does not reach for a while; more than half of the
/// agents answer it.
const SEPARATED_AGENTS: usize = 3;
/// Time for which the balancer does not reach them, shorter than [`REQUEST_TIMEOUT`].
const SEPARATION_TIME: Duration = Duration::from_secs(5);

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

/// The paths between the first balancer and the agents.
struct FirstBalancer {
    deployment: Deployment,
    relays: Relays,
}

impl FirstBalancer {
    /// Starts two balancers, which reach their agents through relays.
    async fn start(name: &str) -> Self {
        let mut deployment = Deployment::start(name, 2, AGENTS).await;
        let relays = Relays::start(&mut deployment, 0).await;
        Self { deployment, relays }
    }

    fn set_fault(&self, agents: Range<usize>, fault: Fault) {
        let balancer = self.deployment.balancers[0].machine.ip();
        agents.for_each(|agent| self.relays.set_fault(balancer, agent, fault));
    }

    fn delay_answers(&self, answer_delay: Duration) {
        let fault = Fault { answer_delay, ..Fault::default() };
        self.set_fault(PROMPT_AGENTS..AGENTS.into(), fault);
    }

    fn log(&self) -> String {
        self.deployment.balancers[0].log()
    }

    /// Sends the packets of the callers to the first balancer.
    fn select(&self) {
        self.deployment.callers.set_balancers(&[self.deployment.balancers[0].machine]);
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
    let balancer = FirstBalancer::start(name).await;
    let mut flows = open_flows(&balancer.deployment).await;
    balancer.select();
    let unknown = flows.split_off(FLOWS - 1);
    let (flows, failures) = request_on_all(flows, "moved").await;
    assert_eq!(failures, [], "before the delay\n{}", balancer.deployment.logs());
    balancer.delay_answers(delay);
    // The search for a flow that the balancer does not know begins the silence of all late agents.
    let _ = tokio::join!(request_on_all(unknown, "unknown"), tokio::time::sleep(silence));
    let (flows, mut failures) = request_on_all(flows, "silent").await;
    balancer.delay_answers(Duration::ZERO);
    tokio::time::sleep(delay).await;
    failures.extend(request_on_all(flows, "recovered").await.1);
    assert_eq!(failures, [], "{}", balancer.log());
    balancer.deployment.assert_packets_intact();
}

/// Guards against a balancer that gives a verdict about a flow it searches for while the answer of
/// the owner is late, because it takes the owner for lost.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reset_no_moved_flow() {
    let balancer = FirstBalancer::start("late-moved").await;
    let flows = open_flows(&balancer.deployment).await;
    balancer.delay_answers(ANSWER_DELAY);
    balancer.select();
    let (flows, mut failures) = request_on_all(flows, "moved").await;
    tokio::time::sleep(SILENCE).await;
    let (flows, later_failures) = request_on_all(flows, "silent").await;
    failures.extend(later_failures);
    balancer.delay_answers(Duration::ZERO);
    tokio::time::sleep(ANSWER_DELAY).await;
    failures.extend(request_on_all(flows, "recovered").await.1);
    assert_eq!(failures, [], "{}", balancer.log());
    balancer.deployment.assert_packets_intact();
}

/// Opens flows, moves all but one of them to the first balancer, and sends requests on all of them
/// there while no datagram passes between it and some agents in the direction of `fault`.
async fn request_without_path(name: &str, fault: Fault) {
    let balancer = FirstBalancer::start(name).await;
    let mut flows = open_flows(&balancer.deployment).await;
    balancer.select();
    let unknown = flows.split_off(FLOWS / 2);
    let (known, failures) = request_on_all(flows, "moved").await;
    assert_eq!(failures, [], "before the fault\n{}", balancer.deployment.logs());
    balancer.set_fault(0..SEPARATED_AGENTS, fault);
    let requests = async {
        let (early, mut failures) = request_on_all(unknown, "search").await;
        failures.extend(request_on_all(early, "recovered").await.1);
        failures
    };
    let later_requests = async {
        tokio::time::sleep(SEPARATION_TIME / 2).await;
        request_on_all(known, "separated").await.1
    };
    let repair = async {
        tokio::time::sleep(SEPARATION_TIME).await;
        balancer.set_fault(0..SEPARATED_AGENTS, Fault::default());
    };
    let (mut failures, later_failures, ()) = tokio::join!(requests, later_requests, repair);
    failures.extend(later_failures);
    assert_eq!(failures, [], "{}", balancer.log());
    balancer.deployment.assert_packets_intact();
}

/// Guards against a balancer that resets the flows of agents from which it alone gets no answers:
/// the balancer beside it and the store still reach them. Requests wait until the path is back.
#[tokio::test(flavor = "multi_thread")]
async fn one_balancer_without_a_path_to_some_agents_resets_no_flow() {
    request_without_path("separated-requests", relays::silent_requests()).await;
}

/// Guards against the same as
/// [`one_balancer_without_a_path_to_some_agents_resets_no_flow`] when agents get the messages of the
/// balancer, but their answers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn one_balancer_without_answers_of_some_agents_resets_no_flow() {
    request_without_path("separated-answers", relays::silent_answers()).await;
}
