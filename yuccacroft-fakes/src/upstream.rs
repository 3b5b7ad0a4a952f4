//! An upstream: an HTTP/1.1 server that records what it ran.

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

/// The request header that names a run in the record.
pub const RUN: &str = "idempotency-key";

/// One chunk of a pack.
pub const PACK_CHUNK: [u8; 16 << 10] = [b'p'; 16 << 10];

/// An upstream with its record of runs.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    name: Box<str>,
    work: Duration,
    runs: Mutex<BTreeMap<Box<str>, u32>>,
    board: watch::Sender<u64>,
    boards: AtomicU32,
}

impl Upstream {
    /// Starts an upstream whose requests take `work` each.
    pub async fn start(name: &str, address: SocketAddr, work: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (board, _) = watch::channel(0);
        let runs = Mutex::new(BTreeMap::new());
        let shared =
            Arc::new(Shared { name: name.into(), work, runs, board, boards: AtomicU32::new(0) });
        let router = Router::new()
            .route("/reserve", post(reserve))
            .route("/board", get(board_feed))
            .route("/pack/{chunks}", get(pack))
            .route("/pack/{chunks}/{pause}", get(slow_pack))
            .route("/who", get(who))
            .with_state(shared.clone());
        let server = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often each named request ran here.
    pub fn runs(&self) -> BTreeMap<Box<str>, u32> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how many boards were opened so far.
    pub fn boards(&self) -> u32 {
        self.shared.boards.load(Ordering::SeqCst)
    }

    /// Sends a line to all open boards.
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
    let run = headers.get(RUN).and_then(|value| value.to_str().ok()).unwrap_or("unnamed");
    {
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(run.into()).or_default() += 1;
    }
    tokio::time::sleep(shared.work).await;
    format!("reserved {run} with {} bytes", body.len())
}

async fn who(State(shared): State<Arc<Shared>>) -> String {
    shared.name.to_string()
}

/// Sends each board line as it changes and never ends by itself.
async fn board_feed(State(shared): State<Arc<Shared>>) -> Response {
    shared.boards.fetch_add(1, Ordering::SeqCst);
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

async fn pack(Path(chunks): Path<u32>) -> Response {
    let chunks = (0..chunks).map(|_| Ok::<_, io::Error>(Bytes::from_static(&PACK_CHUNK)));
    Response::new(Body::from_stream(stream::iter(chunks)))
}

/// Sends a pack in chunks with a pause of so many milliseconds before each.
async fn slow_pack(Path((chunks, pause)): Path<(u32, u64)>) -> Response {
    let pause = Duration::from_millis(pause);
    let chunks = stream::unfold(chunks, move |left| async move {
        let left = left.checked_sub(1)?;
        tokio::time::sleep(pause).await;
        Some((Ok::<_, io::Error>(Bytes::from_static(&PACK_CHUNK)), left))
    });
    Response::new(Body::from_stream(chunks))
}
