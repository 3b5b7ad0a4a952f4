//! Routes: which service takes new flows to an address.

use {
    crate::{rendezvous::digest, time::Span},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        fmt::{Display, Formatter},
        net::SocketAddrV4,
        str::FromStr,
    },
};

/// Objective of requests whose route is not known.
const DEFAULT_OBJECTIVE: Span = Span::from_millis(200);
/// Timeout of requests whose route is not known.
const DEFAULT_TIMEOUT: Span = Span::from_secs(3);

newtype! {
    /// The version of a configuration as its operator numbers it. A process never goes back.
    ConfigVersion(u64), "a version number"
}

newtype! {
    /// The digest of a backend service's name, by which processes tell services apart.
    Target(u64), "the digest of a service name"
}

/// The name of a backend service as the operator writes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName(Box<str>);

newtype! {
    /// The importance of requests: zero is the highest.
    Priority(u8), "a priority"
}

/// What the requests of a route are worth and how long they last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficClass {
    /// Their importance.
    pub priority: Priority,
    /// The time within which an answer is of full use.
    pub objective: Span,
    /// The time after which a caller has given up.
    pub timeout: Span,
}

/// Where new flows to an address go: each service with its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The services that take new flows, with their relative shares. The shares sum up to more
    /// than zero.
    pub shares: Box<[RouteShare]>,
    /// The class of the requests inside.
    pub class: TrafficClass,
}

/// One service of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub target: Target,
    /// Its relative share of new flows.
    pub weight: u32,
}

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// Its version.
    pub version: ConfigVersion,
    /// Time after which a silent flow may be forgotten.
    pub idle: Option<Span>,
    routes: HashMap<SocketAddrV4, Route>,
}

impl ServiceName {
    /// Wraps a name.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the digest of the name.
    pub fn target(&self) -> Target {
        Target::new(digest(&self.0))
    }
}

impl Display for ServiceName {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ServiceName {
    type Err = crate::errors::Error;

    fn from_str(text: &str) -> crate::errors::Result<Self> {
        if text.is_empty() {
            return Err(crate::errors::Error::expected("the name of a service", text));
        }
        Ok(Self::new(text))
    }
}

impl Default for TrafficClass {
    /// Returns the class of requests whose route is not known: the least important ones.
    fn default() -> Self {
        Self {
            priority: Priority::new(u8::MAX),
            objective: DEFAULT_OBJECTIVE,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl Route {
    /// Returns the service that a flow with this digest goes to.
    pub fn target(&self, flow: u64) -> Option<Target> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = flow.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(share.target);
            }
            rest -= weight;
        }
        None
    }
}

impl RoutingTable {
    /// Creates a configuration.
    pub fn new(version: ConfigVersion, routes: HashMap<SocketAddrV4, Route>) -> Self {
        Self { version, idle: None, routes }
    }

    /// Sets the time after which a silent flow may be forgotten.
    pub fn with_idle(self, idle: Option<Span>) -> Self {
        Self { idle, ..self }
    }

    /// Returns the route of an address.
    pub fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.routes.get(address)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns true when there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
