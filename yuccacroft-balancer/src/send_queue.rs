//! A queue of outgoing datagrams, joined so that one system call sends several of them.

use {
    crate::socket::BatchedSocket,
    std::net::{Ipv4Addr, SocketAddr},
};

/// Upper bound of the receivers for which datagrams are queued at a time.
const MAX_RUNS: usize = 16;
/// Upper bound of the datagrams of one call: the limit of the kernel (`UDP_MAX_SEGMENTS`) is 64 in
/// older versions.
const MAX_SEGMENTS: usize = 64;
/// Upper bound of the joined datagrams in bytes, which is the largest payload of a UDP datagram
/// over IPv4.
const MAX_JOINED_BYTES: usize = 65_507;
/// Upper bound of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The numbers of sent and lost datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Datagrams that the kernel accepted.
    pub sent: u64,
    /// Datagrams that the kernel did not accept.
    pub lost: u64,
}

/// Runs of datagrams for a few receivers. The datagrams for one receiver stay in order.
#[derive(Debug)]
pub struct SendQueue {
    runs: Box<[Run]>,
    last_evicted: usize,
    counts: SendCounts,
}

/// Datagrams of one size for one receiver; only the last one may be shorter.
#[derive(Debug)]
struct Run {
    target: SocketAddr,
    buffer: Box<[u8]>,
    length: usize,
    segment_size: usize,
    count: usize,
}

impl SendQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            runs: (0..MAX_RUNS).map(|_| Run::new()).collect(),
            last_evicted: 0,
            counts: SendCounts::default(),
        }
    }

    /// Queues a datagram for `target`. `write` writes it into a buffer of at least
    /// [`MAX_DATAGRAM_BYTES`] and returns its length. The datagram is sent now or by
    /// [`SendQueue::flush`].
    pub fn add<E>(
        &mut self,
        socket: &BatchedSocket,
        target: SocketAddr,
        write: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Result<(), E> {
        let index = self.run_index(socket, target);
        let run = &mut self.runs[index];
        if run.is_full() {
            run.flush(socket, &mut self.counts);
        }
        let start = run.length;
        let length = write(&mut run.buffer[start..start + MAX_DATAGRAM_BYTES])?;
        if run.count > 0 && length > run.segment_size {
            run.flush(socket, &mut self.counts);
            run.buffer.copy_within(start..start + length, 0);
        }
        run.push(length);
        if length < run.segment_size {
            run.flush(socket, &mut self.counts);
        }
        Ok(())
    }

    /// Sends all queued datagrams and returns the counts since the last call.
    pub fn flush(&mut self, socket: &BatchedSocket) -> SendCounts {
        self.runs.iter_mut().for_each(|run| run.flush(socket, &mut self.counts));
        std::mem::take(&mut self.counts)
    }

    /// Returns the index of the run of a receiver. Without one, an empty run is used, or another
    /// run is sent to make room.
    fn run_index(&mut self, socket: &BatchedSocket, target: SocketAddr) -> usize {
        let known = self.runs.iter().position(|run| run.count > 0 && run.target == target);
        let index = known.or_else(|| self.runs.iter().position(|run| run.count == 0));
        let index = index.unwrap_or_else(|| {
            self.last_evicted = (self.last_evicted + 1) % MAX_RUNS;
            self.last_evicted
        });
        if known.is_none() {
            self.runs[index].flush(socket, &mut self.counts);
            self.runs[index].target = target;
        }
        index
    }
}

impl Default for SendQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl Run {
    fn new() -> Self {
        Self {
            target: (Ipv4Addr::UNSPECIFIED, 0).into(),
            buffer: vec![0; MAX_JOINED_BYTES].into(),
            length: 0,
            segment_size: 0,
            count: 0,
        }
    }

    fn is_full(&self) -> bool {
        self.count == MAX_SEGMENTS || self.length + MAX_DATAGRAM_BYTES > self.buffer.len()
    }

    fn push(&mut self, length: usize) {
        if self.count == 0 {
            self.segment_size = length;
        }
        self.length += length;
        self.count += 1;
    }

    fn flush(&mut self, socket: &BatchedSocket, counts: &mut SendCounts) {
        if self.count > 0 {
            let lost = socket.send_run(&self.buffer[..self.length], self.segment_size, self.target);
            counts.lost += lost as u64;
            counts.sent += (self.count - lost) as u64;
        }
        (self.length, self.count) = (0, 0);
    }
}
