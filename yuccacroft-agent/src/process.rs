//! The life cycle of an agent process.

use {
    crate::{
        announce::Announcer,
        assembly::{self, Parts, Plan, Sockets},
        capacity::Claimant,
        errors::{Error, Result},
        settings::Settings,
    },
    slog::{Logger, error, info, warn},
    std::{sync::Arc, time::Duration},
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        flow::Hop,
        ids::{Incarnation, Revision},
        member::{self, Entry, Phase},
    },
    yuccacroft_rpc::{
        admin::Access,
        clock::{self, Clock},
    },
};

const FIRST_ANNOUNCE_EVERY: Duration = Duration::from_millis(200);
const FIRST_ANNOUNCE_TRIES: u32 = 150;
const FIRST_CLAIM_TRIES: u32 = 5;
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// The process has its settings and nothing else.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
    log: Logger,
    admin: Option<Access>,
}

/// The process takes flows and requests.
pub struct Serving {
    parts: Parts,
}

/// The process takes no new flows and finishes what it has.
pub struct Draining {
    parts: Parts,
}

/// An agent process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    state: S,
}

impl Process<Starting> {
    /// Prepares a process.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { state: Starting { settings, log, admin: None } }
    }

    /// Opens the administration interface too.
    pub fn with_admin(mut self, admin: Option<Access>) -> Self {
        self.state.admin = admin;
        self
    }

    /// Learns the contract from a balancer, opens the sockets and begins to serve.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log, admin } = self.state;
        let clock = Clock::new();
        let own = Hop { instance: settings.capsules, incarnation: clock::incarnation() };
        let sockets = Sockets::open(own.instance.address(), admin.as_ref()).await?;
        let balancers = settings.balancers.clone();
        let announcer = Arc::new(Announcer::new(balancers, settings.key.clone(), log.clone()));
        let mut entry = first_entry(&settings, own);
        let contract = first_contract(&announcer, &mut entry, &log).await?;
        let own = entry.hop();
        let claimant = Arc::new(Claimant::new(&settings, own, clock, log.clone()));
        let terms = contract.service(&settings.service).ok_or(Error::Contract)?;
        first_claim(&claimant, terms).await;
        let plan = Plan { settings, log, clock, sockets, announcer, claimant, entry, contract };
        let parts = assembly::assemble(plan)?;
        let filters: Vec<_> = parts.acceptor.filters().collect();
        info!(parts.log, "serving"; "filters" => filters.join(","),
            "instance" => %own.instance, "incarnation" => %own.incarnation);
        Ok(Process { state: Serving { parts } })
    }
}

impl Process<Serving> {
    /// Returns the number of open connections.
    pub fn connections(&self) -> u32 {
        self.state.parts.table.open_connections().get()
    }

    /// Serves until `stop` or an operator's order to drain. After such an order the process keeps
    /// its flows and stays up until `stop`.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        let ordered = tokio::select! {
            () = &mut stop => false,
            () = self.drain_ordered() => true,
        };
        let draining = self.drain().await;
        if ordered {
            stop.await;
        }
        draining.stop().await;
    }

    async fn drain_ordered(&mut self) {
        if self.state.parts.ordered.wait_for(|ordered| *ordered).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Stops taking new flows, tells balancers, and asks callers to move.
    pub async fn drain(self) -> Process<Draining> {
        let parts = self.state.parts;
        parts.table.drain();
        parts.entry.send_modify(|entry| {
            entry.phase = Phase::Draining;
            entry.version += 1;
        });
        let entry = parts.entry.borrow().clone();
        let revision = parts.contract.borrow().revision;
        parts.announcer.announce(&entry, revision).await;
        // A receiver exists as long as a connection does.
        let _ = parts.leave.send(true);
        info!(parts.log, "draining");
        Process { state: Draining { parts } }
    }
}

impl Process<Draining> {
    /// Waits until all requests have ended and all connections have moved, or the drain time of
    /// the contract is over; then the process ends.
    pub async fn stop(self) {
        let mut parts = self.state.parts;
        let drain = parts.terms.borrow().drain;
        let idle = async {
            while parts.acceptor.active() > 0 || parts.table.open_connections().get() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        let whole = tokio::time::timeout(drain.into(), idle).await.is_ok();
        parts.entry.send_modify(|entry| {
            entry.phase = Phase::Left;
            entry.version += 1;
        });
        let entry = parts.entry.borrow().clone();
        let revision = parts.contract.borrow().revision;
        parts.announcer.announce(&entry, revision).await;
        // Nothing may run on a grant that others can take.
        parts.limiter.close();
        let terms = parts.terms.borrow().clone();
        parts.claimant.release(&terms).await;
        parts.endpoint.close(quinn::VarInt::from_u32(0), b"stop");
        parts.endpoint.wait_idle().await;
        parts.tasks.shutdown().await;
        info!(parts.log, "stopped"; "whole" => whole);
    }
}

fn first_entry(settings: &Settings, own: Hop) -> Entry {
    Entry {
        customer: settings.customer.clone(),
        service: settings.service.clone(),
        instance: own.instance,
        incarnation: own.incarnation,
        version: 0,
        domain: settings.domain.clone(),
        weight: settings.weight,
        phase: Phase::Draining,
    }
}

/// Claims capacity before the first flow comes. Without the store the agent starts all the same: it
/// hands its requests to siblings until it has a grant.
async fn first_claim(claimant: &Claimant, terms: &Terms) {
    for _ in 0..FIRST_CLAIM_TRIES {
        if claimant.claim(terms).await {
            return;
        }
        tokio::time::sleep(FIRST_ANNOUNCE_EVERY).await;
    }
}

/// Begins a life that is later than the one which balancers know.
fn exceed(entry: &mut Entry, known: Incarnation, log: &Logger) {
    match member::next_incarnation(entry.incarnation, known) {
        Some(next) => {
            warn!(log, "clock_stepped_back"; "known" => %known, "chosen" => %next);
            entry.incarnation = next;
        }
        None => error!(log, "clock_far_behind"; "known" => %known, "own" => %entry.incarnation),
    }
}

/// Asks for the contract while the entry still says that no flow is taken.
async fn first_contract(
    announcer: &Announcer,
    entry: &mut Entry,
    log: &Logger,
) -> Result<Contract<Accepted>> {
    for _ in 0..FIRST_ANNOUNCE_TRIES {
        let news = announcer.announce(entry, Revision::default()).await;
        match (news.later, news.contract) {
            (Some(known), _) => exceed(entry, known, log),
            (None, Some(contract)) => return Ok(contract),
            (None, None) => {}
        }
        tokio::time::sleep(FIRST_ANNOUNCE_EVERY).await;
    }
    Err(Error::Contract)
}
