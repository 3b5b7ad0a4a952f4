//! Agents whose answers to one balancer are late, as on a full link, while everything is alive.

use {
    crate::{
        deployment::{Deployment, REQUEST_TIMEOUT, booking_address},
        relays::Relays,
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
    let balancer = FirstBalancer::start("late-known").await;
    let mut flows = open_flows(&balancer.deployment).await;
    balancer.select();
    let unknown = flows.split_off(FLOWS - 1);
    let (flows, failures) = request_on_all(flows, "moved").await;
    assert_eq!(failures, [], "before the delay\n{}", balancer.deployment.logs());
    balancer.delay_answers(ANSWER_DELAY);
    // The search for a flow that the balancer does not know begins the silence of all late agents.
    let _ = tokio::join!(request_on_all(unknown, "unknown"), tokio::time::sleep(SILENCE));
    let (flows, mut failures) = request_on_all(flows, "silent").await;
    balancer.delay_answers(Duration::ZERO);
    tokio::time::sleep(ANSWER_DELAY).await;
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
