//! A host with a virtual clock and sockets whose datagrams a test delivers.

#![allow(dead_code, reason = "each test file uses a part of the module")]

use {
    super::fakes::peer,
    axum::Router,
    slog::Logger,
    std::{
        collections::VecDeque,
        io,
        net::SocketAddrV4,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
    yuccacroft_core::{time::Span, upstream::ConnectResult},
    yuccacroft_segment::{
        errors::Result as StartResult,
        host::{Host, Server, Socket},
    },
};

/// A host that has nothing but a clock, which the test advances.
#[derive(Clone, Debug, Default)]
pub struct ClockHost(Arc<AtomicU64>);

/// A datagram and its receiver.
pub type Sent = (SocketAddrV4, Vec<u8>);

/// A socket with queues of received and sent datagrams.
#[derive(Clone, Debug, Default)]
pub struct QueueSocket {
    received: Arc<Mutex<VecDeque<Vec<u8>>>>,
    sent: Arc<Mutex<Vec<Sent>>>,
    /// The datagrams to the peer of a connected socket.
    sent_connected: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl ClockHost {
    pub fn advance(&self, span: Span) {
        self.0.fetch_add(span.as_micros(), Ordering::Relaxed);
    }
}

impl Host for ClockHost {
    type Socket = QueueSocket;

    fn bind(&self, _: &'static str, _: SocketAddrV4) -> StartResult<QueueSocket> {
        Ok(QueueSocket::default())
    }

    async fn serve(
        &self,
        _: &'static str,
        _: SocketAddrV4,
        _: Router,
        _: &Logger,
    ) -> StartResult<Server> {
        Ok(Server::new(tokio::spawn(std::future::pending())))
    }

    async fn check_port(&self, _: SocketAddrV4) -> ConnectResult {
        ConnectResult::Connected
    }

    fn wall_clock(&self) -> Span {
        self.boot_clock()
    }

    fn boot_clock(&self) -> Span {
        Span::from_micros(self.0.load(Ordering::Relaxed))
    }

    fn seed(&self) -> u64 {
        0
    }
}

impl Socket for QueueSocket {
    async fn connect(self, _: SocketAddrV4) -> StartResult<Self> {
        Ok(self)
    }

    /// Returns when all queued datagrams are received, so that a test can go on.
    async fn receive(
        &self,
        mut on_datagram: impl FnMut(&mut [u8], SocketAddrV4) + Send,
        _: impl FnMut(io::Error) + Send,
    ) {
        while let Some(mut datagram) = self.next_received() {
            on_datagram(&mut datagram, peer());
        }
    }

    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        self.sent.lock().unwrap().push((to, datagram.into()));
    }

    fn send_connected(&self, datagram: &[u8]) -> bool {
        self.sent_connected.lock().unwrap().push(datagram.into());
        true
    }
}

impl QueueSocket {
    fn next_received(&self) -> Option<Vec<u8>> {
        self.received.lock().unwrap().pop_front()
    }

    pub fn push(&self, datagram: Vec<u8>) {
        self.received.lock().unwrap().push_back(datagram);
    }

    /// Returns the datagrams that were sent to the peer since the last call.
    pub fn take_sent_connected(&self) -> Vec<Vec<u8>> {
        std::mem::take(&mut *self.sent_connected.lock().unwrap())
    }

    /// Returns the datagrams that were sent to other addresses since the last call.
    pub fn take_sent(&self) -> Vec<Sent> {
        std::mem::take(&mut *self.sent.lock().unwrap())
    }
}

/// Runs a future that needs no other task.
pub fn run(future: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future);
}
