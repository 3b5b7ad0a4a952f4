//! The identity and the entry of a balancer.

use {
    crate::{
        errors::{Error, Result},
        ids::{Domain, Incarnation},
        member::Liveness,
    },
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter},
        net::SocketAddr,
        str::FromStr,
    },
};

/// The control address of a balancer, which also serves as its identity together with an
/// [`Incarnation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(SocketAddr);

impl NodeId {
    /// Creates the identity from the address at which the balancer receives control messages.
    pub const fn new(address: SocketAddr) -> Self {
        Self(address)
    }

    /// Returns the address.
    pub const fn address(self) -> SocketAddr {
        self.0
    }
}

impl Display for NodeId {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for NodeId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::expected("an address and port", text))
    }
}

/// The entry of one balancer. The balancer itself writes it; others only degrade its liveness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The control address.
    pub node: NodeId,
    /// The failure domain.
    pub domain: Domain,
    /// The present incarnation.
    pub incarnation: Incarnation,
    /// The number of changes of this entry within the incarnation.
    pub version: u32,
    /// The liveness, as judged by other balancers. A balancer that leaves sets it to
    /// [`Liveness::Lost`] itself.
    pub standing: Liveness,
}
