//! Handles claims of agents on their customer's capacity, with the record in the store.
//!
//! [`yuccacroft_core::capacity::GrantRecord::decide`] makes the decision; this module reads the
//! record, writes it by compare-and-swap and starts again when it was changed in between.

use {
    crate::controllers::Controllers,
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
        member::MemberPhase,
        units::Slots,
    },
    yuccacroft_rpc::{clock::Clock, server},
    yuccacroft_store::{
        errors::{Error, Result},
        store::{Store, WriteResult},
    },
    yuccacroft_wire::{
        capacity::{CAPACITY_PATH, CapacityQuery, CapacityReply},
        message,
    },
};

/// The prefix of the store keys of capacity records. Customer and service follow it.
const RECORD_KEY_PREFIX: &str = "/yuccacroft/capacity/";
/// Upper bound of the write attempts of one claim. When all agents of a service start at once,
/// their claims conflict and need several attempts; an agent whose claim fails claims again later.
const MAX_WRITE_ATTEMPTS: u32 = 8;
/// Upper bound of the random pause before another attempt, which spreads the attempts of agents
/// that start together.
const MAX_BACKOFF_MILLIS: u64 = 40;

/// The server of capacity claims.
pub struct CapacityServer<S> {
    store: Arc<S>,
    controllers: Arc<Controllers>,
    absence: AbsenceTracker,
    clock: Clock,
    log: Logger,
}

impl<S: Store> CapacityServer<S> {
    /// Creates the server over the store. The controllers provide contracts and members.
    pub fn new(store: Arc<S>, controllers: Arc<Controllers>, clock: Clock, log: Logger) -> Self {
        Self { store, controllers, absence: AbsenceTracker::new(), clock, log }
    }

    /// Returns the HTTP route of claims.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new().route(CAPACITY_PATH, post(claim::<S>)).with_state(self.clone())
    }

    async fn answer(
        &self,
        headers: &HeaderMap,
        body: &[u8],
    ) -> std::result::Result<Vec<u8>, StatusCode> {
        let query: CapacityQuery = message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
        let contract = self.controllers.contract(&query.customer).ok_or(StatusCode::NOT_FOUND)?;
        server::authenticate(headers, contract.key(), CAPACITY_PATH, body)?;
        let terms = contract.service(&query.service).ok_or(StatusCode::NOT_FOUND)?;
        let reply = self.process_claim(&query, terms.share).await.map_err(|error| {
            warn!(self.log, "capacity claim failed"; "error" => %error, "agent" => %query.agent_id.instance);
            StatusCode::SERVICE_UNAVAILABLE
        })?;
        message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Repeats read, decision and write until the record contains the outcome. When the answer of a
    /// write is lost, the claim's number in the next read shows whether the write took effect.
    async fn process_claim(&self, query: &CapacityQuery, share: Slots) -> Result<CapacityReply> {
        let key = record_key(&query.customer, &query.service);
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (record, base) = self.read(&key).await?;
            let expired = self.expired_holders(&record);
            let (next, slots) =
                match record.decide(query.agent_id, query.number, query.claim, share, &expired) {
                    ClaimDecision::Outdated => return Ok(CapacityReply::Outdated),
                    ClaimDecision::Keep(slots) => return Ok(CapacityReply::Granted(slots)),
                    ClaimDecision::Write(next, slots) => (next, slots),
                };
            match self.store.put(&key, &next.to_string(), base).await {
                Ok(WriteResult::Accepted(_)) => return Ok(CapacityReply::Granted(slots)),
                Ok(WriteResult::Conflict(_)) => {
                    counter!("yuccacroft_claim_conflicts_total").increment(1)
                }
                Err(Error::Uncertain(_)) => {}
                Err(error) => return Err(error),
            }
            let backoff = rand::random_range(0..MAX_BACKOFF_MILLIS);
            tokio::time::sleep(Duration::from_millis(backoff)).await;
        }
        Err(Error::Uncertain("the record changes too often".into()))
    }

    fn expired_holders(&self, record: &GrantRecord) -> BTreeSet<Instance> {
        let members = self.controllers.members();
        let present = members.iter().filter(|entry| entry.phase != MemberPhase::Left);
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
    State(capacity_server): State<Arc<CapacityServer<S>>>,
    headers: HeaderMap,
    body: Bytes,
) -> std::result::Result<Vec<u8>, StatusCode> {
    capacity_server.answer(&headers, &body).await
}

fn record_key(customer: &Customer, service: &Service) -> String {
    format!("{RECORD_KEY_PREFIX}{customer}/{service}")
}
