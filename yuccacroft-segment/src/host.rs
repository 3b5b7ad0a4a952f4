//! What a process needs of the machine that it runs on: sockets, HTTP servers and the wall clock.
//!
//! All input and output of the segment front end passes here and through the store, so that the
//! same processes run on a machine and inside an emulation of many machines in virtual time.

use {
    crate::{
        errors::{Error, Result},
        socket::BatchedSocket,
    },
    axum::Router,
    slog::{Logger, error},
    std::{
        fmt::Debug,
        future::Future,
        io,
        net::{Ipv4Addr, SocketAddrV4},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
    yuccacroft_core::{ids::Incarnation, time::Span, upstream::Check},
    yuccacroft_rpc::clock,
};

/// Time for a connection to the upstream on the same machine.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// A machine.
pub trait Host: Clone + Debug + Send + Sync + 'static {
    /// Its UDP sockets.
    type Socket: Socket;

    /// Opens a socket. `name` is the one in the settings.
    fn bind(&self, name: &'static str, address: SocketAddrV4) -> Result<Self::Socket>;

    /// Opens a listener and serves `routes` there until the server is dropped.
    fn serve(
        &self,
        name: &'static str,
        address: SocketAddrV4,
        routes: Router,
        log: &Logger,
    ) -> impl Future<Output = Result<Server>> + Send;

    /// Checks whether something accepts connections at an address of the machine.
    fn check_port(&self, address: SocketAddrV4) -> impl Future<Output = Check> + Send;

    /// Returns the wall clock since the Unix epoch. It may jump.
    fn wall_clock(&self) -> Span;

    /// Returns a seed for the random choices of one part of a process.
    fn seed(&self) -> u64;

    /// Returns the incarnation of a process that starts now.
    fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.wall_clock().as_millis())
    }

    /// Opens a socket at any port that sends to one peer only.
    fn connect(
        &self,
        name: &'static str,
        peer: SocketAddrV4,
    ) -> impl Future<Output = Result<Self::Socket>> + Send {
        async move {
            let any = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
            self.bind(name, any)?.connect(peer).await
        }
    }
}

/// A UDP socket.
pub trait Socket: Sized + Debug + Send + Sync + 'static {
    /// Limits the socket to one peer, so that a port that nobody listens at is reported.
    fn connect(self, peer: SocketAddrV4) -> impl Future<Output = Result<Self>> + Send;

    /// Reads datagrams for ever and hands each to `take`, which may change the bytes. `failed`
    /// learns of errors that the system reports in place of a datagram.
    fn receive(
        &self,
        take: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        failed: impl FnMut(io::Error) + Send,
    ) -> impl Future<Output = ()> + Send;

    /// Sends a datagram, or drops it when the socket has no room: a sender of the flow repeats it.
    fn send(&self, datagram: &[u8], to: SocketAddrV4);

    /// Sends a datagram to the peer of a connected socket. Returns false when the system says that
    /// nobody listens there.
    fn send_connected(&self, datagram: &[u8]) -> bool;
}

/// An HTTP server that ends when it is dropped.
#[derive(Debug)]
pub struct Server(JoinHandle<()>);

/// The machine on which this program runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine;

impl Server {
    /// Wraps the task that serves.
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }

    /// Ends the server. Its address is free when this returns.
    pub async fn shutdown(mut self) {
        self.0.abort();
        // The error says that it was ended.
        let _ = (&mut self.0).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Host for Machine {
    type Socket = BatchedSocket;

    fn bind(&self, name: &'static str, address: SocketAddrV4) -> Result<BatchedSocket> {
        BatchedSocket::bind(name, address)
    }

    async fn serve(
        &self,
        name: &'static str,
        address: SocketAddrV4,
        routes: Router,
        log: &Logger,
    ) -> Result<Server> {
        let listener = TcpListener::bind(address).await.map_err(Error::socket(name))?;
        let log = log.clone();
        Ok(Server::new(tokio::spawn(async move {
            if let Err(cause) = axum::serve(listener, routes).await {
                error!(log, "server ended"; "socket" => name, "cause" => %cause);
            }
        })))
    }

    async fn check_port(&self, address: SocketAddrV4) -> Check {
        match tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => Check::Connected,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Check::Refused,
            // The caller logs the verdict that follows from this.
            Ok(Err(_)) | Err(_) => Check::Silent,
        }
    }

    fn wall_clock(&self) -> Span {
        clock::wall()
    }

    fn seed(&self) -> u64 {
        rand::random()
    }
}
