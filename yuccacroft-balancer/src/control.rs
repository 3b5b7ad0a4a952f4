//! The shell of the balancer's controllers: store, announcements, timers.

use {
    crate::service::Routes,
    axum::{
        Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, StatusCode},
        routing::post,
    },
    slog::{Logger, info, warn},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    yuccacroft_core::{
        contract::{
            Accepted, Contract,
            register::{self, Register},
            stored,
        },
        controller::Controller,
        ids::Customer,
        member::{
            Entry, Phase,
            roster::{self, Roster},
        },
        time::Span,
    },
    yuccacroft_platform::{
        errors::Result as StoreResult,
        store::{Item, Store},
    },
    yuccacroft_rpc::clock::{self, Clock},
    yuccacroft_wire::{
        message::{self, Announce, Sibling, Welcome},
        seal,
    },
};

/// The store's keys of contracts begin with this; the customer's name follows.
pub const CONTRACTS: &str = "/yuccacroft/contracts/";
/// The path of [`Announce`] messages.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

const SILENCE: Span = Span::from_secs(10);
const TICK: Duration = Duration::from_millis(500);
const STORE_POLL: Duration = Duration::from_secs(1);

/// The controllers of one balancer with their locks. No two locks are held at a time.
pub struct Control {
    clock: Clock,
    log: Logger,
    routes: Arc<Routes>,
    register: Mutex<Register>,
    roster: Mutex<Roster>,
}

impl Control {
    /// Creates the controllers over the table that the packet path reads.
    pub fn new(routes: Arc<Routes>, clock: Clock, log: Logger) -> Self {
        let roster = Mutex::new(Roster::new(SILENCE));
        Self { clock, log, routes, register: Mutex::new(Register::new()), roster }
    }

    /// Returns the routes of messages from agents.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new().route(ANNOUNCE_PATH, post(announce)).with_state(self.clone())
    }

    /// Returns the contract of a customer that is in force.
    pub fn contract(&self, customer: &Customer) -> Option<Arc<Contract<Accepted>>> {
        locked(&self.register).get(customer).cloned()
    }

    /// Returns all contracts in force.
    pub fn contracts(&self) -> Vec<Arc<Contract<Accepted>>> {
        locked(&self.register).iter().cloned().collect()
    }

    /// Returns all member entries.
    pub fn members(&self) -> Vec<Entry> {
        locked(&self.roster).iter().cloned().collect()
    }

    /// Keeps the contracts up to date from the store.
    pub async fn follow<S: Store>(&self, store: &S) {
        let mut timer = tokio::time::interval(STORE_POLL);
        loop {
            timer.tick().await;
            if let Err(error) = self.refresh(store).await {
                warn!(self.log, "store_failed"; "error" => %error);
            }
        }
    }

    /// Lets time pass for all controllers.
    pub async fn tick(&self) {
        let mut timer = tokio::time::interval(TICK);
        loop {
            timer.tick().await;
            self.step_roster(roster::Event::Tick);
            let contracts: Vec<_> = locked(&self.register).iter().cloned().collect();
            contracts.iter().for_each(|contract| self.routes.expire(contract, self.clock.now()));
        }
    }

    async fn refresh<S: Store>(&self, store: &S) -> StoreResult<()> {
        for item in store.list(CONTRACTS).await?.items {
            match parse(&item) {
                Ok(contract) => self.learn(Arc::new(contract)),
                Err(error) => warn!(self.log, "contract_invalid"; "error" => %error),
            }
        }
        Ok(())
    }

    /// Puts a contract in force unless a newer one is.
    pub fn learn(&self, contract: Arc<Contract<Accepted>>) {
        let event = register::Event::Learned(contract);
        let actions = locked(&self.register).step(event, self.clock.now());
        for register::Action::Apply { contract, replaced } in actions {
            self.routes.apply(&contract, replaced.as_deref());
            let (customer, revision) = (contract.customer(), contract.revision());
            info!(self.log, "contract_in_force"; "customer" => %customer, "revision" => %revision);
            for terms in contract.terms() {
                let candidates = locked(&self.roster).candidates(customer, &terms.service);
                let now = self.clock.now();
                self.routes.rebuild(&contract, &terms.service, &candidates, now);
            }
        }
    }

    fn step_roster(&self, event: roster::Event) {
        let actions = locked(&self.roster).step(event, self.clock.now());
        for roster::Action::Rebuild { customer, service, candidates } in actions {
            let Some(contract) = locked(&self.register).get(&customer).cloned() else { continue };
            let members = candidates.len();
            info!(self.log, "members_changed";
                "members" => members, "service" => %service, "customer" => %customer);
            self.routes.rebuild(&contract, &service, &candidates, self.clock.now());
        }
    }

    fn welcome(&self, headers: &HeaderMap, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let announce: Announce = message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
        let entry = announce.entry;
        let contract = locked(&self.register).get(&entry.customer).cloned();
        let contract = contract.ok_or(StatusCode::NOT_FOUND)?;
        let text = headers.get(seal::HEADER).and_then(|value| value.to_str().ok());
        let text = text.ok_or(StatusCode::UNAUTHORIZED)?;
        seal::verify(contract.key(), ANNOUNCE_PATH, clock::wall(), body, text)
            .map_err(|_| StatusCode::UNAUTHORIZED)?;
        contract.service(&entry.service).ok_or(StatusCode::NOT_FOUND)?;
        let (customer, service) = (entry.customer.clone(), entry.service.clone());
        let own = entry.instance;
        self.step_roster(roster::Event::Announced(entry));
        let siblings = locked(&self.roster)
            .of(&customer, &service)
            .filter(|other| other.instance != own && other.phase != Phase::Left)
            .map(|other| Sibling { instance: other.instance, incarnation: other.incarnation })
            .collect();
        let newer = contract.revision() > announce.revision;
        let contract = newer.then(|| Contract::clone(&contract));
        message::encode(&Welcome { contract, siblings })
            .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }
}

async fn announce(
    State(control): State<Arc<Control>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Vec<u8>, StatusCode> {
    control.welcome(&headers, &body)
}

fn parse(item: &Item) -> yuccacroft_core::errors::Result<Contract<Accepted>> {
    stored::decode(&item.key, &item.value, item.revision)
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
