//! Sends and handles messages between balancers.

use {
    super::{Controllers, lock},
    axum::{
        Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, StatusCode},
        routing::post,
    },
    slog::debug,
    std::sync::Arc,
    yuccacroft_core::{
        controller::Controller,
        gossip::{exchange, message::GossipMessage, peer::NodeId},
        key::Secret,
        member::membership::{self, MemberReport},
    },
    yuccacroft_rpc::{errors::Error, server::authenticate},
    yuccacroft_wire::{
        errors::Result as WireResult,
        exchange::{
            EXCHANGE_PATH, Exchange, REPORTS_PATH, Reports, SNAPSHOT_PATH, Snapshot, path, validate,
        },
        message,
    },
};

/// Metric: number of messages to other balancers that got no valid answer.
const FAILURES_METRIC: &str = "yuccacroft_mesh_failures_total";
/// Metric: number of rejected messages from other balancers, labelled with the cause.
const REFUSED_METRIC: &str = "yuccacroft_mesh_refused_total";

type Answer = Result<Vec<u8>, StatusCode>;

/// Returns the HTTP routes of messages from balancers.
pub fn router(controllers: &Arc<Controllers>) -> Router {
    Router::new()
        .route(EXCHANGE_PATH, post(exchange_request))
        .route(SNAPSHOT_PATH, post(snapshot_request))
        .route(REPORTS_PATH, post(reports_request))
        .with_state(controllers.clone())
}

async fn exchange_request(
    State(controllers): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let Exchange(message) =
        controllers.decode_request(&headers, EXCHANGE_PATH, &body, Exchange::decode)?;
    controllers.reply(message)
}

async fn snapshot_request(
    State(controllers): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let Snapshot(message) =
        controllers.decode_request(&headers, SNAPSHOT_PATH, &body, Snapshot::decode)?;
    controllers.reply(message)
}

async fn reports_request(
    State(controllers): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let Reports(reports) =
        controllers.decode_request(&headers, REPORTS_PATH, &body, Reports::decode)?;
    controllers.step_membership(membership::Event::Reported(reports));
    message::encode(&Reports(Vec::new())).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

impl Controllers {
    /// Sends a message and passes its answer to the exchange.
    pub(super) fn send_message(self: &Arc<Self>, to: NodeId, message: GossipMessage) {
        let Some(key) = self.key.clone() else { return };
        let controllers = self.clone();
        tokio::spawn(async move {
            let event = controllers.call(&key, to, message).await;
            controllers.step_exchange(event);
        });
    }

    async fn call(&self, key: &Secret, to: NodeId, message: GossipMessage) -> exchange::Event {
        let answer = self.client.call_with_retry(to.address(), path(&message), key, &message).await;
        let answer: Result<GossipMessage, Error> =
            answer.and_then(|answer| validate(&answer).map(|()| answer).map_err(Error::from));
        match answer {
            Ok(answer) => exchange::Event::Answer { from: to, message: answer },
            Err(error) => {
                metrics::counter!(FAILURES_METRIC).increment(1);
                debug!(self.log, "exchange failed"; "error" => %error, "peer" => %to);
                exchange::Event::Failed { to, message }
            }
        }
    }

    /// Sends reports to an outage detector. The registrar repeats a lost report later.
    pub(super) fn send_reports(self: &Arc<Self>, to: NodeId, reports: Vec<MemberReport>) {
        if to == self.node() {
            self.step_membership(membership::Event::Reported(reports));
            return;
        }
        let Some(key) = self.key.clone() else { return };
        let controllers = self.clone();
        tokio::spawn(async move {
            let reports = Reports(reports);
            let call =
                controllers.client.call_with_retry(to.address(), REPORTS_PATH, &key, &reports);
            let answer: Result<Reports, _> = call.await;
            if let Err(error) = answer {
                metrics::counter!(FAILURES_METRIC).increment(1);
                debug!(controllers.log, "report failed"; "error" => %error, "peer" => %to);
            }
        });
    }

    /// Announces to some other balancers that this one leaves, and waits for their answers.
    pub async fn leave(&self) {
        let Some(key) = &self.key else { return };
        let actions = lock(&self.exchange).step(exchange::Event::Leave, self.clock.now());
        let calls = actions.into_iter().filter_map(|action| match action {
            exchange::Action::Send { to, message } => Some(self.call(key, to, message)),
            _ => None,
        });
        futures::future::join_all(calls).await;
    }

    fn node(&self) -> NodeId {
        lock(&self.exchange).own().node
    }

    fn reply(self: &Arc<Self>, message: GossipMessage) -> Answer {
        let reply = self.step_exchange(exchange::Event::Request(message));
        let reply = reply.unwrap_or(GossipMessage::Done);
        message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn decode_request<T>(
        &self,
        headers: &HeaderMap,
        path: &str,
        body: &[u8],
        decode: fn(&[u8]) -> WireResult<T>,
    ) -> Result<T, StatusCode> {
        let key = self.key.as_ref().ok_or(StatusCode::NOT_FOUND)?;
        let count_refusal =
            |name: &'static str| metrics::counter!(REFUSED_METRIC, "cause" => name).increment(1);
        authenticate(headers, key, path, body).inspect_err(|_| count_refusal("unauthenticated"))?;
        decode(body).map_err(|error| {
            count_refusal(error.name());
            StatusCode::BAD_REQUEST
        })
    }
}
