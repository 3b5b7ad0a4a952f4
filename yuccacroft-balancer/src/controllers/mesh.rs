//! Messages between balancers.

use {
    super::{Controllers, locked},
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
        gossip::{exchange, message::Message, peer::Node},
        key::Secret,
        member::membership::{self, Report},
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

/// The metric that counts messages to other balancers that brought no answer.
const FAILURES: &str = "yuccacroft_mesh_failures_total";
/// The metric that counts messages of other balancers that were refused.
const REFUSED: &str = "yuccacroft_mesh_refused_total";

type Answer = Result<Vec<u8>, StatusCode>;

/// Returns the routes of messages from balancers.
pub fn router(control: &Arc<Controllers>) -> Router {
    Router::new()
        .route(EXCHANGE_PATH, post(exchange_request))
        .route(SNAPSHOT_PATH, post(snapshot_request))
        .route(REPORTS_PATH, post(reports_request))
        .with_state(control.clone())
}

async fn exchange_request(
    State(control): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let Exchange(message) = control.open(&headers, EXCHANGE_PATH, &body, Exchange::decode)?;
    control.reply(message)
}

async fn snapshot_request(
    State(control): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let Snapshot(message) = control.open(&headers, SNAPSHOT_PATH, &body, Snapshot::decode)?;
    control.reply(message)
}

async fn reports_request(
    State(control): State<Arc<Controllers>>,
    headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let Reports(reports) = control.open(&headers, REPORTS_PATH, &body, Reports::decode)?;
    control.step_roster(membership::Event::Reported(reports));
    message::encode(&Reports(Vec::new())).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

impl Controllers {
    /// Sends a message and feeds its answer back.
    pub(super) fn send(self: &Arc<Self>, to: Node, message: Message) {
        let Some(key) = self.key.clone() else { return };
        let control = self.clone();
        tokio::spawn(async move {
            let event = control.call(&key, to, message).await;
            control.step_exchange(event);
        });
    }

    async fn call(&self, key: &Secret, to: Node, message: Message) -> exchange::Event {
        let answer = self.client.call_with_retry(to.address(), path(&message), key, &message).await;
        let answer: Result<Message, Error> =
            answer.and_then(|answer| validate(&answer).map(|()| answer).map_err(Error::from));
        match answer {
            Ok(answer) => exchange::Event::Answer { from: to, message: answer },
            Err(error) => {
                metrics::counter!(FAILURES).increment(1);
                debug!(self.log, "exchange_failed"; "error" => %error, "peer" => %to);
                exchange::Event::Failed { to, message }
            }
        }
    }

    /// Tells a judge of members. A report that is lost is repeated by the registrar later.
    pub(super) fn report(self: &Arc<Self>, to: Node, reports: Vec<Report>) {
        if to == self.node() {
            self.step_roster(membership::Event::Reported(reports));
            return;
        }
        let Some(key) = self.key.clone() else { return };
        let control = self.clone();
        tokio::spawn(async move {
            let reports = Reports(reports);
            let call = control.client.call_with_retry(to.address(), REPORTS_PATH, &key, &reports);
            let answer: Result<Reports, _> = call.await;
            if let Err(error) = answer {
                debug!(control.log, "report_failed"; "error" => %error, "peer" => %to);
            }
        });
    }

    /// Tells some others that this balancer leaves, and waits until they know.
    pub async fn leave(&self) {
        let Some(key) = &self.key else { return };
        let actions = locked(&self.exchange).step(exchange::Event::Leave, self.clock.now());
        let calls = actions.into_iter().filter_map(|action| match action {
            exchange::Action::Send { to, message } => Some(self.call(key, to, message)),
            _ => None,
        });
        futures::future::join_all(calls).await;
    }

    fn node(&self) -> Node {
        locked(&self.exchange).own().node
    }

    fn reply(self: &Arc<Self>, message: Message) -> Answer {
        let reply = self.step_exchange(exchange::Event::Request(message));
        let reply = reply.unwrap_or(Message::Done);
        message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn open<T>(
        &self,
        headers: &HeaderMap,
        path: &str,
        body: &[u8],
        decode: fn(&[u8]) -> WireResult<T>,
    ) -> Result<T, StatusCode> {
        let key = self.key.as_ref().ok_or(StatusCode::NOT_FOUND)?;
        let refuse = |name: &'static str| metrics::counter!(REFUSED, "cause" => name).increment(1);
        authenticate(headers, key, path, body).inspect_err(|_| refuse("unauthenticated"))?;
        decode(body).map_err(|error| {
            refuse(error.name());
            StatusCode::BAD_REQUEST
        })
    }
}
