//! The I/O of the packet path: batches of datagrams in, runs of datagrams out.

use {
    crate::{
        errors::{Error, Result},
        packet::{self, Decision, PacketInfo},
        send_queue::SendQueue,
        service::{ServiceTable, TableSnapshot},
        socket::{BatchedSocket, SLOT_BYTES},
    },
    metrics::{Counter, counter},
    quinn_udp::{BATCH_SIZE, RecvMeta},
    std::{
        io,
        net::{SocketAddr, SocketAddrV4},
        sync::Arc,
        time::{Duration, Instant},
    },
    yuccacroft_core::filter::Chain,
    yuccacroft_wire::{
        capsule::{self, Kind},
        invariant::InvariantHeader,
        proxy::{self, Pair},
    },
};

/// Room for the causes of drops; the list grows when there are more.
const MAX_CAUSES: usize = 16;
/// The cause of a drop when the kernel's send buffer is full.
const SEND: &str = "send";
/// Shortest time between two refreshes of a worker's view. A burst of changes, such as many
/// agents that announce themselves, then costs each worker a bounded share of its time.
const REFRESH_EVERY: Duration = Duration::from_millis(5);

/// The packet path of one balancer. Several tasks may run each direction at a time; what a task
/// needs for each packet is its own, so that tasks share nothing but the sockets.
#[derive(Debug)]
pub struct Relay {
    packets: BatchedSocket,
    capsules: BatchedSocket,
    own: SocketAddrV4,
    routes: Arc<ServiceTable>,
}

/// A task that forwards packets from callers.
struct Forwarder<'a> {
    relay: &'a Relay,
    view: Arc<TableSnapshot>,
    chain: Chain<PacketInfo, Decision>,
    refreshed: Instant,
    send_queue: SendQueue,
    counts: Counts,
    last: Option<Last>,
}

/// The latest decision. Packets of a flow come in runs, and within one view the decision and the
/// capsule's header depend on these fields only.
struct Last {
    item: PacketInfo,
    payload: usize,
    target: SocketAddr,
    head: [u8; capsule::MAX_PREFIX_BYTES],
    length: usize,
}

/// A task that returns packets from agents.
struct Returner<'a> {
    relay: &'a Relay,
    view: Arc<TableSnapshot>,
    refreshed: Instant,
    send_queue: SendQueue,
    counts: Counts,
}

/// The counts of one task, published once a batch.
struct Counts {
    passed: Counter,
    drops: Vec<Drops>,
}

struct Drops {
    cause: &'static str,
    count: u64,
    counter: Counter,
}

impl Relay {
    /// Creates the packet path over two bound sockets. `own` is the address of the capsule socket
    /// as agents reach it.
    pub fn new(
        packets: BatchedSocket,
        capsules: BatchedSocket,
        own: SocketAddrV4,
        routes: Arc<ServiceTable>,
    ) -> Self {
        Self { packets, capsules, own, routes }
    }

    /// Forwards packets from callers to agents until the socket fails.
    pub async fn forward(&self) -> Result<()> {
        let mut worker = Forwarder::new(self);
        let batch = |batch: Batch<'_>| worker.batch(batch);
        pump(&self.packets, batch).await.map_err(|cause| Error::Socket { name: "packets", cause })
    }

    /// Returns packets from agents to callers until the socket fails.
    pub async fn return_replies(&self) -> Result<()> {
        let mut worker = Returner::new(self);
        let batch = |batch: Batch<'_>| worker.batch(batch);
        pump(&self.capsules, batch).await.map_err(|cause| Error::Socket { name: "capsules", cause })
    }
}

impl<'a> Forwarder<'a> {
    fn new(relay: &'a Relay) -> Self {
        let view = Arc::new(relay.routes.view());
        Self {
            relay,
            chain: packet::chain(view.clone()),
            view,
            refreshed: Instant::now(),
            send_queue: SendQueue::new(),
            counts: Counts::new("yuccacroft_packets_forwarded_total"),
            last: None,
        }
    }

    fn batch(&mut self, batch: Batch<'_>) {
        if let Some(view) = refresh(&self.relay.routes, &self.view, &mut self.refreshed) {
            self.chain = packet::chain(view.clone());
            self.view = view;
            self.last = None;
        }
        for (datagram, from) in batch.datagrams() {
            if let Err(cause) = self.one(datagram, from) {
                self.counts.drop(cause, 1);
            }
        }
        self.counts.publish(self.send_queue.flush(&self.relay.capsules));
    }

    fn one(&mut self, datagram: &[u8], from: SocketAddr) -> std::result::Result<(), &'static str> {
        let (pair, payload) = proxy::decode(datagram).map_err(|error| error.name())?;
        let invariant = InvariantHeader::decode(payload).map_err(|error| error.name())?;
        let item = PacketInfo::new(pair.source, pair.destination, from, invariant);
        if !self.last.as_ref().is_some_and(|last| last.covers(&item, payload)) {
            self.last = Some(self.decide(item, payload)?);
        }
        let Some(last) = &self.last else { return Err("undecided") };
        let head = &last.head[..last.length];
        let write = |buffer: &mut [u8]| capsule::write_with_prefix(head, payload, buffer);
        self.send_queue.add(&self.relay.capsules, last.target, write).map_err(|error| error.name())
    }

    fn decide(
        &self,
        mut item: PacketInfo,
        payload: &[u8],
    ) -> std::result::Result<Last, &'static str> {
        let asked = item;
        let (target, kind, slot) = match self.chain.run(&mut item) {
            Some(Decision::Forward { target, kind, slot }) => (target, kind, slot),
            Some(Decision::Drop(cause)) => return Err(cause.name()),
            None => return Err("undecided"),
        };
        let service = self.view.service(slot);
        let header = item.header(target, kind, service, self.relay.own);
        let mut head = [0; capsule::MAX_PREFIX_BYTES];
        let length = capsule::encode_prefix(&header, payload.len(), &service.mac_key, &mut head)
            .map_err(|error| error.name())?;
        let target = target.instance.address().into();
        Ok(Last { item: asked, payload: payload.len(), target, head, length })
    }
}

impl Last {
    fn covers(&self, item: &PacketInfo, payload: &[u8]) -> bool {
        self.payload == payload.len() && self.item == *item
    }
}

impl<'a> Returner<'a> {
    fn new(relay: &'a Relay) -> Self {
        Self {
            relay,
            view: Arc::new(relay.routes.view()),
            refreshed: Instant::now(),
            send_queue: SendQueue::new(),
            counts: Counts::new("yuccacroft_packets_returned_total"),
        }
    }

    fn batch(&mut self, batch: Batch<'_>) {
        if let Some(view) = refresh(&self.relay.routes, &self.view, &mut self.refreshed) {
            self.view = view;
        }
        for (datagram, _) in batch.datagrams() {
            if let Err(cause) = self.one(datagram) {
                self.counts.drop(cause, 1);
            }
        }
        self.counts.publish(self.send_queue.flush(&self.relay.packets));
    }

    fn one(&mut self, datagram: &[u8]) -> std::result::Result<(), &'static str> {
        let opened = capsule::decode(datagram).map_err(|error| error.name())?;
        let slot = self.view.by_digest(opened.header.digest).ok_or("service")?;
        let service = self.view.service(slot);
        opened.verify(&service.mac_key).map_err(|error| error.name())?;
        if opened.header.kind != Kind::Reply {
            return Err("kind");
        }
        let header = opened.header;
        let pair = Pair { source: header.service, destination: header.caller };
        let write = |buffer: &mut [u8]| proxy::encode(pair, opened.payload, buffer);
        self.send_queue.add(&self.relay.packets, header.via, write).map_err(|error| error.name())
    }
}

impl Counts {
    fn new(passed: &'static str) -> Self {
        let mut counts = Self { passed: counter!(passed), drops: Vec::with_capacity(MAX_CAUSES) };
        // The only cause of a drop in steady state is prepared, so that it allocates nothing then.
        counts.drop(SEND, 0);
        counts
    }

    /// Notes drops. The causes are few and fixed, so a short list serves.
    fn drop(&mut self, cause: &'static str, count: u64) {
        match self.drops.iter_mut().find(|drops| drops.cause == cause) {
            Some(drops) => drops.count += count,
            None => {
                let counter = counter!("yuccacroft_packets_dropped_total", "cause" => cause);
                self.drops.push(Drops { cause, count, counter });
            }
        }
    }

    fn publish(&mut self, sent: crate::send_queue::Sent) {
        self.passed.increment(sent.sent);
        if sent.lost > 0 {
            self.drop(SEND, sent.lost);
        }
        for drops in self.drops.iter_mut().filter(|drops| drops.count > 0) {
            drops.counter.increment(std::mem::take(&mut drops.count));
        }
    }
}

/// Datagrams that were received together.
struct Batch<'a> {
    storage: &'a [u8],
    metas: &'a [RecvMeta],
}

impl Batch<'_> {
    fn datagrams(&self) -> impl Iterator<Item = (&[u8], SocketAddr)> {
        let slots = self.storage.chunks(SLOT_BYTES).zip(self.metas);
        slots.flat_map(|(slot, meta)| {
            slot[..meta.len].chunks(meta.stride.max(1)).map(|datagram| (datagram, meta.addr))
        })
    }
}

/// Takes a new view when the routes have changed and the last one is old enough.
fn refresh(
    routes: &ServiceTable,
    view: &TableSnapshot,
    refreshed: &mut Instant,
) -> Option<Arc<TableSnapshot>> {
    if routes.generation() == view.generation() || refreshed.elapsed() < REFRESH_EVERY {
        return None;
    }
    *refreshed = Instant::now();
    Some(Arc::new(routes.view()))
}

/// Reads batches and hands them over.
async fn pump(port: &BatchedSocket, mut take: impl FnMut(Batch<'_>)) -> io::Result<()> {
    let mut storage = vec![0; SLOT_BYTES * BATCH_SIZE];
    let mut metas = [RecvMeta::default(); BATCH_SIZE];
    loop {
        let count = port.receive(&mut storage, &mut metas).await?;
        take(Batch { storage: &storage, metas: &metas[..count] });
    }
}
