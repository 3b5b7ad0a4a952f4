//! The platform's packet format.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const ACK: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 32;
pub const HEAD_BYTES: usize = 32;

/// A decoded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        Self { from, to, seq, ack, flags, sum: 0, data: Vec::new() }
    }

    pub fn with_data(self, data: &[u8]) -> Self {
        Self { data: data.to_vec(), ..self }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns true if the sum is the sender's.
    pub fn is_intact(&self) -> bool {
        self.sum == self.expected_sum()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_BYTES + self.data.len());
        for end in [self.from, self.to] {
            out.extend_from_slice(&end.ip().octets());
            out.extend_from_slice(&end.port().to_be_bytes());
        }
        out.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        out.extend_from_slice(&self.seq.to_be_bytes());
        out.extend_from_slice(&self.ack.to_be_bytes());
        out.extend_from_slice(&[self.flags, 0, 0, 0, 0, 0]);
        out.extend_from_slice(&self.expected_sum().to_be_bytes());
        out.extend_from_slice(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let head = bytes.get(..HEAD_BYTES)?;
        let word =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let half = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from_bits(word(at)), half(at + 4));
        let data = bytes[HEAD_BYTES..].to_vec();
        (data.len() == usize::from(half(12))).then(|| Self {
            from: end(0),
            to: end(6),
            seq: word(14),
            ack: word(18),
            flags: head[22],
            sum: word(28),
            data,
        })
    }

    /// A sum over all fields but the system's own ones. It is never zero.
    fn expected_sum(&self) -> u32 {
        let mut sum: u32 = 0x9e37_79b9;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        for end in [self.from, self.to] {
            add(&end.ip().octets());
            add(&end.port().to_be_bytes());
        }
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.data);
        sum.max(1)
    }
}
