//! The I/O of the packet path: receives batches of datagrams and sends runs of datagrams.

use {
    crate::{
        errors::Result,
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
    yuccacroft_core::filter::FilterChain,
    yuccacroft_rpc::{errors::SocketError, tasks},
    yuccacroft_wire::{
        capsule::{self, CapsuleKind},
        invariant::InvariantHeader,
        proxy::{self, AddressPair},
    },
};

/// Initial capacity of the list of drop causes; the list grows when there are more.
const CAUSES_CAPACITY: usize = 16;
/// The cause of a drop when the kernel's send buffer is full.
const SEND_CAUSE: &str = "send";
/// Minimum time between two refreshes of a worker's snapshot. It limits the time that a worker
/// spends on a burst of changes, such as many agents that announce themselves.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(5);

/// The packet path of one balancer. Several tasks may run each direction at a time. Each task owns
/// the state that it uses per packet, so that tasks share only the sockets.
#[derive(Debug)]
pub struct Relay {
    packets: BatchedSocket,
    capsules: BatchedSocket,
    capsule_address: SocketAddrV4,
    services: Arc<ServiceTable>,
}

/// The state of a task that forwards packets from callers.
struct ForwardWorker<'a> {
    relay: &'a Relay,
    snapshot: Arc<TableSnapshot>,
    chain: FilterChain<PacketInfo, Decision>,
    refreshed_at: Instant,
    send_queue: SendQueue,
    counters: PacketCounters,
    cached: Option<CachedDecision>,
}

/// The latest decision. Packets of a flow arrive in runs, and within one snapshot the decision and
/// the capsule's header depend only on the packet's properties and length.
struct CachedDecision {
    packet_info: PacketInfo,
    payload_length: usize,
    target: SocketAddr,
    prefix: [u8; capsule::MAX_PREFIX_BYTES],
    prefix_length: usize,
}

/// The state of a task that returns packets from agents.
struct ReturnWorker<'a> {
    relay: &'a Relay,
    snapshot: Arc<TableSnapshot>,
    refreshed_at: Instant,
    send_queue: SendQueue,
    counters: PacketCounters,
}

/// The counters of one task, published once per batch.
struct PacketCounters {
    sent_packets: Counter,
    drop_counters: Vec<DropCounter>,
}

struct DropCounter {
    cause: &'static str,
    count: u64,
    counter: Counter,
}

impl Relay {
    /// Creates the packet path over two bound sockets. Agents reach the capsule socket at
    /// `capsule_address`.
    pub fn new(
        packets: BatchedSocket,
        capsules: BatchedSocket,
        capsule_address: SocketAddrV4,
        services: Arc<ServiceTable>,
    ) -> Self {
        Self { packets, capsules, capsule_address, services }
    }

    /// Forwards packets from callers to agents until the socket fails.
    pub async fn forward(&self) -> Result<()> {
        let mut worker = ForwardWorker::new(self);
        let batch = |batch: Batch<'_>| worker.handle_batch(batch);
        let outcome = receive_batches(&self.packets, batch).await;
        Ok(outcome.map_err(SocketError::with_name("packets"))?)
    }

    /// Returns packets from agents to callers until the socket fails.
    pub async fn return_replies(&self) -> Result<()> {
        let mut worker = ReturnWorker::new(self);
        let batch = |batch: Batch<'_>| worker.handle_batch(batch);
        let outcome = receive_batches(&self.capsules, batch).await;
        Ok(outcome.map_err(SocketError::with_name("capsules"))?)
    }
}

impl<'a> ForwardWorker<'a> {
    fn new(relay: &'a Relay) -> Self {
        let snapshot = Arc::new(relay.services.snapshot());
        Self {
            relay,
            chain: packet::chain(snapshot.clone()),
            snapshot,
            refreshed_at: Instant::now(),
            send_queue: SendQueue::new(),
            counters: PacketCounters::new("yuccacroft_packets_forwarded_total"),
            cached: None,
        }
    }

    fn handle_batch(&mut self, batch: Batch<'_>) {
        if let Some(snapshot) =
            refresh(&self.relay.services, &self.snapshot, &mut self.refreshed_at)
        {
            self.chain = packet::chain(snapshot.clone());
            self.snapshot = snapshot;
            self.cached = None;
        }
        for (datagram, from) in batch.datagrams() {
            let handled = tasks::contain("packets", || self.handle_datagram(datagram, from));
            if let Err(cause) = handled.unwrap_or(Err("panic")) {
                self.counters.count_drop(cause, 1);
            }
        }
        self.counters.publish(self.send_queue.flush(&self.relay.capsules));
    }

    fn handle_datagram(
        &mut self,
        datagram: &[u8],
        from: SocketAddr,
    ) -> std::result::Result<(), &'static str> {
        let (pair, payload) = proxy::decode(datagram).map_err(|error| error.name())?;
        let invariant = InvariantHeader::decode(payload).map_err(|error| error.name())?;
        let packet_info = PacketInfo::new(pair.source, pair.destination, from, invariant);
        if !self.cached.as_ref().is_some_and(|cached| cached.applies_to(&packet_info, payload)) {
            self.cached = Some(self.decide(packet_info, payload)?);
        }
        let Some(cached) = &self.cached else { return Err("undecided") };
        let prefix = &cached.prefix[..cached.prefix_length];
        let write = |buffer: &mut [u8]| capsule::write_with_prefix(prefix, payload, buffer);
        self.send_queue
            .add(&self.relay.capsules, cached.target, write)
            .map_err(|error| error.name())
    }

    fn decide(
        &self,
        mut packet_info: PacketInfo,
        payload: &[u8],
    ) -> std::result::Result<CachedDecision, &'static str> {
        let original = packet_info;
        let (target, kind, service_index) = match self.chain.run(&mut packet_info) {
            Some(Decision::Forward { target, kind, service_index }) => {
                (target, kind, service_index)
            }
            Some(Decision::Drop(cause)) => return Err(cause.name()),
            None => return Err("undecided"),
        };
        let service = self.snapshot.service(service_index);
        let header = packet_info.header(target, kind, service, self.relay.capsule_address);
        let mut prefix = [0; capsule::MAX_PREFIX_BYTES];
        let prefix_length =
            capsule::encode_prefix(&header, payload.len(), &service.mac_key, &mut prefix)
                .map_err(|error| error.name())?;
        let target = target.instance.address().into();
        Ok(CachedDecision {
            packet_info: original,
            payload_length: payload.len(),
            target,
            prefix,
            prefix_length,
        })
    }
}

impl CachedDecision {
    fn applies_to(&self, packet_info: &PacketInfo, payload: &[u8]) -> bool {
        self.payload_length == payload.len() && self.packet_info == *packet_info
    }
}

impl<'a> ReturnWorker<'a> {
    fn new(relay: &'a Relay) -> Self {
        Self {
            relay,
            snapshot: Arc::new(relay.services.snapshot()),
            refreshed_at: Instant::now(),
            send_queue: SendQueue::new(),
            counters: PacketCounters::new("yuccacroft_packets_returned_total"),
        }
    }

    fn handle_batch(&mut self, batch: Batch<'_>) {
        if let Some(snapshot) =
            refresh(&self.relay.services, &self.snapshot, &mut self.refreshed_at)
        {
            self.snapshot = snapshot;
        }
        for (datagram, _) in batch.datagrams() {
            if let Err(cause) = self.handle_datagram(datagram) {
                self.counters.count_drop(cause, 1);
            }
        }
        self.counters.publish(self.send_queue.flush(&self.relay.packets));
    }

    fn handle_datagram(&mut self, datagram: &[u8]) -> std::result::Result<(), &'static str> {
        let unverified = capsule::decode(datagram).map_err(|error| error.name())?;
        let index = self.snapshot.by_digest(unverified.header.digest).ok_or("service")?;
        let service = self.snapshot.service(index);
        unverified.verify(&service.mac_key).map_err(|error| error.name())?;
        if unverified.header.kind != CapsuleKind::Reply {
            return Err("kind");
        }
        let header = unverified.header;
        let pair = AddressPair { source: header.service, destination: header.caller };
        let write = |buffer: &mut [u8]| proxy::encode(pair, unverified.payload, buffer);
        self.send_queue.add(&self.relay.packets, header.via, write).map_err(|error| error.name())
    }
}

impl PacketCounters {
    fn new(sent_metric: &'static str) -> Self {
        let mut counters = Self {
            sent_packets: counter!(sent_metric),
            drop_counters: Vec::with_capacity(CAUSES_CAPACITY),
        };
        // Registers the only drop cause of normal operation in advance, so that counting it does
        // not allocate.
        counters.count_drop(SEND_CAUSE, 0);
        counters
    }

    /// Counts drops. The causes are few and fixed, so a list is searched.
    fn count_drop(&mut self, cause: &'static str, count: u64) {
        match self.drop_counters.iter_mut().find(|drops| drops.cause == cause) {
            Some(drops) => drops.count += count,
            None => {
                let counter = counter!("yuccacroft_packets_dropped_total", "cause" => cause);
                self.drop_counters.push(DropCounter { cause, count, counter });
            }
        }
    }

    fn publish(&mut self, counts: crate::send_queue::SendCounts) {
        self.sent_packets.increment(counts.sent);
        if counts.lost > 0 {
            self.count_drop(SEND_CAUSE, counts.lost);
        }
        for drops in self.drop_counters.iter_mut().filter(|drops| drops.count > 0) {
            drops.counter.increment(std::mem::take(&mut drops.count));
        }
    }
}

/// Datagrams that were received with one call.
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

/// Returns a new snapshot if the table has changed and the last snapshot is old enough.
fn refresh(
    services: &ServiceTable,
    snapshot: &TableSnapshot,
    refreshed_at: &mut Instant,
) -> Option<Arc<TableSnapshot>> {
    if services.generation() == snapshot.generation()
        || refreshed_at.elapsed() < MIN_REFRESH_INTERVAL
    {
        return None;
    }
    *refreshed_at = Instant::now();
    Some(Arc::new(services.snapshot()))
}

/// Receives batches and passes them to `handle`, until the socket fails.
async fn receive_batches(
    socket: &BatchedSocket,
    mut handle: impl FnMut(Batch<'_>),
) -> io::Result<()> {
    let mut storage = vec![0; SLOT_BYTES * BATCH_SIZE];
    let mut metas = [RecvMeta::default(); BATCH_SIZE];
    loop {
        let count = socket.receive(&mut storage, &mut metas).await?;
        handle(Batch { storage: &storage, metas: &metas[..count] });
    }
}
