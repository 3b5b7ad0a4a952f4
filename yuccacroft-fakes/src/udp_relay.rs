//! UDP relay between one client and one server that can delay the answers of the server, as a full
//! link does.

use {
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::UdpSocket, task::JoinSet},
};

const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Changes an answer before it is forwarded. Answers without a result are dropped.
pub type Translation = Box<dyn Fn(&[u8]) -> Option<Vec<u8>> + Send + Sync>;

/// Forwards the datagrams of one client to a server, and the answers of the server to the client.
#[derive(Debug)]
pub struct UdpRelay {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    client_side: UdpSocket,
    server_side: UdpSocket,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The address from which the client sent its last datagram.
    client: Option<SocketAddr>,
    answer_delay: Duration,
}

impl UdpRelay {
    /// Starts a relay that receives the datagrams of its client at `address`.
    pub async fn start(
        address: SocketAddr,
        server: SocketAddr,
        translation: Translation,
    ) -> io::Result<Self> {
        let server_side = UdpSocket::bind((address.ip(), 0)).await?;
        server_side.connect(server).await?;
        let client_side = UdpSocket::bind(address).await?;
        let shared = Arc::new(Shared { client_side, server_side, state: Mutex::default() });
        let mut tasks = JoinSet::new();
        let requests = shared.clone();
        tasks.spawn(async move { requests.forward_requests().await });
        let answers = shared.clone();
        tasks.spawn(async move { answers.forward_answers(translation).await });
        Ok(Self { shared, _tasks: tasks })
    }

    /// Sets the delay of the answers that arrive from now on.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.shared.with_state(|state| state.answer_delay = delay);
    }
}

impl Shared {
    fn with_state<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        update(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn forward_requests(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // A receive error reports an earlier datagram that could not be delivered.
            let Ok((length, client)) = self.client_side.recv_from(&mut buffer).await else {
                continue;
            };
            self.with_state(|state| state.client = Some(client));
            // Datagrams may be lost, here as on a network.
            let _ = self.server_side.send(&buffer[..length]).await;
        }
    }

    async fn forward_answers(self: Arc<Self>, translate: Translation) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        // Dropping the set drops the answers that are still delayed.
        let mut delayed = JoinSet::new();
        loop {
            let Ok(length) = self.server_side.recv(&mut buffer).await else { continue };
            let Some(answer) = translate(&buffer[..length]) else { continue };
            let (client, delay) = self.with_state(|state| (state.client, state.answer_delay));
            let Some(client) = client else { continue };
            let shared = self.clone();
            delayed.spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = shared.client_side.send_to(&answer, client).await;
            });
            while delayed.try_join_next().is_some() {}
        }
    }
}
