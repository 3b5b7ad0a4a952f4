//! A soak test: processes under random faults.
//!
//! Processes are killed, paused and stopped by signals. The store refuses calls, does not answer or
//! loses answers, and a proxy stalls connections to it. Upstreams crash, drain and are
//! replaced. In one scenario, the paths between balancers and agents have faults as well; in another,
//! failure domains are evacuated or come back cold, upstreams fail requests, and callers burst. Meanwhile
//! callers send requests, and what they and the upstreams observe is checked.

mod demand;
mod paths;

use {
    crate::deployment::{Deployment, default_behaviour},
    demand::DemandEvents,
    paths::PathFaults,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime},
    },
    yuccacroft_emulator::{
        machine::Machine,
        operator,
        store::Fault,
        world::load::{LoadGenerator, SERVICES, service_address},
    },
    yuccacroft_segment::host::SystemHost,
};

/// The environment variable that sets the range of seeds and the seconds for each of them, as in
/// `1..50 20`. `1..50 20 many` runs the machine faults among as many processes as the machine bears.
const SOAK_VARIABLE: &str = "YUCCACROFT_SOAK";
/// Time during which faults are injected if the variable is not set, as in CI.
const CI_DURATION: Duration = Duration::from_secs(8);
/// Callers for each balancer.
const CALLERS: u32 = 8;
/// Probability of a machine fault in one step of a run with faults of paths. With more of them,
/// hardly any agent would be without a disruption for long enough to be checked.
const MACHINE_FAULT_PROBABILITY: f64 = 0.25;
/// Faults of machines in one step among many processes.
const FAULTS_AMONG_MANY: u32 = 4;
/// Time after the last fault within which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Time after [`RECOVERY_TIME`] during which served requests are counted.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// Interval at which routers probe the readiness of a balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a confirmed drain to the end of the upstream.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// The faults that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    /// Faults of processes, upstreams and the store.
    Machines,
    /// The same, and faults of the paths between balancers and agents.
    Paths,
    /// Faults of machines among many processes.
    Many,
    /// Faults of machines, evacuations, cold returns, failing upstreams and bursts.
    Demand,
}

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    StartBalancer(usize),
    StartAgent(usize),
    ResumeBalancer(usize),
    ResumeAgent(usize),
    RepairStore,
    StartUpstream(usize),
    ReplaceUpstream(usize),
}

impl Recovery {
    /// Returns the agent whose machine is affected until then.
    fn agent(&self) -> Option<usize> {
        match self {
            Self::StartAgent(index)
            | Self::ResumeAgent(index)
            | Self::StartUpstream(index)
            | Self::ReplaceUpstream(index) => Some(*index),
            _ => None,
        }
    }
}

impl Scenario {
    /// Returns the seed of the run in CI.
    fn ci_seed(self) -> u64 {
        match self {
            Self::Machines | Self::Many => 1,
            Self::Paths => 2,
            Self::Demand => 3,
        }
    }

    /// Returns the name of the deployment, which no test that runs at the same time may share.
    fn name(self) -> &'static str {
        match self {
            Self::Machines => "soak",
            Self::Paths => "soak-paths",
            Self::Many => "soak-many",
            Self::Demand => "soak-demand",
        }
    }

    /// Returns the number of balancers.
    fn balancers(self) -> u8 {
        match self {
            Self::Machines | Self::Paths | Self::Demand => 3,
            Self::Many => 20,
        }
    }

    /// Returns the number of faults of machines that are attempted in one step.
    fn draw_fault_count(self, random: &mut StdRng) -> u32 {
        match self {
            Self::Machines => 1,
            Self::Paths | Self::Demand => u32::from(random.random_bool(MACHINE_FAULT_PROBABILITY)),
            Self::Many => FAULTS_AMONG_MANY,
        }
    }

    /// Returns the number of agents of each service.
    fn agents_per_service(self) -> [u8; 2] {
        match self {
            Self::Machines => [3, 2],
            Self::Paths | Self::Demand => [6, 3],
            Self::Many => [50, 20],
        }
    }
}

/// A deployment under random faults.
struct Soak {
    scenario: Scenario,
    deployment: Deployment,
    random: StdRng,
    /// Faults that are in effect, with the time at which each of them ends.
    pending: Vec<(Instant, Recovery)>,
    /// The faults of paths, which draw from random numbers of their own.
    paths: Option<PathFaults>,
    /// The events of demand, which draw from random numbers of their own.
    demand: Option<DemandEvents>,
    started_upstreams: u32,
    added_routes: usize,
}

impl Soak {
    async fn start(scenario: Scenario, seed: u64) -> Self {
        let [booking_agents, pack_agents] = scenario.agents_per_service();
        let mut deployment =
            Deployment::start(scenario.name(), scenario.balancers(), booking_agents).await;
        if scenario == Scenario::Demand {
            deployment.limits = demand::LIMITS;
        }
        deployment
            .write_config(&[(service_address(0), SERVICES[0]), (service_address(1), SERVICES[1])]);
        for number in 0..pack_agents {
            let agent = deployment.start_agent(booking_agents + number, SERVICES[1]).await;
            deployment.agents.push(agent);
        }
        let paths = match scenario {
            Scenario::Machines | Scenario::Many | Scenario::Demand => None,
            Scenario::Paths => Some(PathFaults::start(&mut deployment, seed).await),
        };
        let demand = match scenario {
            Scenario::Machines | Scenario::Many | Scenario::Paths => None,
            Scenario::Demand => Some(DemandEvents::start(&mut deployment, seed).await),
        };
        Self {
            scenario,
            deployment,
            random: StdRng::seed_from_u64(seed),
            pending: Vec::new(),
            paths,
            demand,
            started_upstreams: 0,
            added_routes: 0,
        }
    }

    /// Picks a random machine out of `count`; returns `None` if another fault affects it.
    fn pick_machine(
        &mut self,
        count: usize,
        affected: impl Fn(&Recovery) -> Option<usize>,
    ) -> Option<usize> {
        let index = self.random.random_range(0..count);
        let is_affected =
            self.pending.iter().any(|(_, recovery)| affected(recovery) == Some(index));
        (!is_affected).then_some(index)
    }

    fn pick_balancer(&mut self) -> Option<usize> {
        self.pick_machine(self.deployment.balancers.len(), |recovery| match recovery {
            Recovery::StartBalancer(index) | Recovery::ResumeBalancer(index) => Some(*index),
            _ => None,
        })
    }

    fn pick_agent(&mut self) -> Option<usize> {
        self.pick_machine(self.deployment.agents.len(), Recovery::agent)
    }

    /// Schedules the end of a fault after a random time.
    fn schedule(&mut self, min_ms: u64, max_ms: u64, recovery: Recovery) {
        let delay_ms = self.random.random_range(min_ms..max_ms);
        print_event(&format!("{recovery:?} in {delay_ms} ms"));
        self.pending.push((Instant::now() + Duration::from_millis(delay_ms), recovery));
    }

    /// Injects one random fault; returns `None` if another fault affects its machine.
    async fn inject_fault(&mut self) -> Option<()> {
        match self.random.random_range(0..10) {
            0 => {
                let index = self.pick_balancer()?;
                self.deployment.balancers[index].kill();
                self.schedule(200, 1_500, Recovery::StartBalancer(index));
            }
            1 => {
                let index = self.pick_agent()?;
                self.deployment.record_disruption(index);
                self.deployment.agents[index].node.kill();
                self.schedule(200, 1_500, Recovery::StartAgent(index));
            }
            2 => {
                let index = self.pick_balancer()?;
                self.deployment.balancers[index].signal("STOP");
                self.schedule(100, 2_500, Recovery::ResumeBalancer(index));
            }
            3 => {
                let index = self.pick_agent()?;
                self.deployment.record_disruption(index);
                self.deployment.agents[index].node.signal("STOP");
                self.schedule(100, 2_500, Recovery::ResumeAgent(index));
            }
            4 => {
                let index = self.pick_balancer()?;
                self.deployment.balancers[index].signal("TERM");
                // Longer than the grace period of a stop.
                self.schedule(4_500, 5_000, Recovery::StartBalancer(index));
            }
            5 => {
                let index = self.pick_agent()?;
                self.deployment.agents[index].node.signal("TERM");
                self.schedule(4_500, 5_000, Recovery::StartAgent(index));
            }
            6 => {
                let faults = [Fault::Refuse(503), Fault::Silent, Fault::LoseAnswers];
                let fault = faults[self.random.random_range(0..faults.len())];
                self.set_store_fault(fault);
                self.schedule(200, 3_000, Recovery::RepairStore);
            }
            7 => {
                self.deployment.store_proxy.stall_connections();
                self.paths.iter().for_each(PathFaults::stall_store_connections);
            }
            8 => {
                let index = self.pick_agent()?;
                self.deployment.crash_upstream(index).await;
                self.schedule(50, 2_000, Recovery::StartUpstream(index));
            }
            _ => {
                let index = self.pick_agent()?;
                if self.deployment.upstream(index).drain().await {
                    let until = Instant::now() + DRAIN_TIME;
                    self.pending.push((until, Recovery::ReplaceUpstream(index)));
                }
                self.added_routes += 1;
                let mut routes =
                    vec![(service_address(0), SERVICES[0]), (service_address(1), SERVICES[1])];
                routes.extend(
                    (0..self.added_routes)
                        .map(|number| (service_address(10 + number), SERVICES[0])),
                );
                self.deployment.write_config(&routes);
            }
        }
        Some(())
    }

    /// Ends the faults that are due, or all of them.
    async fn recover(&mut self, all: bool) {
        let now = Instant::now();
        let pending = std::mem::take(&mut self.pending);
        let (due, rest) = pending.into_iter().partition(|(at, _)| all || *at <= now);
        self.pending = rest;
        let due: Vec<(Instant, Recovery)> = due;
        for (_, recovery) in due {
            match recovery {
                Recovery::StartBalancer(index) => self.deployment.balancers[index].restart(),
                Recovery::StartAgent(index) => {
                    self.deployment.agents[index].node.restart();
                    self.deployment.record_disruption(index);
                }
                Recovery::ResumeBalancer(index) => self.deployment.balancers[index].signal("CONT"),
                Recovery::ResumeAgent(index) => {
                    self.deployment.agents[index].node.signal("CONT");
                    self.deployment.record_disruption(index);
                }
                Recovery::RepairStore => self.set_store_fault(Fault::None),
                Recovery::StartUpstream(index) => self.start_upstream(index).await,
                Recovery::ReplaceUpstream(index) => {
                    if let Some(upstream) = self.deployment.agents[index].upstream.take() {
                        upstream.leave().await;
                    }
                    self.start_upstream(index).await;
                }
            }
        }
    }

    /// Ends the events of demand that are due, and begins new ones at times.
    async fn change_demand(&mut self, load: &Arc<LoadGenerator<demand::Socket>>) {
        let Some(demand) = &mut self.demand else { return };
        let affected: Vec<_> =
            self.pending.iter().filter_map(|(_, recovery)| recovery.agent()).collect();
        let is_store_up =
            !self.pending.iter().any(|(_, recovery)| matches!(recovery, Recovery::RepairStore));
        demand.step(&mut self.deployment, load, &affected, is_store_up).await;
    }

    fn set_store_fault(&self, fault: Fault) {
        self.deployment.store.set_fault(fault);
        self.paths.iter().for_each(|paths| paths.set_store_fault(fault));
    }

    async fn start_upstream(&mut self, index: usize) {
        self.started_upstreams += 1;
        let machine = self.deployment.agents[index].node.machine;
        let id = format!("upstream-{index}-{}", self.started_upstreams);
        let [booking_agents, _] = self.scenario.agents_per_service();
        let service = SERVICES[usize::from(index >= usize::from(booking_agents))];
        let behaviour = match self.scenario {
            Scenario::Demand => demand::cold_behaviour(service),
            _ => default_behaviour(service),
        };
        let upstream = self.deployment.start_upstream(machine, &id, behaviour).await;
        self.deployment.agents[index].upstream = Some(upstream);
    }
}

/// Probes the readiness of balancers as routers do. Each flag is false while at least the last two
/// probes of its balancer have failed.
fn probe_readiness(machines: &[Machine]) -> (Vec<Arc<AtomicBool>>, tokio::task::JoinSet<()>) {
    let mut tasks = tokio::task::JoinSet::new();
    let flags = machines.iter().map(|&machine| {
        let is_ready = Arc::new(AtomicBool::new(true));
        let shared = is_ready.clone();
        tasks.spawn(async move {
            let mut failures = 0;
            loop {
                let ready = operator::is_ready(&SystemHost, machine.ready()).await;
                failures = if ready { 0 } else { failures + 1 };
                shared.store(failures < 2, Ordering::Relaxed);
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        is_ready
    });
    (flags.collect(), tasks)
}

/// Prints an event of a run with the time, in the form in which the logs of the processes have it.
/// The harness shows it if the test fails.
fn print_event(text: &str) {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    println!("time={:.3} {text}", time.as_secs_f64());
}

/// Runs one scenario of the soak test with one seed.
async fn run_soak(scenario: Scenario, seed: u64, duration: Duration) {
    let mut soak = Soak::start(scenario, seed).await;
    let machines: Vec<_> = soak.deployment.balancers.iter().map(|node| node.machine).collect();
    let (ready, _probes) = probe_readiness(&machines);
    let (callers, invariants) =
        (soak.deployment.callers.clone(), soak.deployment.invariants.clone());
    let load_generator = Arc::new(LoadGenerator::new(callers.clone(), invariants, seed));
    let started_at = Instant::now();
    let mut clients = load_generator.start(CALLERS * u32::from(scenario.balancers()));
    let update_routers = || {
        let balancers = machines.iter().zip(&ready);
        let ready_machines: Vec<_> = balancers
            .filter(|(_, ready)| ready.load(Ordering::Relaxed))
            .map(|(machine, _)| *machine)
            .collect();
        let is_minority = ready_machines.len() * 2 < machines.len();
        callers.set_balancers(if is_minority { &machines } else { &ready_machines });
    };
    while started_at.elapsed() < duration {
        let pause_ms = soak.random.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        update_routers();
        soak.recover(false).await;
        soak.paths.iter_mut().for_each(PathFaults::step);
        soak.change_demand(&load_generator).await;
        for _ in 0..scenario.draw_fault_count(&mut soak.random) {
            // A fault is skipped if another one affects its machine.
            let _ = soak.inject_fault().await;
        }
    }
    soak.recover(true).await;
    soak.paths.iter_mut().for_each(PathFaults::repair_all);
    if let Some(demand) = &mut soak.demand {
        demand.end_all(&soak.deployment);
    }
    let recovered_at = started_at.elapsed() + RECOVERY_TIME;
    while started_at.elapsed() < recovered_at + MEASUREMENT_TIME {
        tokio::time::sleep(Duration::from_millis(100)).await;
        update_routers();
    }
    load_generator.stop();
    clients.shutdown().await;
    let (sent, served) = load_generator.outcomes().since(recovered_at);
    let logs = || soak.deployment.logs();
    let violations = soak.deployment.invariants.violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}\n{}", logs());
    assert!(
        served * 4 >= sent && sent > 0,
        "seed {seed}: {served} of {sent} requests served\n{}",
        logs()
    );
    soak.deployment.assert_packets_intact();
}

/// Parses a range of seeds and a number of seconds.
fn parse_range(words: &[&str]) -> Option<(std::ops::Range<u64>, u64)> {
    let [seeds, seconds] = words else { return None };
    let (from, to) = seeds.split_once("..")?;
    Some((from.parse().ok()?..to.parse().ok()?, seconds.parse().ok()?))
}

/// Runs a scenario with the seeds and the duration of [`SOAK_VARIABLE`].
async fn run_seeds(scenario: Scenario) {
    let Ok(text) = std::env::var(SOAK_VARIABLE) else {
        return run_soak(scenario, scenario.ci_seed(), CI_DURATION).await;
    };
    let words: Vec<_> = text.split(' ').collect();
    let (scenario, range) = match (scenario, words.as_slice()) {
        (Scenario::Machines, [range @ .., "many"]) => (Scenario::Many, range),
        (scenario, range) => (scenario, range),
    };
    let Some((seeds, seconds)) = parse_range(range) else {
        panic!("{SOAK_VARIABLE}: expected seeds and seconds such as 1..50 20, found {text}")
    };
    for seed in seeds {
        println!("seed {seed}");
        run_soak(scenario, seed, Duration::from_secs(seconds)).await;
    }
}

/// Guards against broken flows, repeated requests and other violations under overlapping faults.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee() {
    run_seeds(Scenario::Machines).await;
}

/// Guards against new flows in evacuated failure domains, too many requests at cold upstreams, and the
/// other violations, while demand changes and machines fail.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_demand_violate_no_guarantee() {
    run_seeds(Scenario::Demand).await;
}

/// Guards against balancers that take agents for lost to which only their own path is disturbed,
/// and reset open flows whose upstreams live, while other faults overlap.
#[tokio::test(flavor = "multi_thread")]
async fn path_faults_violate_no_guarantee() {
    run_seeds(Scenario::Paths).await;
}
