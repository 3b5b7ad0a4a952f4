//! HTTP/1.1 upstream that counts the requests it ran.

use {
    axum::{
        Router,
        body::{Body, Bytes},
        extract::{Path, State},
        http::HeaderMap,
        response::Response,
        routing::{get, post},
    },
    futures::stream,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// The request header whose value names a reservation in the counts.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// One chunk of an answer of `/pack`.
pub const PACK_CHUNK: [u8; 16 << 10] = [b'p'; 16 << 10];

/// A running upstream with its counts.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    name: Box<str>,
    /// Processing time of one reservation.
    service_time: Duration,
    runs: Mutex<BTreeMap<Box<str>, u32>>,
    board: watch::Sender<u64>,
    /// Number of `/board` streams opened so far.
    opened_boards: AtomicU32,
}

impl Upstream {
    /// Starts an upstream that takes `service_time` for each reservation. It returns `name` as the
    /// answer to `/who`.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        service_time: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (board, _) = watch::channel(0);
        let runs = Mutex::new(BTreeMap::new());
        let shared = Arc::new(Shared {
            name: name.into(),
            service_time,
            runs,
            board,
            opened_boards: AtomicU32::new(0),
        });
        let router = Router::new()
            .route("/reserve", post(reserve))
            .route("/board", get(stream_board))
            .route("/pack/{chunks}", get(stream_pack))
            .route("/pack/{chunks}/{pause}", get(stream_slow_pack))
            .route("/who", get(send_name))
            .with_state(shared.clone());
        let server = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often each reservation ran, by its idempotency key.
    pub fn runs(&self) -> BTreeMap<Box<str>, u32> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of `/board` streams opened so far.
    pub fn opened_boards(&self) -> u32 {
        self.shared.opened_boards.load(Ordering::SeqCst)
    }

    /// Sends a new line on all open `/board` streams.
    pub fn update_board(&self, line: u64) {
        self.shared.board.send_replace(line);
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn reserve(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> String {
    let key =
        headers.get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok()).unwrap_or("unnamed");
    {
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.into()).or_default() += 1;
    }
    tokio::time::sleep(shared.service_time).await;
    format!("reserved {key} with {} bytes", body.len())
}

async fn send_name(State(shared): State<Arc<Shared>>) -> String {
    shared.name.to_string()
}

/// Streams the current line and then each new one until the caller closes the stream.
async fn stream_board(State(shared): State<Arc<Shared>>) -> Response {
    shared.opened_boards.fetch_add(1, Ordering::SeqCst);
    let receiver = shared.board.subscribe();
    let lines = stream::unfold((receiver, true), |(mut receiver, first)| async move {
        if !first && receiver.changed().await.is_err() {
            return None;
        }
        let line = *receiver.borrow_and_update();
        let chunk = Ok::<_, io::Error>(Bytes::from(format!("board {line}\n")));
        Some((chunk, (receiver, false)))
    });
    Response::new(Body::from_stream(lines))
}

async fn stream_pack(Path(chunks): Path<u32>) -> Response {
    let chunks = (0..chunks).map(|_| Ok::<_, io::Error>(Bytes::from_static(&PACK_CHUNK)));
    Response::new(Body::from_stream(stream::iter(chunks)))
}

/// Streams chunks with a pause, in milliseconds, before each.
async fn stream_slow_pack(Path((chunks, pause)): Path<(u32, u64)>) -> Response {
    let pause = Duration::from_millis(pause);
    let chunks = stream::unfold(chunks, move |left| async move {
        let left = left.checked_sub(1)?;
        tokio::time::sleep(pause).await;
        Some((Ok::<_, io::Error>(Bytes::from_static(&PACK_CHUNK)), left))
    });
    Response::new(Body::from_stream(chunks))
}
