//! Client side of the hand-off between agents of one service.

use {
    crate::{conversion, limiter::Limiter},
    bytes::Bytes,
    http::request::Parts,
    metrics::counter,
    rand::rngs::StdRng,
    slog::{Logger, debug},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    yuccacroft_core::{
        admission::peers::Peers,
        fence::FenceProof,
        flow::AgentId,
        idempotency::Answer,
        ids::RequestId,
        key::Secret,
        request::{Offered, Queued, Request, Unknown},
        time::{Moment, Span},
    },
    yuccacroft_rpc::{client::Client, errors::Error},
    yuccacroft_wire::handoff::{
        FENCE_PATH, Fence, HandoffReply, OFFER_PATH, Offer, RELAY_PATH, RelayOutcome, RelayRequest,
        RequestState,
    },
};

/// Time for which a sibling may hold back its reply while the request runs.
const REPLY_HOLD: Span = Span::from_millis(200);
/// Time after which a reply counts as lost. It exceeds [`REPLY_HOLD`] by the delay between failure
/// domains and a scheduling pause.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
const FENCE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Number of consecutive fences without a reply after which the sibling is given up.
const MAX_UNANSWERED_FENCES: u32 = 4;

/// Offers and relays requests to the siblings of one agent, which are the other agents of its
/// service.
#[derive(Debug)]
pub struct SiblingClient {
    own: AgentId,
    key: Secret,
    client: Client,
    peers: Mutex<Peers<StdRng>>,
    limiter: Arc<Limiter>,
    log: Logger,
}

/// Result of an offer to a sibling.
#[derive(Debug)]
pub enum OfferOutcome {
    /// The sibling ran the request and answered.
    Answered(Answer),
    /// The sibling did not run the request, or the request is idempotent. It has to be queued
    /// again.
    Returned(Request<Queued>),
    /// The request may have run and must not run again.
    Unknown(Unknown),
}

/// Cancels an offered request at the sibling when dropped before the outcome of the offer is known,
/// as happens when the caller cancels or disconnects.
struct CancelGuard {
    siblings: Arc<SiblingClient>,
    agent_id: AgentId,
    fence: Fence,
    sent_at: Moment,
    is_armed: bool,
}

impl SiblingClient {
    /// Creates the client of an agent. `key` is derived for this purpose.
    pub fn new(
        own: AgentId,
        key: Secret,
        random: StdRng,
        limiter: Arc<Limiter>,
        log: Logger,
    ) -> Self {
        let peers = Mutex::new(Peers::new(random));
        Self { own, key, client: Client::new(REPLY_TIMEOUT), peers, limiter, log }
    }

    /// Replaces the siblings by those of the latest announcement.
    pub fn set_siblings(&self, agent_ids: &[AgentId]) {
        let others: Vec<_> =
            agent_ids.iter().copied().filter(|agent_id| *agent_id != self.own).collect();
        self.peers().replace(&others);
    }

    /// Returns a sibling that may have a free slot and is not in `tried`.
    pub fn pick(&self, tried: &[AgentId]) -> Option<AgentId> {
        self.peers().pick(tried, self.limiter.now())
    }

    /// Releases a picked sibling without an offer.
    pub fn release_pick(&self, agent_id: AgentId) {
        self.peers().offer_ended(agent_id);
    }

    /// Records the load that an offer of a sibling carries.
    pub fn record_load(&self, offer: &Offer) {
        self.peers().record_load(offer.sender, offer.load, true, self.limiter.now());
    }

    /// Offers a request to a sibling and waits until its outcome is known.
    pub async fn offer(
        self: &Arc<Self>,
        agent_id: AgentId,
        request: Request<Queued>,
        parts: &Parts,
        body: &Bytes,
    ) -> OfferOutcome {
        let now = self.limiter.now();
        let remaining = request.remaining(now);
        let request = request.offer(agent_id, now);
        let offer = Offer {
            request_id: request.request_id(),
            expected: agent_id.incarnation,
            sender: self.own,
            load: self.limiter.load(),
            effect: request.effect(),
            remaining,
            hold: REPLY_HOLD,
            work: conversion::encode_request(parts, body),
        };
        let mut guard = CancelGuard::new(self.clone(), agent_id, request.request_id(), now);
        let first = self.call(&self.client, agent_id, OFFER_PATH, &offer).await;
        let state = match first {
            Err(Error::Unreachable(_)) => {
                self.peers().record_silence(agent_id, self.limiter.now());
                Some(RequestState::Fenced)
            }
            Err(Error::Refused(status)) if status.is_client_error() => Some(RequestState::Fenced),
            Err(_) => None,
            Ok(reply) => Some(self.record_reply(agent_id, reply)),
        };
        let state = self.resolve_offer(agent_id, &request, state).await;
        guard.is_armed = false;
        self.peers().offer_ended(agent_id);
        self.conclude_offer(agent_id, request, state)
    }

    /// Relays a retry to the agent that owns its key.
    pub async fn relay(
        &self,
        agent_id: AgentId,
        remaining: Span,
        parts: &Parts,
        body: &Bytes,
    ) -> RelayOutcome {
        let work = conversion::encode_request(parts, body);
        let relay = RelayRequest { expected: agent_id.incarnation, remaining, work };
        let client = Client::new(remaining.into());
        let address = SocketAddr::V4(agent_id.instance.address());
        let outcome = client.call(address, RELAY_PATH, &self.key, &relay).await;
        outcome.unwrap_or(RelayOutcome::Unknown)
    }

    /// Sends fences until the request is no longer running, too many fences stay unanswered, or the
    /// deadline passes.
    async fn resolve_offer(
        &self,
        agent_id: AgentId,
        request: &Request<Offered>,
        first: Option<RequestState>,
    ) -> RequestState {
        let mut state = first;
        let mut unanswered = 0;
        loop {
            match state {
                Some(RequestState::Running) | None => {}
                Some(state) => return state,
            }
            let now = self.limiter.now();
            if request.remaining(now) == Span::ZERO || unanswered >= MAX_UNANSWERED_FENCES {
                return RequestState::Gone;
            }
            let fence = Fence {
                request_id: request.request_id(),
                expected: agent_id.incarnation,
                age: request.age(now),
                hold: REPLY_HOLD.min(request.remaining(now)),
                cancel: false,
            };
            // The pooled connection may be broken, so after a lost reply a new one is used.
            let client =
                if state.is_none() { Client::new(REPLY_TIMEOUT) } else { self.client.clone() };
            state = match self.call::<_, HandoffReply>(&client, agent_id, FENCE_PATH, &fence).await
            {
                Ok(reply) => {
                    unanswered = 0;
                    Some(self.record_reply(agent_id, reply))
                }
                Err(error) => {
                    debug!(self.log, "fence failed"; "error" => %error, "call" => %fence.request_id);
                    unanswered += 1;
                    tokio::time::sleep(FENCE_RETRY_PAUSE).await;
                    None
                }
            };
            if state.is_none() {
                self.peers().record_silence(agent_id, self.limiter.now());
            }
        }
    }

    fn conclude_offer(
        &self,
        agent_id: AgentId,
        request: Request<Offered>,
        state: RequestState,
    ) -> OfferOutcome {
        let (outcome, result) = match state {
            RequestState::Done(answer) => {
                let _answered = request.answer(self.limiter.now());
                ("answered", OfferOutcome::Answered(answer))
            }
            RequestState::Fenced => {
                let proof = FenceProof::new(request.request_id(), agent_id);
                let returned = request.requeue_fenced(proof);
                ("fenced", returned.map_or_else(OfferOutcome::Unknown, OfferOutcome::Returned))
            }
            RequestState::Running | RequestState::Gone => {
                let returned = request.retry();
                ("gone", returned.map_or_else(OfferOutcome::Unknown, OfferOutcome::Returned))
            }
        };
        counter!("yuccacroft_handoffs_total", "outcome" => outcome).increment(1);
        result
    }

    fn record_reply(&self, agent_id: AgentId, reply: HandoffReply) -> RequestState {
        let has_free_slot = reply.state != RequestState::Fenced;
        self.peers().record_load(agent_id, reply.load, has_free_slot, self.limiter.now());
        reply.state
    }

    async fn call<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
        &self,
        client: &Client,
        agent_id: AgentId,
        path: &str,
        query: &Q,
    ) -> yuccacroft_rpc::errors::Result<A> {
        client.call(SocketAddr::V4(agent_id.instance.address()), path, &self.key, query).await
    }

    fn peers(&self) -> MutexGuard<'_, Peers<StdRng>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CancelGuard {
    fn new(
        siblings: Arc<SiblingClient>,
        agent_id: AgentId,
        request_id: RequestId,
        sent_at: Moment,
    ) -> Self {
        let (expected, hold) = (agent_id.incarnation, Span::ZERO);
        let fence = Fence { request_id, expected, age: Span::ZERO, hold, cancel: true };
        Self { siblings, agent_id, fence, sent_at, is_armed: true }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let (siblings, agent_id, mut fence) = (self.siblings.clone(), self.agent_id, self.fence);
        siblings.peers().offer_ended(agent_id);
        fence.age = siblings.limiter.now().since(self.sent_at);
        tokio::spawn(async move {
            // If the cancellation is lost, the request runs until its deadline.
            let _ = siblings
                .call::<_, HandoffReply>(&siblings.client, agent_id, FENCE_PATH, &fence)
                .await;
        });
    }
}
