//! The life cycle of an agent process.

use {
    crate::{
        announce::Announcer,
        assembly::{self, AssemblyInputs, Components, Sockets},
        capacity::CapacityClient,
        errors::{Error, Result},
        settings::Settings,
    },
    slog::{Logger, error, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        flow::AgentId,
        ids::{Incarnation, Revision},
        member::{self, MemberEntry, MemberPhase},
    },
    yuccacroft_rpc::{
        admin::Access,
        clock::{self, Clock},
    },
};

/// Pause between attempts to get the contract and to claim capacity at the start.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_CONTRACT_ATTEMPTS: u32 = 150;
const MAX_CLAIM_ATTEMPTS: u32 = 5;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The process has its settings and no sockets yet.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
    log: Logger,
    admin: Option<Access>,
}

/// The process accepts flows and requests.
pub struct Serving {
    components: Components,
}

/// The process accepts no new flows and completes its current ones.
pub struct Draining {
    components: Components,
}

/// An agent process in one state of its life cycle.
#[derive(Debug)]
pub struct Process<S> {
    state: S,
}

impl Process<Starting> {
    /// Creates a process that has not started yet.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { state: Starting { settings, log, admin: None } }
    }

    /// Sets the access to the administration interface; `None` leaves it closed.
    pub fn with_admin(mut self, admin: Option<Access>) -> Self {
        self.state.admin = admin;
        self
    }

    /// Opens the sockets, fetches the contract from a balancer and starts to serve. Fails when a
    /// socket cannot be bound, the certificate is invalid, or no balancer returns the contract.
    pub async fn serve(self) -> Result<Process<Serving>> {
        let Starting { settings, log, admin } = self.state;
        let clock = Clock::new();
        let own = AgentId { instance: settings.capsules, incarnation: clock::new_incarnation() };
        let sockets = Sockets::open(own.instance.address(), admin.as_ref()).await?;
        let balancers = settings.balancers.clone();
        let announcer = Arc::new(Announcer::new(balancers, settings.key.clone(), log.clone()));
        let mut entry = initial_entry(&settings, own);
        let contract = fetch_contract(&announcer, &mut entry, &log).await?;
        let own = entry.agent_id();
        let capacity = Arc::new(CapacityClient::new(&settings, own, clock, log.clone()));
        let terms = contract.service(&settings.service).ok_or(Error::Contract)?;
        claim_at_startup(&capacity, terms).await;
        let inputs =
            AssemblyInputs { settings, log, clock, sockets, announcer, capacity, entry, contract };
        let components = assembly::assemble(inputs)?;
        let filters: Vec<_> = components.acceptor.filter_names().collect();
        info!(components.log, "serving"; "filters" => filters.join(","),
            "instance" => %own.instance, "incarnation" => %own.incarnation);
        Ok(Process { state: Serving { components } })
    }
}

impl Process<Serving> {
    /// Returns the number of open connections.
    pub fn connections(&self) -> u32 {
        self.state.components.table.open_connections().get()
    }

    /// Serves until `stop` or an operator's order to drain. After such an order the process keeps
    /// serving its flows until `stop`. Fails when a task ends that the process cannot serve without.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<()> {
        let mut stop = std::pin::pin!(stop);
        let Components { drain_ordered, tasks, .. } = &mut self.state.components;
        let by_order = tokio::select! {
            () = &mut stop => false,
            () = wait_for_drain_order(drain_ordered) => true,
            end = tasks.ended() => return Err(Error::Task(end)),
        };
        let draining = self.drain().await;
        if by_order {
            stop.await;
        }
        draining.stop().await;
        Ok(())
    }

    /// Stops accepting new flows, announces that to balancers and sends GOAWAY frames to callers.
    pub async fn drain(self) -> Process<Draining> {
        let components = self.state.components;
        components.table.drain();
        components.entry.send_modify(|entry| {
            entry.phase = MemberPhase::Draining;
            entry.version += 1;
        });
        let entry = components.entry.borrow().clone();
        let revision = components.contract.borrow().revision;
        components.announcer.announce(&entry, revision).await;
        // Each connection holds a receiver, so an error means that there is none.
        let _ = components.goaway.send(true);
        info!(components.log, "draining");
        Process { state: Draining { components } }
    }
}

impl Process<Draining> {
    /// Waits until all requests and connections have ended, at most for the drain time of the
    /// contract, then releases the capacity and stops all tasks.
    pub async fn stop(self) {
        let mut components = self.state.components;
        let drain = components.terms.borrow().drain;
        let idle = async {
            while components.acceptor.active_requests() > 0
                || components.table.open_connections().get() > 0
            {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let is_drained = tokio::time::timeout(drain.into(), idle).await.is_ok();
        components.entry.send_modify(|entry| {
            entry.phase = MemberPhase::Left;
            entry.version += 1;
        });
        let entry = components.entry.borrow().clone();
        let revision = components.contract.borrow().revision;
        components.announcer.announce(&entry, revision).await;
        // No request may run on a grant that other agents can claim.
        components.limiter.close();
        let terms = components.terms.borrow().clone();
        components.capacity.release(&terms).await;
        components.endpoint.close(quinn::VarInt::from_u32(0), b"stop");
        components.endpoint.wait_idle().await;
        components.tasks.shutdown().await;
        info!(components.log, "stopped"; "whole" => is_drained);
    }
}

async fn wait_for_drain_order(drain_ordered: &mut watch::Receiver<bool>) {
    if drain_ordered.wait_for(|by_order| *by_order).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn initial_entry(settings: &Settings, own: AgentId) -> MemberEntry {
    MemberEntry {
        customer: settings.customer.clone(),
        service: settings.service.clone(),
        instance: own.instance,
        incarnation: own.incarnation,
        version: 0,
        domain: settings.domain.clone(),
        weight: settings.weight,
        phase: MemberPhase::Draining,
    }
}

/// Claims capacity before the first flow arrives. The agent also starts without a grant, for
/// example when the store is unavailable, and offers its requests to siblings until it has one.
async fn claim_at_startup(capacity: &CapacityClient, terms: &Terms) {
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        if capacity.claim_share(terms).await {
            return;
        }
        tokio::time::sleep(STARTUP_RETRY_INTERVAL).await;
    }
}

/// Replaces the incarnation of the entry by one that is later than the incarnation known to
/// balancers.
fn advance_incarnation(entry: &mut MemberEntry, known: Incarnation, log: &Logger) {
    match member::next_incarnation(entry.incarnation, known) {
        Some(next) => {
            warn!(log, "clock stepped back"; "known" => %known, "chosen" => %next);
            entry.incarnation = next;
        }
        None => error!(log, "clock far behind"; "known" => %known, "own" => %entry.incarnation),
    }
}

/// Fetches the contract by announcing the entry, whose phase shows that no flow is accepted yet.
async fn fetch_contract(
    announcer: &Announcer,
    entry: &mut MemberEntry,
    log: &Logger,
) -> Result<Contract<Accepted>> {
    for _ in 0..MAX_CONTRACT_ATTEMPTS {
        let update = announcer.announce(entry, Revision::default()).await;
        match (update.later_incarnation, update.contract) {
            (Some(known), _) => advance_incarnation(entry, known, log),
            (None, Some(contract)) => return Ok(contract),
            (None, None) => {}
        }
        tokio::time::sleep(STARTUP_RETRY_INTERVAL).await;
    }
    Err(Error::Contract)
}
