//! Operator orders, which reach the agent through a balancer, and the report of its work in
//! progress.

use {
    crate::{endpoint::RequestAcceptor, limiter::Limiter},
    axum::{
        Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, StatusCode},
        routing::post,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    yuccacroft_core::{
        key::Secret,
        member::{MemberEntry, MemberPhase},
        ownership::OwnershipTable,
        units::Count,
    },
    yuccacroft_rpc::server,
    yuccacroft_wire::{
        admin::AgentReport,
        message::{self, OperatorRequest, Order},
    },
};

/// HTTP path of orders.
pub const OPERATE_PATH: &str = "/v1/operate";

/// Longest wait for the drain to start; shorter than a balancer's timeout for the answer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Executes operator orders at one agent and reports its work in progress.
pub struct OperatorApi {
    key: Secret,
    table: Arc<OwnershipTable>,
    limiter: Arc<Limiter>,
    acceptor: Arc<RequestAcceptor>,
    entry: watch::Receiver<MemberEntry>,
    drain: watch::Sender<bool>,
}

impl OperatorApi {
    /// Creates the interface. An order to drain sets `drain`; the process executes it and updates
    /// the phase in `entry`.
    pub fn new(
        key: Secret,
        table: Arc<OwnershipTable>,
        limiter: Arc<Limiter>,
        acceptor: Arc<RequestAcceptor>,
        entry: watch::Receiver<MemberEntry>,
        drain: watch::Sender<bool>,
    ) -> Self {
        Self { key, table, limiter, acceptor, entry, drain }
    }

    /// Returns the route of orders.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new().route(OPERATE_PATH, post(operate)).with_state(self.clone())
    }

    /// Returns the current member entry.
    pub fn entry(&self) -> MemberEntry {
        self.entry.borrow().clone()
    }

    /// Returns the phase of the agent and its numbers of connections and requests.
    pub fn report(&self) -> AgentReport {
        let load = self.limiter.load();
        AgentReport {
            incarnation: self.table.own_id().incarnation,
            phase: self.entry.borrow().phase,
            connections: self.table.open_connections(),
            requests: Count::new(self.acceptor.active_requests() as u64),
            running: load.running,
            allowed: load.limit,
        }
    }

    async fn execute_order(&self, headers: &HeaderMap, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let operate: OperatorRequest =
            server::decode_authenticated(headers, &self.key, OPERATE_PATH, body)?;
        if operate.incarnation != self.table.own_id().incarnation {
            return Err(StatusCode::CONFLICT);
        }
        if operate.order == Order::Drain {
            self.begin_drain().await?;
        }
        message::encode(&self.report()).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Orders the drain and waits until the agent accepts no new flows. Repeating the order has no
    /// effect.
    async fn begin_drain(&self) -> Result<(), StatusCode> {
        self.drain.send_replace(true);
        let mut entry = self.entry.clone();
        let draining = entry.wait_for(|entry| entry.phase != MemberPhase::Serving);
        match tokio::time::timeout(DRAIN_TIMEOUT, draining).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

async fn operate(
    State(operator): State<Arc<OperatorApi>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Vec<u8>, StatusCode> {
    operator.execute_order(&headers, &body).await
}
