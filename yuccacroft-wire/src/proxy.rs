//! PROXY protocol version 2 on datagrams, with which a fabric passes on both addresses of a packet.

use {
    crate::errors::{Error, Result},
    ppp::v2::{Addresses, Header, PROTOCOL_PREFIX},
    std::net::{IpAddr, SocketAddr},
};

/// Length in bytes of the header for IPv6 addresses, the longest one that is written.
pub const MAX_HEADER_BYTES: usize = 16 + 36;

const FIXED_BYTES: usize = 16;
/// Version 2, command PROXY.
const VERSION_COMMAND: u8 = 0x21;
/// Address family in the upper half, datagram protocol in the lower half.
const INET_DATAGRAM: u8 = 0x12;
const INET6_DATAGRAM: u8 = 0x22;

/// The two addresses of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressPair {
    /// The sender of the packet.
    pub source: SocketAddr,
    /// The destination to which the sender sent it.
    pub destination: SocketAddr,
}

/// Decodes the header of a datagram and returns it with the packet after it.
pub fn decode(datagram: &[u8]) -> Result<(AddressPair, &[u8])> {
    let header = Header::try_from(datagram).map_err(|_| Error::Malformed)?;
    let pair = match header.addresses {
        Addresses::IPv4(v4) => AddressPair {
            source: SocketAddr::new(v4.source_address.into(), v4.source_port),
            destination: SocketAddr::new(v4.destination_address.into(), v4.destination_port),
        },
        Addresses::IPv6(v6) => AddressPair {
            source: SocketAddr::new(v6.source_address.into(), v6.source_port),
            destination: SocketAddr::new(v6.destination_address.into(), v6.destination_port),
        },
        Addresses::Unspecified | Addresses::Unix(_) => return Err(Error::Malformed),
    };
    Ok((pair, &datagram[header.len()..]))
}

/// Writes the header and the packet into `buffer` and returns the length. The fixed layout is
/// written here because the builder of the library allocates for each header; a test compares the
/// two.
pub fn encode(pair: AddressPair, payload: &[u8], buffer: &mut [u8]) -> Result<usize> {
    if buffer.len() < MAX_HEADER_BYTES + payload.len() {
        return Err(Error::TooLarge);
    }
    let (source, destination) = (pair.source, pair.destination);
    buffer[..PROTOCOL_PREFIX.len()].copy_from_slice(PROTOCOL_PREFIX);
    buffer[12] = VERSION_COMMAND;
    let end = match (source.ip(), destination.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            buffer[13] = INET_DATAGRAM;
            buffer[16..20].copy_from_slice(&from.octets());
            buffer[20..24].copy_from_slice(&to.octets());
            write_ports(source.port(), destination.port(), &mut buffer[24..28]);
            28
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            buffer[13] = INET6_DATAGRAM;
            buffer[16..32].copy_from_slice(&from.octets());
            buffer[32..48].copy_from_slice(&to.octets());
            write_ports(source.port(), destination.port(), &mut buffer[48..52]);
            52
        }
        _ => return Err(Error::Malformed),
    };
    buffer[14..16].copy_from_slice(&((end - FIXED_BYTES) as u16).to_be_bytes());
    buffer[end..end + payload.len()].copy_from_slice(payload);
    Ok(end + payload.len())
}

fn write_ports(source: u16, destination: u16, buffer: &mut [u8]) {
    buffer[..2].copy_from_slice(&source.to_be_bytes());
    buffer[2..4].copy_from_slice(&destination.to_be_bytes());
}
