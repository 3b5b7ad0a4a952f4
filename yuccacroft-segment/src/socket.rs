//! UDP sockets that are read in batches.

use {
    crate::{
        errors::{Error, Result},
        host::Socket,
    },
    std::{
        io,
        net::{SocketAddr, SocketAddrV4},
    },
    tokio::net::UdpSocket,
};

/// Longest datagram that is read, in bytes: a segment and the head of a message.
const DATAGRAM_BYTES: usize = 2_048;
/// Datagrams that are read in a row, after which other tasks get their turn.
const BATCH: usize = 64;
/// Receive buffer of a socket: the datagrams of a burst that wait while the process has no
/// processor time.
const RECEIVE_BYTES: usize = 1 << 20;
const DROPPED: &str = "yuccacroft_segment_send_errors_total";

/// A UDP socket with its name in the settings.
#[derive(Debug)]
pub struct BatchedSocket {
    name: &'static str,
    socket: UdpSocket,
}

impl BatchedSocket {
    /// Opens a socket at an address.
    pub fn bind(name: &'static str, address: SocketAddrV4) -> Result<Self> {
        let open = || -> io::Result<UdpSocket> {
            let socket = socket2::Socket::new(
                socket2::Domain::IPV4,
                socket2::Type::DGRAM,
                Some(socket2::Protocol::UDP),
            )?;
            // A smaller buffer works too, and some systems refuse to change it.
            if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BYTES) {
                metrics::counter!("yuccacroft_segment_buffer_refusals_total", "cause" => error.kind().to_string()).increment(1);
            }
            socket.set_nonblocking(true)?;
            socket.bind(&SocketAddr::from(address).into())?;
            UdpSocket::from_std(socket.into())
        };
        Ok(Self { name, socket: open().map_err(Error::socket(name))? })
    }

    fn count(&self, error: &io::Error) {
        let cause = error.kind().to_string();
        metrics::counter!(DROPPED, "socket" => self.name, "cause" => cause).increment(1);
    }
}

impl Socket for BatchedSocket {
    async fn connect(self, peer: SocketAddrV4) -> Result<Self> {
        self.socket.connect(peer).await.map_err(Error::socket(self.name))?;
        Ok(self)
    }

    async fn receive(
        &self,
        mut take: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        mut failed: impl FnMut(io::Error) + Send,
    ) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            if let Err(error) = self.socket.readable().await {
                failed(error);
                continue;
            }
            for _ in 0..BATCH {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, SocketAddr::V4(from))) => take(&mut buffer[..length], from),
                    Ok((_, SocketAddr::V6(_))) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => failed(error),
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(datagram, to.into()) {
            self.count(&error);
        }
    }

    fn send_connected(&self, datagram: &[u8]) -> bool {
        match self.socket.try_send(datagram) {
            Ok(_) => true,
            Err(error) => {
                self.count(&error);
                error.kind() != io::ErrorKind::ConnectionRefused
            }
        }
    }
}
