//! Identifiers of customers, services, processes, requests and revisions.

use {
    crate::errors::{Error, Result},
    std::{
        fmt::{Display, Formatter},
        net::{Ipv4Addr, SocketAddrV4},
        str::FromStr,
    },
};

/// Maximum length of a name in bytes: the length of a DNS label.
const MAX_NAME_BYTES: usize = 63;

name! {
    /// The name of a customer, as its contract states it.
    Customer
}

name! {
    /// The name of a service, unique within one customer. Two customers may use the same name for
    /// different services.
    Service
}

name! {
    /// The name of a failure domain: a set of machines that can fail together.
    Domain
}

name! {
    /// The name of a process in logs and state dumps, taken from its settings.
    Process
}

newtype! {
    /// Distinguishes successive processes at the same address: the start time in milliseconds since
    /// the Unix epoch. A later process has a higher number, see [`Incarnation::succeeding`]. It fits
    /// in 48 bits.
    Incarnation(u64), "an incarnation number"
}

newtype! {
    /// A revision of the key-value store. A higher one is newer; processes never replace data by
    /// that of a lower revision.
    Revision(u64), "a revision number"
}

random_id! {
    /// The id of one contract change. It shows whether a write took effect whose response was lost.
    ChangeId
}

random_id! {
    /// The id of one request, unique across all processes.
    RequestId
}

impl Incarnation {
    /// Returns the incarnation of a process at the address of an earlier one: its own, or the next
    /// higher one if its wall clock is behind that of the earlier process.
    pub fn succeeding(self, earlier: Self) -> Self {
        if earlier > self { Self::new(earlier.get().saturating_add(1)) } else { self }
    }
}

/// The address of an agent, which also serves as its identity together with an [`Incarnation`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Instance(SocketAddrV4);

impl Instance {
    /// Creates the identity from the address at which the agent receives capsules.
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

    /// Unpacks the result of [`Instance::to_bits`]; the high 16 bits are ignored.
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

/// Checks that a name has 1 to 63 lower-case letters, digits and hyphens and neither starts nor
/// ends with a hyphen.
pub(crate) fn check_name(text: &str) -> Result<()> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let hyphens_inside = !text.starts_with('-') && !text.ends_with('-');
    if text.is_empty()
        || text.len() > MAX_NAME_BYTES
        || !hyphens_inside
        || !text.bytes().all(is_allowed)
    {
        return Err(Error::expected("a name of lower-case letters, digits and hyphens", text));
    }
    Ok(())
}
