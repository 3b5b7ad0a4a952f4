//! The serving side of the hand-off: requests of siblings run here.

use {
    crate::{
        answer,
        chain::Item,
        limiter::{Entry, Slot},
        service::{Outcome, Service},
        siblings::Siblings,
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
        fence::{Ledger, OfferResult, State as Known},
        ids::{Incarnation, RequestId},
        key::Secret,
        record::RunOutcome,
        request::{Reason, Request},
        shards::Shards,
        time::Span,
        units::{Count, Size},
    },
    yuccacroft_rpc::server,
    yuccacroft_wire::{
        handoff::{
            FENCE_PATH, Fence, MAX_BYTES, OFFER_PATH, Offer, RELAY_PATH, Relay, Relayed, Reply,
            State,
        },
        message,
    },
};

const PARTS: u8 = 16;
/// Requests of siblings that each part of the ledger remembers, 65,536 (10 MB) over all parts.
const PART_ROOM: Count = Count::new(4_096);
/// Answers that each part keeps for siblings, 32 MB over all parts.
const PART_BYTES: Size = Size::new(2 << 20);
const LONGEST_HOLD: Span = Span::from_secs(1);

/// Serves offers, fences and relayed retries of siblings.
pub struct Host {
    own: Incarnation,
    key: Secret,
    service: Arc<Service>,
    siblings: Arc<Siblings>,
    ledgers: Shards<u8, Ledger>,
    runs: Shards<RequestId, Run>,
    leave: watch::Receiver<bool>,
}

#[derive(Debug)]
struct Run {
    ended: watch::Sender<bool>,
    cancel: watch::Sender<bool>,
}

impl Host {
    /// Creates the serving side of one life of an agent. `key` is derived for this purpose.
    pub fn new(
        own: Incarnation,
        key: Secret,
        service: Arc<Service>,
        siblings: Arc<Siblings>,
        leave: watch::Receiver<bool>,
    ) -> Self {
        let (ledgers, runs) = (Shards::new(), Shards::new());
        Self { own, key, service, siblings, ledgers, runs, leave }
    }

    /// Returns the routes of messages from siblings.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route(OFFER_PATH, post(offer))
            .route(FENCE_PATH, post(fence))
            .route(RELAY_PATH, post(relay))
            .layer(DefaultBodyLimit::max(MAX_BYTES))
            .with_state(self.clone())
    }

    async fn offer(self: &Arc<Self>, offer: Offer) -> Result<Reply, StatusCode> {
        self.siblings.heard(&offer);
        let Offer { call, expected, effect, remaining, hold, work, .. } = offer;
        let (parts, body) = answer::unpack(work).ok_or(StatusCode::BAD_REQUEST)?;
        let now = self.service.clock().now();
        let seen = match self.ledger(call, |ledger| ledger.offer(call, expected, now)) {
            OfferResult::Known(known) => known,
            OfferResult::Refused => Known::Gone,
            OfferResult::New => {
                let request = Request::new(call, effect, now + remaining);
                let mut item = Item::new(call, parts, body, now, self.service.limits());
                (item.effect, item.deadline) = (effect, now + remaining);
                self.begin(request, item);
                Known::Running
            }
        };
        let seen = if seen == Known::Running { self.hold(call, hold).await } else { seen };
        Ok(self.reply(seen))
    }

    /// Starts the request in a task of its own, since its connection may break while it runs.
    fn begin(
        self: &Arc<Self>,
        request: Request<yuccacroft_core::request::Received>,
        mut item: Item,
    ) {
        let call = item.call;
        let run = Run { ended: watch::channel(false).0, cancel: watch::channel(false).0 };
        let cancelled = run.cancel.subscribe();
        self.runs.insert(call, run);
        let slot = match self.slot(&mut item) {
            Ok(slot) => slot,
            Err(reason) => return self.settle(call, &RunOutcome::NotRun(request.refuse(reason))),
        };
        let host = self.clone();
        tokio::spawn(async move {
            let end = host.execute(request, item, slot, cancelled).await;
            host.settle(call, &end);
        });
    }

    fn slot(&self, item: &mut Item) -> Result<Slot, Reason> {
        if *self.leave.borrow() {
            return Err(Reason::Leaving);
        }
        let limiter = self.service.limiter();
        item.class = limiter.classify(item.parts.method.as_str(), item.parts.uri.path());
        let Item { call, class, now, deadline, .. } = *item;
        match limiter.ask(SlotRequest { call, class, since: now, deadline, may_wait: false }) {
            Entry::Started(slot) => Ok(slot),
            Entry::Refused(reason) => Err(reason),
            // The gate lets no request of a sibling wait.
            Entry::Waiting(_) => Err(Reason::Overload),
        }
    }

    async fn execute(
        &self,
        request: Request<yuccacroft_core::request::Received>,
        item: Item,
        slot: Slot,
        mut cancelled: watch::Receiver<bool>,
    ) -> RunOutcome {
        let queued = request.queue(item.now);
        let run = self.service.execute(queued, item, slot);
        tokio::select! {
            end = run => end,
            () = is_set(&mut cancelled) => RunOutcome::Unknown,
        }
    }

    async fn fence(&self, fence: Fence) -> Reply {
        let Fence { call, expected, age, hold, cancel } = fence;
        let now = self.service.clock().now();
        let mut known = self.ledger(call, |ledger| ledger.fence(call, expected, age, now));
        if known == Known::Running && cancel {
            self.runs.read(&call, |run| run.map(|run| run.cancel.send_replace(true)));
        }
        if known == Known::Running {
            known = self.hold(call, hold).await;
        }
        self.reply(known)
    }

    async fn relay(&self, relay: Relay) -> Result<Relayed, StatusCode> {
        if relay.expected != self.own {
            return Ok(Relayed::Unknown);
        }
        let (parts, body) = answer::unpack(relay.work).ok_or(StatusCode::BAD_REQUEST)?;
        Ok(match self.service.whole(parts, body, relay.remaining).await {
            Outcome::Answered(answer) => Relayed::Answered((*answer).clone()),
            Outcome::NotRun(refusal) => Relayed::NotRun(refusal.reason()),
            Outcome::Unknown(_) => Relayed::Unknown,
        })
    }

    /// Waits until a request ends, at most for `hold`, and returns its state.
    async fn hold(&self, call: RequestId, hold: Span) -> Known {
        let ended = self.runs.read(&call, |run| run.map(|run| run.ended.subscribe()));
        if let Some(mut ended) = ended {
            let hold = Duration::from(hold.min(LONGEST_HOLD));
            let _ = tokio::time::timeout(hold, is_set(&mut ended)).await;
        }
        self.ledger(call, |ledger| ledger.state(call))
    }

    fn settle(&self, call: RequestId, end: &RunOutcome) {
        let now = self.service.clock().now();
        self.ledger(call, |ledger| ledger.settle(call, end, now));
        if let Some(run) = self.runs.remove(&call) {
            run.ended.send_replace(true);
        }
    }

    fn reply(&self, known: Known) -> Reply {
        let state = match known {
            Known::Fenced => State::Fenced,
            Known::Running => State::Running,
            Known::Done(answer) => State::Done((*answer).clone()),
            Known::Gone => State::Gone,
        };
        Reply { load: self.service.limiter().load(), state }
    }

    fn ledger<R>(&self, call: RequestId, act: impl FnOnce(&mut Ledger) -> R) -> R {
        let part = (call.get() % u128::from(PARTS)) as u8;
        self.ledgers.update(part, |ledger| {
            act(ledger.get_or_insert_with(|| Ledger::new(self.own, PART_ROOM, PART_BYTES)))
        })
    }
}

async fn is_set(flag: &mut watch::Receiver<bool>) {
    // A sender that is gone has set the flag before.
    let _ = flag.wait_for(|set| *set).await;
}

type Answered = Result<Vec<u8>, StatusCode>;

async fn offer(Shared(host): Shared<Arc<Host>>, headers: HeaderMap, body: Bytes) -> Answered {
    let reply = host.offer(server::open(&headers, &host.key, OFFER_PATH, &body)?).await?;
    message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn fence(Shared(host): Shared<Arc<Host>>, headers: HeaderMap, body: Bytes) -> Answered {
    let reply = host.fence(server::open(&headers, &host.key, FENCE_PATH, &body)?).await;
    message::encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn relay(Shared(host): Shared<Arc<Host>>, headers: HeaderMap, body: Bytes) -> Answered {
    let relayed = host.relay(server::open(&headers, &host.key, RELAY_PATH, &body)?).await?;
    message::encode(&relayed).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
