//! Agents without a QUIC front end, each before an upstream that records and holds its requests.

use {
    axum::{
        Router,
        body::Bytes as Body,
        extract::State,
        http::{HeaderMap, Uri},
        response::IntoResponse,
        routing::any,
    },
    bytes::Bytes,
    http::{Request, request::Parts},
    rand::{SeedableRng, rngs::StdRng},
    slog::{Discard, Logger, o},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{Semaphore, mpsc, watch},
    },
    yuccacroft_agent::{
        chain::Limits,
        handoff::HandoffServer,
        limiter::Limiter,
        owner::{self, OwnerCodec},
        records::{Records, SHARD_BOUNDS},
        service::{Outcome, ServeResult, Service, Setup},
        siblings::SiblingClient,
        streaming::StreamingAnswer,
        upstream::UpstreamClient,
    },
    yuccacroft_core::{
        admission::{Gate, Settings},
        flow::Hop,
        ids::{Call, Incarnation, Instance},
        key::Secret,
        time::Span,
        units::Slots,
    },
    yuccacroft_rpc::clock::Clock,
};

/// The path of a feed: one line, and then nothing for ever.
pub const FEED: &str = "/feed";
const SLOTS: u32 = 1;
const WAIT: Span = Span::from_millis(50);
/// Long enough for a busy machine; no test waits for it.
const PATIENCE: Duration = Duration::from_secs(20);

/// One agent with its upstream.
pub struct Rig {
    /// The request path.
    pub service: Arc<Service>,
    /// The offers and retries to siblings.
    pub siblings: Arc<SiblingClient>,
    /// The address and life of the agent.
    pub hop: Hop,
    /// The upstream.
    pub upstream: Upstream,
}

/// An upstream whose requests run until they are released.
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    arrived: mpsc::UnboundedReceiver<Seen>,
    cancelled: mpsc::UnboundedReceiver<Box<str>>,
}

/// A request as the upstream saw it.
pub struct Seen {
    /// Its headers.
    pub headers: HeaderMap,
}

struct Shared {
    runs: Mutex<BTreeMap<Box<str>, u32>>,
    arrived: mpsc::UnboundedSender<Seen>,
    cancelled: mpsc::UnboundedSender<Box<str>>,
    release: Semaphore,
}

/// Tells the test when a request is dropped before its end.
struct Running {
    name: Box<str>,
    shared: Arc<Shared>,
    ended: bool,
}

impl Upstream {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (arrived_in, arrived) = mpsc::unbounded_channel();
        let (cancelled_in, cancelled) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            runs: Mutex::default(),
            arrived: arrived_in,
            cancelled: cancelled_in,
            release: Semaphore::new(0),
        });
        let router = Router::new().fallback(any(run)).with_state(shared.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { address, shared, arrived, cancelled }
    }

    /// Lets `count` requests end.
    pub fn release(&self, count: usize) {
        self.shared.release.add_permits(count);
    }

    /// Waits for the next request.
    pub async fn capsule(&mut self) -> Seen {
        tokio::time::timeout(PATIENCE, self.arrived.recv()).await.unwrap().unwrap()
    }

    /// Waits until a running request is cancelled, and returns its path.
    pub async fn cancellation(&mut self) -> Box<str> {
        tokio::time::timeout(PATIENCE, self.cancelled.recv()).await.unwrap().unwrap()
    }

    /// Returns how often a path ran.
    pub fn runs(&self, path: &str) -> u32 {
        self.shared.runs.lock().unwrap().get(path).copied().unwrap_or(0)
    }
}

impl Rig {
    /// Starts an agent with one slot.
    pub async fn start() -> Self {
        let upstream = Upstream::start().await;
        let address = upstream.address;
        Self::with(upstream, address, |router| router).await
    }

    /// Starts an agent whose upstream cannot be reached.
    pub async fn start_unreachable() -> Self {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        Self::with(Upstream::start().await, closed, |router| router).await
    }

    /// Starts an agent whose routes for siblings are changed by `change`.
    pub async fn start_behind(change: impl FnOnce(Router) -> Router) -> Self {
        let upstream = Upstream::start().await;
        let address = upstream.address;
        Self::with(upstream, address, change).await
    }

    async fn with(
        upstream: Upstream,
        address: SocketAddr,
        change: impl FnOnce(Router) -> Router,
    ) -> Self {
        let (clock, log) = (Clock::new(), Logger::root(Discard, o!()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let SocketAddr::V4(own) = listener.local_addr().unwrap() else { unreachable!() };
        let hop = Hop { instance: Instance::new(own), incarnation: Incarnation::new(7) };
        let gate = Settings { slots: Slots::new(SLOTS), wait: WAIT, warmup: Span::ZERO };
        let limiter = Arc::new(Limiter::new(Gate::new(gate, clock.now()), clock));
        let timed = limiter.clone();
        tokio::spawn(async move { timed.run().await });
        let (owner, handoff) = (Secret::new([1; 32]), Secret::new([2; 32]));
        let random = StdRng::seed_from_u64(1);
        let siblings =
            SiblingClient::new(hop, handoff.clone(), random, limiter.clone(), log.clone());
        let siblings = Arc::new(siblings);
        let limits = Limits { deadline: Span::from_secs(10) };
        let service = Arc::new(Service::new(Setup {
            limiter,
            records: Arc::new(Records::new(SHARD_BOUNDS, clock)),
            owner_codec: Arc::new(OwnerCodec::new(&owner, hop)),
            siblings: siblings.clone(),
            upstream: UpstreamClient::new(address),
            clock,
            limits: watch::channel(limits).1,
            log,
        }));
        let leave = watch::channel(false).1;
        let host =
            HandoffServer::new(hop.incarnation, handoff, service.clone(), siblings.clone(), leave);
        let router = change(Arc::new(host).router());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { service, siblings, hop, upstream }
    }

    /// Serves a request and reads its whole answer.
    pub async fn serve(&self, parts: Parts, body: &'static [u8]) -> Outcome {
        serve(self.service.clone(), parts, body).await
    }

    /// Serves a request in a task of its own.
    pub fn spawn(&self, parts: Parts, body: &'static [u8]) -> tokio::task::JoinHandle<Outcome> {
        tokio::spawn(serve(self.service.clone(), parts, body))
    }

    /// Returns the owner header of an answer to `parts` that arrives now.
    pub fn owner(&self, parts: &Parts) -> http::HeaderValue {
        self.service.owner(parts, self.service.clock().now())
    }
}

/// Builds the head of a request with a key.
pub fn keyed(path: &str, key: &str) -> Parts {
    let request = Request::post(path).header("idempotency-key", key);
    request.body(()).unwrap().into_parts().0
}

/// Builds the head of a request without a key.
pub fn plain(path: &str) -> Parts {
    Request::post(path).body(()).unwrap().into_parts().0
}

/// Adds the owner of a key, as a caller does in a retry.
pub fn owned(mut parts: Parts, owner: http::HeaderValue) -> Parts {
    parts.headers.insert(owner::HEADER, owner);
    parts
}

/// Opens an answer that keeps coming.
pub async fn open(rig: &Rig, path: &str) -> StreamingAnswer {
    let parts = Request::get(path).body(()).unwrap().into_parts().0;
    match rig.service.serve(Call::new(rand::random()), parts, Bytes::new()).await {
        ServeResult::Streaming(streaming) => *streaming,
        ServeResult::Complete(outcome) => panic!("no answer: {outcome:?}"),
    }
}

async fn serve(service: Arc<Service>, parts: Parts, body: &'static [u8]) -> Outcome {
    let call = Call::new(rand::random());
    match service.serve(call, parts, Bytes::from_static(body)).await {
        ServeResult::Complete(outcome) => outcome,
        ServeResult::Streaming(streaming) => match streaming.collect(1 << 20).await {
            Ok(answer) => Outcome::Answered(answer),
            Err(unknown) => Outcome::Unknown(unknown),
        },
    }
}

async fn run(
    State(shared): State<Arc<Shared>>,
    uri: Uri,
    headers: HeaderMap,
    _: Body,
) -> axum::response::Response {
    let name: Box<str> = uri.path().into();
    if &*name == FEED {
        let first = futures::stream::iter([Ok::<_, std::io::Error>(Body::from_static(b"line"))]);
        let feed = futures::StreamExt::chain(first, futures::stream::pending());
        return axum::response::Response::new(axum::body::Body::from_stream(feed));
    }
    *shared.runs.lock().unwrap().entry(name.clone()).or_default() += 1;
    let mut running = Running { name: name.clone(), shared: shared.clone(), ended: false };
    let _ = shared.arrived.send(Seen { headers });
    shared.release.acquire().await.unwrap().forget();
    running.ended = true;
    format!("ran {name}").into_response()
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.shared.cancelled.send(self.name.clone());
        }
    }
}
