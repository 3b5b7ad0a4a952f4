//! The host that a process runs on: sockets, HTTP servers and clocks.
//!
//! The segment front end does all its input and output through these traits and the store client.
//! The same processes therefore run on a real machine and in an emulation of many machines in
//! virtual time.

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
    yuccacroft_core::{ids::Incarnation, time::Span, upstream::ConnectResult},
    yuccacroft_rpc::clock,
};

/// Timeout of a TCP connection to the upstream on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The network and the clock of a machine.
pub trait Host: Clone + Debug + Send + Sync + 'static {
    /// A UDP socket of the host.
    type Socket: Socket;

    /// Binds a socket. `name` is the name of the socket in the settings, used in errors and
    /// metrics.
    fn bind(&self, name: &'static str, address: SocketAddrV4) -> Result<Self::Socket>;

    /// Binds a TCP listener and serves `routes` on it until the server is dropped.
    fn serve(
        &self,
        name: &'static str,
        address: SocketAddrV4,
        routes: Router,
        log: &Logger,
    ) -> impl Future<Output = Result<Server>> + Send;

    /// Checks whether a process on the machine accepts TCP connections at an address.
    fn check_port(&self, address: SocketAddrV4) -> impl Future<Output = ConnectResult> + Send;

    /// Returns the Unix time of the wall clock, which may jump.
    fn wall_clock(&self) -> Span;

    /// Returns the time since the machine started. It never jumps, and it includes the time for which
    /// the machine was suspended, which the timers of the runtime do not count.
    fn boot_clock(&self) -> Span;

    /// Returns a seed for a random number generator.
    fn seed(&self) -> u64;

    /// Returns the incarnation of a process that starts now: the wall clock in milliseconds. It is
    /// below that of an earlier process if the clock was set back in between.
    fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.wall_clock().as_millis())
    }

    /// Binds a socket to an unused port and connects it to one peer.
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
    /// Connects the socket to one peer, so that the system reports a closed port there.
    fn connect(self, peer: SocketAddrV4) -> impl Future<Output = Result<Self>> + Send;

    /// Receives datagrams in a loop that does not return and passes each to `on_datagram`, which
    /// may modify the bytes. `on_error` gets the errors that the system reports instead of a
    /// datagram.
    fn receive(
        &self,
        on_datagram: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        on_error: impl FnMut(io::Error) + Send,
    ) -> impl Future<Output = ()> + Send;

    /// Sends a datagram, or drops it when the send buffer is full. The endpoints of the flow
    /// retransmit lost segments.
    fn send(&self, datagram: &[u8], to: SocketAddrV4);

    /// Sends a datagram to the peer of a connected socket. Returns false if the system reports
    /// that the peer's port is closed.
    fn send_connected(&self, datagram: &[u8]) -> bool;
}

/// An HTTP server that stops when it is dropped.
#[derive(Debug)]
pub struct Server(JoinHandle<()>);

/// The host of the operating system: real sockets, HTTP servers and clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemHost;

impl Server {
    /// Creates a server from the task that serves connections.
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }

    /// Stops the server. Its address is free when this returns.
    pub async fn shutdown(mut self) {
        self.0.abort();
        // The result is always the cancellation error of the aborted task.
        let _ = (&mut self.0).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Host for SystemHost {
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
                error!(log, "server failed"; "socket" => name, "cause" => %cause);
            }
        })))
    }

    async fn check_port(&self, address: SocketAddrV4) -> ConnectResult {
        match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => ConnectResult::Connected,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ConnectResult::Refused
            }
            // The caller logs the change of the upstream's liveness that results from this.
            Ok(Err(_)) | Err(_) => ConnectResult::Silent,
        }
    }

    fn wall_clock(&self) -> Span {
        clock::wall_clock()
    }

    fn boot_clock(&self) -> Span {
        clock::boot_clock()
    }

    fn seed(&self) -> u64 {
        rand::random()
    }
}
