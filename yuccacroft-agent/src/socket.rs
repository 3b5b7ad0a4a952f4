//! Socket of the QUIC endpoint: receives and sends QUIC packets in capsules.

use {
    crate::{
        claims::{FlowClaims, HeldPacket, Output},
        packet::{self, Decision, ReceivedCapsule, ServiceScope},
    },
    metrics::counter,
    quinn::{
        AsyncUdpSocket, UdpPoller,
        udp::{RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    },
    std::{
        fmt::{Debug, Formatter},
        io::{self, IoSliceMut},
        net::{SocketAddr, SocketAddrV4},
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::Interest,
        net::UdpSocket,
        sync::{Notify, mpsc},
    },
    yuccacroft_core::{
        filter::FilterChain,
        flow::AgentId,
        ids::Instance,
        ownership::OwnershipTable,
        placement::ChainPosition,
        reply::RecentBalancers,
        shards::Shards,
        time::{Moment, Span},
    },
    yuccacroft_rpc::{clock::Clock, tasks},
    yuccacroft_wire::{
        capsule::{self, CapsuleKind, Header, MacKey},
        claim::{self, ClaimBody, ClaimMessage},
    },
};

/// Size of the send buffer, the longest datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Size of each receive buffer. The kernel coalesces datagrams of one balancer in a buffer (GRO).
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Receive buffers per batch. Few balancers send at the same time, so few buffers fill.
const RECEIVE_BATCH: usize = 8;
/// Packets that may wait for the QUIC endpoint. Further ones are dropped; callers retransmit them.
const MAX_INBOX_PACKETS: usize = 4_096;
/// Time after the last packet of a caller until its return route is removed.
const ROUTE_RETENTION: Span = Span::from_secs(120);

/// Interval at which overdue claim answers are checked while a claim is in progress.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The authentication keys of a service.
#[derive(Debug)]
pub struct MacKeys {
    /// Key of capsules.
    pub capsule: MacKey,
    /// Key of claim messages.
    pub claim: MacKey,
}

/// A socket that carries QUIC packets in capsules.
pub struct CapsuleSocket {
    udp: UdpSocket,
    clock: Clock,
    mac_keys: MacKeys,
    scope: Arc<ServiceScope>,
    table: Arc<OwnershipTable>,
    claims: FlowClaims,
    chain: FilterChain<ReceivedCapsule, Decision>,
    balancers: RecentBalancers,
    newer_revision: Notify,
    return_routes: Shards<SocketAddr, ReturnRoute>,
    inbox_sender: mpsc::Sender<Packet>,
    inbox: Mutex<mpsc::Receiver<Packet>>,
}

/// The route to a caller, from its latest packet.
#[derive(Clone, Copy, Debug)]
struct ReturnRoute {
    service: SocketAddr,
    via: SocketAddr,
    balancer: SocketAddrV4,
    last_seen: Moment,
}

#[derive(Debug)]
struct Packet {
    caller: SocketAddr,
    service: SocketAddr,
    payload: Box<[u8]>,
}

#[derive(Debug)]
struct SendPoller(Arc<CapsuleSocket>);

impl CapsuleSocket {
    /// Wraps a bound UDP socket.
    pub fn new(
        udp: UdpSocket,
        mac_keys: MacKeys,
        scope: Arc<ServiceScope>,
        table: Arc<OwnershipTable>,
        clock: Clock,
    ) -> Self {
        let (inbox_sender, inbox) = mpsc::channel(MAX_INBOX_PACKETS);
        Self {
            udp,
            clock,
            mac_keys,
            claims: FlowClaims::new(table.clone()),
            chain: packet::build_chain(scope.clone(), table.clone()),
            scope,
            table,
            balancers: RecentBalancers::new(),
            newer_revision: Notify::new(),
            return_routes: Shards::new(),
            inbox_sender,
            inbox: Mutex::new(inbox),
        }
    }

    /// Sets the other agents of the service and publishes owned flows to new homes.
    pub fn set_siblings(&self, siblings: &[AgentId]) {
        let outputs = self.claims.set_members(siblings, self.clock.now());
        self.apply_outputs(outputs);
    }

    /// Publishes owned flows while no balancer answers.
    pub fn keep_siblings(&self) {
        let outputs = self.claims.keep_members(self.clock.now());
        self.apply_outputs(outputs);
    }

    /// Waits for a capsule from a balancer with a newer contract than the one in force.
    pub async fn newer_contract(&self) {
        self.newer_revision.notified().await;
    }

    /// Repeats claim messages whose answer is overdue. Sleeps while no claim is in progress.
    pub async fn run_claims(&self) {
        loop {
            self.claims.claim_started().await;
            while self.claims.has_open_claims() {
                tokio::time::sleep(CLAIM_TICK_INTERVAL).await;
                let outputs = self.claims.tick(self.clock.now());
                self.apply_outputs(outputs);
            }
        }
    }

    /// Receives capsules until the socket fails. Several tasks may run this concurrently.
    pub async fn run(&self) -> io::Result<()> {
        let state = UdpSocketState::new(UdpSockRef::from(&self.udp))?;
        let mut storage = vec![0; RECEIVE_BUFFER_BYTES * RECEIVE_BATCH];
        let mut metas = [RecvMeta::default(); RECEIVE_BATCH];
        loop {
            let count = self.receive(&state, &mut storage, &mut metas).await?;
            for (buffer, meta) in storage.chunks(RECEIVE_BUFFER_BYTES).zip(&metas[..count]) {
                let datagrams = buffer[..meta.len].chunks(meta.stride.max(1));
                datagrams.for_each(|datagram| {
                    let handled = tasks::contain("capsules", || self.handle_datagram(datagram));
                    self.count_drop(handled.unwrap_or(Err("panic")));
                });
            }
        }
    }

    async fn receive(
        &self,
        state: &UdpSocketState,
        storage: &mut [u8],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        let mut unused_buffers = storage.chunks_mut(RECEIVE_BUFFER_BYTES);
        let mut buffers: [_; RECEIVE_BATCH] =
            std::array::from_fn(|_| IoSliceMut::new(unused_buffers.next().unwrap_or_default()));
        let mut read = || state.recv(UdpSockRef::from(&self.udp), &mut buffers, metas);
        self.udp.async_io(Interest::READABLE, &mut read).await
    }

    /// Removes the return routes of callers that have been idle for `ROUTE_RETENTION`.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.return_routes.retain(|_, route| now.since(route.last_seen) < ROUTE_RETENTION);
        self.balancers.expire(now);
    }

    fn handle_datagram(&self, datagram: &[u8]) -> Result<(), &'static str> {
        if datagram.first() == Some(&claim::VERSION) {
            return self.handle_claim(datagram);
        }
        let received = capsule::decode(datagram).map_err(|error| error.name())?;
        if received.header.digest != self.scope.digest() {
            return Err("service");
        }
        received.verify(&self.mac_keys.capsule).map_err(|error| error.name())?;
        let now = self.clock.now();
        self.balancers.record_packet(received.header.balancer, now);
        if received.header.revision > self.scope.revision() {
            self.newer_revision.notify_one();
        }
        self.handle_packet(&received.header, received.payload, now)
    }

    fn handle_claim(&self, datagram: &[u8]) -> Result<(), &'static str> {
        let message =
            claim::decode(datagram, &self.mac_keys.claim).map_err(|error| error.name())?;
        if message.digest != self.scope.digest() || message.to != self.scope.own_id().instance {
            return Err("service");
        }
        let ClaimMessage { from, load, body, .. } = message;
        let outputs = self.claims.receive(from, load, body, self.clock.now());
        self.apply_outputs(outputs);
        Ok(())
    }

    fn handle_packet(
        &self,
        header: &Header,
        payload: &[u8],
        now: Moment,
    ) -> Result<(), &'static str> {
        let mut received = ReceivedCapsule { header: *header, now };
        match self.chain.run(&mut received) {
            Some(Decision::Deliver | Decision::Reset) => self.deliver(header, payload, now),
            Some(Decision::Pass(next, header)) => self.forward(next, &header, payload),
            Some(Decision::Claim) => self.hold(header, payload, true, now),
            Some(Decision::Wait) => self.hold(header, payload, false, now),
            Some(Decision::Drop(cause)) => Err(cause),
            None => Err("undecided"),
        }
    }

    fn hold(
        &self,
        header: &Header,
        payload: &[u8],
        is_new: bool,
        now: Moment,
    ) -> Result<(), &'static str> {
        let CapsuleKind::Untagged { key, .. } = header.kind else { return Err("undecided") };
        let held = HeldPacket { header: *header, payload: payload.into() };
        let outputs = self.claims.hold(key, held, is_new, now);
        self.apply_outputs(outputs);
        Ok(())
    }

    fn apply_outputs(&self, outputs: Vec<Output>) {
        let now = self.clock.now();
        for output in outputs {
            match output {
                Output::Send(to, body) => self.count_drop(self.send_claim(to, body)),
                Output::Deliver(packets) => packets.iter().for_each(|held| {
                    self.count_drop(self.deliver(&held.header, &held.payload, now))
                }),
                Output::Decide(packets) => packets.iter().for_each(|held| {
                    self.count_drop(self.handle_packet(&held.header, &held.payload, now))
                }),
                Output::Forward(owner, packets) => packets.iter().for_each(|held| {
                    let header =
                        packet::forwarded_header(&held.header, owner, ChainPosition::Owner, None);
                    self.count_drop(self.forward(owner, &header, &held.payload));
                }),
            }
        }
    }

    fn count_drop(&self, result: Result<(), &'static str>) {
        if let Err(cause) = result {
            counter!("yuccacroft_capsules_dropped_total", "cause" => cause).increment(1);
        }
    }

    fn send_claim(&self, to: Instance, body: ClaimBody) -> Result<(), &'static str> {
        let (digest, from) = (self.scope.digest(), self.scope.own_id());
        let message = ClaimMessage { digest, from, to, load: self.table.load(), body };
        let datagram =
            claim::encode(&message, &self.mac_keys.claim).map_err(|error| error.name())?;
        self.udp.try_send_to(&datagram, to.address().into()).map_err(|_| "send")?;
        Ok(())
    }

    fn deliver(&self, header: &Header, payload: &[u8], now: Moment) -> Result<(), &'static str> {
        let Header { service, via, balancer, caller, .. } = *header;
        self.return_routes.insert(caller, ReturnRoute { service, via, balancer, last_seen: now });
        let packet = Packet { caller, service, payload: payload.into() };
        self.inbox_sender.try_send(packet).map_err(|_| "inbox_full")
    }

    fn forward(&self, next: AgentId, header: &Header, payload: &[u8]) -> Result<(), &'static str> {
        let target = next.instance.address().into();
        self.send(header, payload, target).map_err(|_| "send")?;
        counter!("yuccacroft_capsules_passed_total").increment(1);
        Ok(())
    }

    fn send(&self, header: &Header, payload: &[u8], target: SocketAddr) -> io::Result<()> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let length = capsule::encode(header, payload, &self.mac_keys.capsule, &mut buffer)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        self.udp.try_send_to(&buffer[..length], target).map(|_| ())
    }
}

impl Debug for CapsuleSocket {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "Socket({})", self.scope.own_id().instance)
    }
}

impl AsyncUdpSocket for CapsuleSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(SendPoller(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        // The return route of a caller that was idle for long has been removed. The packet is
        // dropped, and QUIC handles it as lost.
        let Some(route) = self.return_routes.get(&transmit.destination) else { return Ok(()) };
        let balancer = self.balancers.choose(route.balancer, self.clock.now());
        let header = Header {
            kind: CapsuleKind::Reply,
            digest: self.scope.digest(),
            incarnation: self.scope.own_id().incarnation,
            revision: self.scope.revision(),
            caller: transmit.destination,
            service: route.service,
            via: route.via,
            balancer,
        };
        match self.send(&header, transmit.contents, balancer.into()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other error concerns one balancer and must not stop the endpoint.
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
        let capacity = bufs.len().min(meta.len());
        let mut packets = Vec::with_capacity(capacity);
        ready!(inbox.poll_recv_many(cx, &mut packets, capacity));
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

impl UdpPoller for SendPoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.udp.poll_send_ready(cx)
    }
}
