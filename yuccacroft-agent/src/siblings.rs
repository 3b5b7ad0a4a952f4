//! The calling side of the hand-off between agents of one service.

use {
    crate::{answer, limiter::Limiter},
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
        flow::Hop,
        ids::RequestId,
        key::Secret,
        record::Answer,
        request::{Offered, Queued, Request, Unknown},
        time::{Moment, Span},
    },
    yuccacroft_rpc::{client::Client, errors::Error},
    yuccacroft_wire::handoff::{
        FENCE_PATH, Fence, OFFER_PATH, Offer, RELAY_PATH, Relay, Relayed, Reply, State,
    },
};

/// Time for which a sibling may hold a reply back while the request runs.
const HOLD: Span = Span::from_millis(200);
/// Time after which a reply counts as lost. It exceeds the hold by the delay between failure
/// domains and a pause of the scheduler.
const TIMEOUT: Duration = Duration::from_millis(600);
const FENCE_PAUSE: Duration = Duration::from_millis(50);
/// Fences without a reply before the sibling is given up.
const FENCES: u32 = 4;

/// The siblings of one agent and the connections to them.
#[derive(Debug)]
pub struct Siblings {
    own: Hop,
    key: Secret,
    client: Client,
    peers: Mutex<Peers<StdRng>>,
    limiter: Arc<Limiter>,
    log: Logger,
}

/// What became of an offer.
#[derive(Debug)]
pub enum Settled {
    /// The sibling answered.
    Answered(Answer),
    /// The sibling did not run it, and it waits again.
    Back(Request<Queued>),
    /// Nobody knows whether it ran.
    Unknown(Unknown),
}

/// Cancels an offered request when its caller goes away.
struct Guard {
    siblings: Arc<Siblings>,
    hop: Hop,
    fence: Fence,
    sent: Moment,
    open: bool,
}

impl Siblings {
    /// Creates the calling side of an agent. `key` is derived for this purpose.
    pub fn new(own: Hop, key: Secret, random: StdRng, limiter: Arc<Limiter>, log: Logger) -> Self {
        let peers = Mutex::new(Peers::new(random));
        Self { own, key, client: Client::new(TIMEOUT), peers, limiter, log }
    }

    /// Takes the siblings of the latest announcement.
    pub fn replace(&self, hops: &[Hop]) {
        let others: Vec<_> = hops.iter().copied().filter(|hop| *hop != self.own).collect();
        self.peers().replace(&others);
    }

    /// Returns a sibling that may have a free slot.
    pub fn pick(&self, tried: &[Hop]) -> Option<Hop> {
        self.peers().pick(tried, self.limiter.now())
    }

    /// Notes that a sibling is not offered the request for which it was picked.
    pub fn spare(&self, hop: Hop) {
        self.peers().offer_ended(hop);
    }

    /// Notes the load that an offer of a sibling carried.
    pub fn heard(&self, offer: &Offer) {
        self.peers().record_load(offer.sender, offer.load, true, self.limiter.now());
    }

    /// Offers a request to a sibling and stays with it until it is settled.
    pub async fn offer(
        self: &Arc<Self>,
        hop: Hop,
        request: Request<Queued>,
        parts: &Parts,
        body: &Bytes,
    ) -> Settled {
        let now = self.limiter.now();
        let remaining = request.remaining(now);
        let request = request.offer(hop, now);
        let offer = Offer {
            call: request.call(),
            expected: hop.incarnation,
            sender: self.own,
            load: self.limiter.load(),
            effect: request.effect(),
            remaining,
            hold: HOLD,
            work: answer::pack(parts, body),
        };
        let mut guard = Guard::new(self.clone(), hop, request.call(), now);
        let first = self.call(&self.client, hop, OFFER_PATH, &offer).await;
        let state = match first {
            Err(Error::Unreachable(_)) => {
                self.peers().record_silence(hop, self.limiter.now());
                Some(State::Fenced)
            }
            Err(Error::Refused(status)) if status.is_client_error() => Some(State::Fenced),
            Err(_) => None,
            Ok(reply) => Some(self.note(hop, reply)),
        };
        let state = self.settle(hop, &request, state).await;
        guard.open = false;
        self.peers().offer_ended(hop);
        self.conclude(hop, request, state)
    }

    /// Sends a retry to the agent that its key belongs to.
    pub async fn relay(&self, hop: Hop, remaining: Span, parts: &Parts, body: &Bytes) -> Relayed {
        let work = answer::pack(parts, body);
        let relay = Relay { expected: hop.incarnation, remaining, work };
        let client = Client::new(remaining.into());
        let address = SocketAddr::V4(hop.instance.address());
        let relayed = client.call(address, RELAY_PATH, &self.key, &relay).await;
        relayed.unwrap_or(Relayed::Unknown)
    }

    /// Asks until the request is no longer running, a reply does not come, or time is up.
    async fn settle(&self, hop: Hop, request: &Request<Offered>, first: Option<State>) -> State {
        let mut state = first;
        let mut silent = 0;
        loop {
            match state {
                Some(State::Running) | None => {}
                Some(state) => return state,
            }
            let now = self.limiter.now();
            if request.remaining(now) == Span::ZERO || silent >= FENCES {
                return State::Gone;
            }
            let fence = Fence {
                call: request.call(),
                expected: hop.incarnation,
                age: request.age(now),
                hold: HOLD.min(request.remaining(now)),
                cancel: false,
            };
            // The pooled connection may have gone silent, so a lost reply is asked for on a new one.
            let client = if state.is_none() { Client::new(TIMEOUT) } else { self.client.clone() };
            state = match self.call::<_, Reply>(&client, hop, FENCE_PATH, &fence).await {
                Ok(reply) => {
                    silent = 0;
                    Some(self.note(hop, reply))
                }
                Err(error) => {
                    debug!(self.log, "fence_failed"; "error" => %error, "call" => %fence.call);
                    silent += 1;
                    tokio::time::sleep(FENCE_PAUSE).await;
                    None
                }
            };
            if state.is_none() {
                self.peers().record_silence(hop, self.limiter.now());
            }
        }
    }

    fn conclude(&self, hop: Hop, request: Request<Offered>, state: State) -> Settled {
        let (outcome, settled) = match state {
            State::Done(answer) => {
                let _answered = request.answer(self.limiter.now());
                ("answered", Settled::Answered(answer))
            }
            State::Fenced => {
                let proof = FenceProof::new(request.call(), hop);
                let back = request.requeue_fenced(proof);
                ("fenced", back.map_or_else(Settled::Unknown, Settled::Back))
            }
            State::Running | State::Gone => {
                let back = request.retry();
                ("gone", back.map_or_else(Settled::Unknown, Settled::Back))
            }
        };
        counter!("yuccacroft_handoffs_total", "outcome" => outcome).increment(1);
        settled
    }

    fn note(&self, hop: Hop, reply: Reply) -> State {
        let room = reply.state != State::Fenced;
        self.peers().record_load(hop, reply.load, room, self.limiter.now());
        reply.state
    }

    async fn call<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
        &self,
        client: &Client,
        hop: Hop,
        path: &str,
        query: &Q,
    ) -> yuccacroft_rpc::errors::Result<A> {
        client.call(SocketAddr::V4(hop.instance.address()), path, &self.key, query).await
    }

    fn peers(&self) -> MutexGuard<'_, Peers<StdRng>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Guard {
    fn new(siblings: Arc<Siblings>, hop: Hop, call: RequestId, sent: Moment) -> Self {
        let (expected, hold) = (hop.incarnation, Span::ZERO);
        let fence = Fence { call, expected, age: Span::ZERO, hold, cancel: true };
        Self { siblings, hop, fence, sent, open: true }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let (siblings, hop, mut fence) = (self.siblings.clone(), self.hop, self.fence);
        siblings.peers().offer_ended(hop);
        fence.age = siblings.limiter.now().since(self.sent);
        tokio::spawn(async move {
            // A cancellation that is lost leaves the request to its deadline.
            let _ = siblings.call::<_, Reply>(&siblings.client, hop, FENCE_PATH, &fence).await;
        });
    }
}
