//! Sources and sinks of datagrams.

use {
    quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState},
    std::{
        io::IoSliceMut,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{
        io::Interest,
        runtime::{Builder, Runtime},
    },
    yuccacroft_core::{
        contract::{Accepted, Contract},
        flow::Hop,
        tag::TAG_BYTES,
    },
    yuccacroft_wire::proxy::{self, Pair},
};

const SOCKET_BYTES: usize = 4 << 20;
const SLOT_BYTES: usize = 64 << 10;
const SOURCES: usize = 2;
const POLL: Duration = Duration::from_millis(5);
const SINK_THREADS: usize = 2;
/// Bursts that are built beforehand, so that a source only sends.
const BURSTS: usize = 64;
/// RFC 9000, section 17.3: a short header with the fixed bit.
const SHORT_HEADER: u8 = 0x40;

/// One flow of the load.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// The index of its sink.
    pub sink: u8,
    /// The owner tag of its packets.
    pub tag: [u8; TAG_BYTES],
    /// The port of its caller.
    pub port: u16,
}

/// Datagrams as a fabric sends them, in bursts.
pub struct Load {
    bursts: Arc<Vec<Vec<u8>>>,
    datagram: usize,
}

/// Sources that send until dropped.
pub struct Flood {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Sockets that count what arrives.
pub struct Sinks {
    addresses: Vec<SocketAddr>,
    count: Arc<AtomicU64>,
    _runtime: Runtime,
}

/// Binds a loopback socket with large buffers.
pub fn bind() -> (UdpSocket, UdpSocketState) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let state = UdpSocketState::new(UdpSockRef::from(&socket)).expect("the socket takes options");
    // The kernel may grant less; that is no fault.
    let _ = state.set_recv_buffer_size(UdpSockRef::from(&socket), SOCKET_BYTES);
    let _ = state.set_send_buffer_size(UdpSockRef::from(&socket), SOCKET_BYTES);
    (socket, state)
}

impl Load {
    /// Builds the datagrams: `run` of one flow in a row, `burst` in one call.
    pub fn new(
        contract: &Contract<Accepted>,
        payload: usize,
        flows: Vec<Flow>,
        run: usize,
        burst: usize,
    ) -> Self {
        let service = contract.terms()[0].addresses[0];
        let mut datagrams = flows.iter().cycle().map(|flow| datagram(flow, service, payload));
        let mut bursts = Vec::new();
        for _ in 0..BURSTS {
            let groups = datagrams.by_ref().take(burst.div_ceil(run));
            bursts.push(groups.flat_map(|group| group.repeat(run.min(burst))).collect());
        }
        let datagram = datagram(&flows[0], service, payload).len();
        Self { bursts: Arc::new(bursts), datagram }
    }

    /// Sends to an address until the result is dropped.
    pub fn flood(&self, target: SocketAddr) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let source = |_| {
            let (bursts, datagram, stop) = (self.bursts.clone(), self.datagram, stop.clone());
            std::thread::spawn(move || send(&bursts, datagram, target, &stop))
        };
        let threads = (0..SOURCES).map(source).collect();
        Flood { stop, threads }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().expect("a source cannot fail"));
    }
}

impl Sinks {
    /// Binds the sinks and counts on threads of their own.
    pub fn start(number: usize) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(SINK_THREADS).enable_all().build();
        let runtime = runtime.expect("a runtime needs threads only");
        let _guard = runtime.enter();
        let (count, mut addresses) = (Arc::new(AtomicU64::new(0)), Vec::new());
        for _ in 0..number {
            let (socket, state) = bind();
            addresses.push(socket.local_addr().expect("a bound socket has an address"));
            let socket = tokio::net::UdpSocket::from_std(socket);
            let socket = socket.expect("the runtime takes a socket");
            runtime.spawn(receive(socket, state, count.clone()));
        }
        Self { addresses, count, _runtime: runtime }
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    /// Returns the sinks as agents.
    pub fn hops(&self) -> Vec<Hop> {
        self.addresses.iter().map(|&address| super::hop(address)).collect()
    }

    /// Returns how many datagrams arrived so far.
    pub fn received(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Returns the datagrams a second over a time.
    pub fn rate(&self, time: Duration) -> f64 {
        let (before, begin) = (self.received(), Instant::now());
        std::thread::sleep(time);
        (self.received() - before) as f64 / begin.elapsed().as_secs_f64()
    }

    /// Waits until so many datagrams arrived.
    pub fn wait_for(&self, total: u64) {
        while self.received() < total {
            std::thread::sleep(POLL);
        }
    }
}

fn datagram(flow: &Flow, service: SocketAddr, payload: usize) -> Vec<u8> {
    let mut packet = vec![0; payload];
    packet[0] = SHORT_HEADER;
    packet[1..1 + TAG_BYTES].copy_from_slice(&flow.tag);
    packet[payload - 1] = flow.sink;
    let pair = Pair { source: SocketAddr::from(([10, 0, 0, 1], flow.port)), destination: service };
    let mut buffer = vec![0; payload + proxy::MAX_OVERHEAD_BYTES];
    let length = proxy::encode(pair, &packet, &mut buffer).expect("the buffer is large enough");
    buffer.truncate(length);
    buffer
}

fn send(bursts: &[Vec<u8>], datagram: usize, destination: SocketAddr, stop: &AtomicBool) {
    let (socket, state) = bind();
    for contents in bursts.iter().cycle() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let segment_size = (contents.len() > datagram).then_some(datagram);
        let transmit = Transmit { destination, ecn: None, contents, segment_size, src_ip: None };
        // What does not fit is lost, as on a network.
        let _ = state.try_send(UdpSockRef::from(&socket), &transmit);
    }
}

async fn receive(socket: tokio::net::UdpSocket, state: UdpSocketState, count: Arc<AtomicU64>) {
    let mut storage = vec![0; SLOT_BYTES * BATCH_SIZE];
    let mut metas = [RecvMeta::default(); BATCH_SIZE];
    loop {
        let mut slots = storage.chunks_mut(SLOT_BYTES);
        let mut buffers: [_; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(slots.next().unwrap_or_default()));
        let read = || state.recv(UdpSockRef::from(&socket), &mut buffers, &mut metas);
        let Ok(read) = socket.async_io(Interest::READABLE, read).await else { continue };
        let datagrams = metas[..read].iter().map(|meta| meta.len.div_ceil(meta.stride.max(1)));
        count.fetch_add(datagrams.sum::<usize>() as u64, Ordering::Relaxed);
    }
}
