//! Loopback addresses for the processes of one test.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

/// Below the range from which the operating system takes ports of outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// The port whose socket marks an IP address as taken.
const RESERVATION_PORT: u16 = FIRST_PORT - 1;
/// The first address of the networks that are used. Those below are left to other programs.
const FIRST_IP: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 0);
/// Number of addresses from [`FIRST_IP`] on that are used.
const IP_COUNT: u32 = 1 << 22;
/// Distance of the addresses at which two processes with successive ids begin their search, so that
/// they seldom meet.
const IPS_PER_PROCESS: u32 = 64;
/// Number of addresses that are tried.
const MAX_ATTEMPTS: u32 = 4_096;

/// Successive ports of a loopback IP address that nobody else uses while this value exists. A port
/// of a shared IP address could be taken by another process before it is bound.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    next_port: AtomicU16,
    _reservation: UdpSocket,
}

impl Addresses {
    /// Reserves an IP address. Fails when many in a row are taken.
    pub fn new() -> io::Result<Self> {
        let first = std::process::id().wrapping_mul(IPS_PER_PROCESS);
        let candidates = (0..MAX_ATTEMPTS).map(|attempt| first.wrapping_add(attempt) % IP_COUNT);
        for offset in candidates {
            let ip = Ipv4Addr::from_bits(FIRST_IP.to_bits() + offset);
            match UdpSocket::bind((ip, RESERVATION_PORT)) {
                Ok(reservation) => {
                    let next_port = AtomicU16::new(FIRST_PORT);
                    return Ok(Self { ip, next_port, _reservation: reservation });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns an address that was not returned before.
    pub fn allocate(&self) -> SocketAddr {
        (self.ip, self.next_port.fetch_add(1, Ordering::Relaxed)).into()
    }
}
