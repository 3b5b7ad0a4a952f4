//! The packets of flows, and the record of a run.

use std::{
    fs::File,
    io::Write,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Mutex,
    time::Instant,
};

pub const ACK: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 32;
const HEAD: usize = 32;
/// The key of the sum, which the system does not know.
const KEY: u32 = 0x5bd1_e995;

/// A decoded packet.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
    /// Whether the sum is that of a packet which one of the two ends wrote.
    pub is_genuine: bool,
}

impl Packet {
    pub fn new(
        from: SocketAddrV4,
        to: SocketAddrV4,
        flags: u8,
        seq: u32,
        ack: u32,
        data: &[u8],
    ) -> Self {
        Self { from, to, seq, ack, flags, data: data.to_vec(), is_genuine: true }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[..4].copy_from_slice(&self.from.ip().octets());
        bytes[4..6].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.to.ip().octets());
        bytes[10..12].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[12..14].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[14..18].copy_from_slice(&self.seq.to_be_bytes());
        bytes[18..22].copy_from_slice(&self.ack.to_be_bytes());
        bytes[22] = self.flags;
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[28..32].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let end = |at| SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(at)), u16_at(at + 4));
        let flags = bytes[22];
        let is_own_reset = flags == RST && u32_at(28) == 0 && bytes.len() == HEAD;
        Some(Self {
            from: end(0),
            to: end(6),
            seq: u32_at(14),
            ack: u32_at(18),
            flags,
            data: bytes[HEAD..].to_vec(),
            is_genuine: !is_own_reset && u32_at(28) == sum(bytes),
        })
    }

    /// Returns true for a reset that the system may send.
    pub fn is_reset(&self) -> bool {
        self.flags & RST != 0
    }
}

/// The sum over all fields except `echo`, `pad` and BOUNCED.
fn sum(bytes: &[u8]) -> u32 {
    let mut sum = KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            22 => byte & !BOUNCED,
            23..=31 => 0,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    sum
}

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self { started: Instant::now(), file: Mutex::new(File::create(path).expect("record file")) }
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A random number; only its spread matters.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
