//! Datagrams on their way out, joined so that one call sends a run of them.

use {
    crate::socket::BatchedSocket,
    std::net::{Ipv4Addr, SocketAddr},
};

/// Receivers for which runs are held at a time.
const RUNS: usize = 16;
/// Datagrams of one call; the kernel's limit (`UDP_MAX_SEGMENTS`) is 64 in older versions.
const MAX_SEGMENTS: usize = 64;
/// Largest payload of a UDP datagram over IPv4, which also bounds a joined one.
const MAX_JOINED_BYTES: usize = 65_507;
/// Longest datagram, in bytes.
pub const DATAGRAM_BYTES: usize = 2_048;

/// What became of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams that the kernel took.
    pub sent: u64,
    /// Datagrams that it did not take.
    pub lost: u64,
}

/// Runs of datagrams for a few receivers. The order of datagrams for one receiver is kept.
#[derive(Debug)]
pub struct SendQueue {
    runs: Box<[Run]>,
    victim: usize,
    total: Sent,
}

/// Datagrams of one size for one receiver; only the last one may be shorter.
#[derive(Debug)]
struct Run {
    target: SocketAddr,
    buffer: Box<[u8]>,
    length: usize,
    segment: usize,
    count: usize,
}

impl SendQueue {
    /// Creates an empty outbox.
    pub fn new() -> Self {
        Self { runs: (0..RUNS).map(|_| Run::new()).collect(), victim: 0, total: Sent::default() }
    }

    /// Lets `write` put one datagram for `target` into a buffer of at least [`DATAGRAM_BYTES`]
    /// and return its length. The datagram leaves now or with [`SendQueue::flush`].
    pub fn add<E>(
        &mut self,
        port: &BatchedSocket,
        target: SocketAddr,
        write: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Result<(), E> {
        let index = self.place(port, target);
        let run = &mut self.runs[index];
        if run.is_full() {
            run.flush(port, &mut self.total);
        }
        let start = run.length;
        let length = write(&mut run.buffer[start..start + DATAGRAM_BYTES])?;
        if run.count > 0 && length > run.segment {
            run.flush(port, &mut self.total);
            run.buffer.copy_within(start..start + length, 0);
        }
        run.push(length);
        if length < run.segment {
            run.flush(port, &mut self.total);
        }
        Ok(())
    }

    /// Sends everything and returns what became of all datagrams since the last call.
    pub fn flush(&mut self, port: &BatchedSocket) -> Sent {
        self.runs.iter_mut().for_each(|run| run.flush(port, &mut self.total));
        std::mem::take(&mut self.total)
    }

    /// Finds the run of a receiver, or frees one.
    fn place(&mut self, port: &BatchedSocket, target: SocketAddr) -> usize {
        let known = self.runs.iter().position(|run| run.count > 0 && run.target == target);
        let index = known.or_else(|| self.runs.iter().position(|run| run.count == 0));
        let index = index.unwrap_or_else(|| {
            self.victim = (self.victim + 1) % RUNS;
            self.victim
        });
        if known.is_none() {
            self.runs[index].flush(port, &mut self.total);
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
            segment: 0,
            count: 0,
        }
    }

    fn is_full(&self) -> bool {
        self.count == MAX_SEGMENTS || self.length + DATAGRAM_BYTES > self.buffer.len()
    }

    fn push(&mut self, length: usize) {
        if self.count == 0 {
            self.segment = length;
        }
        self.length += length;
        self.count += 1;
    }

    fn flush(&mut self, port: &BatchedSocket, total: &mut Sent) {
        if self.count > 0 {
            let lost = port.send_run(&self.buffer[..self.length], self.segment, self.target);
            total.lost += lost as u64;
            total.sent += (self.count - lost) as u64;
        }
        (self.length, self.count) = (0, 0);
    }
}
