//! Server side of the hand-off: runs requests that siblings offer.

use {
    crate::{
        chain::RequestContext,
        conversion,
        limiter::{AdmissionStatus, Slot},
        service::{Outcome, Service},
        siblings::SiblingClient,
    },
    axum::{
        Router,
        body::Bytes,
        extract::{DefaultBodyLimit, State as Shared},
        http::{HeaderMap, StatusCode},
        routing::post,
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    yuccacroft_core::{
        admission::SlotRequest,
        fence::{Ledger, LedgerState, OfferResult},
        idempotency::RunOutcome,
        ids::{Incarnation, RequestId},
        key::Secret,
        request::{RefusalReason, Request},
        shards::Shards,
        time::Span,
        units::{Count, Size},
    },
    yuccacroft_rpc::server,
    yuccacroft_wire::{
        handoff::{
            FENCE_PATH, Fence, HandoffReply, MAX_BYTES, OFFER_PATH, Offer, RELAY_PATH,
            RelayOutcome, RelayRequest, RequestState,
        },
        message,
    },
};

const SHARD_COUNT: u8 = 16;
/// Entries of each ledger shard: 65,536 requests (10 MB) over all shards.
const SHARD_ENTRIES: Count = Count::new(4_096);
/// Bytes of the answers that each shard keeps for siblings: 32 MB over all shards.
const SHARD_BYTES: Size = Size::new(2 << 20);
/// Longest time for which a reply is held back while the request runs.
const MAX_HOLD: Span = Span::from_secs(1);

/// Serves offers, fences and relayed retries of siblings. A fence asks for the state of an offered
/// request and keeps an offer that has not arrived from running later.
pub struct HandoffServer {
    own: Incarnation,
    key: Secret,
    service: Arc<Service>,
    siblings: Arc<SiblingClient>,
    ledgers: Shards<u8, Ledger>,
    running: Shards<RequestId, RunHandle>,
    goaway: watch::Receiver<bool>,
}

#[derive(Debug)]
struct RunHandle {
    ended: watch::Sender<bool>,
    cancel: watch::Sender<bool>,
}

impl HandoffServer {
    /// Creates the server of one incarnation of an agent. `key` is derived for this purpose.
    pub fn new(
        own: Incarnation,
        key: Secret,
        service: Arc<Service>,
        siblings: Arc<SiblingClient>,
        goaway: watch::Receiver<bool>,
    ) -> Self {
        let (ledgers, running) = (Shards::new(), Shards::new());
        Self { own, key, service, siblings, ledgers, running, goaway }
    }

    /// Returns the routes for messages of siblings.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route(OFFER_PATH, post(offer))
            .route(FENCE_PATH, post(fence))
            .route(RELAY_PATH, post(relay))
            .layer(DefaultBodyLimit::max(MAX_BYTES))
            .with_state(self.clone())
    }

    async fn offer(self: &Arc<Self>, offer: Offer) -> Result<HandoffReply, StatusCode> {
        self.siblings.record_load(&offer);
        let Offer { request_id, expected, effect, remaining, hold, work, .. } = offer;
        let (parts, body) = conversion::decode_request(work).ok_or(StatusCode::BAD_REQUEST)?;
        let now = self.service.clock().now();
        let state =
            match self.with_ledger(request_id, |ledger| ledger.offer(request_id, expected, now)) {
                OfferResult::Known(state) => state,
                OfferResult::Refused => LedgerState::Gone,
                OfferResult::New => {
                    let request = Request::new(request_id, effect, now + remaining);
                    let mut context =
                        RequestContext::new(request_id, parts, body, now, self.service.limits());
                    (context.effect, context.deadline) = (effect, now + remaining);
                    self.start(request, context);
                    LedgerState::Running
                }
            };
        let state = if state == LedgerState::Running {
            self.wait_for_end(request_id, hold).await
        } else {
            state
        };
        Ok(self.build_reply(state))
    }

    /// Starts the request in its own task, since the connection to the sibling may break while it
    /// runs.
    fn start(
        self: &Arc<Self>,
        request: Request<yuccacroft_core::request::Received>,
        mut context: RequestContext,
    ) {
        let request_id = context.request_id;
        let handle = RunHandle { ended: watch::channel(false).0, cancel: watch::channel(false).0 };
        let cancelled = handle.cancel.subscribe();
        self.running.insert(request_id, handle);
        let slot = match self.acquire_slot(&mut context) {
            Ok(slot) => slot,
            Err(reason) => {
                return self
                    .record_outcome(request_id, &RunOutcome::NotRun(request.refuse(reason)));
            }
        };
        let handoff_server = self.clone();
        tokio::spawn(async move {
            let outcome = handoff_server.execute(request, context, slot, cancelled).await;
            handoff_server.record_outcome(request_id, &outcome);
        });
    }

    fn acquire_slot(&self, context: &mut RequestContext) -> Result<Slot, RefusalReason> {
        if *self.goaway.borrow() {
            return Err(RefusalReason::Leaving);
        }
        let limiter = self.service.limiter();
        context.class = limiter.classify(context.parts.method.as_str(), context.parts.uri.path());
        let RequestContext { request_id, class, now, deadline, .. } = *context;
        match limiter.acquire(SlotRequest {
            request_id,
            class,
            since: now,
            deadline,
            may_wait: false,
        }) {
            AdmissionStatus::Granted(slot) => Ok(slot),
            AdmissionStatus::Refused(reason) => Err(reason),
            // Requests of siblings are never queued.
            AdmissionStatus::Queued(_) => Err(RefusalReason::Overload),
        }
    }

    async fn execute(
        &self,
        request: Request<yuccacroft_core::request::Received>,
        context: RequestContext,
        slot: Slot,
        mut cancelled: watch::Receiver<bool>,
    ) -> RunOutcome {
        let queued = request.queue(context.now);
        let run = self.service.run_for_sibling(queued, context, slot);
        tokio::select! {
            outcome = run => outcome,
            () = wait_until_set(&mut cancelled) => RunOutcome::Unknown,
        }
    }

    async fn fence(&self, fence: Fence) -> HandoffReply {
        let Fence { request_id, expected, age, hold, cancel } = fence;
        let now = self.service.clock().now();
        let mut state =
            self.with_ledger(request_id, |ledger| ledger.fence(request_id, expected, age, now));
        if state == LedgerState::Running && cancel {
            self.running
                .read(&request_id, |handle| handle.map(|handle| handle.cancel.send_replace(true)));
        }
        if state == LedgerState::Running {
            state = self.wait_for_end(request_id, hold).await;
        }
        self.build_reply(state)
    }

    async fn relay(&self, relay: RelayRequest) -> Result<RelayOutcome, StatusCode> {
        if relay.expected != self.own {
            return Ok(RelayOutcome::Unknown);
        }
        let (parts, body) =
            conversion::decode_request(relay.work).ok_or(StatusCode::BAD_REQUEST)?;
        Ok(match self.service.serve_relayed(parts, body, relay.remaining).await {
            Outcome::Answered(answer) => RelayOutcome::Answered((*answer).clone()),
            Outcome::NotRun(refusal) => RelayOutcome::NotRun(refusal.reason()),
            Outcome::Unknown(_) => RelayOutcome::Unknown,
        })
    }

    /// Waits until a request ends, at most for `hold` or [`MAX_HOLD`], and returns its state.
    async fn wait_for_end(&self, request_id: RequestId, hold: Span) -> LedgerState {
        let ended =
            self.running.read(&request_id, |handle| handle.map(|handle| handle.ended.subscribe()));
        if let Some(mut ended) = ended {
            let hold = Duration::from(hold.min(MAX_HOLD));
            let _ = tokio::time::timeout(hold, wait_until_set(&mut ended)).await;
        }
        self.with_ledger(request_id, |ledger| ledger.state(request_id))
    }

    fn record_outcome(&self, request_id: RequestId, outcome: &RunOutcome) {
        let now = self.service.clock().now();
        self.with_ledger(request_id, |ledger| ledger.finish(request_id, outcome, now));
        if let Some(handle) = self.running.remove(&request_id) {
            handle.ended.send_replace(true);
        }
    }

    fn build_reply(&self, state: LedgerState) -> HandoffReply {
        let state = match state {
            LedgerState::Fenced => RequestState::Fenced,
            LedgerState::Running => RequestState::Running,
            LedgerState::Done(answer) => RequestState::Done((*answer).clone()),
            LedgerState::Gone => RequestState::Gone,
        };
        HandoffReply { load: self.service.limiter().load(), state }
    }

    fn with_ledger<R>(&self, request_id: RequestId, update: impl FnOnce(&mut Ledger) -> R) -> R {
        let shard = (request_id.get() % u128::from(SHARD_COUNT)) as u8;
        self.ledgers.update(shard, |ledger| {
            update(ledger.get_or_insert_with(|| Ledger::new(self.own, SHARD_ENTRIES, SHARD_BYTES)))
        })
    }
}

async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    // The sender sets the flag before it is dropped.
    let _ = flag.wait_for(|set| *set).await;
}

type HandlerResult = Result<Vec<u8>, StatusCode>;

async fn offer(
    Shared(handoff_server): Shared<Arc<HandoffServer>>,
    headers: HeaderMap,
    body: Bytes,
) -> HandlerResult {
    let reply = handoff_server
        .offer(server::decode_authenticated(&headers, &handoff_server.key, OFFER_PATH, &body)?)
        .await?;
    message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn fence(
    Shared(handoff_server): Shared<Arc<HandoffServer>>,
    headers: HeaderMap,
    body: Bytes,
) -> HandlerResult {
    let reply = handoff_server
        .fence(server::decode_authenticated(&headers, &handoff_server.key, FENCE_PATH, &body)?)
        .await;
    message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn relay(
    Shared(handoff_server): Shared<Arc<HandoffServer>>,
    headers: HeaderMap,
    body: Bytes,
) -> HandlerResult {
    let outcome = handoff_server
        .relay(server::decode_authenticated(&headers, &handoff_server.key, RELAY_PATH, &body)?)
        .await?;
    message::encode(&outcome).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
