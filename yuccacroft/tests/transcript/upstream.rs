//! An upstream that records its messages and delays answers to `/slow` until the test allows them.

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

/// An upstream in a separate runtime, so that it and all its connections can be ended at once.
pub struct Upstream {
    address: SocketAddr,
    state: SharedState,
    runtime: Option<Runtime>,
}

#[derive(Clone)]
struct SharedState {
    transcript: Transcript,
    request_count: watch::Sender<u32>,
    released: watch::Sender<bool>,
    board: watch::Sender<u32>,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(transcript: &Transcript) -> Self {
        let state = SharedState {
            transcript: transcript.clone(),
            request_count: watch::channel(0).0,
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
        let router = Router::new().fallback(answer).with_state(state.clone());
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            axum::serve(listener, router).await
        });
        Self { address, state, runtime: Some(runtime) }
    }

    /// Returns the address at which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until at least `count` requests have arrived.
    pub async fn wait_for_requests(&self, count: u32) {
        let mut request_count = self.state.request_count.subscribe();
        request_count.wait_for(|request_count| *request_count >= count).await.unwrap();
    }

    /// Allows answers to all slow requests.
    pub fn release(&self) {
        self.state.released.send_replace(true);
    }

    /// Sends the line with this number to all open boards.
    pub fn update_board(&self, line: u32) {
        self.state.board.send_replace(line);
    }

    /// Ends the upstream and its connections at once.
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

/// Answers a request after recording it.
async fn answer(
    State(state): State<SharedState>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let head = format!("{method} {}", uri.path());
    state.transcript.add_message("upstream receives", &head, &headers, &body);
    state.request_count.send_modify(|request_count| *request_count += 1);
    if uri.path() == "/board" {
        state.transcript.add_message("upstream sends", "200 OK", &HeaderMap::new(), b"(a board)");
        return board_response(&state);
    }
    if uri.path() == "/slow" {
        let mut released = state.released.subscribe();
        let _ = released.wait_for(|released| *released).await;
    }
    let text = format!("done: {}", String::from_utf8_lossy(&body));
    state.transcript.add_message("upstream sends", "200 OK", &HeaderMap::new(), text.as_bytes());
    Response::new(Body::from(text))
}

/// Returns a streaming response with the current board line and each later one.
fn board_response(state: &SharedState) -> Response {
    let lines = stream::unfold((state.board.subscribe(), true), |(mut board, first)| async move {
        if !first && board.changed().await.is_err() {
            return None;
        }
        let line = *board.borrow_and_update();
        Some((Ok::<_, io::Error>(Bytes::from(format!("board {line}\n"))), (board, false)))
    });
    Response::new(Body::from_stream(lines))
}
