//! UDP relay in front of a server that can delay its answers to some clients, as a full link of a
//! client does.

use {
    std::{
        collections::HashMap,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::UdpSocket, task::JoinSet},
};

const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Changes an answer before it is forwarded. Answers without a result are dropped.
pub type Translation = Box<dyn Fn(&[u8]) -> Option<Vec<u8>> + Send + Sync>;

/// Forwards the datagrams of clients to a server, and each answer of the server to the client that
/// it is for.
#[derive(Debug)]
pub struct UdpRelay {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

struct Shared {
    client_side: UdpSocket,
    server: SocketAddr,
    translate: Translation,
    /// The delay of the answers to each client machine.
    answer_delays: Mutex<HashMap<IpAddr, Duration>>,
}

impl UdpRelay {
    /// Starts a relay that receives the datagrams of clients at `address`.
    pub async fn start(
        address: SocketAddr,
        server: SocketAddr,
        translate: Translation,
    ) -> io::Result<Self> {
        let client_side = UdpSocket::bind(address).await?;
        let answer_delays = Mutex::default();
        let shared = Arc::new(Shared { client_side, server, translate, answer_delays });
        let mut tasks = JoinSet::new();
        tasks.spawn(shared.clone().forward_requests(address.ip()));
        Ok(Self { shared, _tasks: tasks })
    }

    /// Sets the delay of the answers to the clients on a machine that arrive from now on.
    pub fn set_answer_delay(&self, machine: IpAddr, delay: Duration) {
        self.shared.answer_delays().insert(machine, delay);
    }
}

impl Shared {
    fn answer_delays(&self) -> MutexGuard<'_, HashMap<IpAddr, Duration>> {
        self.answer_delays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn forward_requests(self: Arc<Self>, ip: IpAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut server_sides = HashMap::<SocketAddr, Arc<UdpSocket>>::new();
        // Dropping the set ends the tasks with the relay.
        let mut answers = JoinSet::new();
        loop {
            // A receive error reports an earlier datagram that could not be delivered.
            let Ok((length, client)) = self.client_side.recv_from(&mut buffer).await else {
                continue;
            };
            let server_side = match server_sides.get(&client) {
                Some(server_side) => server_side.clone(),
                None => {
                    let Ok(server_side) = self.connect(ip).await else { continue };
                    let server_side = Arc::new(server_side);
                    answers.spawn(self.clone().forward_answers(server_side.clone(), client));
                    server_sides.insert(client, server_side.clone());
                    server_side
                }
            };
            // Datagrams may be lost, here as on a network.
            let _ = server_side.send(&buffer[..length]).await;
        }
    }

    /// Opens a socket for the datagrams of one client.
    async fn connect(&self, ip: IpAddr) -> io::Result<UdpSocket> {
        let server_side = UdpSocket::bind((ip, 0)).await?;
        server_side.connect(self.server).await?;
        Ok(server_side)
    }

    async fn forward_answers(self: Arc<Self>, server_side: Arc<UdpSocket>, client: SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        // Dropping the set drops the answers that are still delayed.
        let mut delayed = JoinSet::new();
        loop {
            let Ok(length) = server_side.recv(&mut buffer).await else { continue };
            let Some(answer) = (self.translate)(&buffer[..length]) else { continue };
            let delay = self.answer_delays().get(&client.ip()).copied().unwrap_or_default();
            let shared = self.clone();
            delayed.spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = shared.client_side.send_to(&answer, client).await;
            });
            while delayed.try_join_next().is_some() {}
        }
    }
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("server", &self.server).finish_non_exhaustive()
    }
}
