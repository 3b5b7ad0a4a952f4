//! UDP sockets that are read and written in batches.

use {
    crate::errors::{Error, Result},
    quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    socket2::{Domain, Protocol, Socket as RawSocket, Type},
    std::{
        io::{self, IoSliceMut},
        net::SocketAddr,
    },
    tokio::{io::Interest, net::UdpSocket},
};

/// Receive buffer of one slot of a batch; the kernel may join datagrams of one sender.
pub(crate) const SLOT_BYTES: usize = 64 << 10;
/// Kernel buffer of a socket in bytes, asked for so that bursts of a few milliseconds fit.
const SOCKET_BYTES: usize = 4 << 20;

/// A UDP socket with batched receive.
#[derive(Debug)]
pub struct BatchedSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchedSocket {
    /// Binds a socket. It must be called within a tokio runtime.
    pub fn bind(name: &'static str, address: SocketAddr) -> Result<Self> {
        Self::open(address).map_err(|cause| Error::Socket { name, cause })
    }

    fn open(address: SocketAddr) -> io::Result<Self> {
        let raw = RawSocket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        // The kernel may grant less; that is no fault.
        let _ = raw.set_recv_buffer_size(SOCKET_BYTES);
        let _ = raw.set_send_buffer_size(SOCKET_BYTES);
        raw.set_nonblocking(true)?;
        raw.bind(&address.into())?;
        let socket = UdpSocket::from_std(raw.into())?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        Ok(Self { socket, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends datagrams of `segment` bytes each, the last one possibly shorter, and returns how
    /// many were lost. A datagram is lost when the kernel's buffer is full: waiting would hold up
    /// all flows, and callers send again.
    pub fn send_run(&self, joined: &[u8], segment: usize, target: SocketAddr) -> usize {
        let several = joined.len() > segment;
        if several
            && self.state.max_gso_segments() > 1
            && self.send(joined, Some(segment), target).is_ok()
        {
            return 0;
        }
        let single = |datagram: &&[u8]| self.send(datagram, None, target).is_err();
        joined.chunks(segment).filter(single).count()
    }

    fn send(
        &self,
        contents: &[u8],
        segment_size: Option<usize>,
        destination: SocketAddr,
    ) -> io::Result<()> {
        let transmit = Transmit { destination, ecn: None, contents, segment_size, src_ip: None };
        self.state.try_send(UdpSockRef::from(&self.socket), &transmit)
    }

    /// Waits for datagrams and reads a batch of them into slots of `SLOT_BYTES` bytes.
    pub(crate) async fn receive(
        &self,
        storage: &mut [u8],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        let mut slots = storage.chunks_mut(SLOT_BYTES);
        let mut buffers: [_; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(slots.next().unwrap_or_default()));
        let mut read = || self.state.recv(UdpSockRef::from(&self.socket), &mut buffers, metas);
        self.socket.async_io(Interest::READABLE, &mut read).await
    }
}
