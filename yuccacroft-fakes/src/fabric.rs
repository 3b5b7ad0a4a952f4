//! Fabric that forwards each packet to a random balancer.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{net::UdpSocket, task::JoinSet},
    yuccacroft_wire::proxy::{self, AddressPair},
};

/// Size of the receive buffers.
const DATAGRAM_BYTES: usize = 2_048;

/// A running fabric in front of a set of balancers.
#[derive(Debug)]
pub struct Fabric {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    /// Exchanges packets with the balancers.
    balancer_socket: UdpSocket,
    /// The service addresses, with the sockets that callers send to.
    services: Vec<(SocketAddr, UdpSocket)>,
    balancers: Mutex<Vec<SocketAddr>>,
    random: Mutex<StdRng>,
    packet_loss: Mutex<PacketLoss>,
}

/// The packets that the fabric drops, in both directions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PacketLoss {
    /// Balancers all of whose packets are dropped.
    pub balancers: Vec<SocketAddr>,
    /// The probability that any other packet is dropped, from 0 to 1.
    pub rate: f64,
}

impl Fabric {
    /// Binds the service addresses and starts to forward packets. Balancers send their packets to a
    /// separate socket. The seed determines all random choices.
    pub async fn start(
        services: &[SocketAddr],
        balancers: Vec<SocketAddr>,
        seed: u64,
    ) -> io::Result<Self> {
        let balancer_socket = UdpSocket::bind("127.0.0.1:0").await?;
        let mut sockets = Vec::new();
        for &address in services {
            sockets.push((address, UdpSocket::bind(address).await?));
        }
        let shared = Arc::new(Shared {
            balancer_socket,
            services: sockets,
            balancers: Mutex::new(balancers),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            packet_loss: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for index in 0..services.len() {
            let shared = shared.clone();
            tasks.spawn(async move { shared.forward_inbound(index).await });
        }
        let reverse = shared.clone();
        tasks.spawn(async move { reverse.forward_outbound().await });
        Ok(Self { shared, tasks })
    }

    /// Replaces the set of balancers.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self.shared.balancers.lock().unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Sets the packets to drop; the default drops none. The fabric does not detect unreachable
    /// balancers and keeps sending packets to them.
    pub fn set_packet_loss(&self, packet_loss: PacketLoss) {
        *self.shared.packet_loss.lock().unwrap_or_else(PoisonError::into_inner) = packet_loss;
    }

    /// Returns the number of tasks that forward packets: one per service address, and one for packets
    /// from balancers. It falls when one of them ends.
    pub fn running_tasks(&self) -> usize {
        self.tasks.len()
    }
}

impl Shared {
    fn pick_balancer(&self) -> Option<SocketAddr> {
        let balancers = self.balancers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        if balancers.is_empty() {
            return None;
        }
        Some(balancers[random.random_range(0..balancers.len())])
    }

    fn should_drop(&self, balancer: SocketAddr) -> bool {
        let packet_loss = self.packet_loss.lock().unwrap_or_else(PoisonError::into_inner);
        if packet_loss.balancers.contains(&balancer) {
            return true;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        packet_loss.rate > 0.0 && random.random_bool(packet_loss.rate.min(1.0))
    }

    async fn forward_inbound(&self, index: usize) {
        let (destination, socket) = &self.services[index];
        let (mut buffer, mut out) = ([0; DATAGRAM_BYTES], [0; DATAGRAM_BYTES]);
        loop {
            // An error such as a refused port affects only one datagram.
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(balancer) = self.pick_balancer() else { continue };
            if self.should_drop(balancer) {
                continue;
            }
            let pair = AddressPair { source, destination: *destination };
            if let Ok(length) = proxy::encode(pair, &buffer[..length], &mut out) {
                let _ = self.balancer_socket.send_to(&out[..length], balancer).await;
            }
        }
    }

    async fn forward_outbound(&self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.balancer_socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.should_drop(from) {
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
