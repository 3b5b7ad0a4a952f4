//! Identifiers of everything that yuccacroft tells apart.

use {
    crate::errors::{Error, Result},
    std::{
        fmt::{Display, Formatter},
        net::{Ipv4Addr, SocketAddrV4},
        str::FromStr,
    },
};

/// Longest name of a customer, service or failure domain, in bytes (the length of a DNS label).
const MAX_NAME_BYTES: usize = 63;

name! {
    /// A customer, as its contract names it.
    Customer
}

name! {
    /// A service of one customer. Two customers may use the same name for different services.
    Service
}

name! {
    /// A failure domain: a set of machines that can fail together.
    Domain
}

name! {
    /// A process of the system, as its settings name it in logs and state dumps.
    Process
}

newtype! {
    /// One life of a process at an address: milliseconds since the Unix epoch at its start, which
    /// a later process at the same address exceeds. It fits in 48 bits.
    Incarnation(u64), "an incarnation number"
}

newtype! {
    /// A revision of the key-value store. A higher one is newer; processes never go back.
    Revision(u64), "a revision number"
}

token! {
    /// The id of one contract change. It settles whether a write with a lost answer took effect.
    ChangeId
}

token! {
    /// The id of one request, unique over all processes.
    RequestId
}

/// The address of an agent, which also serves as its identity together with an [`Incarnation`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Instance(SocketAddrV4);

impl Instance {
    /// Wraps the address at which the agent receives capsules.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self(address)
    }

    /// Returns the address.
    pub const fn address(self) -> SocketAddrV4 {
        self.0
    }

    /// Packs the address and port into the low 48 bits of a number.
    pub fn to_bits(self) -> u64 {
        u64::from(self.0.ip().to_bits()) << 16 | u64::from(self.0.port())
    }

    /// Reverses [`Instance::to_bits`]; higher bits are ignored.
    pub fn from_bits(bits: u64) -> Self {
        let ip = Ipv4Addr::from_bits((bits >> 16) as u32);
        Self(SocketAddrV4::new(ip, bits as u16))
    }
}

impl Display for Instance {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for Instance {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::expected("an IPv4 address and port", text))
    }
}

/// Checks that a name has 1 to 63 lower-case letters, digits and inner hyphens.
pub(crate) fn check_name(text: &str) -> Result<()> {
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let inner = !text.starts_with('-') && !text.ends_with('-');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !inner || !text.bytes().all(valid) {
        return Err(Error::expected("a name of lower-case letters, digits and hyphens", text));
    }
    Ok(())
}
