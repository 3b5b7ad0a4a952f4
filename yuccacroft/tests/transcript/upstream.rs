//! An upstream that notes what it receives and answers when the test lets it.

use {
    super::Transcript,
    axum::{
        Router,
        body::{Body, Bytes},
        extract::State,
        http::{HeaderMap, Method, Uri},
        response::Response,
    },
    futures::stream,
    std::{io, net::SocketAddr},
    tokio::{net::TcpListener, runtime::Runtime, sync::watch},
};

/// An upstream in a runtime of its own, so that it can end at once with all its connections.
pub struct Upstream {
    address: SocketAddr,
    shared: Shared,
    runtime: Option<Runtime>,
}

#[derive(Clone)]
struct Shared {
    transcript: Transcript,
    started: watch::Sender<u32>,
    released: watch::Sender<bool>,
    board: watch::Sender<u32>,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(transcript: &Transcript) -> Self {
        let shared = Shared {
            transcript: transcript.clone(),
            started: watch::channel(0).0,
            released: watch::channel(false).0,
            board: watch::channel(0).0,
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let router = Router::new().fallback(answer).with_state(shared.clone());
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            axum::serve(listener, router).await
        });
        Self { address, shared, runtime: Some(runtime) }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until a number of requests has arrived.
    pub async fn received(&self, count: u32) {
        let mut started = self.shared.started.subscribe();
        started.wait_for(|started| *started >= count).await.unwrap();
    }

    /// Lets all slow requests end.
    pub fn release(&self) {
        self.shared.released.send_replace(true);
    }

    /// Sends a line to all open boards.
    pub fn update_board(&self, line: u32) {
        self.shared.board.send_replace(line);
    }

    /// Ends the upstream at once.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn answer(
    State(shared): State<Shared>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let head = format!("{method} {}", uri.path());
    shared.transcript.message("upstream receives", &head, &headers, &body);
    shared.started.send_modify(|started| *started += 1);
    if uri.path() == "/board" {
        shared.transcript.message("upstream sends", "200 OK", &HeaderMap::new(), b"(a board)");
        return board(&shared);
    }
    if uri.path() == "/slow" {
        let mut released = shared.released.subscribe();
        let _ = released.wait_for(|released| *released).await;
    }
    let text = format!("done: {}", String::from_utf8_lossy(&body));
    shared.transcript.message("upstream sends", "200 OK", &HeaderMap::new(), text.as_bytes());
    Response::new(Body::from(text))
}

fn board(shared: &Shared) -> Response {
    let lines = stream::unfold((shared.board.subscribe(), true), |(mut board, first)| async move {
        if !first && board.changed().await.is_err() {
            return None;
        }
        let line = *board.borrow_and_update();
        Some((Ok::<_, io::Error>(Bytes::from(format!("board {line}\n"))), (board, false)))
    });
    Response::new(Body::from_stream(lines))
}
