//! The fabric: it hands each packet to any balancer, at random.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{net::UdpSocket, task::JoinSet},
    yuccacroft_wire::proxy::{self, Pair},
};

const DATAGRAM_BYTES: usize = 2_048;

/// A fabric in front of some balancers.
#[derive(Debug)]
pub struct Fabric {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    inner: UdpSocket,
    services: Vec<(SocketAddr, UdpSocket)>,
    balancers: Mutex<Vec<SocketAddr>>,
    random: Mutex<StdRng>,
    cut: Mutex<Cut>,
}

/// What the fabric drops, in both directions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cut {
    /// Balancers whose packets are dropped.
    pub balancers: Vec<SocketAddr>,
    /// The share of all packets that is dropped, from 0 to 1.
    pub share: f64,
}

impl Fabric {
    /// Opens the service addresses. Balancers answer to a socket at an address of its own.
    pub async fn start(
        services: &[SocketAddr],
        balancers: Vec<SocketAddr>,
        seed: u64,
    ) -> io::Result<Self> {
        let inner = UdpSocket::bind("127.0.0.1:0").await?;
        let mut sockets = Vec::new();
        for &address in services {
            sockets.push((address, UdpSocket::bind(address).await?));
        }
        let shared = Arc::new(Shared {
            inner,
            services: sockets,
            balancers: Mutex::new(balancers),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            cut: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for index in 0..services.len() {
            let shared = shared.clone();
            tasks.spawn(async move { shared.inbound(index).await });
        }
        let back = shared.clone();
        tasks.spawn(async move { back.outbound().await });
        Ok(Self { shared, tasks })
    }

    /// Replaces the set of balancers.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self.shared.balancers.lock().unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Begins to drop packets, or ends it with an empty cut. The fabric does not notice by itself
    /// and goes on handing packets to balancers that are cut off.
    pub fn set_cut(&self, cut: Cut) {
        *self.shared.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
    }

    /// Returns the number of running directions; it drops when a socket fails.
    pub fn running(&self) -> usize {
        self.tasks.len()
    }
}

impl Shared {
    fn pick(&self) -> Option<SocketAddr> {
        let balancers = self.balancers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        if balancers.is_empty() {
            return None;
        }
        Some(balancers[random.random_range(0..balancers.len())])
    }

    fn drops(&self, balancer: SocketAddr) -> bool {
        let cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        if cut.balancers.contains(&balancer) {
            return true;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        cut.share > 0.0 && random.random_bool(cut.share.min(1.0))
    }

    async fn inbound(&self, index: usize) {
        let (destination, socket) = &self.services[index];
        let (mut buffer, mut out) = ([0; DATAGRAM_BYTES], [0; DATAGRAM_BYTES]);
        loop {
            // Errors of one datagram, such as a refused port, concern only that datagram.
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(balancer) = self.pick() else { continue };
            if self.drops(balancer) {
                continue;
            }
            let pair = Pair { source, destination: *destination };
            if let Ok(length) = proxy::encode(pair, &buffer[..length], &mut out) {
                let _ = self.inner.send_to(&out[..length], balancer).await;
            }
        }
    }

    async fn outbound(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.inner.recv_from(&mut buffer).await else { continue };
            if self.drops(from) {
                continue;
            }
            let Ok((pair, payload)) = proxy::decode(&buffer[..length]) else { continue };
            let service = self.services.iter().find(|(address, _)| *address == pair.source);
            if let Some((_, socket)) = service {
                let _ = socket.send_to(payload, pair.destination).await;
            }
        }
    }
}
