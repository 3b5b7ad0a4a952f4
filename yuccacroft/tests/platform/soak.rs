//! A soak: the real processes under random faults from outside them.
//!
//! Processes are killed, paused and stopped by signals; the store refuses, is silent or loses
//! answers; its connections go silent behind a valve; upstreams crash, drain and are replaced.
//! Callers go on all the while, and what they and the upstreams see is judged.

use {
    crate::deployment::{Deployment, behaviour},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    yuccacroft_emulator::{
        machine::Machine,
        operator,
        store::Fault,
        world::load::{LoadGenerator, SERVICES, service_address},
    },
    yuccacroft_segment::host::Machine as Local,
};

/// The variable that sets seeds and seconds of a run by hand, as in `1..50 20`.
const SOAK_VARIABLE: &str = "YUCCACROFT_SOAK";
/// Time for which faults come in CI.
const CI_LENGTH: Duration = Duration::from_secs(8);
const CALLERS: u32 = 24;
const BALANCERS: u8 = 3;
/// The agents of each service.
const SIDES: [u8; 2] = [3, 2];
/// Time after the last fault after which requests are served again.
const SETTLING: Duration = Duration::from_secs(4);
/// Time for which the requests after the faults are counted.
const EPILOGUE: Duration = Duration::from_secs(3);
/// Pause between two looks of the routers at a balancer.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Time from a confirmed drain to the end of the upstream.
const DRAIN: Duration = Duration::from_secs(3);

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    StartBalancer(usize),
    StartAgent(usize),
    ResumeBalancer(usize),
    ResumeAgent(usize),
    MendStore,
    StartUpstream(usize),
    ReplaceUpstream(usize),
}

struct Soak {
    deployment: Deployment,
    random: StdRng,
    pending: Vec<(Instant, Undo)>,
    upstreams: u32,
    routes: usize,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let mut deployment = Deployment::start("soak", BALANCERS, SIDES[0]).await;
        deployment
            .configure(&[(service_address(0), SERVICES[0]), (service_address(1), SERVICES[1])]);
        for number in 0..SIDES[1] {
            let side = deployment.side(SIDES[0] + number, SERVICES[1]).await;
            deployment.sides.push(side);
        }
        let random = StdRng::seed_from_u64(seed);
        Self { deployment, random, pending: Vec::new(), upstreams: 0, routes: 0 }
    }

    /// Picks a machine that no other fault concerns.
    fn pick(&mut self, count: usize, taken: impl Fn(&Undo) -> Option<usize>) -> Option<usize> {
        let index = self.random.random_range(0..count);
        let busy = self.pending.iter().any(|(_, undo)| taken(undo) == Some(index));
        (!busy).then_some(index)
    }

    fn balancer(&mut self) -> Option<usize> {
        self.pick(BALANCERS.into(), |undo| match undo {
            Undo::StartBalancer(index) | Undo::ResumeBalancer(index) => Some(*index),
            _ => None,
        })
    }

    fn side(&mut self) -> Option<usize> {
        self.pick(self.deployment.sides.len(), |undo| match undo {
            Undo::StartAgent(index)
            | Undo::ResumeAgent(index)
            | Undo::StartUpstream(index)
            | Undo::ReplaceUpstream(index) => Some(*index),
            _ => None,
        })
    }

    fn later(&mut self, shortest_ms: u64, longest_ms: u64, undo: Undo) {
        let pause = self.random.random_range(shortest_ms..longest_ms);
        self.pending.push((Instant::now() + Duration::from_millis(pause), undo));
    }

    /// Begins one random fault; nothing when its machine has another one.
    async fn disturb(&mut self) -> Option<()> {
        match self.random.random_range(0..10) {
            0 => {
                let index = self.balancer()?;
                self.deployment.balancers[index].kill();
                self.later(200, 1_500, Undo::StartBalancer(index));
            }
            1 => {
                let index = self.side()?;
                self.deployment.disturb_side(index);
                self.deployment.sides[index].node.kill();
                self.later(200, 1_500, Undo::StartAgent(index));
            }
            2 => {
                let index = self.balancer()?;
                self.deployment.balancers[index].signal("STOP");
                self.later(100, 2_500, Undo::ResumeBalancer(index));
            }
            3 => {
                let index = self.side()?;
                self.deployment.disturb_side(index);
                self.deployment.sides[index].node.signal("STOP");
                self.later(100, 2_500, Undo::ResumeAgent(index));
            }
            4 => {
                let index = self.balancer()?;
                self.deployment.balancers[index].signal("TERM");
                // Longer than the grace period.
                self.later(4_500, 5_000, Undo::StartBalancer(index));
            }
            5 => {
                let index = self.side()?;
                self.deployment.sides[index].node.signal("TERM");
                self.later(4_500, 5_000, Undo::StartAgent(index));
            }
            6 => {
                let faults = [Fault::Refuse(503), Fault::Silent, Fault::LoseAnswers];
                let fault = faults[self.random.random_range(0..faults.len())];
                self.deployment.store.set_fault(fault);
                self.later(200, 3_000, Undo::MendStore);
            }
            7 => self.deployment.valve.stall_connections(),
            8 => {
                let index = self.side()?;
                self.deployment.crash(index).await;
                self.later(50, 2_000, Undo::StartUpstream(index));
            }
            _ => {
                let index = self.side()?;
                if self.deployment.upstream(index).drain().await {
                    let until = Instant::now() + DRAIN;
                    self.pending.push((until, Undo::ReplaceUpstream(index)));
                }
                self.routes += 1;
                let mut routes =
                    vec![(service_address(0), SERVICES[0]), (service_address(1), SERVICES[1])];
                routes.extend(
                    (0..self.routes).map(|number| (service_address(10 + number), SERVICES[0])),
                );
                self.deployment.configure(&routes);
            }
        }
        Some(())
    }

    /// Ends the faults that are due, or all of them.
    async fn mend(&mut self, all: bool) {
        let now = Instant::now();
        let pending = std::mem::take(&mut self.pending);
        let (due, rest) = pending.into_iter().partition(|(at, _)| all || *at <= now);
        self.pending = rest;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::StartBalancer(index) => self.deployment.balancers[index].restart(),
                Undo::StartAgent(index) => {
                    self.deployment.sides[index].node.restart();
                    self.deployment.disturb_side(index);
                }
                Undo::ResumeBalancer(index) => self.deployment.balancers[index].signal("CONT"),
                Undo::ResumeAgent(index) => {
                    self.deployment.sides[index].node.signal("CONT");
                    self.deployment.disturb_side(index);
                }
                Undo::MendStore => self.deployment.store.set_fault(Fault::None),
                Undo::StartUpstream(index) => self.start_upstream(index).await,
                Undo::ReplaceUpstream(index) => {
                    if let Some(upstream) = self.deployment.sides[index].upstream.take() {
                        upstream.leave().await;
                    }
                    self.start_upstream(index).await;
                }
            }
        }
    }

    async fn start_upstream(&mut self, index: usize) {
        self.upstreams += 1;
        let machine = self.deployment.sides[index].node.machine;
        let id = format!("upstream-{index}-{}", self.upstreams);
        let service = SERVICES[usize::from(index >= usize::from(SIDES[0]))];
        let upstream = self.deployment.start_upstream(machine, &id, behaviour(service)).await;
        self.deployment.sides[index].upstream = Some(upstream);
    }
}

/// Asks balancers whether they are ready, as routers do, and tells what they answered last.
fn probe(machines: &[Machine]) -> (Vec<Arc<AtomicBool>>, tokio::task::JoinSet<()>) {
    let mut tasks = tokio::task::JoinSet::new();
    let states = machines.iter().map(|&machine| {
        let state = Arc::new(AtomicBool::new(true));
        let shown = state.clone();
        tasks.spawn(async move {
            let mut misses = 0;
            loop {
                let ready = operator::is_ready(&Local, machine.ready()).await;
                misses = if ready { 0 } else { misses + 1 };
                shown.store(misses < 2, Ordering::Relaxed);
                tokio::time::sleep(PROBE_PAUSE).await;
            }
        });
        state
    });
    (states.collect(), tasks)
}

async fn soak(seed: u64, length: Duration) {
    let mut soak = Soak::start(seed).await;
    let machines: Vec<_> = soak.deployment.balancers.iter().map(|node| node.machine).collect();
    let (ready, _probes) = probe(&machines);
    let (callers, ledger) = (soak.deployment.callers.clone(), soak.deployment.ledger.clone());
    let demand = Arc::new(LoadGenerator::new(callers.clone(), ledger, seed));
    let begun = Instant::now();
    let mut clients = demand.start(CALLERS);
    let rotate = || {
        let both = machines.iter().zip(&ready);
        let chosen: Vec<_> = both
            .filter(|(_, ready)| ready.load(Ordering::Relaxed))
            .map(|(machine, _)| *machine)
            .collect();
        let few = chosen.len() * 2 < machines.len();
        callers.set_balancers(if few { &machines } else { &chosen });
    };
    while begun.elapsed() < length {
        let pause = soak.random.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        rotate();
        soak.mend(false).await;
        // A fault that its machine cannot have now is left out.
        let _ = soak.disturb().await;
    }
    soak.mend(true).await;
    let settled = begun.elapsed() + SETTLING;
    while begun.elapsed() < settled + EPILOGUE {
        tokio::time::sleep(Duration::from_millis(100)).await;
        rotate();
    }
    demand.stop();
    clients.shutdown().await;
    let (asked, served) = demand.outcomes().since(settled);
    let logs = || soak.deployment.logs();
    assert!(served * 4 >= asked && asked > 0, "seed {seed}: {served} of {asked}\n{}", logs());
    let breaches = soak.deployment.ledger.violations();
    assert!(breaches.is_empty(), "seed {seed}: {breaches:?}\n{}", logs());
    soak.deployment.check_packets();
}

/// Guards against rules that break under series of faults that overlap.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_rule() {
    let Ok(text) = std::env::var(SOAK_VARIABLE) else { return soak(1, CI_LENGTH).await };
    let parsed = text.split_once(' ').and_then(|(seeds, seconds)| {
        let (from, to) = seeds.split_once("..")?;
        Some((from.parse::<u64>().ok()?..to.parse().ok()?, seconds.parse().ok()?))
    });
    let Some((seeds, seconds)) = parsed else {
        panic!("{SOAK_VARIABLE} has seeds and seconds, as in 1..50 20, not {text}")
    };
    for seed in seeds {
        println!("seed {seed}");
        soak(seed, Duration::from_secs(seconds)).await;
    }
}
