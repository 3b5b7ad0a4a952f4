//! UDP sockets that are read in batches.

use {
    crate::{
        errors::{Error, Result},
        host::Socket,
    },
    std::{
        io,
        net::{SocketAddr, SocketAddrV4},
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// Length of the receive buffer: a segment with its header and a message header fit.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Datagrams that are received before the task yields to other tasks.
const BATCH_SIZE: usize = 64;
/// Time without receiving after the wait for datagrams has failed, since such an error can last.
pub const ERROR_BACKOFF: Duration = Duration::from_millis(100);
/// Kernel receive buffer of a socket. It holds the datagrams of a burst while the process is not
/// scheduled.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Metric: number of datagrams that could not be sent, labelled with socket and cause.
const SEND_ERRORS_METRIC: &str = "yuccacroft_segment_send_errors_total";

/// A UDP socket that is read in batches.
#[derive(Debug)]
pub struct BatchedSocket {
    /// The name of the socket in the settings.
    name: &'static str,
    socket: UdpSocket,
}

impl BatchedSocket {
    /// Binds a socket to an address. It must be called within a tokio runtime.
    pub fn bind(name: &'static str, address: SocketAddrV4) -> Result<Self> {
        let bind = || -> io::Result<UdpSocket> {
            let socket = socket2::Socket::new(
                socket2::Domain::IPV4,
                socket2::Type::DGRAM,
                Some(socket2::Protocol::UDP),
            )?;
            // A smaller buffer works too, and some systems reject a change of its size.
            if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
                metrics::counter!("yuccacroft_segment_buffer_refusals_total", "cause" => error.kind().to_string()).increment(1);
            }
            socket.set_nonblocking(true)?;
            socket.bind(&SocketAddr::from(address).into())?;
            UdpSocket::from_std(socket.into())
        };
        Ok(Self { name, socket: bind().map_err(Error::socket(name))? })
    }

    fn count_send_error(&self, error: &io::Error) {
        let cause = error.kind().to_string();
        metrics::counter!(SEND_ERRORS_METRIC, "socket" => self.name, "cause" => cause).increment(1);
    }
}

impl Socket for BatchedSocket {
    async fn connect(self, peer: SocketAddrV4) -> Result<Self> {
        self.socket.connect(peer).await.map_err(Error::socket(self.name))?;
        Ok(self)
    }

    async fn receive(
        &self,
        mut on_datagram: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        mut on_error: impl FnMut(io::Error) + Send,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Err(error) = self.socket.readable().await {
                on_error(error);
                tokio::time::sleep(ERROR_BACKOFF).await;
                continue;
            }
            for _ in 0..BATCH_SIZE {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, SocketAddr::V4(from))) => on_datagram(&mut buffer[..length], from),
                    Ok((_, SocketAddr::V6(_))) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => on_error(error),
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(datagram, to.into()) {
            self.count_send_error(&error);
        }
    }

    fn send_connected(&self, datagram: &[u8]) -> bool {
        match self.socket.try_send(datagram) {
            Ok(_) => true,
            Err(error) => {
                self.count_send_error(&error);
                error.kind() != io::ErrorKind::ConnectionRefused
            }
        }
    }
}
