//! A relay without decisions, the baseline of the packet path.

use {
    quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    std::{
        io::{self, IoSliceMut},
        net::SocketAddr,
    },
    tokio::{io::Interest, net::UdpSocket},
};

const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Forwards each datagram unchanged to the sink whose index is its last byte. Consecutive datagrams
/// for one sink are sent in one call if the kernel coalesced them on receipt.
pub struct Relay {
    socket: UdpSocket,
    state: UdpSocketState,
    sinks: Vec<SocketAddr>,
}

impl Relay {
    /// Binds the relay. Must be called within a runtime.
    pub fn bind(sinks: Vec<SocketAddr>) -> Self {
        let (socket, state) = super::load::bind();
        let socket = UdpSocket::from_std(socket).expect("the socket can be registered");
        Self { socket, state, sinks }
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound socket has an address")
    }

    /// Forwards datagrams until the socket fails.
    pub async fn run(&self) {
        let mut storage = vec![0; RECEIVE_BUFFER_BYTES * BATCH_SIZE];
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        while let Ok(count) = self.receive(&mut storage, &mut metas).await {
            for (buffer, meta) in storage.chunks(RECEIVE_BUFFER_BYTES).zip(&metas[..count]) {
                self.forward(&buffer[..meta.len], meta.stride);
            }
        }
    }

    async fn receive(&self, storage: &mut [u8], metas: &mut [RecvMeta]) -> io::Result<usize> {
        let mut chunks = storage.chunks_mut(RECEIVE_BUFFER_BYTES);
        let mut buffers: [_; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let mut read = || self.state.recv(UdpSockRef::from(&self.socket), &mut buffers, metas);
        self.socket.async_io(Interest::READABLE, &mut read).await
    }

    fn forward(&self, mut coalesced: &[u8], stride: usize) {
        while let Some(&sink) = coalesced.get(stride.min(coalesced.len()).wrapping_sub(1)) {
            let same_sink = |datagram: &&[u8]| datagram.last() == Some(&sink);
            let run_bytes: usize =
                coalesced.chunks(stride).take_while(same_sink).map(<[u8]>::len).sum();
            let (contents, rest) = coalesced.split_at(run_bytes);
            let transmit = Transmit {
                destination: self.sinks[usize::from(sink)],
                ecn: None,
                contents,
                segment_size: (run_bytes > stride).then_some(stride),
                src_ip: None,
            };
            // A full send buffer drops datagrams, as it does in the balancer.
            let _ = self.state.try_send(UdpSockRef::from(&self.socket), &transmit);
            coalesced = rest;
        }
    }
}
