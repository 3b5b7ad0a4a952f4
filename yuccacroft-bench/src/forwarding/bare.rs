//! A relay that decides nothing: the baseline of the packet path.

use {
    quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    std::{
        io::{self, IoSliceMut},
        net::SocketAddr,
    },
    tokio::{io::Interest, net::UdpSocket},
};

const SLOT_BYTES: usize = 64 << 10;

/// It sends each datagram, unchanged, to the sink that its last byte names. Datagrams in a row for
/// one sink leave in one call, as far as the kernel joined them on receipt.
pub struct Relay {
    socket: UdpSocket,
    state: UdpSocketState,
    sinks: Vec<SocketAddr>,
}

impl Relay {
    /// Binds within a runtime.
    pub fn bind(sinks: Vec<SocketAddr>) -> Self {
        let (socket, state) = super::load::bind();
        let socket = UdpSocket::from_std(socket).expect("the runtime takes a socket");
        Self { socket, state, sinks }
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound socket has an address")
    }

    /// Relays until the socket fails.
    pub async fn run(&self) {
        let mut storage = vec![0; SLOT_BYTES * BATCH_SIZE];
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        while let Ok(count) = self.receive(&mut storage, &mut metas).await {
            for (slot, meta) in storage.chunks(SLOT_BYTES).zip(&metas[..count]) {
                self.pass(&slot[..meta.len], meta.stride);
            }
        }
    }

    async fn receive(&self, storage: &mut [u8], metas: &mut [RecvMeta]) -> io::Result<usize> {
        let mut slots = storage.chunks_mut(SLOT_BYTES);
        let mut buffers: [_; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(slots.next().unwrap_or_default()));
        let mut read = || self.state.recv(UdpSockRef::from(&self.socket), &mut buffers, metas);
        self.socket.async_io(Interest::READABLE, &mut read).await
    }

    fn pass(&self, mut joined: &[u8], stride: usize) {
        while let Some(&sink) = joined.get(stride.min(joined.len()).wrapping_sub(1)) {
            let same = |datagram: &&[u8]| datagram.last() == Some(&sink);
            let run: usize = joined.chunks(stride).take_while(same).map(<[u8]>::len).sum();
            let (contents, rest) = joined.split_at(run);
            let transmit = Transmit {
                destination: self.sinks[usize::from(sink)],
                ecn: None,
                contents,
                segment_size: (run > stride).then_some(stride),
                src_ip: None,
            };
            // A full buffer drops datagrams, as it does for the balancer.
            let _ = self.state.try_send(UdpSockRef::from(&self.socket), &transmit);
            joined = rest;
        }
    }
}
