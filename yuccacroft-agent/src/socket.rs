//! The socket under the QUIC endpoint: capsules outside, plain packets inside.

use {
    crate::packet::{Arrival, Decision},
    metrics::counter,
    quinn::{
        AsyncUdpSocket, UdpPoller,
        udp::{RecvMeta, Transmit},
    },
    std::{
        fmt::{Debug, Formatter},
        io::{self, IoSliceMut},
        net::{SocketAddr, SocketAddrV4},
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{net::UdpSocket, sync::mpsc},
    yuccacroft_core::{
        filter::Chain,
        flow::Hop,
        ids::Revision,
        key::Digest,
        shards::Shards,
        time::{Moment, Span},
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::capsule::{self, Header, Kind, Seal},
};

/// Longest datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;
/// Packets that may wait for the QUIC endpoint; the rest is dropped and sent again by callers.
const INBOX: usize = 4_096;
/// Time after which the way back to a silent caller is forgotten.
const ROUTE_MEMORY: Span = Span::from_secs(120);

/// What the socket knows of its own service.
#[derive(Debug)]
pub struct Identity {
    /// The address and life of the agent.
    pub own: Hop,
    /// The service in capsules.
    pub digest: Digest,
    /// The authenticator key of the service.
    pub seal: Seal,
}

/// A socket that carries QUIC packets in capsules.
pub struct Socket {
    udp: UdpSocket,
    clock: Clock,
    identity: Identity,
    revision: AtomicU64,
    chain: Chain<Arrival, Decision>,
    routes: Shards<SocketAddr, Route>,
    sender: mpsc::Sender<Packet>,
    inbox: Mutex<mpsc::Receiver<Packet>>,
}

/// The way back to a caller, as its latest packet showed it.
#[derive(Clone, Copy, Debug)]
struct Route {
    service: SocketAddr,
    via: SocketAddr,
    balancer: SocketAddrV4,
    seen: Moment,
}

#[derive(Debug)]
struct Packet {
    caller: SocketAddr,
    service: SocketAddr,
    payload: Box<[u8]>,
}

#[derive(Debug)]
struct Poller(Arc<Socket>);

impl Socket {
    /// Wraps a bound UDP socket.
    pub fn new(
        udp: UdpSocket,
        identity: Identity,
        chain: Chain<Arrival, Decision>,
        clock: Clock,
    ) -> Self {
        let (sender, inbox) = mpsc::channel(INBOX);
        let (revision, routes) = (AtomicU64::new(0), Shards::new());
        Self { udp, clock, identity, revision, chain, routes, sender, inbox: Mutex::new(inbox) }
    }

    /// Notes the revision of the contract in force, which replies carry.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.store(revision.get(), Ordering::Relaxed);
    }

    /// Takes capsules in until the socket fails. Several tasks may run this at a time.
    pub async fn run(&self) -> io::Result<()> {
        let mut buffer = [0; DATAGRAM_BYTES];
        loop {
            let (length, _) = self.udp.recv_from(&mut buffer).await?;
            if let Err(cause) = self.take(&buffer[..length]) {
                counter!("yuccacroft_capsules_dropped_total", "cause" => cause).increment(1);
            }
        }
    }

    /// Forgets the ways back to callers that were silent for long.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.routes.retain(|_, route| now.since(route.seen) < ROUTE_MEMORY);
    }

    fn take(&self, datagram: &[u8]) -> Result<(), &'static str> {
        let opened = capsule::decode(datagram).map_err(|error| error.name())?;
        if opened.header.digest != self.identity.digest {
            return Err("service");
        }
        opened.verify(&self.identity.seal).map_err(|error| error.name())?;
        let now = self.clock.now();
        let mut arrival = Arrival { header: opened.header, now };
        match self.chain.run(&mut arrival) {
            Some(Decision::Deliver | Decision::Reset) => {
                self.deliver(&opened.header, opened.payload, now)
            }
            Some(Decision::Pass(next, header)) => self.pass(next, &header, opened.payload),
            Some(Decision::Drop(cause)) => Err(cause),
            None => Err("undecided"),
        }
    }

    fn deliver(&self, header: &Header, payload: &[u8], now: Moment) -> Result<(), &'static str> {
        let Header { service, via, balancer, caller, .. } = *header;
        self.routes.insert(caller, Route { service, via, balancer, seen: now });
        let packet = Packet { caller, service, payload: payload.into() };
        self.sender.try_send(packet).map_err(|_| "inbox_full")
    }

    fn pass(&self, next: Hop, header: &Header, payload: &[u8]) -> Result<(), &'static str> {
        let target = next.instance.address().into();
        self.send(header, payload, target).map_err(|_| "send")?;
        counter!("yuccacroft_capsules_passed_total").increment(1);
        Ok(())
    }

    fn send(&self, header: &Header, payload: &[u8], target: SocketAddr) -> io::Result<()> {
        let mut buffer = [0; DATAGRAM_BYTES];
        let length = capsule::encode(header, payload, &self.identity.seal, &mut buffer)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        self.udp.try_send_to(&buffer[..length], target).map(|_| ())
    }
}

impl Debug for Socket {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "Socket({})", self.identity.own.instance)
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        // A caller without a known way back has been silent for long; the packet is as good as
        // lost, and QUIC treats it so.
        let Some(route) = self.routes.get(&transmit.destination) else { return Ok(()) };
        let header = Header {
            kind: Kind::Reply,
            digest: self.identity.digest,
            incarnation: self.identity.own.incarnation,
            revision: Revision::new(self.revision.load(Ordering::Relaxed)),
            caller: transmit.destination,
            service: route.service,
            via: route.via,
            balancer: route.balancer,
        };
        match self.send(&header, transmit.contents, route.balancer.into()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other error concerns one balancer and must not end the endpoint.
            _ => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        let room = bufs.len().min(meta.len());
        let mut packets = Vec::with_capacity(room);
        ready!(inbox.poll_recv_many(cx, &mut packets, room));
        let filled = bufs.iter_mut().zip(meta.iter_mut()).zip(&packets);
        for ((buf, meta), packet) in filled {
            let length = packet.payload.len().min(buf.len());
            buf[..length].copy_from_slice(&packet.payload[..length]);
            *meta = RecvMeta::default();
            meta.addr = packet.caller;
            meta.len = length;
            meta.stride = length;
            meta.dst_ip = Some(packet.service.ip());
        }
        Poll::Ready(Ok(packets.len()))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

impl UdpPoller for Poller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.udp.poll_send_ready(cx)
    }
}
