//! Generation of datagrams and sinks that count them.

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
        flow::AgentId,
        tag::TAG_BYTES,
    },
    yuccacroft_wire::proxy::{self, AddressPair},
};

const SOCKET_BUFFER_BYTES: usize = 4 << 20;
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
const SOURCE_COUNT: usize = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SINK_THREADS: usize = 2;
/// The number of bursts. They are built in advance, so that a source only sends.
const BURST_COUNT: usize = 64;
/// The first byte of a short header with the fixed bit set (RFC 9000, section 17.3).
const SHORT_HEADER: u8 = 0x40;

/// A flow whose packets are generated.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// The index of the sink that receives its packets.
    pub sink: u8,
    /// The owner tag of its packets.
    pub tag: [u8; TAG_BYTES],
    /// The source port of its caller.
    pub port: u16,
}

/// Sends bursts of datagrams in the form in which the fabric sends them.
pub struct LoadGenerator {
    bursts: Arc<Vec<Vec<u8>>>,
    datagram_bytes: usize,
}

/// Threads that send datagrams until this value is dropped.
pub struct Sources {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Sockets that count the datagrams they receive.
pub struct Sinks {
    addresses: Vec<SocketAddr>,
    count: Arc<AtomicU64>,
    _runtime: Runtime,
}

/// Binds a loopback socket and requests large buffers.
pub fn bind() -> (UdpSocket, UdpSocketState) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let state =
        UdpSocketState::new(UdpSockRef::from(&socket)).expect("the socket options can be set");
    // The kernel may grant less, which is not an error.
    let _ = state.set_recv_buffer_size(UdpSockRef::from(&socket), SOCKET_BUFFER_BYTES);
    let _ = state.set_send_buffer_size(UdpSockRef::from(&socket), SOCKET_BUFFER_BYTES);
    (socket, state)
}

impl LoadGenerator {
    /// Builds datagrams with a payload of `payload` bytes: `run_length` consecutive ones of each flow,
    /// and `burst_length` per call of the kernel.
    pub fn new(
        contract: &Contract<Accepted>,
        payload: usize,
        flows: Vec<Flow>,
        run_length: usize,
        burst_length: usize,
    ) -> Self {
        let service = contract.terms()[0].addresses[0];
        let mut datagrams =
            flows.iter().cycle().map(|flow| encode_datagram(flow, service, payload));
        let mut bursts = Vec::new();
        for _ in 0..BURST_COUNT {
            let groups = datagrams.by_ref().take(burst_length.div_ceil(run_length));
            bursts.push(
                groups.flat_map(|group| group.repeat(run_length.min(burst_length))).collect(),
            );
        }
        let datagram_bytes = encode_datagram(&flows[0], service, payload).len();
        Self { bursts: Arc::new(bursts), datagram_bytes }
    }

    /// Starts threads that send to `target` until the returned value is dropped.
    pub fn start_sources(&self, target: SocketAddr) -> Sources {
        let stop = Arc::new(AtomicBool::new(false));
        let source = |_| {
            let (bursts, datagram_bytes, stop) =
                (self.bursts.clone(), self.datagram_bytes, stop.clone());
            std::thread::spawn(move || send(&bursts, datagram_bytes, target, &stop))
        };
        let threads = (0..SOURCE_COUNT).map(source).collect();
        Sources { stop, threads }
    }
}

impl Drop for Sources {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().expect("a source does not panic"));
    }
}

impl Sinks {
    /// Binds the sinks and starts the threads that receive and count the datagrams.
    pub fn start(sink_count: usize) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(SINK_THREADS).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let _guard = runtime.enter();
        let (count, mut addresses) = (Arc::new(AtomicU64::new(0)), Vec::new());
        for _ in 0..sink_count {
            let (socket, state) = bind();
            addresses.push(socket.local_addr().expect("a bound socket has an address"));
            let socket = tokio::net::UdpSocket::from_std(socket);
            let socket = socket.expect("the socket can be registered");
            runtime.spawn(receive(socket, state, count.clone()));
        }
        Self { addresses, count, _runtime: runtime }
    }

    /// Returns the addresses of the sinks.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.clone()
    }

    /// Returns the sinks as agents, in the order of their addresses.
    pub fn agent_ids(&self) -> Vec<AgentId> {
        self.addresses.iter().map(|&address| super::agent_id(address)).collect()
    }

    /// Returns the number of datagrams received so far.
    pub fn received(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Sleeps for `time` and returns the datagrams received per second.
    pub fn rate(&self, time: Duration) -> f64 {
        let (before, start) = (self.received(), Instant::now());
        std::thread::sleep(time);
        (self.received() - before) as f64 / start.elapsed().as_secs_f64()
    }

    /// Waits until `total` datagrams have been received.
    pub fn wait_until_received(&self, total: u64) {
        while self.received() < total {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn encode_datagram(flow: &Flow, service: SocketAddr, payload: usize) -> Vec<u8> {
    let mut packet = vec![0; payload];
    packet[0] = SHORT_HEADER;
    packet[1..1 + TAG_BYTES].copy_from_slice(&flow.tag);
    packet[payload - 1] = flow.sink;
    let pair =
        AddressPair { source: SocketAddr::from(([10, 0, 0, 1], flow.port)), destination: service };
    let mut buffer = vec![0; payload + proxy::MAX_HEADER_BYTES];
    let length = proxy::encode(pair, &packet, &mut buffer).expect("the buffer is large enough");
    buffer.truncate(length);
    buffer
}

fn send(bursts: &[Vec<u8>], datagram_bytes: usize, destination: SocketAddr, stop: &AtomicBool) {
    let (socket, state) = bind();
    for contents in bursts.iter().cycle() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let segment_size = (contents.len() > datagram_bytes).then_some(datagram_bytes);
        let transmit = Transmit { destination, ecn: None, contents, segment_size, src_ip: None };
        // Datagrams that do not fit into the send buffer are dropped, as on a network.
        let _ = state.try_send(UdpSockRef::from(&socket), &transmit);
    }
}

async fn receive(socket: tokio::net::UdpSocket, state: UdpSocketState, count: Arc<AtomicU64>) {
    let mut storage = vec![0; RECEIVE_BUFFER_BYTES * BATCH_SIZE];
    let mut metas = [RecvMeta::default(); BATCH_SIZE];
    loop {
        let mut chunks = storage.chunks_mut(RECEIVE_BUFFER_BYTES);
        let mut buffers: [_; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let read = || state.recv(UdpSockRef::from(&socket), &mut buffers, &mut metas);
        let Ok(read) = socket.async_io(Interest::READABLE, read).await else { continue };
        let datagrams = metas[..read].iter().map(|meta| meta.len.div_ceil(meta.stride.max(1)));
        count.fetch_add(datagrams.sum::<usize>() as u64, Ordering::Relaxed);
    }
}
