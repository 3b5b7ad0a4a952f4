//! Claims of agents on their customer's capacity, carried out on the store's record.
//!
//! The decision is [`yuccacroft_core::capacity::GrantRecord::decide`]; this shell reads the record, writes it
//! by compare-and-swap and begins again when another agent was faster.

use {
    crate::control::Control,
    axum::{
        Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, StatusCode},
        routing::post,
    },
    metrics::counter,
    slog::{Logger, warn},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    yuccacroft_core::{
        capacity::{ClaimDecision, GrantRecord, absence::AbsenceTracker},
        ids::{Customer, Instance, Revision, Service},
        member::Phase,
        units::Slots,
    },
    yuccacroft_rpc::{clock::Clock, server},
    yuccacroft_store::{
        errors::{Error, Result},
        store::{Outcome, Store},
    },
    yuccacroft_wire::{
        capacity::{PATH, Query, Reply},
        message,
    },
};

/// The store's keys of records begin with this; customer and service follow.
const PREFIX: &str = "/yuccacroft/capacity/";
/// Writes that may fail because other agents were faster. All agents of a service starting at once
/// need a few rounds; an agent that still fails claims again later.
const TRIES: u32 = 8;
/// Largest pause before another try. Tries of a group of agents are spread over it.
const PAUSE_MILLIS: u64 = 40;

/// The shell of the capacity records.
pub struct Capacity<S> {
    store: Arc<S>,
    control: Arc<Control>,
    absence: AbsenceTracker,
    clock: Clock,
    log: Logger,
}

impl<S: Store> Capacity<S> {
    /// Creates the shell over the store; contracts come from the balancer's control.
    pub fn new(store: Arc<S>, control: Arc<Control>, clock: Clock, log: Logger) -> Self {
        Self { store, control, absence: AbsenceTracker::new(), clock, log }
    }

    /// Returns the route of claims.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new().route(PATH, post(claim::<S>)).with_state(self.clone())
    }

    async fn answer(
        &self,
        headers: &HeaderMap,
        body: &[u8],
    ) -> std::result::Result<Vec<u8>, StatusCode> {
        let query: Query = message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
        let contract = self.control.contract(&query.customer).ok_or(StatusCode::NOT_FOUND)?;
        server::authenticate(headers, contract.key(), PATH, body)?;
        let terms = contract.service(&query.service).ok_or(StatusCode::NOT_FOUND)?;
        let reply = self.carry_out(&query, terms.share).await.map_err(|error| {
            warn!(self.log, "claim_failed"; "error" => %error, "agent" => %query.hop.instance);
            StatusCode::SERVICE_UNAVAILABLE
        })?;
        message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Repeats read, decision and write until the record holds the outcome. A write whose answer
    /// was lost is settled by the next read: the claim's number shows whether it took effect.
    async fn carry_out(&self, query: &Query, share: Slots) -> Result<Reply> {
        let key = key(&query.customer, &query.service);
        for _ in 0..TRIES {
            let (record, base) = self.read(&key).await?;
            let gone = self.gone(&record);
            let (next, slots) =
                match record.decide(query.hop, query.number, query.claim, share, &gone) {
                    ClaimDecision::Outdated => return Ok(Reply::Outdated),
                    ClaimDecision::Keep(slots) => return Ok(Reply::Granted(slots)),
                    ClaimDecision::Write(next, slots) => (next, slots),
                };
            match self.store.put(&key, &next.to_string(), base).await {
                Ok(Outcome::Accepted(_)) => return Ok(Reply::Granted(slots)),
                Ok(Outcome::Conflict(_)) => {
                    counter!("yuccacroft_claim_conflicts_total").increment(1)
                }
                Err(Error::Uncertain(_)) => {}
                Err(error) => return Err(error),
            }
            let pause = rand::random_range(0..PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        Err(Error::Uncertain("the record changes too often".into()))
    }

    fn gone(&self, record: &GrantRecord) -> BTreeSet<Instance> {
        let members = self.control.members();
        let present = members.iter().filter(|entry| entry.phase != Phase::Left);
        let present = present.map(|entry| entry.instance).collect();
        self.absence.expired_holders(record, &present, self.clock.now())
    }

    async fn read(&self, key: &str) -> Result<(GrantRecord, Revision)> {
        let Some(item) = self.store.get(key).await? else {
            return Ok((GrantRecord::new(), Revision::default()));
        };
        let record = item.value.parse();
        let record = record.map_err(|error: yuccacroft_core::errors::Error| {
            Error::Protocol(error.to_string().into())
        })?;
        Ok((record, item.revision))
    }
}

async fn claim<S: Store>(
    State(capacity): State<Arc<Capacity<S>>>,
    headers: HeaderMap,
    body: Bytes,
) -> std::result::Result<Vec<u8>, StatusCode> {
    capacity.answer(&headers, &body).await
}

fn key(customer: &Customer, service: &Service) -> String {
    format!("{PREFIX}{customer}/{service}")
}
