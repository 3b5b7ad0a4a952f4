//! Random events that change the demand or where it may go: evacuations, failure domains that come back
//! cold, upstreams that fail requests, and bursts of callers.

use {
    super::print_event,
    crate::deployment::{Deployment, default_behaviour},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    yuccacroft_emulator::{
        invariants::Violation,
        operator::{self, Limits},
        upstream::{Behaviour, Upstream},
        world::load::LoadGenerator,
    },
    yuccacroft_segment::host::{Host, SystemHost},
};

/// The number of failure domains of the agents.
const DOMAINS: usize = 3;
/// The limits of all services.
pub const LIMITS: Limits = Limits { max_flows: Some(40), warmup: Some((3, 20)) };
/// Requests in one second that a cold upstream takes: one and a half times the rate, and five.
const MAX_COLD_REQUESTS: usize = 35;
/// Probability of a new event in one step.
const EVENT_PROBABILITY: f64 = 0.25;
/// Time within which an evacuation has to be in force.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Duration of an evacuation, long enough to be checked.
const EVACUATION_MS: std::ops::Range<u64> = 5_500..8_000;
/// Duration of a burst, and time for which an upstream fails requests.
const DURATION_MS: std::ops::Range<u64> = 500..4_000;
/// Callers of a burst.
const BURST_CALLERS: u32 = 40;

/// The sockets of callers.
pub type Socket = <SystemHost as Host>::Socket;

/// An evacuation that lasts.
struct Evacuation {
    domain: usize,
    begun: Instant,
    until: Instant,
    /// The flows that each upstream of the domain had accepted when the evacuation had to be in force.
    accepted: Option<BTreeMap<String, usize>>,
}

/// The events in effect and the random numbers that select them.
pub struct DemandEvents {
    random: StdRng,
    evacuation: Option<Evacuation>,
    burst: Option<(Instant, JoinSet<()>)>,
    failing: Option<(Instant, usize)>,
    returned: u32,
}

/// Returns the behaviour of an upstream that warms up.
pub fn cold_behaviour(service: &str) -> Behaviour {
    let warmup = LIMITS.warmup.map(|(warmup_s, _)| Duration::from_secs(u64::from(warmup_s)));
    Behaviour {
        warmup: warmup.map(|warmup| (warmup, MAX_COLD_REQUESTS)),
        ..default_behaviour(service)
    }
}

fn domain_name(domain: usize) -> String {
    format!("place-{domain}")
}

/// Returns the flows that each upstream of a failure domain has accepted.
fn accepted_flows(deployment: &Deployment, domain: usize) -> BTreeMap<String, usize> {
    let agents = deployment.agents.iter().skip(domain).step_by(DOMAINS);
    let upstreams = agents.filter_map(|agent| agent.upstream.as_ref());
    let count = |upstream: &Upstream| upstream.observations().accepted.len();
    upstreams.map(|upstream| (upstream.id().into(), count(upstream))).collect()
}

impl DemandEvents {
    /// Starts all processes again with the requirements, and the agents in several failure domains.
    pub async fn start(deployment: &mut Deployment, seed: u64) -> Self {
        let require =
            |text: String| text.replace("[process]", "[process]\nrequirements = health, places");
        for balancer in &mut deployment.balancers {
            balancer.edit_settings(require);
            balancer.restart();
        }
        for (index, agent) in deployment.agents.iter_mut().enumerate() {
            let domain = format!("domain = {}", domain_name(index % DOMAINS));
            agent.node.edit_settings(|text| require(text).replace("domain = domain-1", &domain));
            agent.node.restart();
        }
        for index in 0..deployment.balancers.len() {
            deployment.wait_for_readiness(index, true).await;
        }
        let random = StdRng::seed_from_u64(seed);
        Self { random, evacuation: None, burst: None, failing: None, returned: 0 }
    }

    /// Ends the events that are due, and begins a new one at times. `affected` tells which agents
    /// another fault affects, and `is_store_up` whether the store answers.
    pub async fn step(
        &mut self,
        deployment: &mut Deployment,
        load: &Arc<LoadGenerator<Socket>>,
        affected: &[usize],
        is_store_up: bool,
    ) {
        let now = Instant::now();
        self.end_due(deployment, now);
        if !self.random.random_bool(EVENT_PROBABILITY) {
            return;
        }
        let until = now + Duration::from_millis(self.random.random_range(DURATION_MS));
        match self.random.random_range(0..4) {
            0 if self.evacuation.is_none() && is_store_up => self.evacuate(deployment, now),
            1 => self.return_cold(deployment, affected).await,
            2 if self.failing.is_none() => {
                let index = self.random.random_range(0..deployment.agents.len());
                print_event(&format!("upstream {index} fails requests"));
                self.fail_requests(deployment, index, true);
                self.failing = Some((until, index));
            }
            3 if self.burst.is_none() => {
                print_event("burst");
                self.burst = Some((until, load.start(BURST_CALLERS)));
            }
            _ => {}
        }
    }

    /// Ends all events.
    pub fn end_all(&mut self, deployment: &Deployment) {
        self.end_due(deployment, Instant::now() + EVACUATION_TIME * 2);
    }

    fn end_due(&mut self, deployment: &Deployment, now: Instant) {
        self.burst.take_if(|(until, _)| *until <= now);
        if let Some((_, index)) = self.failing.take_if(|(until, _)| *until <= now) {
            self.fail_requests(deployment, index, false);
        }
        if let Some(evacuation) = &mut self.evacuation
            && evacuation.accepted.is_none()
            && evacuation.begun.elapsed() >= EVACUATION_TIME
        {
            evacuation.accepted = Some(accepted_flows(deployment, evacuation.domain));
        }
        if let Some(evacuation) = self.evacuation.take_if(|evacuation| evacuation.until <= now) {
            evacuation.end(deployment);
        }
    }

    fn evacuate(&mut self, deployment: &Deployment, now: Instant) {
        let domain = self.random.random_range(0..DOMAINS);
        print_event(&format!("evacuation of {}", domain_name(domain)));
        // The second request follows the end of the first one at once.
        operator::evacuate(&deployment.store, &domain_name(domain));
        operator::end_evacuation(&deployment.store, &domain_name(domain));
        operator::evacuate(&deployment.store, &domain_name(domain));
        let until = now + Duration::from_millis(self.random.random_range(EVACUATION_MS));
        self.evacuation = Some(Evacuation { domain, begun: now, until, accepted: None });
    }

    /// Crashes the upstreams of a failure domain and starts cold ones.
    async fn return_cold(&mut self, deployment: &mut Deployment, affected: &[usize]) {
        let domain = self.random.random_range(0..DOMAINS);
        print_event(&format!("{} returns cold", domain_name(domain)));
        for index in (domain..deployment.agents.len()).step_by(DOMAINS) {
            if affected.contains(&index) || deployment.agents[index].upstream.is_none() {
                continue;
            }
            let service = deployment.upstream(index).service().to_owned();
            deployment.crash_upstream(index).await;
            self.returned += 1;
            let (machine, id) =
                (deployment.agents[index].node.machine, format!("cold-{index}-{}", self.returned));
            let upstream = deployment.start_upstream(machine, &id, cold_behaviour(&service)).await;
            deployment.agents[index].upstream = Some(upstream);
        }
    }

    fn fail_requests(&self, deployment: &Deployment, index: usize, is_failing: bool) {
        if let Some(upstream) = &deployment.agents[index].upstream {
            upstream.set_failing(is_failing);
        }
    }
}

impl Evacuation {
    /// Takes the evacuation back. Records a violation if an upstream accepted flows while it had to be
    /// in force.
    fn end(self, deployment: &Deployment) {
        operator::end_evacuation(&deployment.store, &domain_name(self.domain));
        let Some(before) = self.accepted else { return };
        for (upstream, accepted) in accepted_flows(deployment, self.domain) {
            let late = accepted - before.get(&upstream).copied().unwrap_or(0);
            if late > 0 {
                let text = format!("{late} at {upstream} in {}", domain_name(self.domain));
                deployment.invariants.add_violation(Violation::Evacuated(text.into()));
            }
        }
    }
}
