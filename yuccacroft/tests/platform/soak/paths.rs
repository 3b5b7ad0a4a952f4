//! Random faults of the paths between balancers and agents.

use {
    super::print_event,
    crate::{
        deployment::Deployment,
        relays::{self, Relays},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        net::Ipv4Addr,
        ops::Range,
        time::{Duration, Instant},
    },
    yuccacroft_emulator::store,
    yuccacroft_fakes::udp_relay::Fault,
};

/// Probability of a new fault in one step.
const FAULT_PROBABILITY: f64 = 0.25;
/// Duration of a fault. Agents count as lost after 1 to 2.1 s of silence.
const DURATION_MS: Range<u64> = 1_000..6_000;
const ANSWER_DELAY_MS: Range<u64> = 200..2_500;
const LOSS_PERCENT: Range<u8> = 5..30;
/// Rate of a narrow link in each direction.
const BYTES_PER_SECOND: Range<u32> = 8_000..60_000;

/// Faults of paths and the random numbers that select them. Each balancer has one fault at most.
pub struct PathFaults {
    relays: Relays,
    random: StdRng,
    balancers: Vec<Ipv4Addr>,
    agents: usize,
    /// Balancers with a fault, and the time at which it ends.
    pending: Vec<(Instant, Ipv4Addr)>,
}

impl PathFaults {
    /// Starts relays between all balancers and agents of a deployment.
    pub async fn start(deployment: &mut Deployment, seed: u64) -> Self {
        Self {
            relays: Relays::start(deployment, seed).await,
            random: StdRng::seed_from_u64(seed),
            balancers: deployment.balancers.iter().map(|node| node.machine.ip()).collect(),
            agents: deployment.agents.len(),
            pending: Vec::new(),
        }
    }

    /// Ends the faults that are due, and injects a new one at times.
    pub fn step(&mut self) {
        let now = Instant::now();
        self.repair(|until| until <= now);
        if self.random.random_bool(FAULT_PROBABILITY) {
            self.inject_fault();
        }
    }

    /// Ends all faults.
    pub fn repair_all(&mut self) {
        self.repair(|_| true);
    }

    /// Silences the open connections to the store of the balancers.
    pub fn stall_store_connections(&self) {
        self.relays.store_proxy.stall_connections();
    }

    /// Sets the fault of the store of the balancers.
    pub fn set_store_fault(&self, fault: store::Fault) {
        self.relays.set_store_fault(fault);
    }

    fn repair(&mut self, is_due: impl Fn(Instant) -> bool) {
        let (due, rest) = self.pending.iter().partition(|(until, _)| is_due(*until));
        self.pending = rest;
        let due: Vec<(Instant, Ipv4Addr)> = due;
        for (_, balancer) in due {
            print_event(&format!("paths of {balancer} repaired"));
            self.relays.repair(balancer);
        }
    }

    /// Injects a random fault, unless the selected balancer has one.
    fn inject_fault(&mut self) {
        let balancer = self.balancers[self.random.random_range(0..self.balancers.len())];
        if self.pending.iter().any(|(_, affected)| *affected == balancer) {
            return;
        }
        let duration = Duration::from_millis(self.random.random_range(DURATION_MS));
        self.pending.push((Instant::now() + duration, balancer));
        match self.random.random_range(0..5) {
            0 => {
                let delay_ms = self.random.random_range(ANSWER_DELAY_MS);
                let answer_delay = Duration::from_millis(delay_ms);
                self.disturb_some(balancer, Fault { answer_delay, ..Fault::default() });
            }
            1 => self.disturb_some(balancer, relays::silent_requests()),
            2 => self.disturb_some(balancer, relays::silent_answers()),
            3 => {
                let lost_requests = self.random.random_range(LOSS_PERCENT);
                let lost_answers = self.random.random_range(LOSS_PERCENT);
                let fault = Fault { lost_requests, lost_answers, ..Fault::default() };
                self.disturb(balancer, (0..self.agents).collect(), fault);
            }
            _ => {
                let rate = self.random.random_range(BYTES_PER_SECOND);
                print_event(&format!("link of {balancer} limited to {rate} bytes/s"));
                self.relays.set_rate(balancer, rate);
            }
        }
    }

    /// Disturbs the paths to some agents, half of them on average.
    fn disturb_some(&mut self, balancer: Ipv4Addr, fault: Fault) {
        let agents = (0..self.agents).filter(|_| self.random.random_bool(0.5)).collect();
        self.disturb(balancer, agents, fault);
    }

    fn disturb(&self, balancer: Ipv4Addr, agents: Vec<usize>, fault: Fault) {
        print_event(&format!("paths of {balancer} to agents {agents:?}: {fault:?}"));
        agents.into_iter().for_each(|agent| self.relays.set_fault(balancer, agent, fault));
    }
}
