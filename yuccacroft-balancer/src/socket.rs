//! UDP sockets that are read and written in batches.

use {
    crate::errors::Result,
    quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    socket2::{Domain, Protocol, Socket as RawSocket, Type},
    std::{
        io::{self, IoSliceMut},
        net::SocketAddr,
    },
    tokio::{io::Interest, net::UdpSocket},
    yuccacroft_rpc::errors::SocketError,
};

/// Length of the receive buffer of one batch slot; the kernel may join datagrams of one sender in
/// it.
pub(crate) const SLOT_BYTES: usize = 64 << 10;
/// Requested size of the kernel buffers of a socket, which holds bursts of a few milliseconds.
const KERNEL_BUFFER_BYTES: usize = 4 << 20;

/// A UDP socket that is read and written in batches.
#[derive(Debug)]
pub struct BatchedSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchedSocket {
    /// Binds a socket to an address. It must be called within a tokio runtime.
    pub fn bind(name: &'static str, address: SocketAddr) -> Result<Self> {
        Ok(Self::try_bind(address).map_err(SocketError::with_name(name))?)
    }

    fn try_bind(address: SocketAddr) -> io::Result<Self> {
        let raw_socket =
            RawSocket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        // The kernel may grant a smaller buffer, which works too.
        let _ = raw_socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES);
        let _ = raw_socket.set_send_buffer_size(KERNEL_BUFFER_BYTES);
        raw_socket.set_nonblocking(true)?;
        raw_socket.bind(&address.into())?;
        let socket = UdpSocket::from_std(raw_socket.into())?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        Ok(Self { socket, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends datagrams of `segment_size` bytes each, the last one possibly shorter, and returns how
    /// many were lost. A datagram is lost when the kernel's buffer is full: waiting would delay all
    /// flows, and callers retransmit.
    pub fn send_run(&self, datagrams: &[u8], segment_size: usize, target: SocketAddr) -> usize {
        let has_several = datagrams.len() > segment_size;
        if has_several
            && self.state.max_gso_segments() > 1
            && self.send(datagrams, Some(segment_size), target).is_ok()
        {
            return 0;
        }
        let is_lost = |datagram: &&[u8]| self.send(datagram, None, target).is_err();
        datagrams.chunks(segment_size).filter(is_lost).count()
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

    /// Waits for datagrams and receives a batch of them into slots of `SLOT_BYTES` bytes.
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
