//! The I/O of the packet path: batches of datagrams in, single datagrams out.

use {
    crate::{
        errors::{Error, Result},
        packet::{self, Decision, Item},
        service::Routes,
    },
    metrics::{Counter, counter},
    quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    socket2::{Domain, Protocol, Socket as RawSocket, Type},
    std::{
        io::{self, IoSliceMut},
        net::{SocketAddr, SocketAddrV4},
        sync::Arc,
    },
    tokio::{io::Interest, net::UdpSocket},
    yuccacroft_core::{filter::Chain, shards::Shards},
    yuccacroft_wire::{
        capsule::{self, Kind},
        invariant::Invariant,
        proxy::{self, Pair},
    },
};

/// Longest datagram that is sent or received, in bytes.
const DATAGRAM_BYTES: usize = 2_048;
/// Receive buffer of one slot of a batch; the kernel may join datagrams of one sender.
const SLOT_BYTES: usize = 64 << 10;
/// Kernel buffer of a socket in bytes, asked for so that bursts of a few milliseconds fit.
const SOCKET_BYTES: usize = 4 << 20;

/// A UDP socket with batched receive.
#[derive(Debug)]
pub struct Port {
    socket: UdpSocket,
    state: UdpSocketState,
}

/// The packet path of one balancer.
pub struct Relay {
    packets: Port,
    capsules: Port,
    own: SocketAddrV4,
    routes: Arc<Routes>,
    chain: Chain<Item, Decision>,
    counters: Counters,
    drops: Shards<&'static str, Counter>,
}

struct Counters {
    forwarded: Counter,
    returned: Counter,
}

impl Port {
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

    async fn receive(
        &self,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        let mut read = || self.state.recv(UdpSockRef::from(&self.socket), buffers, metas);
        self.socket.async_io(Interest::READABLE, &mut read).await
    }

    /// Sends one datagram, or drops it when the kernel's buffer is full: waiting would hold up
    /// all flows, and callers send again.
    fn send(&self, contents: &[u8], destination: SocketAddr) -> io::Result<()> {
        let transmit =
            Transmit { destination, ecn: None, contents, segment_size: None, src_ip: None };
        self.state.try_send(UdpSockRef::from(&self.socket), &transmit)
    }
}

impl Relay {
    /// Creates the packet path over two bound sockets. `own` is the address of the capsule socket
    /// as agents reach it.
    pub fn new(packets: Port, capsules: Port, own: SocketAddrV4, routes: Arc<Routes>) -> Self {
        let counters = Counters {
            forwarded: counter!("yuccacroft_packets_forwarded_total"),
            returned: counter!("yuccacroft_packets_returned_total"),
        };
        let chain = packet::chain(routes.clone());
        Self { packets, capsules, own, routes, chain, counters, drops: Shards::new() }
    }

    /// Forwards packets from callers to agents until the socket fails.
    pub async fn forward(&self) -> Result<()> {
        let mut out = [0; DATAGRAM_BYTES];
        let take = |datagram: &[u8], from| self.forward_one(datagram, from, &mut out);
        pump(&self.packets, take).await.map_err(|cause| Error::Socket { name: "packets", cause })
    }

    /// Returns packets from agents to callers until the socket fails.
    pub async fn return_replies(&self) -> Result<()> {
        let mut out = [0; DATAGRAM_BYTES];
        let take = |datagram: &[u8], _| self.return_one(datagram, &mut out);
        pump(&self.capsules, take).await.map_err(|cause| Error::Socket { name: "capsules", cause })
    }

    fn forward_one(&self, datagram: &[u8], from: SocketAddr, out: &mut [u8]) {
        let (pair, payload) = match proxy::decode(datagram) {
            Ok(decoded) => decoded,
            Err(error) => return self.dropped(error.name()),
        };
        let invariant = match Invariant::decode(payload) {
            Ok(invariant) => invariant,
            Err(error) => return self.dropped(error.name()),
        };
        let mut item = Item::new(pair.source, pair.destination, from, invariant);
        let (target, kind, service) = match self.chain.run(&mut item) {
            Some(Decision::Forward { target, kind, service }) => (target, kind, service),
            Some(Decision::Drop(cause)) => return self.dropped(cause.name()),
            None => return self.dropped("undecided"),
        };
        let header = item.header(target, kind, &service, self.own);
        match capsule::encode(&header, payload, &service.seal, out) {
            Ok(length) => {
                let sent = self.capsules.send(&out[..length], target.instance.address().into());
                self.count(sent, &self.counters.forwarded);
            }
            Err(error) => self.dropped(error.name()),
        }
    }

    fn return_one(&self, datagram: &[u8], out: &mut [u8]) {
        let opened = match capsule::decode(datagram) {
            Ok(opened) => opened,
            Err(error) => return self.dropped(error.name()),
        };
        let Some(service) = self.routes.by_digest(opened.header.digest) else {
            return self.dropped("service");
        };
        if let Err(error) = opened.verify(&service.seal) {
            return self.dropped(error.name());
        }
        if opened.header.kind != Kind::Reply {
            return self.dropped("kind");
        }
        let header = opened.header;
        let pair = Pair { source: header.service, destination: header.caller };
        match proxy::encode(pair, opened.payload, out) {
            Ok(length) => {
                let sent = self.packets.send(&out[..length], header.via);
                self.count(sent, &self.counters.returned);
            }
            Err(error) => self.dropped(error.name()),
        }
    }

    fn count(&self, sent: io::Result<()>, counter: &Counter) {
        match sent {
            Ok(()) => counter.increment(1),
            Err(_) => self.dropped("send"),
        }
    }

    fn dropped(&self, cause: &'static str) {
        let known = self.drops.read(&cause, |counter| counter.map(|c| c.increment(1)).is_some());
        if !known {
            let counter = counter!("yuccacroft_packets_dropped_total", "cause" => cause);
            counter.increment(1);
            self.drops.insert(cause, counter);
        }
    }
}

/// Reads batches and hands over each datagram with its sender.
async fn pump(port: &Port, mut take: impl FnMut(&[u8], SocketAddr)) -> io::Result<()> {
    let mut storage = vec![0; SLOT_BYTES * BATCH_SIZE];
    let mut metas = vec![RecvMeta::default(); BATCH_SIZE];
    loop {
        let count = {
            let mut buffers: Vec<_> = storage.chunks_mut(SLOT_BYTES).map(IoSliceMut::new).collect();
            port.receive(&mut buffers, &mut metas).await?
        };
        for (slot, meta) in metas.iter().take(count).enumerate() {
            let start = slot * SLOT_BYTES;
            let joined = &storage[start..start + meta.len];
            for datagram in joined.chunks(meta.stride.max(1)) {
                take(datagram, meta.addr);
            }
        }
    }
}
